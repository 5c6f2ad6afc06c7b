#include "members.h"

#include <string.h>
#include <xxhash.h>

#include "beryl/announce.h"
#include "beryl/clock.h"
#include "common/ticker.h"
#include "config_sync.h"
#include "wire/gossip.h"
#include "wire/link.h"

/* Interval between membership probes, and the time after which other nodes are
 * asked to probe a peer that has not acknowledged one. */
#define PROBE_INTERVAL_MS 500
#define ACK_TIMEOUT_MS 150
/* Interval at which the node checks whether an announcement is due. */
#define ANNOUNCE_CHECK_MS 100
/* Number of announcement intervals without an announcement after which a peer
 * is not listed to callers; if no peer announces, this node is isolated. */
#define SILENT_INTERVALS 3

struct members
{
  struct beryl_membership_owner base;
  struct config_sync_owner config_sync_base;
  struct loop *loop;
  const struct gateway_settings *settings;
  struct members_owner *owner;
  struct counters *counters;
  struct datagram *datagram;
  struct frame_writer *writer;
  struct ticker *ticker;
  struct loop_timer *announce_timer;
  struct beryl_membership *table; /* NULL before members_join */
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t endpoint_revision; /* newest change seen by this node */
  struct beryl_announce announce;
  GHashTable *announcements; /* node name to struct announcement */
  GHashTable *recorded;      /* names of the nodes that have a record */
  GHashTable *silent_since;  /* node name to start of silence, int64_t */
  struct config_sync *config_sync;
  uint64_t configuration_revision;      /* of this node's configuration */
  char key[DATAGRAM_KEY_MAX_BYTES + 1]; /* "" until known */
  uint32_t count;                       /* nodes that are not dead */
  bool endpoints_lost;                  /* this node can connect to none */
  uint32_t possible_count; /* not dead or on record; 0 until listed */
};

/* The last announcement of a peer. */
struct announcement
{
  bool endpoints_lost;
  uint64_t incarnation;
  uint64_t sequence;
  int64_t heard_ms;
};

static int64_t
now_ms (const struct members *m)
{
  return loop_now_ms (m->loop);
}

static void
membership_send (struct beryl_membership_owner *owner, const char *address,
                 uint16_t port, const struct beryl_gossip *message)
{
  struct members *m = (struct members *)owner;

  gossip_put (m->writer, message);
  datagram_send (m->datagram, address, port, m->writer);
}

uint32_t
members_count (const struct members *m)
{
  uint32_t count = 0;

  if (m->table == NULL)
    return 1;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    count += beryl_membership_get (m->table, i)->state != BERYL_MEMBER_DEAD;
  return count;
}

uint32_t
members_rank (const struct members *m)
{
  uint32_t rank = 0;

  for (size_t i = 0; m->table != NULL && i < beryl_membership_count (m->table);
       i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      rank += member->state != BERYL_MEMBER_DEAD
              && strcmp (member->name, m->settings->node) < 0;
    }
  return rank;
}

static bool
is_local (const struct members *m, const struct beryl_member *peer)
{
  return strcmp (peer->data_centre, m->settings->data_centre) == 0;
}

static uint32_t
count_remote (const struct members *m)
{
  uint32_t count = 0;

  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      count += member->state != BERYL_MEMBER_DEAD && !is_local (m, member);
    }
  return count;
}

static uint32_t
count_possible (const struct members *m)
{
  uint32_t count = g_hash_table_size (m->recorded);

  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      count += member->state != BERYL_MEMBER_DEAD
               && !g_hash_table_contains (m->recorded, member->name);
    }
  return count;
}

static void
update_counts (struct members *m)
{
  uint32_t possible_count = count_possible (m);

  m->count = members_count (m);
  m->announce.remote_count = count_remote (m);
  m->announce.local_count = m->count - m->announce.remote_count;
  if (possible_count == m->possible_count
      || g_hash_table_size (m->recorded) == 0)
    return;
  m->possible_count = possible_count;
  m->owner->impl->count_changed (m->owner, possible_count);
}

static void
track_silence (struct members *m, const struct beryl_member *member)
{
  int64_t *since_ms;

  if (member->state == BERYL_MEMBER_ALIVE)
    {
      g_hash_table_remove (m->silent_since, member->name);
      return;
    }
  if (g_hash_table_contains (m->silent_since, member->name))
    return;
  since_ms = g_new (int64_t, 1);
  *since_ms = now_ms (m);
  g_hash_table_insert (m->silent_since, g_strdup (member->name), since_ms);
}

