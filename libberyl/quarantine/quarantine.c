#include "private.h"

#include <stdlib.h>

#include "beryl/clock.h"

/* Time for peers to report which other requests ran at the crashed endpoints,
 * before a request with enough crashes is quarantined. */
#define REVIEW_MS 300
/* Maximum number of tracked requests. */
#define SUSPECTS_MAX 512
/* A broken run counts as a crash if its endpoint is found to have ended within
 * this time. */
#define CONFIRM_MS 5000
/* Older crashes do not count. */
#define CRASH_TTL_MS INT64_C (3600000)
#define QUARANTINE_MS INT64_C (86400000)
/* Interval between expiry scans. */
#define EXPIRE_INTERVAL_MS 1000
/* Changes are announced for this long, since datagrams may be lost. */
#define ANNOUNCE_MS 3000
/* Reports of peers cannot quarantine a request for this long after it was
 * cleared. */
#define CLEARED_TTL_MS 60000

uint64_t
beryl_quarantine_part (uint64_t digest)
{
  return digest | PART_BIT;
}

uint64_t
beryl_quarantine_request (uint64_t digest)
{
  return (digest & ~PART_BIT) != 0 ? digest & ~PART_BIT : 1;
}

bool
quarantine_is_part (const struct suspect *s)
{
  return (s->fingerprint & PART_BIT) != 0;
}

const char *
beryl_quarantine_cause_name (enum beryl_quarantine_cause cause)
{
  static const char *const names[]
      = { "crashes", "told", "stored", "answered", "lifted", "expired" };

  return names[cause];
}

struct beryl_quarantine *
beryl_quarantine_create (struct beryl_quarantine_owner *owner)
{
  struct beryl_quarantine *q = calloc (1, sizeof *q);

  q->owner = owner;
  q->nodes = 1;
  TAILQ_INIT (&q->suspects);
  return q;
}

static void
crash_remove (struct beryl_quarantine *q, struct suspect *s, uint32_t at)
{
  q->pending -= s->crashes[at].state == CRASH_PENDING;
  s->crash_count--;
  for (uint32_t i = at; i < s->crash_count; i++)
    s->crashes[i] = s->crashes[i + 1];
}

static void
review_end (struct beryl_quarantine *q, struct suspect *s)
{
  q->under_review -= s->review_until_ms != 0;
  s->review_until_ms = 0;
}

static void
suspect_free (struct beryl_quarantine *q, struct suspect *s)
{
  review_end (q, s);
  while (s->crash_count > 0)
    crash_remove (q, s, 0);
  TAILQ_REMOVE (&q->suspects, s, entry);
  map_remove (&q->by_fingerprint, map_key_from_number (s->fingerprint));
  q->quarantined -= s->expires_ms != 0;
  q->tracked_count--;
  free (s);
}

void
beryl_quarantine_set_fleet (struct beryl_quarantine *q, uint32_t nodes,
                            uint64_t seed)
{
  q->nodes = nodes > 0 ? nodes : 1;
  q->seed = seed;
}

void
beryl_quarantine_destroy (struct beryl_quarantine *q)
{
  struct suspect *s;

  if (q == NULL)
    return;
  while ((s = TAILQ_FIRST (&q->suspects)) != NULL)
    suspect_free (q, s);
  map_clear (&q->by_fingerprint);
  free (q);
}

bool
beryl_quarantine_empty (const struct beryl_quarantine *q)
{
  return q->tracked_count == 0;
}

struct suspect *
quarantine_find (const struct beryl_quarantine *q, uint64_t fingerprint)
{
  return map_get (&q->by_fingerprint, map_key_from_number (fingerprint));
}

static bool
is_held_back (const struct suspect *s)
{
  return s->expires_ms != 0 || s->review_until_ms != 0;
}

/* Returns the entry to evict: requests that are held back only if there are no
 * others. */
static struct suspect *
eviction_candidate (const struct beryl_quarantine *q)
{
  struct suspect *s = NULL;

  TAILQ_FOREACH (s, &q->suspects, entry)
  if (!is_held_back (s))
    return s;
  return TAILQ_FIRST (&q->suspects);
}

