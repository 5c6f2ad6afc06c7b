/* Due times of open requests, and the lists of requests that wait for a
 * plan. */
#include "private.h"

static void
waiting_remove (struct beryl_requests *requests, struct request *request)
{
  struct waiting_list *list = &requests->waiting[request->call_class];

  if (request->previous_waiting != NULL)
    request->previous_waiting->next_waiting = request->next_waiting;
  else
    list->first = request->next_waiting;
  if (request->next_waiting != NULL)
    request->next_waiting->previous_waiting = request->previous_waiting;
  else
    list->last = request->previous_waiting;
  request->next_waiting = NULL;
  request->previous_waiting = NULL;
}

/* Inserts by arrival order, so that a request that is retried goes before
 * those that arrived later. */
static void
waiting_insert (struct beryl_requests *requests, struct request *request)
{
  struct waiting_list *list = &requests->waiting[request->call_class];
  struct request *before = list->last;

  while (before != NULL && before->arrival_number > request->arrival_number)
    before = before->previous_waiting;
  request->previous_waiting = before;
  request->next_waiting = before != NULL ? before->next_waiting : list->first;
  if (request->next_waiting != NULL)
    request->next_waiting->previous_waiting = request;
  else
    list->last = request;
  if (before != NULL)
    before->next_waiting = request;
  else
    list->first = request;
}

void
request_set_phase (struct beryl_requests *requests, struct request *request,
                   enum request_phase phase)
{
  bool waited = request->phase == PHASE_PLAN;
  bool waits = phase == PHASE_PLAN;

  request->phase = phase;
  if (waited && !waits)
    waiting_remove (requests, request);
  if (waits && !waited)
    waiting_insert (requests, request);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

void
requests_schedule_due (struct beryl_requests *requests, int64_t due_ms)
{
  requests->earliest_due_ms = earlier (requests->earliest_due_ms, due_ms);
}

static int64_t
reader_due_ms (const struct beryl_requests *requests,
               const struct request *request)
{
  if (request->slow_since_ms == BERYL_NEVER_MS)
    return BERYL_NEVER_MS;
  return request->slow_since_ms + requests->settings.slow_reader_ms;
}

static void
request_handle_due (struct beryl_requests *requests, struct request *request,
                    int64_t now_ms)
{
  if (now_ms >= request->call.deadline_ms)
    request_on_deadline (requests, request, now_ms);
  else if (now_ms >= reader_due_ms (requests, request))
    request_fail (requests, request, BERYL_PROBLEM_DEADLINE, 0,
                  "caller does not read its answer", now_ms);
  else if (now_ms >= request->decode_retry_at_ms)
    attempt_bind_decode (requests, request, NULL, now_ms);
}

/* Scans the open requests only when one may be due: a scan on each event would
 * make the cost of one event grow with the number of open requests. */
void
requests_handle_due (struct beryl_requests *requests, int64_t now_ms)
{
  struct request *request, *next;

  if (now_ms < requests->earliest_due_ms)
    return;
  requests->earliest_due_ms = BERYL_NEVER_MS;
  for (request = requests->first; request != NULL; request = next)
    {
      next = request->next;
      request_handle_due (requests, request, now_ms);
    }
  for (request = requests->first; request != NULL; request = request->next)
    {
      requests_schedule_due (requests, request->call.deadline_ms);
      requests_schedule_due (requests, request->decode_retry_at_ms);
      requests_schedule_due (requests, reader_due_ms (requests, request));
    }
}

/* Time at which some waiting request should be planned again. */
static int64_t
plan_due_ms (const struct beryl_requests *requests)
{
  int64_t due_ms = BERYL_NEVER_MS;
  bool waiting = false;

  for (int c = BERYL_CLASS_URGENT; c <= BERYL_CLASS_BATCH; c++)
    for (const struct request *r = requests->waiting[c].first; r != NULL;
         r = r->next_waiting)
      {
        due_ms = earlier (due_ms, r->plan_at_ms);
        waiting = true;
      }
  if (!waiting)
    return BERYL_NEVER_MS;
  due_ms = earlier (due_ms, beryl_router_next_ms (requests->router));
  return due_ms < requests->plan_not_before_ms ? requests->plan_not_before_ms
                                               : due_ms;
}

int64_t
beryl_requests_next_ms (const struct beryl_requests *requests)
{
  int64_t next_ms = holds_next_ms (requests);

  next_ms = earlier (next_ms, requests->earliest_due_ms);
  next_ms = earlier (next_ms, plan_due_ms (requests));
  if (requests->expiring_first != NULL)
    next_ms = earlier (next_ms, requests->expiring_first->expires_ms);
  if (requests->last_event_ms != INT64_MIN)
    next_ms
        = earlier (next_ms, requests->last_event_ms + TICK_INTERVAL_MAX_MS);
  return next_ms;
}
