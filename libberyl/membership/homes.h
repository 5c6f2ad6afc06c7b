/** @file
 * Assignment of organisations to data centres.
 *
 * An organisation's home is the data centre of its callers.  The organisations
 * with the same home are ranked and spaced equally over its nodes; some of
 * those above its fair share are reassigned to data centres with spare
 * capacity.
 */
#ifndef BERYL_HOMES_H
#define BERYL_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** An organisation with a home data centre. */
struct homed_organisation
{
  uint64_t hash; /**< of its name */
  char data_centre[BERYL_NAME_BYTES];
};

/** A data centre with live nodes, which may be the home of organisations. */
struct home
{
  const char *data_centre; /**< borrowed */
  const char *region;      /**< borrowed */
  size_t nodes;            /**< number of live nodes */
  size_t organisations;    /**< number of organisations with this home */
  size_t retained;         /**< of these, the ones that are not reassigned */
  size_t spare;            /**< capacity for organisations of other homes */
  size_t received;         /**< organisations reassigned to this data centre */
};

/** Data centre that serves an organisation, and its position there.  The names
 * must be initialised with the caller's data centre and region; they stay so
 * if the organisation's home has no live node. */
struct home_position
{
  const char *data_centre; /**< borrowed from the home */
  const char *region;      /**< borrowed from the home */
  double position; /**< position over the data centre's nodes, in [0, 1) */
};

/** Compare two homed organisations by home, then by hash (for qsort). */
int homed_organisation_compare (const void *a, const void *b);

/** Determine which data centre serves ORGANISATION.  ORGANISATIONS must be
 * sorted by homed_organisation_compare.  HOMES may be in any order with names
 * and node counts set; they are sorted and their other members set.  Returns
 * false if out of memory or if no organisation has this home. */
bool homes_locate (struct home *homes, size_t home_count,
                   const struct homed_organisation *organisations,
                   size_t organisation_count,
                   const struct homed_organisation *organisation,
                   struct home_position *result);

#endif
