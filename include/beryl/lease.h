/** @file
 * A lease on a role, stored in one object of the platform's object API.
 *
 * Clocks of different nodes are never compared.  The holder measures its term
 * from before it sent the renewal and stops a margin early; any other node
 * waits for the full term and the margin from when it first saw the object's
 * version change.  The fencing token is the object's version at acquisition,
 * which only grows; versions must not be reused after a deletion.
 *
 * Right before it sends an order (a command to another component) the holder
 * must call beryl_lease_held, and the order must carry the fencing token,
 * since the holder may be suspended between the two and lose the lease
 * meanwhile.  Receivers that ignore the token may be given orders only once
 * beryl_lease_settled returns true.
 */
#ifndef BERYL_LEASE_H
#define BERYL_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Contents of the lease object. */
struct beryl_lease_record
{
  uint64_t version;              /**< version of the object; 0: the object
                                      does not exist */
  char holder[BERYL_NAME_BYTES]; /**< "": released */
  uint64_t nonce;                /**< identifies the write */
  int64_t ttl_ms;
};

/** Results of a conditional write. */
enum beryl_lease_write
{
  BERYL_LEASE_WRITTEN,
  BERYL_LEASE_CONFLICT, /**< the version differs; nothing was written */
  BERYL_LEASE_FAILED,   /**< nothing was written */
  BERYL_LEASE_UNKNOWN,  /**< the write may take effect, now or later */
};

struct beryl_lease;
struct beryl_lease_owner;

/** Actions.  Each read and write is answered by exactly one event. */
struct beryl_lease_owner_impl
{
  /** Read the object, then call beryl_lease_read_done or
   * beryl_lease_read_failed. */
  void (*read) (struct beryl_lease_owner *owner, struct beryl_lease *lease);
  /** Write RECORD if the object's version is RECORD->version (0: absent), then
   * call beryl_lease_write_done. */
  void (*write) (struct beryl_lease_owner *owner, struct beryl_lease *lease,
                 const struct beryl_lease_record *record);
  /** The role was acquired (FENCE > 0) or lost (FENCE 0). */
  void (*changed) (struct beryl_lease_owner *owner, struct beryl_lease *lease,
                   uint64_t fence);
};

/** Base of the owner; the owner's struct starts with it. */
struct beryl_lease_owner
{
  const struct beryl_lease_owner_impl *impl;
};

/** Settings; strings are copied. */
struct beryl_lease_settings
{
  const char *name;   /**< name of the role, for the owner's use */
  const char *holder; /**< name of this node, unique among live nodes */
  int64_t ttl_ms;
  int64_t margin_ms; /**< time before expiry at which the holder stops, and
                        after expiry that the other nodes wait; covers
                        differing clock rates */
  int64_t poll_ms;   /**< interval between reads while another node holds
                          the lease */
  /** Time after acquisition from which no order of a former holder can arrive
   * any more: at least the longest suspension of a process plus the longest
   * delivery time of an order. */
  int64_t settle_ms;
  uint64_t seed; /**< first nonce less 1.  Nonces count up from it and must
                      not repeat between processes, so seeds must be far
                      apart, for example random. */
};

/** Create a lease; OWNER must outlive it.  The node is not a candidate at
 * first.  Returns NULL if out of memory. */
struct beryl_lease *
beryl_lease_create (const struct beryl_lease_settings *settings,
                    struct beryl_lease_owner *owner);

/** Free LEASE; NULL is allowed.  Nothing is written. */
void beryl_lease_destroy (struct beryl_lease *lease);

/** Return the name of the role. */
const char *beryl_lease_name (const struct beryl_lease *lease);

/** Set whether this node competes for the role.  Withdrawing while it is held
 * writes the release. */
void beryl_lease_set_candidate (struct beryl_lease *lease, bool candidate,
                                int64_t now_ms);

/** Record the era of the object API (revision.h) that an answer states, before
 * the answer is reported; 0: it states none.  In a new era records may be lost
 * or be older ones again, so that no node may take the role before any term
 * that was written in an earlier era has ended. */
void beryl_lease_set_era (struct beryl_lease *lease, uint64_t era,
                          int64_t now_ms);

/** The read succeeded.  RECORD has version 0 if the object does not exist.  It
 * may come from a lagging replica. */
void beryl_lease_read_done (struct beryl_lease *lease,
                            const struct beryl_lease_record *record,
                            int64_t now_ms);

/** The read failed; it is retried later. */
void beryl_lease_read_failed (struct beryl_lease *lease, int64_t now_ms);

/** The write ended.  VERSION is the new one for BERYL_LEASE_WRITTEN and the
 * current one (0: absent) for BERYL_LEASE_CONFLICT. */
void beryl_lease_write_done (struct beryl_lease *lease,
                             enum beryl_lease_write result, uint64_t version,
                             int64_t now_ms);

/** Run what is due at NOW_MS. */
void beryl_lease_tick (struct beryl_lease *lease, int64_t now_ms);

/** Return when beryl_lease_tick is due next, or BERYL_NEVER_MS. */
int64_t beryl_lease_next_ms (const struct beryl_lease *lease);

/** Return whether the role is held at NOW_MS, which must be a fresh reading of
 * the clock.  Sets *FENCE if so; FENCE may be NULL. */
bool beryl_lease_held (const struct beryl_lease *lease, int64_t now_ms,
                       uint64_t *fence);

/** Return whether the role is held and no order of a former holder can still
 * arrive. */
bool beryl_lease_settled (const struct beryl_lease *lease, int64_t now_ms);

/** Return the holder in the newest record read or written by this node; "" if
 * the role was released or nothing is known. */
const char *beryl_lease_holder (const struct beryl_lease *lease);

#endif
