#include "server_private.h"

#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "text.h"

#define BODY_MAX_BYTES (4U << 20)
#define TIMER_MAX_MS 1000

typedef void route_fn (struct engine_server *s, struct http_exchange *ex);

static const struct route
{
  const char *method;
  const char *path; /* a trailing slash matches what begins with it */
  route_fn *run;
} routes[] = {
  { "GET", "/standin/truth", route_truth },
  { "GET", "/v1/cache", route_cache },
  { "GET", "/v1/cache/events", route_events },
  { "GET", "/v1/holds", route_holds },
  { "GET", "/v1/kv/", route_kv },
  { "GET", "/v1/load", route_load },
  { "GET", "/v1/state", route_state },
  { "POST", "/v1/cancel", route_cancel },
  { "POST", "/v1/decode", route_decode },
  { "POST", "/v1/orders", route_orders },
  { "POST", "/v1/prefill", route_prefill },
  { "PUT", "/standin/faults", route_faults },
};

void
engine_server_defaults (struct engine_server_settings *s)
{
  *s = (struct engine_server_settings){
    .address = "127.0.0.1",
    .engine = {
      .slots = 20,
      .prefill_queue_max = 64,
      .prefill_base_us = 5000,
      .prefill_token_us = 60,
      .step_base_us = 25000,
      .step_stream_us = 750,
      .block_tokens = 64,
      .cache_blocks = 1200,
      .kv_bytes_per_token = 40000,
      .link_bytes_per_s = 3000000000,
      .kv_ttl_ms = 800,
      .resume_ttl_ms = 5000,
    },
    .model = "model",
    .version = "1",
    .role = BERYL_ROLE_BOTH,
    .load_lag_ms = 500,
    .event_lag_ms = 500,
    .event_loss_per_mille = 10,
    .weights_ms = 2000,
  };
}

int64_t
engine_now_ms (struct engine_server *s)
{
  return loop_now_ms (s->loop);
}

