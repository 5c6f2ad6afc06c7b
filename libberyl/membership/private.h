/** @file
 * The member table, shared by the files of this part.
 */
#ifndef LIBBERYL_MEMBERSHIP_PRIVATE_H
#define LIBBERYL_MEMBERSHIP_PRIVATE_H

#include "beryl/membership.h"

/** A member with what only this node knows of it. */
struct slot
{
  struct beryl_member member;
  uint32_t transmits_left; /* how often its record is still passed on */
  int64_t unlisted_ms;     /* absent from the instance list since; 0: listed */
  int64_t suspect_ms;      /* suspect since */
  int64_t dead_ms;         /* when it was declared dead */
  uint32_t immediate_left; /* sendings before it is news no more */
  bool probed;             /* in this round */
};

struct probe
{
  char target[BERYL_NAME_BYTES];
  uint32_t sequence;
  int64_t sent_ms;
  bool indirect; /* others were asked */
};

/** A ping made for another node. */
struct relay
{
  uint32_t sequence;         /* of our ping */
  uint32_t request_sequence; /* of the request */
  char requester[BERYL_NAME_BYTES];
  int64_t sent_ms;
};

#define PROBES_MAX 32
#define RELAYS_MAX 64

struct beryl_membership
{
  struct beryl_membership_owner *owner;
  struct slot *slots; /* by name */
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
  int64_t sync_spacing_ms; /* short at first, see sync_tick */
  int64_t next_update_ms;  /* when news are due; BERYL_NEVER_MS: none */
  int64_t last_update_ms;
  bool applied_due;            /* watchers are to hear what is in use here */
  bool version_due;            /* anybody is to hear of a new configuration */
  int64_t last_contact_ms;     /* any other node */
  int64_t last_ack_ms;         /* an answer to a probe of ours */
  int64_t config_confirmed_ms; /* time of the newest proof; 0: none */
  uint32_t sequence;
  struct probe probes[PROBES_MAX];
  size_t probe_count;
  struct relay relays[RELAYS_MAX];
  size_t relay_next;
  char
      suspect_data_centre[BERYL_NAME_BYTES]; /* data centre that may be lost */
};

/** Each node that learns of a change sends it so many times at once, so that
 * all but a few in a thousand have it after some steps; the rest learns it
 * with the probes. */
#define IMMEDIATE_SENDS 6

/** Return the slot of NAME or NULL. */
struct slot *table_find (struct beryl_membership *m, const char *name);

/** Return this node's slot. */
struct slot *table_self (struct beryl_membership *m);

/** Merge one record; returns whether it was news. */
bool table_merge (struct beryl_membership *m,
                  const struct beryl_member *record, int64_t now_ms);

/** Have SLOT's record passed on. */
void table_queue_update (struct beryl_membership *m, struct slot *slot,
                         int64_t now_ms);

/** Suspect a member that did not answer. */
void table_suspect (struct beryl_membership *m, struct slot *slot,
                    int64_t now_ms);

/** A message of this incarnation came from the member itself. */
void table_confirm_alive (struct beryl_membership *m, struct slot *slot,
                          uint64_t incarnation, int64_t now_ms);

/** Forget the dead after a while. */
void table_expire (struct beryl_membership *m, int64_t now_ms);

/** Return a seeded random number below LIMIT, which is not 0. */
uint64_t membership_random (struct beryl_membership *m, uint64_t limit);

/** Fill the common parts of MESSAGE and add records to pass on. */
void gossip_prepare (struct beryl_membership *m, struct beryl_gossip *message,
                     enum beryl_gossip_type type, const struct slot *to,
                     int64_t now_ms);

/** Send MESSAGE to TO. */
void gossip_send (struct beryl_membership *m,
                  const struct beryl_gossip *message, const struct slot *to);

/** Send news to a few. */
void gossip_updates (struct beryl_membership *m, int64_t now_ms);

/** Take the probing parts of a message. */
void probe_receive (struct beryl_membership *m,
                    const struct beryl_gossip *message, struct slot *from,
                    int64_t now_ms);

/** Send due probes, notice missing answers. */
void probe_tick (struct beryl_membership *m, int64_t now_ms);

/** Return when probe_tick is due. */
int64_t probe_next_ms (const struct beryl_membership *m);

#endif
