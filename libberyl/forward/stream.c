#include "private.h"

#include <math.h>

/* A stream has stalled if this many events are overdue: its engine is dead, or
   has preempted the run for lack of memory. With a shorter minimum network
   jitter would count as a stall. */
#define STALL_EVENTS 3
#define STALL_MIN_MS 120
/* A stream has also stalled if its first event takes longer than this, which
   includes a KV cache transfer and a queue. */
#define FIRST_EVENT_STALL_MS 400
/* A stream without events for half of the time after which its caller abandons
   it is continued at another engine, since its own is assumed dead. A sound
   engine may be silent for a second or so, and one that has preempted the run
   needs a few hundred milliseconds to prefill it again. The limit is longer
   before the first event, as links may be slow. */
#define DEAD_AFTER_MIN_MS 1500
#define DEAD_AFTER_MAX_MS 2000
#define FIRST_DEAD_AFTER_MS 2500
/* An engine that is this full may have preempted a run for lack of memory. */
#define MAY_PREEMPT_PART 0.85
/* Events of a run after which its pace is learned: enough that a single pause
   for the prefill of another prompt does not dominate. */
#define PACE_EVENTS 8
/* The engine's own pace is learned after that many events, or after this time
   if they come slowly. */
#define PACE_MAX_MS 300

static int64_t
stall_after_ms (const struct request *r)
{
  double event_ms
      = r->config->engine.event_tokens * r->service->output_model.ms_per_token;

  if (r->run_events == 0)
    return FIRST_EVENT_STALL_MS;
  return (int64_t)fmax (STALL_EVENTS * event_ms, STALL_MIN_MS);
}

static int64_t
dead_after_ms (const struct request *r)
{
  int64_t patience_ms = r->route->caller_idle_timeout_ms / 2;
  int64_t least_ms = FIRST_DEAD_AFTER_MS;
  int64_t stall_ms = 2 * stall_after_ms (r);

  if (r->run_events > 0)
    least_ms = patience_ms < DEAD_AFTER_MIN_MS   ? DEAD_AFTER_MIN_MS
               : patience_ms > DEAD_AFTER_MAX_MS ? DEAD_AFTER_MAX_MS
                                                 : patience_ms;

  return stall_ms > least_ms ? stall_ms : least_ms;
}

int64_t
stream_timer_ms (const struct request *r)
{
  int64_t due_ms = r->last_event_ms
                   + (r->stalled ? dead_after_ms (r) : stall_after_ms (r));

  return due_ms < r->deadline_ms ? due_ms : r->deadline_ms;
}

/* Returns the number of endpoints that may have run R, including one that has
   not answered yet. */
static uint32_t
endpoints_run_with_open (const struct request *r)
{
  return r->endpoints_run_count
         + (r->primary != NULL && !r->primary->has_head ? 1 : 0);
}

bool
stream_may_relocate (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  return r->route->resumable
         && endpoints_run_with_open (r) < r->route->endpoints_max
         && repeats_left (f, r, now_ms) >= repeats_for_prompt_and_run (r)
         && !crashes_is_quarantined (f, r, now_ms);
}

static bool
engine_is_full (struct beryl_forward *f, const struct request *r,
                int64_t now_ms)
{
  struct memory_forecast forecast;

  engine_forecast (f, r->service, r->primary->endpoint, now_ms, &forecast);
  return forecast.tokens[0]
         >= MAY_PREEMPT_PART * (double)r->config->engine.kv_tokens;
}

/* If the engine is short of memory, asking it to move the run shows the run's
   state: a live run moves, and a preempted one is not found. Both end the
   stall sooner than waiting. Otherwise the engine is prefilling a prompt or
   dead, and only waiting shows which. */
static void
handle_stall (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *target = NULL;

  r->stalled = true;
  forward_request_log (f, r, "stall", r->primary->endpoint, "seen",
                       now_ms - r->last_event_ms, now_ms);
  if (r->run_events > 0 && forward_request_is_movable (r)
      && engine_is_full (f, r, now_ms))
    target = engine_choose_target (f, r, true, now_ms);
  if (target != NULL && repeats_hold (f, r, now_ms))
    move_start (f, r, target, now_ms);
}

void
stream_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t silent_ms = now_ms - r->last_event_ms;

  r->timer_ms = r->deadline_ms;
  if (r->primary == NULL || r->move_target != NULL || r->caller_slow)
    return;
  if (r->relocating)
    {
      relocate_timer (f, r, now_ms);
      return;
    }
  if (silent_ms >= stall_after_ms (r) && !r->stalled)
    handle_stall (f, r, now_ms);
  if (silent_ms < dead_after_ms (r))
    {
      r->timer_ms = stream_timer_ms (r);
      return;
    }
  beryl_live_record_outcome (r->primary->endpoint, BERYL_LIVE_TIMED_OUT,
                             silent_ms, now_ms);
  relocate_start (f, r, "engine_silent", now_ms);
}

static void
learn_engine_pace (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint64_t events = r->run_events - r->pace_events;

  if (r->run_events > 1 && events < PACE_EVENTS
      && now_ms - r->pace_ms < PACE_MAX_MS)
    return;
  if (r->run_events > 1 && !r->caller_slow)
    speeds_learn (f, r->service, r->primary->endpoint, BERYL_WORK_DECODE,
                  (uint32_t)events * r->config->engine.event_tokens,
                  now_ms - r->pace_ms, now_ms);
  r->pace_events = r->run_events;
  r->pace_ms = now_ms;
}

/* Apart from pauses for prefills a token takes the same time whatever else
   runs, so the pace can be learned after a few events. Runs last for seconds;
   if it were learned from their ends, it would come late and from the shortest
   ones first. */
void
stream_learn_pace (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint64_t after_first = r->event_count - 1;

  learn_engine_pace (f, r, now_ms);
  if (r->run_events == PACE_EVENTS && r->event_count == r->run_events)
    profile_learn_stream (
        r->service, (uint32_t)after_first * r->config->engine.event_tokens,
        now_ms - r->first_event_ms);
}

void
stream_learn_length (struct beryl_forward *f, const struct request *r)
{
  output_model_learn_length (
      &r->service->output_model, r->params.output_tokens_hint,
      (uint32_t)r->event_count * r->config->engine.event_tokens);
}
