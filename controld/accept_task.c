#include "accept_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "checkpoint.h"
#include "config_task.h"
#include "instance_tracker.h"
#include "role_task.h"
#include "status_task.h"

#define WRITE_MS 4000
/* Delay after a failed write. */
#define RETRY_DELAY_MS 300

static const char *const kinds[]
    = { "system",  "organisation", "model",   "service",
        "urgency", "pool",         "endpoint" };

struct watch
{
  struct accept_task *task;
  const char *kind;
  uint64_t watch;
};

/* An accepted object whose log entry is not written yet. */
struct accepted_object
{
  char *kind;
  char *name;
  uint64_t version;
};

struct accept_task
{
  struct beryl_acceptor_owner base;
  struct control *control;
  struct beryl_acceptor *acceptor;
  struct watch watches[G_N_ELEMENTS (kinds)];
  struct instance_tracker *tracker;
  struct checkpoint *checkpoint;
  uint64_t request; /* pending write or read-back; 0: none */
  char *entry;      /* entry being written; NULL: none */
  size_t entry_bytes;
  uint64_t entry_version;
  GPtrArray *accepted; /* objects that the entry accepts */
  struct loop_timer *retry_timer;
};

static void accept_propose (struct accept_task *task);

static void
accepted_object_free (void *data)
{
  struct accepted_object *a = data;

  g_free (a->kind);
  g_free (a->name);
  g_free (a);
}

static void
acceptor_validated (struct beryl_acceptor_owner *owner,
                    const struct beryl_validation_result *result)
{
  struct accept_task *task = (struct accept_task *)owner;
  struct accepted_object *a;

  if (!result->accepted)
    {
      g_warning ("%s %s version %" G_GUINT64_FORMAT " rejected: %s",
                 result->kind, result->name, result->version,
                 result->findings);
      counters_add (task->control->counters, "beryl_config_rejected_total", "",
                    1);
      status_task_validated (task->control->status, result, 0);
      return;
    }
  a = g_new0 (struct accepted_object, 1);
  a->kind = g_strdup (result->kind);
  a->name = g_strdup (result->name);
  a->version = result->version;
  g_ptr_array_add (task->accepted, a);
}

static const struct beryl_acceptor_owner_impl owner_impl
    = { .validated = acceptor_validated };

static void
accept_retry (void *user)
{
  struct accept_task *task = user;

  loop_timer_stop (task->retry_timer);
  task->retry_timer = NULL;
  accept_propose (task);
}

static void
accept_schedule_retry (struct accept_task *task)
{
  if (task->retry_timer == NULL)
    task->retry_timer = loop_timer_start (task->control->loop, RETRY_DELAY_MS,
                                          0, accept_retry, task);
}

static void
entry_discard (struct accept_task *task)
{
  free (task->entry);
  task->entry = NULL;
  g_ptr_array_set_size (task->accepted, 0);
}

static void
entry_report_status (struct accept_task *task)
{
  for (guint i = 0; i < task->accepted->len; i++)
    {
      const struct accepted_object *a = g_ptr_array_index (task->accepted, i);
      struct beryl_validation_result result
          = { a->kind, a->name, a->version, true, "" };

      g_info ("%s %s version %" G_GUINT64_FORMAT
              " accepted in configuration %" G_GUINT64_FORMAT,
              a->kind, a->name, a->version, task->entry_version);
      status_task_validated (task->control->status, &result,
                             task->entry_version);
    }
  counters_add (task->control->counters, "beryl_config_accepted_total", "",
                task->accepted->len);
}

/* Applies an entry of the log to the local configuration. */
static void
entry_apply (struct accept_task *task, const char *text, size_t bytes_count)
{
  char *array = g_strdup_printf ("[%.*s]", (int)bytes_count, text);

  config_task_apply_entries (task->control->config, array, strlen (array),
                             "the acceptor");
  g_free (array);
}

/* The stored entry is authoritative, whether this acceptor or another one
 * wrote it. */
static void
entry_read_back (void *user, const struct beryl_platform_result *result)
{
  struct accept_task *task = user;

  task->request = 0;
  if (result->code == BERYL_OK)
    {
      json_t *stored = json_loadb (result->objects[0].value,
                                   result->objects[0].value_bytes, 0, NULL);
      json_t *ours = json_loadb (task->entry, task->entry_bytes, 0, NULL);

      if (json_equal (stored, ours))
        entry_report_status (task);
      json_decref (stored);
      json_decref (ours);
      entry_discard (task);
      entry_apply (task, result->objects[0].value,
                   result->objects[0].value_bytes);
      /* A new acceptor may be many entries behind. */
      config_task_read_log (task->control->config);
    }
  else
    entry_discard (task);
  accept_schedule_retry (task);
}

