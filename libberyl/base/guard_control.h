/** @file
 * Guards of the parts that nodes act together by; see guard.h.  The numbers
 * are the rows of docs/mutants-control.md.
 */
#ifndef BERYL_BASE_GUARD_CONTROL_H
#define BERYL_BASE_GUARD_CONTROL_H

#include "guard.h"

/** Guards, apart from the numbers of enum beryl_guard. */
enum beryl_control_guard
{
  BERYL_GUARD_LEASE_WAIT = 101, /**< others wait for the whole time */
  BERYL_GUARD_LEASE_SENT,       /**< the holder counts from the sending */
  BERYL_GUARD_LEASE_EARLY,      /**< the holder stops by itself */
  BERYL_GUARD_LEASE_OLD_READ,   /**< an older version is not believed */
  BERYL_GUARD_LEASE_SETTLED,    /**< late orders arrive before new ones */
  BERYL_GUARD_ACCEPT_CURRENT,   /**< who has read less does not judge */
  BERYL_GUARD_ACCEPT_SOURCE,    /**< an older edit does not replace */
  BERYL_GUARD_ACCEPT_VALID,     /**< only what is valid together goes in */
  BERYL_GUARD_SPREAD_GAP,       /**< entries are applied without gaps */
  BERYL_GUARD_SPREAD_NEWER,     /**< a snapshot only moves forward */
  BERYL_GUARD_MEMBER_SILENT,    /**< only a silent member can be dead */
  BERYL_GUARD_MEMBER_LASTING,   /**< absence must last */
  BERYL_GUARD_MEMBER_NEWER,     /**< a former life does not speak */
  BERYL_GUARD_MEMBER_REFUTE,    /**< a live member refutes */
};

#endif
