#include "connection_shares.h"

#include <math.h>

/* Part of its connections that a node keeps to after a reset, and the interval
   at which what it allows itself doubles again. */
#define BACK_OFF_PART 0.5
#define DOUBLING_MS 500.0
/* Resets within this time of each other come from the same peak. */
#define SAME_PEAK_MS 100
/* How long connections are watched after a reset. */
#define WATCH_MS 2000
#define WATCH_DOUBTED_MS 1000
/* A node watches its connections beyond this part of its share, and beyond a
   number that tells nothing of the load. */
#define WATCH_PART 0.5
#define WATCH_MIN 2.0
/* Part of the caller's objective that the watch may take, and its bounds. */
#define HOLD_PART 0.04
#define HOLD_MIN_MS 2
#define HOLD_MAX_MS 10

static double
own_part (const struct connection_facts *facts)
{
  double nodes = facts->nodes > 0 ? facts->nodes : 1;

  return fmax (1, facts->limit / nodes);
}

/* Returns how many connections this node allows itself. */
static double
allowed (const struct beryl_connection_share *share,
         const struct connection_facts *facts)
{
  if (share->reset_ms == 0)
    return INFINITY;
  return share->allowed
         * exp2 ((double)(facts->now_ms - share->reset_ms) / DOUBLING_MS);
}

static bool
happened_within (int64_t event_ms, int64_t within_ms, int64_t now_ms)
{
  return event_ms != 0 && now_ms - event_ms < within_ms;
}

enum connection_choice
connection_share_ask (const struct beryl_connection_share *share,
                      const struct connection_facts *facts)
{
  double wanted = facts->open + 1.0;

  if (facts->limit == 0)
    return CONNECTION_OPEN;
  if (wanted > allowed (share, facts))
    return CONNECTION_REFUSED;
  if (wanted > fmax (WATCH_MIN, WATCH_PART * own_part (facts))
      || happened_within (share->reset_ms, WATCH_MS, facts->now_ms)
      || happened_within (share->doubted_ms, WATCH_DOUBTED_MS, facts->now_ms)
      || happened_within (share->told_ms, WATCH_DOUBTED_MS, facts->now_ms)
      || facts->overdue)
    return CONNECTION_OPEN_HELD;
  return CONNECTION_OPEN;
}

int64_t
connection_share_hold_ms (int64_t objective_ms)
{
  return (int64_t)fmin (HOLD_MAX_MS,
                        fmax (HOLD_MIN_MS, HOLD_PART * (double)objective_ms));
}

void
connection_share_reset (struct beryl_connection_share *share,
                        const struct connection_facts *facts)
{
  double next = BACK_OFF_PART * fmin (facts->open, own_part (facts));

  if (happened_within (share->reset_ms, SAME_PEAK_MS, facts->now_ms))
    next = fmin (next, share->allowed);
  share->allowed = fmax (BACK_OFF_PART, next);
  share->reset_ms = facts->now_ms;
}

void
connection_share_doubt (struct beryl_connection_share *share,
                        const struct connection_facts *facts)
{
  share->doubted_ms = facts->now_ms;
}

int64_t
connection_share_wait_ms (const struct beryl_connection_share *share,
                          const struct connection_facts *facts)
{
  double wanted = facts->open + 1.0;
  double now = allowed (share, facts);

  return wanted > now ? (int64_t)ceil (DOUBLING_MS * log2 (wanted / now)) : 0;
}
