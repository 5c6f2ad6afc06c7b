#include "beryl/live.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/map.h"

/* How far one outcome moves the averages. */
#define TIME_WEIGHT 0.1
#define FAIL_WEIGHT 0.15
/* An endpoint is avoided after as many failures in a row, or from that share
 * of failures on.  One in five is above what overload or a caller's own bad
 * requests cause, and reached within half a dozen calls of a broken one. */
#define FAULTS_AVOID 2
#define FAIL_RATE_AVOID 0.2
/* How long it is avoided; doubled up to eight times while trials fail. */
#define AVOID_MS 500
#define AVOID_DOUBLINGS_MAX 3
/* Distance of trials while it is avoided or its last outcome was bad.
 * Without them an endpoint that failed once would get nothing while the
 * others are not busy, and its recovery would not be seen. */
#define TRIAL_MS 500

/* What peers say of an endpoint that they cannot reach, and what this node has
 * seen of it itself, counts for so long. */
#define DOUBT_MS 1000

/* The list is confirmed every two seconds or so; after a longer silence it was
 * away, or this node was. */
#define AWAY_MS 3000
/* Lapsed entries of healthy endpoints are back so soon after its return. */
#define LAPSE_MS 2500
/* Part of the time in which an endpoint that left may get work that is used
 * here; the rest is for news that came late. */
#define KEEP_PART 0.7

struct beryl_live_set
{
  struct beryl_live **items;
  size_t count;
  size_t capacity;
  struct map by_id;
  int64_t leave_ms;
  int64_t synced_ms;   /* 0: never */
  int64_t returned_ms; /* the list's last return after an absence; 0: none */
};

/* How long after an endpoint was known to leave it may get work from here. */
static int64_t
keep_ms (const struct beryl_live_set *lives)
{
  return (int64_t)(KEEP_PART * (double)lives->leave_ms);
}

static struct map_key
id_key (const char *id)
{
  XXH128_hash_t hash = XXH3_128bits (id, strlen (id));

  return (struct map_key){ hash.high64, hash.low64 };
}

uint32_t
beryl_live_hash (const struct beryl_live *live)
{
  const char *id = live->info.id;

  return (uint32_t)XXH3_64bits_withSeed (id, strlen (id),
                                         live->info.process_start_ms);
}

struct beryl_live_set *
beryl_live_set_create (int64_t leave_ms)
{
  struct beryl_live_set *lives = calloc (1, sizeof *lives);

  lives->leave_ms = leave_ms;
  return lives;
}

void
beryl_live_set_destroy (struct beryl_live_set *lives)
{
  if (lives == NULL)
    return;
  for (size_t i = 0; i < lives->count; i++)
    free (lives->items[i]);
  free (lives->items);
  map_clear (&lives->by_id);
  free (lives);
}

struct beryl_live *
beryl_live_set_find (const struct beryl_live_set *lives, const char *id)
{
  return map_get (&lives->by_id, id_key (id));
}

static struct beryl_live *
lives_add (struct beryl_live_set *lives, const char *id)
{
  struct beryl_live *live = calloc (1, sizeof *live);

  if (lives->count == lives->capacity)
    {
      lives->capacity = lives->capacity != 0 ? 2 * lives->capacity : 16;
      lives->items = realloc (lives->items,
                              lives->capacity * sizeof (struct beryl_live *));
    }
  lives->items[lives->count++] = live;
  map_put (&lives->by_id, id_key (id), live);
  return live;
}

static void
lives_release (struct beryl_live_set *lives, struct beryl_live *live)
{
  for (size_t i = 0; i < lives->count; i++)
    if (lives->items[i] == live)
      {
        lives->items[i] = lives->items[--lives->count];
        break;
      }
  /* The id may be that of a later life already. */
  if (beryl_live_set_find (lives, live->info.id) == live)
    map_remove (&lives->by_id, id_key (live->info.id));
  free (live);
}

static void
live_gone (struct beryl_live_set *lives, struct beryl_live *live)
{
  live->gone = true;
  live->lapsed_until_ms = 0;
  if (live->open_exchanges == 0)
    lives_release (lives, live);
}

static bool
was_former (const struct beryl_live *live, uint64_t born_ms)
{
  for (size_t i = 0; i < BERYL_LIVE_PREVIOUS_MAX; i++)
    if (born_ms != 0 && live->previous_starts_ms[i] == born_ms)
      return true;
  return false;
}

