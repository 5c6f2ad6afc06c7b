/** @file
 * Folds old entries of the accepted log into a checkpoint.
 *
 * The parts are written first, then the head that names them; then the
 * previous checkpoint's parts and old entries are deleted.  A crash at any
 * point leaves a readable log.
 */
#ifndef CONTROLD_CHECKPOINT_H
#define CONTROLD_CHECKPOINT_H

#include "control.h"

struct checkpoint;

/** Create; the last checkpoint is assumed at a multiple of the interval. */
struct checkpoint *checkpoint_create (struct control *control);

/** Release; NULL is allowed.  A pending write may still take effect. */
void checkpoint_destroy (struct checkpoint *checkpoint);

/** Start a checkpoint if enough entries were added since the last one. */
void checkpoint_start_if_due (struct checkpoint *checkpoint);

#endif
