/** @file
 * Status objects for the operators, written at a bounded rate: what was
 * found out about each object, and where configurations are in force.
 */
#ifndef CONTROLD_STATUS_TASK_H
#define CONTROLD_STATUS_TASK_H

#include "control.h"

struct status_task *status_task_create (struct control *control);

/** Release; NULL is allowed. */
void status_task_destroy (struct status_task *task);

/** An object was judged; accepted ones are in configuration VERSION. */
void status_task_validated (struct status_task *task,
                            const struct beryl_validation_result *judgement,
                            uint64_t version);

/** A configuration is on its way: look often for a few seconds. */
void status_task_watch_rollout (struct status_task *task);

/** As the watcher: write where the configuration of this data centre is in
 * force, if that changed. */
void status_task_in_force (struct status_task *task);

#endif
