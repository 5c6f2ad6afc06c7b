#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "../base/guard_control.h"
#include "../base/random.h"
#include "private.h"

#define PROBE_MS 1000
#define ACK_MS 300
#define SYNC_MS 30000
#define DEAD_AFTER_MS 5000
#define FIRST_SYNC_MS 500

static int64_t
or_default (int64_t value, int64_t fallback)
{
  return value > 0 ? value : fallback;
}

uint64_t
membership_random (struct beryl_membership *m, uint64_t limit)
{
  return random_next (&m->random) % limit;
}

static bool
self_insert (struct beryl_membership *m, const struct beryl_member *self)
{
  m->slots = calloc (8, sizeof *m->slots);
  if (m->slots == NULL)
    return false;
  m->capacity = 8;
  m->count = 1;
  m->slots[0].member = *self;
  memcpy (m->self, self->name, sizeof m->self);
  memcpy (m->data_centre, self->data_centre, sizeof m->data_centre);
  return true;
}

struct beryl_membership *
beryl_membership_create (const struct beryl_membership_settings *settings,
                         struct beryl_membership_owner *owner, int64_t now_ms)
{
  struct beryl_membership *m = calloc (1, sizeof *m);

  if (m == NULL)
    return NULL;
  if (!self_insert (m, &settings->self))
    {
      free (m);
      return NULL;
    }
  m->owner = owner;
  m->random = settings->seed;
  m->probe_ms = or_default (settings->probe_ms, PROBE_MS);
  m->ack_ms = or_default (settings->ack_ms, ACK_MS);
  m->sync_ms = or_default (settings->sync_ms, SYNC_MS);
  m->dead_after_ms = or_default (settings->dead_after_ms, DEAD_AFTER_MS);
  m->next_update_ms = BERYL_NEVER_MS;
  m->last_ack_ms = now_ms;
  m->next_probe_ms
      = now_ms + (int64_t)membership_random (m, (uint64_t)m->probe_ms);
  m->sync_spacing_ms = FIRST_SYNC_MS;
  m->next_sync_ms = now_ms + FIRST_SYNC_MS;
  return m;
}

void
beryl_membership_destroy (struct beryl_membership *m)
{
  if (m == NULL)
    return;
  free (m->slots);
  free (m);
}

size_t
beryl_membership_count (const struct beryl_membership *m)
{
  return m->count;
}

const struct beryl_member *
beryl_membership_get (const struct beryl_membership *m, size_t i)
{
  return &m->slots[i].member;
}

const struct beryl_member *
beryl_membership_self (const struct beryl_membership *m)
{
  return beryl_membership_find (m, m->self);
}

int64_t
beryl_membership_last_contact_ms (const struct beryl_membership *m)
{
  return m->last_contact_ms;
}

int64_t
beryl_membership_config_age_ms (const struct beryl_membership *m,
                                int64_t now_ms)
{
  return m->config_confirmed_ms != 0 ? now_ms - m->config_confirmed_ms : -1;
}

void
beryl_membership_confirm_config (struct beryl_membership *m, int64_t now_ms)
{
  m->config_confirmed_ms = now_ms;
}

void
beryl_membership_merge (struct beryl_membership *m,
                        const struct beryl_member *members, size_t count,
                        int64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    table_merge (m, &members[i], now_ms);
}

/* A changed record needs a higher incarnation: of two records with the same
 * incarnation, the receiver cannot tell which is newer. */
static void
self_changed (struct beryl_membership *m, struct slot *self, int64_t now_ms)
{
  self->member.incarnation++;
  table_queue_update (m, self, now_ms);
}

void
beryl_membership_set_entry (struct beryl_membership *m,
                            uint64_t entry_incarnation, uint16_t http_port,
                            uint16_t peer_port, int64_t now_ms)
{
  struct slot *self = table_self (m);

  if (self->member.entry_incarnation == entry_incarnation
      && self->member.http_port == http_port
      && self->member.peer_port == peer_port)
    return;
  self->member.entry_incarnation = entry_incarnation;
  self->member.http_port = http_port;
  self->member.peer_port = peer_port;
  self_changed (m, self, now_ms);
}

void
beryl_membership_set_role (struct beryl_membership *m,
                           enum beryl_member_role role, bool held,
                           int64_t now_ms)
{
  struct slot *self = table_self (m);
  uint32_t roles = self->member.roles & ~(uint32_t)role;

  if (held)
    roles |= role;
  if (self->member.roles == roles)
    return;
  self->member.roles = roles;
  self_changed (m, self, now_ms);
}