static struct suspect *
suspect_get (struct beryl_quarantine *q, uint64_t fingerprint)
{
  struct suspect *s = quarantine_find (q, fingerprint);

  if (s != NULL)
    {
      TAILQ_REMOVE (&q->suspects, s, entry);
      TAILQ_INSERT_TAIL (&q->suspects, s, entry);
      return s;
    }
  if (q->tracked_count == SUSPECTS_MAX)
    suspect_free (q, eviction_candidate (q));
  s = calloc (1, sizeof *s);
  s->fingerprint = fingerprint;
  TAILQ_INSERT_TAIL (&q->suspects, s, entry);
  map_put (&q->by_fingerprint, map_key_from_number (fingerprint), s);
  q->tracked_count++;
  return s;
}

struct crash *
quarantine_crash_find (struct suspect *s, uint32_t endpoint)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].endpoint == endpoint)
      return &s->crashes[i];
  return NULL;
}

static struct crash *
crash_add (struct beryl_quarantine *q, struct suspect *s, uint32_t endpoint,
           enum crash_state state, int64_t now_ms)
{
  struct crash *crash;

  if (s->crash_count == CRASHES_MAX)
    crash_remove (q, s, 0);
  crash = &s->crashes[s->crash_count++];
  *crash = (struct crash){ endpoint, state, now_ms };
  q->pending += state == CRASH_PENDING;
  return crash;
}

/* Returns whether a quarantined request ran at the endpoint when it crashed.
 */
static bool
is_explained (const struct beryl_quarantine *q, uint32_t endpoint)
{
  struct suspect *s = NULL;

  TAILQ_FOREACH (s, &q->suspects, entry)
  {
    const struct crash *crash
        = s->expires_ms != 0 ? quarantine_crash_find (s, endpoint) : NULL;

    if (crash != NULL && crash->state != CRASH_PENDING)
      return true;
  }
  return false;
}

static bool
is_unexplained (const struct beryl_quarantine *q, const struct crash *crash)
{
  return crash->state != CRASH_PENDING && !is_explained (q, crash->endpoint);
}

static uint32_t
count_unexplained (const struct beryl_quarantine *q, const struct suspect *s)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < s->crash_count; i++)
    count += is_unexplained (q, &s->crashes[i]);
  return count;
}

static uint32_t
count_crashes (const struct beryl_quarantine *q, const struct suspect *s)
{
  return quarantine_is_part (s) ? parts_count_crashes (q, s)
                                : count_unexplained (q, s);
}

static bool
ran_at_all_crashes (const struct beryl_quarantine *q, struct suspect *other,
                    const struct suspect *s)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    {
      const struct crash *crash = &s->crashes[i];

      if (is_unexplained (q, crash)
          && quarantine_crash_find (other, crash->endpoint) == NULL)
        return false;
    }
  return true;
}

/* Returns whether OTHER may be the cause of the crashes that S is suspected
 * of: a request, or a part that several others have as well. */
static bool
may_be_cause (const struct beryl_quarantine *q, const struct suspect *other,
              const struct suspect *s)
{
  return other->expires_ms == 0
         && (!quarantine_is_part (other)
             || parts_count_other_requests (q, other, s) > 1);
}

/* Returns whether another one ran at all endpoints whose crashes count against
 * S. */
static bool
is_ambiguous (const struct beryl_quarantine *q, const struct suspect *s)
{
  struct suspect *other = NULL;

  TAILQ_FOREACH (other, &q->suspects, entry)
  if (other != s && ran_at_all_crashes (q, other, s)
      && may_be_cause (q, other, s))
    return true;
  return false;
}

bool
quarantine_has_confirmed_crash (const struct suspect *s)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].state == CRASH_CONFIRMED)
      return true;
  return false;
}

/* A node that observed one of the crashes itself reports cause CRASHES, which
 * makes it store a record. */
static void
quarantine_begin (struct beryl_quarantine *q, struct suspect *s,
                  int64_t remaining_ms, enum beryl_quarantine_cause cause,
                  int64_t now_ms)
{
  if (cause == BERYL_QUARANTINE_FROM_PEER
      && quarantine_has_confirmed_crash (s))
    cause = BERYL_QUARANTINE_CRASHES;
  review_end (q, s);
  s->expires_ms = now_ms + remaining_ms;
  s->quarantined_ms = now_ms;
  s->tries = 0;
  parts_put_off_try (q, s, now_ms);
  q->quarantined++;
  q->changed = true;
  q->owner->impl->changed (q->owner, s->fingerprint, remaining_ms, cause,
                           now_ms);
}

