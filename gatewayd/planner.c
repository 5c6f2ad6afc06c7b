#include "planner.h"

#include <string.h>

#include "beryl/revision.h"
#include "beryl/stages.h"
#include "common/stored_lease.h"
#include "engine_call.h"

#define LEASE_KIND "gateway-leases"
#define LEASE_NAME "stage-planner"
#define PLAN_INTERVAL_MS 500
/* The holder stays idle in the last 1 / LEASE_MARGIN_DIVISOR of the lease's
 * duration; this covers clocks that run at different rates. */
#define LEASE_MARGIN_DIVISOR 6
/* How long an order counts as pending.  It shows in the engine's entry within
 * some seconds; one that does not was lost or is carried out late. */
#define PENDING_ORDER_MS 15000

struct planner
{
  struct stored_lease_owner base;
  struct loop *loop;
  const struct gateway_wire *wire;
  const struct gateway_settings *settings;
  struct counters *counters;
  struct beryl_forward *forward;
  struct beryl_live_set *endpoints;
  struct stored_lease *lease;
  struct loop_timer *plan_timer;
  struct loop_timer *next_plan_timer; /* plan after an order; NULL if none */
  GHashTable *services;               /* service name to struct beryl_stages */
  GPtrArray *pending_orders;          /* struct pending_order */
  struct engine_call *call;           /* one at a time; NULL if none */
  char target_id[BERYL_NAME_BYTES];   /* engine that CALL goes to */
  uint64_t target_start_ms;           /* start of the engine's process */
  enum beryl_stage target_stage;      /* stage that the engine is to have */
};

/* An order that was sent and has not been seen to take effect. */
struct pending_order
{
  char id[BERYL_NAME_BYTES];
  uint64_t start_ms;      /* start of the engine's process */
  enum beryl_stage stage; /* BERYL_STAGE_NONE: no order, since the engine did
                             not report */
  int64_t expires_ms;
};

static void
pending_add (struct planner *p, const struct beryl_live_info *engine,
             enum beryl_stage stage)
{
  struct pending_order *pending = g_new0 (struct pending_order, 1);

  g_strlcpy (pending->id, engine->id, sizeof pending->id);
  pending->start_ms = engine->process_start_ms;
  pending->stage = stage;
  pending->expires_ms = loop_now_ms (p->loop) + PENDING_ORDER_MS;
  g_ptr_array_add (p->pending_orders, pending);
}

static void schedule_plan (struct planner *p);

static void
order_done (void *user, const struct engine_response *response)
{
  struct planner *p = user;
  static const char *const result_names[]
      = { "accepted", "holds", "busy", "fenced", "refused" };

  p->call = NULL;
  /* Whatever the outcome, the order stays pending until the engine's entry
     shows the stage or the order expires: one without a response may still be
     carried out. */
  if (response->head == NULL)
    g_info ("planner engine=%s order failed=%s sent=%d", p->target_id,
            h1_failure_name (response->failure), response->sent);
  else
    g_info ("planner engine=%s order stage=%s answer=%s", p->target_id,
            beryl_stage_name (p->target_stage),
            result_names[p->wire->impl->read_order_result (p->wire,
                                                           response->head)]);
  schedule_plan (p);
}

/* Returns the engine of the call, or NULL if it has restarted since: the order
 * was decided for the state of its previous process. */
static struct beryl_live_endpoint *
find_target (struct planner *p)
{
  struct beryl_live_endpoint *endpoint
      = beryl_live_set_find (p->endpoints, p->target_id);

  return endpoint != NULL
                 && endpoint->info.process_start_ms == p->target_start_ms
             ? endpoint
             : NULL;
}

/* Sends the planned order.  The lease is checked again right before, because
 * the report may have been read after a pause in which another node took
 * over. */
static void
send_order (struct planner *p, uint64_t accepted_orders)
{
  struct beryl_live_endpoint *endpoint = find_target (p);
  struct gateway_stage_order o = { .stage = p->target_stage,
                                   .holder = p->settings->node,
                                   .expected_orders = accepted_orders };
  GString *head, *body;

  if (endpoint == NULL || !stored_lease_held (p->lease, &o.fence)
      || !stored_lease_settled (p->lease))
    return;
  o.engine = &endpoint->info;
  head = g_string_new (NULL);
  body = g_string_new (NULL);
  p->wire->impl->format_order (p->wire, &o, head, body);
  g_info ("planner engine=%s order stage=%s fence=%" G_GUINT64_FORMAT
          " expected=%" G_GUINT64_FORMAT,
          endpoint->info.id, beryl_stage_name (o.stage), o.fence,
          o.expected_orders);
  pending_add (p, &endpoint->info, o.stage);
  p->call = engine_call_start (p->loop, &endpoint->info, head, body,
                               ENGINE_CALL_ORDER, p->counters, order_done, p);
  g_string_free (head, TRUE);
  g_string_free (body, TRUE);
}

/* An engine whose report does not come is left alone for a while; asked again
 * and again, it would hold up the orders to all others. */
