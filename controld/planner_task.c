#include "planner_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "beryl/planner.h"
#include "config_task.h"
#include "drains.h"
#include "http/client.h"
#include "profile_store.h"
#include "role_task.h"

#define TICK_MS 1000
#define CALL_MS 2000
/* All engines are polled once per sweep, a batch at a time. */
#define POLL_INTERVAL_MS 100
#define SWEEP_MS 15000
#define POLL_BATCH_MIN 2
#define POLL_BATCH_MAX 40
/* Limits of concurrent calls; those above POLL_CALLS_MAX are reserved for
 * orders. */
#define POLL_CALLS_MAX 200
#define CALLS_MAX 256
#define ANSWER_BYTES 8192
#define ORDER_BYTES 400

struct planner_task
{
  struct beryl_planner_owner base;
  struct control *control;
  struct beryl_planner *planner;
  struct beryl_config *config; /* referenced by the planner */
  struct loop_timer *timer;
  struct loop_timer *poll_timer;
  size_t next_poll;
  GPtrArray *calls; /* struct call * */
  struct profile_store *profiles;
  struct drains *drains;
};

enum call_kind
{
  CALL_STATE,
  CALL_LOAD, /* checks that the engine is idle before an order */
  CALL_ORDER,
};

/* One call to an engine. */
struct call
{
  struct http_call_handler base;
  struct planner_task *task;
  struct http_call *call;
  char endpoint[BERYL_NAME_BYTES];
  enum call_kind kind;
  char order[ORDER_BYTES]; /* CALL_LOAD: sent if the engine is idle */
  char answer[ANSWER_BYTES];
  size_t answer_bytes;
};

static void call_start (struct planner_task *task,
                        const struct beryl_endpoint *endpoint,
                        enum call_kind kind, const char *order);

static void
call_end (struct call *c)
{
  g_ptr_array_remove_fast (c->task->calls, c);
  g_free (c);
}

static void
call_data (struct http_call_handler *handler, struct http_call *call,
           const void *bytes, size_t bytes_count)
{
  struct call *c = (struct call *)handler;
  size_t room = sizeof c->answer - c->answer_bytes;
  size_t n = bytes_count < room ? bytes_count : room;

  (void)call;
  memcpy (c->answer + c->answer_bytes, bytes, n);
  c->answer_bytes += n;
}

static enum beryl_role
role_parse (const char *name)
{
  static const enum beryl_role roles[]
      = { BERYL_ROLE_PREFILL, BERYL_ROLE_DECODE, BERYL_ROLE_BOTH };

  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (roles); i++)
    if (strcmp (name, beryl_role_name (roles[i])) == 0)
      return roles[i];
  return 0;
}

static const char *
json_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static const struct beryl_endpoint *
endpoint_find (const struct planner_task *task, const char *name)
{
  for (size_t i = 0; i < task->config->endpoint_count; i++)
    if (strcmp (task->config->endpoints[i].name, name) == 0)
      return &task->config->endpoints[i];
  return NULL;
}

static void
state_handle (struct call *c)
{
  json_t *json = json_loadb (c->answer, c->answer_bytes, 0, NULL);
  json_t *serve = json_object_get (json, "serve");
  struct beryl_engine_state state = { .endpoint = c->endpoint };

  if (serve != NULL)
    {
      state.role = role_parse (json_text (serve, "role"));
      state.model = state.role != 0 ? json_text (serve, "model") : "";
      state.version = state.role != 0 ? json_text (serve, "version") : "";
      state.loading = json_is_true (json_object_get (json, "loading"));
      state.ready = json_is_true (json_object_get (json, "ready"));
    }
  beryl_planner_report_engine (c->task->planner, &state,
                               control_now_ms (c->task->control));
  /* A cold engine refuses calls.  While all engines are leaving, calls are
   * held until one is warm; the drain ends once the engine serves. */
  if (serve != NULL && (state.role == 0 || state.loading))
    drains_ensure (c->task->drains, c->endpoint);
  else if (state.ready
           && beryl_planner_order_applied (c->task->planner, c->endpoint))
    drains_end (c->task->drains, c->endpoint);
  json_decref (json);
}

static bool
is_zero (json_t *json, const char *key)
{
  return json_integer_value (json_object_get (json, key)) == 0;
}

static void
load_handle (struct call *c)
{
  json_t *json = json_loadb (c->answer, c->answer_bytes, 0, NULL);
  const struct beryl_endpoint *endpoint = endpoint_find (c->task, c->endpoint);

  if (json != NULL && endpoint != NULL && is_zero (json, "decoding")
      && is_zero (json, "prefill_queue") && is_zero (json, "kv_bytes_held")
      && role_task_held (c->task->control->roles, CONTROL_ROLE_PLANNER, NULL))
    call_start (c->task, endpoint, CALL_ORDER, c->order);
  json_decref (json);
}

