#include "server_private.h"

#include <stdlib.h>
#include <string.h>

#include "beryl/router.h"
#include "text.h"

#define BLOCKS_MAX 8192
#define IMPORT_TIMEOUT_MS 5000

/* Fields that prefill and decode share. */
struct stream_fields
{
  struct beryl_stream_id stream;
  uint32_t attempt;
  const char *request_id;
  enum beryl_class priority;
};

static enum beryl_class
parse_priority (const char *name)
{
  if (name != NULL && strcmp (name, "urgent") == 0)
    return BERYL_CLASS_URGENT;
  if (name != NULL && strcmp (name, "batch") == 0)
    return BERYL_CLASS_BATCH;
  return BERYL_CLASS_NORMAL;
}

static bool
parse_stream (json_t *body, struct stream_fields *f)
{
  const char *incarnation = NULL;
  const char *priority = NULL;
  json_int_t counter = 0;
  json_int_t attempt = 0;

  f->request_id = "";
  if (json_unpack (body, "{s:{s:s,s:I},s?I,s?s,s?s}", "stream", "incarnation",
                   &incarnation, "counter", &counter, "attempt", &attempt,
                   "request_id", &f->request_id, "priority", &priority)
      != 0)
    return false;
  f->stream.incarnation = strtoull (incarnation, NULL, 10);
  f->stream.counter = (uint64_t)counter;
  f->attempt = (uint32_t)attempt;
  f->priority = parse_priority (priority);
  return true;
}

static void
run_prefill (struct engine_server *s, struct http_exchange *ex, json_t *body)
{
  struct stream_fields f;
  const char *model = NULL;
  const char *prompt = NULL;
  size_t bytes;
  json_int_t prompt_tokens;
  json_int_t max_tokens;

  if (!parse_stream (body, &f)
      || json_unpack (body, "{s:s,s:s%,s:I,s:I}", "model", &model, "prompt",
                      &prompt, &bytes, "prompt_tokens", &prompt_tokens,
                      "max_tokens", &max_tokens)
             != 0)
    {
      engine_respond_error (ex, 400, "bad prefill");
      return;
    }
  if (!engine_serves (s, model, BERYL_ROLE_PREFILL))
    {
      engine_respond_error (ex, 409, "not_serving");
      return;
    }
  uint64_t *blocks = g_new (uint64_t, BLOCKS_MAX);
  uint64_t seed = engine_text_seed (prompt, bytes);
  size_t block_bytes
      = (size_t)s->settings.engine.block_tokens * BERYL_BYTES_PER_TOKEN;
  struct engine_wait *w = engine_wait_add (s, ex, ENGINE_WAIT_PREFILL);

  w->stream = f.stream;
  struct engine_prefill p = {
    .stream = f.stream,
    .attempt = f.attempt,
    .request_id = f.request_id,
    .priority = f.priority,
    .prompt_tokens = (uint32_t)prompt_tokens,
    .output_tokens = engine_text_tokens (seed, (uint32_t)max_tokens),
    .seed = seed,
    .blocks = blocks,
    .block_count
    = beryl_prefix_hash (prompt, bytes, block_bytes, blocks, BLOCKS_MAX),
    .user = w,
  };

  if (engine_model_prefill (s->model, &p, engine_now_ms (s)) == ENGINE_FULL)
    {
      engine_wait_end (w);
      engine_respond_error (ex, 429, "full");
    }
  g_free (blocks);
}

void
route_prefill (struct engine_server *s, struct http_exchange *ex)
{
  json_t *body = engine_body (ex);

  if (body == NULL)
    return;
  run_prefill (s, ex, body);
  json_decref (body);
}

void
route_kv (struct engine_server *s, struct http_exchange *ex)
{
  const char *handle = http_exchange_path (ex) + strlen ("/v1/kv/");
  struct engine_wait *w = engine_wait_add (s, ex, ENGINE_WAIT_EXPORT);

  if (engine_model_export (s->model, strtoull (handle, NULL, 10), w,
                           &w->stream, engine_now_ms (s))
      == ENGINE_OK)
    return;
  engine_wait_end (w);
  engine_respond_error (ex, 404, "expired");
}

