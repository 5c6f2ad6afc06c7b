/** @file
 * Orders engines between prefill and decode, at the one node that holds the
 * planner's lease.
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
                                struct beryl_forward *forward,
                                struct beryl_lives *lives);

/** Release; NULL is allowed. */
void planner_destroy (struct planner *planner);

/** Add to SET the engines whose orders are being carried out, as far as this
 * node gave them. */
void planner_add_pending (const struct planner *planner,
                          struct beryl_endpoint_set *set);

/** Whether this node holds the lease. */
bool planner_holds_lease (const struct planner *planner);

/** Whether this node competes for the lease. */
void planner_set_candidate (struct planner *planner, bool candidate);

#endif
