/** @file
 * The other nodes of the fleet: which there are, their runs, and the newest
 * configuration that one of them has.
 *
 * A run is a request in progress at an engine.
 */
#ifndef GATEWAYD_MEMBERS_H
#define GATEWAYD_MEMBERS_H

#include <glib.h>

#include "beryl/engine_load.h"
#include "beryl/error.h"
#include "beryl/membership.h"
#include "common/counters.h"
#include "common/loop.h"
#include "settings.h"
#include "wire/changes.h"
#include "wire/loads.h"
#include "wire/notices.h"
#include "wire/streams.h"

struct members;
struct members_owner;

/** Callbacks to the owner. */
struct members_owner_impl
{
  /** The number of nodes that may be running has changed: those that are not
   * dead and those with a record.  A node that appears dead may merely be
   * partitioned from this one. */
  void (*count_changed) (struct members_owner *owner, uint32_t count);
  /** A peer announced its loads; MESSAGE is newer than all its earlier
   * ones. */
  void (*loads_received) (struct members_owner *owner,
                          const struct loads_message *message);
  /** A peer relayed changes of the endpoint list. */
  void (*changes_received) (struct members_owner *owner,
                            const struct changes_message *message);
  /** A peer sent notices of crashes, quarantined requests or rate limits. */
  void (*notices_received) (struct members_owner *owner,
                            const struct notices_message *message);
  /** The peer at ADDRESS and PORT sent records of streams, questions or
   * answers. */
  void (*streams_received) (struct members_owner *owner,
                            const struct streams_message *message,
                            const char *address, uint16_t port);
  /** PEER is suspect or dead; disregard its runs. */
  void (*peer_lost) (struct members_owner *owner, const char *peer);
  /** An announcement is due: call members_announce_loads with the current
   * runs.  Peers estimate the load of engines by them, and do not list a node
   * to callers if its announcements cease. */
  void (*announce_due) (struct members_owner *owner);
  /** Some node has the configuration with REVISION, which is newer than this
   * node's. */
  void (*configuration_heard) (struct members_owner *owner, uint64_t revision);
  /** A configuration that is newer than this node's was received from a
   * peer. */
  void (*configuration_received) (struct members_owner *owner,
                                  uint64_t revision, const char *value,
                                  size_t value_bytes);
};

/** The owner; the first member selects the implementation. */
struct members_owner
{
  const struct members_owner_impl *impl;
};

/** Listen on the peer port in SETTINGS; return NULL and set ERROR on
 * failure. */
struct members *members_create (struct loop *loop,
                                const struct gateway_settings *settings,
                                struct members_owner *owner,
                                struct counters *counters,
                                struct beryl_error *error);

/** Close and release; NULL is allowed. */
void members_destroy (struct members *members);

/** Set the key that authenticates messages from and to peers. */
void members_set_key (struct members *members, const char *key);

/** Join the fleet; INCARNATION is greater than that of any earlier process of
 * this node.  Only the first call has an effect. */
void members_join (struct members *members, uint64_t incarnation);

/** Update from the platform's records of all nodes. */
void members_set_records (struct members *members,
                          const struct beryl_listed_instance *items,
                          size_t count);

/** Return the time since this node first saw NODE suspect or dead, in
 * milliseconds; 0 if it is alive or unknown. */
int64_t members_silent_ms (const struct members *members, const char *node);

/** Return what is known of NODE, or NULL; valid until the next event. */
const struct beryl_member *members_find (const struct members *members,
                                         const char *node);

/** Announce that this node is shutting down. */
void members_leave (struct members *members);

/** Return whether the next announcement also goes to peers in other data
 * centres. */
bool members_announces_remote (const struct members *members);

/** Announce MESSAGE to the peers.  The caller sets this node's runs, its
 * reports on endpoints, generation profiles and transfers of retry budget. */
void members_announce_loads (struct members *members,
                             struct loads_message *message);

/** Send MESSAGE to the peers in this data centre. */
void members_send_changes (struct members *members,
                           const struct changes_message *message);

/** Send MESSAGE to at most MAX peers, chosen at random. */
void members_send_notices (struct members *members,
                           const struct notices_message *message,
                           uint32_t max);

/** Send MESSAGE to the MAX peers that rank first for KEY, at most
 * MEMBERS_RANKED_MAX; return how many they are. All nodes rank alike. */
#define MEMBERS_RANKED_MAX 8
uint32_t members_send_streams (struct members *members,
                               const struct streams_message *message,
                               uint64_t key, uint32_t max);

/** Send MESSAGE to the peer at ADDRESS and PORT. */
void members_reply_streams (struct members *members,
                            const struct streams_message *message,
                            const char *address, uint16_t port);

/** Return how many nodes of this data centre are not dead, this one
 * included. */
uint32_t members_local_count (const struct members *members);

/** Return whether this node is one of the MAX candidates for ROLE in its data
 * centre. */
bool members_is_local_candidate (const struct members *members,
                                 const char *role, uint32_t max);

/** Set the revision up to which this node has seen changes of endpoints. */
void members_set_endpoint_revision (struct members *members,
                                    uint64_t revision);

/** Set the configuration object that this node uses: VALUE, at REVISION. */
void members_set_configuration (struct members *members, uint64_t revision,
                                const char *value, size_t value_bytes);

/** Pull the configuration from a peer that has a newer one; false if none is
 * known. */
bool members_pull_configuration (struct members *members);

/** Set whether this node can connect to endpoints. */
void members_set_reaches_endpoints (struct members *members, bool reaches);

/** Append the addresses of the nodes that accept callers, as g_malloc'd
 * "ip:port" strings: those of DATA_CENTRE, or all if it has fewer than two.
 * Nodes that have lost all endpoints are left out unless all have. */
void members_append_addresses (struct members *members,
                               const char *data_centre, GPtrArray *addresses);

/** Return whether this node is one of the MAX candidates for ROLE in the
 * fleet. */
bool members_is_candidate (const struct members *members, const char *role,
                           uint32_t max);

/** Return whether other nodes are listed as not dead, but none of them has
 * announced anything recently. */
bool members_isolated (const struct members *members);

/** Return the interval at which a live peer announces its loads, in
 * milliseconds. */
int64_t members_announce_interval_ms (const struct members *members);

/** Return how many nodes are not dead, this one included. */
uint32_t members_count (const struct members *members);

/** Return how many of them have a name before this node's. */
uint32_t members_rank (const struct members *members);

#endif
