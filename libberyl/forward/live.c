#include "beryl/live.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/map.h"
#include "beryl/revision.h"

/* Weights of the newest outcome in the averages. */
#define TIME_WEIGHT 0.1
#define FAIL_WEIGHT 0.15
/* An endpoint is avoided after this many consecutive failures, or from this
   failure rate on. Overload and callers' bad requests cause lower rates. */
#define AVOID_FAILURES 2
#define AVOID_FAIL_RATE 0.2
/* How long an endpoint is avoided at first, and how many times that is doubled
   at most while probes fail. */
#define AVOID_MS 500
#define AVOID_DOUBLINGS_MAX 3
/* Interval of probes while an endpoint is avoided or its last call failed.
   Without probes an endpoint that failed once would get no requests while the
   others are not busy, and its recovery would go unnoticed. */
#define PROBE_INTERVAL_MS 500

/* How long a peer's report that it cannot reach an endpoint counts, and how
   long an answer to this node overrides such reports. */
#define UNREACHABLE_VALID_MS 1000

/* The endpoint list is read completely or confirmed about every two seconds;
   after a longer time without that, this node has lost the connection to the
   list, or the list is not available. */
#define LIST_OUTAGE_MS 3000
/* After an outage of the list the lapsed entries of healthy endpoints return
   within this time; endpoints that are removed from the list meanwhile are
   kept for a while (lapsed_until_ms). */
#define RELIST_MS 2500
/* Part of LEAVE_MS in which this node still sends work to a leaving endpoint;
   the rest allows for late updates of the list. */
#define LEAVE_USED_SHARE 0.7

struct beryl_live_set
{
  struct beryl_live_endpoint **items;
  size_t count;
  size_t capacity;
  struct map by_id;
  int64_t leave_ms;  /* how long a leaving endpoint may get work */
  int64_t synced_ms; /* when the list was last read completely or confirmed; 0:
                        never */
  int64_t resumed_ms; /* when updates resumed after the last outage; 0: none */
};

/* Returns how long after an endpoint was known to leave it may get work from
   this node. */
static int64_t
leaving_work_ms (const struct beryl_live_set *set)
{
  return (int64_t)(LEAVE_USED_SHARE * (double)set->leave_ms);
}

static struct map_key
id_key (const char *id)
{
  XXH128_hash_t hash = XXH3_128bits (id, strlen (id));

  return (struct map_key){ hash.high64, hash.low64 };
}

uint32_t
beryl_live_version (const struct beryl_live_endpoint *endpoint)
{
  const char *version = endpoint->info.software_version;
  uint32_t hash = (uint32_t)XXH3_64bits (version, strlen (version));

  return hash != 0 ? hash : 1;
}

uint32_t
beryl_live_hash (const struct beryl_live_endpoint *endpoint)
{
  const char *id = endpoint->info.id;

  return (uint32_t)XXH3_64bits_withSeed (id, strlen (id),
                                         endpoint->info.process_start_ms);
}

struct beryl_live_set *
beryl_live_set_create (int64_t leave_ms)
{
  struct beryl_live_set *set = calloc (1, sizeof *set);

  set->leave_ms = leave_ms;
  return set;
}

void
beryl_live_set_destroy (struct beryl_live_set *set)
{
  if (set == NULL)
    return;
  for (size_t i = 0; i < set->count; i++)
    free (set->items[i]);
  free (set->items);
  map_clear (&set->by_id);
  free (set);
}

struct beryl_live_endpoint *
beryl_live_set_find (const struct beryl_live_set *set, const char *id)
{
  return map_get (&set->by_id, id_key (id));
}

static struct beryl_live_endpoint *
lives_add (struct beryl_live_set *set, const char *id)
{
  struct beryl_live_endpoint *endpoint = calloc (1, sizeof *endpoint);

  if (set->count == set->capacity)
    {
      set->capacity = set->capacity != 0 ? 2 * set->capacity : 16;
      set->items = realloc (
          set->items, set->capacity * sizeof (struct beryl_live_endpoint *));
    }
  set->items[set->count++] = endpoint;
  map_put (&set->by_id, id_key (id), endpoint);
  return endpoint;
}

