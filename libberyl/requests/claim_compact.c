/* Compaction of a shard's log: merges old segments into one and deletes what
 * is covered or past the retention time. */
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

/* Minimum time between two writes of one shard's compaction. */
#define WRITE_SPACING_MS 50
#define WRITE_BACKOFF_MS 1000
#define CHECK_INTERVAL_MS 5000

static bool
old_enough (const struct shard *shard, const struct segment *segment,
            int64_t now_ms)
{
  return now_ms - segment->seen_ms >= shard->claims->settings.delete_after_ms;
}

/* The newest segment is never deleted: its number tells where the log ends. */
static bool
contains_log_end (const struct shard *shard, const struct segment *segment)
{
  return segment->to + 1 >= shard->next;
}

static int
compare_segments (const void *a, const void *b)
{
  const struct segment *x = a;
  const struct segment *y = b;

  return x->from < y->from ? -1 : x->from > y->from;
}

/* Finds consecutive old segments that fit into one compacted segment. */
static bool
find_compactable (struct shard *shard, int64_t now_ms, uint64_t *from,
                  uint64_t *to)
{
  uint32_t claims = 0;
  uint32_t n = 0;

  if (shard->segment_count == 0)
    return false;
  qsort (shard->segments, shard->segment_count, sizeof *shard->segments,
         compare_segments);
  for (size_t i = 0; i < shard->segment_count; i++)
    {
      const struct segment *s = &shard->segments[i];
      bool fits = !s->covered && s->from == s->to
                  && !contains_log_end (shard, s)
                  && old_enough (shard, s, now_ms)
                  && claims + s->claims <= COMPACTED_CLAIMS_MAX
                  && (n == 0 || s->from == *to + 1);

      if (!fits && n >= shard->claims->settings.compact_min_segments)
        break;
      if (!fits)
        {
          n = 0;
          claims = 0;
          continue;
        }
      if (n == 0)
        *from = s->from;
      *to = s->to;
      claims += s->claims;
      n++;
    }
  return n >= shard->claims->settings.compact_min_segments;
}

static char *
compacted_value (struct shard *shard, uint64_t from, uint64_t to,
                 const char *nonce)
{
  struct segment_writer *writer = segment_writer_create (nonce);

  if (writer == NULL)
    return NULL;
  for (size_t i = 0; i < shard->index.capacity; i++)
    {
      const struct claim *claim = shard->index.slots[i].value;

      if (claim != NULL && from <= claim->sequence && claim->sequence <= to)
        segment_writer_add (writer, shard->index.slots[i].key, claim);
    }
  return segment_writer_finish (writer);
}

static void
begin_call (struct shard *shard, enum compaction_state call)
{
  shard->compaction = call;
  shard->compaction_call_id = claims_register_call (shard->claims, shard);
}

static bool
begin_create (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];
  char nonce[33];
  char *value;

  if (!find_compactable (shard, now_ms, &shard->compaction_from,
                         &shard->compaction_to))
    return false;
  claims_nonce (shard->claims, nonce);
  value = compacted_value (shard, shard->compaction_from, shard->compaction_to,
                           nonce);
  if (value == NULL)
    return false;
  segment_name (name, shard->number, shard->compaction_from,
                shard->compaction_to);
  begin_call (shard, COMPACTION_CREATE);
  owner->impl->create (owner, shard->compaction_call_id, name, value,
                       strlen (value), nonce);
  free (value);
  return true;
}

static bool
begin_remove (struct shard *shard, const struct segment *segment)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];

  shard->compaction_from = segment->from;
  shard->compaction_to = segment->to;
  segment_name (name, shard->number, segment->from, segment->to);
  begin_call (shard, COMPACTION_REMOVE);
  owner->impl->remove (owner, shard->compaction_call_id, name);
  return true;
}

/* Deletes one segment that is covered by a compacted one or past the retention
 * time.  Returns false if there is none. */
