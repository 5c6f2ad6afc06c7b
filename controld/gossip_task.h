/** @file
 * Cluster membership over the network: gossip datagrams, and the TCP port
 * on which peers synchronise member lists, pull the configuration and report
 * demand and holds.
 */
#ifndef CONTROLD_GOSSIP_TASK_H
#define CONTROLD_GOSSIP_TASK_H

#include "control.h"

/** Listen and create CONTROL->members; NULL and ERROR on failure. */
struct gossip_task *gossip_task_create (struct control *control,
                                        struct beryl_error *error);

/** Close the sockets and release; NULL is allowed. */
void gossip_task_destroy (struct gossip_task *task);

/** Return the port in use. */
uint16_t gossip_task_port (const struct gossip_task *task);

/** Reschedule the gossip timer after a change to this node's state. */
void gossip_task_wake (struct gossip_task *task);

/** Return whether another member is known to be alive. */
bool gossip_task_has_peers (const struct gossip_task *task);

/** Contact the configured seeds, unless a live peer is known. */
void gossip_task_contact_seeds (struct gossip_task *task);

/** Send the demand report of this node's entryd to the planner at MEMBER. */
void gossip_task_send_loads (struct gossip_task *task,
                             const struct beryl_member *member,
                             const struct local_loads *loads);

/** Replicate the hold windows of this node's entryd to MEMBER, which cancels
 * them if this instance dies. */
void gossip_task_send_holds (struct gossip_task *task,
                             const struct beryl_member *member,
                             const struct local_holds *holds);

/** Update the gossip and peer counters. */
void gossip_task_update_counters (struct gossip_task *task);

#endif
