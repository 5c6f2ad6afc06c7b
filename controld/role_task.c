#include "role_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "beryl/lease.h"
#include "common/ticker.h"

/* Nodes that compete for a role; the others do not read its object. */
#define CONTENDERS 3

/* One lease and its object. */
struct role
{
  struct beryl_lease_owner base;
  struct control *control;
  struct role_task *task;
  enum control_role role;
  char object[BERYL_NAME_BYTES]; /* its name in the platform */
  const char *data_centre;       /* "": all */
  struct beryl_lease *lease;
};

struct role_task
{
  struct control *control;
  struct ticker *ticker;
  struct role roles[CONTROL_ROLE_COUNT];
  bool released;
};

static const char *const role_names[CONTROL_ROLE_COUNT] = {
  [CONTROL_ROLE_WATCHER] = "watcher",
  [CONTROL_ROLE_ACCEPTOR] = "acceptor",
  [CONTROL_ROLE_PLANNER] = "planner",
};

const char *
control_role_name (enum control_role role)
{
  return role_names[role];
}

static void
task_arm (struct role_task *task)
{
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    ticker_set (task->ticker, beryl_lease_next_ms (task->roles[i].lease));
}

static bool
record_parse (const struct beryl_object *object,
              struct beryl_lease_record *record)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  const char *holder = json_string_value (json_object_get (json, "holder"));
  const char *nonce = json_string_value (json_object_get (json, "nonce"));

  record->version = object->version;
  if (holder != NULL)
    g_strlcpy (record->holder, holder, sizeof record->holder);
  if (nonce != NULL)
    record->nonce = g_ascii_strtoull (nonce, NULL, 16);
  record->ttl_ms
      = (int64_t)json_integer_value (json_object_get (json, "ttl_ms"));
  json_decref (json);
  return holder != NULL;
}

static void
role_read_done (void *user, const struct beryl_platform_result *result)
{
  struct role *role = user;
  struct beryl_lease_record record = { 0 };
  int64_t now_ms = control_now_ms (role->control);

  if (result->code == BERYL_ERROR_NOT_FOUND
      || (result->code == BERYL_OK
          && record_parse (&result->objects[0], &record)))
    beryl_lease_read_done (role->lease, &record, now_ms);
  else
    beryl_lease_read_failed (role->lease, now_ms);
  task_arm (role->task);
}

static struct platform_client_options
role_options (const struct role *role)
{
  struct platform_client_options options
      = { .use = BERYL_USE_LEASE,
          .timeout_ms = role->control->settings.lease_ttl_ms / 2 };

  return options;
}

static void
role_read (struct beryl_lease_owner *owner, struct beryl_lease *lease)
{
  struct role *role = (struct role *)owner;
  struct platform_client_options options = role_options (role);

  (void)lease;
  platform_client_get (role->control->platform, &options, CONTROL_LEASE_KIND,
                       role->object, 0, role_read_done, role);
}

static void
role_write_done (void *user, const struct beryl_platform_result *result)
{
  struct role *role = user;
  enum beryl_lease_write outcome = BERYL_LEASE_FAILED;

  if (result->code == BERYL_OK)
    outcome = BERYL_LEASE_WRITTEN;
  else if (result->code == BERYL_ERROR_CONFLICT)
    outcome = BERYL_LEASE_CONFLICT;
  else if (result->code == BERYL_ERROR_UNKNOWN)
    outcome = BERYL_LEASE_UNKNOWN;
  beryl_lease_write_done (role->lease, outcome, result->version,
                          control_now_ms (role->control));
  task_arm (role->task);
}

static void
role_write (struct beryl_lease_owner *owner, struct beryl_lease *lease,
            const struct beryl_lease_record *record)
{
  struct role *role = (struct role *)owner;
  struct platform_client_options options = role_options (role);
  char value[256];
  struct beryl_platform_write write
      = { .kind = CONTROL_LEASE_KIND, .name = role->object, .value = value };

  (void)lease;
  /* The number is written as text: JSON numbers are not exact to 64 bits
   * everywhere. */
  write.value_bytes = (size_t)snprintf (
      value, sizeof value,
      "{\"holder\":\"%s\",\"nonce\":\"%016" G_GINT64_MODIFIER
      "x\",\"ttl_ms\":%" G_GINT64_FORMAT "}",
      record->holder, record->nonce, record->ttl_ms);
  write.condition = record->version != 0 ? BERYL_IF_VERSION : BERYL_IF_ABSENT;
  write.version = record->version;
  platform_client_put (role->control->platform, &options, &write,
                       role_write_done, role);
}

