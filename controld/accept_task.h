/** @file
 * The acceptor's work while the role is held: watch the operators' objects
 * and the instance list, append log entries, fold old entries into a
 * checkpoint, and report validation results as status objects.
 */
#ifndef CONTROLD_ACCEPT_TASK_H
#define CONTROLD_ACCEPT_TASK_H

#include "control.h"

struct accept_task;

/** Start the acceptor. */
struct accept_task *accept_task_create (struct control *control);

/** Stop and release; NULL is allowed.  A pending write may still take
 * effect. */
void accept_task_destroy (struct accept_task *task);

/** Propose the next entry after a change of the log. */
void accept_task_wake (struct accept_task *task);

/** Run the instance tracker; called once a second. */
void accept_task_tick (struct accept_task *task);

#endif
