/** @file
 * The other nodes: who is there, what they run at engines, and the newest
 * configuration that one of them has.
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

struct members;
struct members_owner;

/** What the owner does with news. */
struct members_owner_impl
{
  /** The number of nodes that may be at work changed: those that live and
   * those that are on record.  One that cannot be heard may only be cut off
   * from this one. */
  void (*count_changed) (struct members_owner *owner, uint32_t count);
  /** A peer told MESSAGE, which is newer than all before. */
  void (*loads) (struct members_owner *owner,
                 const struct loads_message *message);
  /** A peer passed changes of the list of endpoints on. */
  void (*changes) (struct members_owner *owner,
                   const struct changes_message *message);
  /** A peer told what it has found out. */
  void (*notices) (struct members_owner *owner,
                   const struct notices_message *message);
  /** PEER has gone, and its runs with it. */
  void (*peer_gone) (struct members_owner *owner, const char *peer);
  /** Nothing was told for a while: call members_tell_loads, since peers take
   * silence for death, and with what runs now, since they count from it. */
  void (*tell_due) (struct members_owner *owner);
  /** A peer has a configuration that is newer than this node's: return whether
   * to ask for it now. */
  bool (*should_pull) (struct members_owner *owner);
  /** A peer gave a configuration that is newer than this node's. */
  void (*configuration) (struct members_owner *owner, uint64_t revision,
                         const char *value, size_t value_bytes);
};

/** The owner; the first member selects the implementation. */
struct members_owner
{
  const struct members_owner_impl *impl;
};

/** Listen on the settings' peer port; NULL and ERROR on failure. */
struct members *members_create (struct loop *loop,
                                const struct gateway_settings *settings,
                                struct members_owner *owner,
                                struct counters *counters,
                                struct beryl_error *error);

/** Close and release; NULL is allowed. */
void members_destroy (struct members *members);

/** Authenticate what is sent and received by KEY. */
void members_set_key (struct members *members, const char *key);

/** This life of the node has number INCARNATION: join the others.  Only the
 * first call counts. */
void members_join (struct members *members, uint64_t incarnation);

/** Take the records of all nodes. */
void members_listed (struct members *members,
                     const struct beryl_listed_instance *items, size_t count);

/** Return for how long NODE has not been heard by any node; 0: it is. */
int64_t members_silent_ms (const struct members *members, const char *node);

/** A planned stop has begun. */
void members_leave (struct members *members);

/** Whether what is told next goes to the peers in other data centres too. */
bool members_tells_far (const struct members *members);

/** Tell the peers MESSAGE, of which the caller sets what runs and what this
 * node has found out, learned, asks for and lends. */
void members_tell_loads (struct members *members,
                         struct loads_message *message);

/** Pass MESSAGE on to the peers in this data centre. */
void members_tell_changes (struct members *members,
                           const struct changes_message *message);

/** Tell MESSAGE to all peers, or to MOST of them drawn at random. */
void members_tell_notices (struct members *members,
                           const struct notices_message *message,
                           uint32_t most);

/** Return how many nodes of this data centre may be running, this one
 * included. */
uint32_t members_near_count (const struct members *members);

/** Whether this node is among the MOST live ones of its data centre that stand
 * for ROLE. */
bool members_stands_near (const struct members *members, const char *role,
                          uint32_t most);

/** This node has seen changes of endpoints up to REVISION. */
void members_set_endpoint_revision (struct members *members,
                                    uint64_t revision);

/** This node uses the configuration object of REVISION. */
void members_set_configuration (struct members *members, uint64_t revision,
                                const char *value, size_t value_bytes);

/** Add "ip:port" texts (g_malloc'd) of the nodes that take callers: those of
 * DATA_CENTRE, or all if it has fewer than two. */
void members_addresses (struct members *members, const char *data_centre,
                        GPtrArray *addresses);

/** Whether this node is among the MOST live ones that stand for ROLE. */
bool members_stands_for (const struct members *members, const char *role,
                         uint32_t most);

/** Whether there are other nodes and none of them is heard. */
bool members_isolated (const struct members *members);

/** Return the time in which a live peer tells what it runs. */
int64_t members_interval_ms (const struct members *members);

/** Return how many nodes may be running, this one included. */
uint32_t members_count (const struct members *members);

#endif
