#include "../base/random.h"
#include "private.h"

/* Baseline policies choose immediately, without reservation or admission
 * control. */

/* Reported load: queued prefill tokens or decodes. */
static double
reported_load (const struct router_endpoint *e, bool prefill)
{
  if (!e->reported)
    return 0;
  return prefill ? (double)e->report.prefill_queue_tokens
                 : (double)e->report.decoding;
}

/* Load by the last report and the work that this node has sent since: prefill
 * backlog in milliseconds, or busy slots. */
static double
estimated_load (const struct router_service *s,
                const struct router_endpoint *e, bool prefill, int64_t now_ms)
{
  if (prefill)
    return prefill_backlog_ms (s, e, now_ms);
  return (double)e->slots - fleet_free_slots (e, now_ms);
}

typedef uint32_t choose_fn (struct beryl_router *r, struct router_service *s,
                            const struct router_list *list, bool prefill,
                            int64_t now_ms);

static uint32_t
choose_random (struct beryl_router *r, struct router_service *s,
               const struct router_list *list, bool prefill, int64_t now_ms)
{
  return list->items[random_next (&r->random) % list->count];
}

static uint32_t
choose_round_robin (struct beryl_router *r, struct router_service *s,
                    const struct router_list *list, bool prefill,
                    int64_t now_ms)
{
  uint32_t turn = prefill ? s->prefill_turn++ : s->decode_turn++;
  return list->items[turn % list->count];
}

static uint32_t
choose_least_reported (struct beryl_router *r, struct router_service *s,
                       const struct router_list *list, bool prefill,
                       int64_t now_ms)
{
  size_t at = random_next (&r->random) % list->count; /* breaks ties */
  uint32_t best = list->items[at];
  for (size_t i = 1; i < list->count; i++)
    {
      uint32_t other = list->items[(at + i) % list->count];
      if (reported_load (&r->endpoints[other], prefill)
          < reported_load (&r->endpoints[best], prefill))
        best = other;
    }
  return best;
}

static uint32_t
choose_two_choices (struct beryl_router *r, struct router_service *s,
                    const struct router_list *list, bool prefill,
                    int64_t now_ms)
{
  uint32_t a = list->items[random_next (&r->random) % list->count];
  uint32_t b = list->items[random_next (&r->random) % list->count];
  return estimated_load (s, &r->endpoints[a], prefill, now_ms)
                 <= estimated_load (s, &r->endpoints[b], prefill, now_ms)
             ? a
             : b;
}

/* Choose an endpoint; unusable or excluded ones, and the one that has just
 * refused, only if no other is found. */
static uint32_t
choose_allowed (struct beryl_router *r, struct router_service *s,
                const struct router_list *list, choose_fn *choose,
                bool prefill, const struct beryl_job *job, uint32_t refused,
                int64_t now_ms)
{
  uint32_t n = ROUTER_NONE;
  if (list->count == 0)
    return n;
  for (size_t i = 0; i < 2 * list->count; i++)
    {
      n = choose (r, s, list, prefill, now_ms);
      const struct router_endpoint *e = &r->endpoints[n];
      if (n != refused && fleet_usable (e, now_ms)
          && !(job && fleet_excluded (job, e)))
        return n;
    }
  return n;
}

static void
baseline_plan (struct beryl_router *r, const struct beryl_job *job,
               choose_fn *choose, int64_t now_ms, struct beryl_plan *plan)
{
  struct router_service *s = router_service_find (r, job->service);
  if (job->deadline_ms <= now_ms)
    {
      router_refuse (plan, "deadline", 1000);
      return;
    }
  const struct router_list *list = job->plain ? &s->plain : &s->decode;
  uint32_t decode
      = choose_allowed (r, s, list, choose, false, job, ROUTER_NONE, now_ms);
  uint32_t prefill = ROUTER_NONE;
  if (!job->plain)
    prefill = choose_allowed (r, s, &s->prefill, choose, true, job,
                              ROUTER_NONE, now_ms);
  if (decode == ROUTER_NONE || (!job->plain && prefill == ROUTER_NONE))
    {
      router_refuse (plan, "no_endpoint", 1000);
      return;
    }
  struct router_ticket *t
      = ticket_open (r, job, (uint32_t)(s - r->services), now_ms);
  if (!t)
    {
      router_refuse (plan, "no_memory", 1000);
      return;
    }
  plan->verdict = BERYL_VERDICT_START;
  plan->ticket = t->id;
  plan->decode = r->endpoints[decode].config->name;
  plan->reason = "baseline";
  if (job->plain)
    {
      t->phase = ROUTER_PHASE_PLAIN;
      ticket_take_slot (r, t, decode, now_ms);
      return;
    }
  ticket_reserve (r, t, decode);
  ticket_start_prefill (r, t, prefill, cost_prefill_ms (s, job->prompt_tokens),
                        now_ms);
  plan->prefill = r->endpoints[prefill].config->name;
}

static void
baseline_bind (struct beryl_router *r, struct router_ticket *t,
               choose_fn *choose, uint32_t refused_by, int64_t now_ms,
               struct beryl_plan *plan)
{
  struct router_service *s = &r->services[t->service];
  uint32_t decode = t->decode;
  if (refused_by != ROUTER_NONE || decode == ROUTER_NONE)
    decode = choose_allowed (r, s, &s->decode, choose, false, NULL, refused_by,
                             now_ms);
  if (decode == ROUTER_NONE)
    {
      router_refuse (plan, "no_endpoint", 1000);
      return;
    }
  plan->verdict = BERYL_VERDICT_START;
  plan->decode = r->endpoints[decode].config->name;
  ticket_unreserve (r, t);
  ticket_take_slot (r, t, decode, now_ms);
}

#define BASELINE(name)                                                        \
  static void name##_plan (struct beryl_router *r,                            \
                           const struct beryl_job *job, int64_t now_ms,       \
                           struct beryl_plan *plan)                           \
  {                                                                           \
    baseline_plan (r, job, choose_##name, now_ms, plan);                      \
  }                                                                           \
  static void name##_bind (struct beryl_router *r, struct router_ticket *t,   \
                           int64_t kv_expires_ms, uint32_t refused_by,        \
                           int64_t now_ms, struct beryl_plan *plan)           \
  {                                                                           \
    baseline_bind (r, t, choose_##name, refused_by, now_ms, plan);            \
  }                                                                           \
  const struct router_policy router_policy_##name                             \
      = { .plan = name##_plan, .bind = name##_bind };

BASELINE (random)
BASELINE (round_robin)
BASELINE (least_reported)
BASELINE (two_choices)
