#include "truth.h"

#include <glib.h>
#include <string.h>

#include "http/client.h"

#define TIMEOUT_MS 10000

struct question
{
  struct http_call_handler base;
  struct loop *loop;
  GString *body;
  bool ok;
};

static void
take_data (struct http_call_handler *h, struct http_call *call,
           const void *bytes, size_t n)
{
  g_string_append_len (((struct question *)h)->body, bytes, (gssize)n);
}

static void
take_done (struct http_call_handler *h, struct http_call *call)
{
  struct question *q = (struct question *)h;
  q->ok = http_call_status (call) == 200;
  loop_quit (q->loop);
}

static void
take_failed (struct http_call_handler *h, struct http_call *call, bool sent,
             const char *reason)
{
  loop_quit (((struct question *)h)->loop);
}

static const struct http_call_handler_impl impl
    = { .data = take_data, .done = take_done, .failed = take_failed };

static void
count_runs (json_t *runs, const char *run, GHashTable *decoded,
            struct truth *truth)
{
  size_t i;
  json_t *item;
  json_array_foreach (runs, i, item)
  {
    const char *id = json_string_value (json_object_get (item, "request_id"));
    if (id == NULL || !g_str_has_prefix (id, run)
        || json_integer_value (json_object_get (item, "decodes")) == 0
        || !json_is_true (json_object_get (item, "completed")))
      continue;
    if (g_hash_table_contains (decoded, id))
      truth->doubled++;
    else
      g_hash_table_add (decoded, g_strdup (id));
  }
}

static void
add_engine (const char *text, const char *run, GHashTable *decoded,
            struct truth *truth)
{
  json_t *json = json_loads (text, 0, NULL);
  truth->prefill_tokens += (uint64_t)json_integer_value (
      json_object_get (json, "prefill_tokens"));
  truth->wasted_prefill_tokens += (uint64_t)json_integer_value (
      json_object_get (json, "wasted_prefill_tokens"));
  truth->held += (uint64_t)json_integer_value (json_object_get (json, "held"));
  count_runs (json_object_get (json, "runs"), run, decoded, truth);
  json_decref (json);
}

void
truth_collect (struct loop *loop, struct http_context *http,
               const struct caller_target *engines, size_t engine_count,
               const char *run, struct truth *truth)
{
  GHashTable *decoded
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  *truth = (struct truth){ 0 };
  for (size_t i = 0; i < engine_count; i++)
    {
      struct http_request request = { .method = "GET",
                                      .address = engines[i].address,
                                      .port = engines[i].port,
                                      .path = "/standin/truth",
                                      .timeout_ms = TIMEOUT_MS };
      struct question q = { .base.impl = &impl, .loop = loop };
      q.body = g_string_new (NULL);
      http_call_start (http, &request, &q.base);
      loop_run (loop);
      if (q.ok)
        add_engine (q.body->str, run, decoded, truth);
      else
        truth->unread++;
      g_string_free (q.body, TRUE);
    }
  g_hash_table_destroy (decoded);
}
