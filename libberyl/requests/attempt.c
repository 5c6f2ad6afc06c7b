#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* Cuts between us and an engine that one attempt survives. */
#define RESUMES_MAX 2
/* Times that endpoints may turn a request away before the caller hears. */
#define REFUSALS_MAX 4

struct exchange *
exchange_open (struct beryl_requests *requests, struct request *request,
               const char *endpoint)
{
  struct exchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  exchange->id = ++requests->last_exchange;
  exchange->request = request;
  exchange->attempt = request->attempt;
  snprintf (exchange->endpoint, sizeof exchange->endpoint, "%s", endpoint);
  if (!map_put (&requests->by_exchange, map_key_number (exchange->id),
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
  map_remove (&requests->by_exchange, map_key_number (exchange->id));
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
  requests_act (requests, &action);
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

  request->attempt++;
  exchange = exchange_open (requests, request, endpoint);
  if (exchange == NULL)
    return false;
  action.exchange = exchange->id;
  action.start.endpoint = exchange->endpoint;
  action.start.stream = request->stream;
  action.start.attempt = request->attempt;
  action.start.kv_handle = request->kv_handle;
  action.start.kv_endpoint = request->prefill;
  action.start.offset = request->reassembly.next;
  action.start.call = &request->call;
  action.start.deadline_ms = request->call.deadline_ms;
  requests_act (requests, &action);
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
  request->phase = PHASE_SERVICE;
  if (!attempt_start (requests, request, BERYL_ACTION_SERVICE,
                      request->decode))
    attempt_out_of_memory (requests, request, now_ms);
}

void
attempt_prefill (struct beryl_requests *requests, struct request *request,
                 int64_t now_ms)
{
  request->phase = PHASE_PREFILL;
  request->stream.incarnation = requests->settings.incarnation;
  request->stream.counter = ++requests->last_stream;
  request->kv_handle[0] = '\0';
  request->resumes = 0;
  request->first_token_seen = false;
  request->unsettled = false;
  if (!hold_record (requests, request->prefill, request->stream)
      || !attempt_start (requests, request, BERYL_ACTION_PREFILL,
                         request->prefill))
    attempt_out_of_memory (requests, request, now_ms);
}

static void
attempt_decode (struct beryl_requests *requests, struct request *request,
                int64_t now_ms)
{
  request->phase = PHASE_DECODE;
  if (!hold_record (requests, request->decode, request->stream)
      || !attempt_start (requests, request, BERYL_ACTION_DECODE,
                         request->decode))
    attempt_out_of_memory (requests, request, now_ms);
}

static void
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
  if (request->phase == PHASE_PLAN)
    beryl_router_forget (requests->router, request->call.request);
  if (request->exchange != NULL)
    {
      struct beryl_action action = {
        .type = BERYL_ACTION_ABORT,
        .request = request->call.request,
        .exchange = request->exchange->id,
      };

      requests_act (requests, &action);
      exchange_close (requests, request);
      request->unsettled = true;
    }
  if (request->stream.counter != 0)
    {
      hold_cancel (requests, request->prefill, request->stream,
                   request->unsettled, now_ms);
      hold_cancel (requests, request->decode, request->stream,
                   request->unsettled, now_ms);
    }
  attempt_release (requests, request, how, endpoint, now_ms);
}

static void
request_reset (struct request *request)
{
  reassembly_drop_early (&request->reassembly);
  request->stream = (struct beryl_stream_id){ 0 };
  if (request->begun)
    return;
  request->reassembly.next = 0;
  request->answer.body.count = 0;
  request->answer.completion_tokens = 0;
}

/* Why a failed attempt ends the request; NULL if it may be tried again. */
static const char *
retry_obstacle (struct beryl_requests *requests, struct request *request,
                enum beryl_outcome outcome, bool refused)
{
  bool safe = beryl_outcome_allows_retry (outcome, request->idempotent);

  if (request->caller_gone)
    return "caller gone";
  /* Another engine's continuation differs: after the first byte has gone
   * out, the caller would read two texts as one. */
  if (!BERYL_GUARD (BERYL_GUARD_MIX, !request->begun))
    return "the answer had begun";
  /* A call that may have run must not run again: a station would be billed
   * twice. */
  if (!BERYL_GUARD (BERYL_GUARD_RETRY_SAFE, safe))
    return "the endpoint failed while the call may have been running";
  if (refused && ++request->refusals > REFUSALS_MAX)
    return "every endpoint tried is full";
  if (!refused
      && !retry_budget_spend (&requests->budgets, request->call.service))
    return "the service's retry budget is spent";
  return NULL;
}

/* An attempt ended without an answer. */
static void
attempt_failed (struct beryl_requests *requests, struct request *request,
                enum beryl_outcome outcome, bool refused, const char *endpoint,
                int64_t retry_after_ms, int64_t now_ms)
{
  char name[BERYL_NAME_BYTES];
  const char *obstacle;

  snprintf (name, sizeof name, "%s", endpoint);
  attempt_stop (requests, request,
                refused ? BERYL_RELEASE_REFUSED : BERYL_RELEASE_FAILED, name,
                now_ms);
  if (outcome == BERYL_OUTCOME_UNKNOWN)
    request->may_have_run = true;
  obstacle = retry_obstacle (requests, request, outcome, refused);
  if (obstacle != NULL)
    {
      request_fail (requests, request,
                    refused ? BERYL_PROBLEM_NO_CAPACITY
                            : BERYL_PROBLEM_ENDPOINT_FAILED,
                    retry_after_ms, obstacle, now_ms);
      return;
    }
  request_exclude (request, name);
  request_reset (request);
  request->phase = PHASE_PLAN;
  request->retry_at_ms = now_ms;
}

/* Asks the same engine for the rest of the same continuation. */
static bool
attempt_resume (struct beryl_requests *requests, struct request *request,
                bool sent, int64_t now_ms)
{
  if (request->phase != PHASE_DECODE || !sent
      || request->resumes == RESUMES_MAX
      || !retry_budget_spend (&requests->budgets, request->call.service))
    return false;
  request->resumes++;
  reassembly_drop_early (&request->reassembly);
  exchange_close (requests, request);
  attempt_decode (requests, request, now_ms);
  return true;
}

static void
on_forward_failed (struct beryl_requests *requests, struct request *request,
                   const char *reason, int64_t now_ms)
{
  exchange_close (requests, request);
  request_fail_as (requests, request, BERYL_PROBLEM_KEY_UNKNOWN,
                   BERYL_OUTCOME_UNKNOWN, 1000,
                   reason != NULL ? reason : "the key's node is away", now_ms);
}

static void
on_failed (struct beryl_requests *requests, struct request *request, bool sent,
           const char *reason, int64_t now_ms)
{
  enum beryl_outcome outcome
      = sent ? BERYL_OUTCOME_UNKNOWN : BERYL_OUTCOME_NOT_RUN;
  const char *endpoint
      = request->phase == PHASE_PREFILL ? request->prefill : request->decode;

  request->unsettled |= sent;
  if (request->phase == PHASE_FORWARD)
    {
      on_forward_failed (requests, request, reason, now_ms);
      return;
    }
  if (attempt_resume (requests, request, sent, now_ms))
    return;
  if (request->phase == PHASE_DECODE)
    outcome = BERYL_OUTCOME_UNKNOWN;
  if (request->phase == PHASE_PREFILL && !sent)
    hold_end (requests, request->prefill, request->stream);
  exchange_close (requests, request);
  attempt_failed (requests, request, outcome, false, endpoint, 0, now_ms);
}

/* The endpoint says that it did not run it.  Of a model's call the prefill
 * has run when a decode is refused, so that the whole is no longer surely
 * "not run". */
static void
on_refused (struct beryl_requests *requests, struct request *request,
            int64_t retry_after_ms, int64_t now_ms)
{
  enum beryl_outcome outcome = BERYL_OUTCOME_NOT_RUN;
  const char *endpoint
      = request->phase == PHASE_PREFILL ? request->prefill : request->decode;

  if (request->phase == PHASE_DECODE)
    outcome = BERYL_OUTCOME_UNKNOWN;
  if (request->phase == PHASE_PREFILL)
    hold_end (requests, request->prefill, request->stream);
  if (request->phase == PHASE_DECODE && request->resumes == 0
      && strcmp (request->prefill, request->decode) != 0)
    hold_end (requests, request->decode, request->stream);
  exchange_close (requests, request);
  attempt_failed (requests, request, outcome, true, endpoint, retry_after_ms,
                  now_ms);
}

static void
on_head (struct request *request, const struct beryl_event *event)
{
  struct answer *answer = &request->answer;
  const char *type = event->head.content_type;

  answer->status = event->head.status;
  snprintf (answer->content_type, sizeof answer->content_type, "%s",
            type != NULL ? type : "");
}

static void
on_prefill_done (struct beryl_requests *requests, struct request *request,
                 const struct beryl_event *event, int64_t now_ms)
{
  if (request->phase != PHASE_PREFILL)
    return;
  exchange_close (requests, request);
  snprintf (request->kv_handle, sizeof request->kv_handle, "%s",
            event->prefill.kv_handle != NULL ? event->prefill.kv_handle : "");
  beryl_router_prefill_done (requests->router, request->ticket,
                             event->prefill.cached_tokens,
                             event->prefill.kv_bytes, now_ms);
  attempt_decode (requests, request, now_ms);
}

/* The decode engine has imported the KV cache; its export need not wait for
 * its expiry. */
static void
release_export (struct beryl_requests *requests, struct request *request,
                int64_t now_ms)
{
  if (request->stream.counter != 0
      && strcmp (request->prefill, request->decode) != 0)
    hold_cancel (requests, request->prefill, request->stream, false, now_ms);
}

struct delivery
{
  struct beryl_requests *requests;
  struct request *request;
  int64_t now_ms;
};

static void
deliver_piece (void *data, const void *bytes, size_t bytes_count,
               uint32_t tokens)
{
  struct delivery *d = data;

  request_deliver (d->requests, d->request, bytes, bytes_count, tokens,
                   d->now_ms);
}

static void
note_tokens (struct beryl_requests *requests, struct request *request,
             uint32_t tokens, int64_t now_ms)
{
  if (request->phase != PHASE_DECODE)
    return;
  if (!request->first_token_seen)
    {
      request->first_token_seen = true;
      beryl_router_first_token (requests->router, request->ticket, now_ms);
      release_export (requests, request, now_ms);
    }
  if (tokens > 0)
    beryl_router_tokens (requests->router, request->ticket, tokens, now_ms);
}

static void
on_data (struct beryl_requests *requests, struct exchange *exchange,
         const struct beryl_event *event, int64_t now_ms)
{
  struct request *request = exchange->request;
  struct delivery delivery = { requests, request, now_ms };
  uint32_t attempt = event->data.attempt;

  /* An engine that resumes a stream may still flush bytes of the attempt
   * before it; their offsets are not those of this one. */
  if (!BERYL_GUARD (BERYL_GUARD_ATTEMPT,
                    attempt == 0 || attempt == exchange->attempt))
    return;
  note_tokens (requests, request, event->data.tokens, now_ms);
  if (!reassembly_add (&request->reassembly, event->data.offset,
                       event->data.bytes, event->data.bytes_count,
                       event->data.tokens, deliver_piece, &delivery))
    attempt_failed (requests, request, BERYL_OUTCOME_UNKNOWN, false,
                    request->decode, 0, now_ms);
}

static void
on_end (struct beryl_requests *requests, struct request *request,
        const struct beryl_event *event, int64_t now_ms)
{
  struct answer *answer = &request->answer;
  uint64_t whole = event->end.answer_bytes;
  bool sized = whole != 0 || request->phase == PHASE_DECODE;

  /* An end before all bytes are there would pass a part for the whole; it
   * is a cut, and the rest is asked for. */
  if (!BERYL_GUARD (BERYL_GUARD_WHOLE,
                    !sized || request->reassembly.next == whole))
    {
      on_failed (requests, request, true, "bytes are missing", now_ms);
      return;
    }
  if (event->end.finish_reason != NULL)
    snprintf (answer->finish_reason, sizeof answer->finish_reason, "%s",
              event->end.finish_reason);
  release_export (requests, request, now_ms);
  if (request->phase == PHASE_DECODE)
    hold_end (requests, request->decode, request->stream);
  exchange_close (requests, request);
  attempt_release (requests, request, BERYL_RELEASE_DONE, NULL, now_ms);
  request_answered (requests, request, now_ms);
}

static void
on_forward_error (struct beryl_requests *requests, struct request *request,
                  const struct beryl_event *event, int64_t now_ms)
{
  if (request->phase != PHASE_FORWARD)
    return;
  exchange_close (requests, request);
  request_fail_as (requests, request, event->forward_error.problem,
                   event->forward_error.outcome,
                   event->forward_error.retry_after_ms,
                   event->forward_error.detail, now_ms);
}

void
attempt_event (struct beryl_requests *requests, struct exchange *exchange,
               const struct beryl_event *event, int64_t now_ms)
{
  struct request *request = exchange->request;

  switch (event->type)
    {
    case BERYL_EVENT_EXCHANGE_REFUSED:
      on_refused (requests, request, event->refused.retry_after_ms, now_ms);
      return;
    case BERYL_EVENT_EXCHANGE_HEAD:
      on_head (request, event);
      return;
    case BERYL_EVENT_PREFILL_DONE:
      on_prefill_done (requests, request, event, now_ms);
      return;
    case BERYL_EVENT_EXCHANGE_DATA:
      on_data (requests, exchange, event, now_ms);
      return;
    case BERYL_EVENT_EXCHANGE_END:
      on_end (requests, request, event, now_ms);
      return;
    case BERYL_EVENT_EXCHANGE_FAILED:
      on_failed (requests, request, event->failed.sent, event->failed.reason,
                 now_ms);
      return;
    case BERYL_EVENT_FORWARD_ERROR:
      on_forward_error (requests, request, event, now_ms);
      return;
    default: /* EXCHANGE_SENT: the outcome does not depend on it */
      return;
    }
}