int64_t
members_silent_ms (const struct members *m, const char *node)
{
  const int64_t *since_ms = g_hash_table_lookup (m->silent_since, node);

  return since_ms != NULL ? now_ms (m) - *since_ms : 0;
}

const struct beryl_member *
members_find (const struct members *m, const char *node)
{
  size_t count = m->table != NULL ? beryl_membership_count (m->table) : 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      if (strcmp (member->name, node) == 0)
        return member;
    }
  return NULL;
}

static void
membership_changed (struct beryl_membership_owner *owner,
                    const struct beryl_member *member)
{
  struct members *m = (struct members *)owner;

  g_info ("node name=%s address=%s incarnation=%" G_GUINT64_FORMAT
          " state=%s%s",
          member->name, member->address, member->incarnation,
          beryl_member_state_name (member->state),
          member->leaving ? " leaving" : "");
  track_silence (m, member);
  if (member->state != BERYL_MEMBER_ALIVE)
    m->owner->impl->peer_lost (m->owner, member->name);
  if (m->table != NULL)
    update_counts (m);
}

static void
membership_behind (struct beryl_membership_owner *owner,
                   const struct beryl_member *peer)
{
  const struct members *m = (const struct members *)owner;

  m->owner->impl->configuration_heard (m->owner, peer->config_version);
}

static void
membership_config_heard (struct beryl_membership_owner *owner,
                         uint64_t version)
{
  const struct members *m = (const struct members *)owner;

  m->owner->impl->configuration_heard (m->owner, version);
}

/* Chooses one of the peers that have the newest configuration, at random, so
 * that the nodes that pull it share the links of those that have it. */
bool
members_pull_configuration (struct members *m)
{
  const struct beryl_member *chosen = NULL;
  uint64_t newest = m->configuration_revision;
  gint32 seen = 0;

  for (size_t i = 0; m->table != NULL && i < beryl_membership_count (m->table);
       i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state != BERYL_MEMBER_ALIVE || peer->config_version < newest
          || peer->config_version <= m->configuration_revision)
        continue;
      if (peer->config_version > newest)
        seen = 0;
      newest = peer->config_version;
      if (g_random_int_range (0, ++seen) == 0)
        chosen = peer;
    }
  if (chosen != NULL)
    config_sync_pull (m->config_sync, chosen->address, chosen->port);
  return chosen != NULL;
}

static void
membership_sync (struct beryl_membership_owner *owner,
                 const struct beryl_member *peer)
{
  /* Not needed: member lists are compared with the platform's records. */
}

static const struct beryl_membership_owner_impl membership_impl = {
  .send = membership_send,
  .changed = membership_changed,
  .pull_config = membership_behind,
  .config_heard = membership_config_heard,
  .sync = membership_sync,
};

static void
schedule_tick (struct members *m)
{
  if (m->table != NULL)
    ticker_set (m->ticker, beryl_membership_next_ms (m->table));
}

static void
receive_loads (struct members *m, struct frame *frame)
{
  struct loads_message message;
  struct announcement *last;

  if (!loads_read (frame, &message)
      || strcmp (message.from, m->settings->node) == 0)
    return;
  last = g_hash_table_lookup (m->announcements, message.from);
  if (last == NULL)
    {
      last = g_new0 (struct announcement, 1);
      g_hash_table_insert (m->announcements, g_strdup (message.from), last);
    }
  /* Datagrams may be reordered; an older one would bring ended runs back. */
  if (message.incarnation < last->incarnation
      || (message.incarnation == last->incarnation
          && message.sequence <= last->sequence))
    return;
  last->incarnation = message.incarnation;
  last->sequence = message.sequence;
  last->heard_ms = now_ms (m);
  last->endpoints_lost = message.endpoints_lost;
  m->owner->impl->loads_received (m->owner, &message);
}

static void
receive_changes (struct members *m, struct frame *frame)
{
  struct changes_message message;

  if (changes_read (frame, &message))
    m->owner->impl->changes_received (m->owner, &message);
}

static void
receive_notices (struct members *m, struct frame *frame)
{
  struct notices_message message;

  if (notices_read (frame, &message))
    m->owner->impl->notices_received (m->owner, &message);
}

static void
receive_streams (struct members *m, struct frame *frame, const char *address,
                 uint16_t port)
{
  struct streams_message message;

  if (streams_read (frame, &message))
    m->owner->impl->streams_received (m->owner, &message, address, port);
}