static void
call_done (struct http_call_handler *handler, struct http_call *call)
{
  struct call *c = (struct call *)handler;
  unsigned int status = http_call_status (call);

  if (c->kind == CALL_STATE && status == 200)
    state_handle (c);
  else if (c->kind == CALL_LOAD && status == 200)
    load_handle (c);
  else if (c->kind == CALL_ORDER && status == 409)
    {
      g_warning ("%s refused an order: %.*s", c->endpoint,
                 (int)c->answer_bytes, c->answer);
      counters_add (c->task->control->counters, "beryl_orders_total",
                    "result=\"refused\"", 1);
    }
  else if (c->kind == CALL_ORDER)
    counters_add (c->task->control->counters, "beryl_orders_total",
                  status == 200 ? "result=\"taken\"" : "result=\"failed\"", 1);
  call_end (c);
}

/* The planner repeats a failed order until the engine's state shows it.  An
 * engine that does not answer is reported without state, so that it is not
 * used as a spare. */
static void
call_failed (struct http_call_handler *handler, struct http_call *call,
             bool sent, const char *reason)
{
  struct call *c = (struct call *)handler;
  struct beryl_engine_state state = { .endpoint = c->endpoint };

  (void)call;
  (void)sent;
  if (c->kind != CALL_STATE)
    g_info ("call to %s for an order failed: %s", c->endpoint, reason);
  else
    beryl_planner_report_engine (c->task->planner, &state,
                                 control_now_ms (c->task->control));
  call_end (c);
}

static const struct http_call_handler_impl call_impl = {
  .data = call_data,
  .done = call_done,
  .failed = call_failed,
};

static void
call_start (struct planner_task *task, const struct beryl_endpoint *endpoint,
            enum call_kind kind, const char *order)
{
  static const char *const paths[] = { [CALL_STATE] = "/v1/state",
                                       [CALL_LOAD] = "/v1/load",
                                       [CALL_ORDER] = "/v1/orders" };
  const char *body = kind == CALL_ORDER ? order : NULL;
  struct http_header header = { "content-type", "application/json" };
  struct http_request request
      = { .method = body != NULL ? "POST" : "GET",
          .address = endpoint->address,
          .port = endpoint->port,
          .path = paths[kind],
          .headers = &header,
          .header_count = body != NULL ? 1 : 0,
          .body = body,
          .body_bytes = body != NULL ? strlen (body) : 0,
          .timeout_ms = CALL_MS,
          .answer_max_bytes = ANSWER_BYTES };
  struct call *c;

  if (task->calls->len >= CALLS_MAX)
    return;
  c = g_new0 (struct call, 1);
  c->base.impl = &call_impl;
  c->task = task;
  c->kind = kind;
  if (order != NULL)
    g_strlcpy (c->order, order, sizeof c->order);
  memcpy (c->endpoint, endpoint->name, sizeof c->endpoint);
  g_ptr_array_add (task->calls, c);
  c->call = http_call_start (task->control->http, &request, &c->base);
}

/* The lease is checked right before each order, as this process may have been
 * paused at any point.  An engine that checks the fencing number refuses
 * orders that still arrive late; any other engine gets orders only after all
 * orders of the previous holder must have arrived. */
static bool
order_allowed (const struct planner_task *task,
               const struct beryl_endpoint *endpoint, uint64_t *fence)
{
  const struct role_task *roles = task->control->roles;

  if (!role_task_held (roles, CONTROL_ROLE_PLANNER, fence))
    return false;
  return endpoint->checks_fence
         || role_task_settled (roles, CONTROL_ROLE_PLANNER);
}

static void
order_send (struct beryl_planner_owner *owner, const struct beryl_order *order)
{
  struct planner_task *task = (struct planner_task *)owner;
  const struct beryl_endpoint *endpoint
      = endpoint_find (task, order->endpoint);
  const char *role = order->role != 0 ? beryl_role_name (order->role) : "none";
  char body[ORDER_BYTES];
  uint64_t fence = 0;

  if (endpoint == NULL || !order_allowed (task, endpoint, &fence))
    return;
  if (order->interrupts && !drains_ensure (task->drains, order->endpoint))
    return;
  g_info ("order to %s: %s %s as %s (%s), fence %" G_GUINT64_FORMAT,
          order->endpoint, order->model, order->version, role, order->reason,
          fence);
  g_snprintf (body, sizeof body,
              "{\"fence\":%" G_GUINT64_FORMAT
              ",\"serve\":{\"model\":\"%s\",\"version\":\"%s\","
              "\"adapters\":[],\"role\":\"%s\"}}",
              fence, order->model, order->version, role);
  call_start (task, endpoint, order->interrupts ? CALL_LOAD : CALL_ORDER,
              body);
}