static void
quarantine_end (struct beryl_quarantine *q, struct suspect *s,
                enum beryl_quarantine_cause cause, int64_t now_ms)
{
  s->expires_ms = 0;
  s->has_record = false;
  q->quarantined--;
  q->owner->impl->changed (q->owner, s->fingerprint, 0, cause, now_ms);
}

static bool
has_enough_crashes (const struct beryl_quarantine *q, const struct suspect *s)
{
  uint32_t count = count_crashes (q, s);

  return count > CRASH_THRESHOLD
         || (count == CRASH_THRESHOLD
             && (quarantine_is_part (s) || !is_ambiguous (q, s)));
}

/* The review holds the request back before it is quarantined: the node that
 * observes the last crash may not know yet which requests of other nodes ran
 * at the same endpoints. */
static void
check_crashes (struct beryl_quarantine *q, struct suspect *s, int64_t now_ms)
{
  if (is_held_back (s) || !has_enough_crashes (q, s))
    return;
  s->review_until_ms = now_ms + REVIEW_MS;
  q->under_review++;
}

/* Returns the request under review with most crashes: its quarantine may
 * explain the crashes of the others. */
static struct suspect *
first_to_judge (const struct beryl_quarantine *q)
{
  struct suspect *s = NULL, *first = NULL;
  uint32_t most = 0;

  TAILQ_FOREACH (s, &q->suspects, entry)
  {
    uint32_t count;

    if (s->review_until_ms == 0)
      continue;
    count = count_crashes (q, s);
    if (first != NULL && count <= most)
      continue;
    first = s;
    most = count;
  }
  return first;
}

int64_t
beryl_quarantine_next_ms (const struct beryl_quarantine *q)
{
  int64_t next_ms = BERYL_NEVER_MS;
  const struct suspect *s = NULL;

  if (q->under_review == 0)
    return next_ms;
  TAILQ_FOREACH (s, &q->suspects, entry)
  if (s->review_until_ms != 0 && s->review_until_ms < next_ms)
    next_ms = s->review_until_ms;
  return next_ms;
}

/* Judges all requests under review once the first review is over. */
static void
finish_reviews (struct beryl_quarantine *q, int64_t now_ms)
{
  if (now_ms < beryl_quarantine_next_ms (q))
    return;
  while (q->under_review > 0)
    {
      struct suspect *s = first_to_judge (q);

      review_end (q, s);
      if (has_enough_crashes (q, s))
        quarantine_begin (q, s, QUARANTINE_MS, BERYL_QUARANTINE_FROM_PEER,
                          now_ms);
    }
}

static size_t
answered_slot (uint64_t fingerprint)
{
  return fingerprint % ANSWERED_SLOTS;
}

static bool
was_answered (const struct beryl_quarantine *q, uint64_t fingerprint,
              int64_t now_ms)
{
  const struct answered *answered = &q->answered[answered_slot (fingerprint)];

  return answered->fingerprint == fingerprint
         && now_ms - answered->at_ms < ANSWERED_TTL_MS;
}

void
beryl_quarantine_run_broken (struct beryl_quarantine *q, uint64_t fingerprint,
                             uint32_t endpoint, int64_t now_ms)
{
  struct suspect *s;

  if (fingerprint == 0 || was_answered (q, fingerprint, now_ms))
    return;
  s = suspect_get (q, fingerprint);
  if (quarantine_crash_find (s, endpoint) == NULL)
    crash_add (q, s, endpoint, CRASH_PENDING, now_ms);
}

/* S has crashed one more endpoint: one that is held back has run, as a try. */
static void
crash_counted (const struct beryl_quarantine *q, struct suspect *s,
               int64_t now_ms)
{
  if (s->expires_ms == 0)
    return;
  s->tries++;
  parts_put_off_try (q, s, now_ms);
}

/* Confirms a pending crash of S at the endpoint.  Returns whether there was
 * one. */
