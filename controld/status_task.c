#include "status_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "role_task.h"

#define STATUS_KIND "status"
#define WRITE_MS 5000
/* Time between two writes of this process. */
#define WRITE_INTERVAL_MS 100
/* Shortest time between two writes of the in-force object. */
#define IN_FORCE_INTERVAL_MS 300
/* After a change, the nodes' reports are checked more often for this long,
 * because the operator is waiting for the status. */
#define ROLLOUT_WATCH_MS 5000
#define ROLLOUT_POLL_MS 150
#define BEHIND_MAX 20
#define QUEUE_MAX 20000

struct status_task
{
  struct control *control;
  GHashTable *pending; /* object name to its newest JSON text */
  GQueue queue;        /* names of the pending objects, oldest first */
  struct loop_timer *timer;
  uint64_t request;
  char *in_force; /* text that was queued last */
  int64_t in_force_ms;
  struct loop_timer *rollout_timer; /* runs until rollout_until_ms */
  int64_t rollout_until_ms;
};

static const struct platform_client_options options
    = { .use = BERYL_USE_STATUS, .timeout_ms = WRITE_MS };

struct status_task *
status_task_create (struct control *control)
{
  struct status_task *task = g_new0 (struct status_task, 1);

  task->control = control;
  task->pending
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free);
  return task;
}

void
status_task_destroy (struct status_task *task)
{
  if (task == NULL)
    return;
  if (task->request != 0)
    platform_client_forget (task->control->platform, task->request);
  loop_timer_stop (task->timer);
  loop_timer_stop (task->rollout_timer);
  g_queue_clear_full (&task->queue, g_free);
  g_hash_table_destroy (task->pending);
  g_free (task->in_force);
  g_free (task);
}

static void status_next (void *user);

static void
status_written (void *user, const struct beryl_platform_result *result)
{
  struct status_task *task = user;

  task->request = 0;
  counters_add (
      task->control->counters, "beryl_status_writes_total",
      result->code == BERYL_OK ? "result=\"ok\"" : "result=\"failed\"", 1);
}

/* The last writer wins: the operators' tools check the object version inside
 * the status. */
static void
status_write (struct status_task *task, const char *name, const char *value)
{
  struct beryl_platform_write write = { .kind = STATUS_KIND,
                                        .name = name,
                                        .condition = BERYL_IF_ANY,
                                        .value = value,
                                        .value_bytes = strlen (value) };

  task->request = platform_client_put (task->control->platform, &options,
                                       &write, status_written, task);
}

static void
status_next (void *user)
{
  struct status_task *task = user;
  char *name;

  if (task->request != 0)
    return;
  name = g_queue_pop_head (&task->queue);
  if (name == NULL)
    {
      loop_timer_stop (task->timer);
      task->timer = NULL;
      return;
    }
  status_write (task, name, g_hash_table_lookup (task->pending, name));
  g_hash_table_remove (task->pending, name);
  g_free (name);
}

/* Takes ownership of VALUE.  A newer status replaces a pending one of the
 * same name and keeps its place in the queue. */
static void
status_queue (struct status_task *task, const char *name, char *value)
{
  if (value == NULL || g_hash_table_size (task->pending) >= QUEUE_MAX)
    {
      free (value);
      return;
    }
  if (!g_hash_table_contains (task->pending, name))
    g_queue_push_tail (&task->queue, g_strdup (name));
  g_hash_table_replace (task->pending, g_strdup (name), value);
  if (task->timer == NULL)
    task->timer = loop_timer_start (task->control->loop, 1, WRITE_INTERVAL_MS,
                                    status_next, task);
}

/* Formats "kind.name"; the end is replaced by a hash if that is too long. */
static void
status_name (const char *kind, const char *name, char object[BERYL_NAME_BYTES])
{
  char *whole = g_strconcat (kind, ".", name, NULL);

  if (strlen (whole) < BERYL_NAME_BYTES)
    g_strlcpy (object, whole, BERYL_NAME_BYTES);
  else
    g_snprintf (object, BERYL_NAME_BYTES, "%.46s%016" G_GINT64_MODIFIER "x",
                whole, (guint64)XXH3_64bits (whole, strlen (whole)));
  g_free (whole);
}

