#include "private.h"

#include <math.h>

/* A stream has stalled if so many events are overdue: its engine is dead, or
 * has stopped the run for want of memory.  Below the least time, jitter of
 * the network would count. */
#define STALL_EVENTS 3
#define STALL_LEAST_MS 120
/* Before the first event there is a transfer of memory and a queue. */
#define FIRST_EVENT_MS 400
/* A stalled stream goes on elsewhere after so long.  An engine that stopped
 * the run needs a few hundred milliseconds to read its prompt again; beyond
 * that it is taken for dead.  Before the first event engines are given
 * longer, since links may be slow. */
#define DEAD_MS 1000
#define FIRST_DEAD_MS 2500
/* An engine that is this full may have stopped a run for want of memory. */
#define STALL_FULL_PART 0.85
/* From so many events of a run its pace is learned: enough that one pause for
 * another prompt's reading does not decide it. */
#define PACE_EVENTS 8
/* Going on elsewhere takes a prefill and a run. */
#define REPEATS_NEEDED 2

static int64_t
stall_after_ms (const struct request *r)
{
  double event_ms
      = r->terms->engine.event_tokens * r->service->lengths.ms_per_token;

  if (r->run_events == 0)
    return FIRST_EVENT_MS;
  return (int64_t)fmax (STALL_EVENTS * event_ms, STALL_LEAST_MS);
}

static int64_t
dead_after_ms (const struct request *r)
{
  int64_t least_ms = r->run_events == 0 ? FIRST_DEAD_MS : DEAD_MS;
  int64_t stall_ms = 2 * stall_after_ms (r);

  return stall_ms > least_ms ? stall_ms : least_ms;
}

int64_t
stream_due_ms (const struct request *r)
{
  int64_t due_ms
      = r->event_ms + (r->stalled ? dead_after_ms (r) : stall_after_ms (r));

  return due_ms < r->timeout_ms ? due_ms : r->timeout_ms;
}

/* A run without an answer yet may be at work and counts too. */
static uint32_t
endpoints_run (const struct request *r)
{
  return r->endpoints_run + (r->first != NULL && !r->first->headed ? 1 : 0);
}

bool
stream_may_go_on (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  return r->route->resumable && endpoints_run (r) < r->route->endpoints_max
         && forward_request_repeats_left (f, r, now_ms) >= REPEATS_NEEDED
         && !crashes_quarantined (f, r, now_ms);
}

static bool
engine_is_full (struct beryl_forward *f, const struct request *r,
                int64_t now_ms)
{
  struct book_curve curve;

  engine_curve (f, r->service, r->first->live, now_ms, &curve);
  return curve.tokens[0]
         >= STALL_FULL_PART * (double)r->terms->engine.kv_tokens;
}

/* Where memory is short, asking the engine to move the run tells what has
 * become of it: a live one moves, and one that was stopped for want of memory
 * is not found.  Both end the stall sooner than waiting.  Elsewhere the
 * engine only pauses, to read a prompt, or is dead. */
static void
stalled (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *target = NULL;

  r->stalled = true;
  forward_request_decided (f, r, "stall", r->first->live, "seen",
                           now_ms - r->event_ms, now_ms);
  if (r->run_events > 0 && forward_request_movable (r)
      && engine_is_full (f, r, now_ms))
    target = engine_choose_target (f, r, now_ms);
  if (target != NULL)
    move_start (f, r, target, now_ms);
}

void
stream_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t silent_ms = now_ms - r->event_ms;

  r->due_ms = r->timeout_ms;
  if (r->first == NULL || r->move_to != NULL || r->caller_slow)
    return;
  if (r->seeks)
    {
      seek_due (f, r, now_ms);
      return;
    }
  if (silent_ms >= stall_after_ms (r) && !r->stalled)
    stalled (f, r, now_ms);
  if (silent_ms < dead_after_ms (r))
    {
      r->due_ms = stream_due_ms (r);
      return;
    }
  beryl_live_record_outcome (r->first->live, BERYL_LIVE_TIMED_OUT, silent_ms,
                             now_ms);
  seek_start (f, r, "engine_silent", now_ms);
}

/* A token takes the same time whatever else runs, so that the pace is known
 * long before the first run ends: of runs that take seconds only the shortest
 * would have told it by then. */
void
stream_learn_pace (const struct request *r, int64_t now_ms)
{
  uint64_t after_first = r->event_count - 1;

  if (r->run_events == PACE_EVENTS && r->event_count == r->run_events)
    profile_learn_stream (
        r->service, (uint32_t)after_first * r->terms->engine.event_tokens,
        now_ms - r->first_event_ms);
}

void
stream_learn (struct beryl_forward *f, const struct request *r)
{
  length_model_learn (&r->service->lengths, r->facts.output_tokens_hint,
                      (uint32_t)r->event_count
                          * r->terms->engine.event_tokens);
}
