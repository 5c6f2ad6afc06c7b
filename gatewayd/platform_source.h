/** @file
 * Watches two kinds of objects in the platform's API (the store): the
 * configuration and the entries of the endpoints.
 */
#ifndef GATEWAYD_PLATFORM_SOURCE_H
#define GATEWAYD_PLATFORM_SOURCE_H

#include "beryl/live.h"
#include "beryl/relay.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/platform_client.h"
#include "gateway/wire.h"
#include "wire/changes.h"

struct platform_source;
struct platform_source_owner;

/** Callbacks to the owner. */
struct platform_source_owner_impl
{
  /** A newer configuration is in use; the callee takes over the reference. */
  void (*routes_changed) (struct platform_source_owner *owner,
                          struct beryl_routes *routes);
  /** The set of endpoints changed. */
  void (*endpoints_changed) (struct platform_source_owner *owner);
  /** The store returned COUNT changes of endpoints after revision AFTER, up to
   * REVISION, ordered by version.  If COMPLETE is not set, there were more
   * than can be buffered.  May be NULL. */
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

/** Watch through CLIENT and keep ENDPOINTS up to date. */
struct platform_source *platform_source_create (
    struct loop *loop, const struct gateway_wire *wire,
    struct platform_client *client, struct beryl_live_set *endpoints,
    struct counters *counters, struct platform_source_owner *owner);

/** Release; NULL is allowed. */
void platform_source_destroy (struct platform_source *source);

/** Use a configuration from another node, unless it is older than the one in
 * use. */
void platform_source_offer_configuration (struct platform_source *source,
                                          uint64_t revision, const char *value,
                                          size_t value_bytes);

/** Return the version of the configuration in use, as its text states it; 0 if
 * there is none. */
uint64_t
platform_source_configuration_version (const struct platform_source *source);

/** Return the store's revision of the configuration object in use, and its
 * JSON text. */
uint64_t
platform_source_configuration_revision (const struct platform_source *source);
const char *
platform_source_configuration_text (const struct platform_source *source,
                                    size_t *value_bytes);

/** Return the revision of the newest change of an endpoint that was seen. */
uint64_t
platform_source_endpoint_revision (const struct platform_source *source);

/** A peer has seen changes of endpoints up to REVISION; poll the store if this
 * node stays behind. */
void platform_source_set_peer_revision (struct platform_source *source,
                                        uint64_t revision);

/** Ask the store whether the endpoint list has changed; its answer confirms
 * the list, see beryl_live_set_synced. */
void platform_source_confirm (struct platform_source *source);

/** Apply MESSAGE, which a watcher of the endpoint list relayed. */
void platform_source_apply_changes (struct platform_source *source,
                                    const struct changes_message *message);

/** Watch the endpoint list according to ROLE: a follower does not watch, each
 * watch call of a watcher waits for a change for at most WAIT_MS, and those of
 * a standalone node wait for the time set by store_set_watch_wait. */
void platform_source_set_role (struct platform_source *source,
                               enum beryl_relay_role role, int64_t wait_ms);

/** A peer has a newer configuration: return whether to pull it now.  The first
 * call starts a waiting time; false until it ends, while the store is likely
 * to deliver the configuration just as soon. */
bool platform_source_should_pull (struct platform_source *source);

/** Return whether a configuration and the endpoint list have been read. */
bool platform_source_is_synced (const struct platform_source *source);

#endif
