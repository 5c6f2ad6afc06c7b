#include "control.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "accept_task.h"
#include "cleanup_task.h"
#include "config_task.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "metrics_task.h"
#include "planner_task.h"
#include "role_task.h"
#include "status_task.h"

#define TICK_MS 1000
/* Delay before a node without a configuration reads it from the platform;
 * a peer may provide it first. */
#define BOOTSTRAP_MS 300
/* Spreads the reads of nodes that start together. */
#define BOOTSTRAP_JITTER_MS 500
/* Time without contact to peers and without confirmed configuration after
 * which the log is read from the platform. */
#define CONTACT_TIMEOUT_MS 10000
/* Longest wait for entryd to disconnect in a planned stop. */
#define ENTRY_STOP_TIMEOUT_MS 600000
/* Time for gossip to spread that this node leaves. */
#define LEAVE_ANNOUNCE_MS 1500

int64_t
control_now_ms (const struct control *control)
{
  return loop_now_ms (control->loop);
}

uint64_t
control_random (struct control *control, uint64_t limit)
{
  uint64_t z = (control->random += 0x9e3779b97f4a7c15U);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return (z ^ (z >> 31)) % limit;
}

void
control_applied_changed (struct control *control)
{
  beryl_membership_set_applied (control->members,
                                entry_task_applied (control->entry),
                                control_now_ms (control));
  gossip_task_wake (control->gossip);
}

void
control_config_changed (struct control *control)
{
  beryl_membership_set_config (control->members,
                               beryl_config_log_version (control->config_log),
                               control_now_ms (control));
  control_applied_changed (control);
  gossip_task_wake (control->gossip);
  entry_task_wake (control->entry);
  status_task_watch_rollout (control->status);
  if (control->accept != NULL)
    accept_task_wake (control->accept);
  if (control->planner != NULL)
    planner_task_config (control->planner);
}

void
control_member_changed (struct control *control,
                        const struct beryl_member *member)
{
  if (control->cleanup == NULL)
    return;
  if (member->state == BERYL_MEMBER_DEAD)
    cleanup_task_cancel_node (control->cleanup, member->name, 0);
  else if (member->state == BERYL_MEMBER_ALIVE
           && member->entry_incarnation != 0)
    cleanup_task_cancel_node (control->cleanup, member->name,
                              member->entry_incarnation);
  entry_task_wake (control->entry);
}

void
control_role_changed (struct control *control, enum control_role role,
                      uint64_t fence)
{
  static const enum beryl_member_role bits[CONTROL_ROLE_COUNT] = {
    [CONTROL_ROLE_WATCHER] = BERYL_MEMBER_WATCHER,
    [CONTROL_ROLE_ACCEPTOR] = BERYL_MEMBER_ACCEPTOR,
    [CONTROL_ROLE_PLANNER] = BERYL_MEMBER_PLANNER,
  };

  beryl_membership_set_role (control->members, bits[role], fence != 0,
                             control_now_ms (control));
  gossip_task_wake (control->gossip);
  if (role == CONTROL_ROLE_WATCHER)
    config_task_watch (control->config, fence != 0);
  if (role == CONTROL_ROLE_ACCEPTOR)
    {
      accept_task_destroy (control->accept);
      control->accept = fence != 0 ? accept_task_create (control) : NULL;
    }
  if (role == CONTROL_ROLE_PLANNER)
    {
      planner_task_destroy (control->planner);
      control->planner = fence != 0 ? planner_task_create (control) : NULL;
    }
}

void
control_entry_changed (struct control *control)
{
  gossip_task_wake (control->gossip);
  entry_task_wake (control->entry);
  if (control->leave_announced && !entry_task_connected (control->entry))
    loop_quit (control->loop);
}

void
control_report_loads (struct control *control, const struct local_loads *loads,
                      const char *node)
{
  if (control->planner != NULL)
    planner_task_report_loads (control->planner, loads, node);
}

static const struct beryl_member *
planner_find (const struct control *control)
{
  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);

      if ((m->roles & BERYL_MEMBER_PLANNER) != 0
          && m->state == BERYL_MEMBER_ALIVE)
        return m;
    }
  return NULL;
}

void
control_report_local_loads (struct control *control,
                            const struct local_loads *loads)
{
  const struct beryl_member *planner = planner_find (control);

  if (planner == NULL)
    return;
  if (planner == beryl_membership_self (control->members))
    control_report_loads (control, loads, control->settings.node);
  else
    gossip_task_send_loads (control->gossip, planner, loads);
}

static void
instances_listed (void *user, uint64_t revision,
                  const struct beryl_instance *items, size_t count)
{
  struct control *control = user;
  struct beryl_listed_instance *listed
      = g_new0 (struct beryl_listed_instance, count + 1);
  size_t entries = 0;

  (void)revision;
  for (size_t i = 0; i < count; i++)
    {
      struct beryl_listed_instance *to = &listed[entries];

      if (!items[i].is_entry)
        continue;
      g_strlcpy (to->name, items[i].name, sizeof to->name);
      g_strlcpy (to->address, items[i].address, sizeof to->address);
      g_strlcpy (to->data_centre, items[i].data_centre,
                 sizeof to->data_centre);
      g_strlcpy (to->region, items[i].region, sizeof to->region);
      to->port = items[i].port;
      to->leaving = items[i].leaving;
      entries++;
    }
  beryl_membership_set_instances (control->members, listed, entries,
                                  control_now_ms (control));
  g_free (listed);
  gossip_task_wake (control->gossip);
  /* Needed for the first contact only; afterwards the acceptor watches the
   * list on behalf of all nodes. */
  if (beryl_membership_count (control->members) > 1 || entries > 0)
    {
      platform_client_unwatch (control->platform, control->seed_watch);
      control->seed_watch = 0;
    }
}

