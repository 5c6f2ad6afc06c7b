#include "private.h"

/* Interval of the checks. During two checks and a move the runs of an engine
   grow by a few hundredths of its memory. */
#define BALANCE_MS 100
/* How far ahead an engine must have free memory. */
#define LOOKAHEAD_MS FORECAST_STEP_MS
/* Part of an engine's memory from which on it counts as full: the forecast
   lags behind the runs that other nodes have just started. */
#define FULL_PART 0.96
/* Part of a slow engine's runs that are moved at one check, and how long a run
   stays that found no better engine. */
#define LEAVE_CHANCE 0.25
#define LEAVE_AGAIN_MS 1000

/* Returns whether R's run can be moved at all. */
static bool
may_move (const struct request *r)
{
  return r->phase == PHASE_RUNNING && r->reservation.endpoint != NULL
         && r->move_target == NULL && r->event_count > 0 && r->primary != NULL
         && r->primary->has_head && !r->stalled
         && forward_request_is_movable (r);
}

/* Returns whether R's engine is leaving, gone or replaced. It may stop before
   the run ends; the run would then need another prefill elsewhere, or be lost
   if it may run only once. */
static bool
must_leave_engine (const struct request *r)
{
  return !beryl_live_accepts_work (r->reservation.endpoint);
}

/* Returns whether R is the run that its engine would preempt next for lack of
   memory. */
static bool
will_be_preempted (struct beryl_forward *f, const struct request *r,
                   int64_t now_ms)
{
  struct memory_forecast forecast;

  engine_forecast (f, r->service, r->reservation.endpoint, now_ms, &forecast);
  return memory_forecast_peak (&forecast, LOOKAHEAD_MS, 0)
             >= FULL_PART * (double)r->config->engine.kv_tokens
         && engine_is_newest_run (f, r, now_ms);
}

/* Moves R's run if its engine has become so slow that its events come late.
   The runs of an engine leave it one after the other. */
static void
leave_slow_engine (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *target;

  if (now_ms < r->leave_slow_ms
      || !engine_makes_pauses (f, r, r->reservation.endpoint, now_ms)
      || random_unit (&f->random) > LEAVE_CHANCE)
    return;
  r->leave_slow_ms = now_ms + LEAVE_AGAIN_MS;
  target = engine_choose_target (f, r, false, now_ms);
  if (target == NULL || !repeats_hold (f, r, now_ms))
    return;
  forward_request_log (f, r, "move", r->reservation.endpoint, "slow",
                       (int64_t)r->event_count, now_ms);
  move_start (f, r, target, now_ms);
}

static void
balance_one (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  bool must_leave = must_leave_engine (r);
  struct beryl_live_endpoint *target;

  if (!must_leave && !will_be_preempted (f, r, now_ms))
    {
      leave_slow_engine (f, r, now_ms);
      return;
    }
  target = engine_choose_target (f, r, true, now_ms);
  if (target == NULL)
    forward_request_log (f, r, "move", r->reservation.endpoint, "no_target", 0,
                         now_ms);
  else if (must_leave ? repeats_hold_to_leave (f, r, now_ms)
                      : repeats_hold (f, r, now_ms))
    move_start (f, r, target, now_ms);
}

/* An engine that runs out of memory preempts its newest run in the middle of
   its stream and prefills it again later, which takes hundreds of milliseconds
   of engine time and makes the answer late. Moving that run to an engine with
   free memory takes about ten milliseconds over a fast link. Each node checks
   only its own runs and moves one if it is the newest at its engine, so that
   the nodes need no coordination. */
void
generation_balance (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  if (now_ms < f->next_balance_ms)
    return;
  f->next_balance_ms = now_ms + BALANCE_MS;
  prefill_learn_overdue (f, now_ms);
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (may_move (r))
        balance_one (f, r, now_ms);
    }
}
