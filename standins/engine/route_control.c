#include "server_private.h"

#include <stdlib.h>
#include <string.h>

static const char *const phase_names[] = {
  [ENGINE_PHASE_QUEUED] = "queued",     [ENGINE_PHASE_PREFILL] = "prefill",
  [ENGINE_PHASE_EXPORTED] = "exported", [ENGINE_PHASE_TRANSFER] = "transfer",
  [ENGINE_PHASE_DECODE] = "decode",
};

static void
abort_wait (struct engine_wait *w)
{
  struct http_exchange *ex = w->ex;
  bool started = w->started;

  engine_wait_end (w);
  if (started)
    http_exchange_abort (ex);
  else
    engine_respond_error (ex, 410, "cancelled");
}

/* Answer the exchanges of cancelled streams: their callers would wait for
 * ever. */
static void
abort_waits (struct engine_server *s, uint64_t incarnation, uint64_t from,
             uint64_t to)
{
  for (guint i = s->waits->len; i > 0; i--)
    {
      struct engine_wait *w = s->waits->pdata[i - 1];

      if (w->stream.counter == 0 || w->stream.incarnation != incarnation
          || w->stream.counter < from || w->stream.counter > to)
        continue;
      abort_wait (w);
    }
}

static void
abort_all_waits (struct engine_server *s)
{
  for (guint i = s->waits->len; i > 0; i--)
    {
      struct engine_wait *w = s->waits->pdata[i - 1];

      if (w->type != ENGINE_WAIT_EVENTS)
        abort_wait (w);
    }
}

static void
count_hold (struct beryl_stream_id stream, enum engine_phase phase, void *user)
{
  uint64_t *window = user; /* from, to, count */

  if (stream.counter >= window[0] && stream.counter <= window[1])
    window[2]++;
}

void
route_cancel (struct engine_server *s, struct http_exchange *ex)
{
  json_t *body = engine_body (ex);
  const char *incarnation = NULL;
  json_int_t from;
  json_int_t to;

  if (body == NULL)
    return;
  if (json_unpack (body, "{s:s,s:I,s:I}", "incarnation", &incarnation, "from",
                   &from, "to", &to)
      != 0)
    engine_respond_error (ex, 400, "bad cancel");
  else
    {
      uint64_t id = strtoull (incarnation, NULL, 10);
      uint64_t window[3] = { (uint64_t)from, (uint64_t)to, 0 };
      uint32_t n = engine_model_cancel (s->model, id, window[0], window[1],
                                        engine_now_ms (s));

      abort_waits (s, id, window[0], window[1]);
      engine_model_holds (s->model, id, count_hold, window);
      engine_respond (ex, 200,
                      json_pack ("{s:I,s:I}", "cancelled", (json_int_t)n,
                                 "held", (json_int_t)window[2]));
    }
  json_decref (body);
}

static void
append_hold (struct beryl_stream_id stream, enum engine_phase phase,
             void *user)
{
  json_array_append_new (user, json_pack ("{s:I,s:s}", "counter",
                                          (json_int_t)stream.counter, "phase",
                                          phase_names[phase]));
}

void
route_holds (struct engine_server *s, struct http_exchange *ex)
{
  char incarnation[32] = "0";
  json_t *streams = json_array ();

  http_exchange_argument (ex, "incarnation", incarnation, sizeof incarnation);
  engine_model_holds (s->model, strtoull (incarnation, NULL, 10), append_hold,
                      streams);
  engine_respond (ex, 200, json_pack ("{s:o}", "streams", streams));
}

static enum beryl_role
parse_role (const char *name)
{
  if (strcmp (name, "prefill") == 0)
    return BERYL_ROLE_PREFILL;
  if (strcmp (name, "decode") == 0)
    return BERYL_ROLE_DECODE;
  return strcmp (name, "both") == 0 ? BERYL_ROLE_BOTH : 0;
}

static void
loaded (void *user)
{
  struct engine_server *s = user;

  loop_timer_stop (s->load_timer);
  s->load_timer = NULL;
  s->loading = false;
}

/* Another model or version is loaded for weights_ms; another role alone
 * counts at once. */
void
engine_serve (struct engine_server *s, json_t *serve)
{
  const char *old_model
      = json_string_value (json_object_get (s->serve, "model"));
  const char *old_version
      = json_string_value (json_object_get (s->serve, "version"));
  const char *model = json_string_value (json_object_get (serve, "model"));
  const char *version = json_string_value (json_object_get (serve, "version"));
  const char *role = json_string_value (json_object_get (serve, "role"));
  enum beryl_role next = role ? parse_role (role) : 0;
  bool reload = next != 0
                && (s->role == 0 || g_strcmp0 (model, old_model) != 0
                    || g_strcmp0 (version, old_version) != 0);

  if (reload || next == 0)
    {
      engine_model_clear (s->model, engine_now_ms (s));
      abort_all_waits (s);
    }
  if (reload)
    {
      s->loading = true;
      loop_timer_stop (s->load_timer);
      s->load_timer
          = loop_timer_start (s->loop, s->settings.weights_ms, 0, loaded, s);
    }
  s->role = next;
  g_strlcpy (s->serving_model, model ? model : "", sizeof s->serving_model);
  json_decref (s->serve);
  s->serve = json_incref (serve);
}