static void
lives_release (struct beryl_live_set *set,
               struct beryl_live_endpoint *endpoint)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->items[i] == endpoint)
      {
        set->items[i] = set->items[--set->count];
        break;
      }
  /* The id may already belong to a later incarnation. */
  if (beryl_live_set_find (set, endpoint->info.id) == endpoint)
    map_remove (&set->by_id, id_key (endpoint->info.id));
  free (endpoint);
}

static void
mark_gone (struct beryl_live_set *set, struct beryl_live_endpoint *endpoint)
{
  endpoint->gone = true;
  endpoint->grace_end_ms = 0;
  if (endpoint->open_exchanges == 0)
    lives_release (set, endpoint);
}

static bool
is_former_incarnation (const struct beryl_live_endpoint *endpoint,
                       uint64_t start_ms)
{
  for (size_t i = 0; i < BERYL_LIVE_PREVIOUS_MAX; i++)
    if (start_ms != 0 && endpoint->previous_starts_ms[i] == start_ms)
      return true;
  return false;
}

static bool
has_restarted (const struct beryl_live_endpoint *endpoint,
               const struct beryl_live_info *info)
{
  return endpoint->info.process_start_ms != 0 && info->process_start_ms != 0
         && endpoint->info.process_start_ms != info->process_start_ms;
}

/* An endpoint that has restarted under its id has lost all earlier state:
   reservations, KV caches, runs, and its history of speed and failures. Each
   of these refers to the object of its incarnation, or to its hash, so a new
   object invalidates them all. Otherwise requests would be sent with handles
   that the new incarnation may have given to other requests. */
static struct beryl_live_endpoint *
replace_incarnation (struct beryl_live_set *set,
                     struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_live_endpoint *next = lives_add (set, endpoint->info.id);

  next->previous_starts_ms[0] = endpoint->info.process_start_ms;
  memcpy (&next->previous_starts_ms[1], endpoint->previous_starts_ms,
          sizeof endpoint->previous_starts_ms
              - sizeof endpoint->previous_starts_ms[0]);
  beryl_live_mark_replaced (endpoint, now_ms);
  endpoint->leaving_since_ms = now_ms;
  mark_gone (set, endpoint);
  return next;
}

/* Returns whether INFO is an entry from before ENDPOINT announced that it is
   leaving, which an older copy of the list shows again.  No process takes that
   back. */
static bool
is_before_leaving (const struct beryl_live_endpoint *endpoint,
                   const struct beryl_live_info *info)
{
  return endpoint->info.leaving && !info->leaving
         && beryl_revision_era (info->revision)
                > beryl_revision_era (endpoint->info.revision);
}

struct beryl_live_endpoint *
beryl_live_set_put (struct beryl_live_set *set,
                    const struct beryl_live_info *info, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = beryl_live_set_find (set, info->id);
  uint64_t start_ms = info->process_start_ms;
  bool leaving = info->leaving;

  if (endpoint == NULL)
    endpoint = lives_add (set, info->id);
  else if (info->revision < endpoint->info.revision
           || is_former_incarnation (endpoint, info->process_start_ms))
    return endpoint;
  else if (has_restarted (endpoint, info))
    endpoint = replace_incarnation (set, endpoint, now_ms);
  else
    {
      leaving |= is_before_leaving (endpoint, info);
      if (start_ms == 0)
        start_ms = endpoint->info.process_start_ms;
    }
  endpoint->info = *info;
  endpoint->info.leaving = leaving;
  endpoint->info.process_start_ms = start_ms;
  endpoint->gone = false;
  endpoint->grace_end_ms = 0;
  if (!leaving && !endpoint->says_leaving)
    endpoint->leaving_since_ms = 0;
  else if (endpoint->leaving_since_ms == 0)
    endpoint->leaving_since_ms = now_ms;
  return endpoint;
}

/* Updates arrive before the list is confirmed, so the first removal after an
   outage must detect the outage's end itself: the removed entry may be one
   that lapsed during the outage. */
static void
detect_list_resumed (struct beryl_live_set *set, int64_t now_ms)
{
  if (set->synced_ms != 0 && now_ms - set->synced_ms >= LIST_OUTAGE_MS)
    set->resumed_ms = now_ms;
}

