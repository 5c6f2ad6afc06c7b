#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../suite.h"
#include "testbed.h"

/* Endpoints that stop in the middle of an answer and close their connections
 * in order, as the kernel does for a process that has crashed, and endpoints
 * whose answers have a head that is none. */

#define TURN_MS 1
#define REQUEST_BYTES 4096
/* Bytes from one cut of a head to the next. */
#define CUT_STEP 3
#define GRANTED                                                               \
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"                     \
  "Content-Length: 12\r\n\r\n{\"hold\":\"h\"}"
/* For how long the kernel listens for a process that has crashed. */
#define LINGER_TURNS 5

/* An endpoint that answers each request with the same bytes, and grants each
 * reservation. */
struct fake
{
  int listener;
  uint16_t port;
  int connection; /* -1: none */
  GString *request;
  GString *answer;
  bool names_request; /* the answer states the request's id */
  uint32_t requests;
  bool dies; /* it no longer accepts once it has answered */
  bool dead;
  int lingers;        /* turns until it no longer listens either */
  size_t first_bytes; /* it is silent behind these; 0: nowhere */
  int64_t silent_ms;
  int64_t goes_on_ms; /* when it sends the rest; 0: nothing is left */
};

static struct testbed t;
static struct fake fake;
static struct loop_timer *timer;

static void
fake_listen (void)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t length = sizeof in;

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons (fake.port);
  fake.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fake.listener, SOL_SOCKET, SO_REUSEADDR, &(int){ 1 },
              sizeof (int));
  ck_assert_int_eq (bind (fake.listener, (struct sockaddr *)&in, sizeof in),
                    0);
  ck_assert_int_eq (listen (fake.listener, 16), 0);
  ck_assert_int_eq (
      getsockname (fake.listener, (struct sockaddr *)&in, &length), 0);
  fcntl (fake.listener, F_SETFL, O_NONBLOCK);
  fake.port = ntohs (in.sin_port);
}

static void
fake_close (int *fd)
{
  if (*fd >= 0)
    close (*fd);
  *fd = -1;
}

/* Puts the id field of the request behind the status line of the answer. */
static void
name_request (void)
{
  const char *id = strstr (fake.request->str, "X-Request-Id: ");
  const char *line_end = strstr (fake.answer->str, "\r\n");

  ck_assert (id != NULL && line_end != NULL);
  g_string_insert_len (fake.answer, line_end + 2 - fake.answer->str, id,
                       (gssize)(strcspn (id, "\n") + 1));
}

static void
fake_send (const char *bytes, size_t count)
{
  if (count > 0)
    ck_assert_int_eq (send (fake.connection, bytes, count, MSG_NOSIGNAL),
                      (ssize_t)count);
}

static void
fake_go_on (void)
{
  fake.goes_on_ms = 0;
  fake_send (fake.answer->str + fake.first_bytes,
             fake.answer->len - fake.first_bytes);
  fake_close (&fake.connection);
}

static void
fake_answer (void)
{
  if (strstr (fake.request->str, "/v1/hold-") != NULL)
    {
      fake_send (GRANTED, strlen (GRANTED));
      fake_close (&fake.connection);
      return;
    }
  if (fake.names_request)
    name_request ();
  fake.requests++;
  fake.dead = fake.dies;
  if (fake.first_bytes > 0)
    {
      fake_send (fake.answer->str, fake.first_bytes);
      fake.goes_on_ms = loop_now_ms (t.loop) + fake.silent_ms;
      return;
    }
  fake_send (fake.answer->str, fake.answer->len);
  if (fake.dead && fake.lingers == 0)
    fake_close (&fake.listener);
  fake_close (&fake.connection);
}

/* Serves one connection at a time; a dial is one without a request. */
static void
fake_turn (void *user)
{
  char bytes[REQUEST_BYTES];
  ssize_t count;

  if (fake.dead && fake.lingers-- == 0)
    fake_close (&fake.listener);
  if (!fake.dead && fake.connection < 0)
    {
      fake.connection = accept (fake.listener, NULL, NULL);
      g_string_truncate (fake.request, 0);
    }
  if (fake.connection < 0)
    return;
  if (fake.goes_on_ms != 0 && loop_now_ms (t.loop) >= fake.goes_on_ms)
    {
      fake_go_on ();
      return;
    }
  count = recv (fake.connection, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count == 0)
    fake_close (&fake.connection);
  if (count <= 0)
    return;
  g_string_append_len (fake.request, bytes, count);
  if (strstr (fake.request->str, "\r\n\r\n") != NULL)
    fake_answer ();
}