static void
datagram_received (void *user, struct frame *frame, const char *address,
                   uint16_t port)
{
  struct members *m = user;
  struct beryl_gossip message;

  if (m->key[0] == '\0')
    return;
  if (frame_type (frame) == LOADS_DATAGRAM)
    receive_loads (m, frame);
  else if (frame_type (frame) == CHANGES_DATAGRAM)
    receive_changes (m, frame);
  else if (frame_type (frame) == NOTICES_DATAGRAM)
    receive_notices (m, frame);
  else if (frame_type (frame) == STREAMS_DATAGRAM)
    receive_streams (m, frame, address, port);
  else if (m->table != NULL && gossip_read (frame, &message))
    beryl_membership_receive (m->table, &message, address, port, now_ms (m));
  schedule_tick (m);
}

static void
tick (void *user)
{
  struct members *m = user;

  beryl_membership_tick (m->table, now_ms (m));
  schedule_tick (m);
}

int64_t
members_announce_interval_ms (const struct members *m)
{
  return beryl_announce_heartbeat_ms (&m->announce);
}

bool
members_announces_remote (const struct members *m)
{
  return beryl_announce_includes_remote (&m->announce, now_ms (m));
}

static void
announce_if_due (void *user)
{
  struct members *m = user;

  config_sync_expire (m->config_sync);
  if (beryl_announce_due (&m->announce, now_ms (m)))
    m->owner->impl->announce_due (m->owner);
}

static bool
has_transfer_for (const struct beryl_budget_transfers *transfers,
                  uint32_t node)
{
  for (size_t i = 0; i < transfers->count; i++)
    if (transfers->items[i].node == node)
      return true;
  return false;
}

/* Returns whether MESSAGE asks PEER for retry budget or lends it some.  A
 * transfer is announced only once, so such a peer gets the message in whatever
 * data centre it is. */
static bool
concerns_peer (const struct loads_message *message,
               const struct beryl_member *peer)
{
  uint32_t node;

  if (message->asks.count + message->loans.count == 0)
    return false;
  node = beryl_name_hash (peer->name);
  return has_transfer_for (&message->asks, node)
         || has_transfer_for (&message->loans, node);
}

void
members_announce_loads (struct members *m, struct loads_message *message)
{
  bool includes_remote
      = beryl_announce_includes_remote (&m->announce, now_ms (m));

  if (m->table == NULL)
    return;
  beryl_announce_done (&m->announce, includes_remote, now_ms (m));
  m->announce.early_ms = g_random_int_range (
      0, (gint32)beryl_announce_early_max_ms (&m->announce) + 1);
  message->sequence = ++m->sequence;
  message->incarnation = m->incarnation;
  message->endpoint_revision = m->endpoint_revision;
  g_strlcpy (message->from, m->settings->node, sizeof message->from);
  loads_put (m->writer, message);
  if (!datagram_seal (m->datagram, m->writer))
    return;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state != BERYL_MEMBER_DEAD
          && strcmp (peer->name, m->settings->node) != 0
          && (includes_remote || is_local (m, peer)
              || concerns_peer (message, peer)))
        datagram_send_sealed (m->datagram, peer->address, peer->port);
    }
}

void
members_send_changes (struct members *m, const struct changes_message *message)
{
  if (m->table == NULL)
    return;
  changes_put (m->writer, message);
  if (!datagram_seal (m->datagram, m->writer))
    return;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state != BERYL_MEMBER_DEAD && is_local (m, peer)
          && strcmp (peer->name, m->settings->node) != 0)
        datagram_send_sealed (m->datagram, peer->address, peer->port);
    }
}

/* Selection sampling: each of the remaining peers is chosen with the
 * probability that makes MAX of them in all. */
void
members_send_notices (struct members *m, const struct notices_message *message,
                      uint32_t max)
{
  uint32_t remaining = m->table != NULL ? members_count (m) - 1 : 0;

  if (remaining == 0)
    return;
  notices_put (m->writer, message);
  if (!datagram_seal (m->datagram, m->writer))
    return;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state == BERYL_MEMBER_DEAD
          || strcmp (peer->name, m->settings->node) == 0)
        continue;
      if (max >= remaining
          || (uint32_t)g_random_int_range (0, (gint32)remaining) < max)
        {
          datagram_send_sealed (m->datagram, peer->address, peer->port);
          max--;
        }
      remaining--;
    }
}

/* A peer and its rank for a key, by rendezvous hashing. */
struct ranked_peer
{
  const struct beryl_member *peer;
  uint64_t rank;
};

/* Inserts PEER into the COUNT first of at most MAX; returns the new count. */
static uint32_t
rank_peer (struct ranked_peer *first, uint32_t count, uint32_t max,
           const struct beryl_member *peer, uint64_t key)
{
  uint64_t rank = XXH3_64bits_withSeed (peer->name, strlen (peer->name), key);
  uint32_t at = count;

  while (at > 0 && first[at - 1].rank < rank)
    at--;
  if (at == max)
    return count;
  if (count < max)
    count++;
  memmove (&first[at + 1], &first[at], (count - at - 1) * sizeof *first);
  first[at] = (struct ranked_peer){ peer, rank };
  return count;
}