static bool
confirm (struct beryl_quarantine *q, struct suspect *s, uint32_t endpoint,
         int64_t now_ms)
{
  struct crash *crash = quarantine_crash_find (s, endpoint);

  if (crash == NULL || crash->state != CRASH_PENDING
      || now_ms - crash->since_ms > CONFIRM_MS)
    return false;
  crash->state = CRASH_CONFIRMED;
  crash->since_ms = now_ms;
  q->pending--;
  q->changed = true;
  crash_counted (q, s, now_ms);
  return true;
}

/* All crashes are confirmed before any request is checked: a crash that one
 * request explains does not count against the others. */
bool
beryl_quarantine_endpoint_ended (struct beryl_quarantine *q, uint32_t endpoint,
                                 int64_t now_ms)
{
  struct suspect *s = NULL;
  bool any = false;

  if (q->pending == 0)
    return false;
  TAILQ_FOREACH (s, &q->suspects, entry)
  any = confirm (q, s, endpoint, now_ms) || any;
  if (!any)
    return false;
  TAILQ_FOREACH (s, &q->suspects, entry)
  if (quarantine_crash_find (s, endpoint) != NULL)
    check_crashes (q, s, now_ms);
  return true;
}

static void
suspect_clear (struct beryl_quarantine *q, struct suspect *s,
               enum beryl_quarantine_cause cause, int64_t now_ms)
{
  review_end (q, s);
  while (s->crash_count > 0)
    crash_remove (q, s, 0);
  s->cleared_ms = now_ms;
  if (s->expires_ms != 0)
    quarantine_end (q, s, cause, now_ms);
}

void
beryl_quarantine_run_answered (struct beryl_quarantine *q,
                               uint64_t fingerprint, int64_t now_ms)
{
  struct suspect *s = quarantine_find (q, fingerprint);

  q->answered[answered_slot (fingerprint)]
      = (struct answered){ fingerprint, now_ms };
  if (s == NULL || (s->crash_count == 0 && s->expires_ms == 0))
    return;
  suspect_clear (q, s, BERYL_QUARANTINE_ANSWERED, now_ms);
  s->cleared_locally = true;
  q->changed = true;
}

bool
beryl_quarantine_holds_any (const struct beryl_quarantine *q)
{
  return q->quarantined + q->under_review > 0;
}

int64_t
quarantine_left_ms (const struct suspect *s, int64_t now_ms)
{
  int64_t until_ms;

  if (s == NULL)
    return 0;
  until_ms = s->expires_ms != 0 ? s->expires_ms : s->review_until_ms;
  return until_ms > now_ms ? until_ms - now_ms : 0;
}

int64_t
beryl_quarantine_remaining_ms (const struct beryl_quarantine *q,
                               uint64_t fingerprint, int64_t now_ms)
{
  if (!beryl_quarantine_holds_any (q))
    return 0;
  return quarantine_left_ms (quarantine_find (q, fingerprint), now_ms);
}

bool
beryl_quarantine_is_suspect (const struct beryl_quarantine *q,
                             uint64_t fingerprint)
{
  const struct suspect *s = quarantine_find (q, fingerprint);

  return s != NULL && s->crash_count > 0;
}

static bool
is_recent (int64_t since_ms, int64_t now_ms)
{
  return since_ms != 0 && now_ms - since_ms < ANNOUNCE_MS;
}

static void
add_suspect (const struct suspect *s, struct beryl_quarantine_update *update,
             int64_t now_ms)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    {
      const struct crash *crash = &s->crashes[i];

      if (crash->state == CRASH_CONFIRMED
          && is_recent (crash->since_ms, now_ms)
          && update->crash_count < BERYL_CRASHES_MAX)
        update->crashes[update->crash_count++]
            = (struct beryl_crash){ s->fingerprint, crash->endpoint };
    }
  if (s->cleared_locally && is_recent (s->cleared_ms, now_ms)
      && update->cleared_count < BERYL_CLEARED_MAX)
    update->cleared[update->cleared_count++] = s->fingerprint;
}

static void
add_quarantined (const struct suspect *s,
                 struct beryl_quarantine_update *update, int64_t now_ms)
{
  if (s->expires_ms > now_ms
      && update->quarantined_count < BERYL_QUARANTINED_MAX)
    update->quarantined[update->quarantined_count++]
        = (struct beryl_quarantined){
            s->fingerprint, (uint32_t)((s->expires_ms - now_ms + 999) / 1000)
          };
}

