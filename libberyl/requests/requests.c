#include <stdlib.h>
#include <string.h>

#include "private.h"

void
requests_emit (struct beryl_requests *requests,
               const struct beryl_action *action)
{
  requests->owner->impl->act (requests->owner, action);
}

struct beryl_requests *
beryl_requests_create (const struct beryl_requests_settings *settings,
                       struct beryl_router *router,
                       struct beryl_requests_owner *owner)
{
  struct beryl_requests *requests = calloc (1, sizeof *requests);

  if (requests == NULL)
    return NULL;
  requests->settings = *settings;
  requests->router = router;
  requests->owner = owner;
  requests->earliest_due_ms = BERYL_NEVER_MS;
  /* The decode engine is chosen after the prefill: attempt_bind_decode. */
  beryl_router_set_late_binding (router, true);
  requests->last_event_ms = INT64_MIN;
  return requests;
}

static void
request_free (struct request *request)
{
  reassembly_discard_buffered (&request->reassembly);
  buffer_clear (&request->answer.body);
  call_clear (&request->call);
  free (request->block_hashes);
  free (request->exchange);
  free (request);
}

void
request_destroy (struct beryl_requests *requests, struct request *request)
{
  request_set_phase (requests, request, PHASE_NONE);
  if (request->previous != NULL)
    request->previous->next = request->next;
  else
    requests->first = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  else
    requests->last = request->previous;
  if (!request->detached)
    map_remove (&requests->by_handle,
                map_key_from_number (request->call.request));
  requests->open--;
  request_free (request);
}

void
beryl_requests_destroy (struct beryl_requests *requests)
{
  struct request *request;

  if (requests == NULL)
    return;
  while ((request = requests->first) != NULL)
    {
      requests->first = request->next;
      if (request->record != NULL && !request->record->keyed)
        free (request->record);
      request_free (request);
    }
  records_clear (requests);
  holds_clear (requests);
  retry_budgets_clear (&requests->budgets);
  map_clear (&requests->by_handle);
  map_clear (&requests->by_reader);
  map_clear (&requests->by_exchange);
  free (requests);
}

void
beryl_requests_set_config (struct beryl_requests *requests,
                           const struct beryl_config *config, int64_t now_ms)
{
  requests_detect_suspension (requests, now_ms);
  requests->config = config;
  requests->capacity_freed = true;
  holds_drop_removed_endpoints (requests);
  requests_plan_waiting (requests, now_ms);
}

static struct request *
request_for_event (const struct beryl_requests *requests,
                   const struct beryl_event *event)
{
  return map_get (&requests->by_handle, map_key_from_number (event->request));
}

/* A closed exchange may still have events in flight, and the late answer of an
 * earlier attempt must not be taken for the current one's.  Exchange ids are
 * never reused, so such an event finds nothing here. */
static struct exchange *
exchange_for_event (const struct beryl_requests *requests,
                    const struct beryl_event *event)
{
  return map_get (&requests->by_exchange,
                  map_key_from_number (event->exchange));
}

static void
requests_report_drained (struct beryl_requests *requests)
{
  struct beryl_action action = { .type = BERYL_ACTION_DRAINED };

  if (!requests->draining || requests->drained_reported)
    return;
  /* A shutdown that does not wait would cut off callers whose answers are
   * still in progress, and leave holds for the control daemon to cancel. */
  if (!BERYL_GUARD (BERYL_GUARD_DRAIN_WAIT,
                    requests->open == 0 && !holds_cancelling (requests)))
    return;
  requests->drained_reported = true;
  requests_emit (requests, &action);
}

static void
requests_tick (struct beryl_requests *requests, int64_t now_ms)
{
  requests_handle_due (requests, now_ms);
  holds_retry_cancels (requests, now_ms);
  records_expire (requests, now_ms);
}

static void
requests_dispatch_by_handle (struct beryl_requests *requests,
                             const struct beryl_event *event, int64_t now_ms)
{
  struct request *request = request_for_event (requests, event);

  if (request == NULL)
    {
      record_on_reader_event (requests, event);
      return;
    }
  switch (event->type)
    {
    case BERYL_EVENT_CALLER_GONE:
      request_on_caller_gone (requests, request, now_ms);
      return;
    case BERYL_EVENT_CALLER_CAUGHT_UP:
      request_on_caller_caught_up (requests, request);
      return;
    default: /* BERYL_EVENT_CLAIM_RESULT */
      request_on_claim_result (requests, request, event, now_ms);
      return;
    }
}

static void
requests_dispatch (struct beryl_requests *requests,
                   const struct beryl_event *event, int64_t now_ms)
{
  struct exchange *exchange;

  switch (event->type)
    {
    case BERYL_EVENT_CALL:
      /* Calls are admitted while draining, so DRAINED is sent again when
       * they have ended. */
      requests->drained_reported = false;
      requests_admit (requests, &event->call, now_ms);
      return;
    case BERYL_EVENT_CALLER_GONE:
    case BERYL_EVENT_CALLER_CAUGHT_UP:
    case BERYL_EVENT_CLAIM_RESULT:
      requests_dispatch_by_handle (requests, event, now_ms);
      return;
    case BERYL_EVENT_CANCEL_CONFIRMED:
      hold_confirmed (requests, event->cancel.endpoint, event->cancel.stream,
                      now_ms);
      return;
    case BERYL_EVENT_FETCH:
      requests_fetch (requests, event, now_ms);
      return;
    case BERYL_EVENT_TICK:
      return;
    case BERYL_EVENT_DRAIN:
      requests->draining = true;
      return;
    default:
      exchange = exchange_for_event (requests, event);
      if (exchange != NULL)
        attempt_handle_event (requests, exchange, event, now_ms);
    }
}

void
beryl_requests_handle_event (struct beryl_requests *requests,
                             const struct beryl_event *event, int64_t now_ms)
{
  requests_detect_suspension (requests, now_ms);
  requests_dispatch (requests, event, now_ms);
  requests_tick (requests, now_ms);
  requests_plan_waiting (requests, now_ms);
  requests_report_drained (requests);
}

uint32_t
beryl_requests_open_count (const struct beryl_requests *requests)
{
  return requests->open;
}
