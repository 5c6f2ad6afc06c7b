/** @file
 * Membership over the network: gossip datagrams, and the port on which
 * other nodes compare lists, pull the configuration and tell their demand
 * and holds.
 */
#ifndef CONTROLD_GOSSIP_TASK_H
#define CONTROLD_GOSSIP_TASK_H

#include "control.h"

/** Listen and create the membership in CONTROL->members. */
struct gossip_task *gossip_task_create (struct control *control,
                                        struct beryl_error *error);

/** Close the sockets and release; NULL is allowed. */
void gossip_task_destroy (struct gossip_task *task);

/** Return the port in use. */
uint16_t gossip_task_port (const struct gossip_task *task);

/** Something about this node changed: have it sent soon. */
void gossip_task_wake (struct gossip_task *task);

/** Whether another member is known to be alive. */
bool gossip_task_has_peers (const struct gossip_task *task);

/** Contact the seeds of the settings, unless some member is known to live. */
void gossip_task_contact_seeds (struct gossip_task *task);

/** Send the demand of this node's entryd to the planner at MEMBER. */
void gossip_task_send_loads (struct gossip_task *task,
                             const struct beryl_member *member,
                             const struct local_loads *loads);

/** Have MEMBER keep the windows of this node's entryd, for the case that
 * this instance dies. */
void gossip_task_send_holds (struct gossip_task *task,
                             const struct beryl_member *member,
                             const struct local_holds *holds);

/** Write the counters. */
void gossip_task_update_counters (struct gossip_task *task);

#endif
