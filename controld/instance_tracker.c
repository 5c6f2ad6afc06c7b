#include "instance_tracker.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "orphaned_drains.h"

/* The instance list counts as a witness only if it was read lately. */
#define LIST_CURRENT_MS 60000
/* How long an endpoint must be listed without "leaving" before it is taken
 * back: the list flaps, and each flap would be an entry. */
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
  GHashTable *drained; /* endpoints that the planner drains */
  struct orphaned_drains *orphans;
  struct beryl_instance *list;
  size_t list_count;
  uint64_t list_revision; /* 0: not read yet */
  int64_t list_read_ms;   /* when it was read; 0: never */
  GHashTable *leaving;    /* endpoint name to the last time it was leaving */
};

/* Facts may go only once both their sources are known: an acceptor that has
 * just taken over would take drained engines back for a moment. */
static void
tracker_synced (struct instance_tracker *f)
{
  if (f->drains_known && f->list_revision != 0)
    beryl_acceptor_synced (f->acceptor, BERYL_INSTANCE_KIND, f->list_revision);
  f->changed (f->user);
}

static void
leaving_observe (struct instance_tracker *f, const char *name,
                 uint64_t revision)
{
  static const char fact[] = "{\"leaving\":true}";
  int64_t *seen_ms = g_new (int64_t, 1);

  *seen_ms = control_now_ms (f->control);
  g_hash_table_replace (f->leaving, g_strdup (name), seen_ms);
  beryl_acceptor_observe (f->acceptor, BERYL_INSTANCE_KIND, name, revision,
                          fact, sizeof fact - 1);
}

static void
instances_changed (void *user, uint64_t revision,
                   const struct beryl_instance *items, size_t count)
{
  struct instance_tracker *f = user;

  g_free (f->list);
  f->list = g_memdup2 (items, count * sizeof *items);
  f->list_count = count;
  f->list_read_ms = control_now_ms (f->control);
  for (size_t i = 0; i < count; i++)
    if (!items[i].is_entry && items[i].leaving)
      leaving_observe (f, items[i].name, revision);
  /* 0 stands for "not read"; an empty list may have no revision yet. */
  f->list_revision = revision != 0 ? revision : 1;
  tracker_synced (f);
}

static void
instances_synced (void *user, uint64_t revision)
{
  struct instance_tracker *f = user;

  (void)revision;
  f->list_read_ms = control_now_ms (f->control);
}

static const struct platform_watch_callbacks instance_callbacks
    = { .instances = instances_changed, .synced = instances_synced };

/* One that operators wrote is theirs to delete. */
static bool
is_by_planner (const struct beryl_object *object)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  const char *by = json_string_value (json_object_get (json, "by"));
  bool planner = by != NULL && strcmp (by, "planner") == 0;

  json_decref (json);
  return planner;
}

/* The planner's own word does not flap; its end counts at once. */
static void
drain_event (void *user, const struct beryl_platform_event *event)
{
  struct instance_tracker *f = user;
  const char *name = event->object.name;

  if (event->deleted)
    {
      int64_t *seen_ms = g_hash_table_lookup (f->leaving, name);

      g_hash_table_remove (f->drained, name);
      orphaned_drains_observe (f->orphans, name, 0);
      if (seen_ms != NULL)
        *seen_ms = control_now_ms (f->control) - LEAVING_HOLD_MS;
      return;
    }
  g_hash_table_add (f->drained, g_strdup (name));
  if (is_by_planner (&event->object))
    orphaned_drains_observe (f->orphans, name, event->object.version);
  leaving_observe (f, name, event->object.version);
  f->changed (f->user);
}

static void
drains_synced (void *user, uint64_t revision)
{
  struct instance_tracker *f = user;

  (void)revision;
  f->drains_known = true;
  tracker_synced (f);
}

static const struct platform_watch_callbacks drain_callbacks
    = { .event = drain_event, .synced = drains_synced };

static bool
list_says_leaving (const struct instance_tracker *f, const char *name)
{
  if (g_hash_table_contains (f->drained, name))
    return true;
  for (size_t i = 0; i < f->list_count; i++)
    if (strcmp (f->list[i].name, name) == 0)
      return f->list[i].leaving;
  return false;
}

/* Takes endpoints back that have been listed without "leaving" for long, or
 * are not listed any more. */
static void
leaving_expire (struct instance_tracker *f)
{
  int64_t now_ms = control_now_ms (f->control);
  GHashTableIter iter;
  void *name;
  void *value;

  g_hash_table_iter_init (&iter, f->leaving);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      int64_t *seen_ms = value;

      if (list_says_leaving (f, name))
        *seen_ms = now_ms;
      if (now_ms - *seen_ms < LEAVING_HOLD_MS)
        continue;
      beryl_acceptor_observe (f->acceptor, BERYL_INSTANCE_KIND, name, 0, NULL,
                              0);
      g_hash_table_iter_remove (&iter);
    }
}

static void
membership_update (struct instance_tracker *f)
{
  struct beryl_listed_instance *listed
      = g_new0 (struct beryl_listed_instance, f->list_count + 1);
  size_t count = 0;

  for (size_t i = 0; i < f->list_count; i++)
    {
      const struct beryl_instance *from = &f->list[i];
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
  beryl_membership_set_instances (f->control->members, listed, count,
                                  control_now_ms (f->control));
  g_free (listed);
}

bool
instance_tracker_tick (struct instance_tracker *f)
{
  orphaned_drains_tick (f->orphans);
  if (f->list_read_ms == 0)
    return false;
  leaving_expire (f);
  if (control_now_ms (f->control) - f->list_read_ms < LIST_CURRENT_MS
      && !beryl_platform_is_unreachable (
          platform_client_core (f->control->platform)))
    membership_update (f);
  return true;
}

struct instance_tracker *
instance_tracker_create (struct control *control,
                         struct beryl_acceptor *acceptor,
                         instance_tracker_changed_cb *moved, void *user)
{
  struct instance_tracker *f = g_new0 (struct instance_tracker, 1);

  f->control = control;
  f->acceptor = acceptor;
  f->changed = moved;
  f->user = user;
  f->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->orphans = orphaned_drains_create (control);
  f->drain_watch
      = platform_client_watch (control->platform, BERYL_USE_CONFIG,
                               BERYL_DRAIN_KIND, &drain_callbacks, f);
  f->instance_watch = platform_client_watch_instances (control->platform,
                                                       &instance_callbacks, f);
  return f;
}

void
instance_tracker_destroy (struct instance_tracker *f)
{
  if (f == NULL)
    return;
  platform_client_unwatch (f->control->platform, f->instance_watch);
  platform_client_unwatch (f->control->platform, f->drain_watch);
  orphaned_drains_destroy (f->orphans);
  g_hash_table_destroy (f->leaving);
  g_hash_table_destroy (f->drained);
  g_free (f->list);
  g_free (f);
}
