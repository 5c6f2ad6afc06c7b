/** @file
 * Positions in the history of the platform's store.
 *
 * The store may come back from an older copy of itself and count revisions
 * from there again.  Each time its era rises by one.  A position holds both,
 * the era in the upper bits, so that positions compare as numbers: a later one
 * is greater, also over a restore, and none is given out twice.  Versions and
 * revisions in all other interfaces are positions; the numbers alone appear
 * only in calls to the store.
 */
#ifndef BERYL_REVISION_H
#define BERYL_REVISION_H

#include <stdint.h>

/** Bits of the store's own number. */
#define BERYL_REVISION_NUMBER_BITS 40

/** Return the position of revision NUMBER in ERA. */
static inline uint64_t
beryl_revision_make (uint64_t era, uint64_t number)
{
  return era << BERYL_REVISION_NUMBER_BITS | number;
}

/** Return the era of POSITION; 0 for a store that states none. */
static inline uint64_t
beryl_revision_era (uint64_t position)
{
  return position >> BERYL_REVISION_NUMBER_BITS;
}

/** Return the store's own number of POSITION. */
static inline uint64_t
beryl_revision_number (uint64_t position)
{
  return position & ((UINT64_C (1) << BERYL_REVISION_NUMBER_BITS) - 1);
}

/** Size of a position as text. */
#define BERYL_REVISION_TEXT_BYTES 48

/** Write POSITION for logs: "ERA:NUMBER", or the number alone in era 0.
 * Returns TEXT. */
const char *beryl_revision_text (uint64_t position,
                                 char text[BERYL_REVISION_TEXT_BYTES]);

#endif
