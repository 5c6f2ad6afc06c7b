#include <math.h>

#include "private.h"

/* Time that the KV cache of a finished prefill is assumed to wait for a slot
 * at most; engines keep it for less than a second. */
#define KV_WAIT_MS 500

/* This long before its KV cache expires, a decode may take any free slot, out
 * of turn and also one of another node. */
#define KV_MARGIN_MS 120

/* Intervals at which waiting jobs are planned again: the first of the queue,
 * and the others. */
#define QUEUE_HEAD_RETRY_MS 20
#define RETRY_MS 60
#define BIND_RETRY_MS 10
#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 30000

/* Waiting jobs per own slot above which fair shares are enforced. */
#define CONTENDED_JOBS_PER_SLOT 0.5

/* Open jobs allowed per organisation at a node: FAIR_FACTOR times its fair
 * share, since demand is uneven, but at least FAIR_MIN_OPEN. */
#define FAIR_MIN_OPEN 2
#define FAIR_FACTOR 1.5

/* Maximum backlog of a prefill engine that gets new jobs.  Jobs wait here
 * rather than in an engine's queue, because here they keep their order and
 * their choice of engine. */
#define PREFILL_BACKLOG_MAX_MS 400

/* Standard deviations of the answer length that must fit before the deadline.
 * With fewer, the deadline cuts some answers off midway. */
#define LENGTH_DEVIATIONS 2.0

/* Standard deviations of the bind delay that are added as margin. */
#define BIND_DELAY_DEVIATIONS 2.0

/* Accepted probability that a prefill finds no free slot, at a waste weight of
 * 0. */
#define SLOT_MISS_PROBABILITY 0.3

/* Required probability that a prefill that is started finds a free slot.  A
 * prefill without a slot is wasted, and a slot that waits for a prefill is
 * lost goodput; the accepted probability of a miss falls with the square of 1
 * + waste_weight. */
static double
slot_certainty (const struct router_service *s)
{
  double w = 1 + s->config->waste_weight;
  return 1 - SLOT_MISS_PROBABILITY / (w * w);
}

static bool
contended (const struct router_service *s, size_t queue, double per_slot)
{
  return (double)queue > per_slot * s->own_slots;
}

static double
departures_per_ms (const struct router_service *s)
{
  return s->decoding / fmax (1, s->decode_ms.mean);
}

/* Returns the number of slots that become free, with the probability
 * slot_certainty, while a prefill of LEAD_MS that starts now runs and its KV
 * cache waits. */
static int32_t
expected_slots (const struct router_service *s, double lead_ms)
{
  double mu = departures_per_ms (s) * (lead_ms + KV_WAIT_MS);
  return (int32_t)estimate_poisson_lower_bound (mu, slot_certainty (s));
}

static bool
serves_urgent (const struct beryl_service *c)
{
  if (c->call_class == BERYL_CLASS_URGENT)
    return true;
  for (size_t i = 0; i < c->rule_count; i++)
    if (c->rules[i].call_class == BERYL_CLASS_URGENT)
      return true;
  return false;
}

/* Returns the number of free slots that JOB may not use: about a sixteenth of
 * the own slots is kept for urgent calls, if the service has any, and another
 * eighth from batch jobs, so that these are the first to wait. */
static int32_t
headroom (const struct router_service *s, const struct beryl_job *job)
{
  int32_t withheld = 0;
  if (job->call_class != BERYL_CLASS_URGENT && serves_urgent (s->config))
    withheld += 1 + (int32_t)s->own_slots / 16;
  if (job->call_class == BERYL_CLASS_BATCH)
    withheld += (int32_t)s->own_slots / 8;
  return withheld;
}

/* Time margin that a job needs when it starts: its prefill may queue behind
 * those of other nodes, which are known late, and then wait for a slot.
 * Without it the decode starts so late that the deadline cuts the answer off.
 */
static double
bind_margin_ms (const struct router_service *s)
{
  return fmax (
      0, estimate_mean_plus_sd (&s->bind_delay_ms, BIND_DELAY_DEVIATIONS));
}

