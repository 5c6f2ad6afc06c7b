/** @file
 * Tells the other nodes what this one has found out about requests that crash
 * endpoints, about limits that endpoints name, and what it sends there.  What
 * is new goes to all, some times; what is older goes to a few drawn at random,
 * so that nodes that were away hear of it and a node's share does not grow
 * with the fleet.
 */
#ifndef GATEWAYD_NOTICES_H
#define GATEWAYD_NOTICES_H

#include "beryl/forward.h"
#include "common/loop.h"
#include "members.h"

struct notices;

/** Create for the node with this name; FORWARD and MEMBERS must outlive it. */
struct notices *notices_create (struct loop *loop, const char *node,
                                struct beryl_forward *forward,
                                struct members *members);

/** Release; NULL is allowed. */
void notices_destroy (struct notices *notices);

/** Have what is new told soon; returns whether a crash or a quarantine is. */
bool notices_schedule (struct notices *notices);

/** Take what a peer tells. */
void notices_receive (struct notices *notices,
                      const struct notices_message *message);

#endif