uint32_t
members_send_streams (struct members *m, const struct streams_message *message,
                      uint64_t key, uint32_t max)
{
  struct ranked_peer first[MEMBERS_RANKED_MAX];
  uint32_t count = 0;

  if (m->table == NULL)
    return 0;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state != BERYL_MEMBER_DEAD
          && strcmp (peer->name, m->settings->node) != 0)
        count = rank_peer (first, count, MIN (max, MEMBERS_RANKED_MAX), peer,
                           key);
    }
  streams_put (m->writer, message);
  if (count == 0 || !datagram_seal (m->datagram, m->writer))
    return 0;
  for (uint32_t i = 0; i < count; i++)
    datagram_send_sealed (m->datagram, first[i].peer->address,
                          first[i].peer->port);
  return count;
}

void
members_reply_streams (struct members *m,
                       const struct streams_message *message,
                       const char *address, uint16_t port)
{
  streams_put (m->writer, message);
  datagram_send (m->datagram, address, port, m->writer);
}

static void
configuration_pulled (struct config_sync_owner *owner, uint64_t revision,
                      const char *value, size_t value_bytes)
{
  struct members *m
      = (struct members *)((char *)owner
                           - offsetof (struct members, config_sync_base));

  m->owner->impl->configuration_received (m->owner, revision, value,
                                          value_bytes);
}

static const struct config_sync_owner_impl config_sync_impl
    = { .configuration_received = configuration_pulled };

struct members *
members_create (struct loop *loop, const struct gateway_settings *settings,
                struct members_owner *owner, struct counters *counters,
                struct beryl_error *error)
{
  struct members *m = g_new0 (struct members, 1);

  m->base.impl = &membership_impl;
  m->config_sync_base.impl = &config_sync_impl;
  m->loop = loop;
  m->settings = settings;
  m->owner = owner;
  m->counters = counters;
  m->count = 1;
  m->announce.local_count = 1;
  m->announcements
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->recorded = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  m->silent_since
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->writer = frame_writer_create (GOSSIP_DATAGRAM);
  m->ticker = ticker_create (loop, tick, m);
  m->datagram = datagram_open (loop, settings->front.ip, settings->peer_port,
                               datagram_received, m, error);
  if (m->datagram != NULL)
    m->config_sync = config_sync_create (loop, settings->front.ip,
                                         datagram_port (m->datagram),
                                         &m->config_sync_base, error);
  if (m->config_sync == NULL)
    {
      members_destroy (m);
      return NULL;
    }
  m->announce_timer = loop_timer_start (loop, ANNOUNCE_CHECK_MS,
                                        ANNOUNCE_CHECK_MS, announce_if_due, m);
  return m;
}

void
members_destroy (struct members *m)
{
  if (m == NULL)
    return;
  loop_timer_stop (m->announce_timer);
  config_sync_destroy (m->config_sync);
  datagram_close (m->datagram);
  ticker_destroy (m->ticker);
  frame_writer_destroy (m->writer);
  beryl_membership_destroy (m->table);
  g_hash_table_destroy (m->announcements);
  g_hash_table_destroy (m->recorded);
  g_hash_table_destroy (m->silent_since);
  g_free (m);
}

void
members_set_key (struct members *m, const char *key)
{
  g_strlcpy (m->key, key, sizeof m->key);
  datagram_clear_keys (m->datagram);
  datagram_add_key (m->datagram, m->key, strlen (m->key));
  config_sync_set_key (m->config_sync, m->key);
}

void
members_join (struct members *m, uint64_t incarnation)
{
  struct beryl_membership_settings settings = { 0 };
  struct beryl_member *self = &settings.self;

  if (m->table != NULL)
    return;
  memcpy (self->name, m->settings->node, sizeof self->name);
  g_strlcpy (self->address, m->settings->front.ip, sizeof self->address);
  memcpy (self->data_centre, m->settings->data_centre,
          sizeof self->data_centre);
  memcpy (self->region, m->settings->region, sizeof self->region);
  self->port = datagram_port (m->datagram);
  self->incarnation = incarnation;
  settings.seed = incarnation * UINT64_C (0x9e3779b97f4a7c15);
  settings.probe_ms = PROBE_INTERVAL_MS;
  settings.ack_ms = ACK_TIMEOUT_MS;
  m->incarnation = incarnation;
  m->table = beryl_membership_create (&settings, &m->base, now_ms (m));
  /* These fields are those of beryl-entryd in other fleets; this process
     serves callers itself and has no second peer port. */
  beryl_membership_set_entry (m->table, incarnation, m->settings->front.port,
                              0, now_ms (m));
  if (m->configuration_revision != 0)
    beryl_membership_set_config (m->table, m->configuration_revision,
                                 now_ms (m));
  schedule_tick (m);
}

