#include "private.h"

#include <math.h>
#include <string.h>

/* Cost of an endpoint in another data centre, in open requests. */
#define REMOTE_COST 0.5
/* Response time that doubles the cost of an open request. */
#define DOUBLE_COST_MS 100
/* Costs of a failure rate of 1, of an avoided endpoint and of a request that
   has stalled at the endpoint, in open requests. */
#define FAILURE_COST 20
#define AVOIDED_COST 1000
#define STALLED_COST 100
/* Weights of the newest time to an answer; the same as in TCP's retransmission
   timer, which estimates the same quantity. */
#define TIME_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define LATE_DEVIATIONS 4
/* Hedging delay before anything is known of a service, and its minimum. */
#define LATE_UNKNOWN_MS 200
#define LATE_MIN_MS 30
/* Cost of an endpoint that runs a suspect of another request, in open
   requests. */
#define SUSPECT_COST 10
/* Endpoints that are compared. */
#define CANDIDATES_MAX 64
/* Retry-After if no untried endpoint or no repeat is left. */
#define FULL_RETRY_AFTER_MS 500

void
service_learn_answer_time (struct service *s, int64_t took_ms)
{
  double took = (double)took_ms;

  if (s->answer_mean_ms == 0)
    {
      s->answer_mean_ms = took;
      s->answer_deviation_ms = took / 2;
      return;
    }
  s->answer_deviation_ms
      += DEVIATION_WEIGHT
         * (fabs (took - s->answer_mean_ms) - s->answer_deviation_ms);
  s->answer_mean_ms += TIME_WEIGHT * (took - s->answer_mean_ms);
}

int64_t
service_hedge_delay_ms (const struct service *s)
{
  double late_ms
      = s->answer_mean_ms + LATE_DEVIATIONS * s->answer_deviation_ms;

  if (s->answer_mean_ms == 0)
    return LATE_UNKNOWN_MS;
  return late_ms > LATE_MIN_MS ? (int64_t)late_ms : LATE_MIN_MS;
}

/* Returns how many requests of this node wait at ENDPOINT for longer than
   usual. They are the first sign that an endpoint has stopped responding. */
static uint32_t
stalled_at (const struct beryl_forward *f,
            const struct beryl_live_endpoint *endpoint, int64_t late_ms,
            int64_t now_ms)
{
  const struct exchange *x;
  uint32_t count = 0;

  if (endpoint->open_exchanges == 0)
    return 0;
  TAILQ_FOREACH (x, &f->exchanges, entry)
  count += x->endpoint == endpoint && x->kind == BERYL_EXCHANGE_RUN
           && !x->has_head && now_ms - x->started_ms > late_ms;
  return count;
}

/* Returns a surcharge on sending R to ENDPOINT, in open requests, which never
   excludes an endpoint. */
static double
endpoint_surcharge (struct beryl_forward *f, const struct request *r,
                    struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  double cost = FAILURE_COST * endpoint->failure_rate;

  if (beryl_live_avoided (endpoint, now_ms))
    cost += AVOIDED_COST;
  if (crashes_suspect_at (f, r, endpoint, now_ms))
    cost += SUSPECT_COST;
  cost += STALLED_COST
          * stalled_at (f, endpoint, service_hedge_delay_ms (r->service) * 2,
                        now_ms);
  return cost;
}

static bool
is_remote (const struct beryl_forward *f,
           const struct beryl_live_endpoint *endpoint)
{
  return strcmp (endpoint->info.data_centre, f->settings.data_centre) != 0;
}

/* Returns the cost of OPEN requests at ENDPOINT, weighted by its response
 * time.
 */
static double
weighted (double open, const struct beryl_live_endpoint *endpoint)
{
  return open * (1 + endpoint->response_time_ms / DOUBLE_COST_MS);
}

/* Endpoints that R may be sent to. */
struct candidates
{
  struct beryl_live_endpoint *endpoints[CANDIDATES_MAX];
  struct endpoint_claim claims[CANDIDATES_MAX];
  size_t count;
};

/* Starts at a random endpoint, since there may be too many to compare. */
static void
collect (struct beryl_forward *f, const struct request *r,
         struct candidates *candidates, int64_t now_ms)
{
  size_t count = beryl_live_set_count (f->endpoints);
  size_t start = count > 0 ? random_next (&f->random) % count : 0;

