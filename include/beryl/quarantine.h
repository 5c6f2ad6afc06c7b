/** @file
 * Finds requests that crash the endpoints which run them, and keeps them from
 * further endpoints.
 *
 * A request is known by its fingerprint, whatever its id.  When a run breaks
 * off and its endpoint turns out to have ended, all requests that ran there
 * are suspects.  One under which several endpoints have ended is quarantined;
 * endpoints whose end that explains no longer count against others.  A whole
 * answer clears a suspect, and stands for a while: many callers may send the
 * same request.  What nodes see of crashes is a set that only
 * grows, so that it may come late, twice, or in any order.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_QUARANTINE_H
#define BERYL_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct beryl_quarantine;
struct beryl_quarantine_owner;

/** How a request came into quarantine, or out of it. */
enum beryl_quarantine_cause
{
  BERYL_QUARANTINE_CRASHES,   /**< this node has seen one of them */
  BERYL_QUARANTINE_FROM_PEER, /**< peers have seen them */
  BERYL_QUARANTINE_STORED,    /**< it is on record in the platform */
  BERYL_QUARANTINE_ANSWERED,  /**< an endpoint has run it */
  BERYL_QUARANTINE_LIFTED,    /**< its record was taken away */
  BERYL_QUARANTINE_EXPIRED,
};

/** What the owner does with changes. */
struct beryl_quarantine_owner_impl
{
  /** FINGERPRINT is quarantined for LEFT_MS, or no longer (0). */
  void (*changed) (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
                   int64_t left_ms, enum beryl_quarantine_cause cause,
                   int64_t now_ms);
};

/** The owner; the first member selects the implementation. */
struct beryl_quarantine_owner
{
  const struct beryl_quarantine_owner_impl *impl;
};

/** Create; OWNER must outlive it. */
struct beryl_quarantine *
beryl_quarantine_create (struct beryl_quarantine_owner *owner);

/** Release; NULL is allowed. */
void beryl_quarantine_destroy (struct beryl_quarantine *quarantine);

/** Whether nothing is suspected or quarantined: no request has to be looked
 * up. */
bool beryl_quarantine_empty (const struct beryl_quarantine *quarantine);

/** A run of FINGERPRINT broke off at the endpoint with this number. */
void beryl_quarantine_run_broken (struct beryl_quarantine *quarantine,
                                  uint64_t fingerprint, uint32_t endpoint,
                                  int64_t now_ms);

/** The endpoint has ended: runs that broke off there a moment ago did so by
 * its crash.  Returns whether there were any that this was not known of. */
bool beryl_quarantine_endpoint_ended (struct beryl_quarantine *quarantine,
                                      uint32_t endpoint, int64_t now_ms);

/** FINGERPRINT was answered whole by an endpoint that ran it. */
void beryl_quarantine_run_answered (struct beryl_quarantine *quarantine,
                                    uint64_t fingerprint, int64_t now_ms);

/** Return for how long FINGERPRINT goes to no endpoint; 0: it may. */
int64_t
beryl_quarantine_remaining_ms (const struct beryl_quarantine *quarantine,
                               uint64_t fingerprint, int64_t now_ms);

/** Whether an endpoint has ended, or may have, under a run of FINGERPRINT. */
bool beryl_quarantine_is_suspect (const struct beryl_quarantine *quarantine,
                                  uint64_t fingerprint);

/** An endpoint that ended under a run. */
struct beryl_crash
{
  uint64_t fingerprint;
  uint32_t endpoint; /**< beryl_live_hash */
};

/** A request in quarantine. */
struct beryl_quarantined
{
  uint64_t fingerprint;
  uint32_t remaining_s;
};

/** Most items of a kind in one message; what is left out is told with a later
 * one. */
#define BERYL_CRASHES_MAX 32
#define BERYL_CLEARED_MAX 8
#define BERYL_QUARANTINED_MAX 16

/** What a node tells its peers. */
struct beryl_quarantine_update
{
  struct beryl_crash crashes[BERYL_CRASHES_MAX]; /**< that it saw itself */
  size_t crash_count;
  uint64_t cleared[BERYL_CLEARED_MAX];
  size_t cleared_count;
  struct beryl_quarantined quarantined[BERYL_QUARANTINED_MAX];
  size_t quarantined_count;
};

/** Write what became known a moment ago and, with ALL, in turns also what is
 * older; false if that is nothing. */
bool beryl_quarantine_build_update (struct beryl_quarantine *quarantine,
                                    struct beryl_quarantine_update *news,
                                    bool all, int64_t now_ms);

/** Take what a peer tells. */
void beryl_quarantine_apply_update (struct beryl_quarantine *quarantine,
                                    const struct beryl_quarantine_update *news,
                                    int64_t now_ms);

/** Whether something is new since it was last asked. */
bool beryl_quarantine_fetch_changed (struct beryl_quarantine *quarantine);

/** FINGERPRINT is on record in the platform's API, for LEFT_MS more; false if
 * it was cleared, so that the record is to be taken away. */
bool beryl_quarantine_record_read (struct beryl_quarantine *quarantine,
                                   uint64_t fingerprint, int64_t left_ms,
                                   int64_t now_ms);

/** All records were read at NOW_MS and told by beryl_quarantine_record_read;
 * what was on record and is no longer has been lifted by an operator. */
void beryl_quarantine_records_synced (struct beryl_quarantine *quarantine,
                                      int64_t now_ms);

/** End what is over. */
void beryl_quarantine_expire (struct beryl_quarantine *quarantine,
                              int64_t now_ms);

/** Return the number of requests in quarantine, and of suspects. */
uint32_t beryl_quarantine_count (const struct beryl_quarantine *quarantine);
uint32_t
beryl_quarantine_suspect_count (const struct beryl_quarantine *quarantine);

/** Return the stable name of CAUSE. */
const char *beryl_quarantine_cause_name (enum beryl_quarantine_cause cause);

#endif