/* Lists the fake as the only endpoint of its stage (NULL: the plain service),
 * or beside the others. */
static void
fake_start_stage (const char *stage, bool alone)
{
  char address[32];
  json_t *entry;

  for (size_t i = 0; alone && i < TESTBED_ENDPOINTS; i++)
    {
      struct standin_runner *runner = testbed_endpoint (&t, i);

      if (g_strcmp0 (standin_runner_stage (runner), stage) == 0)
        standin_runner_drain (runner);
    }
  fake = (struct fake){ .connection = -1 };
  fake.request = g_string_new (NULL);
  fake.answer = g_string_new (NULL);
  fake_listen ();
  timer = loop_timer_start (t.loop, TURN_MS, TURN_MS, fake_turn, NULL);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", fake.port);
  entry = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
                     "service", stage != NULL ? "model" : "plain", "address",
                     address, "zone", "dc-1", "version", "1", "slots", 16,
                     "state", "ready", "cold_left_ms", 0, "sequence", 0,
                     "born", (json_int_t)1);
  if (stage != NULL)
    json_object_set_new (entry, "stage", json_string (stage));
  standin_put (t.standin, "servers", "fake", entry);
  testbed_run (&t, 1000);
}

static void
fake_start (bool alone)
{
  fake_start_stage (NULL, alone);
}

static void
setup (void)
{
  testbed_open (&t);
  testbed_start_nodes (&t, 1);
}

static void
teardown (void)
{
  loop_timer_stop (timer);
  fake_close (&fake.connection);
  fake_close (&fake.listener);
  testbed_close (&t);
  g_string_free (fake.request, TRUE);
  g_string_free (fake.answer, TRUE);
}

static struct testbed_response *
ask (const char *path)
{
  struct testbed_response *response
      = testbed_get (&t, 0, "a.example", path, "");

  testbed_wait (&t, response);
  return response;
}

