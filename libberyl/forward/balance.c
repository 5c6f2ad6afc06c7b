#include "private.h"

/* Memory is looked at so often; in the time two looks and a move take, an
 * engine's runs grow by some hundredths of its memory. */
#define BALANCE_MS 100
/* How far ahead an engine must have room. */
#define AHEAD_MS BOOK_STEP_MS
/* Part of an engine's memory that counts as run out: what is foreseen lags
 * behind what the other nodes just began. */
#define FULL_PART 0.96

/* Whether R's run may be moved at all. */
static bool
may_move (const struct request *r)
{
  return r->phase == PHASE_RUNNING && r->reservation.live != NULL
         && r->move_to == NULL && r->event_count > 0 && r->first != NULL
         && r->first->headed && !r->stalled && forward_request_movable (r);
}

/* An engine that is leaving may stop before its runs end; each would have to
 * be read anew elsewhere, or be lost if it may run only once. */
static bool
engine_leaves (const struct request *r)
{
  return !beryl_live_accepts_work (r->reservation.live);
}

/* Whether R is the run that its engine would stop next for want of memory. */
static bool
runs_out (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct book_curve curve;

  engine_curve (f, r->service, r->reservation.live, now_ms, &curve);
  return book_peak (&curve, AHEAD_MS, 0)
             >= FULL_PART * (double)r->terms->engine.kv_tokens
         && engine_newest (f, r, now_ms);
}

static void
balance_one (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *target;

  if (!engine_leaves (r) && !runs_out (f, r, now_ms))
    return;
  target = engine_choose_target (f, r, now_ms);
  if (target != NULL)
    move_start (f, r, target, now_ms);
  else
    forward_request_decided (f, r, "move", r->reservation.live, "no_target", 0,
                             now_ms);
}

/* An engine that runs out of memory stops its newest run in the middle of its
 * stream and reads everything again later: hundreds of milliseconds of engine
 * time and a pause that makes the answer late.  Moving that run to an engine
 * with room takes about ten, since links carry gigabytes in milliseconds.
 * Each node looks only at its own runs and moves one if it is the newest
 * there; nodes need not agree. */
void
generation_balance (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  if (now_ms < f->balance_ms)
    return;
  f->balance_ms = now_ms + BALANCE_MS;
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (may_move (r))
        balance_one (f, r, now_ms);
    }
}
