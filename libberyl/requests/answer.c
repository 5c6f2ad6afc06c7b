/* Replies to callers: buffering, flow control and the final reply. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* An answer that is not streamed is buffered until it is complete, so that a
 * failed attempt can be retried without the caller noticing; larger answers
 * are streamed. */
#define BUFFERED_ANSWER_MAX_BYTES (256U * 1024)
/* How long to wait for a service's answer after its caller has
 * disconnected. */
#define DETACHED_TIMEOUT_MS 10000
/* Retry-after for failures that may be transient. */
#define RETRY_AFTER_MS 1000

static void
reply_head (struct beryl_requests *requests, uint64_t handle,
            const struct answer *answer)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_REPLY_HEAD,
    .request = handle,
  };

  action.head.status = answer->status;
  action.head.content_type = answer->content_type;
  requests_emit (requests, &action);
}

static void
reply_data (struct beryl_requests *requests, uint64_t handle, uint64_t offset,
            const void *bytes, size_t bytes_count, uint32_t tokens)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_REPLY_DATA,
    .request = handle,
  };

  if (bytes_count == 0)
    return;
  action.data.offset = offset;
  action.data.bytes = bytes;
  action.data.bytes_count = bytes_count;
  action.data.tokens = tokens;
  requests_emit (requests, &action);
}

static void
reply_end (struct beryl_requests *requests, uint64_t handle,
           const struct answer *answer)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_REPLY_END,
    .request = handle,
  };

  action.end.finish_reason
      = answer->finish_reason[0] != '\0' ? answer->finish_reason : NULL;
  action.end.prompt_tokens = answer->prompt_tokens;
  action.end.completion_tokens = answer->completion_tokens;
  requests_emit (requests, &action);
}

void
answer_send (struct beryl_requests *requests, uint64_t handle,
             const struct answer *answer, uint64_t offset)
{
  reply_head (requests, handle, answer);
  reply_data (requests, handle, offset, answer->body.bytes + offset,
              answer->body.count - offset, 0);
  reply_end (requests, handle, answer);
}

void
requests_reply_error (struct beryl_requests *requests, uint64_t handle,
                      enum beryl_problem problem, enum beryl_outcome outcome,
                      int64_t retry_after_ms, const char *detail)
{
  struct beryl_action action = {
    .type = BERYL_ACTION_REPLY_ERROR,
    .request = handle,
  };

  action.error.problem = problem;
  action.error.outcome = outcome;
  action.error.retry_after_ms = retry_after_ms;
  action.error.detail = detail;
  requests_emit (requests, &action);
}

/* A slow caller would make this node buffer its whole answer; the endpoint's
 * connection is paused until the caller has caught up. */
static void
request_check_slow_reader (struct beryl_requests *requests,
                           struct request *request, int64_t now_ms)
{
  uint32_t limit = requests->settings.slow_reader_bytes;

  if (limit == 0 || request->queued_bytes <= limit
      || request->slow_since_ms != BERYL_NEVER_MS)
    return;
  request->slow_since_ms = now_ms;
  requests_schedule_due (requests, now_ms + requests->settings.slow_reader_ms);
  attempt_pause (requests, request, true);
}

static void
request_send (struct beryl_requests *requests, struct request *request,
              const void *bytes, size_t bytes_count, uint32_t tokens,
              int64_t now_ms)
{
  if (!request->reply_started)
    reply_head (requests, request->call.request, &request->answer);
  request->reply_started = true;
  reply_data (requests, request->call.request, request->replied_bytes, bytes,
              bytes_count, tokens);
  request->replied_bytes += bytes_count;
  request->queued_bytes += bytes_count;
  request_check_slow_reader (requests, request, now_ms);
}

static bool
request_keeps_body (const struct request *request)
{
  return !request->reply_started
         || (request->record != NULL && request->record->keyed);
}

void
request_deliver (struct beryl_requests *requests, struct request *request,
                 const void *bytes, size_t bytes_count, uint32_t tokens,
                 int64_t now_ms)
{
  bool streamed = request->call.stream || request->reply_started;

  request->answer.completion_tokens += tokens;
  if (!streamed || (request->record != NULL && request->record->keyed))
    buffer_append (&request->answer.body, bytes, bytes_count);
  if (request->detached)
    return;
  if (streamed)
    request_send (requests, request, bytes, bytes_count, tokens, now_ms);
  else if (request->answer.body.count > BUFFERED_ANSWER_MAX_BYTES)
    {
      request_send (requests, request, request->answer.body.bytes,
                    request->answer.body.count, 0, now_ms);
      if (!request_keeps_body (request))
        buffer_clear (&request->answer.body);
    }
}

