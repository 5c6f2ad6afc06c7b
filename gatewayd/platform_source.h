/** @file
 * Watches the platform's API: the configuration object, and the entries of
 * the endpoints.
 */
#ifndef GATEWAYD_SOURCE_H
#define GATEWAYD_SOURCE_H

#include "beryl/live.h"
#include "beryl/relay.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "gateway/wire.h"
#include "wire/changes.h"

struct platform_source;
struct platform_source_owner;

/** What the owner does with news. */
struct platform_source_owner_impl
{
  /** A newer configuration is in force; the callee takes its reference. */
  void (*routes_changed) (struct platform_source_owner *owner,
                          struct beryl_routes *routes);
  /** The set of endpoints changed. */
  void (*endpoints_changed) (struct platform_source_owner *owner);
  /** The store answered: these are the COUNT changes after revision AFTER, up
   * to REVISION, in order of versions.  If COMPLETE is not set there were more
   * than are kept.  May be NULL. */
  void (*changes_received) (struct platform_source_owner *owner,
                            uint64_t after, uint64_t revision,
                            const struct entry_change *changes, size_t count,
                            bool complete);
};

/** The owner; the first member selects the implementation. */
struct platform_source_owner
{
  const struct platform_source_owner_impl *impl;
};

/** Watch through CLIENT; LIVES takes the endpoints. */
struct platform_source *
platform_source_create (struct loop *loop, const struct gateway_wire *wire,
                        struct platform_client *client,
                        struct beryl_lives *lives, struct counters *counters,
                        struct platform_source_owner *owner);

/** Release; NULL is allowed. */
void platform_source_destroy (struct platform_source *source);

/** Take a configuration that another node has; an older one than this node's
 * is not used. */
void platform_source_offer_configuration (struct platform_source *source,
                                          uint64_t revision, const char *value,
                                          size_t value_bytes);

/** Return the configuration's version; 0: none. */
uint64_t
platform_source_configuration_version (const struct platform_source *source);

/** Return the revision and the text of the configuration in use. */
uint64_t
platform_source_configuration_revision (const struct platform_source *source);
const char *
platform_source_configuration_text (const struct platform_source *source,
                                    size_t *value_bytes);

/** Return the revision of the newest change of an endpoint that was seen. */
uint64_t
platform_source_endpoint_revision (const struct platform_source *source);

/** A peer has seen endpoints' changes up to REVISION: look, if this node has
 * not. */
void platform_source_set_peer_revision (struct platform_source *source,
                                        uint64_t revision);

/** A node that watches the list of endpoints passed MESSAGE on. */
void platform_source_apply_changes (struct platform_source *source,
                                    const struct changes_message *message);

/** Watch the list of endpoints as ROLE asks; calls of a watcher wait for
 * WAIT_MS. */
void platform_source_set_role (struct platform_source *source,
                               enum beryl_relay_role role, int64_t wait_ms);

/** A peer has a newer configuration: return whether to ask it for that now.
 * Not if the store is likely to bring it as soon. */
bool platform_source_should_pull (struct platform_source *source);

/** Whether both were read whole at least once. */
bool platform_source_is_synced (const struct platform_source *source);

#endif