void
beryl_live_set_remove (struct beryl_live_set *set, const char *id,
                       int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = beryl_live_set_find (set, id);

  if (endpoint == NULL || endpoint->gone)
    return;
  detect_list_resumed (set, now_ms);
  if (endpoint->leaving_since_ms == 0)
    endpoint->leaving_since_ms = now_ms;
  if (set->resumed_ms != 0 && now_ms < set->resumed_ms + RELIST_MS
      && !endpoint->info.leaving && !endpoint->says_leaving)
    endpoint->grace_end_ms = now_ms + leaving_work_ms (set);
  else
    mark_gone (set, endpoint);
}

void
beryl_live_set_reject (struct beryl_live_set *set, const char *id,
                       int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = beryl_live_set_find (set, id);

  if (endpoint == NULL || endpoint->gone)
    return;
  if (endpoint->leaving_since_ms == 0)
    endpoint->leaving_since_ms = now_ms;
  mark_gone (set, endpoint);
}

void
beryl_live_set_synced (struct beryl_live_set *set, int64_t now_ms)
{
  detect_list_resumed (set, now_ms);
  set->synced_ms = now_ms;
}

int64_t
beryl_live_set_synced_ms (const struct beryl_live_set *set)
{
  return set->synced_ms;
}

bool
beryl_live_set_expire (struct beryl_live_set *set, int64_t now_ms)
{
  bool any = false;

  for (size_t i = set->count; i > 0; i--)
    {
      struct beryl_live_endpoint *endpoint = set->items[i - 1];

      if (endpoint->grace_end_ms == 0 || now_ms < endpoint->grace_end_ms)
        continue;
      mark_gone (set, endpoint);
      any = true;
    }
  return any;
}

size_t
beryl_live_set_count (const struct beryl_live_set *set)
{
  return set->count;
}

struct beryl_live_endpoint *
beryl_live_set_get (const struct beryl_live_set *set, size_t i)
{
  return set->items[i];
}

bool
beryl_live_accepts_work (const struct beryl_live_endpoint *endpoint)
{
  return !endpoint->gone && !endpoint->info.leaving && !endpoint->says_leaving
         && endpoint->replaced_ms == 0;
}

bool
beryl_live_set_allows_bound_work (const struct beryl_live_set *set,
                                  const struct beryl_live_endpoint *endpoint,
                                  int64_t now_ms)
{
  return beryl_live_accepts_work (endpoint)
         || (endpoint->leaving_since_ms != 0 && endpoint->replaced_ms == 0
             && now_ms < endpoint->leaving_since_ms + leaving_work_ms (set));
}

bool
beryl_live_stage_changing (const struct beryl_live_endpoint *endpoint,
                           int64_t now_ms)
{
  return now_ms < endpoint->stage_change_until_ms;
}

void
beryl_live_open (struct beryl_live_endpoint *endpoint)
{
  endpoint->open_exchanges++;
}

void
beryl_live_close (struct beryl_live_set *set,
                  struct beryl_live_endpoint *endpoint)
{
  endpoint->open_exchanges--;
  if (endpoint->gone && endpoint->open_exchanges == 0)
    lives_release (set, endpoint);
}

static int64_t
avoid_ms (const struct beryl_live_endpoint *endpoint)
{
  uint32_t doublings = endpoint->consecutive_failures > AVOID_FAILURES
                           ? endpoint->consecutive_failures - AVOID_FAILURES
                           : 0;

  if (doublings > AVOID_DOUBLINGS_MAX)
    doublings = AVOID_DOUBLINGS_MAX;
  return (int64_t)AVOID_MS << doublings;
}

void
beryl_live_record_outcome (struct beryl_live_endpoint *endpoint,
                           enum beryl_live_outcome outcome, int64_t took_ms,
                           int64_t now_ms)
{
  bool failed = outcome != BERYL_LIVE_ANSWERED;

  endpoint->failure_rate
      += FAIL_WEIGHT * ((failed ? 1.0 : 0.0) - endpoint->failure_rate);
  if (!failed)
    {
      endpoint->consecutive_failures = 0;
      endpoint->last_failure_ms = 0;
      endpoint->unreachable_ms = 0;
      endpoint->answered_ms = now_ms;
      if (endpoint->response_time_ms == 0)
        endpoint->response_time_ms = (double)took_ms;
      endpoint->response_time_ms
          += TIME_WEIGHT * ((double)took_ms - endpoint->response_time_ms);
      if (endpoint->failure_rate < AVOID_FAIL_RATE)
        endpoint->avoid_until_ms = 0;
      return;
    }
  endpoint->consecutive_failures++;
  endpoint->last_failure_ms = now_ms;
  if (outcome == BERYL_LIVE_TIMED_OUT
      || endpoint->consecutive_failures >= AVOID_FAILURES
      || endpoint->failure_rate >= AVOID_FAIL_RATE)
    endpoint->avoid_until_ms = now_ms + avoid_ms (endpoint);
}

