#include "private.h"

#include <string.h>
#include <xxhash.h>

#include "beryl/clock.h"

/* Number of members asked to ping a silent member. */
#define INDIRECT_PROBES 3
/* Number of nodes per data centre that probe other data centres. */
#define BRIDGE_COUNT 2
/* Additional probes per probe interval into a data centre that may be down. */
#define SUSPECT_CENTRE_PROBES 4

static bool
is_local (const struct beryl_membership *m, const struct slot *slot)
{
  return strcmp (slot->member.data_centre, m->data_centre) == 0;
}

static bool
is_target (const struct beryl_membership *m, const struct slot *slot)
{
  return slot->member.state != BERYL_MEMBER_DEAD
         && strcmp (slot->member.name, m->self) != 0;
}

static bool
self_is_bridge (struct beryl_membership *m)
{
  const struct beryl_member *self = &table_self (m)->member;

  return beryl_membership_is_candidate (m, "bridge", self->data_centre,
                                        BRIDGE_COUNT)
         || self->leaving;
}

static bool
is_pending (const struct beryl_membership *m, const char *name)
{
  for (size_t i = 0; i < m->probe_count; i++)
    if (strcmp (m->probes[i].target, name) == 0)
      return true;
  return false;
}

static void
probe_send (struct beryl_membership *m, struct slot *to, int64_t now_ms)
{
  struct beryl_gossip message;
  struct probe *p;

  to->probed = true;
  if (m->probe_count == PROBES_MAX || is_pending (m, to->member.name))
    return;
  p = &m->probes[m->probe_count++];
  memset (p, 0, sizeof *p);
  memcpy (p->target, to->member.name, sizeof p->target);
  p->sequence = ++m->sequence;
  p->sent_ms = now_ms;
  gossip_prepare (m, &message, BERYL_GOSSIP_PING, to, now_ms);
  message.sequence = p->sequence;
  memcpy (message.target, to->member.name, sizeof message.target);
  gossip_send (m, &message, to);
}

/* Picks a random member that was not probed in this round, so that each is
 * probed once per round in random order. */
static struct slot *
next_target (struct beryl_membership *m, bool local)
{
  struct slot *picked = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];

      if (slot->probed || is_local (m, slot) != local || !is_target (m, slot))
        continue;
      if (membership_random (m, ++seen) == 0)
        picked = slot;
    }
  return picked;
}

static void
round_begin (struct beryl_membership *m, bool local)
{
  for (size_t i = 0; i < m->count; i++)
    if (is_local (m, &m->slots[i]) == local)
      m->slots[i].probed = false;
}

static void
probe_one (struct beryl_membership *m, bool local, int64_t now_ms)
{
  struct slot *to = next_target (m, local);

  if (to == NULL)
    {
      round_begin (m, local);
      to = next_target (m, local);
    }
  if (to != NULL)
    probe_send (m, to, now_ms);
}

static struct slot *
suspect_centre_target (struct beryl_membership *m)
{
  struct slot *picked = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];

      if (slot->member.state != BERYL_MEMBER_ALIVE
          || strcmp (slot->member.data_centre, m->suspect_data_centre) != 0
          || is_pending (m, slot->member.name))
        continue;
      if (membership_random (m, ++seen) == 0)
        picked = slot;
    }
  return picked;
}

/* Once a remote member is silent, the others of its data centre are probed
 * with priority: in normal order it would take minutes to detect that the
 * whole data centre is down. */
static void
probe_suspect_centre (struct beryl_membership *m, int64_t now_ms)
{
  for (int i = 0;
       i < SUSPECT_CENTRE_PROBES && m->suspect_data_centre[0] != '\0'; i++)
    {
      struct slot *to = suspect_centre_target (m);

      if (to == NULL)
        m->suspect_data_centre[0] = '\0';
      else
        probe_send (m, to, now_ms);
    }
}

/* Repeats the ping, so that the loss of a single packet does not make the
 * member suspect if the indirect probes fail too. */
static void
probe_repeat (struct beryl_membership *m, const struct probe *p,
              int64_t now_ms)
{
  struct slot *to = table_find (m, p->target);
  struct beryl_gossip message;

  if (to == NULL)
    return;
  gossip_prepare (m, &message, BERYL_GOSSIP_PING, to, now_ms);
  message.sequence = p->sequence;
  memcpy (message.target, p->target, sizeof message.target);
  gossip_send (m, &message, to);
}

static void
probe_indirect (struct beryl_membership *m, struct probe *p, int64_t now_ms)
{
  uint64_t offset = membership_random (m, m->count);
  int asked = 0;

  p->indirect = true;
  probe_repeat (m, p, now_ms);
  for (size_t i = 0; i < m->count && asked < INDIRECT_PROBES; i++)
    {
      struct slot *via = &m->slots[(offset + i) % m->count];
      struct beryl_gossip message;

      if (!is_target (m, via) || via->member.state != BERYL_MEMBER_ALIVE
          || strcmp (via->member.name, p->target) == 0)
        continue;
      gossip_prepare (m, &message, BERYL_GOSSIP_PING_REQUEST, via, now_ms);
      message.sequence = p->sequence;
      memcpy (message.target, p->target, sizeof message.target);
      gossip_send (m, &message, via);
      asked++;
    }
}

