#include "members.h"

#include <string.h>

#include "beryl/announce.h"
#include "beryl/clock.h"
#include "common/ticker.h"
#include "pulls.h"
#include "wire/gossip.h"
#include "wire/link.h"

#define PROBE_MS 500
#define ACK_MS 150
/* How often it is looked whether something is to be announced. */
#define TELL_LOOK_MS 100
/* A peer that was silent for so many of these is not handed to callers. */
#define SILENT_TELLS 3

struct members
{
  struct beryl_membership_owner base;
  struct pulls_owner pulls_base;
  struct loop *loop;
  const struct gateway_settings *settings;
  struct members_owner *owner;
  struct counters *counters;
  struct datagram *datagram;
  struct frame_writer *writer;
  struct ticker *ticker;
  struct loop_timer *tell;
  struct beryl_membership *table; /* NULL before members_join */
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t endpoint_revision; /* of the newest change seen here */
  struct beryl_announce announce;
  GHashTable *heard;   /* name to struct peer */
  GHashTable *records; /* names that are on record */
  GHashTable *silent;  /* name to the time since when, int64_t */
  struct pulls *pulls;
  uint64_t revision;                    /* of the configuration here */
  char key[DATAGRAM_KEY_MAX_BYTES + 1]; /* "": not known yet */
  uint32_t count;                       /* that live */
  uint32_t at_work; /* that live or are on record; 0: not listed yet */
};

/* What a peer told last. */
struct peer
{
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

static bool
is_near (const struct members *m, const struct beryl_member *peer)
{
  return strcmp (peer->data_centre, m->settings->data_centre) == 0;
}

static uint32_t
count_far (const struct members *m)
{
  uint32_t count = 0;

  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      count += member->state != BERYL_MEMBER_DEAD && !is_near (m, member);
    }
  return count;
}

static uint32_t
count_at_work (const struct members *m)
{
  uint32_t count = g_hash_table_size (m->records);

  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      count += member->state != BERYL_MEMBER_DEAD
               && !g_hash_table_contains (m->records, member->name);
    }
  return count;
}

static void
count_check (struct members *m)
{
  uint32_t at_work = count_at_work (m);

  m->count = members_count (m);
  m->announce.far_count = count_far (m);
  m->announce.near_count = m->count - m->announce.far_count;
  if (at_work == m->at_work || g_hash_table_size (m->records) == 0)
    return;
  m->at_work = at_work;
  m->owner->impl->count_changed (m->owner, at_work);
}

static void
note_silence (struct members *m, const struct beryl_member *member)
{
  int64_t *since_ms;

  if (member->state == BERYL_MEMBER_ALIVE)
    {
      g_hash_table_remove (m->silent, member->name);
      return;
    }
  if (g_hash_table_contains (m->silent, member->name))
    return;
  since_ms = g_new (int64_t, 1);
  *since_ms = now_ms (m);
  g_hash_table_insert (m->silent, g_strdup (member->name), since_ms);
}

int64_t
members_silent_ms (const struct members *m, const char *node)
{
  const int64_t *since_ms = g_hash_table_lookup (m->silent, node);

  return since_ms != NULL ? now_ms (m) - *since_ms : 0;
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
  note_silence (m, member);
  if (member->state != BERYL_MEMBER_ALIVE)
    m->owner->impl->peer_gone (m->owner, member->name);
  if (m->table != NULL)
    count_check (m);
}

static void
membership_behind (struct beryl_membership_owner *owner,
                   const struct beryl_member *peer)
{
  const struct members *m = (const struct members *)owner;

  if (m->owner->impl->should_pull (m->owner))
    pulls_ask (m->pulls, peer->address, peer->port);
}

static void
membership_sync (struct beryl_membership_owner *owner,
                 const struct beryl_member *peer)
{
  /* Lists are compared through the platform's records instead. */
}

static const struct beryl_membership_owner_impl membership_impl = {
  .send = membership_send,
  .changed = membership_changed,
  .pull_config = membership_behind,
  .sync = membership_sync,
};

static void
wake (struct members *m)
{
  if (m->table != NULL)
    ticker_set (m->ticker, beryl_membership_next_ms (m->table));
}

static void
take_loads (struct members *m, struct frame *frame)
{
  struct loads_message message;
  struct peer *peer;

  if (!loads_read (frame, &message)
      || strcmp (message.from, m->settings->node) == 0)
    return;
  peer = g_hash_table_lookup (m->heard, message.from);
  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      g_hash_table_insert (m->heard, g_strdup (message.from), peer);
    }
  /* Datagrams overtake each other; an older one would bring ended runs
     back. */
  if (message.incarnation < peer->incarnation
      || (message.incarnation == peer->incarnation
          && message.sequence <= peer->sequence))
    return;
  peer->incarnation = message.incarnation;
  peer->sequence = message.sequence;
  peer->heard_ms = now_ms (m);
  m->owner->impl->loads (m->owner, &message);
}

