#include "beryl/freshness.h"

#include <stdlib.h>

#include "beryl/clock.h"

/* Parts of the bound.  A change answers the calls of all nodes together, so
 * that news of it mostly comes beside the answer: asking at once would give up
 * that answer on its way. */
#define PATIENCE_DIVISOR 8
/* After so many times the patience, a peer is asked as well. */
#define PULL_PATIENCE 2
/* While an answer arrives, a second transfer would take half of a slow link
 * from it.  It is begun only when little time is left. */
#define ANSWER_PATIENCE 5

struct beryl_freshness
{
  int64_t patience_ms;
  uint64_t heard_revision;
  uint64_t seen_revision;
  int64_t behind_since_ms; /* valid if behind */
  /* Of the last steps since then; 0 if there was none. */
  int64_t asked_ms;
  int64_t pulled_ms;
};

struct beryl_freshness *
beryl_freshness_create (int64_t bound_ms)
{
  struct beryl_freshness *f = calloc (1, sizeof *f);

  if (f != NULL)
    f->patience_ms = bound_ms / PATIENCE_DIVISOR;
  return f;
}

void
beryl_freshness_destroy (struct beryl_freshness *f)
{
  free (f);
}

static bool
is_behind (const struct beryl_freshness *f)
{
  return f->heard_revision > f->seen_revision;
}

static void
start_waiting (struct beryl_freshness *f, int64_t now_ms)
{
  f->behind_since_ms = now_ms;
  f->asked_ms = 0;
  f->pulled_ms = 0;
}

bool
beryl_freshness_heard (struct beryl_freshness *f, uint64_t revision,
                       int64_t now_ms)
{
  bool was_behind = is_behind (f);

  if (revision <= f->heard_revision || revision <= f->seen_revision)
    return false;
  f->heard_revision = revision;
  if (!was_behind)
    start_waiting (f, now_ms);
  return true;
}

void
beryl_freshness_seen (struct beryl_freshness *f, uint64_t revision,
                      int64_t now_ms)
{
  if (revision <= f->seen_revision)
    return;
  f->seen_revision = revision;
  /* If there is a newer one still, it has just been on its way as well. */
  start_waiting (f, now_ms);
}

static bool
is_due (int64_t last_ms, int64_t interval_ms, int64_t now_ms)
{
  return last_ms == 0 || now_ms - last_ms >= interval_ms;
}

enum beryl_freshness_step
beryl_freshness_step (struct beryl_freshness *f,
                      const struct beryl_freshness_store *store,
                      int64_t now_ms)
{
  int64_t behind_ms = now_ms - f->behind_since_ms;
  int64_t pull_ms = store->unreachable ? 0
                    : store->answering ? ANSWER_PATIENCE * f->patience_ms
                                       : PULL_PATIENCE * f->patience_ms;

  if (!is_behind (f))
    return BERYL_FRESHNESS_WAIT;
  if (behind_ms >= pull_ms && is_due (f->pulled_ms, f->patience_ms, now_ms))
    {
      f->pulled_ms = now_ms;
      return BERYL_FRESHNESS_PULL;
    }
  if (!store->answering && !store->unreachable && behind_ms >= f->patience_ms
      && is_due (f->asked_ms, ANSWER_PATIENCE * f->patience_ms, now_ms))
    {
      f->asked_ms = now_ms;
      return BERYL_FRESHNESS_ASK_STORE;
    }
  return BERYL_FRESHNESS_WAIT;
}

int64_t
beryl_freshness_next_ms (const struct beryl_freshness *f, int64_t now_ms)
{
  int64_t first_ms = f->behind_since_ms + f->patience_ms;

  if (!is_behind (f))
    return BERYL_NEVER_MS;
  return first_ms > now_ms ? first_ms : now_ms + f->patience_ms;
}

uint64_t
beryl_freshness_heard_revision (const struct beryl_freshness *f)
{
  return f->heard_revision;
}

int64_t
beryl_freshness_behind_ms (const struct beryl_freshness *f, int64_t now_ms)
{
  return is_behind (f) ? now_ms - f->behind_since_ms : 0;
}
