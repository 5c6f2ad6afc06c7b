#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "server.h"
#include "text.h"
#include "../suite.h"

/* Result of one call to standin-engine. */
struct result
{
  struct http_call_handler base;
  struct loop *loop;
  GString *body;
  unsigned int status;
  bool failed;
};

static struct loop *loop;
static struct http_context *http;
static struct engine_server *engine;

static void
on_head (struct http_call_handler *h, struct http_call *call,
         unsigned int status)
{
  ((struct result *)h)->status = status;
}

static void
on_data (struct http_call_handler *h, struct http_call *call,
         const void *bytes, size_t n)
{
  g_string_append_len (((struct result *)h)->body, bytes, (gssize)n);
}

static void
on_done (struct http_call_handler *h, struct http_call *call)
{
  loop_quit (((struct result *)h)->loop);
}

static void
on_failed (struct http_call_handler *h, struct http_call *call, bool sent,
           const char *reason)
{
  ((struct result *)h)->failed = true;
  loop_quit (((struct result *)h)->loop);
}

static const struct http_call_handler_impl result_impl = {
  .head = on_head,
  .data = on_data,
  .done = on_done,
  .failed = on_failed,
};

static struct http_call *
begin (struct result *r, const char *method, const char *path,
       const char *body)
{
  struct http_request request = {
    .method = method,
    .address = "127.0.0.1",
    .port = engine_server_port (engine),
    .path = path,
    .body = body,
    .body_bytes = body ? strlen (body) : 0,
    .timeout_ms = 10000,
  };

  *r = (struct result){ .base.impl = &result_impl, .loop = loop };
  r->body = g_string_new (NULL);
  return http_call_start (http, &request, &r->base);
}

static json_t *
call (const char *method, const char *path, const char *body,
      unsigned int expected)
{
  struct result r;

  begin (&r, method, path, body);
  loop_run (loop);
  ck_assert (!r.failed);
  ck_assert_msg (r.status == expected, "%s: %u %s", path, r.status,
                 r.body->str);
  json_t *json = json_loads (r.body->str, 0, NULL);
  g_string_free (r.body, TRUE);
  return json;
}

static void
setup (void)
{
  struct engine_server_settings s;
  struct beryl_error error = { 0 };

  engine_server_defaults (&s);
  s.engine.slots = 1;
  s.engine.step_base_us = 2000;
  s.engine.step_stream_us = 0;
  s.checks_fence = true;
  s.weights_ms = 50;
  s.load_lag_ms = 0;
  s.event_lag_ms = 0;
  s.event_loss_per_mille = 0;
  loop = loop_create ();
  http = http_context_create (loop, NULL);
  engine = engine_server_create (loop, http, &s, &error);
  ck_assert_msg (engine != NULL, "%s", error.message);
}

static void
teardown (void)
{
  http_context_destroy (http);
  engine_server_destroy (engine);
  loop_destroy (loop);
}

static const char *
prefill_body (int counter)
{
  static char text[512];

  g_snprintf (text, sizeof text,
              "{\"stream\":{\"incarnation\":\"18446744073709551615\","
              "\"counter\":%d},\"attempt\":1,\"request_id\":\"r%d\","
              "\"model\":\"model\",\"prompt\":\"some prompt\","
              "\"prompt_tokens\":300,\"max_tokens\":50,"
              "\"priority\":\"normal\",\"deadline_ms\":5000}",
              counter, counter);
  return text;
}

static char *
decode_body (int counter, const char *handle, int attempt, int offset,
             int max_tokens)
{
  return g_strdup_printf (
      "{\"stream\":{\"incarnation\":\"18446744073709551615\","
      "\"counter\":%d},\"attempt\":%d,\"request_id\":\"r%d\","
      "\"kv_handle\":\"%s\",\"kv_address\":\"127.0.0.1:%u\","
      "\"offset\":%d,\"max_tokens\":%d,\"priority\":\"normal\"}",
      counter, attempt, counter, handle, engine_server_port (engine), offset,
      max_tokens);
}

static char *
run_prefill (int counter)
{
  json_t *kv = call ("POST", "/v1/prefill", prefill_body (counter), 200);
  char *handle
      = g_strdup (json_string_value (json_object_get (kv, "kv_handle")));

  ck_assert_int_eq (json_integer_value (json_object_get (kv, "kv_bytes")),
                    300 * 40000);
  json_decref (kv);
  return handle;
}

/* Concatenates the text of all lines and checks their offsets; *DONE is the
 * final line. */
static char *
answer_text (const char *body, json_t **done)
{
  char **lines = g_strsplit (body, "\n", -1);
  GString *text = g_string_new (NULL);

  *done = NULL;
  for (size_t i = 0; lines[i] && lines[i][0]; i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);

      ck_assert_ptr_null (*done);
      if (json_object_get (line, "done"))
        {
          *done = line;
          continue;
        }
      ck_assert_uint_eq (
          (size_t)json_integer_value (json_object_get (line, "offset")),
          text->len);
      g_string_append (text,
                       json_string_value (json_object_get (line, "text")));
      json_decref (line);
    }
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}

