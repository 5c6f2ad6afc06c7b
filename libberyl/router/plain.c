#include <math.h>
#include <string.h>

#include "../base/random.h"
#include "private.h"

/* Intervals at which waiting calls are planned again: the first of the queue,
 * and the others. */
#define QUEUE_HEAD_RETRY_MS 10
#define RETRY_MS 60
#define RETRY_AFTER_MS 500

/* Load added to endpoints of other data centres, in calls. */
#define OTHER_DATA_CENTRE_CALLS 0.5

/* Calls at E: own ones, or the number in its last report if that is larger and
 * recent. */
static double
calls_at (const struct router_endpoint *e, int64_t now_ms)
{
  double calls = e->busy;
  if (e->reported
      && now_ms - e->report.measured_ms <= ROUTER_REPORT_MAX_AGE_MS)
    calls = fmax (calls, e->report.decoding);
  return calls;
}

/* Non-urgent calls use only this node's share of an endpoint's limit, which
 * leaves headroom for urgent calls.  Where nodes outnumber the slots, a node
 * without a share may still have one such call at a time. */
static bool
has_room (const struct router_service *s, const struct router_endpoint *e,
          bool urgent)
{
  if (s->config->max_concurrent == 0)
    return true;
  if (urgent)
    return e->busy < s->config->max_concurrent;
  if (s->non_urgent_slots == 0)
    return s->non_urgent == 0;
  return e->non_urgent < e->share;
}

static uint32_t
least_loaded (struct beryl_router *r, const struct router_service *s,
              const struct beryl_job *job, int64_t now_ms,
              struct beryl_plan *plan)
{
  bool urgent = job->call_class == BERYL_CLASS_URGENT;
  size_t at = s->plain.count ? random_next (&r->random) % s->plain.count : 0;
  uint32_t best = ROUTER_NONE;
  double best_cost = 0;
  for (size_t i = 0; i < s->plain.count; i++)
    {
      uint32_t number = s->plain.items[(at + i) % s->plain.count];
      const struct router_endpoint *e = &r->endpoints[number];
      if (!fleet_usable (e, now_ms) || fleet_excluded (job, e)
          || !has_room (s, e, urgent))
        continue;
      double cost = calls_at (e, now_ms) + e->consecutive_failures;
      if (strcmp (e->config->data_centre, r->data_centre) != 0)
        cost += OTHER_DATA_CENTRE_CALLS;
      if (plan->alternative_count < BERYL_ALTERNATIVES_MAX)
        {
          struct beryl_alternative *a
              = &plan->alternatives[plan->alternative_count++];
          memcpy (a->decode, e->name, sizeof a->decode);
          a->cost_ms = cost;
        }
      if (best == ROUTER_NONE || cost < best_cost)
        {
          best = number;
          best_cost = cost;
        }
    }
  return best;
}

static bool
any_usable (const struct beryl_router *r, const struct router_service *s,
            const struct beryl_job *job, int64_t now_ms)
{
  for (size_t i = 0; i < s->plain.count; i++)
    {
      const struct router_endpoint *e = &r->endpoints[s->plain.items[i]];
      if (fleet_usable (e, now_ms) && !fleet_excluded (job, e))
        return true;
    }
  return false;
}

static void
refuse (struct beryl_router *r, const struct beryl_job *job,
        const char *reason, struct beryl_plan *plan)
{
  if (waiting_remove_request (r, job->request))
    organisation_job_closed (r, organisation_find (r, job->organisation));
  router_refuse (plan, reason, RETRY_AFTER_MS);
}

static void
start (struct beryl_router *r, const struct beryl_job *job, uint32_t service,
       uint32_t endpoint, int64_t now_ms, struct beryl_plan *plan)
{
  if (waiting_remove_request (r, job->request))
    organisation_job_closed (r, organisation_find (r, job->organisation));
  struct router_ticket *t = ticket_open (r, job, service, now_ms);
  if (!t)
    {
      router_refuse (plan, "no_memory", RETRY_AFTER_MS);
      return;
    }
  t->phase = ROUTER_PHASE_PLAIN;
  ticket_take_slot (r, t, endpoint, now_ms);
  if (job->call_class != BERYL_CLASS_URGENT)
    {
      r->endpoints[endpoint].non_urgent++;
      r->services[service].non_urgent++;
    }
  plan->verdict = BERYL_VERDICT_START;
  plan->ticket = t->id;
  plan->decode = r->endpoints[endpoint].config->name;
  plan->first_token_ms
      = (int64_t)r->services[service].answer_ms[job->call_class].mean;
  plan->reason = "least_loaded";
}

/* A non-urgent call that its deadline would cut off is not started: endpoints
 * continue cut-off calls, which take capacity from calls still in time. */
static bool
misses_deadline (const struct router_service *s, const struct beryl_job *job,
                 int64_t now_ms)
{
  double slack = (double)job->deadline_ms - (double)now_ms;
  if (job->call_class == BERYL_CLASS_URGENT)
    return slack <= 0;
  return slack <= estimate_mean_plus_sd (&s->answer_ms[job->call_class], 1);
}

/* Returns by how much a non-urgent call with AHEAD others before it would miss
 * its deadline, or 0.  Refusing it at once keeps calls that cannot finish in
 * time out of the queue. */
static int64_t
deadline_overrun_ms (const struct router_service *s,
                     const struct beryl_job *job, size_t ahead, int64_t now_ms)
{
  if (job->call_class == BERYL_CLASS_URGENT || s->config->max_concurrent == 0
      || ahead == 0)
    return 0;
  const struct estimate_mean *answer = &s->answer_ms[job->call_class];
  double slots = fmax (1, s->non_urgent_slots);
  double wait = (double)ahead / slots * answer->mean;
  double slack = (double)job->deadline_ms - (double)now_ms;
  double overrun = wait + estimate_mean_plus_sd (answer, 1) - slack;
  return overrun > 0 ? (int64_t)ceil (overrun) : 0;
}

void
plain_plan (struct beryl_router *r, const struct beryl_job *job,
            int64_t now_ms, struct beryl_plan *plan)
{
  struct router_service *s = router_service_find (r, job->service);
  if (misses_deadline (s, job, now_ms))
    {
      refuse (r, job, "deadline", plan);
      return;
    }
  if (!any_usable (r, s, job, now_ms))
    {
      refuse (r, job, "no_endpoint", plan);
      return;
    }
  struct router_waiting w = {
    .request = job->request,
    .service = (uint32_t)(s - r->services),
    .organisation = organisation_find (r, job->organisation),
    .call_class = job->call_class,
    .deadline_ms = job->deadline_ms,
  };
  uint32_t best = ROUTER_NONE;
  size_t ahead = waiting_ahead (r, &w);
  int64_t overrun_ms = deadline_overrun_ms (s, job, ahead, now_ms);
  if (overrun_ms > 0 && waiting_find (r, job->request) == SIZE_MAX)
    {
      router_refuse (plan, "no_capacity", overrun_ms);
      return;
    }
  if (ahead == 0)
    best = least_loaded (r, s, job, now_ms, plan);
  if (best != ROUTER_NONE)
    {
      start (r, job, w.service, best, now_ms, plan);
      return;
    }
  w.retry_at_ms = now_ms + (ahead == 0 ? QUEUE_HEAD_RETRY_MS : RETRY_MS);
  waiting_put (r, &w);
  plan->verdict = BERYL_VERDICT_WAIT;
  plan->retry_at_ms = w.retry_at_ms;
  plan->reason = "no_slot";
}
