/** @file
 * Decides when a node announces its runs, and to which peers.
 *
 * Engines of the own data centre are chosen first, so local peers are told of
 * each change at once.  Remote peers get batched announcements, since traffic
 * between data centres is charged.  The remote interval does not grow with the
 * fleet: at peak load nodes use engines of all data centres, and outdated
 * knowledge of their runs overcommits engines.
 */
#ifndef BERYL_ANNOUNCE_H
#define BERYL_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

/** Announcement state; zero-initialise. */
struct beryl_announce
{
  uint32_t local_count;  /**< nodes of this data centre, this one included */
  uint32_t remote_count; /**< nodes of other data centres */
  int64_t announced_ms;  /**< last announcement */
  int64_t announced_remote_ms; /**< last announcement to all peers */
  int64_t early_ms; /**< by which the next heartbeat comes early; random, so
                       that nodes that start together do not go on together */
};

/** Return the upper bound of early_ms. */
int64_t beryl_announce_early_max_ms (const struct beryl_announce *announce);

/** Return the heartbeat interval: the longest time between two announcements
 * of a live node. */
int64_t beryl_announce_heartbeat_ms (const struct beryl_announce *announce);

/** Return whether an announcement is due without a local change: as a
 * heartbeat, or to send earlier changes to remote peers. */
bool beryl_announce_due (const struct beryl_announce *announce,
                         int64_t now_ms);

/** Return whether an announcement made now goes to all peers. */
bool beryl_announce_includes_remote (const struct beryl_announce *announce,
                                     int64_t now_ms);

/** Record an announcement, to all peers if REMOTE. */
void beryl_announce_done (struct beryl_announce *announce, bool remote,
                          int64_t now_ms);

#endif
