/** @file
 * The claim log: makes "this free key is mine to run" durable before the
 * first byte of a call goes out.
 *
 * A key belongs to a shard, a shard has a home node (rendezvous hashing over
 * the members), and the home writes many claims at a time as a segment: an
 * object that is created only if absent at the shard's next sequence number.
 * Two nodes that both believe to be home race for that number; the loser
 * reads before it writes again.  See docs/design/claims.md.
 *
 * Nothing here does I/O: requests, messages and answers of the object API go
 * in with the time, calls come out through a vtable.  A result may come from
 * inside beryl_claims_claim; since an act of beryl_requests must not call back
 * into it, the shell queues results.  Not thread-safe.
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

/** Kind of the objects in the object API. */
#define BERYL_CLAIMS_KIND "claims"

/** Most shards. */
#define BERYL_CLAIM_SHARDS_MAX 1000

/** Messages between two nodes. */
enum beryl_claim_message_type
{
  BERYL_CLAIM_REQUEST = 1, /**< to the shard's home */
  BERYL_CLAIM_REPLY,
};

/** One message. */
struct beryl_claim_message
{
  enum beryl_claim_message_type type;
  uint64_t id;       /**< of the asker; echoed */
  uint64_t key_high; /**< digest of organisation and key */
  uint64_t key_low;
  uint64_t body_hash;
  uint64_t incarnation; /**< ASK: who wants it; REPLY: who was granted it */
  enum beryl_claim_result result; /**< REPLY */
};

struct beryl_claims_owner;

/** Calls.  Pointers are valid during the call. */
struct beryl_claims_owner_impl
{
  /** REQUEST's claim ended. */
  void (*result) (struct beryl_claims_owner *owner, uint64_t request,
                  enum beryl_claim_result result, uint64_t incarnation);
  /** Send to NODE; if it refuses the connection, beryl_claims_node_down. */
  void (*send) (struct beryl_claims_owner *owner, const char *node,
                const struct beryl_claim_message *message);
  /** Read all objects whose names begin with PREFIX. */
  void (*list) (struct beryl_claims_owner *owner, uint64_t call,
                const char *prefix);
  /** Read one object. */
  void (*get) (struct beryl_claims_owner *owner, uint64_t call,
               const char *name);
  /** Create an object only if it is absent. */
  void (*create) (struct beryl_claims_owner *owner, uint64_t call,
                  const char *name, const char *value, size_t value_bytes,
                  const char *nonce);
  /** Delete an object. */
  void (*remove) (struct beryl_claims_owner *owner, uint64_t call,
                  const char *name);
};

/** The owner; the first member selects the implementation. */
struct beryl_claims_owner
{
  const struct beryl_claims_owner_impl *impl;
};

/** Settings; zero members take the defaults in brackets. */
struct beryl_claims_settings
{
  const char *node;
  uint64_t incarnation;
  uint64_t seed;
  uint32_t shards;            /**< same at all nodes, for ever [16] */
  int64_t commit_interval_ms; /**< least time between two writes of a shard;
                                   claims in between share one [20] */
  uint32_t commits_per_s;     /**< of all homes together; each takes the part
                                   of the shards it is home of [120] */
  int64_t retention_ms;       /**< how long a key is remembered [3600000] */
  int64_t delete_after_ms;    /**< least age of an object that is deleted;
                                   the log is safe from homes that pause, and
                                   from reads that lag, up to half of this
                                   [600000] */
  uint32_t compact_min_segments; /**< fewest segments that are folded [16] */
  int64_t request_timeout_ms; /**< until another home is asked again [500] */
};

/** Create; OWNER must outlive it. */
struct beryl_claims *
beryl_claims_create (const struct beryl_claims_settings *settings,
                     struct beryl_claims_owner *owner);

/** Release; NULL is allowed. */
void beryl_claims_destroy (struct beryl_claims *claims);

/** Use the names of the live nodes, this one included.  None at all: this
 * node is cut off from the others, and of keys that it cannot claim nobody
 * can say whether they have run. */
void beryl_claims_set_members (struct beryl_claims *claims,
                               const char *const *nodes, size_t node_count,
                               int64_t now_ms);

/** Claim a key for REQUEST, as BERYL_ACTION_CLAIM asks.  Ends by result. */
void beryl_claims_claim (struct beryl_claims *claims, uint64_t request,
                         const char *organisation, const char *key,
                         uint64_t body_hash, int64_t now_ms);

/** A message came from NODE. */
void beryl_claims_handle_message (struct beryl_claims *claims,
                                  const char *node,
                                  const struct beryl_claim_message *message,
                                  int64_t now_ms);

/** NODE refuses connections: its process is gone.  Not to be called when a
 * node merely does not answer. */
void beryl_claims_node_down (struct beryl_claims *claims, const char *node,
                             int64_t now_ms);

/** A list or get ended; CODE as in struct beryl_platform_result. */
void beryl_claims_read_done (struct beryl_claims *claims, uint64_t call,
                             enum beryl_error_code code,
                             const struct beryl_object *objects,
                             size_t object_count, int64_t now_ms);

/** A create or remove ended. */
void beryl_claims_write_done (struct beryl_claims *claims, uint64_t call,
                              enum beryl_error_code code, int64_t now_ms);

/** Let time pass. */
void beryl_claims_tick (struct beryl_claims *claims, int64_t now_ms);

/** Return when the next tick is due, or BERYL_NEVER_MS. */
int64_t beryl_claims_next_ms (const struct beryl_claims *claims);

/** Return the home of SHARD, or NULL without members. */
const char *beryl_claims_home (const struct beryl_claims *claims,
                               uint32_t shard);

/** Counts. */
struct beryl_claims_counts
{
  uint64_t granted;
  uint64_t taken;
  uint64_t unavailable;
  uint64_t unknown;
  uint64_t segments;              /**< written */
  uint64_t create_conflicts;      /**< creates that found the number taken */
  uint64_t lost_replies_resolved; /**< writes whose reply was lost and became
                                     known */
  uint64_t reads;                 /**< lists and gets */
  uint64_t deleted;               /**< objects */
  uint64_t keys;                  /**< in memory now */
};

/** Return the counts, owned by CLAIMS. */
const struct beryl_claims_counts *
beryl_claims_counts (const struct beryl_claims *claims);

#endif