void
engine_respond (struct http_exchange *ex, unsigned int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  http_exchange_respond (ex, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

void
engine_respond_error (struct http_exchange *ex, unsigned int status,
                      const char *error)
{
  if (status == 429)
    engine_respond (
        ex, status,
        json_pack ("{s:s,s:i}", "error", error, "retry_after_ms", 100));
  else
    engine_respond (ex, status, json_pack ("{s:s}", "error", error));
}

json_t *
engine_body (struct http_exchange *ex)
{
  size_t bytes;
  const void *body = http_exchange_body (ex, &bytes);
  json_t *json = json_loadb (body, bytes, 0, NULL);

  if (json == NULL)
    engine_respond_error (ex, 400, "not JSON");
  return json;
}

bool
engine_serves (const struct engine_server *s, const char *model,
               enum beryl_role role)
{
  return !s->loading && (s->role & role) != 0
         && (model == NULL || strcmp (model, s->serving_model) == 0);
}

struct engine_wait *
engine_wait_add (struct engine_server *s, struct http_exchange *ex,
                 enum engine_wait_type type)
{
  struct engine_wait *w = g_new0 (struct engine_wait, 1);

  w->type = type;
  w->server = s;
  w->ex = ex;
  http_exchange_set_user (ex, w);
  g_ptr_array_add (s->waits, w);
  return w;
}

void
engine_wait_end (struct engine_wait *w)
{
  if (w->ex != NULL)
    http_exchange_set_user (w->ex, NULL);
  if (w->import != NULL)
    engine_import_cancel (w->import);
  g_ptr_array_remove_fast (w->server->waits, w);
  g_free (w);
}

static void
request (struct http_handler *handler, struct http_exchange *ex)
{
  struct engine_server *s = (struct engine_server *)handler;
  const char *method = http_exchange_method (ex);
  const char *path = http_exchange_path (ex);

  engine_model_advance (s->model, engine_now_ms (s));
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const struct route *r = &routes[i];
      bool prefix = g_str_has_suffix (r->path, "/");

      if (strcmp (r->method, method) != 0
          || !(prefix ? g_str_has_prefix (path, r->path)
                      : strcmp (path, r->path) == 0))
        continue;
      r->run (s, ex);
      engine_settle (s);
      return;
    }
  engine_respond_error (ex, 404, "no such call");
}

/* A caller that goes away does not end its stream: only a cancel or the
 * resume time does, as with engines that can resume. */
static void
closed (struct http_handler *handler, struct http_exchange *ex, bool whole)
{
  struct engine_server *s = (struct engine_server *)handler;
  struct engine_wait *w = http_exchange_user (ex);

  if (w == NULL)
    return;
  w->ex = NULL;
  engine_model_unread (s->model, w, engine_now_ms (s));
  engine_wait_end (w);
  engine_settle (s);
}

static const struct http_handler_impl handler_impl
    = { .request = request, .closed = closed };

static void
prefill_output (struct engine_wait *w, const struct engine_output *o)
{
  struct http_exchange *ex = w->ex;
  int64_t now_ms = engine_now_ms (w->server);

  engine_wait_end (w);
  engine_respond (ex, 200,
                  json_pack ("{s:o,s:I,s:I,s:I}", "kv_handle",
                             json_sprintf ("%" G_GUINT64_FORMAT, o->handle),
                             "kv_bytes", (json_int_t)o->kv.bytes,
                             "cached_tokens", (json_int_t)o->cached_tokens,
                             "expires_ms",
                             (json_int_t)MAX (0, o->expires_ms - now_ms)));
}

static void
export_output (struct engine_wait *w, const struct engine_output *o)
{
  struct http_exchange *ex = w->ex;

  engine_wait_end (w);
  engine_respond (
      ex, 200,
      json_pack ("{s:I,s:I,s:I,s:I,s:o}", "bytes", (json_int_t)o->kv.bytes,
                 "prompt_tokens", (json_int_t)o->kv.prompt_tokens,
                 "output_tokens", (json_int_t)o->kv.output_tokens,
                 "computed_tokens", (json_int_t)o->kv.computed_tokens, "seed",
                 json_sprintf ("%" G_GUINT64_FORMAT, o->kv.seed)));
}

static void
output (struct engine_sink *sink, const struct engine_output *o)
{
  struct engine_wait *w = o->user;

  if (w == NULL)
    return;
  if (o->type == ENGINE_OUTPUT_PREFILL_DONE)
    prefill_output (w, o);
  else if (o->type == ENGINE_OUTPUT_TRANSFER_DONE)
    export_output (w, o);
  else
    engine_decode_output (w, o);
}

static const struct engine_sink_impl sink_impl = { .output = output };

static void
timer_fired (void *user)
{
  struct engine_server *s = user;

  engine_model_advance (s->model, engine_now_ms (s));
  engine_settle (s);
}

/* Set the timer to the model's next completion. */
void
engine_settle (struct engine_server *s)
{
  int64_t next = engine_model_next_ms (s->model);
  int64_t now_ms = engine_now_ms (s);

  loop_timer_stop (s->timer);
  s->timer = NULL;
  if (next == BERYL_NEVER_MS)
    return;
  int64_t delay = CLAMP (next - now_ms, 0, TIMER_MAX_MS);
  s->timer = loop_timer_start (s->loop, delay, 0, timer_fired, s);
}

static void
answer_ready_events (struct engine_server *s)
{
  for (guint i = s->waits->len; i > 0; i--)
    {
      struct engine_wait *w = s->waits->pdata[i - 1];

      if (w->type == ENGINE_WAIT_EVENTS && engine_events_ready (w))
        engine_events_answer (w);
    }
}

static void
take_sample (void *user)
{
  struct engine_server *s = user;
  struct engine_sample *next = &s->samples[s->sample_count++ % ENGINE_SAMPLES];

  engine_model_advance (s->model, engine_now_ms (s));
  next->at_ms = engine_now_ms (s);
  engine_model_load (s->model, &next->load, next->at_ms);
  next->cache_last = engine_cache_last (engine_model_cache (s->model));
  answer_ready_events (s);
  engine_settle (s);
}

struct engine_server *
engine_server_create (struct loop *loop, struct http_context *http,
                      const struct engine_server_settings *settings,
                      struct beryl_error *error)
{
  struct engine_server *s = g_new0 (struct engine_server, 1);
  struct http_server_settings listen = { .address = settings->address,
                                         .port = settings->port,
                                         .max_body_bytes = BODY_MAX_BYTES };

  s->base.impl = &handler_impl;
  s->sink.impl = &sink_impl;
  s->loop = loop;
  s->http = http;
  s->settings = *settings;
  s->faults.link_factor = 1;
  s->waits = g_ptr_array_new ();
  s->http_server = http_server_create (http, &listen, &s->base, error);
  if (s->http_server == NULL)
    {
      g_ptr_array_free (s->waits, TRUE);
      g_free (s);
      return NULL;
    }
  s->model = engine_model_create (&settings->engine, &s->sink);
  s->role = settings->role;
  g_strlcpy (s->serving_model, settings->model, sizeof s->serving_model);
  s->serve
      = json_pack ("{s:s,s:s,s:[],s:s}", "model", settings->model, "version",
                   settings->version, "adapters", "role",
                   settings->role ? beryl_role_name (settings->role) : "none");
  s->sampler = loop_timer_start (loop, ENGINE_SAMPLE_MS, ENGINE_SAMPLE_MS,
                                 take_sample, s);
  take_sample (s);
  return s;
}

uint16_t
engine_server_port (const struct engine_server *s)
{
  return http_server_port (s->http_server);
}

void
engine_server_destroy (struct engine_server *s)
{
  if (s == NULL)
    return;
  loop_timer_stop (s->timer);
  loop_timer_stop (s->sampler);
  loop_timer_stop (s->load_timer);
  for (guint i = s->waits->len; i > 0; i--)
    engine_wait_end (s->waits->pdata[i - 1]);
  g_ptr_array_free (s->waits, TRUE);
  engine_model_destroy (s->model);
  json_decref (s->serve);
  g_free (s);
}