START_TEST (test_prefill_and_decode)
{
  struct result r;
  char *handle = run_prefill (1);
  char *body = decode_body (1, handle, 1, 0, 50);
  json_t *done;

  begin (&r, "POST", "/v1/decode", body);
  loop_run (loop);
  ck_assert_uint_eq (r.status, 200);
  char *text = answer_text (r.body->str, &done);
  uint64_t seed = engine_text_seed ("some prompt", 11);
  uint32_t tokens = engine_text_tokens (seed, 50);
  char expected[512];

  engine_text_write (seed, 0, tokens, expected);
  ck_assert_str_eq (text, expected);
  ck_assert_ptr_nonnull (done);
  ck_assert_int_eq (
      json_integer_value (json_object_get (done, "answer_bytes")),
      strlen (expected));
  json_decref (done);
  json_t *truth = call ("GET", "/standin/truth", NULL, 200);

  ck_assert_int_eq (json_integer_value (json_object_get (truth, "held")), 0);
  ck_assert_uint_eq (json_array_size (json_object_get (truth, "runs")), 2);
  json_decref (truth);
  g_free (text);
  g_free (body);
  g_free (handle);
  g_string_free (r.body, TRUE);
}
END_TEST

/* With one slot the second decode is refused as full and does not run.  After
 * the first is cancelled the engine holds nothing of it, its reader sees a
 * truncated answer, and the second decode runs. */
START_TEST (test_full_then_cancel)
{
  struct result first;
  char *h1 = run_prefill (1);
  char *h2 = run_prefill (2);
  char *b1 = decode_body (1, h1, 1, 0, 4000);
  char *b2 = decode_body (2, h2, 1, 0, 1);

  begin (&first, "POST", "/v1/decode", b1);
  json_t *answer = call ("POST", "/v1/decode", b2, 429);

  ck_assert_str_eq (json_string_value (json_object_get (answer, "error")),
                    "full");
  json_decref (answer);
  answer = call ("POST", "/v1/cancel",
                 "{\"incarnation\":\"18446744073709551615\",\"from\":1,"
                 "\"to\":1}",
                 200);
  ck_assert_int_eq (json_integer_value (json_object_get (answer, "held")), 0);
  json_decref (answer);
  if (!first.failed && first.status != 410)
    loop_run (loop);
  ck_assert (first.failed || first.status == 410);
  json_decref (call ("POST", "/v1/decode", b2, 200));
  g_string_free (first.body, TRUE);
  g_free (h1);
  g_free (h2);
  g_free (b1);
  g_free (b2);
}
END_TEST

START_TEST (test_unknown_kv_is_404)
{
  char *body = decode_body (1, "77", 1, 0, 10);

  json_decref (call ("POST", "/v1/decode", body, 404));
  json_t *holds
      = call ("GET", "/v1/holds?incarnation=18446744073709551615", NULL, 200);

  ck_assert_uint_eq (json_array_size (json_object_get (holds, "streams")), 0);
  json_decref (holds);
  g_free (body);
}
END_TEST

/* Guards against an outdated order of a former leaseholder: an engine that
 * checks the fence refuses it and returns the current fence. */
START_TEST (test_old_fence_is_refused)
{
  const char *order = "{\"fence\":%d,\"serve\":{\"model\":\"%s\","
                      "\"version\":\"1\",\"adapters\":[],\"role\":\"%s\"}}";
  char *now = g_strdup_printf (order, 7, "other", "both");
  char *old = g_strdup_printf (order, 6, "model", "none");

  json_decref (call ("POST", "/v1/orders", now, 200));
  json_decref (call ("POST", "/v1/prefill", prefill_body (1), 409));
  json_t *answer = call ("POST", "/v1/orders", old, 409);

  ck_assert_int_eq (json_integer_value (json_object_get (answer, "fence")), 7);
  json_decref (answer);
  answer = call ("GET", "/v1/state", NULL, 200);
  ck_assert_str_eq (json_string_value (json_object_get (
                        json_object_get (answer, "serve"), "model")),
                    "other");
  json_decref (answer);
  g_free (now);
  g_free (old);
}
END_TEST

START_TEST (test_reports)
{
  json_t *load = call ("GET", "/v1/load", NULL, 200);

  ck_assert_int_eq (json_integer_value (json_object_get (load, "slots")), 1);
  json_decref (load);
  char *long_prompt = g_strnfill (600, 'x');
  char *body = g_strdup_printf (
      "{\"stream\":{\"incarnation\":\"1\",\"counter\":1},\"attempt\":1,"
      "\"request_id\":\"r\",\"model\":\"model\",\"prompt\":\"%s\","
      "\"prompt_tokens\":150,\"max_tokens\":50}",
      long_prompt);

  json_decref (call ("POST", "/v1/prefill", body, 200));
  json_t *events
      = call ("GET", "/v1/cache/events?after=0&wait_ms=2000", NULL, 200);

  ck_assert_uint_eq (json_array_size (json_object_get (events, "events")), 2);
  ck_assert_int_eq (json_integer_value (json_object_get (events, "last")), 2);
  json_decref (events);
  json_t *cache = call ("GET", "/v1/cache", NULL, 200);

  ck_assert_uint_eq (json_array_size (json_object_get (cache, "blocks")), 2);
  json_decref (cache);
  g_free (long_prompt);
  g_free (body);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("engine http");
  TCase *tc = tcase_create ("engine http");
  tcase_set_timeout (tc, 30);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_prefill_and_decode);
  tcase_add_test (tc, test_full_then_cancel);
  tcase_add_test (tc, test_unknown_kv_is_404);
  tcase_add_test (tc, test_old_fence_is_refused);
  tcase_add_test (tc, test_reports);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
