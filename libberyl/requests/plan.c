/* Planning of requests by the router. */
#include <stdio.h>
#include <string.h>

#include "private.h"

#define REFUSED_RETRY_MS 1000
/* How long a request waits before it tries endpoints again when all of them
 * have refused it or failed. */
#define EXCLUSION_RESET_DELAY_MS 100
/* A gap between two events of this length shows that the process was
 * suspended. */
#define SUSPENSION_DETECTED_MS (3 * TICK_INTERVAL_MAX_MS)
/* How long planning waits after a suspension, so that pending updates are read
 * first. */
#define SUSPENSION_RECOVERY_MS 100
/* Most waiting requests that are planned again after one event. */
#define PLANS_PER_EVENT 64

void
request_exclude (struct request *request, const char *endpoint)
{
  uint32_t n = request->excluded_count;

  if (endpoint == NULL || n == ENDPOINT_EXCLUDED_MAX)
    return;
  snprintf (request->excluded[n], BERYL_NAME_BYTES, "%s", endpoint);
  request->excluded_count++;
}

void
plan_emit_decision (struct beryl_requests *requests,
                    const struct request *request,
                    const struct beryl_plan *plan)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_DECISION,
    .request = request->call.request,
  };

  action.decision.request_id = request->call.request_id;
  action.decision.plan = plan;
  requests_emit (requests, &action);
}

static void
plan_start (struct beryl_requests *requests, struct request *request,
            const struct beryl_plan *plan, int64_t now_ms)
{
  request->ticket = plan->ticket;
  if (request->plain)
    {
      snprintf (request->answer_endpoint, sizeof request->answer_endpoint,
                "%s", plan->decode);
      attempt_service (requests, request, now_ms);
      return;
    }
  snprintf (request->prefill, sizeof request->prefill, "%s", plan->prefill);
  attempt_prefill (requests, request, now_ms);
}

static void
plan_refuse (struct beryl_requests *requests, struct request *request,
             const struct beryl_plan *plan, int64_t now_ms)
{
  const char *reason = plan->reason != NULL ? plan->reason : "no capacity";
  enum beryl_problem problem = BERYL_PROBLEM_NO_CAPACITY;
  int64_t retry_after_ms
      = plan->retry_after_ms > 0 ? plan->retry_after_ms : REFUSED_RETRY_MS;

  /* Matches the router's reasons "concurrency_limit" and "rate_limit". */
  if (strstr (reason, "limit") != NULL)
    problem = BERYL_PROBLEM_OVER_LIMIT;
  request_fail (requests, request, problem, retry_after_ms, reason, now_ms);
}

/* A process that resumes after a suspension has an old configuration and
 * queued calls.  Planned at once, the calls would go to endpoints that left
 * meanwhile; the new configuration is pending in the same event loop and is
 * applied during this delay. */
void
requests_detect_suspension (struct beryl_requests *requests, int64_t now_ms)
{
  bool steady = requests->last_event_ms == INT64_MIN
                || now_ms - requests->last_event_ms < SUSPENSION_DETECTED_MS;

  if (!BERYL_GUARD (BERYL_GUARD_CATCH_UP, steady))
    requests->plan_not_before_ms = now_ms + SUSPENSION_RECOVERY_MS;
  requests->last_event_ms = now_ms;
}

void
request_plan (struct beryl_requests *requests, struct request *request,
              int64_t now_ms)
{
  const char *excluded[ENDPOINT_EXCLUDED_MAX];
  struct beryl_plan plan = { 0 };
  struct beryl_job job = {
    .request = request->call.request,
    .service = request->call.service,
    .organisation = request->call.organisation,
    .call_class = request->call_class,
    .plain = request->plain,
    .prompt_tokens = request->call.prompt_tokens,
    .max_tokens = request->call.max_tokens,
    .block_hashes = request->block_hashes,
    .block_count = request->block_count,
    .arrived_ms = request->arrived_ms,
    .deadline_ms = request->call.deadline_ms,
    .excluded_count = request->excluded_count,
    .excluded = excluded,
  };

  for (uint32_t i = 0; i < request->excluded_count; i++)
    excluded[i] = request->excluded[i];
  request_set_phase (requests, request, PHASE_PLAN);
  if (now_ms < requests->plan_not_before_ms)
    {
      request->plan_at_ms = requests->plan_not_before_ms;
      return;
    }
  beryl_router_plan (requests->router, &job, now_ms, &plan);
  /* Every endpoint has refused this request or failed it: try the same ones
   * again after a delay instead of waiting for an endpoint that does not
   * exist. */
  if (plan.verdict == BERYL_VERDICT_WAIT && request->excluded_count > 0
      && plan.reason != NULL && strcmp (plan.reason, "no_endpoint") == 0)
    {
      request->excluded_count = 0;
      plan.retry_at_ms = now_ms + EXCLUSION_RESET_DELAY_MS;
    }
  if (plan.verdict == BERYL_VERDICT_WAIT)
    {
      request->plan_at_ms = plan.retry_at_ms;
      return;
    }
  plan_emit_decision (requests, request, &plan);
  if (plan.verdict == BERYL_VERDICT_START)
    plan_start (requests, request, &plan, now_ms);
  else
    plan_refuse (requests, request, &plan, now_ms);
}

static int
plan_class (struct beryl_requests *requests, enum beryl_class call_class,
            bool all, int limit, int64_t now_ms)
{
  struct request *request, *next;
  int planned = 0;

  for (request = requests->waiting[call_class].first;
       request != NULL && planned < limit; request = next)
    {
      next = request->next_waiting;
      if (!all && now_ms < request->plan_at_ms)
        continue;
      request_plan (requests, request, now_ms);
      planned++;
    }
  return planned;
}

/* Plans waiting requests again, at most PLANS_PER_EVENT: those that are due,
 * or any if capacity may have been freed or the router's own time is due.
 * Requests beyond that number are planned when they are due. */
void
requests_plan_waiting (struct beryl_requests *requests, int64_t now_ms)
{
  bool all = requests->capacity_freed
             || now_ms >= beryl_router_next_ms (requests->router);
  int planned = 0;

  if (now_ms < requests->plan_not_before_ms)
    return;
  requests->capacity_freed = false;
  for (int c = BERYL_CLASS_URGENT; c <= BERYL_CLASS_BATCH; c++)
    planned += plan_class (requests, (enum beryl_class)c, all,
                           PLANS_PER_EVENT - planned, now_ms);
}