static const struct platform_watch_callbacks seed_callbacks
    = { .instances = instances_listed };

static bool
has_lost_contact (const struct control *control)
{
  int64_t now_ms = control_now_ms (control);
  int64_t stale_ms = beryl_membership_config_age_ms (control->members, now_ms);

  return beryl_membership_count (control->members) > 1
         && now_ms - beryl_membership_last_contact_ms (control->members)
                > CONTACT_TIMEOUT_MS
         && (stale_ms < 0 || stale_ms > CONTACT_TIMEOUT_MS);
}

/* A node with peers gets the configuration from them or from its watcher.
 * While no configuration exists at all, reading the log here as well would
 * make the whole fleet read it every second. */
static bool
needs_log (const struct control *control)
{
  if (has_lost_contact (control))
    return true;
  return beryl_config_log_version (control->config_log) == 0
         && !gossip_task_has_peers (control->gossip);
}

static void
control_tick (void *user)
{
  struct control *control = user;

  if (control->stopping)
    return;
  gossip_task_contact_seeds (control->gossip);
  role_task_update (control->roles);
  status_task_in_force (control->status);
  cleanup_task_tick (control->cleanup);
  if (control->accept != NULL)
    accept_task_tick (control->accept);
  if (needs_log (control))
    config_task_read_log (control->config);
}

static void
control_bootstrap (void *user)
{
  struct control *control = user;

  loop_timer_stop (control->bootstrap_timer);
  control->bootstrap_timer = NULL;
  gossip_task_contact_seeds (control->gossip);
  role_task_update (control->roles);
  if (beryl_config_log_version (control->config_log) == 0)
    config_task_read_log (control->config);
}

static struct platform_client *
platform_create (struct control *control)
{
  const struct control_settings *from = &control->settings;
  struct platform_client_settings settings
      = { .address = from->platform_address, .port = from->platform_port };
  struct platform_client *client;
  char *token = NULL;

  if (from->platform_token_file[0] != '\0'
      && g_file_get_contents (from->platform_token_file, &token, NULL, NULL))
    settings.token = g_strstrip (token);
  settings.seed = control_random (control, UINT64_MAX);
  client = platform_client_create (control->loop, control->http, &settings,
                                   control->counters);
  g_free (token);
  return client;
}

static void
random_init (struct control *control)
{
  control->random = control->settings.seed;
  if (control->random == 0
      && getrandom (&control->random, sizeof control->random, 0) < 0)
    control->random = (uint64_t)g_get_real_time ();
}

struct control *
control_create (const struct control_settings *settings, struct loop *loop,
                struct http_context *http, struct beryl_error *error)
{
  struct control *control = g_new0 (struct control, 1);

  control->settings = *settings;
  control->loop = loop;
  control->http = http;
  random_init (control);
  control->counters = counters_create ();
  control->platform = platform_create (control);
  control->config = config_task_create (control);
  control->gossip = gossip_task_create (control, error);
  if (control->gossip != NULL)
    control->entry = entry_task_create (control, error);
  if (control->entry != NULL)
    control->metrics = metrics_task_create (control, error);
  if (control->metrics == NULL)
    {
      control_close (control);
      control_destroy (control);
      return NULL;
    }
  control->status = status_task_create (control);
  control->cleanup = cleanup_task_create (control);
  control->roles = role_task_create (control);
  control->seed_watch = platform_client_watch_instances (
      control->platform, &seed_callbacks, control);
  control->tick_timer
      = loop_timer_start (loop, TICK_MS, TICK_MS, control_tick, control);
  control->bootstrap_timer = loop_timer_start (
      loop,
      BOOTSTRAP_MS + (int64_t)control_random (control, BOOTSTRAP_JITTER_MS), 0,
      control_bootstrap, control);
  return control;
}

static void
control_finish_stop (void *user)
{
  struct control *control = user;

  loop_timer_stop (control->stop_timer);
  control->stop_timer = NULL;
  control->leave_announced = true;
  if (!entry_task_connected (control->entry))
    {
      loop_quit (control->loop);
      return;
    }
  g_info ("waiting for entryd to disconnect");
  control->stop_timer = loop_timer_start (control->loop, ENTRY_STOP_TIMEOUT_MS,
                                          0, control_finish_stop, control);
}

void
control_stop (struct control *control)
{
  control->stopping = true;
  g_info ("stopping: leaving the membership and releasing the roles");
  beryl_membership_leave (control->members, control_now_ms (control));
  gossip_task_wake (control->gossip);
  entry_task_wake (control->entry);
  role_task_release (control->roles);
  control->stop_timer = loop_timer_start (control->loop, LEAVE_ANNOUNCE_MS, 0,
                                          control_finish_stop, control);
}

void
control_close (struct control *control)
{
  loop_timer_stop (control->tick_timer);
  loop_timer_stop (control->bootstrap_timer);
  loop_timer_stop (control->stop_timer);
  accept_task_destroy (control->accept);
  planner_task_destroy (control->planner);
  role_task_destroy (control->roles);
  cleanup_task_destroy (control->cleanup);
  status_task_destroy (control->status);
  entry_task_destroy (control->entry);
  gossip_task_destroy (control->gossip);
  config_task_destroy (control->config);
  platform_client_destroy (control->platform);
}

void
control_destroy (struct control *control)
{
  metrics_task_destroy (control->metrics);
  beryl_membership_destroy (control->members);
  beryl_config_log_destroy (control->config_log);
  counters_destroy (control->counters);
  g_free (control);
}
