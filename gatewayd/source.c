#include "source.h"

#include <string.h>

/* A watch that is behind a peer's for so long is asked anew. */
#define BEHIND_MS 400
/* And not again for so long: the answer of a slow store must be able to come,
 * or asking anew would keep this node behind for as long as it is slow. */
#define ASK_ANEW_MS 2000
/* How often that and lapsed endpoints are looked at. */
#define EXPIRE_MS 250
/* A line about entries that no endpoint wrote comes so often at most. */
#define FOREIGN_TOLD_MS 1000
/* The store sends a change to all at the same moment, so that a peer that is
 * ahead is only quicker.  What the peer sends would take half of a slow link
 * from the store's answer, which then comes twice as late: a peer is asked if
 * no answer has begun to arrive by then ... */
#define STORE_BEGINS_MS 400
/* ... or it is still arriving then: less than half of the time in which a
 * change must be in force is left. */
#define STORE_ENDS_MS 3500
/* Changes of one answer that are kept to be passed on. */
#define CHANGES_KEPT_MAX 128
/* A node that missed what was passed on looks by itself so often at most. */
#define GAP_MS 400
#define FOREIGN_COUNTER "beryl_foreign_entries_total"

struct source
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct platform_client *client;
  struct beryl_lives *lives;
  struct source_owner *owner;
  uint64_t configuration_watch;
  uint64_t endpoint_watch;
  uint64_t version;  /* of the configuration in use; 0: none */
  uint64_t revision; /* of the configuration object in use */
  GString *value;    /* its text */
  bool has_routes;
  bool has_endpoints;
  bool store_away;
  bool endpoints_changed;
  uint64_t endpoint_revision; /* of the newest change seen */
  uint64_t peer_revision;     /* that a peer has seen */
  int64_t behind_since_ms;    /* 0: not behind */
  int64_t peer_ahead_ms;      /* a peer's configuration, since; 0: not known */
  int64_t asked_anew_ms;      /* 0: never */
  struct loop_timer *expire;
  struct counters *counters;
  uint32_t foreign_untold; /* entries since the last line about them */
  int64_t foreign_told_ms; /* 0: never */
  GArray *changes; /* of the answer that is read, struct entry_change */
  bool changes_complete;
  bool feeding;          /* what is told now comes from a peer */
  uint64_t synced;       /* revision up to which all changes were told */
  int64_t gap_looked_ms; /* 0: never */
};

static void
change_clear (void *item)
{
  g_free ((char *)((struct entry_change *)item)->value);
}

/* Keeps what the store told until all of its answer is read. */
static void
keep_change (struct source *s, const struct beryl_platform_event *event)
{
  struct entry_change change = { .version = event->object.version };

  if (s->feeding)
    return;
  if (s->changes->len == CHANGES_KEPT_MAX)
    {
      s->changes_complete = false;
      return;
    }
  g_strlcpy (change.name, event->object.name, sizeof change.name);
  if (!event->deleted)
    {
      change.value
          = g_strndup (event->object.value, event->object.value_bytes);
      change.value_bytes = event->object.value_bytes;
    }
  g_array_append_val (s->changes, change);
}

static int
compare_versions (const void *a, const void *b)
{
  uint64_t left = ((const struct entry_change *)a)->version;
  uint64_t right = ((const struct entry_change *)b)->version;

  return left < right ? -1 : left > right;
}

/* Passes on what the store's answer brought. */
static void
answer_read (struct source *s, uint64_t revision)
{
  g_array_sort (s->changes, compare_versions);
  if (s->owner->impl->answered != NULL)
    s->owner->impl->answered (s->owner, s->synced, revision,
                              (const struct entry_change *)s->changes->data,
                              s->changes->len, s->changes_complete);
  g_array_set_size (s->changes, 0);
  s->changes_complete = true;
}

/* Uses a configuration unless it is older than the one in use: an answer of
 * the platform and a peer's copy may overtake each other, and what is in
 * force must never go back. */
static void
use_configuration (struct source *s, const struct beryl_object *object,
                   const char *origin)
{
  struct beryl_error error = { 0 };
  struct beryl_routes *routes;

  if (object->version <= s->revision)
    return;
  routes = s->wire->impl->read_routes (s->wire, object, &error);
  if (routes == NULL)
    {
      g_warning ("configuration revision=%" G_GUINT64_FORMAT
                 " from=%s is not used, the last good one stays: %s",
                 object->version, origin, error.message);
      return;
    }
  g_info ("configuration version=%" G_GUINT64_FORMAT
          " revision=%" G_GUINT64_FORMAT
          " from=%s routes=%zu services=%zu in force",
          routes->version, object->version, origin, routes->route_count,
          routes->service_count);
  s->has_routes = true;
  s->version = routes->version;
  s->revision = object->version;
  s->peer_ahead_ms = 0;
  g_string_truncate (s->value, 0);
  g_string_append_len (s->value, object->value, (gssize)object->value_bytes);
  s->owner->impl->routes (s->owner, routes);
}

