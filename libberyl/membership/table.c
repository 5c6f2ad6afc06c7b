#include "private.h"

#include "../base/guard_control.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "beryl/clock.h"

/* Time that a dead member is retained, so that outdated records do not revive
 * it. */
#define DEAD_RETENTION_MS 600000
/* A record is piggybacked this many times the logarithm of the member count.
 */
#define TRANSMITS_FACTOR 4
/* Probe intervals without any ack after which this node may be isolated. */
#define ISOLATION_PROBES 3

static size_t
table_index (const struct beryl_membership *m, const char *name, bool *found)
{
  size_t low = 0;
  size_t high = m->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (m->slots[middle].member.name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < m->count && strcmp (m->slots[low].member.name, name) == 0;
  return low;
}

struct slot *
table_find (struct beryl_membership *m, const char *name)
{
  bool found;
  size_t i = table_index (m, name, &found);

  return found ? &m->slots[i] : NULL;
}

struct slot *
table_self (struct beryl_membership *m)
{
  return table_find (m, m->self);
}

static struct slot *
table_insert (struct beryl_membership *m, const struct beryl_member *record)
{
  bool found;
  size_t i = table_index (m, record->name, &found);

  if (m->slots == NULL || m->count == m->capacity)
    {
      size_t capacity = m->capacity * 2 + 1;
      struct slot *slots = realloc (m->slots, capacity * sizeof *slots);

      if (slots == NULL)
        return NULL;
      m->slots = slots;
      m->capacity = capacity;
    }
  memmove (&m->slots[i + 1], &m->slots[i], (m->count - i) * sizeof *m->slots);
  memset (&m->slots[i], 0, sizeof m->slots[i]);
  memcpy (m->slots[i].member.name, record->name,
          sizeof m->slots[i].member.name);
  m->count++;
  return &m->slots[i];
}

static uint32_t
transmits_limit (const struct beryl_membership *m)
{
  uint32_t bits = 1;

  for (size_t n = m->count; n > 0; n /= 2)
    bits++;
  return TRANSMITS_FACTOR * bits;
}

void
table_queue_update (struct beryl_membership *m, struct slot *slot,
                    int64_t now_ms)
{
  slot->transmits_left = transmits_limit (m);
  slot->immediate_left = IMMEDIATE_SENDS;
  if (m->next_update_ms == BERYL_NEVER_MS)
    m->next_update_ms = now_ms;
}

const struct beryl_member *
beryl_membership_find (const struct beryl_membership *m, const char *name)
{
  bool found;
  size_t i = table_index (m, name, &found);

  return found ? &m->slots[i].member : NULL;
}

static void
table_changed (struct beryl_membership *m, const struct slot *slot)
{
  struct beryl_member copy = slot->member;

  m->owner->impl->changed (m->owner, &copy);
}

/* Refutes a record by which this node is suspect or dead, or which stems from
 * a previous run with a higher incarnation, by raising this node's incarnation
 * above it.  Incarnations come from the clock, which may have been set back.
 */
static void
self_refute (struct beryl_membership *m, const struct beryl_member *record,
             int64_t now_ms)
{
  struct slot *self = table_self (m);

  if (BERYL_GUARD (BERYL_GUARD_MEMBER_REFUTE,
                   record->incarnation < self->member.incarnation))
    return;
  if (record->incarnation == self->member.incarnation
      && record->state == BERYL_MEMBER_ALIVE)
    return;
  self->member.incarnation = record->incarnation + 1;
  table_queue_update (m, self, now_ms);
}

/* Replaces SLOT's record and announces the change.  Always returns true, the
 * result of table_merge. */
static bool
slot_replace (struct beryl_membership *m, struct slot *slot,
              const struct beryl_member *record, int64_t now_ms)
{
  uint64_t config_version = slot->member.config_version;
  uint64_t config_applied = slot->member.config_applied;

  if (record->state == BERYL_MEMBER_SUSPECT
      && slot->member.state != BERYL_MEMBER_SUSPECT)
    slot->suspect_ms = now_ms;
  slot->member = *record;
  slot->member.config_version = config_version;
  slot->member.config_applied = config_applied;
  if (record->state == BERYL_MEMBER_DEAD)
    slot->dead_ms = now_ms;
  table_queue_update (m, slot, now_ms);
  table_changed (m, slot);
  return true;
}

static bool
slot_merge_same_incarnation (struct beryl_membership *m, struct slot *slot,
                             const struct beryl_member *record, int64_t now_ms)
{
  struct beryl_member merged = slot->member;

  if (record->state > merged.state)
    merged.state = record->state;
  merged.leaving = merged.leaving || record->leaving;
  if (merged.state == slot->member.state
      && merged.leaving == slot->member.leaving)
    return false;
  return slot_replace (m, slot, &merged, now_ms);
}

bool
table_merge (struct beryl_membership *m, const struct beryl_member *record,
             int64_t now_ms)
{
  struct slot *slot;

  if (record->name[0] == '\0' || record->state > BERYL_MEMBER_DEAD)
    return false;
  if (strcmp (record->name, m->self) == 0)
    {
      self_refute (m, record, now_ms);
      return false;
    }
  slot = table_find (m, record->name);
  if (slot == NULL)
    {
      if (record->state == BERYL_MEMBER_DEAD)
        return false;
      slot = table_insert (m, record);
      return slot != NULL && slot_replace (m, slot, record, now_ms);
    }
  if (!BERYL_GUARD (BERYL_GUARD_MEMBER_INCARNATION,
                    record->incarnation >= slot->member.incarnation))
    return false;
  if (record->incarnation != slot->member.incarnation)
    return slot_replace (m, slot, record, now_ms);
  return slot_merge_same_incarnation (m, slot, record, now_ms);
}

/* Returns whether this node may be isolated.  Its suspicions then say nothing
 * about the others, and disseminating hundreds of them after the partition
 * would make every node refute at once. */
static bool
self_is_isolated (const struct beryl_membership *m, int64_t now_ms)
{
  return now_ms - m->last_ack_ms > ISOLATION_PROBES * m->probe_ms;
}

void
table_suspect (struct beryl_membership *m, struct slot *slot, int64_t now_ms)
{
  if (slot->member.state != BERYL_MEMBER_ALIVE)
    return;
  slot->member.state = BERYL_MEMBER_SUSPECT;
  slot->suspect_ms = now_ms;
  if (!self_is_isolated (m, now_ms))
    table_queue_update (m, slot, now_ms);
  table_changed (m, slot);
}

/* A message from the member itself proves that it is alive. */
void
table_confirm_alive (struct beryl_membership *m, struct slot *slot,
                     uint64_t incarnation, int64_t now_ms)
{
  struct beryl_member *member = &slot->member;

  m->last_contact_ms = now_ms;
  if (incarnation < member->incarnation
      || member->state != BERYL_MEMBER_SUSPECT)
    return;
  member->state = BERYL_MEMBER_ALIVE;
  table_changed (m, slot);
}

void
table_expire (struct beryl_membership *m, int64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < m->count; i++)
    if (m->slots[i].member.state != BERYL_MEMBER_DEAD
        || now_ms - m->slots[i].dead_ms < DEAD_RETENTION_MS)
      m->slots[kept++] = m->slots[i];
  m->count = kept;
}

