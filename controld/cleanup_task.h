/** @file
 * Cancels the streams that dead entryds may still hold at engines, and stores
 * replicas of other nodes' hold windows in case their instance dies.
 */
#ifndef CONTROLD_CLEANUP_TASK_H
#define CONTROLD_CLEANUP_TASK_H

#include "control.h"

/** Create without windows. */
struct cleanup_task *cleanup_task_create (struct control *control);

/** Release; NULL is allowed. */
void cleanup_task_destroy (struct cleanup_task *task);

/** Cancel the windows of an entryd that is known to be dead, retrying until
 * the engines confirm. */
void cleanup_task_cancel (struct cleanup_task *task,
                          const struct local_holds *holds);

/** Replace the replica of NODE's windows. */
void cleanup_task_replicate (struct cleanup_task *task, const char *node,
                             const struct local_holds *holds);

/** Cancel the replicated windows of NODE after its death or restart.
 *
 * @param live incarnation whose windows are kept; 0: none is alive */
void cleanup_task_cancel_node (struct cleanup_task *task, const char *node,
                               uint64_t live);

/** Send this node's windows to its replicas if either changed; called once a
 * second. */
void cleanup_task_tick (struct cleanup_task *task);

#endif
