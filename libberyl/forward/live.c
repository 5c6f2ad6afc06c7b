#include "beryl/live.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/map.h"

/* Weights of the newest outcome in the averages. */
#define TIME_WEIGHT 0.1
#define FAIL_WEIGHT 0.15
/* An endpoint is avoided after this many consecutive failures, or from this
   failure rate on. One in five is more than overload or a caller's own bad
   requests cause, and a broken endpoint reaches it within half a dozen
   calls. */
#define FAULTS_AVOID 2
#define FAIL_RATE_AVOID 0.2
/* How long it is avoided; doubled at most three times, to eight times as long,
   while trials fail. */
#define AVOID_MS 500
#define AVOID_DOUBLINGS_MAX 3
/* Interval of trials while an endpoint is avoided or its last call failed.
   Without trials an endpoint that failed once would get no requests while the
   others are not busy, and its recovery would go unnoticed. */
#define TRIAL_MS 500

/* How long a peer's report that it cannot reach an endpoint counts, and how
   long an answer to this node overrides such reports. */
#define DOUBT_MS 1000

/* The list is confirmed about every two seconds; after a longer silence the
   list, or this node, was disconnected. */
#define AWAY_MS 3000
/* Lapsed entries of healthy endpoints are back within this time after the
   list's return. */
#define LAPSE_MS 2500
/* Part of the time in which a leaving endpoint may get work that is used here;
   the rest allows for late updates of the list. */
#define KEEP_PART 0.7

struct beryl_lives
{
  struct beryl_live **items;
  size_t count;
  size_t capacity;
  struct map by_id;
  int64_t leave_ms;
  int64_t synced_ms;   /* 0: never */
  int64_t returned_ms; /* the list's last return after an absence; 0: none */
};

/* Returns how long after an endpoint was known to leave it may get work from
   this node. */
static int64_t
keep_ms (const struct beryl_lives *lives)
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
beryl_live_number (const struct beryl_live *live)
{
  const char *id = live->info.id;

  return (uint32_t)XXH3_64bits_withSeed (id, strlen (id), live->info.born_ms);
}

struct beryl_lives *
beryl_lives_create (int64_t leave_ms)
{
  struct beryl_lives *lives = calloc (1, sizeof *lives);

  lives->leave_ms = leave_ms;
  return lives;
}

void
beryl_lives_destroy (struct beryl_lives *lives)
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
beryl_lives_find (const struct beryl_lives *lives, const char *id)
{
  return map_get (&lives->by_id, id_key (id));
}

static struct beryl_live *
lives_add (struct beryl_lives *lives, const char *id)
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
lives_release (struct beryl_lives *lives, struct beryl_live *live)
{
  for (size_t i = 0; i < lives->count; i++)
    if (lives->items[i] == live)
      {
        lives->items[i] = lives->items[--lives->count];
        break;
      }
  /* The id may already belong to a later incarnation. */
  if (beryl_lives_find (lives, live->info.id) == live)
    map_remove (&lives->by_id, id_key (live->info.id));
  free (live);
}

static void
live_gone (struct beryl_lives *lives, struct beryl_live *live)
{
  live->gone = true;
  live->lapsed_until_ms = 0;
  if (live->open == 0)
    lives_release (lives, live);
}

static bool
was_former (const struct beryl_live *live, uint64_t born_ms)
{
  for (size_t i = 0; i < BERYL_LIVE_FORMER_MAX; i++)
    if (born_ms != 0 && live->former[i] == born_ms)
      return true;
  return false;
}

static bool
starts_again (const struct beryl_live *live,
              const struct beryl_live_info *info)
{
  return live->info.born_ms != 0 && info->born_ms != 0
         && live->info.born_ms != info->born_ms;
}

/* An endpoint that has restarted under its id has lost all earlier state:
   reservations, KV caches, runs, and its history of speed and failures. Each
   of these refers to the object of its incarnation, or to its number, so a new
   object invalidates them all. Otherwise requests would be sent with handles
   that the new incarnation may have given to other requests. */
