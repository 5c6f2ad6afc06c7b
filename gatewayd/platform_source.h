/** @file
 * Watches the entries of the endpoints in the platform's API (the store).
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
  /** The set of endpoints changed. */
  void (*endpoints_changed) (struct platform_source_owner *owner);
  /** The store returned COUNT changes of endpoints after revision AFTER, up to
   * REVISION, ordered by version.  If COMPLETE is not set, there were more
   * than can be buffered.  May be NULL. */
  void (*changes_received) (struct platform_source_owner *owner,
                            uint64_t after, uint64_t revision,
                            const struct entry_change *changes, size_t count,
                            bool complete);
  /** This node has stayed behind its peers: its connections to the store may
   * be dead. */
  void (*connection_suspect) (struct platform_source_owner *owner);
  /** The store has become unreachable. */
  void (*store_lost) (struct platform_source_owner *owner);
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

/** Return whether the endpoint list has been read. */
bool platform_source_is_synced (const struct platform_source *source);

#endif
