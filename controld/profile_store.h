/** @file
 * What the planner has learned of the days, kept at the platform for the next
 * planner.
 */
#ifndef CONTROLD_PLANS_H
#define CONTROLD_PLANS_H

#include "beryl/planner.h"
#include "control.h"

struct profile_store;

/** Begin to restore PLANNER's profiles; it is borrowed. */
struct profile_store *profile_store_create (struct control *control,
                            struct beryl_planner *planner);

/** Release; NULL is allowed.  A write under way may still take effect. */
void profile_store_destroy (struct profile_store *plans);

/** Save the profiles from time to time, once they were restored. */
void profile_store_tick (struct profile_store *plans);

#endif