static const struct beryl_planner_owner_impl owner_impl
    = { .order = order_send };

/* The batch grows with the fleet: at a fixed polling rate a sweep of a large
 * fleet took minutes, and orders were based on stale state.  Engines that do
 * not answer occupy a call for CALL_MS each; when there are many, the sweep
 * pauses at POLL_CALLS_MAX so that orders can still be sent. */
static void
engines_poll (void *user)
{
  struct planner_task *task = user;
  size_t count = task->config != NULL ? task->config->endpoint_count : 0;
  size_t polls = CLAMP (count * POLL_INTERVAL_MS / SWEEP_MS + 1,
                        POLL_BATCH_MIN, POLL_BATCH_MAX);

  for (size_t i = 0;
       i < count && i < polls && task->calls->len < POLL_CALLS_MAX; i++)
    {
      const struct beryl_endpoint *endpoint
          = &task->config->endpoints[task->next_poll++ % count];

      if (endpoint->role != BERYL_ROLE_SERVICE)
        call_start (task, endpoint, CALL_STATE, NULL);
    }
}

static void
planner_tick (void *user)
{
  struct planner_task *task = user;

  if (task->config == NULL)
    return;
  profile_store_tick (task->profiles);
  beryl_planner_tick (task->planner, control_now_ms (task->control));
}

void
planner_task_config (struct planner_task *task)
{
  struct beryl_findings *findings;
  struct beryl_config *previous = task->config;
  struct beryl_config *config;
  size_t bytes = 0;
  char *text;

  if (beryl_config_log_version (task->control->config_log) == 0)
    return;
  text = beryl_config_log_objects (task->control->config_log, &bytes);
  findings = beryl_findings_create ();
  config = beryl_config_parse (
      text, bytes, beryl_config_log_version (task->control->config_log),
      findings);
  beryl_findings_destroy (findings);
  free (text);
  if (config == NULL)
    return;
  task->config = config;
  beryl_planner_set_config (task->planner, config,
                            control_now_ms (task->control));
  beryl_config_destroy (previous);
}

void
planner_task_report_loads (struct planner_task *task,
                           const struct local_loads *loads, const char *node)
{
  for (size_t i = 0; i < loads->count; i++)
    {
      const struct local_load *l = &loads->items[i];

      beryl_planner_report_demand (task->planner, node, l->service, l->arrived,
                                   l->waiting, l->running, l->prompt_tokens,
                                   control_now_ms (task->control));
    }
}

struct planner_task *
planner_task_create (struct control *control)
{
  struct planner_task *task = g_new0 (struct planner_task, 1);
  struct beryl_planner_settings settings = {
    .sizing = BERYL_SIZING_CORRECTED,
    .day_offset_ms = g_get_real_time () / 1000 - control_now_ms (control),
    .weight_store_bytes_per_s = control->settings.weight_store_bytes_per_s,
    .idle_timeout_ms = control->settings.planner_idle_ms,
  };

  task->base.impl = &owner_impl;
  task->control = control;
  task->planner = beryl_planner_create (&settings, &task->base);
  task->calls = g_ptr_array_new ();
  task->drains = drains_create (control);
  planner_task_config (task);
  task->profiles = profile_store_create (control, task->planner);
  task->timer
      = loop_timer_start (control->loop, TICK_MS, TICK_MS, planner_tick, task);
  task->poll_timer = loop_timer_start (control->loop, POLL_INTERVAL_MS,
                                       POLL_INTERVAL_MS, engines_poll, task);
  return task;
}

void
planner_task_destroy (struct planner_task *task)
{
  if (task == NULL)
    return;
  loop_timer_stop (task->timer);
  loop_timer_stop (task->poll_timer);
  for (guint i = 0; i < task->calls->len; i++)
    {
      struct call *c = g_ptr_array_index (task->calls, i);

      http_call_cancel (c->call);
      g_free (c);
    }
  g_ptr_array_unref (task->calls);
  drains_destroy (task->drains);
  profile_store_destroy (task->profiles);
  beryl_planner_destroy (task->planner);
  beryl_config_destroy (task->config);
  g_free (task);
}
