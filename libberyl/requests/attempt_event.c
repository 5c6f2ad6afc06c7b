/* Events of an attempt's exchange. */
#include <stdio.h>
#include <string.h>

#include "private.h"

/* Lifetime assumed for a KV cache if the engine reports none. */
#define KV_TTL_DEFAULT_MS 600

static void
on_forward_failed (struct beryl_requests *requests, struct request *request,
                   const char *reason, int64_t now_ms)
{
  exchange_close (requests, request);
  request_fail_with_outcome (
      requests, request, BERYL_PROBLEM_KEY_UNKNOWN, BERYL_OUTCOME_UNKNOWN,
      1000, reason != NULL ? reason : "the key's node is away", now_ms);
}

/* REASON is used for a forwarded call only. */
static void
on_failed (struct beryl_requests *requests, struct request *request, bool sent,
           const char *reason, int64_t now_ms)
{
  enum beryl_outcome outcome
      = sent ? BERYL_OUTCOME_UNKNOWN : BERYL_OUTCOME_NOT_RUN;
  const char *endpoint = request->phase == PHASE_PREFILL
                             ? request->prefill
                             : request->answer_endpoint;

  request->engine_call_in_flight |= sent;
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
    hold_erase_if_active (requests, request->prefill, request->stream);
  exchange_close (requests, request);
  attempt_failed (requests, request, outcome, false, endpoint, 0, now_ms);
}

/* The prefill is still usable: another engine may import the KV cache, or the
 * same one a little later. */
static void
on_decode_refused (struct beryl_requests *requests, struct request *request,
                   int64_t now_ms)
{
  char refused_by[BERYL_NAME_BYTES];

  exchange_close (requests, request);
  /* If both engines are the same, its one hold covers the export too, which is
   * still needed. */
  if (strcmp (request->prefill, request->answer_endpoint) != 0)
    hold_erase_if_active (requests, request->answer_endpoint, request->stream);
  memcpy (refused_by, request->answer_endpoint, sizeof refused_by);
  attempt_bind_decode (requests, request, refused_by, now_ms);
}

/* The endpoint refused the call without running it.  When a decode of a
 * model's call is refused, its prefill has run, so the call as a whole no
 * longer counts as "not run". */
static void
on_refused (struct beryl_requests *requests, struct request *request,
            int64_t retry_after_ms, int64_t now_ms)
{
  enum beryl_outcome outcome = BERYL_OUTCOME_NOT_RUN;
  const char *endpoint = request->phase == PHASE_PREFILL
                             ? request->prefill
                             : request->answer_endpoint;

  /* A full engine sends a retry-after; one that sends none has lost the KV
   * cache or does not serve the model. */
  if (request->phase == PHASE_DECODE && request->resumes == 0
      && retry_after_ms > 0 && request->decode_refusals < REFUSALS_MAX)
    {
      request->decode_refusals++;
      on_decode_refused (requests, request, now_ms);
      return;
    }
  if (request->phase == PHASE_DECODE)
    outcome = BERYL_OUTCOME_UNKNOWN;
  if (request->phase == PHASE_PREFILL)
    hold_erase_if_active (requests, request->prefill, request->stream);
  /* If a resume was refused, the engine may still have memory of the earlier
   * decode; attempt_failed cancels that hold. */
  if (request->phase == PHASE_DECODE && request->resumes == 0
      && strcmp (request->prefill, request->answer_endpoint) != 0)
    hold_erase_if_active (requests, request->answer_endpoint, request->stream);
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
  request->kv_expires_ms
      = now_ms
        + (event->prefill.kv_ttl_ms > 0 ? event->prefill.kv_ttl_ms
                                        : KV_TTL_DEFAULT_MS);
  attempt_bind_decode (requests, request, NULL, now_ms);
}

/* Cancels the prefill engine's export, which is no longer needed once the
 * decode engine has sent its first token or the answer's end. */
static void
release_export (struct beryl_requests *requests, struct request *request,
                int64_t now_ms)
{
  if (request->stream.counter != 0
      && strcmp (request->prefill, request->answer_endpoint) != 0)
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
on_tokens (struct beryl_requests *requests, struct request *request,
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
    beryl_router_tokens_generated (requests->router, request->ticket, tokens,
                                   now_ms);
}

static void
on_data (struct beryl_requests *requests, struct exchange *exchange,
         const struct beryl_event *event, int64_t now_ms)
{
  struct request *request = exchange->request;
  struct delivery delivery = { requests, request, now_ms };
  uint32_t attempt = event->data.attempt;

  /* An engine that resumes a stream may still flush bytes of the previous
   * exchange, whose offsets differ from this one's. */
  if (!BERYL_GUARD (BERYL_GUARD_ATTEMPT,
                    attempt == 0 || attempt == exchange->number))
    return;
  on_tokens (requests, request, event->data.tokens, now_ms);
  if (!reassembly_add (&request->reassembly, event->data.offset,
                       event->data.bytes, event->data.bytes_count,
                       event->data.tokens, deliver_piece, &delivery))
    attempt_failed (requests, request, BERYL_OUTCOME_UNKNOWN, false,
                    request->answer_endpoint, 0, now_ms);
}

static void
on_end (struct beryl_requests *requests, struct request *request,
        const struct beryl_event *event, int64_t now_ms)
{
  struct answer *answer = &request->answer;
  uint64_t expected_bytes = event->end.answer_bytes;
  /* An engine always reports the length; 0 is an empty answer. */
  bool length_known = expected_bytes != 0 || request->phase == PHASE_DECODE;

  /* An end before all bytes have arrived would pass off a partial answer as
   * complete; it is treated as a broken connection.  A decode is resumed for
   * the rest. */
  if (!BERYL_GUARD (BERYL_GUARD_COMPLETE,
                    !length_known
                        || request->reassembly.next == expected_bytes))
    {
      on_failed (requests, request, true, "bytes are missing", now_ms);
      return;
    }
  if (event->end.finish_reason != NULL)
    snprintf (answer->finish_reason, sizeof answer->finish_reason, "%s",
              event->end.finish_reason);
  release_export (requests, request, now_ms);
  if (request->phase == PHASE_DECODE)
    hold_erase_if_active (requests, request->answer_endpoint, request->stream);
  exchange_close (requests, request);
  attempt_release (requests, request, BERYL_RELEASE_DONE, NULL, now_ms);
  request_complete (requests, request, now_ms);
}

static void
on_forward_error (struct beryl_requests *requests, struct request *request,
                  const struct beryl_event *event, int64_t now_ms)
{
  if (request->phase != PHASE_FORWARD)
    return;
  exchange_close (requests, request);
  request_fail_with_outcome (requests, request, event->forward_error.problem,
                             event->forward_error.outcome,
                             event->forward_error.retry_after_ms,
                             event->forward_error.detail, now_ms);
}

void
attempt_handle_event (struct beryl_requests *requests,
                      struct exchange *exchange,
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
    default: /* EXCHANGE_SENT does not affect the outcome */
      return;
    }
}
