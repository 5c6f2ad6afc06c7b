/** @file
 * A lease on a role, kept in one object of the platform.
 *
 * No two clocks are compared.  The holder counts its time from before it
 * sent the renewal and stops early; another node waits for the whole time
 * from when it saw the object's version change itself.  The fencing number
 * is the object's version at the takeover, which only grows.
 *
 * The lease stops nobody who has been paused after the check: an order must
 * carry the fencing number, and beryl_lease_held is to be asked right before
 * each order.  Receivers that ignore the number are given orders only once
 * beryl_lease_settled is true.
 */
#ifndef BERYL_LEASE_H
#define BERYL_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** What the object holds. */
struct beryl_lease_record
{
  uint64_t version;              /**< of the object; 0: there is none */
  char holder[BERYL_NAME_BYTES]; /**< "": released */
  uint64_t nonce;                /**< names the write */
  int64_t ttl_ms;
};

/** What became of a conditional write. */
enum beryl_lease_write
{
  BERYL_LEASE_WRITTEN,
  BERYL_LEASE_CONFLICT, /**< another version was there; nothing happened */
  BERYL_LEASE_FAILED,   /**< nothing happened */
  BERYL_LEASE_UNKNOWN,  /**< it may take effect, now or later */
};

struct beryl_lease;
struct beryl_lease_owner;

/** Actions.  Each read and write is answered by exactly one event. */
struct beryl_lease_owner_impl
{
  /** Read the object, then call beryl_lease_read_done or _failed. */
  void (*read) (struct beryl_lease_owner *owner, struct beryl_lease *lease);
  /** Write RECORD if the object's version is RECORD->version (0: absent),
   * then call beryl_lease_write_done. */
  void (*write) (struct beryl_lease_owner *owner, struct beryl_lease *lease,
                 const struct beryl_lease_record *record);
  /** The role was won (FENCE > 0) or lost (0). */
  void (*changed) (struct beryl_lease_owner *owner, struct beryl_lease *lease,
                   uint64_t fence);
};

/** The owner; the first member selects the implementation. */
struct beryl_lease_owner
{
  const struct beryl_lease_owner_impl *impl;
};

/** Settings; strings are copied. */
struct beryl_lease_settings
{
  const char *name;   /**< of the role, for the owner */
  const char *holder; /**< this node, unique among the live ones */
  int64_t ttl_ms;
  int64_t margin_ms; /**< stop early; covers clock rates that differ */
  int64_t poll_ms;   /**< between reads while another holds it */
  /** Longest pause of a process plus longest delivery of an order. */
  int64_t settle_ms;
  uint64_t seed; /**< unique per process; nonces come from it */
};

/** Create; OWNER must outlive it.  The lease is not wanted at first. */
struct beryl_lease *
beryl_lease_create (const struct beryl_lease_settings *settings,
                    struct beryl_lease_owner *owner);

/** Release the memory; NULL is allowed.  Nothing is written. */
void beryl_lease_destroy (struct beryl_lease *lease);

/** Return the role's name. */
const char *beryl_lease_name (const struct beryl_lease *lease);

/** Whether this node competes for the role.  Ending it while held writes
 * the release. */
void beryl_lease_set_candidate (struct beryl_lease *lease, bool wanted,
                                int64_t now_ms);

/** The read ended.  RECORD has version 0 if there is no object.  It may come
 * from a replica that lags. */
void beryl_lease_read_done (struct beryl_lease *lease,
                            const struct beryl_lease_record *record,
                            int64_t now_ms);
void beryl_lease_read_failed (struct beryl_lease *lease, int64_t now_ms);

/** The write ended.  VERSION is the new one for BERYL_LEASE_WRITTEN and the
 * present one (0: absent) for BERYL_LEASE_CONFLICT. */
void beryl_lease_write_done (struct beryl_lease *lease,
                             enum beryl_lease_write result, uint64_t version,
                             int64_t now_ms);

/** Time passed. */
void beryl_lease_tick (struct beryl_lease *lease, int64_t now_ms);

/** Return when the next tick is due, or BERYL_NEVER_MS. */
int64_t beryl_lease_next_ms (const struct beryl_lease *lease);

/** Whether the role is held at NOW_MS, which must have been read from the
 * clock just now; FENCE (may be NULL) is set if so. */
bool beryl_lease_held (const struct beryl_lease *lease, int64_t now_ms,
                       uint64_t *fence);

/** Whether it is held and no order of a former holder can still arrive. */
bool beryl_lease_settled (const struct beryl_lease *lease, int64_t now_ms);

/** Return who holds it as last read, "" if unknown. */
const char *beryl_lease_holder (const struct beryl_lease *lease);

#endif
