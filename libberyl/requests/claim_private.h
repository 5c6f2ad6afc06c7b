/** @file
 * Internals shared by the files of the claim log.
 */
#ifndef BERYL_REQUESTS_CLAIM_PRIVATE_H
#define BERYL_REQUESTS_CLAIM_PRIVATE_H

#include "../base/guard.h"
#include "beryl/claims.h"
#include "beryl/clock.h"
#include "../base/map.h"

#define SEGMENT_NAME_BYTES 64
/** Most claims in one segment. */
#define SEGMENT_CLAIMS_MAX 2000
/** Most claims in one compacted segment.  At 67 bytes per claim the
 * object stays at about half of the object API's limit of 1 MB. */
#define COMPACTED_CLAIMS_MAX 8000

/** A durable claim. */
struct claim
{
  uint64_t call_hash;
  uint64_t incarnation; /**< incarnation that was granted the key */
  uint64_t sequence;    /**< sequence number of its segment; the first one
                             if the segment is compacted */
};

/** A segment object, which holds the sequence numbers FROM to TO. */
struct segment
{
  uint64_t from;
  uint64_t to;
  int64_t seen_ms; /**< when it was first seen; its age is measured from
                        here, so it is never overestimated */
  uint32_t claims;
  bool covered; /**< a compacted segment contains its claims too */
};

/** A claim that has no result yet. */
struct pending_claim
{
  struct pending_claim *next;
  struct map_key key;
  uint64_t call_hash;
  uint64_t incarnation;
  uint64_t id; /**< local: request handle; remote: id in the requester's
                    message */
  bool received;
  bool home_down; /**< the home node's process has ended: write from this
                       node */
  char requester[BERYL_NAME_BYTES];
};

/** FIFO of pending claims. */
struct pending_queue
{
  struct pending_claim *first;
  struct pending_claim *last;
  uint32_t count;
};

/** Call to the object API that a shard is waiting for. */
enum shard_call
{
  SHARD_IDLE,
  SHARD_LIST,
  SHARD_GET,
  SHARD_CREATE,
};

/** Call to the object API that a shard's compaction is waiting for. */
enum compaction_state
{
  COMPACTION_IDLE,
  COMPACTION_CREATE,
  COMPACTION_REMOVE,
};

/** State of one shard of the log on this node. */
struct shard
{
  struct beryl_claims *claims;
  uint32_t number;
  bool loaded;        /**< the log up to NEXT has been read into INDEX */
  bool sole_writer;   /**< this node has been home for long enough, and
                           has written without a conflict since it last
                           listed the log */
  bool must_catch_up; /**< a segment with number NEXT exists, perhaps this
                           node's own, and must be read */
  struct map index;   /**< struct claim */
  uint64_t next;      /**< sequence number of the next segment */
  struct segment *segments;
  size_t segment_count;
  size_t segment_capacity;
  struct pending_queue queue;
  struct pending_queue batch; /**< claims in the segment that is being
                                   written */
  char *value;                /**< encoded segment that is being written */
  char nonce[33];
  uint32_t lost_replies; /**< lost replies while creating that segment */
  enum shard_call call;
  uint64_t call_id;
  int64_t call_ms;     /**< when the call was sent */
  int64_t verified_ms; /**< last time at which NEXT was known to be the end
                            of the log */
  int64_t next_ms;     /**< no call is sent before this */
  int64_t backoff_ms;
  enum compaction_state compaction;
  uint64_t compaction_call_id;
  uint64_t compaction_from;
  uint64_t compaction_to;
  int64_t compaction_next_ms;
};

/** A claim of this node that was sent to the shard's home node. */
struct remote_claim
{
  struct remote_claim *next;
  struct pending_claim *pending;
  uint64_t id;
  char home[BERYL_NAME_BYTES];
  int64_t due_ms;
};

struct beryl_claims
{
  struct beryl_claims_settings settings;
  char node[BERYL_NAME_BYTES];
  struct beryl_claims_owner *owner;
  char (*members)[BERYL_NAME_BYTES];
  size_t member_count;
  uint32_t *homes;        /**< by shard: index of its home in MEMBERS */
  int64_t *home_since_ms; /**< by shard: when this node became home;
                               BERYL_NEVER_MS: it is not home */
  struct shard **shards;  /**< by number; NULL until used */
  struct remote_claim *remotes;
  int64_t last_event_ms;         /**< 0 at first: the first event counts as
                                      the end of a suspension */
  int64_t write_not_before_ms;   /**< no new segment is written before this */
  uint32_t home_count;           /**< number of shards that this node is home
                                      of */
  bool serving_shards;           /**< a tick is stepping through the shards */
  uint32_t next_shard;           /**< first shard that the next tick serves */
  int64_t rate_charged_until_us; /**< time up to which commits have been
                                      charged against the rate; it may lie in
                                      the future by the allowed burst */
  uint64_t last_call;
  uint64_t last_remote_id;
  uint64_t random;
  struct map calls; /**< call id to struct shard */
  struct beryl_claims_counts counts;
};