static void
configuration_event (void *user, const struct beryl_platform_event *event)
{
  struct source *s = user;

  if (!event->deleted
      && strcmp (event->object.name, s->wire->impl->configuration_name) == 0)
    use_configuration (s, &event->object, "platform");
}

void
source_offer (struct source *s, uint64_t revision, const char *value,
              size_t value_bytes)
{
  struct beryl_object object = {
    .kind = s->wire->impl->configuration_kind,
    .name = s->wire->impl->configuration_name,
    .version = revision,
    .value = value,
    .value_bytes = value_bytes,
  };

  use_configuration (s, &object, "peer");
}

uint64_t
source_version (const struct source *s)
{
  return s->version;
}

uint64_t
source_revision (const struct source *s)
{
  return s->revision;
}

const char *
source_value (const struct source *s, size_t *value_bytes)
{
  *value_bytes = s->value->len;
  return s->value->str;
}

/* An entry that no endpoint has written names none to be used, also if one
 * stood there before; the endpoint's next heartbeat brings it back.  A foreign
 * writer may be quick, so that one line a second tells of it. */
static void
entry_unusable (struct source *s, const char *name, const char *why)
{
  int64_t now_ms = loop_now_ms (s->loop);

  counters_add (s->counters, FOREIGN_COUNTER, "", 1);
  beryl_lives_reject (s->lives, name, now_ms);
  s->foreign_untold++;
  if (s->foreign_told_ms != 0 && now_ms - s->foreign_told_ms < FOREIGN_TOLD_MS)
    return;
  g_warning ("endpoint entry '%s' is not used: %s; entries=%u since the last "
             "such line",
             name, why, s->foreign_untold);
  s->foreign_told_ms = now_ms;
  s->foreign_untold = 0;
}

static void
endpoint_event (void *user, const struct beryl_platform_event *event)
{
  struct source *s = user;
  struct beryl_live_info info;
  struct beryl_error error = { 0 };

  s->endpoints_changed = true;
  keep_change (s, event);
  if (event->object.version > s->endpoint_revision)
    s->endpoint_revision = event->object.version;
  if (event->deleted)
    {
      g_info ("endpoint id=%s revision=%" G_GUINT64_FORMAT " gone",
              event->object.name, event->object.version);
      beryl_lives_remove (s->lives, event->object.name, loop_now_ms (s->loop));
      return;
    }
  if (!s->wire->impl->read_endpoint (s->wire, &event->object, &info, &error))
    {
      entry_unusable (s, event->object.name, error.message);
      return;
    }
  g_info ("endpoint id=%s revision=%" G_GUINT64_FORMAT
          " service=%s address=%s:%u stage=%s %s",
          info.id, info.revision, info.service, info.address, info.port,
          beryl_stage_name (info.stage), info.leaving ? "leaving" : "ready");
  beryl_lives_put (s->lives, &info, loop_now_ms (s->loop));
}

static void
endpoints_synced (void *user, uint64_t revision)
{
  struct source *s = user;

  s->has_endpoints = true;
  beryl_lives_synced (s->lives, loop_now_ms (s->loop));
  if (!s->feeding)
    answer_read (s, revision);
  s->synced = MAX (s->synced, revision);
  if (!s->endpoints_changed)
    return;
  s->endpoints_changed = false;
  s->owner->impl->endpoints (s->owner);
}

static const struct platform_watch_callbacks configuration_callbacks
    = { .event = configuration_event };
static const struct platform_watch_callbacks endpoint_callbacks
    = { .event = endpoint_event, .synced = endpoints_synced };

uint64_t
source_endpoint_revision (const struct source *s)
{
  return s->endpoint_revision;
}

void
source_peer_revision (struct source *s, uint64_t revision)
{
  if (revision > s->peer_revision)
    s->peer_revision = revision;
}

/* Looks by itself for changes that were passed on and did not come. */
static void
look_for_gap (struct source *s, uint64_t after)
{
  int64_t now_ms = loop_now_ms (s->loop);

  if (s->gap_looked_ms != 0 && now_ms - s->gap_looked_ms < GAP_MS)
    return;
  s->gap_looked_ms = now_ms;
  g_info ("endpoints missed changes: seen=%" G_GUINT64_FORMAT
          " passed on after=%" G_GUINT64_FORMAT,
          s->synced, after);
  platform_client_poke (s->client, s->endpoint_watch);
}

