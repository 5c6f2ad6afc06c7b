#include <stdlib.h>
#include <string.h>

#include "demo.h"

#define FETCH_TIMEOUT_MS 3000

struct fetch
{
  struct http_call_handler base;
  struct demo *demo;
  GString *body;
  bool done;
};

static void
fetch_data (struct http_call_handler *handler, struct http_call *call,
            const void *bytes, size_t bytes_count)
{
  g_string_append_len (((struct fetch *)handler)->body, bytes,
                       (gssize)bytes_count);
}

static void
fetch_done (struct http_call_handler *handler, struct http_call *call)
{
  ((struct fetch *)handler)->done = true;
}

static void
fetch_failed (struct http_call_handler *handler, struct http_call *call,
              bool sent, const char *reason)
{
  ((struct fetch *)handler)->done = true;
}

static const struct http_call_handler_impl fetch_impl = {
  .data = fetch_data,
  .done = fetch_done,
  .failed = fetch_failed,
};

json_t *
fetch_json (struct demo *demo, const struct place *place, const char *path)
{
  struct fetch fetch = { .base.impl = &fetch_impl, .demo = demo };
  struct http_request request = {
    .method = "GET",
    .address = place->address,
    .port = place->port,
    .path = path,
    .timeout_ms = FETCH_TIMEOUT_MS,
  };
  json_t *root;

  fetch.body = g_string_new (NULL);
  http_call_start (demo->http, &request, &fetch.base);
  while (!fetch.done)
    uv_run (loop_uv (demo->loop), UV_RUN_ONCE);
  root = json_loadb (fetch.body->str, fetch.body->len, 0, NULL);
  g_string_free (fetch.body, TRUE);
  return root;
}

/* Adds what a service ran to RUNS. */
static void
add_runs (GHashTable *runs, const json_t *truth)
{
  const char *id;
  json_t *count;

  json_object_foreach (json_object_get (truth, "by_request"), id, count)
  {
    int n = GPOINTER_TO_INT (g_hash_table_lookup (runs, id))
            + (int)json_integer_value (count);

    g_hash_table_insert (runs, g_strdup (id), GINT_TO_POINTER (n));
  }
}

static void
check_letters (struct demo *demo, GHashTable *runs)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, demo->letters);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      int n = GPOINTER_TO_INT (g_hash_table_lookup (runs, id));
      int outcome = GPOINTER_TO_INT (value) - 1;

      demo->doubled += n > 1;
      demo->false_not_run += n > 0 && outcome == BERYL_OUTCOME_NOT_RUN;
    }
}

static uint64_t
number (const json_t *root, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (root, key));
}

void
truth_read (struct demo *demo)
{
  GHashTable *runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < demo->service_count; i++)
    {
      json_t *truth = fetch_json (demo, &demo->services[i], "/standin/truth");

      add_runs (runs, truth);
      json_decref (truth);
    }
  check_letters (demo, runs);
  g_hash_table_destroy (runs);
  for (size_t i = 0; i < demo->engine_count; i++)
    {
      json_t *truth = fetch_json (demo, &demo->engines[i], "/standin/truth");

      demo->wasted_tokens += number (truth, "wasted_prefill_tokens");
      demo->prefill_tokens += number (truth, "prefill_tokens");
      demo->held += number (truth, "held");
      json_decref (truth);
    }
}
