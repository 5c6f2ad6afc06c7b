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
  int64_t nodes = (int64_t)a->local_count + a->remote_count;

  return at_least (LIFE_MS, nodes * LIFE_NODE_MS);
}

bool
beryl_announce_includes_remote (const struct beryl_announce *a, int64_t now_ms)
{
  return now_ms - a->announced_remote_ms >= FAR_MS;
}

bool
beryl_announce_due (const struct beryl_announce *a, int64_t now_ms)
{
  bool far_missed = a->announced_remote_ms != a->announced_ms;

  return now_ms - a->announced_ms >= beryl_announce_interval_ms (a)
         || (far_missed && beryl_announce_includes_remote (a, now_ms));
}

void
beryl_announce_done (struct beryl_announce *a, bool far, int64_t now_ms)
{
  a->announced_ms = now_ms;
  if (far)
    a->announced_remote_ms = now_ms;
}
