/** @file
 * Chooses which nodes a caller is told to connect to.
 *
 * A pure function of the member list, the organisations' names and the
 * caller's data centre: every node gives the same answer for the same
 * lists, so that callers which keep answers stay evenly spread.
 */
#ifndef BERYL_DISCOVERY_H
#define BERYL_DISCOVERY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** A node that may be handed out. */
struct beryl_discovery_node
{
  const char *name;
  const char *data_centre;
  const char *region;
  bool leaving; /**< never handed out */
  bool suspect; /**< handed out only if there is no other */
};

/** An organisation whose callers ask. */
struct beryl_discovery_organisation
{
  const char *name;
  const char *data_centre; /**< where its callers are; "": unknown */
};

/** Most addresses in one answer. */
#define BERYL_DISCOVERY_MAX 8

/** One entry of an answer, best first. */
struct beryl_discovery_choice
{
  size_t node;     /**< index into the nodes given */
  uint32_t weight; /**< share of the calls, in percent; sums to 100 */
};

struct beryl_discovery;

/** Create a chooser. */
struct beryl_discovery *beryl_discovery_create (void);

/** Release DISCOVERY; NULL is allowed. */
void beryl_discovery_destroy (struct beryl_discovery *discovery);

/** Use these nodes; names are copied.  False without memory: the nodes
 * given before stay in use. */
bool beryl_discovery_set_nodes (struct beryl_discovery *discovery,
                                const struct beryl_discovery_node *nodes,
                                size_t node_count);

/** Use these organisations, in any order; names are copied.  One that is
 * not listed gets a place by its hash.  False without memory. */
bool beryl_discovery_set_organisations (
    struct beryl_discovery *discovery,
    const struct beryl_discovery_organisation *organisations,
    size_t organisation_count);

/** Choose up to MAX nodes for ORGANISATION's callers near DATA_CENTRE in
 * REGION (either may be "": unknown).  Nodes of that data centre come
 * first and carry all the weight, then those of the region, then others,
 * which carry weight only if the nearer ones have no live node.  If it is
 * the organisation's own data centre and more organisations belong there
 * than its part of all live nodes, up to a quarter of them get another one's
 * nodes first, of the region if one has room.  Returns the number of CHOICES,
 * 0 if there is no node. */
size_t beryl_discovery_choose (const struct beryl_discovery *discovery,
                               const char *organisation,
                               const char *data_centre, const char *region,
                               struct beryl_discovery_choice *choices,
                               size_t max);

#endif