  candidates->count = 0;
  for (size_t i = 0; i < count && candidates->count < CANDIDATES_MAX; i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, (start + i) % count);
      struct endpoint_claim *claim = &candidates->claims[candidates->count];

      if (strcmp (endpoint->info.service, r->service->name) != 0
          || !beryl_live_accepts_work (endpoint)
          || !resume_keeps_version (r, endpoint)
          || forward_request_was_tried (r, endpoint)
          || beryl_live_paused (endpoint, now_ms)
          || !connections_allow (f, r, endpoint, now_ms)
          || !rates_allows (f, r->service, endpoint, now_ms))
        continue;
      candidates->endpoints[candidates->count++] = endpoint;
      claim->belief
          = speeds_of (f, r->service, endpoint, BERYL_WORK_CALL, now_ms);
      claim->remote = is_remote (f, endpoint);
      claim->surcharge = endpoint_surcharge (f, r, endpoint, now_ms);
      claim->cost = weighted (1 + (double)endpoint->open_exchanges, endpoint)
                    + claim->surcharge;
    }
}

/* Of equal ones each is as likely: the start in the list of all endpoints
   would favour one that follows those of other services. */
static struct beryl_live_endpoint *
cheapest (struct beryl_forward *f, const struct candidates *candidates)
{
  struct beryl_live_endpoint *best = NULL;
  double best_cost = 0;
  size_t count = candidates->count;
  size_t start = count > 0 ? random_next (&f->random) % count : 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t at = (start + i) % count;
      struct beryl_live_endpoint *endpoint = candidates->endpoints[at];
      const struct endpoint_claim *claim = &candidates->claims[at];
      double open
          = endpoint->open_exchanges + (claim->remote ? REMOTE_COST : 0);
      double cost = weighted (open, endpoint) + claim->surcharge;

      if (best == NULL || cost < best_cost)
        {
          best = endpoint;
          best_cost = cost;
        }
    }
  return best;
}

/* Logs the endpoint of this data centre that R is not sent to, with its load
   in thousandths of what it takes, or its speed. */
static void
log_passed_over (struct beryl_forward *f, const struct request *r,
                 const struct candidates *candidates, int64_t now_ms)
{
  for (size_t i = 0; i < candidates->count; i++)
    {
      const struct beryl_capacity_belief *belief
          = &candidates->claims[i].belief;

      if (candidates->claims[i].remote)
        continue;
      if (belief->speed < 1)
        forward_request_log (f, r, "pass_over", candidates->endpoints[i],
                             "slow", (int64_t)(1000 * belief->speed), now_ms);
      else
        forward_request_log (
            f, r, "pass_over", candidates->endpoints[i], "busy",
            (int64_t)(1000 * belief->load_per_s / belief->limit_per_s),
            now_ms);
      return;
    }
}

/* Only an idempotent request is used as a probe. */
static struct beryl_live_endpoint *
due_probe (const struct request *r, const struct candidates *candidates,
           int64_t now_ms)
{
  if (!forward_request_is_repeatable (r) || r->plain_sends > 0)
    return NULL;
  for (size_t i = 0; i < candidates->count; i++)
    if (beryl_live_probe_due (candidates->endpoints[i], now_ms))
      return candidates->endpoints[i];
  return NULL;
}

static struct beryl_live_endpoint *
choose_by_capacity (struct beryl_forward *f, const struct request *r,
                    const struct candidates *candidates, int64_t now_ms)
{
  size_t chosen;

  if (!endpoint_choice_make (candidates->claims, candidates->count,
                             &r->service->spill, &f->random, now_ms, &chosen))
    return NULL;
  if (candidates->claims[chosen].remote)
    log_passed_over (f, r, candidates, now_ms);
  return candidates->endpoints[chosen];
}

static struct beryl_live_endpoint *
plain_choose (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct candidates candidates;
  struct beryl_live_endpoint *best;

  collect (f, r, &candidates, now_ms);
  best = due_probe (r, &candidates, now_ms);
  if (best == NULL)
    best = choose_by_capacity (f, r, &candidates, now_ms);
  if (best == NULL)
    best = cheapest (f, &candidates);
  return best;
}

