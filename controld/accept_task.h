/** @file
 * The acceptor's work while its role is held: watch the operators' objects
 * and the instance list, create the log's entries, fold old ones into a
 * checkpoint, and write what was found out to status objects.
 */
#ifndef CONTROLD_ACCEPT_TASK_H
#define CONTROLD_ACCEPT_TASK_H

#include "control.h"

struct accept_task;

/** Begin. */
struct accept_task *accept_task_create (struct control *control);

/** End; NULL is allowed.  A write under way may still take effect. */
void accept_task_destroy (struct accept_task *task);

/** The log moved: judge again. */
void accept_task_wake (struct accept_task *task);

/** Once a second: witness the members with the instance list. */
void accept_task_tick (struct accept_task *task);

#endif
