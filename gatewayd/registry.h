/** @file
 * This node's record in the platform's API, and those of the others.
 * Nothing expires there by itself, so that one node takes back the records of
 * those that never will.
 *
 * The record's version numbers this life of the node: it only grows,
 * whatever the clock does, and no disk is needed.
 */
#ifndef GATEWAYD_REGISTRY_H
#define GATEWAYD_REGISTRY_H

#include "beryl/membership.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "settings.h"

/** Kind of the records; also of others that concern the whole fleet. */
#define REGISTRY_KIND "gateway-nodes"

struct registry;
struct registry_owner;

/** What the owner does with news. */
struct registry_owner_impl
{
  /** This node is on record; INCARNATION is above any former one's. */
  void (*registered) (struct registry_owner *owner, uint64_t incarnation);
  /** All records. */
  void (*listed) (struct registry_owner *owner,
                  const struct beryl_listed_instance *items, size_t count);
  /** All objects of the kind; told before the records. */
  void (*objects) (struct registry_owner *owner,
                   const struct beryl_object *objects, size_t count);
  /** Whether this node is to take back the record of NODE, which is gone for
   * good. */
  bool (*is_over) (struct registry_owner *owner, const char *node);
};

/** The owner; the first member selects the implementation. */
struct registry_owner
{
  const struct registry_owner_impl *impl;
};

/** Begin to register.  PEER_PORT is told to the others. */
struct registry *registry_create (struct loop *loop,
                                  struct platform_client *client,
                                  const struct gateway_settings *settings,
                                  struct registry_owner *owner);

/** Release; the record stays.  NULL is allowed. */
void registry_destroy (struct registry *registry);

/** Read the records now rather than later. */
void registry_look (struct registry *registry);

/** Take the record back, at a planned stop. */
void registry_withdraw (struct registry *registry);

#endif
