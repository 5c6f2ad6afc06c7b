/** @file
 * Which nodes there are and which can be reached.
 *
 * Nodes probe each other, directly and through others, and pass on what
 * changed with every message.  An unreachable node is suspect, not dead:
 * only the platform's instance list, as a witness, lets a suspect node be
 * declared dead, so that a partition heals without mass death.  In a data
 * centre all probe all by turns; few bridges probe other data centres.
 *
 * No I/O.  Messages must be authenticated by whoever carries them.  Not
 * thread-safe.
 */
#ifndef BERYL_MEMBERSHIP_H
#define BERYL_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Longest text form of an IP address, with its NUL. */
#define BERYL_ADDRESS_BYTES 48

/** States; of two records of one incarnation the later one in this order
 * counts. */
enum beryl_member_state
{
  BERYL_MEMBER_ALIVE,
  BERYL_MEMBER_SUSPECT,
  BERYL_MEMBER_DEAD, /**< kept for a while, so that old news of it being
                        alive do not bring it back */
};

/** Roles that the others must be able to find. */
enum beryl_member_role
{
  BERYL_MEMBER_WATCHER = 1, /**< collects reports of its data centre */
  BERYL_MEMBER_ACCEPTOR = 2,
  BERYL_MEMBER_PLANNER = 4, /**< collects demand */
};

/** One node. */
struct beryl_member
{
  char name[BERYL_NAME_BYTES];
  char address[BERYL_ADDRESS_BYTES];
  uint16_t port; /**< of gossip, UDP and TCP */
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  uint64_t incarnation; /**< 0: only known from the instance list */
  enum beryl_member_state state;
  bool leaving;               /**< planned stop; stays set */
  uint32_t roles;             /**< bits of enum beryl_member_role */
  uint64_t entry_incarnation; /**< of its beryl-entryd; 0: away */
  uint16_t http_port;         /**< of its beryl-entryd */
  uint16_t peer_port;         /**< of its beryl-entryd */
  uint64_t config_version;    /**< last heard from the node itself */
  uint64_t config_applied;    /**< in use there, so heard as well */
};

/** Types of messages. */
enum beryl_gossip_type
{
  BERYL_GOSSIP_PING = 1,
  BERYL_GOSSIP_ACK,
  BERYL_GOSSIP_PING_REQUEST, /**< ping the target for me */
  BERYL_GOSSIP_UPDATE,       /**< something changed; no answer */
};

/** Most member records in one message; fits a datagram. */
#define BERYL_GOSSIP_UPDATES_MAX 5

/** Age of a proof that nobody has. */
#define BERYL_CONFIG_AGE_UNKNOWN UINT32_MAX

/** One message. */
struct beryl_gossip
{
  enum beryl_gossip_type type;
  uint32_t sequence;
  char from[BERYL_NAME_BYTES];
  uint64_t from_incarnation;
  char target[BERYL_NAME_BYTES]; /**< PING: whom; PING_REQUEST: whom */
  uint64_t config_version;
  uint64_t config_applied; /**< in use at FROM */
  /** Age of the proof that this was the newest configuration. */
  uint32_t config_age_ms;
  struct beryl_member updates[BERYL_GOSSIP_UPDATES_MAX];
  size_t update_count;
};

struct beryl_membership;
struct beryl_membership_owner;

/** Actions.  Pointers are valid during the call. */
struct beryl_membership_owner_impl
{
  /** Send a datagram. */
  void (*send) (struct beryl_membership_owner *owner, const char *address,
                uint16_t port, const struct beryl_gossip *message);
  /** A member appeared or changed; DEAD ones leave the list. */
  void (*changed) (struct beryl_membership_owner *owner,
                   const struct beryl_member *member);
  /** PEER has a newer configuration: pull it. */
  void (*pull_config) (struct beryl_membership_owner *owner,
                       const struct beryl_member *peer);
  /** Compare member lists with PEER over a connection (anti-entropy). */
  void (*sync) (struct beryl_membership_owner *owner,
                const struct beryl_member *peer);
};

/** The owner; the first member selects the implementation. */
struct beryl_membership_owner
{
  const struct beryl_membership_owner_impl *impl;
};

