/** @file
 * The accepted configuration of this process: read from peers or from the
 * platform's log, watched as the watcher, written as the acceptor.
 */
#ifndef CONTROLD_CONFIG_TASK_H
#define CONTROLD_CONFIG_TASK_H

#include "control.h"

/** Create, with CONTROL->spread. */
struct config_task *config_task_create (struct control *control);

/** Release; NULL is allowed. */
void config_task_destroy (struct config_task *task);

/** Take what a peer gave: a JSON array of entries, or a snapshot. */
void config_task_apply_entries (struct config_task *task, const char *text,
                                size_t bytes_count, const char *from);
void config_task_load_snapshot (struct config_task *task, const char *text,
                                size_t bytes_count, const char *from);

/** Watch the log, or stop. */
void config_task_watch (struct config_task *task, bool on);

/** Read the log from the platform now, unless that is under way. */
void config_task_read_log (struct config_task *task);

/** Return the parsed configuration, or NULL; valid until the next change. */
const struct beryl_config *config_task_parsed (struct config_task *task);

#endif