static void
take_changes (struct members *m, struct frame *frame)
{
  struct changes_message message;

  if (changes_read (frame, &message))
    m->owner->impl->changes (m->owner, &message);
}

static void
take_notices (struct members *m, struct frame *frame)
{
  struct notices_message message;

  if (notices_read (frame, &message))
    m->owner->impl->notices (m->owner, &message);
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
    take_loads (m, frame);
  else if (frame_type (frame) == CHANGES_DATAGRAM)
    take_changes (m, frame);
  else if (frame_type (frame) == NOTICES_DATAGRAM)
    take_notices (m, frame);
  else if (m->table != NULL && gossip_read (frame, &message))
    beryl_membership_receive (m->table, &message, address, port, now_ms (m));
  wake (m);
}

static void
tick (void *user)
{
  struct members *m = user;

  beryl_membership_tick (m->table, now_ms (m));
  wake (m);
}

int64_t
members_interval_ms (const struct members *m)
{
  return beryl_announce_interval_ms (&m->announce);
}

bool
members_tells_far (const struct members *m)
{
  return beryl_announce_far (&m->announce, now_ms (m));
}

static void
tell_due (void *user)
{
  struct members *m = user;

  pulls_expire (m->pulls);
  if (beryl_announce_due (&m->announce, now_ms (m)))
    m->owner->impl->tell_due (m->owner);
}

static bool
has_transfer_for (const struct beryl_repeat_transfers *transfers,
                  uint32_t node)
{
  for (size_t i = 0; i < transfers->count; i++)
    if (transfers->items[i].node == node)
      return true;
  return false;
}

/* A question for repeats, or its answer, is told once and to the peer that it
 * is for. */
static bool
is_for (const struct loads_message *message, const struct beryl_member *peer)
{
  uint32_t node;

  if (message->asks.count + message->loans.count == 0)
    return false;
  node = beryl_engine_number (peer->name);
  return has_transfer_for (&message->asks, node)
         || has_transfer_for (&message->loans, node);
}

void
members_tell_loads (struct members *m, struct loads_message *message)
{
  bool all = beryl_announce_far (&m->announce, now_ms (m));

  if (m->table == NULL)
    return;
  beryl_announce_done (&m->announce, all, now_ms (m));
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
          && (all || is_near (m, peer) || is_for (message, peer)))
        datagram_send_sealed (m->datagram, peer->address, peer->port);
    }
}

void
members_tell_changes (struct members *m, const struct changes_message *message)
{
  if (m->table == NULL)
    return;
  changes_put (m->writer, message);
  if (!datagram_seal (m->datagram, m->writer))
    return;
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *peer = beryl_membership_get (m->table, i);

      if (peer->state != BERYL_MEMBER_DEAD && is_near (m, peer)
          && strcmp (peer->name, m->settings->node) != 0)
        datagram_send_sealed (m->datagram, peer->address, peer->port);
    }
}

/* Selection sampling: of the peers that are left each is taken with the chance
 * that makes MOST of them in all. */
void
members_tell_notices (struct members *m, const struct notices_message *message,
                      uint32_t most)
{
  uint32_t left = m->table != NULL ? members_count (m) - 1 : 0;

  if (left == 0)
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
      if (most >= left
          || (uint32_t)g_random_int_range (0, (gint32)left) < most)
        {
          datagram_send_sealed (m->datagram, peer->address, peer->port);
          most--;
        }
      left--;
    }
}

static void
pulled (struct pulls_owner *owner, uint64_t revision, const char *value,
        size_t value_bytes)
{
  struct members *m
      = (struct members *)((char *)owner
                           - offsetof (struct members, pulls_base));

  m->owner->impl->configuration (m->owner, revision, value, value_bytes);
}

static const struct pulls_owner_impl pulls_impl = { .configuration = pulled };

struct members *
members_create (struct loop *loop, const struct gateway_settings *settings,
                struct members_owner *owner, struct counters *counters,
                struct beryl_error *error)
{
  struct members *m = g_new0 (struct members, 1);

  m->base.impl = &membership_impl;
  m->pulls_base.impl = &pulls_impl;
  m->loop = loop;
  m->settings = settings;
  m->owner = owner;
  m->counters = counters;
  m->count = 1;
  m->announce.near_count = 1;
  m->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  m->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->writer = frame_writer_create (GOSSIP_DATAGRAM);
  m->ticker = ticker_create (loop, tick, m);
  m->datagram = datagram_open (loop, settings->front.ip, settings->peer_port,
                               datagram_received, m, error);
  if (m->datagram != NULL)
    m->pulls
        = pulls_create (loop, settings->front.ip, datagram_port (m->datagram),
                        &m->pulls_base, error);
  if (m->pulls == NULL)
    {
      members_destroy (m);
      return NULL;
    }
  m->tell = loop_timer_start (loop, TELL_LOOK_MS, TELL_LOOK_MS, tell_due, m);
  return m;
}