static int32_t
available_slots (const struct beryl_router *r, const struct router_service *s,
                 const struct beryl_job *job, double lead_ms)
{
  int32_t n = s->free_own;
  /* With early binding, a slot that another node has taken wastes the prefill.
   */
  if (r->late_binding)
    n += (s->borrowable > 0 ? s->borrowable : 0) + expected_slots (s, lead_ms)
         - (int32_t)s->unbound;
  return n - headroom (s, job);
}

static double
wait_ms (const struct router_service *s, size_t ahead, int32_t slots)
{
  if ((int64_t)ahead < slots)
    return 0;
  double jobs = (double)ahead - slots + 1;
  double serving = fmax (1, fmax (s->own_slots, s->decoding));
  return jobs * s->decode_ms.mean / serving;
}

static int64_t
retry_after (double ms)
{
  return (int64_t)fmin (RETRY_AFTER_MAX_MS, fmax (RETRY_AFTER_MIN_MS, ms));
}

static void
refuse (struct beryl_router *r, uint64_t request, uint32_t organisation,
        struct beryl_plan *plan, const char *reason, int64_t after_ms)
{
  if (waiting_remove_request (r, request))
    organisation_job_closed (r, organisation);
  router_refuse (plan, reason, after_ms);
}

/* An organisation may fill slots and queue up to its fair share.  A new job
 * beyond it only gets a lower place in the queue; it is refused only while
 * jobs wait, so that no slot is left idle for fairness. */
static bool
exceeds_fair_share (const struct beryl_router *r,
                    const struct router_service *s, uint32_t organisation,
                    size_t queue)
{
  if (organisation == ROUTER_NONE)
    return false;
  double jobs = (double)(s->own_slots + queue);
  return r->organisations[organisation].open >= fmax (
             FAIR_MIN_OPEN,
             FAIR_FACTOR * organisation_fair_share (r, organisation) * jobs);
}

static void
wait_for_slot (struct beryl_router *r, struct router_waiting *w, size_t ahead,
               int64_t now_ms, struct beryl_plan *plan)
{
  w->retry_at_ms = now_ms + (ahead == 0 ? QUEUE_HEAD_RETRY_MS : RETRY_MS);
  waiting_put (r, w);
  plan->verdict = BERYL_VERDICT_WAIT;
  plan->retry_at_ms = w->retry_at_ms;
  plan->reason = "no_slot";
}

static void
start (struct beryl_router *r, struct router_service *s,
       const struct beryl_job *job, const struct pair *p, int64_t now_ms,
       struct beryl_plan *plan)
{
  struct router_ticket *t
      = ticket_open (r, job, (uint32_t)(s - r->services), now_ms);
  if (!t)
    {
      router_refuse (plan, "no_memory", RETRY_AFTER_MIN_MS);
      return;
    }
  t->cached_tokens = p->cached_tokens;
  t->planned_ms = p->first_token_ms;
  ticket_reserve (r, t, p->decode);
  ticket_start_prefill (r, t, p->prefill, p->prefill_cost_ms, now_ms);
  prefix_index_add_chain (r->prefix, job->block_hashes, job->block_count,
                          p->prefill, now_ms);
  plan->verdict = BERYL_VERDICT_START;
  plan->ticket = t->id;
  plan->prefill = r->endpoints[p->prefill].config->name;
  if (p->decode != ROUTER_NONE)
    plan->decode = r->endpoints[p->decode].config->name;
  plan->first_token_ms = (int64_t)p->first_token_ms;
  plan->cached_tokens = p->cached_tokens;
  plan->reason = "planned";
}

/* Choose a pair and start the job.  Returns false if there is no free slot or
 * no engine. */