/* claim_segment.c: names and encoding of segments */
void segment_prefix (char *prefix, uint32_t shard);
void segment_name (char *name, uint32_t shard, uint64_t from, uint64_t to);
bool segment_parse_name (const char *name, uint32_t shard, uint64_t *from,
                         uint64_t *to);

/** Called for each claim of a segment. */
typedef void (*segment_visit) (void *data, struct map_key key,
                               const struct claim *claim);
bool segment_decode (const struct beryl_object *object, uint64_t sequence,
                     segment_visit visit, void *data, uint32_t *count);

/** Encodes a segment. */
struct segment_writer;
struct segment_writer *segment_writer_create (const char *nonce);
void segment_writer_add (struct segment_writer *writer, struct map_key key,
                         const struct claim *claim);
char *segment_writer_finish (struct segment_writer *writer);

/* claim_shard.c: reads and writes of one shard */
struct shard *shard_create (struct beryl_claims *claims, uint32_t number);
void shard_destroy (struct shard *shard);
void shard_claim (struct shard *shard, struct pending_claim *pending,
                  int64_t now_ms);
void shard_load (struct shard *shard, int64_t now_ms);
void shard_step (struct shard *shard, int64_t now_ms);
void shard_on_read (struct shard *shard, enum beryl_error_code code,
                    const struct beryl_object *objects, size_t object_count,
                    int64_t now_ms);
void shard_on_create_done (struct shard *shard, enum beryl_error_code code,
                           int64_t now_ms);
int64_t shard_next_ms (const struct shard *shard);

/* claim_log.c: in-memory state of a shard's log */
bool log_apply (struct shard *shard, const struct beryl_object *objects,
                size_t object_count, int64_t now_ms);
void log_append (struct shard *shard, int64_t now_ms);
void log_clear (struct shard *shard);
struct segment *log_add_segment (struct shard *shard, uint64_t from,
                                 uint64_t to, int64_t now_ms);
bool log_put (struct shard *shard, struct map_key key,
              const struct claim *claim);

/* claim_compact.c: merges and deletes old segments */
void compaction_step (struct shard *shard, int64_t now_ms);
void compaction_on_written (struct shard *shard, enum beryl_error_code code,
                            int64_t now_ms);
int64_t compaction_next_ms (const struct shard *shard);

/* claim_remote.c: claims whose home is another node */
void remote_claim_start (struct beryl_claims *claims,
                         struct pending_claim *pending, const char *home,
                         int64_t now_ms);
void remote_claims_on_reply (struct beryl_claims *claims,
                             const struct beryl_claim_message *message);
void remote_claims_clear (struct beryl_claims *claims);
void remote_claims_retry (struct beryl_claims *claims, int64_t now_ms);

/* claims.c: dispatch, homes and commit rate */
/** Returns NULL if out of memory. */
struct shard *claims_shard (struct beryl_claims *claims, uint32_t number);
uint32_t claims_shard_number (const struct beryl_claims *claims,
                              struct map_key key);

uint64_t claims_register_call (struct beryl_claims *claims,
                               struct shard *shard);
int64_t claims_next_commit_ms (const struct beryl_claims *claims);
bool claims_is_established_home (const struct beryl_claims *claims,
                                 uint32_t shard, int64_t now_ms);
bool claims_may_commit (const struct beryl_claims *claims, int64_t now_ms);
void claims_charge_commit (struct beryl_claims *claims,
                           const struct shard *shard, int64_t now_ms);
void claims_nonce (struct beryl_claims *claims, char nonce[33]);
void claims_complete (struct beryl_claims *claims,
                      struct pending_claim *pending,
                      enum beryl_claim_result result, uint64_t incarnation);
bool claims_is_isolated (const struct beryl_claims *claims);
/** Whether this node is SHARD's home.  Also true if it is isolated: there is
 * no home to send a claim to, so the claim ends on this node. */
bool claims_is_home (const struct beryl_claims *claims, uint32_t shard);
void queue_add (struct pending_queue *queue, struct pending_claim *pending);
struct pending_claim *queue_take (struct pending_queue *queue);

#endif
