#include "private.h"

#include <string.h>

#include "beryl/clock.h"

/* Number of members that each round of updates is sent to. */
#define UPDATE_FANOUT 3
/* Minimum time between two rounds of updates; limits the traffic when many
 * members change at once. */
#define UPDATE_SPACING_MS 100

static bool
update_included (const struct beryl_gossip *message, const char *name)
{
  for (size_t i = 0; i < message->update_count; i++)
    if (strcmp (message->updates[i].name, name) == 0)
      return true;
  return false;
}

static void
update_add (struct beryl_gossip *message, const struct beryl_member *member)
{
  if (message->update_count == BERYL_GOSSIP_UPDATES_MAX
      || update_included (message, member->name))
    return;
  message->updates[message->update_count++] = *member;
}

/* Returns how often a record is still to be sent. */
static uint32_t
sends_left (const struct slot *slot)
{
  return slot->transmits_left + slot->immediate_left;
}

/* Inserts SLOT into the COUNT slots PICKED, which are in descending order of
 * sends left; keeps at most MAX of them and returns the new count. */
static size_t
pick_record (struct slot *picked[], size_t count, size_t max,
             struct slot *slot)
{
  size_t position = count;

  while (position > 0 && sends_left (picked[position - 1]) < sends_left (slot))
    position--;
  if (position == max)
    return count;
  count += count < max;
  for (size_t i = count - 1; i > position; i--)
    picked[i] = picked[i - 1];
  picked[position] = slot;
  return count;
}

/* Adds the records that are due, those with the most sends left first. */
static void
updates_add_due (struct beryl_membership *m, struct beryl_gossip *message)
{
  struct slot *picked[BERYL_GOSSIP_UPDATES_MAX];
  size_t max = BERYL_GOSSIP_UPDATES_MAX - message->update_count;
  size_t count = 0;

  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];

      if (slot->transmits_left > 0
          && !update_included (message, slot->member.name))
        count = pick_record (picked, count, max, slot);
    }
  for (size_t i = 0; i < count; i++)
    {
      message->updates[message->update_count++] = picked[i]->member;
      if (message->type == BERYL_GOSSIP_UPDATE
          && picked[i]->immediate_left > 0)
        picked[i]->immediate_left--;
      else
        picked[i]->transmits_left--;
    }
}

static uint32_t
config_age_ms (const struct beryl_membership *m, int64_t now_ms)
{
  int64_t age_ms = beryl_membership_config_age_ms (m, now_ms);

  if (age_ms < 0 || age_ms >= BERYL_CONFIG_AGE_UNKNOWN)
    return BERYL_CONFIG_AGE_UNKNOWN;
  return (uint32_t)age_ms;
}

void
gossip_prepare (struct beryl_membership *m, struct beryl_gossip *message,
                enum beryl_gossip_type type, const struct slot *to,
                int64_t now_ms)
{
  const struct beryl_member *self = beryl_membership_self (m);

  memset (message, 0, sizeof *message);
  message->type = type;
  memcpy (message->from, self->name, sizeof message->from);
  message->from_incarnation = self->incarnation;
  message->config_version = self->config_version;
  message->config_applied = self->config_applied;
  message->config_heard = m->config_heard;
  message->config_age_ms = config_age_ms (m, now_ms);
  /* A suspect member can refute the suspicion only if it learns of it, and a
   * member known only from the instance list does not know this node yet. */
  if (to->member.state != BERYL_MEMBER_ALIVE || to->member.incarnation == 0)
    {
      update_add (message, self);
      if (to->member.incarnation != 0)
        update_add (message, &to->member);
    }
  updates_add_due (m, message);
}

void
gossip_send (struct beryl_membership *m, const struct beryl_gossip *message,
             const struct slot *to)
{
  m->owner->impl->send (m->owner, to->member.address, to->member.port,
                        message);
}

static bool
is_live_peer (const struct beryl_membership *m, const struct slot *slot)
{
  return slot->member.state == BERYL_MEMBER_ALIVE
         && strcmp (slot->member.name, m->self) != 0;
}

/* Picks a random live member; from this data centre if LOCAL and possible. */
static struct slot *
pick_member (struct beryl_membership *m, bool local)
{
  struct slot *picked = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];

      if (!is_live_peer (m, slot)
          || (local && strcmp (slot->member.data_centre, m->data_centre) != 0))
        continue;
      if (membership_random (m, ++seen) == 0)
        picked = slot;
    }
  if (picked == NULL && local)
    return pick_member (m, false);
  return picked;
}

/* Reports config_applied to the watchers of the data centre, which publish the
 * set of nodes that use a configuration.  Probes would take many seconds to
 * bring it to them. */
static void
gossip_report_applied (struct beryl_membership *m, int64_t now_ms)
{
  m->applied_due = false;
  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];
      struct beryl_gossip message;

      if ((slot->member.roles & BERYL_MEMBER_WATCHER) == 0
          || !is_live_peer (m, slot)
          || strcmp (slot->member.data_centre, m->data_centre) != 0)
        continue;
      gossip_prepare (m, &message, BERYL_GOSSIP_UPDATE, slot, now_ms);
      gossip_send (m, &message, slot);
    }
}

static bool
has_updates (const struct beryl_membership *m)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->slots[i].immediate_left > 0)
      return true;
  return m->version_due;
}