static void
probe_failed (struct beryl_membership *m, const char *target, int64_t now_ms)
{
  struct slot *slot = table_find (m, target);

  if (slot == NULL)
    return;
  if (!is_local (m, slot) && slot->member.state == BERYL_MEMBER_ALIVE)
    memcpy (m->suspect_data_centre, slot->member.data_centre,
            sizeof m->suspect_data_centre);
  table_suspect (m, slot, now_ms);
}

static void
probes_check (struct beryl_membership *m, int64_t now_ms)
{
  size_t i = 0;

  while (i < m->probe_count)
    {
      struct probe *p = &m->probes[i];

      if (now_ms - p->sent_ms >= m->probe_ms)
        {
          char target[BERYL_NAME_BYTES];

          memcpy (target, p->target, sizeof target);
          m->probes[i] = m->probes[--m->probe_count];
          probe_failed (m, target, now_ms);
          continue;
        }
      if (!p->indirect && now_ms - p->sent_ms >= m->ack_ms)
        probe_indirect (m, p, now_ms);
      i++;
    }
}

int64_t
probe_next_ms (const struct beryl_membership *m)
{
  int64_t next_ms = m->next_probe_ms;

  for (size_t i = 0; i < m->probe_count; i++)
    {
      const struct probe *p = &m->probes[i];
      int64_t due_ms = p->sent_ms + (p->indirect ? m->probe_ms : m->ack_ms);

      next_ms = due_ms < next_ms ? due_ms : next_ms;
    }
  return next_ms;
}

void
probe_tick (struct beryl_membership *m, int64_t now_ms)
{
  probes_check (m, now_ms);
  if (now_ms < m->next_probe_ms)
    return;
  m->next_probe_ms = now_ms + m->probe_ms;
  probe_one (m, true, now_ms);
  if (!self_is_bridge (m))
    return;
  if (m->suspect_data_centre[0] != '\0')
    probe_suspect_centre (m, now_ms);
  probe_one (m, false, now_ms);
}

static void
ping_received (struct beryl_membership *m, const struct beryl_gossip *message,
               struct slot *from, int64_t now_ms)
{
  struct beryl_gossip reply;

  /* The address may have been reassigned to this node, which must not answer
   * for its former holder. */
  if (strcmp (message->target, m->self) != 0)
    return;
  gossip_prepare (m, &reply, BERYL_GOSSIP_ACK, from, now_ms);
  reply.sequence = message->sequence;
  /* A sender that includes its own record may not know this node's.  The ack
   * then begins with it, in place of another record if there is one. */
  if (message->update_count > 0
      && strcmp (message->updates[0].name, message->from) == 0)
    {
      reply.updates[0] = *beryl_membership_self (m);
      reply.update_count += reply.update_count == 0;
    }
  gossip_send (m, &reply, from);
}

static void
ping_request_received (struct beryl_membership *m,
                       const struct beryl_gossip *message,
                       const struct slot *from, int64_t now_ms)
{
  struct slot *to = table_find (m, message->target);
  struct relay *r = &m->relays[m->relay_next++ % RELAYS_MAX];
  struct beryl_gossip ping;

  if (to == NULL || !is_target (m, to))
    return;
  memset (r, 0, sizeof *r);
  r->sequence = ++m->sequence;
  r->request_sequence = message->sequence;
  r->sent_ms = now_ms;
  memcpy (r->requester, from->member.name, sizeof r->requester);
  gossip_prepare (m, &ping, BERYL_GOSSIP_PING, to, now_ms);
  ping.sequence = r->sequence;
  memcpy (ping.target, to->member.name, sizeof ping.target);
  gossip_send (m, &ping, to);
}

static void
relay_answer (struct beryl_membership *m, uint32_t sequence, int64_t now_ms)
{
  for (size_t i = 0; i < RELAYS_MAX; i++)
    {
      struct relay *r = &m->relays[i];
      struct slot *to;
      struct beryl_gossip ack;

      if (r->sequence != sequence || r->requester[0] == '\0')
        continue;
      to = table_find (m, r->requester);
      if (to != NULL)
        {
          gossip_prepare (m, &ack, BERYL_GOSSIP_ACK, to, now_ms);
          ack.sequence = r->request_sequence;
          gossip_send (m, &ack, to);
        }
      r->requester[0] = '\0';
      return;
    }
}

static void
ack_received (struct beryl_membership *m, const struct beryl_gossip *message,
              int64_t now_ms)
{
  m->last_ack_ms = now_ms;
  for (size_t i = 0; i < m->probe_count; i++)
    if (m->probes[i].sequence == message->sequence)
      {
        const struct slot *slot = table_find (m, m->probes[i].target);

        if (slot != NULL
            && strcmp (slot->member.data_centre, m->suspect_data_centre) == 0)
          m->suspect_data_centre[0] = '\0';
        m->probes[i] = m->probes[--m->probe_count];
        return;
      }
  relay_answer (m, message->sequence, now_ms);
}

void
probe_receive (struct beryl_membership *m, const struct beryl_gossip *message,
               struct slot *from, int64_t now_ms)
{
  switch (message->type)
    {
    case BERYL_GOSSIP_PING:
      ping_received (m, message, from, now_ms);
      return;
    case BERYL_GOSSIP_ACK:
      ack_received (m, message, now_ms);
      return;
    case BERYL_GOSSIP_PING_REQUEST:
      ping_request_received (m, message, from, now_ms);
      return;
    case BERYL_GOSSIP_UPDATE:
      return;
    }
}
