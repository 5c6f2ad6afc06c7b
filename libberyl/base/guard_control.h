/** @file
 * Guards of the control plane; see guard.h.  The numbers are the rows of
 * docs/mutants-control.md.
 */
#ifndef BERYL_BASE_GUARD_CONTROL_H
#define BERYL_BASE_GUARD_CONTROL_H

#include "guard.h"

/** Guard ids, disjoint from those of enum beryl_guard. */
enum beryl_control_guard
{
  BERYL_GUARD_LEASE_WAIT = 101, /**< others wait for the full lease time */
  BERYL_GUARD_LEASE_SENT,       /**< the lease runs from the time of sending */
  BERYL_GUARD_LEASE_EARLY,      /**< the holder stops before its lease ends */
  BERYL_GUARD_LEASE_STALE_READ, /**< an older version is ignored */
  BERYL_GUARD_LEASE_SETTLED, /**< a new holder sends orders only after those of
                                the former holder must have arrived */
  BERYL_GUARD_ACCEPT_CURRENT, /**< a node with an outdated view does not accept
                                 changes */
  BERYL_GUARD_ACCEPT_SOURCE,  /**< an object is accepted only if its source
                                 version is newer than the accepted one */
  BERYL_GUARD_ACCEPT_VALID, /**< only a configuration that is valid as a whole
                               is accepted */
  BERYL_GUARD_SPREAD_GAP, /**< replicated log entries are applied without gaps
                           */
  BERYL_GUARD_SPREAD_NEWER,   /**< a replicated snapshot never moves state
                                 backwards */
  BERYL_GUARD_MEMBER_SILENT,  /**< only a silent member can be declared dead */
  BERYL_GUARD_MEMBER_ABSENCE, /**< a member must be absent for some time */
  BERYL_GUARD_MEMBER_INCARNATION, /**< messages of a previous incarnation are
                                   * ignored
                                   */
  BERYL_GUARD_MEMBER_REFUTE, /**< a live member refutes its reported death */
};

#endif
