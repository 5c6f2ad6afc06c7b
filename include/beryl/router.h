/** @file
 * Chooses where and when a request runs.
 *
 * The router knows the endpoints, what they reported and what this node has
 * sent them.  It does no I/O: events come in with the time, answers are
 * plans.  Not thread-safe; any number of routers may live in one process.
 */
#ifndef BERYL_ROUTER_H
#define BERYL_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/config.h"
#include "beryl/ids.h"

struct beryl_router;

/** Prompt bytes counted as one token where no tokenizer is at hand; a prefix
 * block has block_tokens * BERYL_BYTES_PER_TOKEN bytes. */
#define BERYL_BYTES_PER_TOKEN 4

/** Selectable policies; all but BERYL_POLICY_PLANNED are baselines. */
enum beryl_policy
{
  BERYL_POLICY_PLANNED, /**< reservation and just-in-time prefill */
  BERYL_POLICY_RANDOM,
  BERYL_POLICY_ROUND_ROBIN,
  BERYL_POLICY_LEAST_REPORTED,
  BERYL_POLICY_TWO_CHOICES,
  BERYL_POLICY_EXACT, /**< upper bound for benches: exact state, no lag */
};

/** What a request needs. */
struct beryl_job
{
  uint64_t request; /**< the owner's handle */
  const char *service;
  const char *organisation;
  enum beryl_class call_class;
  bool plain; /**< a plain service's call: no prefill, no decode */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  const uint64_t
      *block_hashes; /**< chained prefix hashes, first block first */
  size_t block_count;
  int64_t arrived_ms;
  int64_t deadline_ms;     /**< absolute; BERYL_NEVER_MS: none */
  uint32_t excluded_count; /**< endpoints that already failed it */
  const char *const *excluded;
};

/** What the router says about a job. */
enum beryl_verdict
{
  BERYL_VERDICT_START, /**< run the plan now */
  BERYL_VERDICT_WAIT,  /**< ask again at retry_at_ms or on beryl_router_poll */
  BERYL_VERDICT_REFUSE, /**< cannot meet its deadline or is over a limit */
};

/** One weighed alternative, for the decision log. */
struct beryl_alternative
{
  char prefill[BERYL_NAME_BYTES];
  char decode[BERYL_NAME_BYTES];
  double cost_ms;
};

#define BERYL_ALTERNATIVES_MAX 8

/** A plan; endpoint names point into the router's configuration. */
struct beryl_plan
{
  enum beryl_verdict verdict;
  uint64_t ticket;        /**< the reservation, for beryl_router_* events */
  const char *prefill;    /**< NULL for plain calls */
  const char *decode;     /**< the endpoint of a plain call too */
  int64_t retry_at_ms;    /**< WAIT: when to ask again */
  int64_t retry_after_ms; /**< REFUSE: when a new try is sensible */
  const char *reason;     /**< stable text, for logs and refusals */
  int64_t first_token_ms; /**< expected delay from now */
  uint32_t cached_tokens; /**< expected prefix hits */
  struct beryl_alternative alternatives[BERYL_ALTERNATIVES_MAX];
  uint32_t alternative_count;
};

/** A load report of an endpoint. */
struct beryl_load_report
{
  const char *endpoint;
  int64_t measured_ms; /**< in this node's clock, estimated */
  uint32_t decoding;
  uint32_t prefill_queue;
  uint64_t prefill_queue_tokens;
  uint64_t kv_bytes_held;
};

/** A prefix-cache event; SEQUENCE counts per endpoint without gaps. */
struct beryl_cache_event
{
  const char *endpoint;
  uint64_t sequence;
  bool added; /**< false: evicted */
  uint64_t block_hash;
};

/** Create a router for NODE in DATA_CENTRE; SEED fixes its choices. */
struct beryl_router *beryl_router_create (const char *node,
                                          const char *data_centre,
                                          enum beryl_policy policy,
                                          uint64_t seed);

/** Release ROUTER; NULL is allowed. */
void beryl_router_destroy (struct beryl_router *router);

