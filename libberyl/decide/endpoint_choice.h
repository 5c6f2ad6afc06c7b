/** @file
 * Load: the nearest endpoints of a service are busy or slow while others have
 * room.  Chooses an endpoint for a request so that no endpoint gets the
 * requests of all nodes at once.
 *
 * While the nearest endpoints are fast and have room, they get everything.
 * Otherwise a part of the requests goes by the power of two choices: two of
 * all endpoints are drawn, slow ones less often, and the one that costs the
 * node less is taken.  The speeds are the fleet's, so that a node that sees
 * little knows them; the costs are the node's own, so that not all nodes
 * decide alike.
 */
#ifndef DECIDE_ENDPOINT_CHOICE_H
#define DECIDE_ENDPOINT_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/capacity.h"

/** An endpoint that may get a request. */
struct endpoint_claim
{
  struct beryl_capacity_belief belief;
  bool remote;      /**< in another data centre than the node */
  double cost;      /**< that the node sees, in any unit */
  double surcharge; /**< contained in it: for failures; such endpoints are
                       drawn less often */
};

/** Part of the requests that all endpoints are considered for;
 * zero-initialise.
 */
struct spill
{
  double part;
  int64_t updated_ms;
};

/** Choose one of COUNT endpoints and set *CHOSEN.  Returns false if there is
 * no reason to consider others than the nearest, or too little is known. */
bool endpoint_choice_make (const struct endpoint_claim *claims, size_t count,
                           struct spill *spill, uint64_t *random,
                           int64_t now_ms, size_t *chosen);

#endif
