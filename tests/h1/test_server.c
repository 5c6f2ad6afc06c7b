#include <string.h>

#include "../suite.h"
#include "h1/server.h"
#include "raw.h"

/* A handler that keeps the last request open until the test answers it. */
struct keeper
{
  struct h1_server_handler base;
  struct h1_exchange *open;
  uint32_t requests;
  uint32_t closed_whole;
  uint32_t closed_cut;
  uint32_t drained;
};

static struct loop *loop;
static struct keeper keeper;
static struct h1_server *server;

static void
keep (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  keeper.requests++;
  keeper.open = ex;
}

static void
drained (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  keeper.drained++;
}

static void
closed (struct h1_server_handler *handler, struct h1_exchange *ex, bool whole)
{
  if (whole)
    keeper.closed_whole++;
  else
    keeper.closed_cut++;
  keeper.open = NULL;
}

static const struct h1_server_handler_impl impl
    = { .request = keep, .drained = drained, .closed = closed };

static void
setup (void)
{
  struct beryl_error error = { 0 };

  loop = loop_create ();
  keeper = (struct keeper){ .base.impl = &impl };
  server = h1_server_create (loop, "127.0.0.1", 0, &keeper.base, &error);
  ck_assert_msg (server != NULL, "%s", error.message);
}

static void
teardown (void)
{
  h1_server_destroy (server);
  loop_destroy (loop);
}

static struct raw *
connect_raw (void)
{
  return raw_connect (loop, h1_server_port (server));
}

static void
wait_for_request (uint32_t count)
{
  for (int i = 0; i < 2000 && keeper.requests < count; i++)
    raw_turn (loop, 1);
  ck_assert_uint_eq (keeper.requests, count);
}

static void
limit (struct h1_limits limits)
{
  h1_server_set_limits (server, &limits);
}

START_TEST (test_fields_in_order)
{
  struct raw *raw = connect_raw ();
  const struct h1_head *head;
  const char *body;
  size_t body_bytes;

  raw_send (raw,
            "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-B: 1\r\nx-a:  two \r\n"
            "X-B: 3\r\nContent-Length: 4\r\n\r\nbody");
  wait_for_request (1);
  head = h1_exchange_head (keeper.open);
  body = h1_exchange_body (keeper.open, &body_bytes);
  ck_assert_str_eq (head->method, "POST");
  ck_assert_str_eq (head->target, "/a/b?c=d");
  ck_assert_uint_eq (head->field_count, 5);
  ck_assert_str_eq (head->fields[1].name, "X-B");
  ck_assert_str_eq (head->fields[2].name, "x-a");
  ck_assert_str_eq (head->fields[2].value, "two");
  ck_assert_str_eq (head->fields[3].value, "3");
  ck_assert_uint_eq (body_bytes, 4);
  ck_assert_int_eq (strncmp (body, "body", 4), 0);
  h1_exchange_reply (keeper.open, 200, NULL, 0, "ok", 2);
  raw_expect (raw, "Content-Length: 2\r\n\r\nok");
  ck_assert_uint_eq (keeper.closed_whole, 1);
  raw_close (raw, false);
}
END_TEST