void
gossip_send_updates (struct beryl_membership *m, int64_t now_ms)
{
  if (m->applied_due)
    gossip_report_applied (m, now_ms);
  m->next_update_ms = BERYL_NEVER_MS;
  m->last_update_ms = now_ms;
  /* config_applied alone is sent to the watchers only. */
  if (!has_updates (m))
    return;
  m->version_due = false;
  for (int i = 0; i < UPDATE_FANOUT; i++)
    {
      /* All but the last stay in this data centre. */
      struct slot *to = pick_member (m, i < UPDATE_FANOUT - 1);
      struct beryl_gossip message;

      if (to == NULL)
        return;
      gossip_prepare (m, &message, BERYL_GOSSIP_UPDATE, to, now_ms);
      gossip_send (m, &message, to);
    }
  for (size_t i = 0; i < m->count; i++)
    if (m->slots[i].immediate_left > 0)
      m->next_update_ms = now_ms;
}

static void
receive_config (struct beryl_membership *m, const struct beryl_gossip *message,
                struct slot *from, int64_t now_ms)
{
  uint64_t mine = table_self (m)->member.config_version;
  struct beryl_member copy;

  if (message->config_version > from->member.config_version)
    from->member.config_version = message->config_version;
  from->member.config_applied = message->config_applied;
  /* The sender's confirmation applies only to its own version. */
  if (message->config_version == mine
      && message->config_age_ms != BERYL_CONFIG_AGE_UNKNOWN
      && now_ms - (int64_t)message->config_age_ms > m->config_confirmed_ms)
    m->config_confirmed_ms = now_ms - (int64_t)message->config_age_ms;
  if (message->config_version <= mine)
    return;
  copy = from->member;
  m->owner->impl->pull_config (m->owner, &copy);
}

/* Passes the news on at once: a node that gets the version only later would
 * hold it up, and this node may have to wait for it itself. */
static void
receive_news (struct beryl_membership *m, const struct beryl_gossip *message,
              int64_t now_ms)
{
  if (message->config_heard <= m->config_heard)
    return;
  membership_hear_config (m, message->config_heard, now_ms);
  if (m->owner->impl->config_heard != NULL)
    m->owner->impl->config_heard (m->owner, message->config_heard);
}

void
beryl_membership_receive (struct beryl_membership *m,
                          const struct beryl_gossip *message,
                          const char *address, uint16_t port, int64_t now_ms)
{
  struct slot *from;

  (void)address;
  (void)port;
  if (strcmp (message->from, m->self) == 0)
    return;
  for (size_t i = 0; i < message->update_count; i++)
    table_merge (m, &message->updates[i], now_ms);
  from = table_find (m, message->from);
  if (from == NULL)
    return;
  table_confirm_alive (m, from, message->from_incarnation, now_ms);
  receive_config (m, message, from, now_ms);
  receive_news (m, message, now_ms);
  /* The table may have changed in a callback. */
  from = table_find (m, message->from);
  if (from != NULL)
    probe_receive (m, message, from, now_ms);
}

int64_t
beryl_membership_next_ms (const struct beryl_membership *m)
{
  int64_t next_ms = probe_next_ms (m);
  int64_t update_ms = m->next_update_ms;

  if (update_ms != BERYL_NEVER_MS
      && update_ms < m->last_update_ms + UPDATE_SPACING_MS)
    update_ms = m->last_update_ms + UPDATE_SPACING_MS;
  return update_ms < next_ms ? update_ms : next_ms;
}

/* Picks a random member in any state, also one known only from the instance
 * list, for when there is no live peer.  NULL if the pick is this node. */
static struct slot *
pick_seed (struct beryl_membership *m)
{
  uint64_t i = membership_random (m, m->count);
  struct slot *slot = &m->slots[i];

  return strcmp (slot->member.name, m->self) != 0 ? slot : NULL;
}

/* Runs anti-entropy with a random peer: frequently after the start, so that
 * the nodes of a fleet that is started at once discover each other, then at
 * increasing intervals.  The random part keeps nodes from synchronising.
 * Three of four exchanges are with a peer of this data centre, if it has any.
 */
static void
sync_tick (struct beryl_membership *m, int64_t now_ms)
{
  uint64_t spacing_ms = (uint64_t)m->sync_spacing_ms;
  struct slot *peer = pick_member (m, membership_random (m, 4) != 0);
  struct beryl_member copy;

  m->next_sync_ms
      = now_ms + (int64_t)(spacing_ms / 2 + membership_random (m, spacing_ms));
  if (m->sync_spacing_ms < m->sync_ms)
    m->sync_spacing_ms += m->sync_spacing_ms / 2;
  if (peer == NULL)
    peer = pick_seed (m);
  if (peer == NULL)
    return;
  copy = peer->member;
  m->owner->impl->sync (m->owner, &copy);
}

void
beryl_membership_tick (struct beryl_membership *m, int64_t now_ms)
{
  probe_tick (m, now_ms);
  if (m->next_update_ms != BERYL_NEVER_MS
      && now_ms >= m->last_update_ms + UPDATE_SPACING_MS)
    gossip_send_updates (m, now_ms);
  if (now_ms < m->next_sync_ms)
    return;
  table_expire (m, now_ms);
  sync_tick (m, now_ms);
}
