#include "role_task.h"

#include <glib.h>
#include <stdio.h>

#include "common/stored_lease.h"

/* Nodes that compete for a role; the others do not read its lease. */
#define CANDIDATES 3

/* One lease. */
struct role
{
  struct stored_lease_owner base;
  struct control *control;
  enum control_role role;
  char object[BERYL_NAME_BYTES]; /* name of the lease object */
  const char *data_centre;       /* data centre of the candidates; "": all */
  struct stored_lease *lease;
};

struct role_task
{
  struct control *control;
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
role_changed (struct stored_lease_owner *owner, struct stored_lease *lease,
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

static const struct stored_lease_owner_impl owner_impl
    = { .changed = role_changed };

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
  role->lease
      = stored_lease_create (task->control->loop, task->control->platform,
                             CONTROL_LEASE_KIND, &settings, &role->base);
}

struct role_task *
role_task_create (struct control *control)
{
  struct role_task *task = g_new0 (struct role_task, 1);

  task->control = control;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    role_create (task, (enum control_role)i);
  return task;
}

void
role_task_destroy (struct role_task *task)
{
  if (task == NULL)
    return;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    stored_lease_destroy (task->roles[i].lease);
  g_free (task);
}

void
role_task_update (struct role_task *task)
{
  const struct control *control = task->control;

  if (task->released)
    return;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    {
      struct role *role = &task->roles[i];
      bool wanted = beryl_membership_is_candidate (
          control->members, role->object, role->data_centre, CANDIDATES);

      if (i == CONTROL_ROLE_PLANNER && !control->settings.planner)
        wanted = false;
      /* A holder keeps the role when better candidates join, as moving it
       * would only leave a gap without a holder. */
      stored_lease_want (role->lease,
                         wanted || stored_lease_held (role->lease, NULL));
    }
}

void
role_task_release (struct role_task *task)
{
  task->released = true;
  for (int i = 0; i < CONTROL_ROLE_COUNT; i++)
    stored_lease_want (task->roles[i].lease, false);
}

bool
role_task_held (const struct role_task *task, enum control_role role,
                uint64_t *fence)
{
  return stored_lease_held (task->roles[role].lease, fence);
}

bool
role_task_settled (const struct role_task *task, enum control_role role)
{
  return stored_lease_settled (task->roles[role].lease);
}
