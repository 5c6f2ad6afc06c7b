/** @file
 * This node's record in the platform's API, and those of the other nodes.
 *
 * Node records do not expire, so one node removes those of nodes that are gone
 * for good.  The version of the record as this process first writes it is its
 * incarnation: versions only grow, whatever the clock does, and need no disk.
 */
#ifndef GATEWAYD_REGISTRY_H
#define GATEWAYD_REGISTRY_H

#include "beryl/membership.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "settings.h"

/** Kind of the node records and of the quarantine records
 * (quarantine_records.h). */
#define REGISTRY_KIND "gateway-nodes"

struct registry;
struct registry_owner;

/** Callbacks to the owner. */
struct registry_owner_impl
{
  /** This node has a record; INCARNATION is above that of any earlier
   * process. */
  void (*registered) (struct registry_owner *owner, uint64_t incarnation);
  /** All node records were listed. */
  void (*records_listed) (struct registry_owner *owner,
                          const struct beryl_listed_instance *items,
                          size_t count);
  /** All objects of the kind were listed; called before records_listed. */
  void (*objects_listed) (struct registry_owner *owner,
                          const struct beryl_object *objects, size_t count);
  /** Return whether this node is to remove the record of NODE, which is gone
   * for good. */
  bool (*should_remove) (struct registry_owner *owner, const char *node);
};

/** The owner; the first member selects the implementation. */
struct registry_owner
{
  const struct registry_owner_impl *impl;
};

/** Start registering this node, with the address and peer port in SETTINGS. */
struct registry *registry_create (struct loop *loop,
                                  struct platform_client *client,
                                  const struct gateway_settings *settings,
                                  struct registry_owner *owner);

/** Release; the record stays.  NULL is allowed. */
void registry_destroy (struct registry *registry);

/** List the records now instead of at the next interval. */
void registry_refresh (struct registry *registry);

/** Remove this node's record, at a graceful shutdown. */
void registry_withdraw (struct registry *registry);

#endif