static bool
starts_again (const struct beryl_live *live,
              const struct beryl_live_info *info)
{
  return live->info.process_start_ms != 0 && info->process_start_ms != 0
         && live->info.process_start_ms != info->process_start_ms;
}

/* An endpoint that has started again under its id holds nothing of before: no
 * reservation, no KV cache, no run, no history of speed or failures.  Each of
 * these refers to the object of its life, or tells its number, so that a new
 * object voids them all; requests would otherwise be sent with handles that
 * another life may have given to others. */
static struct beryl_live *
live_succeed (struct beryl_live_set *lives, struct beryl_live *live,
              int64_t now_ms)
{
  struct beryl_live *next = lives_add (lives, live->info.id);

  next->previous_starts_ms[0] = live->info.process_start_ms;
  memcpy (&next->previous_starts_ms[1], live->previous_starts_ms,
          sizeof live->previous_starts_ms
              - sizeof live->previous_starts_ms[0]);
  beryl_live_mark_replaced (live, now_ms);
  live->leaving_since_ms = now_ms;
  live_gone (lives, live);
  return next;
}

struct beryl_live *
beryl_live_set_put (struct beryl_live_set *lives,
                    const struct beryl_live_info *info, int64_t now_ms)
{
  struct beryl_live *live = beryl_live_set_find (lives, info->id);
  uint64_t born_ms = info->process_start_ms;

  if (live == NULL)
    live = lives_add (lives, info->id);
  else if (info->revision < live->info.revision
           || was_former (live, info->process_start_ms))
    return live;
  else if (starts_again (live, info))
    live = live_succeed (lives, live, now_ms);
  else if (born_ms == 0)
    born_ms = live->info.process_start_ms;
  live->info = *info;
  live->info.process_start_ms = born_ms;
  live->gone = false;
  live->lapsed_until_ms = 0;
  if (!info->leaving)
    live->leaving_since_ms = 0;
  else if (live->leaving_since_ms == 0)
    live->leaving_since_ms = now_ms;
  return live;
}

/* News comes before the list is confirmed, so that the first news after an
 * absence must notice it itself. */
static void
note_return (struct beryl_live_set *lives, int64_t now_ms)
{
  if (lives->synced_ms != 0 && now_ms - lives->synced_ms >= AWAY_MS)
    lives->returned_ms = now_ms;
}

void
beryl_live_set_remove (struct beryl_live_set *lives, const char *id,
                       int64_t now_ms)
{
  struct beryl_live *live = beryl_live_set_find (lives, id);

  if (live == NULL || live->gone)
    return;
  note_return (lives, now_ms);
  if (live->leaving_since_ms == 0)
    live->leaving_since_ms = now_ms;
  if (lives->returned_ms != 0 && now_ms < lives->returned_ms + LAPSE_MS
      && !live->info.leaving)
    live->lapsed_until_ms = now_ms + keep_ms (lives);
  else
    live_gone (lives, live);
}

void
beryl_live_set_reject (struct beryl_live_set *lives, const char *id,
                       int64_t now_ms)
{
  struct beryl_live *live = beryl_live_set_find (lives, id);

  if (live == NULL || live->gone)
    return;
  if (live->leaving_since_ms == 0)
    live->leaving_since_ms = now_ms;
  live_gone (lives, live);
}

void
beryl_live_set_synced (struct beryl_live_set *lives, int64_t now_ms)
{
  note_return (lives, now_ms);
  lives->synced_ms = now_ms;
}

int64_t
beryl_live_set_synced_ms (const struct beryl_live_set *lives)
{
  return lives->synced_ms;
}

bool
beryl_live_set_expire (struct beryl_live_set *lives, int64_t now_ms)
{
  bool any = false;

  for (size_t i = lives->count; i > 0; i--)
    {
      struct beryl_live *live = lives->items[i - 1];

      if (live->lapsed_until_ms == 0 || now_ms < live->lapsed_until_ms)
        continue;
      live_gone (lives, live);
      any = true;
    }
  return any;
}

size_t
beryl_live_set_count (const struct beryl_live_set *lives)
{
  return lives->count;
}

struct beryl_live *
beryl_live_set_get (const struct beryl_live_set *lives, size_t i)
{
  return lives->items[i];
}

bool
beryl_live_accepts_work (const struct beryl_live *live)
{
  return !live->gone && !live->info.leaving && live->replaced_ms == 0;
}

bool
beryl_live_set_allows_bound_work (const struct beryl_live_set *lives,
                                  const struct beryl_live *live,
                                  int64_t now_ms)
{
  return beryl_live_accepts_work (live)
         || (live->leaving_since_ms != 0 && live->replaced_ms == 0
             && now_ms < live->leaving_since_ms + keep_ms (lives));
}

