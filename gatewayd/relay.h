/** @file
 * Relays changes of the endpoint list between the nodes of a data centre:
 * watchers send them, followers receive them.
 */
#ifndef GATEWAYD_RELAY_H
#define GATEWAYD_RELAY_H

#include "common/counters.h"
#include "common/loop.h"
#include "members.h"
#include "settings.h"
#include "platform_source.h"

struct relay;

/** Create a relay that applies received changes to SOURCE and sends changes
 * through MEMBERS. */
struct relay *relay_create (struct loop *loop,
                            const struct gateway_settings *settings,
                            struct platform_source *source,
                            struct members *members,
                            struct counters *counters);

/** Release; NULL is allowed. */
void relay_destroy (struct relay *relay);

/** Send changes that the store reported, if this node is a watcher; parameters
 * as in struct platform_source_owner_impl. */
void relay_send (struct relay *relay, uint64_t after, uint64_t revision,
                 const struct entry_change *changes, size_t count,
                 bool complete);

/** Return whether this node is a watcher. */
bool relay_is_watcher (const struct relay *relay);

/** Handle changes that a peer relayed. */
void relay_receive (struct relay *relay,
                    const struct changes_message *message);

#endif
