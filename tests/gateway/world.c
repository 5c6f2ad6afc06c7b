#include "world.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

#include "demo.h"
#include "platform.h"

#define WAIT_MS 10000

struct caller
{
  struct h1_call_handler handler; /* first member */
  struct world *world;
  struct world_answer answer;
  struct h1_call *call;
};

void
world_configure (struct world *w, const char *to, const char *extra_host)
{
  w->version += 3;
  standin_put (w->standin, "config", "main",
               demo_configuration (w->version, to, extra_host));
}

void
world_open (struct world *w)
{
  struct beryl_error error = { 0 };

  memset (w, 0, sizeof *w);
  log_init ("test", LOG_FORMAT_TEXT,
            g_getenv ("BERYL_TEST_LOG") != NULL ? "info" : "error");
  w->loop = loop_create ();
  w->http = http_context_create (w->loop, NULL);
  w->answers = g_ptr_array_new ();
  w->standin = standin_create (w->loop, "127.0.0.1", 0, &error);
  ck_assert_msg (w->standin != NULL, "%s", error.message);
  for (size_t i = 0; i < WORLD_NODES_MAX; i++)
    g_snprintf (w->ips[i], sizeof w->ips[i], "127.%d.%d.%zu",
                1 + getpid () / 250 % 250, 1 + getpid () % 250, i + 1);
  w->version = 1;
  w->runners = demo_fill (w->standin);
}

static void
caller_free (struct caller *caller)
{
  g_string_free (caller->answer.fields, TRUE);
  g_string_free (caller->answer.body, TRUE);
  g_free (caller);
}

void
world_close (struct world *w)
{
  for (size_t i = 0; i < WORLD_NODES_MAX; i++)
    world_kill (w, i);
  /* Nothing may accept a connection any more: the library closes a descriptor
     of its own twice when it is released. */
  standin_destroy (w->standin);
  http_context_destroy (w->http);
  g_ptr_array_free (w->runners, TRUE);
  world_turn (w, 20);
  for (guint i = 0; i < w->answers->len; i++)
    caller_free (g_ptr_array_index (w->answers, i));
  g_ptr_array_free (w->answers, TRUE);
  loop_destroy (w->loop);
}

static void
set_address (struct gateway_address *address, const char *ip, uint16_t port)
{
  g_strlcpy (address->ip, ip, sizeof address->ip);
  address->port = port;
}

void
world_node (struct world *w, size_t i)
{
  struct gateway_settings settings = {
    .data_centre = "dc-1", /* the runners' */
    .region = "r",
    .peer_port = WORLD_PEER_PORT,
    .metrics_port = WORLD_METRICS_PORT,
    .platform_reads_per_s = 2000,
    .platform_writes_per_s = 400,
    .repeat_ratio = 0.2,
    .repeat_slack = 50,
    .repeat_window_ms = 10000,
    .address_keep_ms = 1000,
    .endpoint_leave_ms = 2000,
    .stop_ms = 4000,
    .record_keep_ms = 1500,
    .lease_ms = 2000,
    .thaw_ms = 200,
    .descriptors_max = 1000,
    .memory_mb = 64,
  };
  struct beryl_error error = { 0 };

  g_snprintf (settings.node, sizeof settings.node, "node-%zu", i);
  if (w->data_centres[i] != NULL)
    g_strlcpy (settings.data_centre, w->data_centres[i],
               sizeof settings.data_centre);
  set_address (&settings.front, w->ips[i], WORLD_FRONT_PORT);
  set_address (&settings.ready, w->ips[i], WORLD_READY_PORT);
  set_address (&settings.directory, w->ips[i], WORLD_DIRECTORY_PORT);
  set_address (&settings.platform, "127.0.0.1", standin_port (w->standin));
  w->nodes[i] = gateway_create (w->loop, w->http, platform_gateway_wire (),
                                &settings, &error);
  ck_assert_msg (w->nodes[i] != NULL, "%s", error.message);
}

void
world_kill (struct world *w, size_t i)
{
  if (w->nodes[i] == NULL)
    return;
  gateway_destroy (w->nodes[i]);
  w->nodes[i] = NULL;
}

static void
time_over (void *user)
{
  loop_quit (user);
}

void
world_turn (struct world *w, int64_t ms)
{
  struct loop_timer *timer
      = loop_timer_start (w->loop, ms, 0, time_over, w->loop);

  loop_run (w->loop);
  loop_timer_stop (timer);
}

bool
world_until (struct world *w, bool (*until) (struct world *w), int64_t ms)
{
  int64_t end_ms = loop_now_ms (w->loop) + ms;

  while (!until (w))
    {
      if (loop_now_ms (w->loop) > end_ms)
        return false;
      world_turn (w, 5);
    }
  return true;
}

static struct caller *
of_handler (struct h1_call_handler *handler)
{
  return (struct caller *)handler;
}

static void
answer_head (struct h1_call_handler *handler, struct h1_call *call,
             const struct h1_head *head)
{
  struct world_answer *answer = &of_handler (handler)->answer;

  answer->status = head->status;
  for (size_t i = 0; i < head->field_count; i++)
    g_string_append_printf (answer->fields, "%s: %s\n", head->fields[i].name,
                            head->fields[i].value);
}

static void
answer_data (struct h1_call_handler *handler, struct h1_call *call,
             const char *bytes, size_t bytes_count)
{
  struct caller *caller = of_handler (handler);

  if (caller->answer.first_ms == 0)
    caller->answer.first_ms = loop_now_ms (caller->world->loop);
  g_string_append_len (caller->answer.body, bytes, (gssize)bytes_count);
}

