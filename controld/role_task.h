/** @file
 * The leases on the roles, over the platform's objects of kind
 * CONTROL_LEASE_KIND.
 */
#ifndef CONTROLD_ROLE_TASK_H
#define CONTROLD_ROLE_TASK_H

#include "control.h"

/** The leases' objects are of this kind, and named for their roles. */
#define CONTROL_LEASE_KIND "leases"

/** Create all leases. */
struct role_task *role_task_create (struct control *control);

/** Release; NULL is allowed. */
void role_task_destroy (struct role_task *task);

/** Compete for the roles that this node stands for among the members. */
void role_task_update (struct role_task *task);

/** Release all roles, for a planned stop. */
void role_task_release (struct role_task *task);

/** Whether ROLE is held right now; FENCE (may be NULL) is its number. */
bool role_task_held (const struct role_task *task, enum control_role role,
                     uint64_t *fence);

/** Whether it is held and no order of a former holder can still arrive. */
bool role_task_settled (const struct role_task *task, enum control_role role);

/** Return the role's name. */
const char *control_role_name (enum control_role role);

#endif
