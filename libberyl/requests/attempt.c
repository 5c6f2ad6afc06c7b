/* Attempts to run a request at endpoints: start, resume, failure and retry.
 * An attempt is the call of a plain service, or a prefill with its decode.
 * The attempt number sent to endpoints is the exchange number, so it grows
 * several times in one attempt. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* Times that one attempt's decode is resumed after its connection broke. */
#define RESUMES_MAX 2

struct exchange *
exchange_open (struct beryl_requests *requests, struct request *request,
               const char *endpoint)
{
  struct exchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  exchange->id = ++requests->last_exchange;
  exchange->request = request;
  exchange->number = request->exchange_number;
  snprintf (exchange->endpoint, sizeof exchange->endpoint, "%s", endpoint);
  if (!map_put (&requests->by_exchange, map_key_from_number (exchange->id),
                exchange))
    {
      free (exchange);
      return NULL;
    }
  request->exchange = exchange;
  return exchange;
}

void
exchange_close (struct beryl_requests *requests, struct request *request)
{
  struct exchange *exchange = request->exchange;

  if (exchange == NULL)
    return;
  map_remove (&requests->by_exchange, map_key_from_number (exchange->id));
  request->exchange = NULL;
  free (exchange);
}

void
attempt_pause (struct beryl_requests *requests, struct request *request,
               bool paused)
{
  struct exchange *exchange = request->exchange;
  struct beryl_action action = { .type = BERYL_ACTION_PAUSE };

  if (exchange == NULL || exchange->paused == paused)
    return;
  exchange->paused = paused;
  action.request = request->call.request;
  action.exchange = exchange->id;
  action.pause.paused = paused;
  requests_emit (requests, &action);
}

static bool
attempt_start (struct beryl_requests *requests, struct request *request,
               enum beryl_action_type type, const char *endpoint)
{
  struct beryl_action action = {
    .type = type,
    .request = request->call.request,
  };
  struct exchange *exchange;

  request->exchange_number++;
  exchange = exchange_open (requests, request, endpoint);
  if (exchange == NULL)
    return false;
  action.exchange = exchange->id;
  action.start.endpoint = exchange->endpoint;
  action.start.stream = request->stream;
  action.start.attempt = request->exchange_number;
  action.start.kv_handle = request->kv_handle;
  action.start.kv_endpoint = request->prefill;
  action.start.offset = request->reassembly.next;
  action.start.call = &request->call;
  action.start.deadline_ms = request->call.deadline_ms;
  requests_emit (requests, &action);
  return true;
}

static void
attempt_out_of_memory (struct beryl_requests *requests,
                       struct request *request, int64_t now_ms)
{
  request_fail (requests, request, BERYL_PROBLEM_NO_CAPACITY, 1000,
                "out of memory", now_ms);
}

void
attempt_service (struct beryl_requests *requests, struct request *request,
                 int64_t now_ms)
{
  request_set_phase (requests, request, PHASE_SERVICE);
  if (!attempt_start (requests, request, BERYL_ACTION_SERVICE,
                      request->answer_endpoint))
    attempt_out_of_memory (requests, request, now_ms);
}

void
attempt_prefill (struct beryl_requests *requests, struct request *request,
                 int64_t now_ms)
{
  request_set_phase (requests, request, PHASE_PREFILL);
  request->stream.incarnation = requests->settings.incarnation;
  request->stream.counter = ++requests->last_stream;
  request->kv_handle[0] = '\0';
  request->resumes = 0;
  request->decode_refusals = 0;
  request->first_token_seen = false;
  request->answer_endpoint[0] = '\0';
  request->decode_retry_at_ms = BERYL_NEVER_MS;
  request->engine_call_in_flight = false;
  if (!hold_record (requests, request->prefill, request->stream)
      || !attempt_start (requests, request, BERYL_ACTION_PREFILL,
                         request->prefill))
    attempt_out_of_memory (requests, request, now_ms);
}

static void
attempt_decode (struct beryl_requests *requests, struct request *request,
                int64_t now_ms)
{
  request_set_phase (requests, request, PHASE_DECODE);
  request->decode_retry_at_ms = BERYL_NEVER_MS;
  if (!hold_record (requests, request->answer_endpoint, request->stream)
      || !attempt_start (requests, request, BERYL_ACTION_DECODE,
                         request->answer_endpoint))
    attempt_out_of_memory (requests, request, now_ms);
}

void
attempt_release (struct beryl_requests *requests, struct request *request,
                 enum beryl_release how, const char *endpoint, int64_t now_ms)
{
  if (request->ticket == 0)
    return;
  beryl_router_release (requests->router, request->ticket, how, endpoint,
                        now_ms);
  request->ticket = 0;
  requests->capacity_freed = true;
}

void
attempt_stop (struct beryl_requests *requests, struct request *request,
              enum beryl_release how, const char *endpoint, int64_t now_ms)
{
  /* A due retry would ask the router to bind a decode after the ticket was
   * released; the router's refusal would count against the request. */
  request->decode_retry_at_ms = BERYL_NEVER_MS;
  if (request->phase == PHASE_PLAN)
    beryl_router_drop_waiting (requests->router, request->call.request);
  if (request->exchange != NULL)
    {
      struct beryl_action action = {
        .type = BERYL_ACTION_ABORT,
        .request = request->call.request,
        .exchange = request->exchange->id,
      };

      requests_emit (requests, &action);
      exchange_close (requests, request);
      request->engine_call_in_flight = true;
    }
  if (request->stream.counter != 0)
    {
      hold_cancel (requests, request->prefill, request->stream,
                   request->engine_call_in_flight, now_ms);
      hold_cancel (requests, request->answer_endpoint, request->stream,
                   request->engine_call_in_flight, now_ms);
    }
  attempt_release (requests, request, how, endpoint, now_ms);
}