/** Settings; zero times take the defaults in brackets. */
struct beryl_membership_settings
{
  struct beryl_member self; /**< incarnation: above any former one's */
  uint64_t seed;
  int64_t probe_ms; /**< between probes [1000] */
  int64_t ack_ms;   /**< until others are asked to ping [300] */
  int64_t sync_ms;  /**< between comparisons of lists [30000] */
  /** How long a member must be silent and absent from the instance list to
   * be declared dead [5000]. */
  int64_t dead_after_ms;
};

/** Create; OWNER must outlive it. */
struct beryl_membership *
beryl_membership_create (const struct beryl_membership_settings *settings,
                         struct beryl_membership_owner *owner, int64_t now_ms);

/** Release; NULL is allowed. */
void beryl_membership_destroy (struct beryl_membership *m);

/** Take a message that arrived from ADDRESS. */
void beryl_membership_receive (struct beryl_membership *m,
                               const struct beryl_gossip *message,
                               const char *address, uint16_t port,
                               int64_t now_ms);

/** Let time pass. */
void beryl_membership_tick (struct beryl_membership *m, int64_t now_ms);

/** Return when the next tick is due. */
int64_t beryl_membership_next_ms (const struct beryl_membership *m);

/** One of our instances in the platform's list. */
struct beryl_listed_instance
{
  char name[BERYL_NAME_BYTES];
  char address[BERYL_ADDRESS_BYTES];
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  bool leaving;
};

/** Take the platform's list: seeds for contact, witness of deaths. */
void beryl_membership_set_instances (struct beryl_membership *m,
                                     const struct beryl_listed_instance *items,
                                     size_t count, int64_t now_ms);

/** Merge records that a peer gave over a connection. */
void beryl_membership_merge (struct beryl_membership *m,
                             const struct beryl_member *members, size_t count,
                             int64_t now_ms);

/** Facts about this node that the others are to know. */
void beryl_membership_set_entry (struct beryl_membership *m,
                                 uint64_t entry_incarnation,
                                 uint16_t http_port, uint16_t peer_port,
                                 int64_t now_ms);
void beryl_membership_set_role (struct beryl_membership *m,
                                enum beryl_member_role role, bool held,
                                int64_t now_ms);
void beryl_membership_leave (struct beryl_membership *m, int64_t now_ms);

/** This node has configuration VERSION, and others may pull it. */
void beryl_membership_set_config (struct beryl_membership *m, uint64_t version,
                                  int64_t now_ms);

/** Configuration VERSION is in use at this node; it may be lower than before.
 * The watchers of its data centre are told at once. */
void beryl_membership_set_applied (struct beryl_membership *m,
                                   uint64_t version, int64_t now_ms);

/** The platform proved just now that this node's configuration is the
 * newest. */
void beryl_membership_confirm_config (struct beryl_membership *m,
                                      int64_t now_ms);

/** Return the age of the last such proof, from here or from a peer with the
 * same configuration; -1: none. */
int64_t beryl_membership_config_age_ms (const struct beryl_membership *m,
                                        int64_t now_ms);

/** Return when another node was heard last; 0: never. */
int64_t beryl_membership_last_contact_ms (const struct beryl_membership *m);

/** Return all records, this node's and dead ones included, by name. */
size_t beryl_membership_count (const struct beryl_membership *m);
const struct beryl_member *
beryl_membership_get (const struct beryl_membership *m, size_t i);
const struct beryl_member *
beryl_membership_find (const struct beryl_membership *m, const char *name);
const struct beryl_member *
beryl_membership_self (const struct beryl_membership *m);

/** Return a hash that is equal for equal lists. */
uint64_t beryl_membership_digest (const struct beryl_membership *m);

/** Whether this node is among the MOST live nodes that stand for ROLE, of
 * DATA_CENTRE unless it is "". */
bool beryl_membership_is_candidate (const struct beryl_membership *m,
                                    const char *role, const char *data_centre,
                                    uint32_t max_candidates);

/** Return the stable name of STATE. */
const char *beryl_member_state_name (enum beryl_member_state state);

#endif
