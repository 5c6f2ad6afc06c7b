/* In-memory index of a shard's log.  The first claim of a key wins. */
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

/* A segment object that was read. */
struct read_segment
{
  uint64_t from;
  uint64_t to;
  const struct beryl_object *object;
};

bool
log_put (struct shard *shard, struct map_key key, const struct claim *claim)
{
  struct claim *stored = map_get (&shard->index, key);

  if (stored != NULL)
    return true;
  stored = malloc (sizeof *stored);
  if (stored == NULL)
    return false;
  *stored = *claim;
  if (!map_put (&shard->index, key, stored))
    {
      free (stored);
      return false;
    }
  shard->claims->counts.keys++;
  return true;
}

struct segment *
log_add_segment (struct shard *shard, uint64_t from, uint64_t to,
                 int64_t now_ms)
{
  struct segment *segment;

  for (size_t i = 0; i < shard->segment_count; i++)
    if (shard->segments[i].from == from && shard->segments[i].to == to)
      return &shard->segments[i];
  if (shard->segment_count == shard->segment_capacity)
    {
      size_t capacity
          = shard->segment_capacity != 0 ? shard->segment_capacity * 2 : 16;
      struct segment *segments
          = realloc (shard->segments, capacity * sizeof *segments);

      if (segments == NULL)
        return NULL;
      shard->segments = segments;
      shard->segment_capacity = capacity;
    }
  segment = &shard->segments[shard->segment_count++];
  *segment = (struct segment){ .from = from, .to = to, .seen_ms = now_ms };
  return segment;
}

void
log_clear (struct shard *shard)
{
  for (size_t i = 0; i < shard->index.capacity; i++)
    free (shard->index.slots[i].value);
  shard->claims->counts.keys -= shard->index.count;
  map_clear (&shard->index);
  shard->segment_count = 0;
  shard->next = 0;
  shard->loaded = false;
}

static int
compare_entries (const void *a, const void *b)
{
  const struct read_segment *x = a;
  const struct read_segment *y = b;

  if (x->from != y->from)
    return x->from < y->from ? -1 : 1;
  return x->to == y->to ? 0 : (x->to > y->to ? -1 : 1);
}

static struct read_segment *
entries_sorted (struct shard *shard, const struct beryl_object *objects,
                size_t object_count, size_t *count)
{
  struct read_segment *entries = calloc (object_count + 1, sizeof *entries);

  *count = 0;
  if (entries == NULL)
    return NULL;
  for (size_t i = 0; i < object_count; i++)
    {
      struct read_segment *entry = &entries[*count];

      if (!segment_parse_name (objects[i].name, shard->number, &entry->from,
                               &entry->to))
        continue;
      entry->object = &objects[i];
      (*count)++;
    }
  qsort (entries, *count, sizeof *entries, compare_entries);
  return entries;
}

/* Pages of a list may come from replicas with different lag, so a segment that
 * is compacted meanwhile may seem to be missing.  A list with a gap is not
 * applied: the claims in the missing segment would be unknown here, and their
 * keys could be granted again. */
static bool
entries_contiguous (const struct read_segment *entries, size_t count)
{
  uint64_t end = count > 0 ? entries[0].from : 0;

  for (size_t i = 0; i < count; i++)
    {
      if (entries[i].from > end)
        return false;
      if (entries[i].to >= end)
        end = entries[i].to + 1;
    }
  return true;
}

static void
visit_claim (void *data, struct map_key key, const struct claim *claim)
{
  log_put (data, key, claim);
}

/* Adds a segment to the list of segments, and its claims to the index if it
 * extends the known log.  A segment before the end is either known already, or
 * was written by a home that was suspended until the original segment with
 * this sequence number had been deleted; on_written grants no claims of such a
 * segment. */
static bool
entry_apply (struct shard *shard, const struct read_segment *entry,
             int64_t now_ms)
{
  struct segment *segment
      = log_add_segment (shard, entry->from, entry->to, now_ms);
  uint32_t claims = 0;

  if (segment == NULL)
    return false;
  if (entry->to < shard->next)
    return true;
  if (!segment_decode (entry->object, entry->from, visit_claim, shard,
                       &claims))
    return false;
  segment->claims = claims;
  shard->next = entry->to + 1;
  return true;
}

static void
mark_covered (struct shard *shard)
{
  for (size_t i = 0; i < shard->segment_count; i++)
    for (size_t k = 0; k < shard->segment_count; k++)
      {
        const struct segment *outer = &shard->segments[k];
        struct segment *inner = &shard->segments[i];

        if (outer->to - outer->from > inner->to - inner->from
            && outer->from <= inner->from && inner->to <= outer->to)
          inner->covered = true;
      }
}

bool
log_apply (struct shard *shard, const struct beryl_object *objects,
           size_t object_count, int64_t now_ms)
{
  size_t count;
  struct read_segment *entries
      = entries_sorted (shard, objects, object_count, &count);
  bool applied = entries != NULL && entries_contiguous (entries, count);

  /* If the log begins after its known end, all known segments have been
   * deleted meanwhile. */
  if (applied && count > 0
      && (!shard->loaded || entries[0].from > shard->next))
    {
      log_clear (shard);
      shard->next = entries[0].from;
    }
  for (size_t i = 0; applied && i < count; i++)
    applied = entry_apply (shard, &entries[i], now_ms);
  free (entries);
  if (applied)
    mark_covered (shard);
  return applied;
}

/* Records the batch, which was written as segment NEXT. */
void
log_append (struct shard *shard, int64_t now_ms)
{
  struct segment *segment
      = log_add_segment (shard, shard->next, shard->next, now_ms);

  if (segment != NULL)
    segment->claims = shard->batch.count;
  for (struct pending_claim *p = shard->batch.first; p != NULL; p = p->next)
    {
      struct claim claim = { p->call_hash, p->incarnation, shard->next };

      log_put (shard, p->key, &claim);
    }
  shard->next++;
}
