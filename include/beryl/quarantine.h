/** @file
 * Detects requests that crash the endpoints which run them, and keeps them
 * from other endpoints.
 *
 * A request is identified by its fingerprint, whatever its id, and so is each
 * part of a prompt that many requests may share.  When a run breaks off and
 * its endpoint turns out to have ended, all requests that ran there become
 * suspects, and the parts of those that had written nothing yet.  A suspect
 * with several crashes is held back while peers report what else ran at these
 * endpoints, and then quarantined; crashes that it explains no longer count
 * against other requests.  A complete answer clears a suspect for a while,
 * since many callers may send the same request. Nodes merge the crashes that
 * others observe as a set until these expire, so that updates may arrive late,
 * twice or out of order.
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

/** Return the fingerprint of a part of prompts whose digest is DIGEST, or that
 * of a request.  The two differ in one bit, so that all that is told or stored
 * of one is the same for both. */
uint64_t beryl_quarantine_part (uint64_t digest);
uint64_t beryl_quarantine_request (uint64_t digest);

/** Cause of a change of a request's quarantine. */
enum beryl_quarantine_cause
{
  BERYL_QUARANTINE_CRASHES, /**< this node observed at least one of the crashes
                             */
  BERYL_QUARANTINE_FROM_PEER, /**< reported by peers */
  BERYL_QUARANTINE_STORED,    /**< read from a stored record */
  BERYL_QUARANTINE_ANSWERED,  /**< an endpoint answered it */
  BERYL_QUARANTINE_LIFTED,    /**< an operator deleted its stored record */
  BERYL_QUARANTINE_EXPIRED,
};

/** Callbacks of the quarantine. */
struct beryl_quarantine_owner_impl
{
  /** FINGERPRINT is quarantined for REMAINING_MS, or released (0). */
  void (*changed) (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
                   int64_t remaining_ms, enum beryl_quarantine_cause cause,
                   int64_t now_ms);
};

/** Owner of a quarantine; the first member selects the implementation. */
struct beryl_quarantine_owner
{
  const struct beryl_quarantine_owner_impl *impl;
};

/** Create a quarantine; OWNER must outlive it. */
struct beryl_quarantine *
beryl_quarantine_create (struct beryl_quarantine_owner *owner);

/** State that NODES nodes are alive, this one included, and a SEED that
 * differs between them. */
void beryl_quarantine_set_fleet (struct beryl_quarantine *quarantine,
                                 uint32_t nodes, uint64_t seed);

/** Release; NULL is allowed. */
void beryl_quarantine_destroy (struct beryl_quarantine *quarantine);

/** Return whether no request is tracked (suspect, quarantined or recently
 * cleared), so that lookups can be skipped. */
bool beryl_quarantine_empty (const struct beryl_quarantine *quarantine);

/** Record that a run of FINGERPRINT broke off at the endpoint with this hash.
 */
void beryl_quarantine_run_broken (struct beryl_quarantine *quarantine,
                                  uint64_t fingerprint, uint32_t endpoint,
                                  int64_t now_ms);

/** Record that the endpoint has ended: runs that broke off there recently did
 * so by its crash.  Returns whether a pending crash was confirmed by this. */
bool beryl_quarantine_endpoint_ended (struct beryl_quarantine *quarantine,
                                      uint32_t endpoint, int64_t now_ms);

/** Record that an endpoint answered the request FINGERPRINT completely, or has
 * begun to write on a prompt with the part FINGERPRINT. */
void beryl_quarantine_run_answered (struct beryl_quarantine *quarantine,
                                    uint64_t fingerprint, int64_t now_ms);

/** Return whether any request is held back, so that lookups can be skipped. */
bool beryl_quarantine_holds_any (const struct beryl_quarantine *quarantine);

/** Return for how long FINGERPRINT is still held back, by its quarantine or
 * the review before it; 0: not held back. */
int64_t
beryl_quarantine_remaining_ms (const struct beryl_quarantine *quarantine,
                               uint64_t fingerprint, int64_t now_ms);