static void
answer_done (struct h1_call_handler *handler, struct h1_call *call)
{
  struct caller *caller = of_handler (handler);

  caller->answer.done = true;
  caller->answer.end_ms = loop_now_ms (caller->world->loop);
}

static void
answer_failed (struct h1_call_handler *handler, struct h1_call *call,
               enum h1_failure failure, bool sent)
{
  struct caller *caller = of_handler (handler);

  caller->answer.failed = true;
  caller->answer.failure = failure;
  caller->answer.end_ms = loop_now_ms (caller->world->loop);
}

static const struct h1_call_handler_impl caller_impl = {
  .head = answer_head,
  .data = answer_data,
  .done = answer_done,
  .failed = answer_failed,
};

static struct world_answer *
send_to (struct world *w, const char *ip, uint16_t port, const char *head)
{
  struct caller *caller = g_new0 (struct caller, 1);
  struct h1_request request = {
    .address = ip, .port = port, .head = head, .head_bytes = strlen (head)
  };

  caller->handler.impl = &caller_impl;
  caller->world = w;
  caller->answer.fields = g_string_new (NULL);
  caller->answer.body = g_string_new (NULL);
  caller->answer.begun_ms = loop_now_ms (w->loop);
  g_ptr_array_add (w->answers, caller);
  caller->call = h1_call_start (w->loop, &request, &caller->handler);
  return &caller->answer;
}

struct world_answer *
world_get (struct world *w, size_t i, const char *host, const char *path,
           const char *fields)
{
  char *head = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: q-%" G_GUINT64_FORMAT
      "\r\nX-Deadline-Ms: 5000\r\n%s\r\n",
      path, host, ++w->requests, fields);
  struct world_answer *answer = send_to (w, w->ips[i], WORLD_FRONT_PORT, head);

  g_free (head);
  return answer;
}

struct world_answer *
world_generate (struct world *w, size_t i, uint32_t prompt_tokens,
                uint32_t output_tokens)
{
  char *fields = g_strdup_printf (
      "X-Token-Counts: %u,%u\r\nX-Length-Hint: %u\r\nX-Model: m\r\n",
      prompt_tokens, output_tokens, output_tokens);
  struct world_answer *answer
      = world_get (w, i, "model.example", "/chat", fields);

  g_free (fields);
  return answer;
}

struct world_answer *
world_generate_prompt (struct world *w, size_t i, const char *prompt,
                       uint64_t last_event)
{
  char *fields
      = g_strdup_printf ("X-Token-Counts: 2000,1500\r\nX-Length-Hint: 1500\r\n"
                         "X-Prompt-Prefix: shared:200,%s:1800\r\n",
                         prompt);
  char *resume = g_strdup_printf ("%sLast-Event-Id: %" G_GUINT64_FORMAT "\r\n",
                                  fields, last_event);
  struct world_answer *answer = world_get (w, i, "model.example", "/chat",
                                           last_event > 0 ? resume : fields);

  g_free (fields);
  g_free (resume);
  return answer;
}

void
world_leave (struct world *w, struct world_answer *answer)
{
  for (guint i = 0; i < w->answers->len; i++)
    {
      struct caller *caller = g_ptr_array_index (w->answers, i);

      if (&caller->answer == answer)
        h1_call_cancel (caller->call);
    }
}

void
world_wait (struct world *w, struct world_answer *answer)
{
  int64_t end_ms = loop_now_ms (w->loop) + WAIT_MS;

  while (!answer->done && !answer->failed)
    {
      ck_assert_msg (loop_now_ms (w->loop) < end_ms, "no answer");
      world_turn (w, 2);
    }
}

struct world_answer *
world_ask (struct world *w, size_t i, uint16_t port, const char *path)
{
  char *head = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: node\r\n\r\n", path);
  struct world_answer *answer = send_to (w, w->ips[i], port, head);

  g_free (head);
  world_wait (w, answer);
  return answer;
}

/* Whether each node is ready and names as many addresses as there are
 * nodes. */
static bool
all_know_all (struct world *w)
{
  size_t count = 0;

  for (size_t i = 0; i < WORLD_NODES_MAX; i++)
    count += w->nodes[i] != NULL;
  for (size_t i = 0; i < WORLD_NODES_MAX; i++)
    {
      struct world_answer *answer;
      char **parts;
      size_t named;

      if (w->nodes[i] == NULL)
        continue;
      answer = world_ask (w, i, WORLD_READY_PORT, "/v1/ready");
      if (answer->status != 200)
        return false;
      answer = world_ask (w, i, WORLD_DIRECTORY_PORT, "/v1/resolve?zone=dc-1");
      parts = g_strsplit (answer->body->str, ":8100", -1);
      named = g_strv_length (parts) - 1;
      g_strfreev (parts);
      if (named != count)
        return false;
    }
  return true;
}

void
world_nodes (struct world *w, size_t count)
{
  for (size_t i = 0; i < count; i++)
    world_node (w, i);
  world_all_known (w);
}

void
world_all_known (struct world *w)
{
  ck_assert (world_until (w, all_know_all, WAIT_MS));
}

struct standin_runner *
world_runner (struct world *w, size_t i)
{
  return g_ptr_array_index (w->runners, i);
}

struct standin_runner *
world_busiest (struct world *w)
{
  struct standin_runner *best = NULL;

  for (size_t i = 0; i < WORLD_RUNNERS; i++)
    if (best == NULL
        || standin_runner_running (world_runner (w, i))
               > standin_runner_running (best))
      best = world_runner (w, i);
  return best;
}
