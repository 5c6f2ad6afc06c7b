/** @file
 * Gossip-based cluster membership and failure detection.
 *
 * Nodes probe each other, directly and through other nodes, and piggyback
 * changed member records on every message.  An unreachable node is suspect,
 * not dead: it is declared dead only once it is also missing from the
 * platform's instance list, so that a partition heals without nodes having
 * to rejoin.  Within a data centre every node probes every other in turn;
 * only a few bridge nodes probe other data centres.
 *
 * Does no I/O and is not thread-safe.  The transport must authenticate
 * messages.
 */
#ifndef BERYL_MEMBERSHIP_H
#define BERYL_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Size of the longest text form of an IP address, including the NUL. */
#define BERYL_ADDRESS_BYTES 48

/** State of a member.  Of two records with the same incarnation the one with
 * the higher state wins. */
enum beryl_member_state
{
  BERYL_MEMBER_ALIVE,
  BERYL_MEMBER_SUSPECT,
  BERYL_MEMBER_DEAD, /**< retained for a while, so that an outdated record
                        does not revive the member */
};

/** Roles that a node advertises to the other members (bit mask). */
enum beryl_member_role
{
  BERYL_MEMBER_WATCHER = 1,  /**< publishes which nodes of its data centre use
                               a configuration */
  BERYL_MEMBER_ACCEPTOR = 2, /**< validates and publishes configurations */
  BERYL_MEMBER_PLANNER = 4,  /**< collects demand and sizes the pools */
};

/** Record of one node. */
struct beryl_member
{
  char name[BERYL_NAME_BYTES];
  char address[BERYL_ADDRESS_BYTES];
  uint16_t port; /**< gossip port, UDP and TCP */
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  uint64_t incarnation; /**< 0: known only from the instance list */
  enum beryl_member_state state;
  bool leaving;   /**< planned shutdown; never cleared in an incarnation */
  uint32_t roles; /**< bits of enum beryl_member_role */
  uint64_t entry_incarnation; /**< of its beryl-entryd; 0: not running */
  uint16_t http_port;         /**< of its beryl-entryd, for callers */
  uint16_t peer_port;         /**< of its beryl-entryd, for other entryds */
  uint64_t config_version; /**< newest version reported by the node itself */
  uint64_t config_applied; /**< version in use, reported by the node itself */
};

/** Message types. */
enum beryl_gossip_type
{
  BERYL_GOSSIP_PING = 1,
  BERYL_GOSSIP_ACK,
  BERYL_GOSSIP_PING_REQUEST, /**< ping the target on behalf of the sender */
  BERYL_GOSSIP_UPDATE,       /**< carries changed records; not answered */
};

/** Maximum number of member records in one message; fits a datagram. */
#define BERYL_GOSSIP_UPDATES_MAX 5

/** Value of config_age_ms if the configuration was never confirmed. */
#define BERYL_CONFIG_AGE_UNKNOWN UINT32_MAX

/** A gossip message. */
struct beryl_gossip
{
  enum beryl_gossip_type type;
  uint32_t sequence;
  char from[BERYL_NAME_BYTES];
  uint64_t from_incarnation;
  char target[BERYL_NAME_BYTES]; /**< PING, PING_REQUEST: node to be pinged */
  uint64_t config_version;
  uint64_t config_applied; /**< version in use at FROM */
  uint64_t config_heard;   /**< newest version that FROM knows of */
  /** Time since FROM's configuration was last confirmed to be the newest. */
  uint32_t config_age_ms;
  struct beryl_member updates[BERYL_GOSSIP_UPDATES_MAX];
  size_t update_count;
};

struct beryl_membership;
struct beryl_membership_owner;

/** Callbacks.  Pointers are valid only during the call. */
struct beryl_membership_owner_impl
{
  /** Send a datagram. */
  void (*send) (struct beryl_membership_owner *owner, const char *address,
                uint16_t port, const struct beryl_gossip *message);
  /** A member was added or changed.  A DEAD one is retained for a while and
   * then removed without another call. */
  void (*changed) (struct beryl_membership_owner *owner,
                   const struct beryl_member *member);
  /** PEER has a newer configuration, which is to be pulled. */
  void (*pull_config) (struct beryl_membership_owner *owner,
                       const struct beryl_member *peer);
  /** Some node has configuration VERSION, which is the newest heard of; may be
   * NULL. */
  void (*config_heard) (struct beryl_membership_owner *owner,
                        uint64_t version);
  /** Exchange member lists with PEER over a connection (anti-entropy). */
  void (*sync) (struct beryl_membership_owner *owner,
                const struct beryl_member *peer);
};

/** Base of the owner; embed it as the first member. */
struct beryl_membership_owner
{
  const struct beryl_membership_owner_impl *impl;
};