void
members_set_records (struct members *m,
                     const struct beryl_listed_instance *items, size_t count)
{
  if (m->table == NULL)
    return;
  g_hash_table_remove_all (m->recorded);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (m->recorded, g_strdup (items[i].name));
  beryl_membership_set_instances (m->table, items, count, now_ms (m));
  update_counts (m);
  schedule_tick (m);
}

void
members_leave (struct members *m)
{
  if (m->table == NULL)
    return;
  beryl_membership_leave (m->table, now_ms (m));
  schedule_tick (m);
}

void
members_set_configuration (struct members *m, uint64_t revision,
                           const char *value, size_t value_bytes)
{
  m->configuration_revision = revision;
  config_sync_set_configuration (m->config_sync, revision, value, value_bytes);
  if (m->table == NULL)
    return;
  beryl_membership_set_config (m->table, revision, now_ms (m));
  beryl_membership_set_applied (m->table, revision, now_ms (m));
  schedule_tick (m);
}

/* Returns whether callers may be sent to MEMBER: it is alive as far as known
 * and was heard recently. */
static bool
accepts_callers (const struct members *m, const struct beryl_member *member)
{
  const struct announcement *last
      = g_hash_table_lookup (m->announcements, member->name);

  if (member->state != BERYL_MEMBER_ALIVE || member->leaving
      || member->http_port == 0)
    return false;
  if (strcmp (member->name, m->settings->node) == 0)
    return true;
  return last != NULL
         && now_ms (m) - last->heard_ms
                <= SILENT_INTERVALS * members_announce_interval_ms (m);
}

static bool
reaches_endpoints (const struct members *m, const struct beryl_member *member)
{
  const struct announcement *last
      = g_hash_table_lookup (m->announcements, member->name);

  if (strcmp (member->name, m->settings->node) == 0)
    return !m->endpoints_lost;
  return last != NULL && !last->endpoints_lost;
}

/* Appends the nodes of DATA_CENTRE (NULL: all) that accept callers, with or
 * without those that have lost all endpoints. */
static void
append_addresses (struct members *m, const char *data_centre, bool with_lost,
                  GPtrArray *addresses)
{
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      if (accepts_callers (m, member)
          && (with_lost || reaches_endpoints (m, member))
          && (data_centre == NULL
              || strcmp (member->data_centre, data_centre) == 0))
        g_ptr_array_add (addresses, g_strdup_printf ("%s:%u", member->address,
                                                     member->http_port));
    }
}

/* With a single node of their own data centre, callers would all fail together
 * with it, so nodes of other data centres are listed as well. */
#define LOCAL_NODES_MIN 2

void
members_append_addresses (struct members *m, const char *data_centre,
                          GPtrArray *addresses)
{
  if (m->table == NULL)
    return;
  append_addresses (m, data_centre, false, addresses);
  if (addresses->len >= LOCAL_NODES_MIN)
    return;
  g_ptr_array_set_size (addresses, 0);
  append_addresses (m, NULL, false, addresses);
  if (addresses->len == 0)
    append_addresses (m, NULL, true, addresses);
}

void
members_set_reaches_endpoints (struct members *m, bool reaches)
{
  m->endpoints_lost = !reaches;
}

bool
members_is_candidate (const struct members *m, const char *role, uint32_t max)
{
  return m->table != NULL
         && beryl_membership_is_candidate (m->table, role, "", max);
}

bool
members_is_local_candidate (const struct members *m, const char *role,
                            uint32_t max)
{
  return m->table != NULL
         && beryl_membership_is_candidate (m->table, role,
                                           m->settings->data_centre, max);
}

uint32_t
members_local_count (const struct members *m)
{
  return m->announce.local_count;
}

bool
members_isolated (const struct members *m)
{
  GHashTableIter iter;
  void *value;

  if (m->count <= 1)
    return false;
  g_hash_table_iter_init (&iter, m->announcements);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms (m) - ((const struct announcement *)value)->heard_ms
        <= SILENT_INTERVALS * members_announce_interval_ms (m))
      return false;
  return true;
}

void
members_set_endpoint_revision (struct members *m, uint64_t revision)
{
  m->endpoint_revision = revision;
}
