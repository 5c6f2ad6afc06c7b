/** @file
 * The planner's work while the role is held: poll the engines, collect
 * demand, send orders with the fencing number.
 */
#ifndef CONTROLD_PLANNER_TASK_H
#define CONTROLD_PLANNER_TASK_H

#include "control.h"

struct planner_task;

/** Start the planner. */
struct planner_task *planner_task_create (struct control *control);

/** Stop and release; NULL is allowed. */
void planner_task_destroy (struct planner_task *task);

/** Load the current configuration. */
void planner_task_config (struct planner_task *task);

/** Record a demand report of NODE's entryd. */
void planner_task_report_loads (struct planner_task *task,
                                const struct local_loads *loads,
                                const char *node);

#endif