static void
request_reset_attempt (struct request *request)
{
  reassembly_discard_buffered (&request->reassembly);
  request->stream = (struct beryl_stream_id){ 0 };
  if (request->reply_started)
    return;
  request->reassembly.next = 0;
  request->answer.body.count = 0;
  request->answer.completion_tokens = 0;
}

/* Returns why a failed attempt must not be retried, or NULL if it may be.
 * Counts the refusal, or takes the retry from the service's budget. */
static const char *
retry_denied_reason (struct beryl_requests *requests, struct request *request,
                     enum beryl_outcome outcome, bool refused)
{
  bool safe = beryl_outcome_allows_retry (outcome, request->idempotent);

  if (request->detached)
    return "caller gone";
  /* Another engine would continue with different text: after the first byte
   * was sent, the caller would receive a mix of two answers. */
  if (!BERYL_GUARD (BERYL_GUARD_RESUME_ONLY, !request->reply_started))
    return "the answer had begun";
  /* A non-idempotent call that may have run must not run again; a repeated
   * billing call would charge a customer twice. */
  if (!BERYL_GUARD (BERYL_GUARD_RETRY_SAFE, safe))
    return "the endpoint failed while the call may have been running";
  if (refused && ++request->refusals > REFUSALS_MAX)
    return "every endpoint tried is full";
  if (!refused
      && !retry_budget_spend (&requests->budgets, request->call.service))
    return "the service's retry budget is spent";
  return NULL;
}

/* Ends an attempt that produced no complete answer: retries the request or
 * fails it. */
void
attempt_failed (struct beryl_requests *requests, struct request *request,
                enum beryl_outcome outcome, bool refused, const char *endpoint,
                int64_t retry_after_ms, int64_t now_ms)
{
  char name[BERYL_NAME_BYTES];
  const char *denied_reason;

  snprintf (name, sizeof name, "%s", endpoint);
  attempt_stop (requests, request,
                refused ? BERYL_RELEASE_REFUSED : BERYL_RELEASE_FAILED,
                name[0] != '\0' ? name : NULL, now_ms);
  if (outcome == BERYL_OUTCOME_UNKNOWN)
    request->may_have_run = true;
  denied_reason = retry_denied_reason (requests, request, outcome, refused);
  if (denied_reason != NULL)
    {
      request_fail (requests, request,
                    refused ? BERYL_PROBLEM_NO_CAPACITY
                            : BERYL_PROBLEM_ENDPOINT_FAILED,
                    retry_after_ms, denied_reason, now_ms);
      return;
    }
  if (name[0] != '\0')
    request_exclude (request, name);
  request_reset_attempt (request);
  request_set_phase (requests, request, PHASE_PLAN);
  request->plan_at_ms = now_ms;
}

/* Reconnects to the same engine for the rest of the same answer. */
bool
attempt_resume (struct beryl_requests *requests, struct request *request,
                bool sent, int64_t now_ms)
{
  if (request->phase != PHASE_DECODE || !sent
      || request->resumes == RESUMES_MAX
      || !retry_budget_spend (&requests->budgets, request->call.service))
    return false;
  request->resumes++;
  reassembly_discard_buffered (&request->reassembly);
  exchange_close (requests, request);
  attempt_decode (requests, request, now_ms);
  return true;
}

/* Chooses a decode engine once the KV cache is exported.  REFUSED_BY is the
 * engine that has just refused for lack of capacity, or NULL; it has not run
 * the call, so asking another engine, or the same one later, does not run it
 * twice. */
void
attempt_bind_decode (struct beryl_requests *requests, struct request *request,
                     const char *refused_by, int64_t now_ms)
{
  struct beryl_plan plan = { .verdict = BERYL_VERDICT_REFUSE };

  beryl_router_bind_decode (requests->router, request->ticket,
                            request->kv_expires_ms, refused_by, now_ms, &plan);
  if (plan.verdict != BERYL_VERDICT_WAIT)
    plan_emit_decision (requests, request, &plan);
  if (plan.verdict == BERYL_VERDICT_WAIT)
    {
      request_set_phase (requests, request, PHASE_DECODE);
      request->decode_retry_at_ms
          = plan.retry_at_ms > now_ms ? plan.retry_at_ms : now_ms + 1;
      requests_schedule_due (requests, request->decode_retry_at_ms);
    }
  else if (plan.verdict == BERYL_VERDICT_START)
    {
      snprintf (request->answer_endpoint, sizeof request->answer_endpoint,
                "%s", plan.decode);
      attempt_decode (requests, request, now_ms);
    }
  else
    attempt_failed (requests, request, BERYL_OUTCOME_UNKNOWN, true,
                    refused_by != NULL ? refused_by : "", plan.retry_after_ms,
                    now_ms);
}