static void
plain_send (struct beryl_forward *f, struct request *r,
            struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN };
  struct exchange *x;

  forward_request_mark_tried (r, endpoint);
  if (beryl_live_probe_due (endpoint, now_ms))
    endpoint->last_probe_ms = now_ms;
  rates_count_sent (f, r->service, endpoint, now_ms);
  speeds_count_sent (f, r->service, endpoint, BERYL_WORK_CALL, 1, now_ms);
  r->plain_sends++;
  repeats_count_send (r);
  r->phase = PHASE_RUNNING;
  r->run_ms = now_ms;
  if (r->first_run_ms == 0)
    r->first_run_ms = now_ms;
  x = forward_exchange_start (f, r, &start, endpoint, now_ms);
  if (r->primary == NULL)
    r->primary = x;
  else
    r->secondary = x;
  forward_request_log (f, r, "send", endpoint, "sent", r->plain_sends, now_ms);
  r->timer_ms = r->deadline_ms;
  /* Hedging: if the answer to an idempotent request is unusually late, a
     second endpoint is tried, and the first answer that is not an error is
     used. A dead endpoint then costs some tens of milliseconds. */
  if (forward_request_is_repeatable (r) && r->secondary == NULL
      && r->plain_sends < r->route->endpoints_max)
    {
      int64_t late_ms = now_ms + service_hedge_delay_ms (r->service);

      if (late_ms < r->timer_ms)
        r->timer_ms = late_ms;
    }
}

void
plain_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint;
  int64_t after_ms;

  if (stop_refuse_run (f, r, now_ms))
    return;
  endpoint = plain_choose (f, r, now_ms);
  if (endpoint != NULL)
    {
      if (!plain_admission_refuse (f, r, now_ms))
        plain_send (f, r, endpoint, now_ms);
      return;
    }
  if (pauses_refuse (f, r, BERYL_STAGE_NONE, 0, now_ms)
      || connections_refuse (f, r, now_ms))
    return;
  after_ms = rates_retry_after_ms (f, r->service, now_ms);
  if (after_ms > 0)
    forward_request_refuse (f, r, 503, BERYL_REFUSAL_LIMITED, after_ms,
                            now_ms);
  else
    forward_request_fail (f, r, BERYL_REFUSAL_NO_ENDPOINT, now_ms);
}

void
plain_send_failed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint;

  if (r->primary != NULL) /* another send is still open */
    return;
  if (stop_refuse_run (f, r, now_ms) || crashes_refuse (f, r, now_ms)
      || handoff_if_doubted (f, r, now_ms))
    return;
  if (r->may_have_run
      && (!forward_request_is_repeatable (r)
          || r->endpoints_run_count >= r->route->endpoints_max))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  endpoint = plain_choose (f, r, now_ms);
  if (endpoint == NULL && pauses_refuse (f, r, BERYL_STAGE_NONE, 0, now_ms))
    return;
  if (endpoint != NULL && plain_admission_refuse (f, r, now_ms))
    return;
  if (endpoint != NULL && repeats_take (f, r, repeats_for_run (r), now_ms))
    plain_send (f, r, endpoint, now_ms);
  else if (r->may_have_run)
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    forward_request_refuse (f, r, 503, BERYL_REFUSAL_ATTEMPTS_EXHAUSTED,
                            FULL_RETRY_AFTER_MS, now_ms);
}

void
plain_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint;

  r->timer_ms = r->deadline_ms;
  if (r->phase == PHASE_CONFIRMING || r->primary == NULL
      || r->primary->has_head || r->secondary != NULL
      || crashes_is_quarantined (f, r, now_ms)
      || handoff_if_lost (f, r, now_ms))
    return;
  endpoint = plain_choose (f, r, now_ms);
  if (endpoint == NULL || beryl_live_avoided (endpoint, now_ms)
      || !repeats_take (f, r, repeats_for_run (r), now_ms))
    return;
  beryl_live_record_outcome (r->primary->endpoint, BERYL_LIVE_TIMED_OUT,
                             now_ms - r->primary->started_ms, now_ms);
  plain_send (f, r, endpoint, now_ms);
}
