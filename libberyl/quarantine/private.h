/** @file
 * State of the quarantine, shared by its modules.
 */
#ifndef QUARANTINE_PRIVATE_H
#define QUARANTINE_PRIVATE_H

#include <sys/queue.h>

#include "../base/map.h"
#include "beryl/quarantine.h"

/** Crashes that quarantine a request; one more is needed if another request
 * ran at the same endpoints, since either may be the cause. For a part: of
 * requests that are no two alike. */
#define CRASH_THRESHOLD 3
/* Bit of a fingerprint that tells a part from a request. */
#define PART_BIT (UINT64_C (1) << 63)
/* Crashes that follow each other faster count once against a part: many
 * requests share it, and may run at all endpoints of a rack that fails. */
#define PART_CRASH_SPACING_MS 50
/* Crashes kept per request.  More than the threshold, because they explain
 * crashes of other requests. */
#define CRASHES_MAX 8
/* Answered requests that are remembered, and how long they are not suspected:
 * a request that many callers send runs at all endpoints, so it would be
 * suspected of each crash when several endpoints fail at once, as in a failing
 * rack. */
#define ANSWERED_SLOTS 4096
#define ANSWERED_TTL_MS 60000
enum crash_state
{
  CRASH_PENDING,   /* a run broke off; the endpoint may be healthy */
  CRASH_CONFIRMED, /* the endpoint has ended */
  CRASH_FROM_PEER,
};

struct crash
{
  uint32_t endpoint;
  enum crash_state state;
  int64_t since_ms;
};

struct suspect
{
  TAILQ_ENTRY (suspect) entry;
  uint64_t fingerprint;
  struct crash
      crashes[CRASHES_MAX]; /* in the order in which they were added */
  uint32_t crash_count;
  int64_t cleared_ms;      /* 0: never */
  bool cleared_locally;    /* cleared by an answer at this node */
  int64_t review_until_ms; /* 0: not under review */
  int64_t expires_ms;      /* end of the quarantine; 0: not quarantined */
  int64_t quarantined_ms;  /* when this node learned of it */
  uint32_t tries;          /* requests that ran although this part was held */
  int64_t try_ms;          /* when one more of them may run */
  bool has_record;         /* a stored record of it has been read */
  bool record_seen; /* found in the stored records that are being read */
};

TAILQ_HEAD (suspect_list, suspect);

struct answered
{
  uint64_t fingerprint;
  int64_t at_ms;
};

struct beryl_quarantine
{
  struct beryl_quarantine_owner *owner;
  struct suspect_list suspects; /* most recently seen last */
  struct map by_fingerprint;
  uint32_t tracked_count; /* entries of suspects: suspected, quarantined and
                             recently cleared requests */
  uint32_t quarantined;   /* quarantined ones among them */
  uint32_t under_review;
  uint32_t pending; /* unconfirmed crashes */
  bool changed;
  struct answered answered[ANSWERED_SLOTS]; /* indexed by fingerprint */
  int64_t last_expire_ms;                   /* last expiry scan */
  uint32_t nodes;                           /* live ones, this one included */
  uint64_t seed;                            /* differs between nodes */
};

/** Return whether S is a part of prompts, and no request. */
bool quarantine_is_part (const struct suspect *s);

/** Return the entry of FINGERPRINT, or NULL. */
struct suspect *quarantine_find (const struct beryl_quarantine *q,
                                 uint64_t fingerprint);

/** Return the crash of S at ENDPOINT, or NULL. */
struct crash *quarantine_crash_find (struct suspect *s, uint32_t endpoint);

/** Return for how long S is held back by its quarantine or the review before
 * it; S may be NULL. */
int64_t quarantine_left_ms (const struct suspect *s, int64_t now_ms);

/** Return whether this node has seen one of the crashes of S itself. */
bool quarantine_has_confirmed_crash (const struct suspect *s);

/** Return how many requests that are no two alike the crashes of the part S
 * show at least. */
uint32_t parts_count_crashes (const struct beryl_quarantine *q,
                              const struct suspect *s);

/** Return how many requests other than REQUEST, no two alike, were there at
 * the crashes of the part S. */
uint32_t parts_count_other_requests (const struct beryl_quarantine *q,
                                     const struct suspect *s,
                                     const struct suspect *request);

/** The part S is held back from now on, or has crashed one more endpoint
 * since: put off the next try. */
void parts_put_off_try (const struct beryl_quarantine *q, struct suspect *s,
                        int64_t now_ms);

#endif
