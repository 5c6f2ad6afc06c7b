#include "private.h"

#include <string.h>
#include <xxhash.h>

/* A part that is held back is tried again after this time, and after twice the
   time for each try that has crashed an endpoint or shown nothing. */
#define TRY_MIN_MS 10000
#define TRY_MAX_MS INT64_C (3600000)
#define TRY_DOUBLINGS_MAX 9
/* Nodes that have not seen a crash of a part try it later, and one after the
   other: those that have seen one try first, and tell the outcome. */
#define TRY_LATER_FACTOR 4
/* Different delays of the nodes that have. */
#define TRY_SPREAD 4
/* Least Retry-After of a request that may be tried by now, but for another
   reason to hold it back. */
#define RETRY_MIN_MS 1000

/* Collects the endpoints of the crashes of S that count. */
static uint32_t
counted_endpoints (const struct suspect *s, uint32_t endpoints[CRASHES_MAX])
{
  uint32_t count = 0;
  int64_t last_ms = 0;

  for (uint32_t i = 0; i < s->crash_count; i++)
    {
      const struct crash *crash = &s->crashes[i];

      if (crash->state == CRASH_PENDING
          || (count > 0 && crash->since_ms - last_ms < PART_CRASH_SPACING_MS))
        continue;
      endpoints[count++] = crash->endpoint;
      last_ms = crash->since_ms;
    }
  return count;
}

static uint32_t
count_ran_at (struct suspect *request, const uint32_t *endpoints,
              uint32_t count)
{
  uint32_t ran = 0;

  for (uint32_t i = 0; i < count; i++)
    ran += quarantine_crash_find (request, endpoints[i]) != NULL;
  return ran;
}

/* Returns the request other than EXCEPT that ran at most of ENDPOINTS, or
 * NULL.
 */
static struct suspect *
most_frequent_request (const struct beryl_quarantine *q,
                       const struct suspect *except, const uint32_t *endpoints,
                       uint32_t count)
{
  struct suspect *request = NULL, *most = NULL;
  uint32_t most_ran = 0;

  TAILQ_FOREACH (request, &q->suspects, entry)
  {
    uint32_t ran = quarantine_is_part (request) || request == except
                       ? 0
                       : count_ran_at (request, endpoints, count);

    if (ran <= most_ran)
      continue;
    most = request;
    most_ran = ran;
  }
  return most;
}

static uint32_t
remove_ran_at (struct suspect *request, uint32_t *endpoints, uint32_t count)
{
  uint32_t left = 0;

  for (uint32_t i = 0; i < count; i++)
    if (quarantine_crash_find (request, endpoints[i]) == NULL)
      endpoints[left++] = endpoints[i];
  return left;
}

/* One request that comes again may be the cause of all its crashes by itself,
   so that these show as much of its parts as one crash. */
uint32_t
parts_count_crashes (const struct beryl_quarantine *q, const struct suspect *s)
{
  uint32_t endpoints[CRASHES_MAX];
  uint32_t left = counted_endpoints (s, endpoints);
  uint32_t requests = 0;

  while (left > 0 && requests < CRASH_THRESHOLD)
    {
      struct suspect *request
          = most_frequent_request (q, NULL, endpoints, left);

      requests++;
      left = request != NULL ? remove_ran_at (request, endpoints, left)
                             : left - 1;
    }
  return requests;
}

uint32_t
parts_count_other_requests (const struct beryl_quarantine *q,
                            const struct suspect *s,
                            const struct suspect *request)
{
  uint32_t endpoints[CRASHES_MAX];
  uint32_t left = counted_endpoints (s, endpoints);
  uint32_t requests = 0;
  struct suspect *other;

  while (left > 0
         && (other = most_frequent_request (q, request, endpoints, left))
                != NULL)
    {
      requests++;
      left = remove_ran_at (other, endpoints, left);
    }
  return requests;
}

