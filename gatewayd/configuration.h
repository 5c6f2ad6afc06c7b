/** @file
 * The configuration in force at this node, read from the platform's API (the
 * store) or from peers.  A node never goes back to an older one.
 */
#ifndef GATEWAYD_CONFIGURATION_H
#define GATEWAYD_CONFIGURATION_H

#include "common/loop.h"
#include "common/platform_client.h"
#include "gateway/wire.h"

struct configuration;
struct configuration_owner;

/** Callbacks to the owner. */
struct configuration_owner_impl
{
  /** A newer configuration is in use; the callee takes over the reference. */
  void (*routes_changed) (struct configuration_owner *owner,
                          struct beryl_routes *routes);
  /** Pull the configuration from a peer that has a newer one; returns false if
   * none is known. */
  bool (*pull) (struct configuration_owner *owner);
  /** The store is in a new era (beryl/revision.h): what this node has written
   * there may be lost. */
  void (*store_restored) (struct configuration_owner *owner);
};

/** The owner; the first member selects the implementation. */
struct configuration_owner
{
  const struct configuration_owner_impl *impl;
};

/** Watch the configuration through CLIENT; a change must be in use within
 * DELAY_MS. */
struct configuration *configuration_create (struct loop *loop,
                                            const struct gateway_wire *wire,
                                            struct platform_client *client,
                                            int64_t delay_ms,
                                            struct configuration_owner *owner);

/** Release; NULL is allowed. */
void configuration_destroy (struct configuration *configuration);

/** Use a configuration from another node, unless it is older than the one in
 * use. */
void configuration_offer (struct configuration *configuration,
                          uint64_t revision, const char *value,
                          size_t value_bytes);

/** Ask the store at once whether there is a newer configuration. */
void configuration_ask_store (struct configuration *configuration);

/** Some node has the configuration with REVISION. */
void configuration_heard (struct configuration *configuration,
                          uint64_t revision);

/** What is known of the configuration in use, to tell a change that never came
 * from one that waits, was rejected or is in use. */
struct configuration_state
{
  uint64_t version;   /**< stated in the text; 0 if there is none */
  uint64_t revision;  /**< given by the store */
  const char *origin; /**< "platform", "peer" or "-" */
  int64_t age_ms;     /**< time since it came into use; -1 if there is none */
  int64_t confirmed_ms; /**< time since the store last confirmed that there is
                             no newer one; -1 if never */
  uint64_t heard_revision; /**< newest one that a peer has; 0 if unknown */
  int64_t behind_ms; /**< time since this node heard of a newer one; 0 if it
                          has it */
  uint64_t rejected_revision; /**< newest invalid one; 0 if none */
};

/** Fill STATE; its texts are static. */
void configuration_state (const struct configuration *configuration,
                          struct configuration_state *state);

/** Return whether a configuration has been read. */
bool configuration_is_known (const struct configuration *configuration);

/** Return the store's revision of the configuration object in use (0 if there
 * is none), and its JSON text. */
uint64_t configuration_revision (const struct configuration *configuration);
const char *configuration_text (const struct configuration *configuration,
                                size_t *value_bytes);

#endif
