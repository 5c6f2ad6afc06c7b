#include "beryl/announce.h"

/* Heartbeat interval: at least this long, and longer in a large fleet. */
#define HEARTBEAT_MS 500
#define HEARTBEAT_PER_NODE_MS 10
/* Heartbeats come early by up to a quarter of their interval. */
#define EARLY_DIVISOR 4
/* Minimum interval between announcements to other data centres. */
#define REMOTE_INTERVAL_MS 250

static int64_t
max_ms (int64_t a_ms, int64_t b_ms)
{
  return b_ms > a_ms ? b_ms : a_ms;
}

int64_t
beryl_announce_heartbeat_ms (const struct beryl_announce *a)
{
  int64_t nodes = (int64_t)a->local_count + a->remote_count;

  return max_ms (HEARTBEAT_MS, nodes * HEARTBEAT_PER_NODE_MS);
}

int64_t
beryl_announce_early_max_ms (const struct beryl_announce *a)
{
  return beryl_announce_heartbeat_ms (a) / EARLY_DIVISOR;
}

bool
beryl_announce_includes_remote (const struct beryl_announce *a, int64_t now_ms)
{
  return now_ms - a->announced_remote_ms >= REMOTE_INTERVAL_MS;
}

bool
beryl_announce_due (const struct beryl_announce *a, int64_t now_ms)
{
  bool remote_pending = a->announced_remote_ms != a->announced_ms;

  return now_ms - a->announced_ms
             >= beryl_announce_heartbeat_ms (a) - a->early_ms
         || (remote_pending && beryl_announce_includes_remote (a, now_ms));
}

void
beryl_announce_done (struct beryl_announce *a, bool remote, int64_t now_ms)
{
  a->announced_ms = now_ms;
  if (remote)
    a->announced_remote_ms = now_ms;
}
