/** @file
 * The claim log durably assigns each claimed key (BERYL_KEY_FREE) to one
 * incarnation before any byte of the call is sent to an endpoint.
 *
 * A key belongs to a shard, and a shard has a home node, chosen by rendezvous
 * hashing over the members.  The home writes batches of claims as segments:
 * objects that are created only if absent, at the shard's next sequence
 * number.  If two nodes both consider themselves home, they race for that
 * number, and the loser reads the log before it writes again.  See
 * docs/design/claims.md.
 *
 * The module does no I/O: requests, messages and replies of the platform's
 * object API (beryl/platform.h) are passed in with the current time, and calls
 * come out through a vtable.  A result may be reported from inside
 * beryl_claims_claim.  An owner that calls it in the act callback of
 * beryl_requests must queue the result, since beryl_requests_handle_event must
 * not be called there.  Not thread-safe.
 */
#ifndef BERYL_CLAIMS_H
#define BERYL_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/error.h"
#include "beryl/ids.h"
#include "beryl/platform.h"
#include "beryl/requests.h"

struct beryl_claims;

/** Kind of claim segments in the object API. */
#define BERYL_CLAIMS_KIND "claims"

/** Upper limit of beryl_claims_settings.shards. */
#define BERYL_CLAIM_SHARDS_MAX 1000

/** Types of messages between two nodes. */
enum beryl_claim_message_type
{
  BERYL_CLAIM_REQUEST = 1, /**< sent to the shard's home node */
  BERYL_CLAIM_REPLY,
};

/** A message between two nodes. */
struct beryl_claim_message
{
  enum beryl_claim_message_type type;
  uint64_t id;       /**< chosen by the requesting node; echoed in the reply */
  uint64_t key_high; /**< 128-bit digest of organisation and key, upper half */
  uint64_t key_low;
  uint64_t call_hash;
  uint64_t incarnation; /**< REQUEST: the claiming incarnation; REPLY: the
                             one that was granted the key */
  enum beryl_claim_result result; /**< REPLY only */
};

struct beryl_claims_owner;

/** Callbacks.  Pointers are valid only during the call. */
struct beryl_claims_owner_impl
{
  /** The claim of REQUEST ended with RESULT.  INCARNATION is the one that was
   * granted the key, if known. */
  void (*result) (struct beryl_claims_owner *owner, uint64_t request,
                  enum beryl_claim_result result, uint64_t incarnation);
  /** Send MESSAGE to NODE.  If NODE refuses the connection, call
   * beryl_claims_node_down. */
  void (*send) (struct beryl_claims_owner *owner, const char *node,
                const struct beryl_claim_message *message);
  /** Read all objects whose names begin with PREFIX, then call
   * beryl_claims_read_done. */
  void (*list) (struct beryl_claims_owner *owner, uint64_t call,
                const char *prefix);
  /** Read the object NAME, then call beryl_claims_read_done. */
  void (*get) (struct beryl_claims_owner *owner, uint64_t call,
               const char *name);
  /** Create the object NAME only if it is absent, then call
   * beryl_claims_write_done.  VALUE contains NONCE, by which the platform
   * client recognises the write if it repeats it within this call after a lost
   * reply.  A write of an earlier call is not recognised: it is a conflict. */
  void (*create) (struct beryl_claims_owner *owner, uint64_t call,
                  const char *name, const char *value, size_t value_bytes,
                  const char *nonce);
  /** Delete the object NAME, then call beryl_claims_write_done. */
  void (*remove) (struct beryl_claims_owner *owner, uint64_t call,
                  const char *name);
};

/** Base of the owner; the owner's struct starts with it. */
struct beryl_claims_owner
{
  const struct beryl_claims_owner_impl *impl;
};