/** Settings; a time of zero selects the default in brackets. */
struct beryl_membership_settings
{
  /** Record of this node; its incarnation must exceed every previous one. */
  struct beryl_member self;
  uint64_t seed;
  int64_t probe_ms; /**< probe interval [1000] */
  int64_t ack_ms;   /**< time to wait before probing indirectly [300] */
  int64_t sync_ms;  /**< anti-entropy interval [30000] */
  /** Time that a member must be both suspect and missing from the instance
   * list before it is declared dead [5000]. */
  int64_t dead_after_ms;
};

/** Create a membership; OWNER must outlive it.  NULL if out of memory. */
struct beryl_membership *
beryl_membership_create (const struct beryl_membership_settings *settings,
                         struct beryl_membership_owner *owner, int64_t now_ms);

/** Free M; NULL is allowed. */
void beryl_membership_destroy (struct beryl_membership *m);

/** Handle a message.  The sender is identified by the message's FROM; ADDRESS
 * and PORT, from which it was received, are not used. */
void beryl_membership_receive (struct beryl_membership *m,
                               const struct beryl_gossip *message,
                               const char *address, uint16_t port,
                               int64_t now_ms);

/** Run everything that is due at NOW_MS. */
void beryl_membership_tick (struct beryl_membership *m, int64_t now_ms);

/** Return the time of the next tick. */
int64_t beryl_membership_next_ms (const struct beryl_membership *m);

/** An entry instance (a machine that runs beryl-entryd) in the platform's
 * instance list. */
struct beryl_listed_instance
{
  char name[BERYL_NAME_BYTES];
  char address[BERYL_ADDRESS_BYTES];
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  bool leaving;
};

/** Set the platform's instance list.  Its instances are seeds for the
 * first contact; a suspect member that stays missing from it is declared dead.
 */
void beryl_membership_set_instances (struct beryl_membership *m,
                                     const struct beryl_listed_instance *items,
                                     size_t count, int64_t now_ms);

/** Merge records received from a peer during anti-entropy. */
void beryl_membership_merge (struct beryl_membership *m,
                             const struct beryl_member *members, size_t count,
                             int64_t now_ms);

/** Set the incarnation and ports of this node's beryl-entryd. */
void beryl_membership_set_entry (struct beryl_membership *m,
                                 uint64_t entry_incarnation,
                                 uint16_t http_port, uint16_t peer_port,
                                 int64_t now_ms);
/** Advertise or withdraw a role of this node. */
void beryl_membership_set_role (struct beryl_membership *m,
                                enum beryl_member_role role, bool held,
                                int64_t now_ms);
/** Announce the planned shutdown of this node. */
void beryl_membership_leave (struct beryl_membership *m, int64_t now_ms);

/** Announce that this node has configuration VERSION and serves it to peers.
 */
void beryl_membership_set_config (struct beryl_membership *m, uint64_t version,
                                  int64_t now_ms);

/** Report that this node uses configuration VERSION, which may be lower than
 * the previous one.  The watchers of its data centre are informed at once. */
void beryl_membership_set_applied (struct beryl_membership *m,
                                   uint64_t version, int64_t now_ms);

/** Record that the platform has confirmed at NOW_MS that this node's
 * configuration is the newest. */
void beryl_membership_confirm_config (struct beryl_membership *m,
                                      int64_t now_ms);

/** Return the time since the last such confirmation, by this node or by a peer
 * with the same configuration; -1 if there was none. */
int64_t beryl_membership_config_age_ms (const struct beryl_membership *m,
                                        int64_t now_ms);

/** Return the time of the last message from another node; 0: none. */
int64_t beryl_membership_last_contact_ms (const struct beryl_membership *m);

/** Access the records, sorted by name, including this node's and dead ones. */
size_t beryl_membership_count (const struct beryl_membership *m);
const struct beryl_member *
beryl_membership_get (const struct beryl_membership *m, size_t i);
const struct beryl_member *
beryl_membership_find (const struct beryl_membership *m, const char *name);
const struct beryl_member *
beryl_membership_self (const struct beryl_membership *m);

/** Return a hash of the names, incarnations, states and leaving flags of the
 * members that are not dead, independent of their order. */
uint64_t beryl_membership_digest (const struct beryl_membership *m);

/** Return whether this node is one of the MAX_CANDIDATES live nodes that are
 * candidates for PURPOSE by rendezvous hashing; only nodes of DATA_CENTRE are
 * considered unless it is "".  PURPOSE is any text; it is only hashed. */
bool beryl_membership_is_candidate (const struct beryl_membership *m,
                                    const char *purpose,
                                    const char *data_centre,
                                    uint32_t max_candidates);

/** Return the stable name of STATE. */
const char *beryl_member_state_name (enum beryl_member_state state);

#endif