static bool
delete_one (struct shard *shard, int64_t now_ms)
{
  for (size_t i = 0; i < shard->segment_count; i++)
    {
      const struct segment *s = &shard->segments[i];
      int64_t age_ms = now_ms - s->seen_ms;

      if (contains_log_end (shard, s) || !old_enough (shard, s, now_ms))
        continue;
      if (s->covered || age_ms >= shard->claims->settings.retention_ms)
        return begin_remove (shard, s);
    }
  return false;
}

void
compaction_step (struct shard *shard, int64_t now_ms)
{
  if (shard->compaction != COMPACTION_IDLE || !shard->loaded
      || now_ms < shard->compaction_next_ms)
    return;
  if (!delete_one (shard, now_ms) && !begin_create (shard, now_ms))
    shard->compaction_next_ms = now_ms + CHECK_INTERVAL_MS;
}

static struct segment *
removed_segment (struct shard *shard)
{
  for (size_t i = 0; i < shard->segment_count; i++)
    if (shard->segments[i].from == shard->compaction_from
        && shard->segments[i].to == shard->compaction_to)
      return &shard->segments[i];
  return NULL;
}

static void
on_compacted (struct shard *shard, int64_t now_ms)
{
  struct segment *compacted = log_add_segment (shard, shard->compaction_from,
                                               shard->compaction_to, now_ms);

  if (compacted == NULL)
    return;
  /* A compacted segment is as old as its youngest claim; otherwise that claim
   * would be removed before its retention time. */
  compacted->seen_ms = INT64_MIN;
  for (size_t i = 0; i < shard->segment_count; i++)
    {
      struct segment *s = &shard->segments[i];

      if (s == compacted || s->from < compacted->from || s->to > compacted->to)
        continue;
      s->covered = true;
      compacted->claims += s->claims;
      if (s->seen_ms > compacted->seen_ms)
        compacted->seen_ms = s->seen_ms;
    }
}

static void
remove_claims (struct shard *shard, uint64_t from, uint64_t to)
{
  size_t i = 0;

  while (i < shard->index.capacity)
    {
      struct map_slot slot = shard->index.slots[i];
      struct claim *claim = slot.value;

      if (claim == NULL || claim->sequence < from || claim->sequence > to)
        {
          i++;
          continue;
        }
      /* Removing an entry may move a later one into this slot. */
      map_remove (&shard->index, slot.key);
      free (claim);
      shard->claims->counts.keys--;
    }
}

static void
on_removed (struct shard *shard)
{
  struct segment *segment = removed_segment (shard);

  shard->claims->counts.deleted++;
  if (segment == NULL)
    return;
  if (!segment->covered)
    remove_claims (shard, segment->from, segment->to);
  *segment = shard->segments[--shard->segment_count];
}

void
compaction_on_written (struct shard *shard, enum beryl_error_code code,
                       int64_t now_ms)
{
  enum compaction_state call = shard->compaction;
  /* Segments may be deleted only after the compacted segment that replaces
   * them was written; otherwise claims would be lost and calls with their keys
   * could run again. */
  bool done = BERYL_GUARD (BERYL_GUARD_CHECKPOINT_WHOLE, code == BERYL_OK);

  shard->compaction = COMPACTION_IDLE;
  shard->compaction_next_ms
      = now_ms + (done ? WRITE_SPACING_MS : WRITE_BACKOFF_MS);
  if (call == COMPACTION_REMOVE && (done || code == BERYL_ERROR_NOT_FOUND))
    on_removed (shard);
  else if (call == COMPACTION_CREATE && done)
    on_compacted (shard, now_ms);
  else if (call == COMPACTION_CREATE && code == BERYL_ERROR_CONFLICT)
    shard->loaded = false; /* compacted by another node, or by this one
                               with the reply lost */
}

int64_t
compaction_next_ms (const struct shard *shard)
{
  if (shard->compaction != COMPACTION_IDLE || !shard->loaded
      || shard->segment_count <= 1)
    return BERYL_NEVER_MS;
  return shard->compaction_next_ms;
}
