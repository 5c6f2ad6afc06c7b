/** @file
 * Member table and internal interfaces of the membership module.
 */
#ifndef LIBBERYL_MEMBERSHIP_PRIVATE_H
#define LIBBERYL_MEMBERSHIP_PRIVATE_H

#include "beryl/membership.h"

/** A member and this node's local state for it. */
struct slot
{
  struct beryl_member member;
  uint32_t transmits_left; /* times its record is still to be piggybacked */
  int64_t unlisted_ms;     /* time since when it is known to be missing from
                              the instance list; 0: listed or not checked */
  int64_t suspect_ms;      /* time it became suspect */
  int64_t dead_ms;         /* time it was declared dead */
  /* Update messages that are still to carry its record before they use up
   * transmits_left, as pings and acks do.  A record is queued only
   * while transmits_left is not 0. */
  uint32_t immediate_left;
  bool probed; /* its turn in this round is over, even if nothing was sent */
};

/** A ping of this node that awaits its ack. */
struct probe
{
  char target[BERYL_NAME_BYTES];
  uint32_t sequence;
  int64_t sent_ms;
  bool indirect; /* other nodes were asked to ping as well */
};

/** A ping sent on behalf of another node. */
struct relay
{
  uint32_t sequence;         /* of this node's ping */
  uint32_t request_sequence; /* of the requester's PING_REQUEST */
  char requester[BERYL_NAME_BYTES];
  int64_t sent_ms;
};

#define PROBES_MAX 32
#define RELAYS_MAX 64

struct beryl_membership
{
  struct beryl_membership_owner *owner;
  struct slot *slots; /* sorted by name */
  size_t count;
  size_t capacity;
  char self[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES]; /* of this node */
  uint64_t random;
  int64_t probe_ms;
  int64_t ack_ms;
  int64_t sync_ms;
  int64_t dead_after_ms;
  int64_t next_probe_ms;
  int64_t next_sync_ms;
  int64_t sync_spacing_ms; /* current anti-entropy interval; see sync_tick */
  int64_t next_update_ms;  /* time of the next updates; BERYL_NEVER_MS: none */
  int64_t last_update_ms;
  bool applied_due;      /* the watchers must learn of config_applied */
  bool version_due;      /* a new config_version or _heard must be announced */
  uint64_t config_heard; /* newest version that any node has */
  int64_t last_contact_ms; /* time of the last message from any node */
  int64_t last_ack_ms;     /* time of the last ack received, also a late one */
  int64_t config_confirmed_ms; /* time the configuration was last confirmed to
                                  be the newest; 0: never */
  uint32_t sequence;
  struct probe probes[PROBES_MAX];
  size_t probe_count;
  struct relay relays[RELAYS_MAX];
  size_t relay_next;
  char suspect_data_centre[BERYL_NAME_BYTES]; /* data centre to probe with
                                                 priority; "": none */
};

/** Number of update messages by which a node forwards a change that it has
 * learnt of.  They reach all but a few in a thousand nodes; the rest learn of
 * the change from probes. */
#define IMMEDIATE_SENDS 6

/** Note that some node has configuration VERSION, and announce it. */
void membership_hear_config (struct beryl_membership *m, uint64_t version,
                             int64_t now_ms);

/** Return the slot of NAME or NULL. */
struct slot *table_find (struct beryl_membership *m, const char *name);

/** Return this node's slot. */
struct slot *table_self (struct beryl_membership *m);

/** Merge a received record; returns whether another member's record
 * changed. */
bool table_merge (struct beryl_membership *m,
                  const struct beryl_member *record, int64_t now_ms);

/** Queue the record of SLOT for dissemination. */
void table_queue_update (struct beryl_membership *m, struct slot *slot,
                         int64_t now_ms);

/** Mark an alive member that did not answer as suspect. */
void table_suspect (struct beryl_membership *m, struct slot *slot,
                    int64_t now_ms);

/** Record a message from the member itself, which clears a suspicion of
 * INCARNATION or an earlier one. */
void table_confirm_alive (struct beryl_membership *m, struct slot *slot,
                          uint64_t incarnation, int64_t now_ms);

/** Remove dead members whose retention time is over. */
void table_expire (struct beryl_membership *m, int64_t now_ms);

/** Return a random number below LIMIT, which must not be 0, from the seeded
 * generator. */
uint64_t membership_random (struct beryl_membership *m, uint64_t limit);

/** Initialise MESSAGE for TO and add the member records that are due. */
void gossip_prepare (struct beryl_membership *m, struct beryl_gossip *message,
                     enum beryl_gossip_type type, const struct slot *to,
                     int64_t now_ms);

/** Send MESSAGE to TO. */
void gossip_send (struct beryl_membership *m,
                  const struct beryl_gossip *message, const struct slot *to);

/** Report a new config_applied to the watchers of the data centre and send
 * queued updates to a few random members. */
void gossip_send_updates (struct beryl_membership *m, int64_t now_ms);

/** Handle the failure-detection part of a message. */
void probe_receive (struct beryl_membership *m,
                    const struct beryl_gossip *message, struct slot *from,
                    int64_t now_ms);

/** Send the probes that are due and handle missing acks. */
void probe_tick (struct beryl_membership *m, int64_t now_ms);

/** Return when probe_tick is due. */
int64_t probe_next_ms (const struct beryl_membership *m);

#endif
