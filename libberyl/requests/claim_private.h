/** @file
 * What the files of the claim log share.
 */
#ifndef BERYL_REQUESTS_CLAIM_PRIVATE_H
#define BERYL_REQUESTS_CLAIM_PRIVATE_H

#include "../base/guard.h"
#include "beryl/claims.h"
#include "beryl/clock.h"
#include "../base/map.h"

#define SEGMENT_NAME_BYTES 64
/** Claims in one segment. */
#define SEGMENT_CLAIMS_MAX 2000
/** Claims in one folded segment; with 67 bytes each it stays below the
 * object API's limit of a megabyte. */
#define COMPACTED_CLAIMS_MAX 8000

/** A durable claim. */
struct claim
{
  uint64_t body_hash;
  uint64_t incarnation; /**< who was granted it */
  uint64_t sequence;    /**< of its segment, or the first of a folded one */
};

/** An object of the log: sequence numbers FROM to TO. */
struct segment
{
  uint64_t from;
  uint64_t to;
  int64_t seen_ms; /**< its age counts from here: never too old */
  uint32_t claims;
  bool covered; /**< a folded segment holds its claims too */
};

/** A claim that is asked for. */
struct pending_claim
{
  struct pending_claim *next;
  struct map_key key;
  uint64_t body_hash;
  uint64_t incarnation;
  uint64_t id; /**< local: the request; else of the asker's message */
  bool remote;
  bool home_down; /**< its home's process is gone: write here */
  char node[BERYL_NAME_BYTES];
};

/** A queue of them. */
struct pending_queue
{
  struct pending_claim *first;
  struct pending_claim *last;
  uint32_t count;
};

/** What is being asked of the object API for a shard. */
enum shard_call
{
  SHARD_IDLE,
  SHARD_LIST,
  SHARD_GET,
  SHARD_CREATE,
};

/** What the folding of a shard is doing. */
enum compaction_state
{
  COMPACTION_IDLE,
  COMPACTION_CREATE,
  COMPACTION_REMOVE,
};

/** One shard of the log as this node knows it. */
struct shard
{
  struct beryl_claims *claims;
  uint32_t number;
  bool loaded;        /**< the log up to NEXT is in the index */
  bool sole_writer;   /**< home, and its last write met nobody else's */
  bool must_catch_up; /**< NEXT is known to be taken by another's segment */
  struct map index;   /**< struct claim */
  uint64_t next;      /**< sequence number of the next segment */
  struct segment *segments;
  size_t segment_count;
  size_t segment_capacity;
  struct pending_queue queue;
  struct pending_queue batch; /**< in the segment that is being written */
  char *value;                /**< that segment */
  char nonce[33];
  uint32_t lost_replies; /**< of its creation */
  enum shard_call call;
  uint64_t call_id;
  int64_t call_ms;     /**< when it was made */
  int64_t verified_ms; /**< NEXT was the end of the log at this time */
  int64_t next_ms;     /**< no call before this */
  int64_t backoff_ms;
  enum compaction_state compaction;
  uint64_t compaction_call_id;
  uint64_t compaction_from;
  uint64_t compaction_to;
  int64_t compaction_next_ms;
};

/** A claim that was sent to another node. */
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
  uint32_t *homes;        /**< by shard: the number of its home */
  int64_t *home_since_ms; /**< by shard; BERYL_NEVER_MS: not ours */
  struct shard **shards;  /**< NULL until used */
  struct remote_claim *remotes;
  int64_t last_tick_ms;
  int64_t write_not_before_ms; /**< no new segment before this */
  uint32_t home_count;         /**< shards that this node is home of */
  bool serving_shards;         /**< the tick is serving the shards */
  uint32_t next_shard;         /**< the shard that is served first */
  int64_t rate_used_until_us;  /**< the rate is used up to here */
  uint64_t last_call;
  uint64_t last_remote_id;
  uint64_t random;
  struct map calls; /**< struct shard, by call */
  struct beryl_claims_counts counts;
};

/* claim_segment.c: names and values of objects */
void segment_prefix (char *prefix, uint32_t shard);
void segment_name (char *name, uint32_t shard, uint64_t from, uint64_t to);
bool segment_parse_name (const char *name, uint32_t shard, uint64_t *from,
                         uint64_t *to);

/** Receives each claim of a segment. */
typedef void (*segment_visit) (void *data, struct map_key key,
                               const struct claim *claim);
bool segment_decode (const struct beryl_object *object, uint64_t sequence,
                     segment_visit visit, void *data, uint32_t *count);

/** Builds a segment's value. */
struct segment_writer;
struct segment_writer *segment_writer_create (const char *nonce);
void segment_writer_add (struct segment_writer *writer, struct map_key key,
                         const struct claim *claim);
char *segment_writer_finish (struct segment_writer *writer);

/* claim_shard.c */
struct shard *shard_create (struct beryl_claims *claims, uint32_t number);
void shard_destroy (struct shard *shard);
void shard_claim (struct shard *shard, struct pending_claim *pending,
                  int64_t now_ms);
void shard_load (struct shard *shard, int64_t now_ms);
void shard_step (struct shard *shard, int64_t now_ms);
void shard_on_read (struct shard *shard, enum beryl_error_code code,
                    const struct beryl_object *objects, size_t object_count,
                    int64_t now_ms);
void shard_on_created (struct shard *shard, enum beryl_error_code code,
                       int64_t now_ms);
int64_t shard_next_ms (const struct shard *shard);

/* claim_log.c: what a shard knows of its log */
bool log_apply (struct shard *shard, const struct beryl_object *objects,
                size_t object_count, int64_t now_ms);
void log_append (struct shard *shard, int64_t now_ms);
void log_clear (struct shard *shard);
struct segment *log_add_segment (struct shard *shard, uint64_t from,
                                 uint64_t to, int64_t now_ms);
bool log_put (struct shard *shard, struct map_key key,
              const struct claim *claim);

/* claim_fold.c */
void compaction_step (struct shard *shard, int64_t now_ms);
void compaction_on_written (struct shard *shard, enum beryl_error_code code,
                            int64_t now_ms);
int64_t compaction_next_ms (const struct shard *shard);

/* claim_ask.c */
void remote_claim_send (struct beryl_claims *claims,
                        struct pending_claim *pending, const char *home,
                        int64_t now_ms);
void remote_claims_on_reply (struct beryl_claims *claims,
                             const struct beryl_claim_message *message);
void remote_claims_clear (struct beryl_claims *claims);
void remote_claims_retry (struct beryl_claims *claims, int64_t now_ms);

/* claims.c */
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
bool claims_is_home (const struct beryl_claims *claims, uint32_t shard);
void queue_add (struct pending_queue *queue, struct pending_claim *pending);
struct pending_claim *queue_take (struct pending_queue *queue);

#endif
