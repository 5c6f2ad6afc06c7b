/** @file
 * Reachability of the other nodes, as quotas need it: which of them report,
 * and what part of the fleet that is.
 */
#ifndef BERYL_QUOTAS_FLEET_H
#define BERYL_QUOTAS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/map.h"

/** Time for which a change of use is repeated in reports, since datagrams may
 * be lost. */
#define USE_REPEAT_MS 1500

/** Another node. */
struct fleet_peer
{
  uint32_t node;
  uint64_t incarnation;
  uint16_t
      epoch; /**< grows with each restart of the node and after each gap in
                its reports; counters of an earlier epoch do not continue */
  int64_t epoch_start_ms;
  int64_t reported_ms; /**< last report */
  bool expired;        /**< its epoch has ended, by a gap in its reports */
  double interval_ms;  /**< smoothed time between two reports */
};

/** All nodes that have reported. */
struct fleet
{
  struct fleet_peer *peers; /**< slots; an index stays valid */
  uint32_t peer_count;
  struct map slots;    /**< node to index plus 1 */
  double peer_ms;      /**< sum over the peers of the time for which they were
                          reachable, up to the last report of each */
  double retained_log; /**< logarithm of the part of a bucket that remains
                          after all expired epochs */
  uint32_t nodes;      /**< nodes that may be running, this one included */
  int64_t report_interval_ms;
  int64_t counted_ms; /**< when the members below were computed */
  uint32_t reachable; /**< nodes that report, this one included */
  uint32_t fresh;     /**< those of them that have reported just now */
  int64_t oldest_ms;  /**< oldest of their last reports */
};

/** Release the peers. */
void fleet_clear (struct fleet *fleet);

/** A report of NODE has arrived; return the index of its peer. */
uint32_t fleet_record_report (struct fleet *fleet, uint32_t node,
                              uint64_t incarnation, int64_t now_ms);

/** Return the part of the fleet that is reachable, from 0 to 1. */
double fleet_share (struct fleet *fleet, int64_t now_ms);

/** Return the number of nodes that share a quota. */
uint32_t fleet_size (const struct fleet *fleet);

/** Return the part of the fleet that has reported just now, from 0 to 1.  The
 * others may have been cut off since. */
double fleet_fresh_share (struct fleet *fleet, int64_t now_ms);

/** Return the age of the oldest last report of a reachable node. */
int64_t fleet_report_age_ms (struct fleet *fleet, int64_t now_ms);

#endif