void
beryl_membership_leave (struct beryl_membership *m, int64_t now_ms)
{
  struct slot *self = table_self (m);

  if (self->member.leaving)
    return;
  self->member.leaving = true;
  self_changed (m, self, now_ms);
}

void
membership_hear_config (struct beryl_membership *m, uint64_t version,
                        int64_t now_ms)
{
  if (version > m->config_heard)
    m->config_heard = version;
  m->version_due = true;
  if (m->next_update_ms == BERYL_NEVER_MS)
    m->next_update_ms = now_ms;
}

void
beryl_membership_set_config (struct beryl_membership *m, uint64_t version,
                             int64_t now_ms)
{
  struct slot *self = table_self (m);

  if (version <= self->member.config_version)
    return;
  self->member.config_version = version;
  membership_hear_config (m, version, now_ms);
}

void
beryl_membership_set_applied (struct beryl_membership *m, uint64_t version,
                              int64_t now_ms)
{
  struct slot *self = table_self (m);

  if (version == self->member.config_applied)
    return;
  self->member.config_applied = version;
  m->applied_due = true;
  if (m->next_update_ms == BERYL_NEVER_MS)
    m->next_update_ms = now_ms;
}

static const struct beryl_listed_instance *
listed_find (const struct beryl_listed_instance *items, size_t count,
             const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (items[i].name, name) == 0)
      return &items[i];
  return NULL;
}

/* Inserts a listed instance as suspect: it counts as alive only once it has
 * sent a message. */
static void
seed_insert (struct beryl_membership *m,
             const struct beryl_listed_instance *item, int64_t now_ms)
{
  struct beryl_member seed = { .state = BERYL_MEMBER_SUSPECT };

  memcpy (seed.name, item->name, sizeof seed.name);
  memcpy (seed.address, item->address, sizeof seed.address);
  seed.port = item->port;
  memcpy (seed.data_centre, item->data_centre, sizeof seed.data_centre);
  memcpy (seed.region, item->region, sizeof seed.region);
  table_merge (m, &seed, now_ms);
}

/* Declares a member dead that has been both suspect and missing from the
 * instance list for dead_after_ms.  Neither is enough alone: the list lags and
 * flaps, packets are lost, and a member that is declared dead by mistake has
 * its calls in progress cancelled.  Being listed does not make a silent member
 * alive. */
static void
absence_check (struct beryl_membership *m, struct slot *slot, bool listed,
               int64_t now_ms)
{
  if (listed)
    {
      slot->unlisted_ms = 0;
      return;
    }
  if (slot->unlisted_ms == 0)
    slot->unlisted_ms = now_ms;
  if (slot->member.state == BERYL_MEMBER_DEAD
      || !BERYL_GUARD (BERYL_GUARD_MEMBER_SILENT,
                       slot->member.state == BERYL_MEMBER_SUSPECT
                           && now_ms - slot->suspect_ms >= m->dead_after_ms)
      || !BERYL_GUARD (BERYL_GUARD_MEMBER_ABSENCE,
                       now_ms - slot->unlisted_ms >= m->dead_after_ms))
    return;
  slot->member.state = BERYL_MEMBER_DEAD;
  slot->dead_ms = now_ms;
  table_queue_update (m, slot, now_ms);
  m->owner->impl->changed (m->owner, &slot->member);
}

void
beryl_membership_set_instances (struct beryl_membership *m,
                                const struct beryl_listed_instance *items,
                                size_t count, int64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    if (table_find (m, items[i].name) == NULL)
      seed_insert (m, &items[i], now_ms);
  for (size_t i = 0; i < m->count; i++)
    {
      struct slot *slot = &m->slots[i];
      const struct beryl_listed_instance *item
          = listed_find (items, count, slot->member.name);

      if (strcmp (slot->member.name, m->self) == 0)
        continue;
      if (item != NULL && item->leaving && !slot->member.leaving)
        {
          struct beryl_member record = slot->member;

          record.leaving = true;
          table_merge (m, &record, now_ms);
        }
      absence_check (m, slot, item != NULL, now_ms);
    }
}

const char *
beryl_member_state_name (enum beryl_member_state state)
{
  switch (state)
    {
    case BERYL_MEMBER_ALIVE:
      return "alive";
    case BERYL_MEMBER_SUSPECT:
      return "suspect";
    case BERYL_MEMBER_DEAD:
      return "dead";
    }
  return "unknown";
}
