/** @file
 * Plans the stages of engines and orders them to switch between prefill and
 * decode; only the node that holds the planner's lease does so.
 */
#ifndef GATEWAYD_PLANNER_H
#define GATEWAYD_PLANNER_H

#include "beryl/forward.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "gateway/wire.h"
#include "settings.h"

struct planner;

/** Create; all arguments must outlive it. */
struct planner *planner_create (struct loop *loop,
                                const struct gateway_wire *wire,
                                const struct gateway_settings *settings,
                                struct platform_client *client,
                                struct counters *counters,
                                struct beryl_forward *forward,
                                struct beryl_live_set *endpoints);

/** Release; NULL is allowed. */
void planner_destroy (struct planner *planner);

/** Add to SET the engines that have pending orders from this node. */
void planner_add_pending (const struct planner *planner,
                          struct beryl_endpoint_set *set);

/** Return whether this node holds the planner's lease. */
bool planner_holds_lease (const struct planner *planner);

/** Set whether this node competes for the lease; a holder keeps it in any
 * case. */
void planner_set_candidate (struct planner *planner, bool candidate);

#endif
