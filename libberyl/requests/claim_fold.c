#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

/* Least time between two writes of one shard's folding. */
#define FOLD_SPACING_MS 50
#define FOLD_BACKOFF_MS 1000
#define FOLD_CHECK_MS 5000

static bool
old_enough (const struct shard *shard, const struct segment *segment,
            int64_t now_ms)
{
  return now_ms - segment->seen_ms >= shard->claims->settings.delete_after_ms;
}

/* The newest object is never deleted: it tells where the log ends. */
static bool
holds_end (const struct shard *shard, const struct segment *segment)
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

/* Finds a run of old segments that fit one folded segment. */
static bool
find_run (struct shard *shard, int64_t now_ms, uint64_t *from, uint64_t *to)
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
      bool fits = !s->covered && s->from == s->to && !holds_end (shard, s)
                  && old_enough (shard, s, now_ms)
                  && claims + s->claims <= FOLD_CLAIMS_MAX
                  && (n == 0 || s->from == *to + 1);

      if (!fits && n >= shard->claims->settings.fold_segments)
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
  return n >= shard->claims->settings.fold_segments;
}

static char *
fold_value (struct shard *shard, uint64_t from, uint64_t to, const char *nonce)
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
fold_begin (struct shard *shard, enum fold_call call)
{
  shard->fold = call;
  shard->fold_id = claims_call (shard->claims, shard);
}

static bool
fold_run (struct shard *shard, int64_t now_ms)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];
  char nonce[33];
  char *value;

  if (!find_run (shard, now_ms, &shard->fold_from, &shard->fold_to))
    return false;
  claims_nonce (shard->claims, nonce);
  value = fold_value (shard, shard->fold_from, shard->fold_to, nonce);
  if (value == NULL)
    return false;
  segment_name (name, shard->number, shard->fold_from, shard->fold_to);
  fold_begin (shard, FOLD_CREATE);
  owner->impl->create (owner, shard->fold_id, name, value, strlen (value),
                       nonce);
  free (value);
  return true;
}

static bool
fold_remove (struct shard *shard, const struct segment *segment)
{
  struct beryl_claims_owner *owner = shard->claims->owner;
  char name[SEGMENT_NAME_BYTES];

  shard->fold_from = segment->from;
  shard->fold_to = segment->to;
  segment_name (name, shard->number, segment->from, segment->to);
  fold_begin (shard, FOLD_REMOVE);
  owner->impl->remove (owner, shard->fold_id, name);
  return true;
}

/* Deletes what a folded segment covers, and what is past the retention. */
static bool
fold_delete (struct shard *shard, int64_t now_ms)
{
  for (size_t i = 0; i < shard->segment_count; i++)
    {
      const struct segment *s = &shard->segments[i];
      int64_t age_ms = now_ms - s->seen_ms;

      if (holds_end (shard, s) || !old_enough (shard, s, now_ms))
        continue;
      if (s->covered || age_ms >= shard->claims->settings.retention_ms)
        return fold_remove (shard, s);
    }
  return false;
}

void
fold_step (struct shard *shard, int64_t now_ms)
{
  if (shard->fold != FOLD_IDLE || !shard->read || now_ms < shard->fold_next_ms)
    return;
  if (!fold_delete (shard, now_ms) && !fold_run (shard, now_ms))
    shard->fold_next_ms = now_ms + FOLD_CHECK_MS;
}

static struct segment *
fold_segment (struct shard *shard)
{
  for (size_t i = 0; i < shard->segment_count; i++)
    if (shard->segments[i].from == shard->fold_from
        && shard->segments[i].to == shard->fold_to)
      return &shard->segments[i];
  return NULL;
}

static void
on_folded (struct shard *shard, int64_t now_ms)
{
  struct segment *folded
      = log_add_segment (shard, shard->fold_from, shard->fold_to, now_ms);

  if (folded == NULL)
    return;
  /* It is as old as its youngest claim, or that one would be forgotten
   * before its time. */
  folded->seen_ms = INT64_MIN;
  for (size_t i = 0; i < shard->segment_count; i++)
    {
      struct segment *s = &shard->segments[i];

      if (s == folded || s->from < folded->from || s->to > folded->to)
        continue;
      s->covered = true;
      folded->claims += s->claims;
      if (s->seen_ms > folded->seen_ms)
        folded->seen_ms = s->seen_ms;
    }
}

static void
forget_claims (struct shard *shard, uint64_t from, uint64_t to)
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
      /* Removal may move a later slot to this place. */
      map_remove (&shard->index, slot.key);
      free (claim);
      shard->claims->counts.keys--;
    }
}

static void
on_removed (struct shard *shard)
{
  struct segment *segment = fold_segment (shard);

  shard->claims->counts.deleted++;
  if (segment == NULL)
    return;
  if (!segment->covered)
    forget_claims (shard, segment->from, segment->to);
  *segment = shard->segments[--shard->segment_count];
}

void
fold_on_written (struct shard *shard, enum beryl_error_code code,
                 int64_t now_ms)
{
  enum fold_call call = shard->fold;
  /* Deleting segments whose folded form was not written would lose claims,
   * and their keys could run again. */
  bool done = BERYL_GUARD (BERYL_GUARD_CHECKPOINT_WHOLE, code == BERYL_OK);

  shard->fold = FOLD_IDLE;
  shard->fold_next_ms = now_ms + (done ? FOLD_SPACING_MS : FOLD_BACKOFF_MS);
  if (call == FOLD_REMOVE && (done || code == BERYL_ERROR_NOT_FOUND))
    on_removed (shard);
  else if (call == FOLD_CREATE && done)
    on_folded (shard, now_ms);
  else if (call == FOLD_CREATE && code == BERYL_ERROR_CONFLICT)
    shard->read = false; /* another home folds: read what it has written */
}

int64_t
fold_next_ms (const struct shard *shard)
{
  if (shard->fold != FOLD_IDLE || !shard->read || shard->segment_count <= 1)
    return BERYL_NEVER_MS;
  return shard->fold_next_ms;
}
