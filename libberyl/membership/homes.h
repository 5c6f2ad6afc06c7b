/** @file
 * Which data centre's nodes serve an organisation that has a home.
 *
 * The organisations of a data centre are ranked among themselves and given
 * equal steps over its nodes; those above its fair share are handed to data
 * centres with room.
 */
#ifndef BERYL_HOMES_H
#define BERYL_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** An organisation that is listed. */
struct homed_organisation
{
  uint64_t hash; /**< of its name */
  char data_centre[BERYL_NAME_BYTES];
};

/** A data centre with live nodes. */
struct home
{
  const char *data_centre; /**< borrowed */
  const char *region;      /**< borrowed */
  size_t nodes;            /**< live ones */
  size_t organisations;    /**< that have their home here */
  size_t retained;         /**< of these; the others go elsewhere */
  size_t spare;            /**< for others' organisations */
  size_t received;         /**< others' organisations */
};

/** Where an organisation's calls go; the names are those of the home that is
 * to serve it, and stay as they are if its own has no live node. */
struct home_position
{
  const char *data_centre; /**< borrowed from the home */
  const char *region;      /**< borrowed from the home */
  double position;         /**< over that data centre's nodes, in [0, 1) */
};

/** Order by home, then by hash. */
int homed_organisation_compare (const void *a, const void *b);

/** Find the place of ORGANISATION among ORGANISATIONS (in the order of
 * homed_organisation_compare).  HOMES, in any order, have their names and
 * nodes set; the rest is filled in.  False without memory or if it is not
 * listed. */
bool homes_locate (struct home *homes, size_t home_count,
                   const struct homed_organisation *organisations,
                   size_t organisation_count,
                   const struct homed_organisation *organisation,
                   struct home_position *place);

#endif
