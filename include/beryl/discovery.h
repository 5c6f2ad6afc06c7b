/** @file
 * Selects the nodes that a caller is told to connect to.
 *
 * The result is a pure function of the member list, the organisations' names
 * and the caller's data centre.  All nodes therefore give the same answer for
 * the same lists, so that the distribution of callers does not depend on
 * which node they asked or how long they cache the answer.
 */
#ifndef BERYL_DISCOVERY_H
#define BERYL_DISCOVERY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** A candidate node. */
struct beryl_discovery_node
{
  const char *name;
  const char *data_centre;
  const char *region;
  bool leaving; /**< never returned */
  bool suspect; /**< ranked after every live node */
};

/** An organisation whose callers use discovery. */
struct beryl_discovery_organisation
{
  const char *name;
  const char *data_centre; /**< data centre of its callers; "": unknown */
};

/** Maximum number of nodes in one answer. */
#define BERYL_DISCOVERY_MAX 8

/** One entry of an answer; entries are in order of preference. */
struct beryl_discovery_choice
{
  size_t node;     /**< index into the array of nodes that was set */
  uint32_t weight; /**< share of the calls in percent; the sum is 100 */
};

struct beryl_discovery;

/** Create a selector without nodes or organisations. */
struct beryl_discovery *beryl_discovery_create (void);

/** Free DISCOVERY; NULL is allowed. */
void beryl_discovery_destroy (struct beryl_discovery *discovery);

/** Set the candidate nodes; names are copied.  Returns false if out of memory,
 * and the previous nodes stay in use. */
bool beryl_discovery_set_nodes (struct beryl_discovery *discovery,
                                const struct beryl_discovery_node *nodes,
                                size_t node_count);

/** Set the organisations, in any order; names are copied.  An organisation
 * that is not listed is placed by its hash.  Returns false if out of memory,
 * and the previous organisations stay in use. */
bool beryl_discovery_set_organisations (
    struct beryl_discovery *discovery,
    const struct beryl_discovery_organisation *organisations,
    size_t organisation_count);

/** Select up to MAX nodes for callers of ORGANISATION in DATA_CENTRE of REGION
 * (either may be "": unknown).  Nodes of that data centre come first and get
 * all the weight; nodes of the region and then of other regions follow as
 * fallbacks and get weight only if there is no nearer live node.
 * An organisation's home is the data centre of its callers.  If DATA_CENTRE is
 * that home and has more organisations than is proportional to its live nodes,
 * up to a quarter of them are assigned to another data centre, preferably of
 * the same region.
 * Returns the number of CHOICES; 0 if there are no nodes that are not leaving,
 * or if out of memory. */
size_t beryl_discovery_choose (const struct beryl_discovery *discovery,
                               const char *organisation,
                               const char *data_centre, const char *region,
                               struct beryl_discovery_choice *choices,
                               size_t max);

#endif
