/** @file
 * The loopback connection to this instance's beryl-entryd: controld sends
 * views, entryd reports holds and demand.
 */
#ifndef CONTROLD_ENTRY_TASK_H
#define CONTROLD_ENTRY_TASK_H

#include "control.h"

/** Listen on the loopback address; NULL and ERROR on failure. */
struct entry_task *entry_task_create (struct control *control,
                                      struct beryl_error *error);

/** Close and release; NULL is allowed. */
void entry_task_destroy (struct entry_task *task);

/** Return the port in use. */
uint16_t entry_task_port (const struct entry_task *task);

/** Schedule sending the view after a change. */
void entry_task_wake (struct entry_task *task);

/** Return whether an entryd is connected. */
bool entry_task_connected (const struct entry_task *task);

/** Return the configuration version that entryd reported as applied.
 * Without an entryd nothing here can use an old configuration, so this is the
 * version that the next entryd receives. */
uint64_t entry_task_applied (const struct entry_task *task);

/** Return the holds that entryd reported last. */
const struct local_holds *entry_task_holds (const struct entry_task *task);

#endif