/** Use CONFIG, which must stay valid until the next call of this. */
void beryl_router_set_config (struct beryl_router *router,
                              const struct beryl_config *config,
                              int64_t now_ms);

/** Use the member list for slot shares; names are copied. */
void beryl_router_set_members (struct beryl_router *router,
                               const char *const *nodes, size_t node_count,
                               int64_t now_ms);

/** Take a lagged report or a cache event. */
void beryl_router_load_report (struct beryl_router *router,
                               const struct beryl_load_report *report,
                               int64_t now_ms);
void beryl_router_cache_event (struct beryl_router *router,
                               const struct beryl_cache_event *event,
                               int64_t now_ms);

/** Plan JOB.  A START plan holds its reservation until it is released. */
void beryl_router_plan (struct beryl_router *router,
                        const struct beryl_job *job, int64_t now_ms,
                        struct beryl_plan *plan);

/** Forget a waiting job. */
void beryl_router_drop_waiting (struct beryl_router *router, uint64_t request);

/** Say whether the owner binds late, that is calls beryl_router_bind_decode
 * after each prefill.  Without late binding (the default) a plan's decode
 * engine is final, and no prefill starts before a slot of it is free. */
void beryl_router_set_late_binding (struct beryl_router *router, bool late);

/** Choose the decode engine for a ticket whose KV cache is exported and
 * lives until KV_EXPIRES_MS.  REFUSED_BY names the engine that has just
 * refused this decode as full, or is NULL.  START: use plan->decode.  WAIT:
 * no slot yet, ask again at retry_at_ms.  REFUSE: none in time; release the
 * ticket and plan anew. */
void beryl_router_bind_decode (struct beryl_router *router, uint64_t ticket,
                               int64_t kv_expires_ms, const char *refused_by,
                               int64_t now_ms, struct beryl_plan *plan);

/** Replace all that is known about an endpoint's prefix cache after a gap;
 * SEQUENCE is the last event that BLOCKS include. */
void beryl_router_cache_resync (struct beryl_router *router,
                                const char *endpoint, uint64_t sequence,
                                const uint64_t *blocks, size_t block_count,
                                int64_t now_ms);

/** Whether an endpoint's cache events had a gap since the last resync. */
bool beryl_router_cache_has_gap (const struct beryl_router *router,
                                 const char *endpoint);

/** Progress of a ticket. */
void beryl_router_prefill_done (struct beryl_router *router, uint64_t ticket,
                                uint32_t cached_tokens, uint64_t kv_bytes,
                                int64_t now_ms);
void beryl_router_first_token (struct beryl_router *router, uint64_t ticket,
                               int64_t now_ms);
void beryl_router_tokens_generated (struct beryl_router *router,
                                    uint64_t ticket, uint32_t tokens,
                                    int64_t now_ms);

/** How a ticket ended at an endpoint. */
enum beryl_release
{
  BERYL_RELEASE_DONE,
  BERYL_RELEASE_CANCELLED,
  BERYL_RELEASE_REFUSED, /**< the endpoint said it was full */
  BERYL_RELEASE_FAILED,  /**< error, reset or timeout */
};

/** End a ticket.  FAILED_ENDPOINT names the one at fault, or NULL. */
void beryl_router_release (struct beryl_router *router, uint64_t ticket,
                           enum beryl_release how, const char *failed_endpoint,
                           int64_t now_ms);

/** Return the earliest time at which a waiting job should be planned
 * again, or BERYL_NEVER_MS. */
int64_t beryl_router_next_ms (const struct beryl_router *router);

/** Hash a prompt into chained block hashes of BLOCK_BYTES each.  Returns
 * the number written to HASHES, at most MAX. */
size_t beryl_prefix_hash (const char *prompt, size_t prompt_bytes,
                          size_t block_bytes, uint64_t *hashes, size_t max);

/** Names used in settings. */
const char *beryl_policy_name (enum beryl_policy policy);
bool beryl_policy_parse (const char *name, enum beryl_policy *policy);

#endif
