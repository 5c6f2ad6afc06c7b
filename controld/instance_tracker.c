#include "instance_tracker.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "orphaned_drains.h"

/* Oldest instance list that may confirm the members. */
#define LIST_CURRENT_MS 60000
/* How long an endpoint must be listed without "leaving" before its fact is
 * withdrawn.  The list flaps, and each flap would create a log entry. */
#define LEAVING_HOLD_MS 10000

struct instance_tracker
{
  struct control *control;
  struct beryl_acceptor *acceptor; /* borrowed */
  instance_tracker_changed_cb *changed;
  void *user;
  uint64_t instance_watch;
  uint64_t drain_watch;
  bool drains_known;
  GHashTable *drained; /* names of endpoints with a drain */
  struct orphaned_drains *orphans;
  struct beryl_instance *list;
  size_t list_count;
  uint64_t list_revision; /* 0: not read yet */
  int64_t list_read_ms;   /* time of the last read; 0: never */
  GHashTable *leaving;    /* endpoint to the time it was last seen
                           * leaving, int64_t * in ms */
};

/* Facts may be withdrawn only once both sources are known.  Otherwise a new
 * acceptor would briefly withdraw the facts of drained engines. */
static void
tracker_synced (struct instance_tracker *t)
{
  if (t->drains_known && t->list_revision != 0)
    beryl_acceptor_synced (t->acceptor, BERYL_INSTANCE_KIND, t->list_revision);
  t->changed (t->user);
}

static void
leaving_observe (struct instance_tracker *t, const char *name,
                 uint64_t revision)
{
  static const char fact[] = "{\"leaving\":true}";
  int64_t *seen_ms = g_new (int64_t, 1);

  *seen_ms = control_now_ms (t->control);
  g_hash_table_replace (t->leaving, g_strdup (name), seen_ms);
  beryl_acceptor_observe (t->acceptor, BERYL_INSTANCE_KIND, name, revision,
                          fact, sizeof fact - 1);
}

static void
instances_changed (void *user, uint64_t revision,
                   const struct beryl_instance *items, size_t count)
{
  struct instance_tracker *t = user;

  g_free (t->list);
  t->list = g_memdup2 (items, count * sizeof *items);
  t->list_count = count;
  t->list_read_ms = control_now_ms (t->control);
  for (size_t i = 0; i < count; i++)
    if (!items[i].is_entry && items[i].leaving)
      leaving_observe (t, items[i].name, revision);
  /* 0 means "not read", but an empty list may have no revision yet. */
  t->list_revision = revision != 0 ? revision : 1;
  tracker_synced (t);
}

static void
instances_synced (void *user, uint64_t revision)
{
  struct instance_tracker *t = user;

  (void)revision;
  t->list_read_ms = control_now_ms (t->control);
}

static const struct platform_watch_callbacks instance_callbacks
    = { .instances = instances_changed, .synced = instances_synced };

/* Drains that operators wrote are left for them to delete. */
static bool
is_by_planner (const struct beryl_object *object)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  const char *by = json_string_value (json_object_get (json, "by"));
  bool planner = by != NULL && strcmp (by, "planner") == 0;

  json_decref (json);
  return planner;
}

/* Drain objects do not flap, so a deleted drain needs no hold time. */
static void
drain_event (void *user, const struct beryl_platform_event *event)
{
  struct instance_tracker *t = user;
  const char *name = event->object.name;

  if (event->deleted)
    {
      int64_t *seen_ms = g_hash_table_lookup (t->leaving, name);

      g_hash_table_remove (t->drained, name);
      orphaned_drains_observe (t->orphans, name, 0);
      if (seen_ms != NULL)
        *seen_ms = control_now_ms (t->control) - LEAVING_HOLD_MS;
      return;
    }
  g_hash_table_add (t->drained, g_strdup (name));
  if (is_by_planner (&event->object))
    orphaned_drains_observe (t->orphans, name, event->object.version);
  leaving_observe (t, name, event->object.version);
  t->changed (t->user);
}

static void
drains_synced (void *user, uint64_t revision)
{
  struct instance_tracker *t = user;

  (void)revision;
  t->drains_known = true;
  tracker_synced (t);
}

static const struct platform_watch_callbacks drain_callbacks
    = { .event = drain_event, .synced = drains_synced };

static bool
list_says_leaving (const struct instance_tracker *t, const char *name)
{
  if (g_hash_table_contains (t->drained, name))
    return true;
  for (size_t i = 0; i < t->list_count; i++)
    if (strcmp (t->list[i].name, name) == 0)
      return t->list[i].leaving;
  return false;
}

/* Withdraws the facts of endpoints that have not been leaving for
 * LEAVING_HOLD_MS, or are no longer listed. */
static void
leaving_expire (struct instance_tracker *t)
{
  int64_t now_ms = control_now_ms (t->control);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, t->leaving);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      int64_t *seen_ms = value;

      if (list_says_leaving (t, name))
        *seen_ms = now_ms;
      if (now_ms - *seen_ms < LEAVING_HOLD_MS)
        continue;
      beryl_acceptor_observe (t->acceptor, BERYL_INSTANCE_KIND, name, 0, NULL,
                              0);
      g_hash_table_iter_remove (&iter);
    }
}

static void
membership_update (struct instance_tracker *t)
{
  struct beryl_listed_instance *listed
      = g_new0 (struct beryl_listed_instance, t->list_count + 1);
  size_t count = 0;

  for (size_t i = 0; i < t->list_count; i++)
    {
      const struct beryl_instance *from = &t->list[i];
      struct beryl_listed_instance *to = &listed[count];

      if (!from->is_entry)
        continue;
      g_strlcpy (to->name, from->name, sizeof to->name);
      g_strlcpy (to->address, from->address, sizeof to->address);
      to->port = from->port;
      g_strlcpy (to->data_centre, from->data_centre, sizeof to->data_centre);
      g_strlcpy (to->region, from->region, sizeof to->region);
      to->leaving = from->leaving;
      count++;
    }
  beryl_membership_set_instances (t->control->members, listed, count,
                                  control_now_ms (t->control));
  g_free (listed);
}

bool
instance_tracker_tick (struct instance_tracker *t)
{
  orphaned_drains_tick (t->orphans);
  if (t->list_read_ms == 0)
    return false;
  leaving_expire (t);
  if (control_now_ms (t->control) - t->list_read_ms < LIST_CURRENT_MS
      && !beryl_platform_is_unreachable (
          platform_client_core (t->control->platform)))
    membership_update (t);
  return true;
}

struct instance_tracker *
instance_tracker_create (struct control *control,
                         struct beryl_acceptor *acceptor,
                         instance_tracker_changed_cb *moved, void *user)
{
  struct instance_tracker *t = g_new0 (struct instance_tracker, 1);

  t->control = control;
  t->acceptor = acceptor;
  t->changed = moved;
  t->user = user;
  t->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->orphans = orphaned_drains_create (control);
  t->drain_watch
      = platform_client_watch (control->platform, BERYL_USE_CONFIG,
                               BERYL_DRAIN_KIND, &drain_callbacks, t);
  t->instance_watch = platform_client_watch_instances (control->platform,
                                                       &instance_callbacks, t);
  return t;
}

void
instance_tracker_destroy (struct instance_tracker *t)
{
  if (t == NULL)
    return;
  platform_client_unwatch (t->control->platform, t->instance_watch);
  platform_client_unwatch (t->control->platform, t->drain_watch);
  orphaned_drains_destroy (t->orphans);
  g_hash_table_destroy (t->leaving);
  g_hash_table_destroy (t->drained);
  g_free (t->list);
  g_free (t);
}