static json_int_t
parse_fence (json_t *body)
{
  json_t *fence = json_object_get (body, "fence");

  if (json_is_string (fence))
    return (json_int_t)strtoull (json_string_value (fence), NULL, 10);
  return json_integer_value (fence);
}

void
route_orders (struct engine_server *s, struct http_exchange *ex)
{
  json_t *body = engine_body (ex);

  if (body == NULL)
    return;
  json_t *serve = json_object_get (body, "serve");
  uint64_t fence = (uint64_t)parse_fence (body);

  if (!json_is_object (serve))
    engine_respond_error (ex, 400, "bad order");
  else if (s->settings.checks_fence && fence < s->fence)
    engine_respond (ex, 409,
                    json_pack ("{s:s,s:I}", "error", "stale_fence", "fence",
                               (json_int_t)s->fence));
  else
    {
      s->fence = fence;
      engine_serve (s, serve);
      engine_respond (ex, 200, json_object ());
    }
  json_decref (body);
}

void
route_state (struct engine_server *s, struct http_exchange *ex)
{
  engine_respond (ex, 200,
                  json_pack ("{s:O,s:b,s:b,s:I}", "serve", s->serve, "loading",
                             s->loading, "ready", !s->loading && s->role != 0,
                             "fence", (json_int_t)s->fence));
}

static json_t *
run_json (const struct engine_run *run)
{
  return json_pack (
      "{s:s,s:{s:o,s:I},s:I,s:I,s:I,s:I,s:I,s:b,s:b}", "request_id",
      run->request_id, "stream", "incarnation",
      json_sprintf ("%" G_GUINT64_FORMAT, run->stream.incarnation), "counter",
      (json_int_t)run->stream.counter, "attempt", (json_int_t)run->attempt,
      "prompt_tokens", (json_int_t)run->prompt_tokens, "cached_tokens",
      (json_int_t)run->cached_tokens, "prefills", (json_int_t)run->prefills,
      "decodes", (json_int_t)run->decodes, "completed", run->completed,
      "cancelled", run->cancelled);
}

static void
count_all (struct beryl_stream_id stream, enum engine_phase phase, void *user)
{
  ++*(json_int_t *)user;
}

void
route_truth (struct engine_server *s, struct http_exchange *ex)
{
  size_t count;
  const struct engine_run *runs = engine_model_runs (s->model, &count);
  const struct engine_totals *t = engine_model_totals (s->model);
  json_t *list = json_array ();
  json_int_t held = 0;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, run_json (&runs[i]));
  engine_model_holds (s->model, 0, count_all, &held);
  engine_respond (ex, 200,
                  json_pack ("{s:o,s:I,s:I,s:I}", "runs", list, "held", held,
                             "wasted_prefill_tokens",
                             (json_int_t)t->wasted_prefill_tokens,
                             "prefill_tokens", (json_int_t)t->prefill_tokens));
}

void
route_faults (struct engine_server *s, struct http_exchange *ex)
{
  struct engine_faults *f = &s->faults;
  json_t *body = engine_body (ex);
  int stall = f->stall_transfers;
  int freeze = f->freeze;
  int drop = f->drop_events;
  int lie = f->lie_events;
  int stopped = f->reports_stopped;

  if (body == NULL)
    return;
  if (json_unpack (body, "{s?b,s?b,s?F,s?b,s?b,s?b}", "stall_transfers",
                   &stall, "freeze", &freeze, "link_factor", &f->link_factor,
                   "drop_events", &drop, "lie_events", &lie, "reports_stopped",
                   &stopped)
      != 0)
    engine_respond_error (ex, 400, "bad faults");
  else
    {
      if (stopped && !f->reports_stopped)
        s->frozen_sample = *engine_sample_of (s, s->settings.load_lag_ms);
      f->stall_transfers = stall;
      f->freeze = freeze;
      f->drop_events = drop;
      f->lie_events = lie;
      f->reports_stopped = stopped;
      engine_model_stall_transfers (s->model, stall, engine_now_ms (s));
      engine_model_freeze (s->model, freeze, engine_now_ms (s));
      engine_model_set_link_factor (s->model, f->link_factor);
      engine_respond (ex, 200, json_object ());
    }
  json_decref (body);
}
