/** @file
 * TCP connections between controlds: member list synchronisation,
 * configuration pulls, demand reports and replicated holds.
 */
#ifndef CONTROLD_PEER_PORT_H
#define CONTROLD_PEER_PORT_H

#include "control.h"

struct peer_port;

/** Listen; NULL and ERROR on failure. */
struct peer_port *peer_port_create (struct control *control,
                                    struct beryl_error *error);

/** Close everything; NULL is allowed. */
void peer_port_destroy (struct peer_port *port);

/** Return the port in use. */
uint16_t peer_port_number (const struct peer_port *port);

/** Synchronise member lists with MEMBER. */
void peer_port_compare (struct peer_port *port,
                        const struct beryl_member *member);

/** Pull the configuration from MEMBER, unless a pull is in progress. */
void peer_port_pull (struct peer_port *port,
                     const struct beryl_member *member);

/** Send one message (LOCAL_LOAD or LOCAL_HOLDS) to MEMBER. */
void peer_port_send (struct peer_port *port, const struct beryl_member *member,
                     const struct local_message *message);

/** Update the peer counters. */
void peer_port_update_counters (struct peer_port *port);

#endif
