/** @file
 * Leases on the roles, stored as platform objects of kind
 * CONTROL_LEASE_KIND.
 */
#ifndef CONTROLD_ROLE_TASK_H
#define CONTROLD_ROLE_TASK_H

#include "control.h"

/** Kind of the lease objects, which are named after their roles. */
#define CONTROL_LEASE_KIND "leases"

/** Create all leases. */
struct role_task *role_task_create (struct control *control);

/** Release; NULL is allowed. */
void role_task_destroy (struct role_task *task);

/** Compete for the roles for which this node is a candidate. */
void role_task_update (struct role_task *task);

/** Release all roles for a planned stop; no role is acquired afterwards. */
void role_task_release (struct role_task *task);

/** Return whether ROLE is held now, and its fencing number in FENCE, which
 * may be NULL. */
bool role_task_held (const struct role_task *task, enum control_role role,
                     uint64_t *fence);

/** Return whether ROLE is held and no order of a previous holder can still
 * arrive. */
bool role_task_settled (const struct role_task *task, enum control_role role);

/** Return the role's name. */
const char *control_role_name (enum control_role role);

#endif
