/** @file
 * Creates the client of the platform's API (the store) and sets its limits,
 * which depend on the size of the fleet.
 */
#ifndef GATEWAYD_STORE_H
#define GATEWAYD_STORE_H

#include "common/counters.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "gateway/wire.h"
#include "settings.h"

/** Delay between a watch's response and its next call, by which changes that
 * occur together are read together. */
#define STORE_WATCH_SPACING_MS 400

/** Create the client; SEED fixes its jitter. */
struct platform_client *store_create (struct loop *loop,
                                      struct http_context *http,
                                      const struct gateway_wire *wire,
                                      const struct gateway_settings *settings,
                                      struct counters *counters,
                                      uint64_t seed);

/** Limit this node to its share of the API's rates, as one of NODES. */
void store_set_nodes (struct platform_client *client,
                      const struct gateway_settings *settings, uint32_t nodes);

/** Set how long watches wait at the node with RANK, from 0 on, in a fleet of
 * NODES.  An ISOLATED node uses the shortest time, since no peer would tell it
 * of a change. */
void store_set_watch_wait (struct platform_client *client,
                           const struct gateway_settings *settings,
                           uint32_t nodes, uint32_t rank, bool isolated);

#endif
