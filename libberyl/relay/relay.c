#include "beryl/relay.h"

#include <stdlib.h>

/* Minimum number of nodes for relaying: in smaller data centres nearly every
 * node would be a watcher. */
#define MIN_NODES 8
/* Fractions of leave_ms, within which a change must be known.
 * SILENCE_FRACTION is how long a follower waits for silent watchers before it
 * reads the list itself, POLL_FRACTION the longest interval between the
 * answers to a watcher's calls.  A data centre has two watchers (WATCHER_COUNT
 * in gatewayd/relay.c), so the loss of one makes no follower read the list. */
#define SILENCE_FRACTION 0.4
#define POLL_FRACTION 0.3

struct beryl_relay
{
  int64_t leave_ms;
  uint32_t nodes;
  bool elected;
  bool has_update;
  int64_t last_update_ms;
};

struct beryl_relay *
beryl_relay_create (int64_t leave_ms)
{
  struct beryl_relay *relay = calloc (1, sizeof *relay);

  if (relay != NULL)
    relay->leave_ms = leave_ms;
  return relay;
}

void
beryl_relay_destroy (struct beryl_relay *relay)
{
  free (relay);
}

void
beryl_relay_set_nodes (struct beryl_relay *relay, uint32_t nodes, bool elected)
{
  relay->nodes = nodes;
  relay->elected = elected;
}

void
beryl_relay_note_update (struct beryl_relay *relay, int64_t now_ms)
{
  relay->has_update = true;
  relay->last_update_ms = now_ms;
}

enum beryl_relay_role
beryl_relay_role (const struct beryl_relay *relay, int64_t now_ms)
{
  int64_t silence_ms = (int64_t)(SILENCE_FRACTION * (double)relay->leave_ms);

  if (relay->nodes < MIN_NODES)
    return BERYL_RELAY_STANDALONE;
  if (relay->elected)
    return BERYL_RELAY_WATCHER;
  if (relay->has_update && now_ms - relay->last_update_ms < silence_ms)
    return BERYL_RELAY_FOLLOWER;
  return BERYL_RELAY_STANDALONE;
}

int64_t
beryl_relay_poll_timeout_ms (const struct beryl_relay *relay,
                             int64_t spacing_ms)
{
  int64_t poll_ms = (int64_t)(POLL_FRACTION * (double)relay->leave_ms);

  return poll_ms > spacing_ms ? poll_ms - spacing_ms : 1;
}

const char *
beryl_relay_role_name (enum beryl_relay_role role)
{
  switch (role)
    {
    case BERYL_RELAY_STANDALONE:
      return "alone";
    case BERYL_RELAY_WATCHER:
      return "watcher";
    case BERYL_RELAY_FOLLOWER:
      return "follower";
    }
  return "unknown";
}
