/** @file
 * Status objects for operators, written at a bounded rate: the validation
 * result of each object, and the configuration in force in the data centre.
 */
#ifndef CONTROLD_STATUS_TASK_H
#define CONTROLD_STATUS_TASK_H

#include "control.h"

/** Create without pending writes. */
struct status_task *status_task_create (struct control *control);

/** Release; NULL is allowed. */
void status_task_destroy (struct status_task *task);

/** Queue the status of a validated object.
 *
 * @param version configuration that contains the object, if accepted */
void status_task_validated (struct status_task *task,
                            const struct beryl_validation_result *result,
                            uint64_t version);

/** As the watcher: check more often for a few seconds which configuration is
 * in force, while a new one rolls out. */
void status_task_watch_rollout (struct status_task *task);

/** As the watcher: queue the in-force status of this data centre if it
 * changed. */
void status_task_in_force (struct status_task *task);

#endif