void
request_complete (struct beryl_requests *requests, struct request *request,
                  int64_t now_ms)
{
  if (!request->detached && !request->reply_started)
    request_send (requests, request, request->answer.body.bytes,
                  request->answer.body.count, 0, now_ms);
  if (!request->detached)
    reply_end (requests, request->call.request, &request->answer);
  record_close (requests, request, BERYL_OUTCOME_ANSWERED, now_ms);
  request_destroy (requests, request);
}

void
request_fail_with_outcome (struct beryl_requests *requests,
                           struct request *request, enum beryl_problem problem,
                           enum beryl_outcome outcome, int64_t retry_after_ms,
                           const char *detail, int64_t now_ms)
{
  struct beryl_action truncate = {
    .type = BERYL_ACTION_REPLY_TRUNCATE,
    .request = request->call.request,
  };

  attempt_stop (requests, request, BERYL_RELEASE_CANCELLED, NULL, now_ms);
  if (!request->detached && request->reply_started)
    requests_emit (requests, &truncate);
  else if (!request->detached)
    requests_reply_error (requests, request->call.request, problem, outcome,
                          retry_after_ms, detail);
  record_close (requests, request, outcome, now_ms);
  request_destroy (requests, request);
}

/* An open exchange may have sent bytes to the endpoint without a report yet,
 * so the outcome is "not run" only if nothing was sent, the endpoint said so
 * or the connect failed. */
static enum beryl_outcome
request_outcome (const struct request *request)
{
  if (request->reply_started || request->exchange != NULL
      || request->phase == PHASE_DECODE)
    return BERYL_OUTCOME_UNKNOWN;
  /* Only the result of the claim tells whether another node has run a
   * call with the key. */
  if (request->phase == PHASE_CLAIM)
    return BERYL_OUTCOME_UNKNOWN;
  return BERYL_GUARD (BERYL_GUARD_MAY_HAVE_RUN, !request->may_have_run)
             ? BERYL_OUTCOME_NOT_RUN
             : BERYL_OUTCOME_UNKNOWN;
}

void
request_fail (struct beryl_requests *requests, struct request *request,
              enum beryl_problem problem, int64_t retry_after_ms,
              const char *detail, int64_t now_ms)
{
  enum beryl_outcome outcome = request_outcome (request);
  bool caller_may_retry
      = problem != BERYL_PROBLEM_CONTEXT_LENGTH
        && beryl_outcome_allows_retry (outcome, request->idempotent);

  if (caller_may_retry && retry_after_ms == 0)
    retry_after_ms = RETRY_AFTER_MS;
  request_fail_with_outcome (requests, request, problem, outcome,
                             retry_after_ms, detail, now_ms);
}

/* A call to a plain service cannot be revoked: with a key, its answer is read
 * to the end and retained for the caller to fetch.  Engine memory is never
 * kept for a caller that has disconnected. */
static bool
request_detach (struct beryl_requests *requests, struct request *request,
                int64_t now_ms)
{
  bool detachable = request->plain && request->phase == PHASE_SERVICE
                    && request->record != NULL && request->record->keyed;

  if (!BERYL_GUARD (BERYL_GUARD_CANCEL_DISCONNECT, detachable))
    return false;
  map_remove (&requests->by_handle,
              map_key_from_number (request->call.request));
  request->detached = true;
  request->call.deadline_ms = now_ms + DETACHED_TIMEOUT_MS;
  requests_schedule_due (requests, request->call.deadline_ms);
  request->slow_since_ms = BERYL_NEVER_MS;
  attempt_pause (requests, request, false);
  return true;
}

void
request_on_caller_gone (struct beryl_requests *requests,
                        struct request *request, int64_t now_ms)
{
  if (request_detach (requests, request, now_ms))
    return;
  map_remove (&requests->by_handle,
              map_key_from_number (request->call.request));
  request->detached = true;
  /* Closes the request; problem and detail are not sent to anybody. */
  request_fail (requests, request, BERYL_PROBLEM_DEADLINE, 0, "caller gone",
                now_ms);
}

void
request_on_deadline (struct beryl_requests *requests, struct request *request,
                     int64_t now_ms)
{
  uint64_t handle = request->call.request;

  if (!request->detached && !request->reply_started
      && request_detach (requests, request, now_ms))
    requests_reply_error (requests, handle, BERYL_PROBLEM_DEADLINE,
                          BERYL_OUTCOME_UNKNOWN, 0,
                          "deadline passed while it was running");
  else
    request_fail (requests, request, BERYL_PROBLEM_DEADLINE, 0,
                  "deadline passed", now_ms);
}

void
request_on_caller_caught_up (struct beryl_requests *requests,
                             struct request *request)
{
  request->queued_bytes = 0;
  if (request->slow_since_ms == BERYL_NEVER_MS)
    return;
  request->slow_since_ms = BERYL_NEVER_MS;
  attempt_pause (requests, request, false);
}