static void
import_free (struct engine_import *i)
{
  if (i->wait != NULL)
    i->wait->import = NULL;
  g_string_free (i->body, TRUE);
  g_free (i);
}

void
engine_import_cancel (struct engine_import *i)
{
  http_call_cancel (i->call);
  import_free (i);
}

static void
import_head (struct http_call_handler *handler, struct http_call *call,
             unsigned int status)
{
  ((struct engine_import *)handler)->status = status;
}

static void
import_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t bytes_count)
{
  struct engine_import *i = (struct engine_import *)handler;

  g_string_append_len (i->body, bytes, (gssize)bytes_count);
}

static bool
parse_kv (const GString *body, struct engine_kv *kv)
{
  json_t *json = json_loadb (body->str, body->len, 0, NULL);
  json_int_t bytes, prompt_tokens, output_tokens, computed_tokens;
  const char *seed;
  bool ok = json != NULL
            && json_unpack (json, "{s:I,s:I,s:I,s:I,s:s}", "bytes", &bytes,
                            "prompt_tokens", &prompt_tokens, "output_tokens",
                            &output_tokens, "computed_tokens",
                            &computed_tokens, "seed", &seed)
                   == 0;

  if (ok)
    *kv = (struct engine_kv){
      .bytes = (uint64_t)bytes,
      .prompt_tokens = (uint32_t)prompt_tokens,
      .output_tokens = (uint32_t)output_tokens,
      .computed_tokens = (uint32_t)computed_tokens,
      .seed = strtoull (seed, NULL, 10),
    };
  json_decref (json);
  return ok;
}

static void
start_answer (struct engine_wait *w)
{
  http_exchange_start (w->ex, 200, "application/x-ndjson");
  w->started = true;
}

/* The slot is given back; the caller learns that the decode did not run. */
static void
import_lost (struct engine_wait *w)
{
  struct engine_server *s = w->server;
  struct http_exchange *ex = w->ex;

  engine_model_cancel (s->model, w->stream.incarnation, w->stream.counter,
                       w->stream.counter, engine_now_ms (s));
  w->import = NULL;
  engine_wait_end (w);
  engine_respond_error (ex, 404, "kv_expired");
}

static void
import_done (struct http_call_handler *handler, struct http_call *call)
{
  struct engine_import *i = (struct engine_import *)handler;
  struct engine_wait *w = i->wait;
  struct engine_server *s = w->server;
  struct engine_kv kv;
  bool ok = i->status == 200 && parse_kv (i->body, &kv);

  import_free (i);
  if (ok)
    ok = engine_model_imported (s->model, w->stream, &kv, w->from,
                                engine_now_ms (s))
         == ENGINE_OK;
  if (!ok)
    {
      import_lost (w);
      return;
    }
  w->seed = kv.seed;
  start_answer (w);
  engine_settle (s);
}

static void
import_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  struct engine_import *i = (struct engine_import *)handler;
  struct engine_wait *w = i->wait;

  import_free (i);
  import_lost (w);
}

static const struct http_call_handler_impl import_impl = {
  .head = import_head,
  .data = import_data,
  .done = import_done,
  .failed = import_failed,
};

static bool
split_address (const char *text, char *address, size_t address_bytes,
               uint16_t *port)
{
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t)(colon - text) >= address_bytes)
    return false;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = '\0';
  *port = (uint16_t)strtoul (colon + 1, NULL, 10);
  return *port != 0;
}

static bool
start_import (struct engine_wait *w, const char *kv_address,
              const char *handle)
{
  char address[64];
  uint16_t port;

  if (!split_address (kv_address, address, sizeof address, &port))
    return false;
  char *path = g_strdup_printf ("/v1/kv/%s", handle);
  struct http_request request = {
    .method = "GET",
    .address = address,
    .port = port,
    .path = path,
    .timeout_ms = IMPORT_TIMEOUT_MS,
  };
  struct engine_import *i = g_new0 (struct engine_import, 1);

  i->base.impl = &import_impl;
  i->wait = w;
  i->body = g_string_new (NULL);
  w->import = i;
  i->call = http_call_start (w->server->http, &request, &i->base);
  g_free (path);
  return true;
}

