/** @file
 * Stores the planner's daily demand profiles at the platform for the next
 * planner.
 */
#ifndef CONTROLD_PROFILE_STORE_H
#define CONTROLD_PROFILE_STORE_H

#include "beryl/planner.h"
#include "control.h"

struct profile_store;

/** Create, and start restoring PLANNER's profiles; PLANNER is borrowed. */
struct profile_store *profile_store_create (struct control *control,
                                            struct beryl_planner *planner);

/** Release; NULL is allowed.  A pending write may still take effect. */
void profile_store_destroy (struct profile_store *plans);

/** Save the profiles when due, but not before they were restored. */
void profile_store_tick (struct profile_store *plans);

#endif
