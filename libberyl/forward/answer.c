#include "private.h"

#include <string.h>

/* Answers up to this size are kept back until they are whole, so that one
 * that breaks off can be asked for again unseen.  Plain answers have about a
 * kilobyte. */
#define HELD_MAX_BYTES 65536

/* The endpoint says that it did not run the request. */
static void
attempt_not_run (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;
  bool wrong_stage = x->head.wrong_stage;

  forward_request_decided (f, r, "send", x->live,
                           wrong_stage ? "wrong_stage" : "not_run",
                           x->head.status, now_ms);
  if (x->head.misdirected)
    news_replaced (f, x->live, now_ms);
  forward_exchange_abort (f, x);
  if (forward_request_is_generation (r))
    generation_not_run (f, r, wrong_stage, now_ms);
  else
    plain_attempt_failed (f, r, now_ms);
}

/* Whether another endpoint may be asked after a failure of one. */
static bool
may_try_another (const struct request *r)
{
  return !r->begun && forward_request_repeatable (r)
         && r->endpoints_run < r->route->endpoints_max;
}

static bool
is_server_error (unsigned int status)
{
  return status >= 500;
}

static bool
is_success (unsigned int status)
{
  return status / 100 == 2;
}

/* Whichever of two sends answers first is taken; the other is cut off. */
static void
drop_others (struct beryl_forward *f, struct request *r,
             const struct exchange *x)
{
  if (r->first == NULL || r->second == NULL)
    return;
  forward_exchange_abort (f, r->first == x ? r->second : r->first);
}

void
answer_head (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;
  int64_t took_ms = now_ms - x->started_ms;
  bool error = is_server_error (x->head.status);

  rates_heard (f, x, &x->head.limit, is_success (x->head.status), now_ms);
  if (x->head.not_run)
    {
      attempt_not_run (f, x, now_ms);
      return;
    }
  seek_end (f, r);
  forward_request_count_run (r);
  kv_clear (f, &r->kv);
  beryl_live_record_outcome (x->live,
                             error ? BERYL_LIVE_FAILED : BERYL_LIVE_ANSWERED,
                             took_ms, now_ms);
  if (!forward_request_is_generation (r))
    service_learn (r->service, took_ms);
  forward_request_decided (f, r, "head", x->live, error ? "error" : "answered",
                           x->head.status, now_ms);
  if (r->begun && (x->head.status != 200 || !x->head.events))
    {
      /* The caller has the head of a stream already; another answer's body
         must not follow in it. */
      forward_exchange_abort (f, x);
      generation_broken (f, r, BERYL_EXCHANGE_RUN, true, now_ms);
      return;
    }
  if (error && r->second != NULL)
    {
      /* The other send may still bring a good answer. */
      forward_exchange_abort (f, x);
      return;
    }
  if (error && may_try_another (r) && !forward_request_is_generation (r))
    {
      forward_exchange_abort (f, x);
      plain_attempt_failed (f, r, now_ms);
      return;
    }
  drop_others (f, r, x);
  r->due_ms = r->timeout_ms;
  r->event_ms = now_ms;
  if (forward_request_is_generation (r))
    generation_due (f, r, now_ms);
}

static void
begin (struct beryl_forward *f, struct request *r, struct exchange *x)
{
  if (r->begun)
    return;
  r->begun = true;
  f->owner->impl->answer_begin (f->owner, r->facts.request, x->id);
}

static void
pass_held (struct beryl_forward *f, struct request *r)
{
  if (r->held.count == 0)
    return;
  f->owner->impl->answer_data (f->owner, r->facts.request, r->held.bytes,
                               r->held.count);
  r->held.count = 0;
}

/* Events that were passed on already are dropped: an endpoint that resumes
 * may begin before the event it was asked to go on after. */