static bool
try_start (struct beryl_router *r, struct router_service *s,
           const struct beryl_job *job, const struct pair *p, int64_t now_ms,
           struct beryl_plan *plan)
{
  struct pair chosen = *p;
  if (!r->late_binding)
    {
      uint32_t decode = pair_choose_decode (r, s, false, ROUTER_NONE, now_ms);
      if (decode == ROUTER_NONE)
        return false;
      plan->alternative_count = 0;
      if (!pair_choose (r, s, job, decode, now_ms, &chosen, plan))
        return false;
    }
  if (waiting_remove_request (r, job->request))
    organisation_job_closed (r, organisation_find (r, job->organisation));
  start (r, s, job, &chosen, now_ms, plan);
  return true;
}

/* Estimates about a job when it is planned. */
struct job_forecast
{
  bool queued;             /* already in the queue */
  bool has_prefill_engine; /* an engine is available for its prefill */
  struct pair pair;
  size_t queue;    /* jobs of its service that wait */
  size_t ahead;    /* jobs before it in the queue */
  int32_t slots;   /* slots available to it */
  double slack_ms; /* time to its deadline */
  double need_ms;  /* from the start of its prefill to the end of its decode */
  double wait_ms;  /* before the start of its prefill */
};

static struct router_waiting
waiting_entry (const struct beryl_router *r, const struct router_service *s,
               const struct beryl_job *job)
{
  struct router_waiting w = {
    .request = job->request,
    .service = (uint32_t)(s - r->services),
    .organisation = organisation_find (r, job->organisation),
    .call_class = job->call_class,
    .deadline_ms = job->deadline_ms,
  };
  size_t at = waiting_find (r, job->request);
  w.over_share = at != SIZE_MAX ? r->waiting[at].over_share
                                : exceeds_fair_share (r, s, w.organisation, 0);
  return w;
}

static void
forecast_job (struct beryl_router *r, struct router_service *s,
              const struct beryl_job *job, const struct router_waiting *w,
              int64_t now_ms, struct job_forecast *f, struct beryl_plan *plan)
{
  f->queued = waiting_find (r, job->request) != SIZE_MAX;
  f->has_prefill_engine
      = pair_choose (r, s, job, ROUTER_NONE, now_ms, &f->pair, plan);
  if (!f->has_prefill_engine)
    f->pair.first_token_ms = cost_prefill_ms (s, job->prompt_tokens);
  f->queue = waiting_of_service (r, w->service);
  f->ahead = waiting_ahead (r, w);
  f->slots = available_slots (r, s, job, f->pair.first_token_ms);
  f->slack_ms = (double)job->deadline_ms - (double)now_ms;
  f->need_ms = f->pair.first_token_ms + bind_margin_ms (s)
               + cost_decode_ms (s, job->max_tokens, LENGTH_DEVIATIONS);
  f->wait_ms = wait_ms (s, f->ahead, f->slots);
}

/* Refuse a job that cannot finish in time, and a new one also if the wait or
 * the fair share rules it out.  Returns false if the job may proceed. */
static bool
refuse_if_infeasible (struct beryl_router *r, const struct router_service *s,
                      const struct router_waiting *w,
                      const struct job_forecast *f, struct beryl_plan *plan)
{
  double overrun_ms = f->wait_ms + f->need_ms - f->slack_ms;
  if (f->need_ms > f->slack_ms)
    {
      refuse (r, w->request, w->organisation, plan, "deadline",
              retry_after (wait_ms (s, f->queue, f->slots)));
      return true;
    }
  if (f->queued)
    return false;
  if (overrun_ms > 0)
    {
      router_refuse (plan, "no_capacity", retry_after (overrun_ms));
      return true;
    }
  if (contended (s, f->queue, CONTENDED_JOBS_PER_SLOT)
      && exceeds_fair_share (r, s, w->organisation, f->queue))
    {
      router_refuse (plan, "fair_share", retry_after (f->wait_ms));
      return true;
    }
  return false;
}