static struct beryl_live *
live_succeed (struct beryl_lives *lives, struct beryl_live *live,
              int64_t now_ms)
{
  struct beryl_live *next = lives_add (lives, live->info.id);

  next->former[0] = live->info.born_ms;
  memcpy (&next->former[1], live->former,
          sizeof live->former - sizeof live->former[0]);
  beryl_live_replaced (live, now_ms);
  live->left_ms = now_ms;
  live_gone (lives, live);
  return next;
}

struct beryl_live *
beryl_lives_put (struct beryl_lives *lives, const struct beryl_live_info *info,
                 int64_t now_ms)
{
  struct beryl_live *live = beryl_lives_find (lives, info->id);
  uint64_t born_ms = info->born_ms;

  if (live == NULL)
    live = lives_add (lives, info->id);
  else if (info->revision < live->info.revision
           || was_former (live, info->born_ms))
    return live;
  else if (starts_again (live, info))
    live = live_succeed (lives, live, now_ms);
  else if (born_ms == 0)
    born_ms = live->info.born_ms;
  live->info = *info;
  live->info.born_ms = born_ms;
  live->gone = false;
  live->lapsed_until_ms = 0;
  if (!info->leaving)
    live->left_ms = 0;
  else if (live->left_ms == 0)
    live->left_ms = now_ms;
  return live;
}

/* Updates arrive before the list is confirmed, so the first update after an
   outage must detect the return itself. */
static void
note_return (struct beryl_lives *lives, int64_t now_ms)
{
  if (lives->synced_ms != 0 && now_ms - lives->synced_ms >= AWAY_MS)
    lives->returned_ms = now_ms;
}

void
beryl_lives_remove (struct beryl_lives *lives, const char *id, int64_t now_ms)
{
  struct beryl_live *live = beryl_lives_find (lives, id);

  if (live == NULL || live->gone)
    return;
  note_return (lives, now_ms);
  if (live->left_ms == 0)
    live->left_ms = now_ms;
  if (lives->returned_ms != 0 && now_ms < lives->returned_ms + LAPSE_MS
      && !live->info.leaving)
    live->lapsed_until_ms = now_ms + keep_ms (lives);
  else
    live_gone (lives, live);
}

void
beryl_lives_reject (struct beryl_lives *lives, const char *id, int64_t now_ms)
{
  struct beryl_live *live = beryl_lives_find (lives, id);

  if (live == NULL || live->gone)
    return;
  if (live->left_ms == 0)
    live->left_ms = now_ms;
  live_gone (lives, live);
}

void
beryl_lives_synced (struct beryl_lives *lives, int64_t now_ms)
{
  note_return (lives, now_ms);
  lives->synced_ms = now_ms;
}

int64_t
beryl_lives_synced_ms (const struct beryl_lives *lives)
{
  return lives->synced_ms;
}

bool
beryl_lives_expire (struct beryl_lives *lives, int64_t now_ms)
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
beryl_lives_count (const struct beryl_lives *lives)
{
  return lives->count;
}

struct beryl_live *
beryl_lives_get (const struct beryl_lives *lives, size_t i)
{
  return lives->items[i];
}

bool
beryl_live_takes_work (const struct beryl_live *live)
{
  return !live->gone && !live->info.leaving && live->replaced_ms == 0;
}

bool
beryl_lives_may_return (const struct beryl_lives *lives,
                        const struct beryl_live *live, int64_t now_ms)
{
  return beryl_live_takes_work (live)
         || (live->left_ms != 0 && live->replaced_ms == 0
             && now_ms < live->left_ms + keep_ms (lives));
}

bool
beryl_live_changing (const struct beryl_live *live, int64_t now_ms)
{
  return now_ms < live->changing_until_ms;
}

void
beryl_live_open (struct beryl_live *live)
{
  live->open++;
}