void
members_destroy (struct members *m)
{
  if (m == NULL)
    return;
  loop_timer_stop (m->tell);
  pulls_destroy (m->pulls);
  datagram_close (m->datagram);
  ticker_destroy (m->ticker);
  frame_writer_destroy (m->writer);
  beryl_membership_destroy (m->table);
  g_hash_table_destroy (m->heard);
  g_hash_table_destroy (m->records);
  g_hash_table_destroy (m->silent);
  g_free (m);
}

void
members_set_key (struct members *m, const char *key)
{
  g_strlcpy (m->key, key, sizeof m->key);
  datagram_clear_keys (m->datagram);
  datagram_add_key (m->datagram, m->key, strlen (m->key));
  pulls_set_key (m->pulls, m->key);
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
  settings.probe_ms = PROBE_MS;
  settings.ack_ms = ACK_MS;
  m->incarnation = incarnation;
  m->table = beryl_membership_create (&settings, &m->base, now_ms (m));
  beryl_membership_set_entry (m->table, incarnation, m->settings->front.port,
                              0, now_ms (m));
  if (m->revision != 0)
    beryl_membership_set_config (m->table, m->revision, now_ms (m));
  wake (m);
}

void
members_listed (struct members *m, const struct beryl_listed_instance *items,
                size_t count)
{
  if (m->table == NULL)
    return;
  g_hash_table_remove_all (m->records);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (m->records, g_strdup (items[i].name));
  beryl_membership_set_instances (m->table, items, count, now_ms (m));
  count_check (m);
  wake (m);
}

void
members_leave (struct members *m)
{
  if (m->table == NULL)
    return;
  beryl_membership_leave (m->table, now_ms (m));
  wake (m);
}

void
members_set_configuration (struct members *m, uint64_t revision,
                           const char *value, size_t value_bytes)
{
  m->revision = revision;
  pulls_set_configuration (m->pulls, revision, value, value_bytes);
  if (m->table == NULL)
    return;
  beryl_membership_set_config (m->table, revision, now_ms (m));
  beryl_membership_set_applied (m->table, revision, now_ms (m));
  wake (m);
}

/* Whether callers may be sent to MEMBER: alive as far as is known, and heard
 * of late. */
static bool
takes_callers (const struct members *m, const struct beryl_member *member)
{
  const struct peer *peer = g_hash_table_lookup (m->heard, member->name);

  if (member->state != BERYL_MEMBER_ALIVE || member->leaving
      || member->http_port == 0)
    return false;
  if (strcmp (member->name, m->settings->node) == 0)
    return true;
  return peer != NULL
         && now_ms (m) - peer->heard_ms
                <= SILENT_TELLS * members_interval_ms (m);
}

static void
addresses_in (struct members *m, const char *data_centre, GPtrArray *addresses)
{
  for (size_t i = 0; i < beryl_membership_count (m->table); i++)
    {
      const struct beryl_member *member = beryl_membership_get (m->table, i);

      if (takes_callers (m, member)
          && (data_centre == NULL
              || strcmp (member->data_centre, data_centre) == 0))
        g_ptr_array_add (addresses, g_strdup_printf ("%s:%u", member->address,
                                                     member->http_port));
    }
}

/* With one node of the callers' own data centre they would all fail together
 * with it, so that others are named beside it. */
#define OWN_NODES_LEAST 2

void
members_addresses (struct members *m, const char *data_centre,
                   GPtrArray *addresses)
{
  if (m->table == NULL)
    return;
  addresses_in (m, data_centre, addresses);
  if (addresses->len >= OWN_NODES_LEAST)
    return;
  g_ptr_array_set_size (addresses, 0);
  addresses_in (m, NULL, addresses);
}

bool
members_stands_for (const struct members *m, const char *role, uint32_t most)
{
  return m->table != NULL
         && beryl_membership_is_candidate (m->table, role, "", most);
}

bool
members_stands_near (const struct members *m, const char *role, uint32_t most)
{
  return m->table != NULL
         && beryl_membership_is_candidate (m->table, role,
                                           m->settings->data_centre, most);
}

uint32_t
members_near_count (const struct members *m)
{
  return m->announce.near_count;
}

bool
members_isolated (const struct members *m)
{
  GHashTableIter iter;
  void *value;

  if (m->count <= 1)
    return false;
  g_hash_table_iter_init (&iter, m->heard);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms (m) - ((const struct peer *)value)->heard_ms
        <= SILENT_TELLS * members_interval_ms (m))
      return false;
  return true;
}

void
members_set_endpoint_revision (struct members *m, uint64_t revision)
{
  m->endpoint_revision = revision;
}