static void
write_tokens (struct engine_wait *w, uint32_t from, uint32_t count)
{
  char *text = g_malloc ((size_t)count * ENGINE_TOKEN_BYTES + 1);

  engine_text_write (w->seed, from, count, text);
  json_t *line
      = json_pack ("{s:I,s:I,s:s,s:I}", "attempt", (json_int_t)w->attempt,
                   "offset", (json_int_t)from * ENGINE_TOKEN_BYTES, "text",
                   text, "tokens", (json_int_t)count);
  char *out = json_dumps (line, JSON_COMPACT);

  http_exchange_write (w->ex, out, strlen (out));
  http_exchange_write (w->ex, "\n", 1);
  free (out);
  json_decref (line);
  g_free (text);
}

void
engine_decode_output (struct engine_wait *w, const struct engine_output *o)
{
  if (o->type == ENGINE_OUTPUT_TOKENS)
    {
      write_tokens (w, o->from, o->count);
      return;
    }
  json_t *line = json_pack (
      "{s:I,s:b,s:s,s:I,s:I}", "attempt", (json_int_t)w->attempt, "done", 1,
      "finish_reason", o->length_limited ? "length" : "stop", "answer_bytes",
      (json_int_t)o->from * ENGINE_TOKEN_BYTES, "completion_tokens",
      (json_int_t)o->from);
  char *out = json_dumps (line, JSON_COMPACT);
  struct http_exchange *ex = w->ex;

  http_exchange_write (ex, out, strlen (out));
  http_exchange_write (ex, "\n", 1);
  free (out);
  json_decref (line);
  engine_wait_end (w);
  http_exchange_finish (ex);
}

static bool
try_resume (struct engine_server *s, struct engine_wait *w,
            const struct engine_decode *d)
{
  uint32_t made;

  if (engine_model_resume (s->model, d, &made, &w->seed, engine_now_ms (s))
      != ENGINE_OK)
    return false;
  start_answer (w);
  if (made > w->from)
    write_tokens (w, w->from, made - w->from);
  return true;
}

static void
run_decode (struct engine_server *s, struct http_exchange *ex, json_t *body)
{
  struct stream_fields f;
  const char *handle = NULL;
  const char *kv_address = NULL;
  json_int_t offset = 0;
  json_int_t max_tokens = 0;

  if (!parse_stream (body, &f)
      || json_unpack (body, "{s?s,s?s,s?I,s:I}", "kv_handle", &handle,
                      "kv_address", &kv_address, "offset", &offset,
                      "max_tokens", &max_tokens)
             != 0)
    {
      engine_respond_error (ex, 400, "bad decode");
      return;
    }
  if (!engine_serves (s, NULL, BERYL_ROLE_DECODE))
    {
      engine_respond_error (ex, 409, "not_serving");
      return;
    }
  struct engine_wait *w = engine_wait_add (s, ex, ENGINE_WAIT_DECODE);
  struct engine_decode d = { .stream = f.stream,
                             .attempt = f.attempt,
                             .request_id = f.request_id,
                             .max_tokens = (uint32_t)max_tokens,
                             .user = w };

  w->stream = f.stream;
  w->attempt = f.attempt;
  w->from = (uint32_t)(offset / ENGINE_TOKEN_BYTES);
  if (try_resume (s, w, &d))
    return;
  if (handle == NULL || kv_address == NULL)
    {
      engine_wait_end (w);
      engine_respond_error (ex, 404, "kv_expired");
      return;
    }
  if (engine_model_reserve (s->model, &d, engine_now_ms (s)) == ENGINE_FULL)
    {
      engine_wait_end (w);
      engine_respond_error (ex, 429, "full");
      return;
    }
  if (!start_import (w, kv_address, handle))
    import_lost (w);
}

void
route_decode (struct engine_server *s, struct http_exchange *ex)
{
  json_t *body = engine_body (ex);

  if (body == NULL)
    return;
  run_decode (s, ex, body);
  json_decref (body);
}