void
status_task_validated (struct status_task *task,
                       const struct beryl_validation_result *result,
                       uint64_t version)
{
  json_t *json = json_object ();
  char object[BERYL_NAME_BYTES];

  json_object_set_new (json, "kind", json_string (result->kind));
  json_object_set_new (json, "name", json_string (result->name));
  json_object_set_new (json, "version",
                       json_integer ((json_int_t)result->version));
  json_object_set_new (
      json, "state", json_string (result->accepted ? "accepted" : "rejected"));
  if (result->accepted)
    json_object_set_new (json, "configuration",
                         json_integer ((json_int_t)version));
  else
    json_object_set_new (json, "findings", json_string (result->findings));
  status_name (result->kind, result->name, object);
  status_queue (task, object, json_dumps (json, JSON_COMPACT));
  json_decref (json);
}

static bool
is_counted (const struct status_task *task, const struct beryl_member *member)
{
  return member->state != BERYL_MEMBER_DEAD && !member->leaving
         && member->incarnation != 0
         && strcmp (member->data_centre, task->control->settings.data_centre)
                == 0;
}

/* Unreachable nodes are included: they may still serve with an old
 * configuration. */
static json_t *
in_force_json (const struct status_task *task)
{
  const struct beryl_membership *m = task->control->members;
  uint64_t newest = beryl_config_log_version (task->control->config_log);
  uint64_t lowest = newest;
  json_t *json = json_object ();
  json_t *behind = json_array ();
  json_int_t nodes = 0;

  for (size_t i = 0; i < beryl_membership_count (m); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m, i);

      if (!is_counted (task, member))
        continue;
      nodes++;
      if (member->config_applied < lowest)
        lowest = member->config_applied;
      if (member->config_applied < newest
          && json_array_size (behind) < BEHIND_MAX)
        json_array_append_new (behind, json_string (member->name));
    }
  json_object_set_new (json, "data_centre",
                       json_string (task->control->settings.data_centre));
  json_object_set_new (json, "configuration",
                       json_integer ((json_int_t)lowest));
  json_object_set_new (json, "newest", json_integer ((json_int_t)newest));
  json_object_set_new (json, "nodes", json_integer (nodes));
  json_object_set_new (json, "behind", behind);
  return json;
}

void
status_task_in_force (struct status_task *task)
{
  int64_t now_ms = control_now_ms (task->control);
  char object[BERYL_NAME_BYTES];
  json_t *json;
  char *text;

  if (!role_task_held (task->control->roles, CONTROL_ROLE_WATCHER, NULL)
      || now_ms - task->in_force_ms < IN_FORCE_INTERVAL_MS)
    return;
  json = in_force_json (task);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  if (text == NULL || g_strcmp0 (text, task->in_force) == 0)
    {
      free (text);
      return;
    }
  g_free (task->in_force);
  task->in_force = g_strdup (text);
  task->in_force_ms = now_ms;
  status_name ("in-force", task->control->settings.data_centre, object);
  status_queue (task, object, text);
}

static void
rollout_poll (void *user)
{
  struct status_task *task = user;

  status_task_in_force (task);
  if (control_now_ms (task->control) < task->rollout_until_ms)
    return;
  loop_timer_stop (task->rollout_timer);
  task->rollout_timer = NULL;
}

void
status_task_watch_rollout (struct status_task *task)
{
  if (!role_task_held (task->control->roles, CONTROL_ROLE_WATCHER, NULL))
    return;
  task->rollout_until_ms = control_now_ms (task->control) + ROLLOUT_WATCH_MS;
  if (task->rollout_timer == NULL)
    task->rollout_timer
        = loop_timer_start (task->control->loop, ROLLOUT_POLL_MS,
                            ROLLOUT_POLL_MS, rollout_poll, task);
}
