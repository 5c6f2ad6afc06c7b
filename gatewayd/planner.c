#include "planner.h"

#include <string.h>

#include "beryl/stages.h"
#include "common/stored_lease.h"
#include "engine_call.h"

#define KIND "gateway-leases"
#define NAME "stage-planner"
#define PLAN_MS 500
/* Part of the lease's time at its end in which its holder does nothing;
 * covers clocks that run at different rates. */
#define MARGIN_PART 6
/* An order shows in the engine's entry within some seconds; one that does not
 * was lost or waits to be carried out late. */
#define ORDER_SHOWN_MS 15000
#define ANSWER_MAX_BYTES 65536

struct planner
{
  struct stored_lease_owner base;
  struct loop *loop;
  const struct gateway_wire *wire;
  const struct gateway_settings *settings;
  struct beryl_forward *forward;
  struct beryl_live_set *lives;
  struct stored_lease *lease;
  struct loop_timer *timer;
  struct loop_timer *next;       /* the plan after an order; NULL: none */
  GHashTable *services;          /* name to struct beryl_stages */
  GPtrArray *pending;            /* struct pending */
  struct engine_call *call;      /* one at a time; NULL: none */
  char called[BERYL_NAME_BYTES]; /* the engine of CALL */
  uint64_t called_born_ms;       /* of its life */
  enum beryl_stage called_for;   /* the stage that CALL is about */
};

/* An order that was given. */
struct pending
{
  char id[BERYL_NAME_BYTES];
  uint64_t born_ms; /* of the life that it was given to */
  enum beryl_stage stage;
  int64_t until_ms;
};

static void
pending_add (struct planner *p, const struct beryl_live_info *engine,
             enum beryl_stage stage)
{
  struct pending *pending = g_new0 (struct pending, 1);

  g_strlcpy (pending->id, engine->id, sizeof pending->id);
  pending->born_ms = engine->process_start_ms;
  pending->stage = stage;
  pending->until_ms = loop_now_ms (p->loop) + ORDER_SHOWN_MS;
  g_ptr_array_add (p->pending, pending);
}

static void plan_next (struct planner *p);

static void
order_answered (void *user, const struct engine_answer *answer)
{
  struct planner *p = user;
  static const char *const names[]
      = { "accepted", "holds", "busy", "fenced", "refused" };

  p->call = NULL;
  /* An order without an answer stays pending: it may be carried out. */
  if (answer->head == NULL)
    g_info ("planner engine=%s order failed=%s sent=%d", p->called,
            h1_failure_name (answer->failure), answer->sent);
  else
    g_info ("planner engine=%s order stage=%s answer=%s", p->called,
            beryl_stage_name (p->called_for),
            names[p->wire->impl->read_order_answer (p->wire, answer->head)]);
  plan_next (p);
}

/* The engine of the call, unless it has started again since: it then knows
 * nothing of the state that the order was decided by. */
static struct beryl_live *
called_engine (struct planner *p)
{
  struct beryl_live *live = beryl_live_set_find (p->lives, p->called);

  return live != NULL && live->info.process_start_ms == p->called_born_ms
             ? live
             : NULL;
}

/* Right before an order the lease is asked again: the report's answer may
 * have come after a pause in which another node took over. */
static void
order (struct planner *p, uint64_t orders)
{
  struct beryl_live *live = called_engine (p);
  struct gateway_order o = { .stage = p->called_for,
                             .holder = p->settings->node,
                             .orders = orders };
  GString *head, *body;

  if (live == NULL || !stored_lease_held (p->lease, &o.fence)
      || !stored_lease_settled (p->lease))
    return;
  o.engine = &live->info;
  head = g_string_new (NULL);
  body = g_string_new (NULL);
  p->wire->impl->format_order (p->wire, &o, head, body);
  g_info ("planner engine=%s order stage=%s fence=%" G_GUINT64_FORMAT
          " expected=%" G_GUINT64_FORMAT,
          live->info.id, beryl_stage_name (o.stage), o.fence, o.orders);
  pending_add (p, &live->info, o.stage);
  p->call = engine_call_start (p->loop, &live->info, head, body,
                               ANSWER_MAX_BYTES, order_answered, p);
  g_string_free (head, TRUE);
  g_string_free (body, TRUE);
}

