/** @file
 * Cancels what dead entryds may still hold at engines, and keeps the windows
 * of other nodes for the case that their whole instance dies.
 */
#ifndef CONTROLD_CLEANUP_TASK_H
#define CONTROLD_CLEANUP_TASK_H

#include "control.h"

struct cleanup_task *cleanup_task_create (struct control *control);

/** Release; NULL is allowed. */
void cleanup_task_destroy (struct cleanup_task *task);

/** An entryd is dead for certain: cancel its windows until confirmed. */
void cleanup_task_cancel (struct cleanup_task *task,
                          const struct local_holds *holds);

/** Keep the windows of NODE; replaces what was kept. */
void cleanup_task_replicate (struct cleanup_task *task, const char *node,
                             const struct local_holds *holds);

/** NODE is dead by the instance list, or restarted: cancel what is kept of
 * it, but for the incarnation LIVE (0: none lives). */
void cleanup_task_cancel_node (struct cleanup_task *task, const char *node,
                               uint64_t live);

/** Tell the windows of this node to those that keep them. */
void cleanup_task_tick (struct cleanup_task *task);

#endif
