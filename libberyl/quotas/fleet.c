#include "fleet.h"

#include <math.h>
#include <stdlib.h>

/* A peer is unreachable after this many of its usual intervals without a
 * report, but not before SILENT_MIN_MS. */
#define SILENT_USUAL_INTERVALS 4
#define SILENT_MIN_MS 600
/* The same, in the longest intervals that a live node may leave. */
#define SILENT_LONGEST_INTERVALS 3
/* A report is fresh for this many of its sender's usual intervals, but at
 * least for FRESH_MIN_MS. */
#define FRESH_USUAL_INTERVALS 1.5
#define FRESH_MIN_MS 300
/* Weight of the newest interval in the usual one. */
#define INTERVAL_WEIGHT 0.2
/* A silent peer's slot is reused after this time. */
#define FORGET_MS 120000
/* How long a count of the reachable peers is used. */
#define COUNT_MS 50

void
fleet_clear (struct fleet *fleet)
{
  free (fleet->peers);
  map_clear (&fleet->slots);
  *fleet = (struct fleet){ 0 };
}

uint32_t
fleet_size (const struct fleet *fleet)
{
  return fleet->nodes > fleet->reachable ? fleet->nodes : fleet->reachable;
}

static int64_t
longest_silence_ms (const struct fleet *fleet)
{
  return SILENT_LONGEST_INTERVALS * fleet->report_interval_ms;
}

/* A node that handles requests reports more often than one at rest, so its
 * silence is noticed sooner. */
static double
silent_limit_ms (const struct fleet *fleet, const struct fleet_peer *peer)
{
  double longest_ms = (double)longest_silence_ms (fleet);
  double limit_ms = SILENT_USUAL_INTERVALS * peer->interval_ms;

  if (limit_ms < SILENT_MIN_MS)
    limit_ms = SILENT_MIN_MS;
  return limit_ms < longest_ms ? limit_ms : longest_ms;
}

static bool
is_reachable (const struct fleet *fleet, const struct fleet_peer *peer,
              int64_t now_ms)
{
  return (double)(now_ms - peer->reported_ms) <= silent_limit_ms (fleet, peer);
}

static struct fleet_peer *
peer_find (struct fleet *fleet, uint32_t node)
{
  uintptr_t slot
      = (uintptr_t)map_get (&fleet->slots, map_key_from_number (node));

  return slot > 0 ? &fleet->peers[slot - 1] : NULL;
}

static struct fleet_peer *
peer_add (struct fleet *fleet, uint32_t node, int64_t now_ms)
{
  struct fleet_peer *peer = NULL;
  uint16_t epoch;

  for (uint32_t i = 0; peer == NULL && i < fleet->peer_count; i++)
    if (now_ms - fleet->peers[i].reported_ms > FORGET_MS)
      peer = &fleet->peers[i];
  if (peer == NULL)
    {
      fleet->peers = realloc (fleet->peers,
                              (fleet->peer_count + 1) * sizeof *fleet->peers);
      peer = &fleet->peers[fleet->peer_count++];
      peer->epoch = 0;
    }
  else
    map_remove (&fleet->slots, map_key_from_number (peer->node));
  map_put (&fleet->slots, map_key_from_number (node),
           (void *)(uintptr_t)(peer - fleet->peers + 1));
  epoch = peer->epoch;
  *peer = (struct fleet_peer){ .node = node, .epoch = epoch };
  return peer;
}

/* Counters do not continue across a restart, nor across a silence in which the
 * node counted on its own part of the rate only.  The counters of a restarted
 * node are known from their beginning; those of a node that was away are not.
 */
static void
peer_begin_epoch (struct fleet_peer *peer, bool restarted, int64_t now_ms)
{
  peer->epoch++;
  peer->epoch_start_ms = restarted ? now_ms - USE_REPEAT_MS : now_ms;
}

uint32_t
fleet_record_report (struct fleet *fleet, uint32_t node, uint64_t incarnation,
                     int64_t now_ms)
{
  struct fleet_peer *peer = peer_find (fleet, node);
  bool known = peer != NULL;
  int64_t silent_ms;

  if (!known)
    peer = peer_add (fleet, node, now_ms);
  silent_ms = now_ms - peer->reported_ms;
  if (!known || peer->incarnation != incarnation
      || silent_ms > longest_silence_ms (fleet))
    {
      peer_begin_epoch (peer, known && peer->incarnation != incarnation,
                        now_ms);
      peer->interval_ms = (double)fleet->report_interval_ms;
    }
  else
    {
      fleet->peer_ms
          += fmin ((double)silent_ms, silent_limit_ms (fleet, peer));
      peer->interval_ms
          += INTERVAL_WEIGHT * ((double)silent_ms - peer->interval_ms);
    }
  peer->incarnation = incarnation;
  peer->reported_ms = now_ms;
  peer->expired = false;
  return (uint32_t)(peer - fleet->peers);
}

static bool
is_fresh (const struct fleet_peer *peer, int64_t now_ms)
{
  double limit_ms = FRESH_USUAL_INTERVALS * peer->interval_ms;

  if (limit_ms < FRESH_MIN_MS)
    limit_ms = FRESH_MIN_MS;
  return (double)(now_ms - peer->reported_ms) <= limit_ms;
}

/* The part of all buckets that belongs to an expired peer is dropped. */
static void
expire_peer (struct fleet *fleet, struct fleet_peer *peer)
{
  peer->expired = true;
  fleet->retained_log += log1p (-1.0 / (1 + fleet_size (fleet)));
}

static void
count_reachable (struct fleet *fleet, int64_t now_ms)
{
  if (fleet->reachable > 0 && now_ms - fleet->counted_ms < COUNT_MS)
    return;
  fleet->counted_ms = now_ms;
  fleet->reachable = 1;
  fleet->fresh = 1;
  fleet->oldest_ms = now_ms;
  for (uint32_t i = 0; i < fleet->peer_count; i++)
    {
      struct fleet_peer *peer = &fleet->peers[i];

      if (!peer->expired
          && now_ms - peer->reported_ms > longest_silence_ms (fleet))
        expire_peer (fleet, peer);
      if (!is_reachable (fleet, peer, now_ms))
        continue;
      fleet->reachable++;
      fleet->fresh += is_fresh (peer, now_ms);
      if (peer->reported_ms < fleet->oldest_ms)
        fleet->oldest_ms = peer->reported_ms;
    }
}

double
fleet_share (struct fleet *fleet, int64_t now_ms)
{
  count_reachable (fleet, now_ms);
  return (double)fleet->reachable / fleet_size (fleet);
}

double
fleet_fresh_share (struct fleet *fleet, int64_t now_ms)
{
  count_reachable (fleet, now_ms);
  return (double)fleet->fresh / fleet_size (fleet);
}

int64_t
fleet_report_age_ms (struct fleet *fleet, int64_t now_ms)
{
  count_reachable (fleet, now_ms);
  return now_ms - fleet->oldest_ms;
}