static bool
ran_wherever (struct suspect *other, const struct suspect *s)
{
  for (uint32_t i = 0; i < s->crash_count; i++)
    if (s->crashes[i].state != CRASH_PENDING
        && quarantine_crash_find (other, s->crashes[i].endpoint) == NULL)
      return false;
  return s->crash_count > 0;
}

static bool
contains (const uint64_t *parts, size_t count, uint64_t part)
{
  for (size_t i = 0; i < count; i++)
    if (parts[i] == part)
      return true;
  return false;
}

/* Returns whether a request with PARTS, S among them, may be sound although S
 * is held back: another part was there at all crashes of S, and is not among
 * PARTS. If it runs and crashes its endpoint, that part is out of question. */
static bool
may_be_sound (const struct beryl_quarantine *q, const struct suspect *s,
              const uint64_t *parts, size_t count)
{
  struct suspect *other = NULL;

  TAILQ_FOREACH (other, &q->suspects, entry)
  if (other != s && quarantine_is_part (other)
      && !contains (parts, count, other->fingerprint)
      && ran_wherever (other, s))
    return true;
  return false;
}

/* Returns the part with FINGERPRINT if it holds a request with PARTS back. */
static struct suspect *
find_held (const struct beryl_quarantine *q, uint64_t fingerprint,
           const uint64_t *parts, size_t count, int64_t now_ms)
{
  struct suspect *s = quarantine_find (q, fingerprint);

  if (quarantine_left_ms (s, now_ms) == 0 || may_be_sound (q, s, parts, count))
    return NULL;
  return s;
}

/* Returns how long a request that S holds back has to wait before it may be
   tried. */
static int64_t
until_try_ms (const struct suspect *s, int64_t now_ms)
{
  int64_t left_ms = quarantine_left_ms (s, now_ms);
  int64_t try_ms = s->try_ms - now_ms;

  if (try_ms < RETRY_MIN_MS)
    try_ms = RETRY_MIN_MS;
  return s->expires_ms != 0 && try_ms < left_ms ? try_ms : left_ms;
}

int64_t
beryl_quarantine_parts_remaining_ms (const struct beryl_quarantine *q,
                                     const uint64_t *parts, size_t count,
                                     int64_t now_ms)
{
  int64_t longest_ms = 0;

  if (!beryl_quarantine_holds_any (q))
    return 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct suspect *s = find_held (q, parts[i], parts, count, now_ms);
      int64_t left_ms = s != NULL ? until_try_ms (s, now_ms) : 0;

      if (left_ms > longest_ms)
        longest_ms = left_ms;
    }
  return longest_ms;
}

void
parts_put_off_try (const struct beryl_quarantine *q, struct suspect *s,
                   int64_t now_ms)
{
  uint32_t doublings
      = s->tries < TRY_DOUBLINGS_MAX ? s->tries : TRY_DOUBLINGS_MAX;
  int64_t delay_ms = (int64_t)TRY_MIN_MS << doublings;
  uint64_t draw
      = XXH3_64bits_withSeed (&s->fingerprint, sizeof s->fingerprint, q->seed);

  if (delay_ms > TRY_MAX_MS)
    delay_ms = TRY_MAX_MS;
  if (!quarantine_has_confirmed_crash (s))
    delay_ms *= TRY_LATER_FACTOR + (int64_t)(draw % q->nodes);
  else
    delay_ms += delay_ms * (int64_t)(draw % TRY_SPREAD) / TRY_SPREAD;
  s->try_ms = now_ms + delay_ms;
}

bool
beryl_quarantine_try_parts (struct beryl_quarantine *q, const uint64_t *parts,
                            size_t count, int64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct suspect *s = find_held (q, parts[i], parts, count, now_ms);

      if (s != NULL && (s->expires_ms == 0 || now_ms < s->try_ms))
        return false;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct suspect *s = find_held (q, parts[i], parts, count, now_ms);

      if (s == NULL)
        continue;
      s->tries++;
      parts_put_off_try (q, s, now_ms);
    }
  return true;
}
