/** @file
 * When a node announces what it runs, and to whom.
 *
 * Engines are chosen in the own data centre first, so that its nodes hear of
 * each change at once.  The others hear of several together: bytes between
 * data centres are paid for.  Their interval does not grow with the fleet,
 * since at a peak each node takes engines of all data centres, and one that
 * knows of others' runs too late sends what an engine has no room for.
 */
#ifndef BERYL_ANNOUNCE_H
#define BERYL_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

/** Times of what was announced; zero-initialise. */
struct beryl_announce
{
  uint32_t local_count;  /**< nodes of this data centre, this one included */
  uint32_t remote_count; /**< nodes of the others */
  int64_t announced_ms;  /**< to peers of this data centre */
  int64_t announced_remote_ms; /**< to all */
};

/** Return the time in which a live node announces something. */
int64_t beryl_announce_interval_ms (const struct beryl_announce *announce);

/** Whether something has to be announced although nothing changed here since
 * the last time: as a sign of life, or to peers in other data centres. */
bool beryl_announce_due (const struct beryl_announce *announce,
                         int64_t now_ms);

/** Whether what is announced now goes to all peers. */
bool beryl_announce_includes_remote (const struct beryl_announce *announce,
                                     int64_t now_ms);

/** Something was announced, to all peers if FAR. */
void beryl_announce_done (struct beryl_announce *announce, bool far,
                          int64_t now_ms);

#endif