bool
beryl_live_stage_changing (const struct beryl_live *live, int64_t now_ms)
{
  return now_ms < live->stage_change_until_ms;
}

void
beryl_live_open (struct beryl_live *live)
{
  live->open_exchanges++;
}

void
beryl_live_close (struct beryl_live_set *lives, struct beryl_live *live)
{
  live->open_exchanges--;
  if (live->gone && live->open_exchanges == 0)
    lives_release (lives, live);
}

static int64_t
avoid_ms (const struct beryl_live *live)
{
  uint32_t doublings = live->consecutive_failures > FAULTS_AVOID
                           ? live->consecutive_failures - FAULTS_AVOID
                           : 0;

  if (doublings > AVOID_DOUBLINGS_MAX)
    doublings = AVOID_DOUBLINGS_MAX;
  return (int64_t)AVOID_MS << doublings;
}

void
beryl_live_record_outcome (struct beryl_live *live,
                           enum beryl_live_outcome outcome, int64_t took_ms,
                           int64_t now_ms)
{
  bool failed = outcome != BERYL_LIVE_ANSWERED;

  live->failure_rate
      += FAIL_WEIGHT * ((failed ? 1.0 : 0.0) - live->failure_rate);
  if (!failed)
    {
      live->consecutive_failures = 0;
      live->last_failure_ms = 0;
      live->unreachable_ms = 0;
      live->answered_ms = now_ms;
      if (live->response_time_ms == 0)
        live->response_time_ms = (double)took_ms;
      live->response_time_ms
          += TIME_WEIGHT * ((double)took_ms - live->response_time_ms);
      if (live->failure_rate < FAIL_RATE_AVOID)
        live->avoid_until_ms = 0;
      return;
    }
  live->consecutive_failures++;
  live->last_failure_ms = now_ms;
  if (outcome == BERYL_LIVE_TIMED_OUT
      || live->consecutive_failures >= FAULTS_AVOID
      || live->failure_rate >= FAIL_RATE_AVOID)
    live->avoid_until_ms = now_ms + avoid_ms (live);
}

void
beryl_live_mark_replaced (struct beryl_live *live, int64_t now_ms)
{
  if (live->replaced_ms == 0)
    live->replaced_ms = now_ms;
}

void
beryl_live_mark_unreachable (struct beryl_live *live, int64_t now_ms)
{
  live->unreachable_ms = now_ms;
}

/* With many nodes each calls an endpoint seldom, and would find out by itself
 * that it is dead long after the first ones.  One node alone may be cut off
 * from what others reach, so that two must say so, and what this node has seen
 * itself goes before it. */
bool
beryl_live_suspect (struct beryl_live *live, uint32_t by, int64_t now_ms)
{
  bool again = live->suspected_ms != 0 && live->suspected_by != by
               && now_ms - live->suspected_ms < DOUBT_MS;
  bool was_avoided = beryl_live_avoided (live, now_ms);

  if (live->answered_ms != 0 && now_ms - live->answered_ms < DOUBT_MS)
    return false;
  live->suspected_by = by;
  live->suspected_ms = now_ms;
  if (!again)
    return false;
  if (live->avoid_until_ms < now_ms + AVOID_MS)
    live->avoid_until_ms = now_ms + AVOID_MS;
  live->last_probe_ms = now_ms;
  return !was_avoided;
}

/* Lapsed entries are kept because an outage of the list makes those of healthy
 * endpoints lapse too.  One that has failed as well is gone: asked for room
 * again and again, two such engines took half of the time that requests had
 * to find a place, at a peak when the others were full. */
static bool
lapsed_and_failed (const struct beryl_live *live)
{
  return live->lapsed_until_ms != 0 && live->last_failure_ms != 0;
}

bool
beryl_live_avoided (const struct beryl_live *live, int64_t now_ms)
{
  return now_ms < live->avoid_until_ms || lapsed_and_failed (live);
}

bool
beryl_live_probe_due (const struct beryl_live *live, int64_t now_ms)
{
  return !lapsed_and_failed (live)
         && (beryl_live_avoided (live, now_ms) || live->last_failure_ms != 0)
         && now_ms - live->last_probe_ms >= TRIAL_MS
         && now_ms - live->last_failure_ms >= TRIAL_MS;
}

const char *
beryl_stage_name (enum beryl_stage stage)
{
  static const char *const names[] = { "none", "prefill", "decode" };

  return names[stage];
}