START_TEST (test_body_in_chunks)
{
  struct raw *raw = connect_raw ();
  size_t body_bytes;

  raw_send (raw, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "\r\n3\r\nabc\r\n");
  raw_turn (loop, 20);
  ck_assert_uint_eq (keeper.requests, 0);
  raw_send (raw, "2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
  wait_for_request (1);
  ck_assert_int_eq (
      strncmp (h1_exchange_body (keeper.open, &body_bytes), "abcde", 5), 0);
  ck_assert_uint_eq (body_bytes, 5);
  ck_assert_ptr_null (
      h1_head_find (h1_exchange_head (keeper.open), "trailer"));
  raw_close (raw, false);
}
END_TEST

/* A kept connection carries several requests, also ones sent ahead; the
 * second is only looked at once the first is answered. */
START_TEST (test_requests_ahead)
{
  struct raw *raw = connect_raw ();

  raw_send (raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  raw_turn (loop, 20);
  ck_assert_uint_eq (keeper.requests, 1);
  ck_assert_str_eq (h1_exchange_head (keeper.open)->target, "/1");
  h1_exchange_reply (keeper.open, 200, NULL, 0, "one", 3);
  wait_for_request (2);
  ck_assert_str_eq (h1_exchange_head (keeper.open)->target, "/2");
  h1_exchange_reply (keeper.open, 200, NULL, 0, "two", 3);
  raw_expect (raw, "two");
  raw_close (raw, false);
}
END_TEST

/* Two framings in one request: what one hop takes for the body, the next may
 * take for a request of its own that nobody sent.  It is refused, and nothing
 * that follows on the connection is looked at. */
START_TEST (test_smuggled_request)
{
  static const char *const ambiguous[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h"
    "\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 44"
    "\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n"
    "\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nGET ",
    "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (ambiguous); i++)
    {
      struct raw *raw = connect_raw ();

      raw_send (raw, ambiguous[i]);
      raw_expect (raw, "HTTP/1.1 ");
      raw_expect (raw, "Connection: close");
      raw_expect_end (raw, RAW_FIN);
      ck_assert_msg (strncmp (raw->got->str, "HTTP/1.1 400", 12) == 0
                         || strncmp (raw->got->str, "HTTP/1.1 501", 12) == 0,
                     "case %zu: %s", i, raw->got->str);
      raw_close (raw, false);
    }
  ck_assert_uint_eq (keeper.requests, 0);
}
END_TEST

START_TEST (test_limits)
{
  struct raw *raw = connect_raw ();
  char *line = g_strnfill (300, 'x');
  char *text
      = g_strdup_printf ("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", line);

  limit ((struct h1_limits){ .header_bytes = 200, .body_bytes = 10 });
  raw_send (raw, text);
  raw_expect (raw, "HTTP/1.1 431");
  raw_close (raw, false);
  raw = connect_raw ();
  raw_send (raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
  raw_expect (raw, "HTTP/1.1 413");
  raw_close (raw, false);
  raw = connect_raw ();
  raw_send (raw, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "\r\nb\r\nhello world\r\n");
  raw_expect (raw, "HTTP/1.1 413");
  raw_close (raw, false);
  ck_assert_uint_eq (keeper.requests, 0);
  g_free (line);
  g_free (text);
}
END_TEST

/* Each body is within its limit, but together they would end the process: the
 * one that does not fit any more is refused as not run, the others go on. */
START_TEST (test_all_bodies)
{
  struct raw *first = connect_raw ();
  struct raw *second = connect_raw ();

  limit ((struct h1_limits){ .body_bytes = 100, .all_bodies_bytes = 60 });
  raw_send (first, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"
                   "01234567890123456789012345678901234567890123456789");
  wait_for_request (1);
  raw_send (second, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n"
                    "01234567890123456789012345678901234567890123456789");
  raw_expect (second, "HTTP/1.1 503");
  raw_expect (second, "Retry-After: 1");
  h1_exchange_reply (keeper.open, 200, NULL, 0, "ok", 2);
  raw_expect (first, "ok");
  raw_close (second, false);
  second = connect_raw ();
  raw_send (second,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
  wait_for_request (2);
  raw_close (first, false);
  raw_close (second, false);
}
END_TEST

START_TEST (test_slow_head_and_idle)
{
  struct raw *slow = connect_raw ();
  struct raw *idle = connect_raw ();

  limit (
      (struct h1_limits){ .header_timeout_ms = 100, .idle_timeout_ms = 400 });
  raw_send (slow, "GET / HTT");
  raw_expect (slow, "HTTP/1.1 408");
  raw_expect_end (idle, RAW_FIN);
  ck_assert_uint_eq (idle->got->len, 0);
  raw_close (slow, false);
  raw_close (idle, false);
}
END_TEST

START_TEST (test_streamed_answer)
{
  struct raw *raw = connect_raw ();
  struct h1_field field = { "X-Seal", "s" };

  raw_send (raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  h1_exchange_begin (keeper.open, 200, "Fine", &field, 1, H1_FRAMING_CHUNKED,
                     0);
  h1_exchange_write (keeper.open, "abc", 3);
  raw_expect (raw, "HTTP/1.1 200 Fine\r\nX-Seal: s\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n3\r\nabc\r\n");
  h1_exchange_finish (keeper.open);
  raw_expect (raw, "0\r\n\r\n");
  ck_assert_int_eq (raw->end, RAW_OPEN);
  raw_close (raw, false);
}
END_TEST

/* An answer that breaks off midway must not look whole: the last chunk is
 * missing, and an answer that is delimited by its connection is reset. */
START_TEST (test_cut_answer)
{
  struct raw *raw = connect_raw ();

  raw_send (raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  h1_exchange_begin (keeper.open, 200, NULL, NULL, 0, H1_FRAMING_CHUNKED, 0);
  h1_exchange_write (keeper.open, "abc", 3);
  raw_expect (raw, "abc");
  h1_exchange_cut (keeper.open);
  raw_turn (loop, 20);
  ck_assert_uint_eq (keeper.closed_cut, 1);
  ck_assert_ptr_null (strstr (raw->got->str, "0\r\n\r\n"));
  raw_close (raw, false);
  raw = connect_raw ();
  raw_send (raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (2);
  h1_exchange_begin (keeper.open, 200, NULL, NULL, 0, H1_FRAMING_LENGTH, 10);
  h1_exchange_write (keeper.open, "short", 5);
  h1_exchange_finish (keeper.open);
  raw_turn (loop, 20);
  ck_assert_uint_eq (keeper.closed_cut, 2);
  raw_close (raw, false);
}
END_TEST

START_TEST (test_head_and_old_version)
{
  struct raw *raw = connect_raw ();

  raw_send (raw, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  h1_exchange_reply (keeper.open, 200, NULL, 0, "never sent", 10);
  raw_expect (raw, "Content-Length: 10\r\n\r\n");
  raw_turn (loop, 10);
  ck_assert_ptr_null (strstr (raw->got->str, "never"));
  raw_close (raw, false);
  raw = connect_raw ();
  raw_send (raw, "GET / HTTP/1.0\r\n\r\n");
  wait_for_request (2);
  h1_exchange_begin (keeper.open, 200, NULL, NULL, 0, H1_FRAMING_CHUNKED, 0);
  h1_exchange_write (keeper.open, "plain", 5);
  h1_exchange_finish (keeper.open);
  raw_expect_end (raw, RAW_FIN);
  ck_assert_ptr_nonnull (
      strstr (raw->got->str, "Connection: close\r\n\r\nplain"));
  ck_assert_ptr_null (strstr (raw->got->str, "chunked"));
  raw_close (raw, false);
}
END_TEST

START_TEST (test_caller_leaves)
{
  struct raw *raw = connect_raw ();

  raw_send (raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  raw_close (raw, true);
  raw_turn (loop, 20);
  ck_assert_uint_eq (keeper.closed_cut, 1);
  ck_assert_uint_eq (h1_server_connections (server), 0);
}
END_TEST

/* A planned stop: the answer under way is whole and closes its connection,
 * idle ones are closed, and new ones are taken until the listener closes. */
START_TEST (test_drain)
{
  struct raw *busy = connect_raw ();
  struct raw *idle = connect_raw ();
  struct raw *late;

  raw_send (busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  h1_server_drain (server, 50);
  raw_expect_end (idle, RAW_FIN);
  h1_exchange_reply (keeper.open, 200, NULL, 0, "ok", 2);
  raw_expect (busy, "Connection: close\r\n\r\nok");
  raw_expect_end (busy, RAW_FIN);
  late = connect_raw ();
  raw_send (late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (2);
  h1_exchange_reply (keeper.open, 200, NULL, 0, "ok", 2);
  raw_expect (late, "Connection: close");
  raw_close (busy, false);
  raw_close (idle, false);
  raw_close (late, false);
}
END_TEST

/* A caller that does not read must not have its whole answer kept here: the
 * handler sees the queue grow, and is told when there is room again. */
START_TEST (test_slow_reader)
{
  struct raw *raw = connect_raw ();
  char *block = g_strnfill (60000, 'x');

  raw_send (raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  wait_for_request (1);
  h1_exchange_begin (keeper.open, 200, NULL, NULL, 0, H1_FRAMING_CHUNKED, 0);
  for (int i = 0; i < 200 && h1_exchange_pending_bytes (keeper.open) < 200000;
       i++)
    h1_exchange_write (keeper.open, block, 60000);
  ck_assert_uint_ge (h1_exchange_pending_bytes (keeper.open), 200000);
  ck_assert_uint_eq (keeper.drained, 0);
  for (int i = 0; i < 500 && keeper.drained == 0; i++)
    {
      char bytes[65536];

      while (recv (raw->fd, bytes, sizeof bytes, 0) > 0)
        continue;
      raw_turn (loop, 1);
    }
  ck_assert_uint_eq (keeper.drained, 1);
  g_free (block);
  raw_close (raw, true);
}
END_TEST

START_TEST (test_expect_continue)
{
  struct raw *raw = connect_raw ();

  raw_send (raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                 "Expect: 100-continue\r\n\r\n");
  raw_expect (raw, "HTTP/1.1 100 Continue\r\n\r\n");
  raw_send (raw, "ab");
  wait_for_request (1);
  raw_close (raw, false);
}
END_TEST

START_TEST (test_hop_by_hop)
{
  struct h1_field fields[] = { { "Connection", "close, X-Mine" },
                               { "X-Mine", "1" },
                               { "X-Other", "2" },
                               { "Keep-Alive", "timeout=5" } };
  struct h1_head head = { .fields = fields, .field_count = 4 };

  ck_assert (h1_head_hop_by_hop (&head, "connection"));
  ck_assert (h1_head_hop_by_hop (&head, "x-mine"));
  ck_assert (h1_head_hop_by_hop (&head, "Keep-Alive"));
  ck_assert (!h1_head_hop_by_hop (&head, "X-Other"));
  ck_assert (!h1_head_hop_by_hop (&head, "X-Min"));
}
END_TEST

static const char get[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* Answers the request that waits on RAW. */
static void
serve_waiting (struct raw *raw)
{
  wait_for_request (keeper.requests + 1);
  h1_exchange_reply (keeper.open, 200, NULL, 0, "ok", 2);
  raw_expect (raw, "\r\n\r\nok");
  g_string_truncate (raw->got, 0);
}

/* Sends a request on RAW, and answers it. */
static void
serve (struct raw *raw)
{
  raw_send (raw, get);
  serve_waiting (raw);
}

/* A request that came in time is lost if its connection is closed as idle
 * after a long turn of the loop, before it is read. */
START_TEST (test_request_during_long_turn)
{
  struct raw *raw = connect_raw ();

  limit ((struct h1_limits){ .idle_timeout_ms = 400 });
  serve (raw);
  raw_turn (loop, 200);
  raw_send (raw, get);
  g_usleep (500 * 1000);
  serve_waiting (raw);
  raw_close (raw, false);
}
END_TEST

/* The rest of a request that came in time is refused if it is judged by the
 * clock before it is read. */
START_TEST (test_rest_of_head_during_long_turn)
{
  struct raw *raw = connect_raw ();

  limit ((struct h1_limits){ .header_timeout_ms = 400 });
  raw_send (raw, "GET / HTTP/1.1\r\nHo");
  raw_turn (loop, 100);
  raw_send (raw, "st: h\r\n\r\n");
  g_usleep (500 * 1000);
  serve_waiting (raw);
  raw_close (raw, false);
}
END_TEST

/* A connection that a stopping node closes as idle loses the request that is
 * waiting on it. */
START_TEST (test_request_while_draining)
{
  struct raw *raw = connect_raw ();

  serve (raw);
  h1_server_drain (server, 300);
  raw_send (raw, get);
  g_usleep (500 * 1000);
  serve_waiting (raw);
  raw_close (raw, false);
}
END_TEST

/* A caller that rests within the limit under which its rest began loses its
 * next request if a lower one closes the connection. */
START_TEST (test_lowered_idle_timeout)
{
  struct raw *raw = connect_raw ();

  limit ((struct h1_limits){ .idle_timeout_ms = 2000 });
  serve (raw);
  limit ((struct h1_limits){ .idle_timeout_ms = 300 });
  raw_turn (loop, 1000);
  serve (raw);
  raw_turn (loop, 1000);
  raw_expect_end (raw, RAW_FIN);
  raw_close (raw, false);
}
END_TEST

/* A request that comes a little after the limit is lost although nothing else
 * needs its connection. */
START_TEST (test_rest_beyond_limit)
{
  struct raw *raw = connect_raw ();

  limit ((struct h1_limits){ .idle_timeout_ms = 500 });
  serve (raw);
  raw_turn (loop, 750);
  serve (raw);
  raw_turn (loop, 1250);
  raw_expect_end (raw, RAW_FIN);
  raw_close (raw, false);
}
END_TEST

/* Connections that rest keep others out when most of them are in use. */
START_TEST (test_rest_while_crowded)
{
  struct raw *first = connect_raw ();
  struct raw *second = connect_raw ();

  limit ((struct h1_limits){ .idle_timeout_ms = 500, .connections = 3 });
  serve (first);
  serve (second);
  raw_turn (loop, 750);
  raw_expect_end (first, RAW_FIN);
  raw_close (first, false);
  raw_close (second, false);
}
END_TEST

/* A connection that a stopping node has just accepted is closed as idle before
 * its request is read. */
START_TEST (test_accepted_while_draining)
{
  struct raw *raw;

  raw_turn (loop, 5);
  h1_server_drain (server, 300);
  raw = connect_raw ();
  raw_send (raw, get);
  g_usleep (500 * 1000);
  serve_waiting (raw);
  raw_close (raw, false);
}
END_TEST

struct late_request
{
  uv_check_t check;
  struct raw *raw;
  int64_t at_ms;
};

/* Runs behind the poll and before due timers. */
static void
send_late (uv_check_t *check)
{
  struct late_request *late = check->data;

  if (late->raw == NULL || loop_now_ms (loop) < late->at_ms)
    return;
  raw_send (late->raw, get);
  late->raw = NULL;
}

/* A request that comes between the last poll and the close of its connection
 * is lost although the node can tell. */
START_TEST (test_request_before_close)
{
  struct raw *raw = connect_raw ();
  struct late_request late = { .raw = raw };

  limit ((struct h1_limits){ .idle_timeout_ms = 300 });
  serve (raw);
  raw_turn (loop, 400);
  late.at_ms = loop_now_ms (loop) + 300;
  uv_check_init (loop_uv (loop), &late.check);
  late.check.data = &late;
  uv_check_start (&late.check, send_late);
  g_usleep (400 * 1000);
  serve_waiting (raw);
  uv_close ((uv_handle_t *)&late.check, NULL);
  raw_turn (loop, 5);
  raw_close (raw, false);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("h1 server");
  TCase *tcase = tcase_create ("server");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_fields_in_order);
  tcase_add_test (tcase, test_body_in_chunks);
  tcase_add_test (tcase, test_requests_ahead);
  tcase_add_test (tcase, test_smuggled_request);
  tcase_add_test (tcase, test_limits);
  tcase_add_test (tcase, test_all_bodies);
  tcase_add_test (tcase, test_slow_head_and_idle);
  tcase_add_test (tcase, test_streamed_answer);
  tcase_add_test (tcase, test_cut_answer);
  tcase_add_test (tcase, test_head_and_old_version);
  tcase_add_test (tcase, test_caller_leaves);
  tcase_add_test (tcase, test_drain);
  tcase_add_test (tcase, test_slow_reader);
  tcase_add_test (tcase, test_expect_continue);
  tcase_add_test (tcase, test_hop_by_hop);
  tcase_add_test (tcase, test_request_during_long_turn);
  tcase_add_test (tcase, test_rest_of_head_during_long_turn);
  tcase_add_test (tcase, test_request_while_draining);
  tcase_add_test (tcase, test_lowered_idle_timeout);
  tcase_add_test (tcase, test_rest_beyond_limit);
  tcase_add_test (tcase, test_rest_while_crowded);
  tcase_add_test (tcase, test_accepted_while_draining);
  tcase_add_test (tcase, test_request_before_close);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
