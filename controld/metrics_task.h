/** @file
 * Serves GET /metrics and /healthz on the loopback address.
 */
#ifndef CONTROLD_METRICS_TASK_H
#define CONTROLD_METRICS_TASK_H

#include "control.h"

/** Listen; NULL and ERROR on failure. */
struct metrics_task *metrics_task_create (struct control *control,
                                          struct beryl_error *error);

/** Release after http_context_destroy(); NULL is allowed. */
void metrics_task_destroy (struct metrics_task *task);

/** Return the port in use. */
uint16_t metrics_task_port (const struct metrics_task *task);

#endif