uint64_t
beryl_membership_digest (const struct beryl_membership *m)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < m->count; i++)
    {
      const struct beryl_member *member = &m->slots[i].member;
      uint64_t seed = member->incarnation * 8 + (uint64_t)member->state * 2
                      + (member->leaving ? 1 : 0);

      if (member->state == BERYL_MEMBER_DEAD)
        continue;
      digest
          += XXH3_64bits_withSeed (member->name, strlen (member->name), seed);
    }
  return digest;
}

static uint64_t
candidate_score (const char *purpose, const char *name)
{
  uint64_t seed = XXH3_64bits (purpose, strlen (purpose));

  return XXH3_64bits_withSeed (name, strlen (name), seed);
}

static bool
is_eligible (const struct beryl_member *member, const char *data_centre)
{
  if (member->state != BERYL_MEMBER_ALIVE || member->leaving)
    return false;
  return data_centre[0] == '\0'
         || strcmp (member->data_centre, data_centre) == 0;
}

bool
beryl_membership_is_candidate (const struct beryl_membership *m,
                               const char *purpose, const char *data_centre,
                               uint32_t max_candidates)
{
  const struct beryl_member *self = beryl_membership_self (m);
  uint64_t score = candidate_score (purpose, self->name);
  uint32_t ahead = 0;

  if (!is_eligible (self, data_centre))
    return false;
  for (size_t i = 0; i < m->count; i++)
    {
      const struct beryl_member *member = &m->slots[i].member;

      if (is_eligible (member, data_centre)
          && candidate_score (purpose, member->name) > score)
        ahead++;
    }
  return ahead < max_candidates;
}