static void
report_answered (void *user, const struct engine_answer *answer)
{
  struct planner *p = user;
  struct gateway_report report;

  p->call = NULL;
  if (answer->head == NULL)
    g_info ("planner engine=%s report failed=%s", p->called,
            h1_failure_name (answer->failure));
  else if (!p->wire->impl->read_report (p->wire, answer->head, answer->body,
                                        answer->body_bytes, &report))
    g_info ("planner engine=%s gave no report, status=%u", p->called,
            answer->head->status);
  else if (report.born_ms != 0 && p->called_born_ms != 0
           && report.born_ms != p->called_born_ms)
    g_info ("planner engine=%s has started again born=%" G_GUINT64_FORMAT
            " listed=%" G_GUINT64_FORMAT,
            p->called, report.born_ms, p->called_born_ms);
  else if (!report.changing && report.stage != p->called_for)
    order (p, report.orders);
}

static void
ask_report (struct planner *p, const struct beryl_stage_order *wanted)
{
  struct beryl_live *live = beryl_live_set_find (p->lives, wanted->id);
  GString *head = g_string_new (NULL);

  memcpy (p->called, live->info.id, sizeof p->called);
  p->called_born_ms = live->info.process_start_ms;
  p->called_for = wanted->stage;
  p->wire->impl->format_report (p->wire, &live->info, head);
  p->call = engine_call_start (p->loop, &live->info, head, NULL,
                               ANSWER_MAX_BYTES, report_answered, p);
  g_string_free (head, TRUE);
}

static struct pending *
pending_find (const struct planner *p, const struct beryl_live_info *engine)
{
  for (guint i = 0; i < p->pending->len; i++)
    {
      struct pending *pending = g_ptr_array_index (p->pending, i);

      if (strcmp (pending->id, engine->id) == 0
          && pending->born_ms == engine->process_start_ms)
        return pending;
    }
  return NULL;
}

static void
pending_expire (struct planner *p)
{
  for (guint i = p->pending->len; i > 0; i--)
    {
      struct pending *pending = g_ptr_array_index (p->pending, i - 1);
      const struct beryl_live *live
          = beryl_live_set_find (p->lives, pending->id);

      if (live == NULL || live->info.process_start_ms != pending->born_ms
          || live->info.stage == pending->stage
          || loop_now_ms (p->loop) >= pending->until_ms)
        g_ptr_array_remove_index_fast (p->pending, i - 1);
    }
}

static GArray *
engines_of (struct planner *p, const char *service)
{
  GArray *engines
      = g_array_new (FALSE, FALSE, sizeof (struct beryl_stage_engine));

  for (size_t i = 0; i < beryl_live_set_count (p->lives); i++)
    {
      struct beryl_live *live = beryl_live_set_get (p->lives, i);
      const struct pending *pending = pending_find (p, &live->info);
      struct beryl_stage_engine engine = {
        .id = live->info.id,
        .stage = pending != NULL ? pending->stage : live->info.stage,
        .changing = pending != NULL,
        .used_tokens = beryl_forward_engine_used_tokens (
            p->forward, service, live, loop_now_ms (p->loop)),
      };

      if (live->info.stage != BERYL_STAGE_NONE
          && beryl_live_accepts_work (live)
          && strcmp (live->info.service, service) == 0)
        g_array_append_val (engines, engine);
    }
  return engines;
}

static void
plan_service (struct planner *p, const char *service,
              struct beryl_stages *stages)
{
  GArray *engines = engines_of (p, service);
  struct beryl_generation_mix mix
      = beryl_forward_merged_profile (p->forward, service);
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
      ask_report (p, &wanted);
    }
  g_array_free (engines, TRUE);
}