void
beryl_live_close (struct beryl_lives *lives, struct beryl_live *live)
{
  live->open--;
  if (live->gone && live->open == 0)
    lives_release (lives, live);
}

static int64_t
avoid_ms (const struct beryl_live *live)
{
  uint32_t doublings
      = live->faults > FAULTS_AVOID ? live->faults - FAULTS_AVOID : 0;

  if (doublings > AVOID_DOUBLINGS_MAX)
    doublings = AVOID_DOUBLINGS_MAX;
  return (int64_t)AVOID_MS << doublings;
}

void
beryl_live_learn (struct beryl_live *live, enum beryl_live_outcome outcome,
                  int64_t took_ms, int64_t now_ms)
{
  bool failed = outcome != BERYL_LIVE_ANSWERED;

  live->fail_rate += FAIL_WEIGHT * ((failed ? 1.0 : 0.0) - live->fail_rate);
  if (!failed)
    {
      live->faults = 0;
      live->fault_ms = 0;
      live->unreachable_ms = 0;
      live->answered_ms = now_ms;
      if (live->answer_ms == 0)
        live->answer_ms = (double)took_ms;
      live->answer_ms += TIME_WEIGHT * ((double)took_ms - live->answer_ms);
      if (live->fail_rate < FAIL_RATE_AVOID)
        live->avoid_until_ms = 0;
      return;
    }
  live->faults++;
  live->fault_ms = now_ms;
  if (outcome == BERYL_LIVE_SILENT || live->faults >= FAULTS_AVOID
      || live->fail_rate >= FAIL_RATE_AVOID)
    live->avoid_until_ms = now_ms + avoid_ms (live);
}

void
beryl_live_replaced (struct beryl_live *live, int64_t now_ms)
{
  if (live->replaced_ms == 0)
    live->replaced_ms = now_ms;
}

void
beryl_live_unreachable (struct beryl_live *live, int64_t now_ms)
{
  live->unreachable_ms = now_ms;
}

/* With many nodes each calls an endpoint rarely, and would notice that it is
   dead long after the first nodes did. A single node may be cut off from an
   endpoint that others reach, so reports of two peers are needed, and this
   node's own recent answers override them. */
bool
beryl_live_doubt (struct beryl_live *live, uint32_t by, int64_t now_ms)
{
  bool again = live->doubted_ms != 0 && live->doubted_by != by
               && now_ms - live->doubted_ms < DOUBT_MS;
  bool was_avoided = beryl_live_avoided (live, now_ms);

  if (live->answered_ms != 0 && now_ms - live->answered_ms < DOUBT_MS)
    return false;
  live->doubted_by = by;
  live->doubted_ms = now_ms;
  if (!again)
    return false;
  if (live->avoid_until_ms < now_ms + AVOID_MS)
    live->avoid_until_ms = now_ms + AVOID_MS;
  live->trial_ms = now_ms;
  return !was_avoided;
}

/* Lapsed entries are kept because an outage of the list makes those of healthy
   endpoints lapse too. An endpoint that has also failed is taken for dead: at
   a peak, two such engines that were asked again and again took half of the
   time that requests had to get memory while the other engines were full. */
static bool
lapsed_and_failed (const struct beryl_live *live)
{
  return live->lapsed_until_ms != 0 && live->fault_ms != 0;
}

bool
beryl_live_avoided (const struct beryl_live *live, int64_t now_ms)
{
  return now_ms < live->avoid_until_ms || lapsed_and_failed (live);
}

bool
beryl_live_trial_due (const struct beryl_live *live, int64_t now_ms)
{
  return !lapsed_and_failed (live)
         && (beryl_live_avoided (live, now_ms) || live->fault_ms != 0)
         && now_ms - live->trial_ms >= TRIAL_MS
         && now_ms - live->fault_ms >= TRIAL_MS;
}

const char *
beryl_stage_name (enum beryl_stage stage)
{
  static const char *const names[] = { "none", "prefill", "decode" };

  return names[stage];
}
