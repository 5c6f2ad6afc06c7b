/** @file
 * The planner's work while its role is held: polls the engines, collects
 * demand, sends orders with the fencing number.
 */
#ifndef CONTROLD_PLANNER_TASK_H
#define CONTROLD_PLANNER_TASK_H

#include "control.h"

struct planner_task;

/** Begin. */
struct planner_task *planner_task_create (struct control *control);

/** End; NULL is allowed. */
void planner_task_destroy (struct planner_task *task);

/** The configuration changed. */
void planner_task_config (struct planner_task *task);

/** Demand of NODE's entryd. */
void planner_task_report_loads (struct planner_task *task,
                                const struct local_loads *loads,
                                const char *node);

#endif