void
source_feed (struct source *s, const struct changes_message *message)
{
  struct beryl_platform_event events[CHANGES_MAX] = { 0 };
  bool fed;

  for (size_t i = 0; i < message->count; i++)
    {
      const struct entry_change *change = &message->changes[i];

      events[i].watch = s->endpoint_watch;
      events[i].deleted = change->value == NULL;
      events[i].object = (struct beryl_object){
        .kind = s->wire->impl->endpoint_kind,
        .name = change->name,
        .version = change->version,
        .value = change->value,
        .value_bytes = change->value_bytes,
      };
    }
  s->feeding = true;
  fed = platform_client_feed (s->client, s->endpoint_watch, message->after,
                              message->revision, events, message->count);
  s->feeding = false;
  if (!fed && s->has_endpoints)
    look_for_gap (s, message->after);
}

void
source_set_role (struct source *s, enum beryl_relay_role role, int64_t wait_ms)
{
  platform_client_watch_rest (s->client, s->endpoint_watch,
                              role == BERYL_RELAY_FOLLOWER,
                              role == BERYL_RELAY_WATCHER ? wait_ms : 0);
}

bool
source_should_pull (struct source *s)
{
  int64_t now_ms = loop_now_ms (s->loop);
  int64_t wait_ms
      = platform_client_watch_arriving (s->client, s->configuration_watch)
            ? STORE_ENDS_MS
            : STORE_BEGINS_MS;

  if (s->peer_ahead_ms == 0)
    s->peer_ahead_ms = now_ms;
  return now_ms - s->peer_ahead_ms >= wait_ms
         || beryl_platform_is_unreachable (platform_client_core (s->client));
}

/* The waiting watches of all nodes are answered at the same moment.  One that
 * stays behind waits on a connection that went silent. */
static void
check_behind (struct source *s)
{
  int64_t now_ms = loop_now_ms (s->loop);

  if (s->peer_revision <= s->endpoint_revision)
    s->behind_since_ms = 0;
  else if (s->behind_since_ms == 0)
    s->behind_since_ms = now_ms;
  else if (now_ms - s->behind_since_ms >= BEHIND_MS
           && (s->asked_anew_ms == 0
               || now_ms - s->asked_anew_ms >= ASK_ANEW_MS))
    {
      g_info ("endpoints behind peers: seen=%" G_GUINT64_FORMAT
              " peers=%" G_GUINT64_FORMAT,
              s->endpoint_revision, s->peer_revision);
      s->asked_anew_ms = now_ms;
      platform_client_poke (s->client, s->endpoint_watch);
      platform_client_poke (s->client, s->configuration_watch);
    }
}

/* Tells once when the store stops answering, and once when it is back. */
static void
check_store (struct source *s)
{
  bool away = beryl_platform_is_unreachable (platform_client_core (s->client));

  if (away == s->store_away)
    return;
  s->store_away = away;
  if (away)
    g_warning ("store lost, going on with configuration revision="
               "%" G_GUINT64_FORMAT " endpoints revision=%" G_GUINT64_FORMAT,
               s->revision, s->endpoint_revision);
  else
    g_info ("store regained");
}

static void
expire (void *user)
{
  struct source *s = user;

  check_store (s);
  check_behind (s);
  if (!beryl_lives_expire (s->lives, loop_now_ms (s->loop)))
    return;
  g_info ("endpoints that lapsed with the outage are not back: gone");
  s->owner->impl->endpoints (s->owner);
}

struct source *
source_create (struct loop *loop, const struct gateway_wire *wire,
               struct platform_client *client, struct beryl_lives *lives,
               struct counters *counters, struct source_owner *owner)
{
  struct source *s = g_new0 (struct source, 1);

  s->loop = loop;
  s->wire = wire;
  s->client = client;
  s->lives = lives;
  s->counters = counters;
  s->owner = owner;
  s->value = g_string_new (NULL);
  s->changes = g_array_new (FALSE, FALSE, sizeof (struct entry_change));
  g_array_set_clear_func (s->changes, change_clear);
  s->changes_complete = true;
  s->expire = loop_timer_start (loop, EXPIRE_MS, EXPIRE_MS, expire, s);
  s->configuration_watch = platform_client_watch (
      client, BERYL_USE_CONFIG, wire->impl->configuration_kind,
      &configuration_callbacks, s);
  s->endpoint_watch = platform_client_watch (client, BERYL_USE_INSTANCES,
                                             wire->impl->endpoint_kind,
                                             &endpoint_callbacks, s);
  return s;
}

void
source_destroy (struct source *s)
{
  if (s == NULL)
    return;
  platform_client_unwatch (s->client, s->configuration_watch);
  platform_client_unwatch (s->client, s->endpoint_watch);
  loop_timer_stop (s->expire);
  g_string_free (s->value, TRUE);
  g_array_free (s->changes, TRUE);
  g_free (s);
}

bool
source_complete (const struct source *s)
{
  return s->has_routes && s->has_endpoints;
}