static void
role_changed (struct beryl_lease_owner *owner, struct beryl_lease *lease,
              uint64_t fence)
{
  struct role *role = (struct role *)owner;

  (void)lease;
  g_info ("role %s %s, fence %" G_GUINT64_FORMAT, role->object,
          fence != 0 ? "won" : "lost", fence);
  counters_add (role->control->counters, "beryl_lease_changes_total",
                fence != 0 ? "change=\"won\"" : "change=\"lost\"", 1);
  control_role_changed (role->control, role->role, fence);
}

static const struct beryl_lease_owner_impl owner_impl = {
  .read = role_read,
  .write = role_write,
  .changed = role_changed,
};

static void
task_tick (void *user)
{
  struct role_task *task = user;
  int64_t now_ms = control_now_ms (task->control);

  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    if (beryl_lease_next_ms (task->roles[i].lease) <= now_ms)
      beryl_lease_tick (task->roles[i].lease, now_ms);
  task_arm (task);
}

static void
role_create (struct role_task *task, enum control_role which)
{
  struct role *role = &task->roles[which];
  const struct control_settings *from = &task->control->settings;
  struct beryl_lease_settings settings = {
    .name = role->object,
    .holder = from->node,
    .ttl_ms = from->lease_ttl_ms,
    .margin_ms = from->lease_margin_ms,
    .poll_ms = from->lease_ttl_ms / 3,
    .settle_ms = from->pause_bound_ms + from->delivery_bound_ms,
  };

  role->base.impl = &owner_impl;
  role->control = task->control;
  role->task = task;
  role->role = which;
  role->data_centre = which == CONTROL_ROLE_WATCHER
                          ? task->control->settings.data_centre
                          : "";
  if (which == CONTROL_ROLE_WATCHER)
    g_snprintf (role->object, sizeof role->object, "watcher.%.54s",
                from->data_centre);
  else
    g_strlcpy (role->object, role_names[which], sizeof role->object);
  settings.seed = control_random (task->control, UINT64_MAX);
  role->lease = beryl_lease_create (&settings, &role->base);
}

struct role_task *
role_task_create (struct control *control)
{
  struct role_task *task = g_new0 (struct role_task, 1);

  task->control = control;
  task->ticker = ticker_create (control->loop, task_tick, task);
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    role_create (task, (enum control_role)i);
  return task;
}

void
role_task_destroy (struct role_task *task)
{
  if (task == NULL)
    return;
  ticker_destroy (task->ticker);
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    beryl_lease_destroy (task->roles[i].lease);
  g_free (task);
}

void
role_task_update (struct role_task *task)
{
  const struct control *control = task->control;
  int64_t now_ms = control_now_ms (control);

  if (task->released)
    return;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    {
      struct role *role = &task->roles[i];
      bool wanted = beryl_membership_stands_for (
          control->members, role->object, role->data_centre, CONTENDERS);

      if (i == CONTROL_ROLE_PLANNER && !control->settings.planner)
        wanted = false;
      /* A holder stays: when others join, moving the role would only cost
       * a gap. */
      beryl_lease_want (role->lease,
                        wanted || beryl_lease_held (role->lease, now_ms, NULL),
                        now_ms);
    }
  task_arm (task);
}

void
role_task_release (struct role_task *task)
{
  task->released = true;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    beryl_lease_want (task->roles[i].lease, false,
                      control_now_ms (task->control));
}

bool
role_task_held (const struct role_task *task, enum control_role role,
                uint64_t *fence)
{
  return beryl_lease_held (task->roles[role].lease,
                           control_now_ms (task->control), fence);
}

bool
role_task_settled (const struct role_task *task, enum control_role role)
{
  return beryl_lease_settled (task->roles[role].lease,
                              control_now_ms (task->control));
}