static void
report_failed (struct planner *p, enum h1_failure failure)
{
  struct beryl_live_endpoint *endpoint = find_target (p);

  g_info ("planner engine=%s report failed=%s", p->target_id,
          h1_failure_name (failure));
  if (endpoint == NULL
      || (failure != H1_FAILURE_ENDLESS && failure != H1_FAILURE_SILENT))
    return;
  beryl_live_record_outcome (endpoint, BERYL_LIVE_BROKEN, 0,
                             loop_now_ms (p->loop));
  pending_add (p, &endpoint->info, BERYL_STAGE_NONE);
  schedule_plan (p);
}

static void
report_done (void *user, const struct engine_response *response)
{
  struct planner *p = user;
  struct gateway_engine_report report;

  p->call = NULL;
  if (response->head == NULL)
    report_failed (p, response->failure);
  else if (!p->wire->impl->read_report (p->wire, response->head,
                                        response->body, response->body_bytes,
                                        &report))
    g_info ("planner engine=%s report invalid, status=%u", p->target_id,
            response->head->status);
  else if (report.start_ms != 0 && p->target_start_ms != 0
           && report.start_ms != p->target_start_ms)
    g_info ("planner engine=%s restarted born=%" G_GUINT64_FORMAT
            " listed=%" G_GUINT64_FORMAT,
            p->target_id, report.start_ms, p->target_start_ms);
  else if (!report.stage_change_pending && report.stage != p->target_stage)
    send_order (p, report.accepted_orders);
}

static void
request_report (struct planner *p, const struct beryl_stage_order *wanted)
{
  struct beryl_live_endpoint *endpoint
      = beryl_live_set_find (p->endpoints, wanted->id);
  GString *head = g_string_new (NULL);

  memcpy (p->target_id, endpoint->info.id, sizeof p->target_id);
  p->target_start_ms = endpoint->info.process_start_ms;
  p->target_stage = wanted->stage;
  p->wire->impl->format_report_request (p->wire, &endpoint->info, head);
  p->call
      = engine_call_start (p->loop, &endpoint->info, head, NULL,
                           ENGINE_CALL_REPORT, p->counters, report_done, p);
  g_string_free (head, TRUE);
}

static struct pending_order *
pending_find (const struct planner *p, const struct beryl_live_info *engine)
{
  for (guint i = 0; i < p->pending_orders->len; i++)
    {
      struct pending_order *pending = g_ptr_array_index (p->pending_orders, i);

      if (strcmp (pending->id, engine->id) == 0
          && pending->start_ms == engine->process_start_ms)
        return pending;
    }
  return NULL;
}

static void
pending_expire (struct planner *p)
{
  for (guint i = p->pending_orders->len; i > 0; i--)
    {
      struct pending_order *pending
          = g_ptr_array_index (p->pending_orders, i - 1);
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_find (p->endpoints, pending->id);

      if (endpoint == NULL
          || endpoint->info.process_start_ms != pending->start_ms
          || endpoint->info.stage == pending->stage
          || loop_now_ms (p->loop) >= pending->expires_ms)
        g_ptr_array_remove_index_fast (p->pending_orders, i - 1);
    }
}

