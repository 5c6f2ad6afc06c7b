/** @file
 * The loopback connection to this instance's beryl-entryd: views go down,
 * holds and demand come up.
 */
#ifndef CONTROLD_ENTRY_TASK_H
#define CONTROLD_ENTRY_TASK_H

#include "control.h"

/** Listen on the loopback address. */
struct entry_task *entry_task_create (struct control *control,
                                      struct beryl_error *error);

/** Close and release; NULL is allowed. */
void entry_task_destroy (struct entry_task *task);

/** Return the port in use. */
uint16_t entry_task_port (const struct entry_task *task);

/** Something in the view changed: send it soon. */
void entry_task_wake (struct entry_task *task);

/** Whether an entryd is connected. */
bool entry_task_connected (const struct entry_task *task);

/** Return the configuration that entryd said it uses.  Without an entryd
 * nobody here can use an old one: the version that the next one gets. */
uint64_t entry_task_applied (const struct entry_task *task);

/** Return what entryd holds, as it said last. */
const struct local_holds *entry_task_holds (const struct entry_task *task);

#endif