static void
pass_event (struct beryl_forward *f, struct request *r, struct exchange *x,
            const struct event *event, int64_t now_ms)
{
  if (event->has_id && (r->event_count > 0 || r->facts.resumes)
      && event->id <= r->last_event)
    return;
  begin (f, r, x);
  if (event->has_id)
    r->last_event = event->id;
  if (r->event_count == 0)
    r->first_event_ms = now_ms;
  else if (now_ms - r->event_ms > r->longest_gap_ms)
    r->longest_gap_ms = now_ms - r->event_ms;
  r->event_count++;
  r->run_events++;
  r->event_ms = now_ms;
  r->stalled = false;
  seek_end (f, r);
  if (forward_request_is_generation (r))
    stream_learn_pace (r, now_ms);
  /* A stall shows sooner between events than before the first. */
  if (r->run_events == 1 && forward_request_is_generation (r))
    r->due_ms = stream_due_ms (r);
  f->owner->impl->answer_data (f->owner, r->facts.request, event->bytes,
                               event->count);
}

static void
pass_events (struct beryl_forward *f, struct request *r, struct exchange *x,
             const char *bytes, size_t bytes_count, int64_t now_ms)
{
  struct event event;

  if (!event_splitter_add (&r->events, bytes, bytes_count))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  while (event_splitter_next (&r->events, &event))
    pass_event (f, r, x, &event, now_ms);
}

void
answer_data (struct beryl_forward *f, struct exchange *x, const char *bytes,
             size_t bytes_count, int64_t now_ms)
{
  struct request *r = x->request;

  if (x->head.events)
    {
      pass_events (f, r, x, bytes, bytes_count, now_ms);
      return;
    }
  if (!buffer_append (&r->held, bytes, bytes_count))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  if (r->begun || r->held.count > HELD_MAX_BYTES)
    {
      begin (f, r, x);
      pass_held (f, r);
    }
}

/* A body that is whole but ends inside an event is not a whole stream. */
static bool
ends_in_event (const struct request *r, const struct exchange *x)
{
  return x->head.events && event_splitter_partial (&r->events);
}

void
answer_done (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;
  uint64_t handle;

  if (r == NULL)
    {
      forward_exchange_free (f, x);
      return;
    }
  if (ends_in_event (r, x))
    {
      answer_broken (f, x, BERYL_BREAK_CLOSED, true, now_ms);
      return;
    }
  if (is_success (x->head.status))
    crashes_answered (f, r, now_ms);
  begin (f, r, x);
  pass_held (f, r);
  forward_request_decided (f, r, "answer", x->live, "whole",
                           x->head.events ? (int64_t)r->event_count
                                          : (int64_t)x->head.status,
                           now_ms);
  forward_exchange_free (f, x);
  if (forward_request_is_generation (r))
    {
      stream_learn (f, r);
      generation_run_over (f, r);
    }
  handle = r->facts.request;
  forward_request_end (f, r, now_ms);
  f->owner->impl->answer_end (f->owner, handle);
}

static const char *
break_name (enum beryl_break how)
{
  static const char *const names[]
      = { "no_connection", "reset", "closed", "garbled" };

  return names[how];
}

void
answer_broken (struct beryl_forward *f, struct exchange *x,
               enum beryl_break how, bool sent, int64_t now_ms)
{
  struct request *r = x->request;
  bool headed = x->headed;

  if (sent && (how == BERYL_BREAK_RESET || how == BERYL_BREAK_CLOSED))
    crashes_run_broke (f, r, x->live, now_ms);
  forward_request_decided (f, r, "send", x->live, break_name (how), sent,
                           now_ms);
  forward_exchange_free (f, x);
  if (sent && !headed)
    forward_request_count_run (r);
  r->held.count = 0;
  event_splitter_reset (&r->events);
  if (headed && move_takes_end (f, r, now_ms))
    return;
  if (forward_request_is_generation (r))
    generation_broken (f, r, BERYL_EXCHANGE_RUN, sent, now_ms);
  else if (r->begun)
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    plain_attempt_failed (f, r, now_ms);
}