static void
planned_plan (struct beryl_router *r, const struct beryl_job *job,
              int64_t now_ms, struct beryl_plan *plan)
{
  struct router_service *s = router_service_find (r, job->service);
  fleet_refresh (r, s, now_ms);
  struct router_waiting w = waiting_entry (r, s, job);
  struct job_forecast f;
  forecast_job (r, s, job, &w, now_ms, &f, plan);
  if (refuse_if_infeasible (r, s, &w, &f, plan))
    return;
  bool backlog_is_short
      = f.has_prefill_engine && f.pair.backlog_ms <= PREFILL_BACKLOG_MAX_MS;
  if (backlog_is_short && (int64_t)f.ahead < f.slots
      && try_start (r, s, job, &f.pair, now_ms, plan))
    return;
  wait_for_slot (r, &w, f.ahead, now_ms, plan);
  if (!f.has_prefill_engine)
    plan->reason = "no_endpoint";
}

/* Number of waiting KV caches of the same service that were exported before
 * T's, and so expire earlier if engines keep all for the same time. */
static int32_t
count_expiring_earlier (const struct beryl_router *r,
                        const struct router_ticket *t)
{
  int32_t n = 0;
  for (size_t i = 0; i < r->ticket_count; i++)
    {
      const struct router_ticket *other = &r->tickets[i];
      if (other->phase == ROUTER_PHASE_UNBOUND && other->service == t->service
          && other->exported_ms < t->exported_ms)
        n++;
    }
  return n;
}

/* Returns whether nearly all possible lengths of T's answer finish before the
 * deadline.  An answer that starts too late is cut off midway: the caller
 * cannot use the text, and the slot was taken from a job that would have
 * finished.  Nothing has been sent yet, so the job can still be refused. */
static bool
finishes_in_time (const struct beryl_router *r, const struct router_service *s,
                  const struct router_ticket *t, int64_t now_ms)
{
  double need_ms = cost_decode_ms (s, t->max_tokens, LENGTH_DEVIATIONS);
  if (t->prefill != ROUTER_NONE)
    need_ms += cost_transfer_ms (s, &r->endpoints[t->prefill], NULL,
                                 t->prompt_tokens);
  return (double)now_ms + need_ms <= (double)t->deadline_ms;
}

static void
planned_bind (struct beryl_router *r, struct router_ticket *t,
              int64_t kv_expires_ms, uint32_t refused_by, int64_t now_ms,
              struct beryl_plan *plan)
{
  struct router_service *s = &r->services[t->service];
  fleet_refresh (r, s, now_ms);
  double delay_ms = (double)(now_ms - t->started_ms) - t->planned_ms;
  if (!finishes_in_time (r, s, t, now_ms))
    {
      estimate_mean_add (&s->bind_delay_ms, delay_ms);
      router_refuse (plan, "deadline", RETRY_AFTER_MIN_MS);
      return;
    }
  bool last_chance = now_ms + KV_MARGIN_MS >= kv_expires_ms;
  int32_t slots = s->free_own + (s->borrowable > 0 ? s->borrowable : 0);
  uint32_t decode = ROUTER_NONE;
  /* The oldest KV cache is bound first: by order of calls a free slot could go
   * to a recent one while an old one expires. */
  if (last_chance || count_expiring_earlier (r, t) < slots)
    decode = pair_choose_decode (r, s, s->borrowable > 0 || last_chance,
                                 refused_by, now_ms);
  if (decode != ROUTER_NONE)
    {
      estimate_mean_add (&s->bind_delay_ms, delay_ms);
      plan->verdict = BERYL_VERDICT_START;
      plan->decode = r->endpoints[decode].config->name;
      ticket_unreserve (r, t);
      plan->reason = "decode_bound";
      ticket_take_slot (r, t, decode, now_ms);
      return;
    }
  if (now_ms >= kv_expires_ms)
    {
      router_refuse (plan, "no_slot", RETRY_AFTER_MIN_MS);
      return;
    }
  plan->verdict = BERYL_VERDICT_WAIT;
  plan->retry_at_ms = now_ms + BIND_RETRY_MS;
  plan->reason = "no_slot";
}

const struct router_policy router_policy_planned
    = { .plan = planned_plan, .bind = planned_bind };
