#include "platform_source.h"

#include <string.h>

#include "beryl/revision.h"
/* The store is polled if this node's endpoint list has been older than a
 * peer's for this long. */
#define BEHIND_MAX_MS 400
/* Minimum interval between such polls.  A slow store must be given time to
 * respond, or polling would keep this node behind for as long as the store is
 * slow. */
#define POLL_INTERVAL_MS 2000
/* Interval at which the watches, the store and expired endpoints are
 * checked. */
#define CHECK_INTERVAL_MS 250
/* Minimum interval between log lines about invalid entries. */
#define INVALID_LOG_INTERVAL_MS 1000
/* Changes of one response that are buffered to be relayed. */
#define BUFFERED_CHANGES_MAX 128
/* Minimum interval between polls because of missed relayed changes. */
#define GAP_POLL_INTERVAL_MS 400
/* Minimum interval between polls that confirm the endpoint list. */
#define CONFIRM_INTERVAL_MS 100
#define INVALID_ENTRY_COUNTER "beryl_foreign_entries_total"

struct platform_source
{
  struct loop *loop;
  const struct gateway_wire *wire;
  struct platform_client *client;
  struct beryl_live_set *endpoints;
  struct platform_source_owner *owner;
  uint64_t endpoint_watch;
  bool has_endpoints;
  bool store_unreachable;
  bool endpoints_dirty;
  uint64_t endpoint_revision; /* newest change seen here */
  uint64_t peer_revision;     /* newest change seen by a peer */
  int64_t behind_since_ms;    /* 0 if not behind */
  int64_t polled_ms;          /* 0 if never */
  struct loop_timer *check_timer;
  struct counters *counters;
  uint32_t unlogged_invalid_entries; /* since the last line */
  int64_t invalid_logged_ms;         /* 0 if never */
  GArray *changes; /* struct entry_change, of the current response */
  bool changes_complete;
  bool applying_peer_changes; /* events come from a peer, not the store */
  uint64_t synced_revision;   /* all changes up to it were seen */
  int64_t gap_polled_ms;      /* 0 if never */
  int64_t confirm_asked_ms;   /* 0 if never */
};

static void
change_clear (void *item)
{
  g_free ((char *)((struct entry_change *)item)->value);
}