static const char *const heads[] = {
  "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

/* Guards against an empty answer that looks whole to the caller of an unsafe
 * request whose endpoint stopped in the middle of the head, and against a
 * second run of it. */
START_TEST (test_cut_head)
{
  uint32_t asked = 0;

  fake_start (true);
  for (size_t n = 0; n < strlen (heads[_i]); n += CUT_STEP)
    {
      g_string_truncate (fake.answer, 0);
      g_string_append_len (fake.answer, heads[_i], (gssize)n);
      ck_assert_uint_eq (ask ("/once/x")->status, 502);
      ck_assert_uint_eq (fake.requests, ++asked);
    }
}
END_TEST

/* The same for requests that may be repeated: another endpoint answers. */
START_TEST (test_cut_head_elsewhere)
{
  testbed_wait_repeats (&t);
  fake_start (false);
  g_string_assign (fake.answer,
                   "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nCon");
  for (int i = 0; i < 40; i++)
    {
      struct testbed_response *response = ask ("/x");

      ck_assert_uint_eq (response->status, 200);
      ck_assert_ptr_nonnull (strstr (response->body->str, " /x at a"));
    }
  ck_assert_uint_gt (fake.requests, 0);
}
END_TEST

/* Heads of answers that are none, with the marks of the request's run. */
static const struct
{
  const char *status;
  const char *line;
} broken_heads[] = {
  { "000", "" }, { "200", "X Odd: 1\r\n" },    { "200", "X-Odd : 1\r\n" },
  { "999", "" }, { "200", "X\x01Odd: 1\r\n" },
};

static void
answer_broken (int row, const char *type, const char *body)
{
  g_string_printf (fake.answer,
                   "HTTP/1.1 %s OK\r\nX-Response-Seal: s\r\n"
                   "Content-Type: %s\r\nContent-Length: %zu\r\n%s\r\n%s",
                   broken_heads[row].status, type, strlen (body),
                   broken_heads[row].line, body);
}

/* Guards against an answer whose head is none reaching the caller of a request
 * that may run once, and against a second run of it. */
START_TEST (test_broken_head)
{
  struct testbed_response *response;

  fake_start (true);
  fake.names_request = true;
  answer_broken (_i, "text/plain", "whole");
  response = ask ("/once/x");
  ck_assert_uint_eq (response->status, 502);
  ck_assert_ptr_null (strstr (response->fields->str, "Odd"));
  ck_assert_ptr_null (strstr (response->body->str, "whole"));
  ck_assert_uint_eq (fake.requests, 1);
}
END_TEST

/* The same for requests that may be repeated: another endpoint answers. */
START_TEST (test_broken_head_elsewhere)
{
  testbed_wait_repeats (&t);
  fake_start (false);
  fake.names_request = true;
  for (int i = 0; i < 40; i++)
    {
      struct testbed_response *response;

      answer_broken (_i, "text/plain", "whole");
      response = ask ("/x");
      ck_assert_uint_eq (response->status, 200);
      ck_assert_ptr_nonnull (strstr (response->body->str, " /x at a"));
    }
  ck_assert_uint_gt (fake.requests, 0);
}
END_TEST

/* The same for the stream of an engine. */
START_TEST (test_broken_head_of_stream)
{
  struct testbed_response *response;

  fake_start_stage ("decode", true);
  fake.names_request = true;
  answer_broken (_i, "text/event-stream", "id: 1\ndata: odd\n\n");
  response = testbed_get (&t, 0, "model.example", "/once/chat",
                          "X-Token-Counts: 1000,50\r\n");
  testbed_wait (&t, response);
  ck_assert_uint_eq (response->status, 502);
  ck_assert_ptr_null (strstr (response->fields->str, "Odd"));
  ck_assert_ptr_null (strstr (response->body->str, "odd"));
  ck_assert_uint_eq (fake.requests, 1);
}
END_TEST

/* Guards against half of an answer, or none of it, that looks whole to a
 * caller: it ends with its connection, and its endpoint has crashed. Its
 * listening socket may be closed a moment later. */
START_TEST (test_unframed_of_crashed_endpoint)
{
  static const char *const bodies[] = { "", "half" };

  fake_start (true);
  fake.dies = true;
  fake.names_request = true;
  fake.lingers = _i < 2 ? 0 : LINGER_TURNS;
  g_string_printf (fake.answer,
                   "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                   "Connection: close\r\n\r\n%s",
                   bodies[_i % 2]);
  ck_assert_uint_eq (ask ("/once/x")->status, 502);
  ck_assert_uint_eq (fake.requests, 1);
}
END_TEST

/* Guards against a whole answer that is lost since it ends with its
 * connection. */
START_TEST (test_unframed_of_live_endpoint)
{
  struct testbed_response *response;

  fake_start (true);
  fake.names_request = true;
  for (int i = 0; i < 3; i++)
    {
      g_string_assign (fake.answer, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                                    "Connection: close\r\n\r\nwhole");
      response = ask ("/once/x");
      ck_assert_uint_eq (response->status, 200);
      ck_assert (response->done);
      ck_assert_str_eq (response->body->str, "whole");
      ck_assert_ptr_nonnull (
          strstr (response->fields->str, "X-Response-Seal: s\n"));
    }
}
END_TEST

/* Guards against an answer that is given up since its endpoint is silent for a
 * second or so within its head, and goes on. */
START_TEST (test_silent_within_head)
{
  fake_start (true);
  fake.names_request = true;
  fake.silent_ms = 2500;
  fake.first_bytes = 20;
  g_string_assign (fake.answer, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                                "Content-Length: 5\r\n\r\nwhole");
  ck_assert_uint_eq (ask ("/once/x")->status, 200);
  ck_assert_uint_eq (fake.requests, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answers that break off");
  TCase *tcase = tcase_create ("answers that break off");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_cut_head, 0, (int)G_N_ELEMENTS (heads));
  tcase_add_test (tcase, test_cut_head_elsewhere);
  tcase_add_loop_test (tcase, test_broken_head, 0,
                       (int)G_N_ELEMENTS (broken_heads));
  tcase_add_loop_test (tcase, test_broken_head_elsewhere, 0, 2);
  tcase_add_loop_test (tcase, test_broken_head_of_stream, 0,
                       (int)G_N_ELEMENTS (broken_heads));
  tcase_add_loop_test (tcase, test_unframed_of_crashed_endpoint, 0, 4);
  tcase_add_test (tcase, test_unframed_of_live_endpoint);
  tcase_add_test (tcase, test_silent_within_head);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
