/** @file
 * A link of limited bandwidth between a node and other processes, simulated on
 * the test's loop: connections towards the node share its bandwidth, bytes
 * from the node are not limited.
 */
#ifndef TESTS_GATEWAY_SLOW_LINK_H
#define TESTS_GATEWAY_SLOW_LINK_H

#include "common/loop.h"

struct slow_link;

/** Create a link that carries BYTES_PER_S towards the node. */
struct slow_link *slow_link_create (struct loop *loop, uint32_t bytes_per_s);

/** Route connections to 127.0.0.1:PORT through LINK; returns the port to
 * connect to instead.  Fails the test if it cannot listen. */
uint16_t slow_link_add_route (struct slow_link *link, uint16_t port);

/** Stop carrying bytes towards the node on all open connections; new ones
 * work. */
void slow_link_freeze (struct slow_link *link);

/** Return the number of bytes that were carried towards the node. */
uint64_t slow_link_carried_bytes (const struct slow_link *link);

/** Close all connections and release; the loop must run once more. */
void slow_link_destroy (struct slow_link *link);

#endif
