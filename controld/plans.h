/** @file
 * What the planner has learned of the days, kept at the platform for the next
 * planner.
 */
#ifndef CONTROLD_PLANS_H
#define CONTROLD_PLANS_H

#include "beryl/planner.h"
#include "control.h"

struct plans;

/** Begin to restore PLANNER's profiles; it is borrowed. */
struct plans *plans_create (struct control *control,
                            struct beryl_planner *planner);

/** Release; NULL is allowed.  A write under way may still take effect. */
void plans_destroy (struct plans *plans);

/** Save the profiles from time to time, once they were restored. */
void plans_tick (struct plans *plans);

#endif