/* Exported entries move to the end of the list, so that all take turns. */
static void
add_older (struct beryl_quarantine *q, struct beryl_quarantine_update *update,
           int64_t now_ms)
{
  uint32_t left = q->tracked_count;
  struct suspect *s, *next;

  for (s = TAILQ_FIRST (&q->suspects);
       left-- > 0 && update->quarantined_count < BERYL_QUARANTINED_MAX;
       s = next)
    {
      next = TAILQ_NEXT (s, entry);
      if (s->expires_ms == 0 || is_recent (s->quarantined_ms, now_ms))
        continue;
      add_quarantined (s, update, now_ms);
      TAILQ_REMOVE (&q->suspects, s, entry);
      TAILQ_INSERT_TAIL (&q->suspects, s, entry);
    }
}

bool
beryl_quarantine_build_update (struct beryl_quarantine *q,
                               struct beryl_quarantine_update *update,
                               bool all, int64_t now_ms)
{
  struct suspect *s = NULL;

  *update = (struct beryl_quarantine_update){ 0 };
  if (q->tracked_count == 0)
    return false;
  TAILQ_FOREACH_REVERSE (s, &q->suspects, suspect_list, entry)
  {
    add_suspect (s, update, now_ms);
    if (is_recent (s->quarantined_ms, now_ms))
      add_quarantined (s, update, now_ms);
  }
  if (all)
    add_older (q, update, now_ms);
  return update->crash_count + update->cleared_count
             + update->quarantined_count
         > 0;
}

static bool
was_cleared (const struct suspect *s, int64_t now_ms)
{
  return s != NULL && s->cleared_ms != 0
         && now_ms - s->cleared_ms < CLEARED_TTL_MS;
}

/* Clears a request that a peer suspects but this node has seen answered, and
 * announces that. */
static bool
clear_if_answered (struct beryl_quarantine *q, uint64_t fingerprint,
                   int64_t now_ms)
{
  struct suspect *s;

  if (!was_answered (q, fingerprint, now_ms))
    return false;
  s = suspect_get (q, fingerprint);
  if (!is_recent (s->cleared_ms, now_ms))
    q->changed = true;
  s->cleared_ms = now_ms;
  s->cleared_locally = true;
  return true;
}

static void
apply_crash (struct beryl_quarantine *q, const struct beryl_crash *reported,
             int64_t now_ms)
{
  struct suspect *s = quarantine_find (q, reported->fingerprint);
  struct crash *crash;

  /* An endpoint that a peer found to have ended has ended for the runs of this
     node as well. */
  beryl_quarantine_endpoint_ended (q, reported->endpoint, now_ms);
  if (reported->fingerprint == 0 || was_cleared (s, now_ms)
      || clear_if_answered (q, reported->fingerprint, now_ms))
    return;
  s = suspect_get (q, reported->fingerprint);
  crash = quarantine_crash_find (s, reported->endpoint);
  if (crash == NULL)
    crash_add (q, s, reported->endpoint, CRASH_FROM_PEER, now_ms);
  else if (crash->state == CRASH_PENDING)
    {
      crash->state = CRASH_FROM_PEER;
      q->pending--;
    }
  else
    return;
  crash_counted (q, s, now_ms);
  check_crashes (q, s, now_ms);
}

static void
apply_quarantined (struct beryl_quarantine *q, uint64_t fingerprint,
                   int64_t remaining_ms, enum beryl_quarantine_cause cause,
                   int64_t now_ms)
{
  struct suspect *s = quarantine_find (q, fingerprint);

  if (fingerprint == 0 || remaining_ms <= 0 || was_cleared (s, now_ms)
      || (s != NULL && s->expires_ms != 0)
      || clear_if_answered (q, fingerprint, now_ms))
    return;
  if (remaining_ms > QUARANTINE_MS)
    remaining_ms = QUARANTINE_MS;
  quarantine_begin (q, suspect_get (q, fingerprint), remaining_ms, cause,
                    now_ms);
}

