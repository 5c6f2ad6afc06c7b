/** @file
 * Folds old entries of the accepted log into a checkpoint.
 *
 * Order of the writes: the parts, then the head that names them, then the
 * deletions of what the checkpoint before it no longer needs.  A crash at any
 * point leaves a readable log.
 */
#ifndef CONTROLD_CHECKPOINT_H
#define CONTROLD_CHECKPOINT_H

#include "control.h"

struct checkpoint;

struct checkpoint *checkpoint_create (struct control *control);

/** Release; NULL is allowed.  Writes under way may still take effect. */
void checkpoint_destroy (struct checkpoint *checkpoint);

/** Begin a checkpoint if enough entries came since the last. */
void checkpoint_start_if_due (struct checkpoint *checkpoint);

#endif
