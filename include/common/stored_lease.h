/** @file
 * A lease on a role (beryl/lease.h) whose object is kept in the platform's
 * API.
 */
#ifndef COMMON_STORED_LEASE_H
#define COMMON_STORED_LEASE_H

#include "beryl/lease.h"
#include "common/platform_client.h"

struct stored_lease;
struct stored_lease_owner;

/** What the owner does. */
struct stored_lease_owner_impl
{
  /** The role was won (FENCE > 0) or lost (0). */
  void (*changed) (struct stored_lease_owner *owner,
                   struct stored_lease *lease, uint64_t fence);
};

/** The owner; the first member selects the implementation. */
struct stored_lease_owner
{
  const struct stored_lease_owner_impl *impl;
};

/** Create; the object is called SETTINGS->name, of KIND.  CLIENT and OWNER
 * must outlive it.  The lease is not wanted at first. */
struct stored_lease *
stored_lease_create (struct loop *loop, struct platform_client *client,
                     const char *kind,
                     const struct beryl_lease_settings *settings,
                     struct stored_lease_owner *owner);

/** Release the memory; NULL is allowed.  Nothing is written. */
void stored_lease_destroy (struct stored_lease *lease);

/** As beryl_lease_set_candidate, _held, _settled and _name, at the present
 * time. */
void stored_lease_want (struct stored_lease *lease, bool wanted);
bool stored_lease_held (const struct stored_lease *lease, uint64_t *fence);
bool stored_lease_settled (const struct stored_lease *lease);
const char *stored_lease_name (const struct stored_lease *lease);

#endif