static GArray *
collect_engines (struct planner *p, const char *service)
{
  GArray *engines
      = g_array_new (FALSE, FALSE, sizeof (struct beryl_stage_engine));
  int64_t now_ms = loop_now_ms (p->loop);

  for (size_t i = 0; i < beryl_live_set_count (p->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (p->endpoints, i);
      const struct pending_order *pending = pending_find (p, &endpoint->info);
      struct beryl_stage_engine engine = {
        .id = endpoint->info.id,
        .stage = pending != NULL && pending->stage != BERYL_STAGE_NONE
                     ? pending->stage
                     : endpoint->info.stage,
        .version = beryl_live_version (endpoint),
        .changing = pending != NULL || beryl_live_paused (endpoint, now_ms),
        .used_tokens = beryl_forward_engine_used_tokens (p->forward, service,
                                                         endpoint, now_ms),
      };

      if (endpoint->info.stage != BERYL_STAGE_NONE
          && beryl_live_accepts_work (endpoint)
          && strcmp (endpoint->info.service, service) == 0)
        g_array_append_val (engines, engine);
    }
  return engines;
}

static void
plan_service (struct planner *p, const char *service,
              struct beryl_stages *stages)
{
  GArray *engines = collect_engines (p, service);
  struct beryl_generation_mix mix = beryl_forward_merged_profile (
      p->forward, service, loop_now_ms (p->loop));
  struct beryl_stage_order wanted;

  if (beryl_stages_plan (
          stages, &mix,
          (const struct beryl_stage_engine *)(const void *)engines->data,
          engines->len, loop_now_ms (p->loop), &wanted))
    {
      g_info ("planner service=%s engines=%u prefill_wanted=%.2f prompt=%.0f "
              "output=%.0f prefill_ms=%.4f decode_ms=%.3f prefills=%u "
              "prefill_nodes=%u prefill_least=%.4f prefill_most=%.4f",
              service, engines->len,
              beryl_stages_prefill_target (&mix, engines->len),
              mix.prompt_tokens, mix.output_tokens, mix.prefill_ms_per_token,
              mix.decode_ms_per_token, mix.prefill_samples.prefills,
              mix.prefill_samples.nodes, mix.prefill_samples.min_ms_per_token,
              mix.prefill_samples.max_ms_per_token);
      request_report (p, &wanted);
    }
  g_array_free (engines, TRUE);
}

static void
add_services (struct planner *p)
{
  for (size_t i = 0; i < beryl_live_set_count (p->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (p->endpoints, i);

      if (endpoint->info.stage != BERYL_STAGE_NONE
          && !g_hash_table_contains (p->services, endpoint->info.service))
        g_hash_table_insert (p->services, g_strdup (endpoint->info.service),
                             beryl_stages_create ());
    }
}

static void
plan (void *user)
{
  struct planner *p = user;
  GHashTableIter iter;
  void *name, *stages;

  /* Settled implies held. */
  if (!stored_lease_settled (p->lease))
    return;
  pending_expire (p);
  add_services (p);
  g_hash_table_iter_init (&iter, p->services);
  while (p->call == NULL && g_hash_table_iter_next (&iter, &name, &stages))
    plan_service (p, name, stages);
}

static void
scheduled_plan_due (void *user)
{
  struct planner *p = user;

  loop_timer_stop (p->next_plan_timer);
  p->next_plan_timer = NULL;
  plan (p);
}

/* Plans again right after an order, because others are often due as well: with
 * one order per PLAN_INTERVAL_MS, changing seven of 45 engines took some
 * seconds longer, with too few engines for decode meanwhile. */
static void
schedule_plan (struct planner *p)
{
  if (p->next_plan_timer == NULL)
    p->next_plan_timer
        = loop_timer_start (p->loop, 1, 0, scheduled_plan_due, p);
}

static void
lease_changed (struct stored_lease_owner *owner, struct stored_lease *lease,
               uint64_t fence)
{
  char token[BERYL_REVISION_TEXT_BYTES];

  g_info ("lease name=%s %s fence=%s", stored_lease_name (lease),
          fence != 0 ? "won" : "lost", beryl_revision_text (fence, token));
}

static const struct stored_lease_owner_impl lease_impl
    = { .changed = lease_changed };

static void
stages_free (void *stages)
{
  beryl_stages_destroy (stages);
}

struct planner *
planner_create (struct loop *loop, const struct gateway_wire *wire,
                const struct gateway_settings *settings,
                struct platform_client *client, struct counters *counters,
                struct beryl_forward *forward,
                struct beryl_live_set *endpoints)
{
  struct planner *p = g_new0 (struct planner, 1);
  struct beryl_lease_settings lease = {
    .name = LEASE_NAME,
    .holder = settings->node,
    .ttl_ms = settings->lease_ms,
    .margin_ms = settings->lease_ms / LEASE_MARGIN_DIVISOR,
    .poll_ms = settings->lease_ms,
    /* Engines that do not check the fencing token get no order until the last
       one of an earlier holder must have arrived. */
    .settle_ms = settings->engines_check_fence
                     ? 0
                     : settings->lease_ms + settings->thaw_ms,
    .seed = uv_hrtime (),
  };

  p->base.impl = &lease_impl;
  p->loop = loop;
  p->wire = wire;
  p->settings = settings;
  p->counters = counters;
  p->forward = forward;
  p->endpoints = endpoints;
  p->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stages_free);
  p->pending_orders = g_ptr_array_new_with_free_func (g_free);
  p->lease = stored_lease_create (loop, client, LEASE_KIND, &lease, &p->base);
  p->plan_timer
      = loop_timer_start (loop, PLAN_INTERVAL_MS, PLAN_INTERVAL_MS, plan, p);
  return p;
}

void
planner_destroy (struct planner *p)
{
  if (p == NULL)
    return;
  loop_timer_stop (p->plan_timer);
  loop_timer_stop (p->next_plan_timer);
  engine_call_cancel (p->call);
  stored_lease_destroy (p->lease);
  g_hash_table_destroy (p->services);
  g_ptr_array_free (p->pending_orders, TRUE);
  g_free (p);
}

void
planner_set_candidate (struct planner *p, bool candidate)
{
  stored_lease_want (p->lease,
                     candidate || stored_lease_held (p->lease, NULL));
}

void
planner_add_pending (const struct planner *p, struct beryl_endpoint_set *set)
{
  for (guint i = 0; i < p->pending_orders->len; i++)
    {
      const struct pending_order *pending
          = g_ptr_array_index (p->pending_orders, i);
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_find (p->endpoints, pending->id);

      if (endpoint != NULL && pending->stage != BERYL_STAGE_NONE
          && endpoint->info.process_start_ms == pending->start_ms)
        beryl_endpoint_set_add (set, beryl_live_hash (endpoint));
    }
}

bool
planner_holds_lease (const struct planner *p)
{
  return stored_lease_held (p->lease, NULL);
}
