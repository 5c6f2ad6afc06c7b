/** @file
 * The accepted configuration of this process: read from peers or from the
 * platform's log, and watched while this node is the watcher.
 */
#ifndef CONTROLD_CONFIG_TASK_H
#define CONTROLD_CONFIG_TASK_H

#include "control.h"

/** Create the task and CONTROL->config_log. */
struct config_task *config_task_create (struct control *control);

/** Release; NULL is allowed. */
void config_task_destroy (struct config_task *task);

/** Apply a JSON array of log entries; FROM names the source in the log. */
void config_task_apply_entries (struct config_task *task, const char *text,
                                size_t bytes_count, const char *from);

/** Load a snapshot; FROM names the source in the log. */
void config_task_load_snapshot (struct config_task *task, const char *text,
                                size_t bytes_count, const char *from);

/** Start or stop watching the log. */
void config_task_watch (struct config_task *task, bool on);

/** Read the checkpoint and the log from the platform, unless a read is in
 * progress. */
void config_task_read_log (struct config_task *task);

/** Return the parsed configuration, or NULL; valid until the next change. */
const struct beryl_config *config_task_parsed (struct config_task *task);

#endif