void
beryl_live_mark_replaced (struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->replaced_ms == 0)
    endpoint->replaced_ms = now_ms;
}

bool
beryl_live_mark_leaving (struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->says_leaving)
    return false;
  endpoint->says_leaving = true;
  if (endpoint->leaving_since_ms == 0)
    endpoint->leaving_since_ms = now_ms;
  return true;
}

bool
beryl_live_pause (struct beryl_live_endpoint *endpoint, int64_t pause_ms,
                  int64_t now_ms)
{
  bool was_paused = beryl_live_paused (endpoint, now_ms);

  /* A later, shorter pause does not shorten one that was asked for before. */
  if (endpoint->paused_until_ms < now_ms + pause_ms)
    endpoint->paused_until_ms = now_ms + pause_ms;
  return !was_paused && pause_ms > 0;
}

bool
beryl_live_paused (const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return now_ms < endpoint->paused_until_ms;
}

void
beryl_live_mark_unreachable (struct beryl_live_endpoint *endpoint,
                             int64_t now_ms)
{
  endpoint->unreachable_ms = now_ms;
}

/* With many nodes each calls an endpoint rarely, and would notice that it is
   dead long after the first nodes did. A single node may be cut off from an
   endpoint that others reach, so reports of two peers are needed, and this
   node's own recent answers override them. Returns whether this report has
   caused the endpoint to be avoided. */
bool
beryl_live_suspect (struct beryl_live_endpoint *endpoint, uint32_t by,
                    int64_t now_ms)
{
  bool confirmed = endpoint->suspected_ms != 0 && endpoint->suspected_by != by
                   && now_ms - endpoint->suspected_ms < UNREACHABLE_VALID_MS;
  bool was_avoided = beryl_live_avoided (endpoint, now_ms);

  if (endpoint->answered_ms != 0
      && now_ms - endpoint->answered_ms < UNREACHABLE_VALID_MS)
    return false;
  endpoint->suspected_by = by;
  endpoint->suspected_ms = now_ms;
  if (!confirmed)
    return false;
  if (endpoint->avoid_until_ms < now_ms + AVOID_MS)
    endpoint->avoid_until_ms = now_ms + AVOID_MS;
  endpoint->last_probe_ms = now_ms;
  return !was_avoided;
}

void
beryl_live_forget_failures (struct beryl_live_endpoint *endpoint)
{
  endpoint->failure_rate = 0;
  endpoint->consecutive_failures = 0;
  endpoint->last_failure_ms = 0;
  endpoint->avoid_until_ms = 0;
  endpoint->unreachable_ms = 0;
  endpoint->end_unconfirmed = false;
  endpoint->connect_failed_ms = 0;
}

/* Lapsed entries are kept because an outage of the list makes those of healthy
   endpoints lapse too. An endpoint that has also failed is taken for dead:
   while all other engines are full, requests that wait for memory would ask it
   again and again; two dead engines would take half of their time. */
static bool
lapsed_and_failed (const struct beryl_live_endpoint *endpoint)
{
  return endpoint->grace_end_ms != 0 && endpoint->last_failure_ms != 0;
}

bool
beryl_live_avoided (const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return now_ms < endpoint->avoid_until_ms || lapsed_and_failed (endpoint);
}

bool
beryl_live_probe_due (const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms)
{
  return !lapsed_and_failed (endpoint)
         && (beryl_live_avoided (endpoint, now_ms)
             || endpoint->last_failure_ms != 0)
         && now_ms - endpoint->last_probe_ms >= PROBE_INTERVAL_MS
         && now_ms - endpoint->last_failure_ms >= PROBE_INTERVAL_MS;
}

const char *
beryl_stage_name (enum beryl_stage stage)
{
  static const char *const names[] = { "none", "prefill", "decode" };

  return names[stage];
}