static void
note_services (struct planner *p)
{
  for (size_t i = 0; i < beryl_live_set_count (p->lives); i++)
    {
      const struct beryl_live *live = beryl_live_set_get (p->lives, i);

      if (live->info.stage != BERYL_STAGE_NONE
          && !g_hash_table_contains (p->services, live->info.service))
        g_hash_table_insert (p->services, g_strdup (live->info.service),
                             beryl_stages_create ());
    }
}

static void
plan (void *user)
{
  struct planner *p = user;
  GHashTableIter iter;
  void *name, *stages;

  if (!stored_lease_settled (p->lease))
    return;
  pending_expire (p);
  note_services (p);
  g_hash_table_iter_init (&iter, p->services);
  while (p->call == NULL && g_hash_table_iter_next (&iter, &name, &stages))
    plan_service (p, name, stages);
}

static void
plan_next_due (void *user)
{
  struct planner *p = user;

  loop_timer_stop (p->next);
  p->next = NULL;
  plan (p);
}

/* An order was answered; where one is due others are.  Given one in half a
 * second, seven of 45 engines would be back in their new stage some seconds
 * later than they could be, with too few for decode meanwhile. */
static void
plan_next (struct planner *p)
{
  if (p->next == NULL)
    p->next = loop_timer_start (p->loop, 1, 0, plan_next_due, p);
}

static void
lease_changed (struct stored_lease_owner *owner, struct stored_lease *lease,
               uint64_t fence)
{
  g_info ("lease name=%s %s fence=%" G_GUINT64_FORMAT,
          stored_lease_name (lease), fence != 0 ? "won" : "lost", fence);
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
                struct platform_client *client, struct beryl_forward *forward,
                struct beryl_live_set *lives)
{
  struct planner *p = g_new0 (struct planner, 1);
  struct beryl_lease_settings lease = {
    .name = NAME,
    .holder = settings->node,
    .ttl_ms = settings->lease_ms,
    .margin_ms = settings->lease_ms / MARGIN_PART,
    .poll_ms = settings->lease_ms,
    /* Engines that do not look at the number are given no order before the
       last one of a former holder must have arrived. */
    .settle_ms = settings->engines_check_fence
                     ? 0
                     : settings->lease_ms + settings->thaw_ms,
    .seed = uv_hrtime (),
  };

  p->base.impl = &lease_impl;
  p->loop = loop;
  p->wire = wire;
  p->settings = settings;
  p->forward = forward;
  p->lives = lives;
  p->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stages_free);
  p->pending = g_ptr_array_new_with_free_func (g_free);
  p->lease = stored_lease_create (loop, client, KIND, &lease, &p->base);
  p->timer = loop_timer_start (loop, PLAN_MS, PLAN_MS, plan, p);
  return p;
}

void
planner_destroy (struct planner *p)
{
  if (p == NULL)
    return;
  loop_timer_stop (p->timer);
  loop_timer_stop (p->next);
  engine_call_cancel (p->call);
  stored_lease_destroy (p->lease);
  g_hash_table_destroy (p->services);
  g_ptr_array_free (p->pending, TRUE);
  g_free (p);
}

void
planner_stand (struct planner *p, bool stands)
{
  stored_lease_want (p->lease, stands || stored_lease_held (p->lease, NULL));
}

void
planner_changing (const struct planner *p, struct beryl_endpoint_set *set)
{
  for (guint i = 0; i < p->pending->len; i++)
    {
      const struct pending *pending = g_ptr_array_index (p->pending, i);
      const struct beryl_live *live
          = beryl_live_set_find (p->lives, pending->id);

      if (live != NULL && live->info.process_start_ms == pending->born_ms)
        beryl_endpoint_set_add (set, beryl_live_hash (live));
    }
}

bool
planner_holds (const struct planner *p)
{
  return stored_lease_held (p->lease, NULL);
}