/** Return the same for a request with COUNT parts PARTS, or the time until it
 * may be tried, see beryl_quarantine_try_parts.  Parts that occur only
 * together are held back only together, so that those which are sound can be
 * told apart by requests that have some of them. */
int64_t
beryl_quarantine_parts_remaining_ms (const struct beryl_quarantine *quarantine,
                                     const uint64_t *parts, size_t count,
                                     int64_t now_ms);

/** Return whether a request with COUNT parts PARTS may run although they are
 * held back, and count it as a try.  Nothing else would prove a sound part
 * that all requests of a service share: its first event does. */
bool beryl_quarantine_try_parts (struct beryl_quarantine *quarantine,
                                 const uint64_t *parts, size_t count,
                                 int64_t now_ms);

/** Return whether an endpoint crashed, or may have crashed, during a run of
 * FINGERPRINT. */
bool beryl_quarantine_is_suspect (const struct beryl_quarantine *quarantine,
                                  uint64_t fingerprint);

/** Crash of an endpoint during a run of a request. */
struct beryl_crash
{
  uint64_t fingerprint;
  uint32_t endpoint; /**< beryl_live_hash of the endpoint */
};

/** Quarantined request. */
struct beryl_quarantined
{
  uint64_t fingerprint;
  uint32_t remaining_s;
};

/** Maximum numbers of items in one message; others follow in later messages.
 */
#define BERYL_CRASHES_MAX 32
#define BERYL_CLEARED_MAX 8
#define BERYL_QUARANTINED_MAX 16

/** Update that a node sends to its peers. */
struct beryl_quarantine_update
{
  struct beryl_crash crashes[BERYL_CRASHES_MAX]; /**< crashes that the sender
                                                    observed itself */
  size_t crash_count;
  uint64_t cleared[BERYL_CLEARED_MAX];
  size_t cleared_count;
  struct beryl_quarantined quarantined[BERYL_QUARANTINED_MAX];
  size_t quarantined_count;
};

/** Collect recent changes and, with ALL, older quarantines in rotation.
 * Returns false if there are none. */
bool beryl_quarantine_build_update (struct beryl_quarantine *quarantine,
                                    struct beryl_quarantine_update *update,
                                    bool all, int64_t now_ms);

/** Apply an update from a peer. */
void
beryl_quarantine_apply_update (struct beryl_quarantine *quarantine,
                               const struct beryl_quarantine_update *update,
                               int64_t now_ms);

/** Return whether there are changes to announce since the last call, and reset
 * the flag. */
bool beryl_quarantine_take_changed (struct beryl_quarantine *quarantine);

/** Record that the store holds a quarantine record of FINGERPRINT, valid for
 * REMAINING_MS more.  Returns false if the request was cleared, so that the
 * record is to be deleted. */
bool beryl_quarantine_record_read (struct beryl_quarantine *quarantine,
                                   uint64_t fingerprint, int64_t remaining_ms,
                                   int64_t now_ms);

/** Record that all stored records were read at NOW_MS and passed to
 * beryl_quarantine_record_read: a record that is gone was deleted by an
 * operator, which lifts the quarantine. */
void beryl_quarantine_records_synced (struct beryl_quarantine *quarantine,
                                      int64_t now_ms);

/** Decide on requests whose review is over, and remove expired crashes and
 * quarantines. */
void beryl_quarantine_expire (struct beryl_quarantine *quarantine,
                              int64_t now_ms);

/** Return when the next review is over; BERYL_NEVER_MS: none is open. */
int64_t beryl_quarantine_next_ms (const struct beryl_quarantine *quarantine);

/** Return the number of quarantined requests, and of the other tracked
 * requests: suspects and recently cleared ones. */
uint32_t beryl_quarantine_count (const struct beryl_quarantine *quarantine);
uint32_t
beryl_quarantine_suspect_count (const struct beryl_quarantine *quarantine);

/** Return the stable name of CAUSE. */
const char *beryl_quarantine_cause_name (enum beryl_quarantine_cause cause);

#endif