void
beryl_quarantine_apply_update (struct beryl_quarantine *q,
                               const struct beryl_quarantine_update *update,
                               int64_t now_ms)
{
  for (size_t i = 0; i < update->cleared_count; i++)
    {
      struct suspect *s = quarantine_find (q, update->cleared[i]);

      if (s != NULL && !was_cleared (s, now_ms))
        suspect_clear (q, s, BERYL_QUARANTINE_ANSWERED, now_ms);
    }
  for (size_t i = 0; i < update->quarantined_count; i++)
    apply_quarantined (q, update->quarantined[i].fingerprint,
                       (int64_t)update->quarantined[i].remaining_s * 1000,
                       BERYL_QUARANTINE_FROM_PEER, now_ms);
  for (size_t i = 0; i < update->crash_count; i++)
    apply_crash (q, &update->crashes[i], now_ms);
}

bool
beryl_quarantine_take_changed (struct beryl_quarantine *q)
{
  bool changed = q->changed;

  q->changed = false;
  return changed;
}

bool
beryl_quarantine_record_read (struct beryl_quarantine *q, uint64_t fingerprint,
                              int64_t remaining_ms, int64_t now_ms)
{
  struct suspect *s;

  apply_quarantined (q, fingerprint, remaining_ms, BERYL_QUARANTINE_STORED,
                     now_ms);
  s = quarantine_find (q, fingerprint);
  if (s == NULL || s->expires_ms == 0)
    return false;
  s->has_record = true;
  s->record_seen = true;
  return true;
}

void
beryl_quarantine_records_synced (struct beryl_quarantine *q, int64_t now_ms)
{
  struct suspect *s = NULL;

  TAILQ_FOREACH (s, &q->suspects, entry)
  {
    if (s->has_record && !s->record_seen)
      {
        suspect_clear (q, s, BERYL_QUARANTINE_LIFTED, now_ms);
        s->cleared_locally = true;
        q->changed = true;
      }
    s->record_seen = false;
  }
}

static void
expire_crashes (struct beryl_quarantine *q, struct suspect *s, int64_t now_ms)
{
  for (uint32_t i = s->crash_count; i > 0; i--)
    {
      const struct crash *crash = &s->crashes[i - 1];
      int64_t ttl_ms
          = crash->state == CRASH_PENDING ? CONFIRM_MS : CRASH_TTL_MS;

      if (now_ms - crash->since_ms > ttl_ms)
        crash_remove (q, s, i - 1);
    }
}

/* After its quarantine a request may run again, and one more crash within
 * CRASH_TTL_MS quarantines it again: it gets one crash less than the
 * threshold, at made-up hashes that are unlikely to be those of endpoints. */
static void
begin_probation (struct beryl_quarantine *q, struct suspect *s, int64_t now_ms)
{
  quarantine_end (q, s, BERYL_QUARANTINE_EXPIRED, now_ms);
  while (s->crash_count > 0)
    crash_remove (q, s, 0);
  for (uint32_t i = 1; i < CRASH_THRESHOLD; i++)
    crash_add (q, s, (uint32_t)s->fingerprint + i, CRASH_FROM_PEER,
               now_ms - (CRASH_THRESHOLD - i) * PART_CRASH_SPACING_MS);
}

void
beryl_quarantine_expire (struct beryl_quarantine *q, int64_t now_ms)
{
  struct suspect *s, *next;

  finish_reviews (q, now_ms);
  if (now_ms - q->last_expire_ms < EXPIRE_INTERVAL_MS)
    return;
  q->last_expire_ms = now_ms;
  for (s = TAILQ_FIRST (&q->suspects); s != NULL; s = next)
    {
      next = TAILQ_NEXT (s, entry);
      if (s->expires_ms != 0 && now_ms >= s->expires_ms)
        begin_probation (q, s, now_ms);
      else if (s->expires_ms == 0)
        expire_crashes (q, s, now_ms);
      if (s->expires_ms == 0 && s->crash_count == 0
          && !was_cleared (s, now_ms))
        suspect_free (q, s);
    }
}

uint32_t
beryl_quarantine_count (const struct beryl_quarantine *q)
{
  return q->quarantined;
}

uint32_t
beryl_quarantine_suspect_count (const struct beryl_quarantine *q)
{
  return q->tracked_count - q->quarantined;
}