static void
entry_read (struct accept_task *task)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = WRITE_MS };
  char name[BERYL_NAME_BYTES];

  beryl_config_log_entry_name (task->entry_version, name);
  task->request = platform_client_get (task->control->platform, &options,
                                       BERYL_ACCEPTED_KIND, name, 0,
                                       entry_read_back, task);
}

static void
entry_written (void *user, const struct beryl_platform_result *result)
{
  struct accept_task *task = user;
  char *entry = task->entry;

  task->request = 0;
  if (result->code == BERYL_ERROR_CONFLICT
      || result->code == BERYL_ERROR_UNKNOWN)
    {
      entry_read (task);
      return;
    }
  if (result->code != BERYL_OK)
    {
      g_warning ("writing log entry %" G_GUINT64_FORMAT " failed",
                 task->entry_version);
      entry_discard (task);
      accept_schedule_retry (task);
      return;
    }
  entry_report_status (task);
  task->entry = NULL;
  entry_discard (task);
  entry_apply (task, entry, task->entry_bytes);
  free (entry);
  checkpoint_start_if_due (task->checkpoint);
  accept_propose (task);
}

static void
entry_write (struct accept_task *task)
{
  struct platform_client_options options
      = { .use = BERYL_USE_CONFIG, .timeout_ms = WRITE_MS };
  char name[BERYL_NAME_BYTES];
  struct beryl_platform_write write = { .kind = BERYL_ACCEPTED_KIND,
                                        .name = name,
                                        .condition = BERYL_IF_ABSENT,
                                        .value = task->entry,
                                        .value_bytes = task->entry_bytes };

  beryl_config_log_entry_name (task->entry_version, name);
  task->request = platform_client_put (task->control->platform, &options,
                                       &write, entry_written, task);
}

static void
accept_propose (struct accept_task *task)
{
  if (task->request != 0 || task->entry != NULL)
    return;
  /* Correctness rests on the conditional create; this check only saves a
   * previous holder the work. */
  if (!role_task_held (task->control->roles, CONTROL_ROLE_ACCEPTOR, NULL))
    return;
  task->entry = beryl_acceptor_propose (task->acceptor, &task->entry_bytes);
  if (task->entry == NULL)
    return;
  task->entry_version
      = beryl_config_log_version (task->control->config_log) + 1;
  entry_write (task);
}

static void
watch_event (void *user, const struct beryl_platform_event *event)
{
  struct watch *w = user;

  beryl_acceptor_observe (
      w->task->acceptor, w->kind, event->object.name, event->object.version,
      event->deleted ? NULL : event->object.value, event->object.value_bytes);
}

static void
watch_synced (void *user, uint64_t revision)
{
  struct watch *w = user;

  beryl_acceptor_synced (w->task->acceptor, w->kind, revision);
  accept_propose (w->task);
}

static const struct platform_watch_callbacks watch_callbacks
    = { .event = watch_event, .synced = watch_synced };

static void
tracker_changed (void *user)
{
  accept_propose (user);
}

void
accept_task_tick (struct accept_task *task)
{
  if (instance_tracker_tick (task->tracker))
    accept_propose (task);
}

void
accept_task_wake (struct accept_task *task)
{
  accept_propose (task);
}

struct accept_task *
accept_task_create (struct control *control)
{
  struct accept_task *task = g_new0 (struct accept_task, 1);

  task->base.impl = &owner_impl;
  task->control = control;
  task->acceptor = beryl_acceptor_create (control->config_log, &task->base);
  task->accepted = g_ptr_array_new_with_free_func (accepted_object_free);
  task->checkpoint = checkpoint_create (control);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      task->watches[i].task = task;
      task->watches[i].kind = kinds[i];
      task->watches[i].watch = platform_client_watch (
          control->platform, BERYL_USE_CONFIG, kinds[i], &watch_callbacks,
          &task->watches[i]);
    }
  task->tracker = instance_tracker_create (control, task->acceptor,
                                           tracker_changed, task);
  return task;
}

void
accept_task_destroy (struct accept_task *task)
{
  if (task == NULL)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    platform_client_unwatch (task->control->platform, task->watches[i].watch);
  instance_tracker_destroy (task->tracker);
  if (task->request != 0)
    platform_client_forget (task->control->platform, task->request);
  loop_timer_stop (task->retry_timer);
  checkpoint_destroy (task->checkpoint);
  beryl_acceptor_destroy (task->acceptor);
  entry_discard (task);
  g_ptr_array_unref (task->accepted);
  g_free (task);
}