/** Settings; members that are 0 take the default in brackets. */
struct beryl_claims_settings
{
  const char *node;
  uint64_t incarnation;
  uint64_t seed;
  uint32_t shards;            /**< must be the same on all nodes and never
                                   change [16] */
  int64_t commit_interval_ms; /**< minimum time between two writes of a
                                   shard; claims in between share a segment
                                   [20] */
  uint32_t commits_per_s;     /**< limit for the whole cluster; each home
                                   takes a share in proportion to its shards
                                   [120] */
  int64_t retention_ms;       /**< how long a claimed key is kept [3600000] */
  int64_t delete_after_ms;    /**< minimum age of an object before it is
                                   deleted.  Deletion frees its sequence
                                   number, so a home that has not confirmed
                                   the log's end for half of this time reads
                                   the log again before it writes [600000] */
  uint32_t compact_min_segments; /**< minimum number of segments to compact
                                      at once [16] */
  int64_t request_timeout_ms;    /**< timeout of a request to the home node;
                                      then it is sent again, to the current
                                      home [500] */
};

/** Create an object; OWNER must outlive it.  Returns NULL if out of memory. */
struct beryl_claims *
beryl_claims_create (const struct beryl_claims_settings *settings,
                     struct beryl_claims_owner *owner);

/** Free CLAIMS; NULL is allowed. */
void beryl_claims_destroy (struct beryl_claims *claims);

/** Set the live nodes, including this one.  NODE_COUNT 0 means that this node
 * is isolated: claims then end with BERYL_CLAIM_UNKNOWN, since this node does
 * not know which keys the others have claimed. */
void beryl_claims_set_members (struct beryl_claims *claims,
                               const char *const *nodes, size_t node_count,
                               int64_t now_ms);

/** Claim KEY for REQUEST, as BERYL_ACTION_CLAIM asks.  Ends with the result
 * callback. */
void beryl_claims_claim (struct beryl_claims *claims, uint64_t request,
                         const char *organisation, const char *key,
                         uint64_t call_hash, int64_t now_ms);

/** Handle a message received from NODE. */
void beryl_claims_handle_message (struct beryl_claims *claims,
                                  const char *node,
                                  const struct beryl_claim_message *message,
                                  int64_t now_ms);

/** NODE refuses connections: its process has ended.  Must not be called when
 * NODE merely does not reply. */
void beryl_claims_node_down (struct beryl_claims *claims, const char *node,
                             int64_t now_ms);

/** A list or get ended; CODE has the meaning that it has in struct
 * beryl_platform_result. */
void beryl_claims_read_done (struct beryl_claims *claims, uint64_t call,
                             enum beryl_error_code code,
                             const struct beryl_object *objects,
                             size_t object_count, int64_t now_ms);

/** A create or remove ended with CODE. */
void beryl_claims_write_done (struct beryl_claims *claims, uint64_t call,
                              enum beryl_error_code code, int64_t now_ms);

/** Run everything that is due at NOW_MS. */
void beryl_claims_tick (struct beryl_claims *claims, int64_t now_ms);

/** Return when beryl_claims_tick must be called next. */
int64_t beryl_claims_next_ms (const struct beryl_claims *claims);

/** Return the home node of SHARD, or NULL if there are no members. */
const char *beryl_claims_home (const struct beryl_claims *claims,
                               uint32_t shard);

/** Counters since creation, except KEYS. */
struct beryl_claims_counts
{
  uint64_t granted;
  uint64_t taken; /**< results TAKEN and MISMATCH */
  uint64_t unavailable;
  uint64_t unknown;
  uint64_t segments;              /**< segments written */
  uint64_t create_conflicts;      /**< creates that found the sequence
                                       number taken */
  uint64_t lost_replies_resolved; /**< segments written after at least one
                                     create whose reply was lost */
  uint64_t reads;                 /**< lists and gets sent */
  uint64_t deleted;               /**< objects deleted */
  uint64_t keys;                  /**< keys held in memory */
};

/** Return the counters, owned by CLAIMS. */
const struct beryl_claims_counts *
beryl_claims_counts (const struct beryl_claims *claims);

#endif
