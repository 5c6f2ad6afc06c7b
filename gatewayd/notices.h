/** @file
 * Sends notices to the other nodes: requests that crash endpoints, rate limits
 * that endpoints announce, and the rate of this node's requests to such
 * endpoints.
 *
 * New notices go to all peers, several times.  Older ones go to a few random
 * peers, so that nodes that were unreachable learn of them, while the number
 * of messages that a node sends does not grow with the fleet.
 */
#ifndef GATEWAYD_NOTICES_H
#define GATEWAYD_NOTICES_H

#include "beryl/forward.h"
#include "common/loop.h"
#include "members.h"

struct notices;

/** Create for this node, whose name is NODE; FORWARD and MEMBERS must outlive
 * it. */
struct notices *notices_create (struct loop *loop, const char *node,
                                struct beryl_forward *forward,
                                struct members *members);

/** Release; NULL is allowed. */
void notices_destroy (struct notices *notices);

/** Schedule the sending of new notices; return whether those of crashes or
 * quarantined requests have changed. */
bool notices_schedule (struct notices *notices);

/** Handle the notices of a peer. */
void notices_receive (struct notices *notices,
                      const struct notices_message *message);

#endif
