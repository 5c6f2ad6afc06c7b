/** @file
 * A link of limited rate between a node and others, on the test's loop: bytes
 * towards the node share its rate, bytes from it are not limited.
 */
#ifndef TESTS_GATEWAY_SLOW_LINK_H
#define TESTS_GATEWAY_SLOW_LINK_H

#include "common/loop.h"

struct slow_link;

/** Create a link that carries BYTES_PER_S towards the node. */
struct slow_link *slow_link_create (struct loop *loop, uint32_t bytes_per_s);

/** Let the node reach PORT at 127.0.0.1 through LINK; returns the port to
 * connect to instead.  Fails the test if it cannot. */
uint16_t slow_link_add_route (struct slow_link *link, uint16_t port);

/** Let all connections that are open go silent for good; new ones work. */
void slow_link_freeze (struct slow_link *link);

/** Return the bytes that were carried towards the node. */
uint64_t slow_link_carried_bytes (const struct slow_link *link);

/** Close all connections and release; the loop must turn once more. */
void slow_link_destroy (struct slow_link *link);

#endif
