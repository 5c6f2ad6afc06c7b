#include "beryl/announce.h"

/* A sign of life comes so often at least, less often in a large fleet. */
#define LIFE_MS 500
#define LIFE_NODE_MS 10
/* Peers in other data centres hear of changes so often at most. */
#define FAR_MS 250

static int64_t
at_least (int64_t least, int64_t value)
{
  return value > least ? value : least;
}

int64_t
beryl_announce_interval_ms (const struct beryl_announce *a)
{
  int64_t nodes = (int64_t)a->near_count + a->far_count;

  return at_least (LIFE_MS, nodes * LIFE_NODE_MS);
}

bool
beryl_announce_far (const struct beryl_announce *a, int64_t now_ms)
{
  return now_ms - a->told_far_ms >= FAR_MS;
}

bool
beryl_announce_due (const struct beryl_announce *a, int64_t now_ms)
{
  bool far_missed = a->told_far_ms != a->told_ms;

  return now_ms - a->told_ms >= beryl_announce_interval_ms (a)
         || (far_missed && beryl_announce_far (a, now_ms));
}

void
beryl_announce_done (struct beryl_announce *a, bool far, int64_t now_ms)
{
  a->told_ms = now_ms;
  if (far)
    a->told_far_ms = now_ms;
}