/* Buffers a change from the store until its response has been read whole. */
static void
buffer_change (struct platform_source *s,
               const struct beryl_platform_event *event)
{
  struct entry_change change = { .version = event->object.version };

  if (s->applying_peer_changes)
    return;
  if (s->changes->len == BUFFERED_CHANGES_MAX)
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

/* Reports the changes in the store's response to the owner. */
static void
report_changes (struct platform_source *s, uint64_t revision)
{
  g_array_sort (s->changes, compare_versions);
  if (s->owner->impl->changes_received != NULL)
    s->owner->impl->changes_received (
        s->owner, s->synced_revision, revision,
        (const struct entry_change *)s->changes->data, s->changes->len,
        s->changes_complete);
  g_array_set_size (s->changes, 0);
  s->changes_complete = true;
}

/* Rejects a malformed entry, which some other client has written.  An endpoint
 * that had this name is removed until its next heartbeat restores the entry.
 * Invalid entries may be frequent, so at most one line a second is logged. */
static void
reject_entry (struct platform_source *s, const char *name, const char *why)
{
  int64_t now_ms = loop_now_ms (s->loop);

  counters_add (s->counters, INVALID_ENTRY_COUNTER, "", 1);
  beryl_live_set_reject (s->endpoints, name, now_ms);
  s->unlogged_invalid_entries++;
  if (s->invalid_logged_ms != 0
      && now_ms - s->invalid_logged_ms < INVALID_LOG_INTERVAL_MS)
    return;
  g_warning ("endpoint entry '%s' ignored: %s; entries=%u since the last "
             "such line",
             name, why, s->unlogged_invalid_entries);
  s->invalid_logged_ms = now_ms;
  s->unlogged_invalid_entries = 0;
}

static void
endpoint_event (void *user, const struct beryl_platform_event *event)
{
  struct platform_source *s = user;
  struct beryl_live_info info;
  struct beryl_error error = { 0 };
  char revision[BERYL_REVISION_TEXT_BYTES];

  beryl_revision_text (event->object.version, revision);
  s->endpoints_dirty = true;
  buffer_change (s, event);
  if (event->object.version > s->endpoint_revision)
    s->endpoint_revision = event->object.version;
  if (event->deleted)
    {
      g_info ("endpoint id=%s revision=%s gone", event->object.name, revision);
      beryl_live_set_remove (s->endpoints, event->object.name,
                             loop_now_ms (s->loop));
      return;
    }
  if (!s->wire->impl->read_endpoint (s->wire, &event->object, &info, &error))
    {
      reject_entry (s, event->object.name, error.message);
      return;
    }
  g_info ("endpoint id=%s revision=%s service=%s address=%s:%u stage=%s "
          "version=%s %s",
          info.id, revision, info.service, info.address, info.port,
          beryl_stage_name (info.stage),
          info.software_version[0] != '\0' ? info.software_version : "-",
          info.leaving ? "leaving" : "ready");
  beryl_live_set_put (s->endpoints, &info, loop_now_ms (s->loop));
}

static void
endpoints_synced (void *user, uint64_t revision)
{
  struct platform_source *s = user;

  s->has_endpoints = true;
  beryl_live_set_synced (s->endpoints, loop_now_ms (s->loop));
  if (!s->applying_peer_changes)
    report_changes (s, revision);
  s->synced_revision = MAX (s->synced_revision, revision);
  if (!s->endpoints_dirty)
    return;
  s->endpoints_dirty = false;
  s->owner->impl->endpoints_changed (s->owner);
}

static const struct platform_watch_callbacks endpoint_callbacks
    = { .event = endpoint_event, .synced = endpoints_synced };

uint64_t
platform_source_endpoint_revision (const struct platform_source *s)
{
  return s->endpoint_revision;
}

void
platform_source_set_peer_revision (struct platform_source *s,
                                   uint64_t revision)
{
  if (revision > s->peer_revision)
    s->peer_revision = revision;
}

/* Polls the store for relayed changes that did not arrive. */
static void
poll_after_gap (struct platform_source *s, uint64_t after)
{
  char seen[BERYL_REVISION_TEXT_BYTES], relayed[BERYL_REVISION_TEXT_BYTES];
  int64_t now_ms = loop_now_ms (s->loop);

  if (s->gap_polled_ms != 0
      && now_ms - s->gap_polled_ms < GAP_POLL_INTERVAL_MS)
    return;
  s->gap_polled_ms = now_ms;
  g_info ("endpoint list missed relayed changes: seen=%s relayed after=%s",
          beryl_revision_text (s->synced_revision, seen),
          beryl_revision_text (after, relayed));
  platform_client_poke (s->client, s->endpoint_watch);
}

void
platform_source_confirm (struct platform_source *s)
{
  int64_t now_ms = loop_now_ms (s->loop);

  if (s->confirm_asked_ms != 0
      && now_ms - s->confirm_asked_ms < CONFIRM_INTERVAL_MS)
    return;
  s->confirm_asked_ms = now_ms;
  platform_client_poke (s->client, s->endpoint_watch);
}

void
platform_source_apply_changes (struct platform_source *s,
                               const struct changes_message *message)
{
  struct beryl_platform_event events[CHANGES_MAX] = { 0 };
  bool applied;

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
  s->applying_peer_changes = true;
  applied = platform_client_feed (s->client, s->endpoint_watch, message->after,
                                  message->revision, events, message->count);
  s->applying_peer_changes = false;
  if (!applied && s->has_endpoints)
    poll_after_gap (s, message->after);
}

void
platform_source_set_role (struct platform_source *s,
                          enum beryl_relay_role role, int64_t wait_ms)
{
  platform_client_watch_rest (s->client, s->endpoint_watch,
                              role == BERYL_RELAY_FOLLOWER,
                              role == BERYL_RELAY_WATCHER ? wait_ms : 0);
}

/* Polls the store if this node's endpoint list stays behind its peers'.  A
 * change is answered to all waiting watches at the same time and relayed to
 * followers at once, so a node that stays behind probably waits on a dead
 * connection. */
static void
check_behind (struct platform_source *s)
{
  char seen[BERYL_REVISION_TEXT_BYTES], peers[BERYL_REVISION_TEXT_BYTES];
  int64_t now_ms = loop_now_ms (s->loop);

  if (s->peer_revision <= s->endpoint_revision)
    s->behind_since_ms = 0;
  else if (s->behind_since_ms == 0)
    s->behind_since_ms = now_ms;
  else if (now_ms - s->behind_since_ms >= BEHIND_MAX_MS
           && (s->polled_ms == 0 || now_ms - s->polled_ms >= POLL_INTERVAL_MS))
    {
      g_info ("endpoint list is behind peers: seen=%s peers=%s",
              beryl_revision_text (s->endpoint_revision, seen),
              beryl_revision_text (s->peer_revision, peers));
      s->polled_ms = now_ms;
      platform_client_poke (s->client, s->endpoint_watch);
      s->owner->impl->connection_suspect (s->owner);
    }
}

/* Logs once when the store becomes unreachable and once when it is back. */
static void
check_store (struct platform_source *s)
{
  bool unreachable
      = beryl_platform_is_unreachable (platform_client_core (s->client));

  if (unreachable == s->store_unreachable)
    return;
  s->store_unreachable = unreachable;
  if (unreachable)
    s->owner->impl->store_lost (s->owner);
  else
    g_info ("store reachable again");
}

static void
check (void *user)
{
  struct platform_source *s = user;

  check_store (s);
  check_behind (s);
  if (!beryl_live_set_expire (s->endpoints, loop_now_ms (s->loop)))
    return;
  g_info ("endpoints removed: their entries expired during a store outage and "
          "were not renewed");
  s->owner->impl->endpoints_changed (s->owner);
}

struct platform_source *
platform_source_create (struct loop *loop, const struct gateway_wire *wire,
                        struct platform_client *client,
                        struct beryl_live_set *endpoints,
                        struct counters *counters,
                        struct platform_source_owner *owner)
{
  struct platform_source *s = g_new0 (struct platform_source, 1);

  s->loop = loop;
  s->wire = wire;
  s->client = client;
  s->endpoints = endpoints;
  s->counters = counters;
  s->owner = owner;
  s->changes = g_array_new (FALSE, FALSE, sizeof (struct entry_change));
  g_array_set_clear_func (s->changes, change_clear);
  s->changes_complete = true;
  s->check_timer = loop_timer_start (loop, CHECK_INTERVAL_MS,
                                     CHECK_INTERVAL_MS, check, s);
  s->endpoint_watch = platform_client_watch (client, BERYL_USE_INSTANCES,
                                             wire->impl->endpoint_kind,
                                             &endpoint_callbacks, s);
  return s;
}

void
platform_source_destroy (struct platform_source *s)
{
  if (s == NULL)
    return;
  platform_client_unwatch (s->client, s->endpoint_watch);
  loop_timer_stop (s->check_timer);
  g_array_free (s->changes, TRUE);
  g_free (s);
}

bool
platform_source_is_synced (const struct platform_source *s)
{
  return s->has_endpoints;
}
