/** @file
 * Passes changes of the list of endpoints on to the nodes of the own data
 * centre, or takes them from there.
 */
#ifndef GATEWAYD_RELAY_H
#define GATEWAYD_RELAY_H

#include "common/counters.h"
#include "common/loop.h"
#include "members.h"
#include "settings.h"
#include "platform_source.h"

struct relay;

/** Create for SOURCE, which is fed, and MEMBERS, who are told. */
struct relay *relay_create (struct loop *loop,
                            const struct gateway_settings *settings,
                            struct platform_source *source,
                            struct members *members,
                            struct counters *counters);

/** Release; NULL is allowed. */
void relay_destroy (struct relay *relay);

/** The store answered the source's watch; as in struct
 * platform_source_owner_impl. */
void relay_send (struct relay *relay, uint64_t after, uint64_t revision,
                 const struct entry_change *changes, size_t count,
                 bool complete);

/** Whether this node passes on what it sees. */
bool relay_is_watcher (const struct relay *relay);

/** A peer passed MESSAGE on. */
void relay_receive (struct relay *relay,
                    const struct changes_message *message);

#endif
