/** @file
 * Chooses which endpoints run a request, and when.
 *
 * The router tracks the configured endpoints, their load reports and the work
 * that this node has sent them.  It does no I/O: events carry the time, and
 * results are plans.  Not thread-safe; a process may hold any number of
 * routers.
 */
#ifndef BERYL_ROUTER_H
#define BERYL_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/config.h"
#include "beryl/ids.h"

struct beryl_router;

/** Prompt bytes counted as one token where no tokenizer is available; a prefix
 * block has block_tokens * BERYL_BYTES_PER_TOKEN bytes. */
#define BERYL_BYTES_PER_TOKEN 4

/** Scheduling policies; all but BERYL_POLICY_PLANNED are baselines. */
enum beryl_policy
{
  BERYL_POLICY_PLANNED, /**< slot reservation; a prefill starts when a decode
                           slot is expected to be free at its end */
  BERYL_POLICY_RANDOM,
  BERYL_POLICY_ROUND_ROBIN,
  BERYL_POLICY_LEAST_REPORTED,
  BERYL_POLICY_TWO_CHOICES,
  BERYL_POLICY_EXACT, /**< upper bound for benchmarks: the planned policy with
                         a single router, whose state is complete since it
                         makes all decisions */
};

/** Resource needs and limits of a request. */
struct beryl_job
{
  uint64_t request; /**< caller's handle of the request */
  const char *service;
  const char *organisation;
  enum beryl_class call_class;
  bool plain; /**< call of a plain service, which has no model and no prefill
                 and decode stages */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  const uint64_t
      *block_hashes; /**< chained prefix hashes, first block first */
  size_t block_count;
  int64_t arrived_ms;
  int64_t deadline_ms;     /**< absolute; BERYL_NEVER_MS: none */
  uint32_t excluded_count; /**< number of endpoints that already failed the
                              request */
  const char *const *excluded;
};

/** Scheduling decision for a job. */
enum beryl_verdict
{
  BERYL_VERDICT_START,  /**< run the plan now */
  BERYL_VERDICT_WAIT,   /**< plan again at retry_at_ms or when
                           beryl_router_next_ms says so */
  BERYL_VERDICT_REFUSE, /**< the job cannot meet its deadline or exceeds a
                           limit */
};

/** Candidate pair of endpoints and its estimated cost, for the decision log.
 */
struct beryl_alternative
{
  char prefill[BERYL_NAME_BYTES];
  char decode[BERYL_NAME_BYTES];
  double cost_ms; /**< plain calls: number of calls, in place of a time */
};

#define BERYL_ALTERNATIVES_MAX 8

/** Plan of a job; endpoint names point into the router's configuration. */
struct beryl_plan
{
  enum beryl_verdict verdict;
  uint64_t ticket; /**< reservation, passed to later beryl_router_* calls */
  const char *prefill; /**< NULL for plain calls */
  const char *decode;  /**< decode engine, or the endpoint of a plain call */
  int64_t retry_at_ms; /**< WAIT: when to plan again */
  int64_t retry_after_ms; /**< REFUSE: delay before a retry is worthwhile */
  const char *reason;     /**< stable text for logs and refusals */
  int64_t first_token_ms; /**< expected delay from now */
  uint32_t cached_tokens; /**< expected prefix hits */
  struct beryl_alternative alternatives[BERYL_ALTERNATIVES_MAX];
  uint32_t alternative_count;
};

/** Load that an endpoint reported. */
struct beryl_load_report
{
  const char *endpoint;
  int64_t measured_ms; /**< estimated time of the measurement, in this node's
                          clock */
  uint32_t decoding;   /**< open decodes, or calls at a plain endpoint */
  uint32_t prefill_queue;
  uint64_t prefill_queue_tokens;
  uint64_t kv_bytes_held;
};

/** Prefix-cache event; SEQUENCE increases by one per event of an endpoint. */
struct beryl_cache_event
{
  const char *endpoint;
  uint64_t sequence;
  bool added; /**< false: evicted */
  uint64_t block_hash;
};

/** Create a router for NODE in DATA_CENTRE; SEED initialises its random
 * choices. */
struct beryl_router *beryl_router_create (const char *node,
                                          const char *data_centre,
                                          enum beryl_policy policy,
                                          uint64_t seed);

/** Release ROUTER; NULL is allowed. */
void beryl_router_destroy (struct beryl_router *router);

/** Apply CONFIG, which must stay valid until the next call of this function.
 */
void beryl_router_set_config (struct beryl_router *router,
                              const struct beryl_config *config,
                              int64_t now_ms);

/** Set the cluster members among which slots are shared; names are copied. */
void beryl_router_set_members (struct beryl_router *router,
                               const char *const *nodes, size_t node_count,
                               int64_t now_ms);

/** Apply a load report or a cache event, which may arrive late. */
void beryl_router_load_report (struct beryl_router *router,
                               const struct beryl_load_report *report,
                               int64_t now_ms);
void beryl_router_cache_event (struct beryl_router *router,
                               const struct beryl_cache_event *event,
                               int64_t now_ms);

/** Plan JOB.  A plan with verdict START holds its reservation until
 * beryl_router_release. */
void beryl_router_plan (struct beryl_router *router,
                        const struct beryl_job *job, int64_t now_ms,
                        struct beryl_plan *plan);

/** Remove a waiting job from the queue. */
void beryl_router_drop_waiting (struct beryl_router *router, uint64_t request);

/** Enable or disable late binding, where the caller calls
 * beryl_router_bind_decode after each prefill.  Without it (the default) a
 * plan's decode engine is final, and no prefill starts before that engine has
 * a free slot. */
void beryl_router_set_late_binding (struct beryl_router *router, bool late);

/** Choose the decode engine for a ticket whose KV cache is exported and kept
 * until KV_EXPIRES_MS.  REFUSED_BY names the engine that has just refused this
 * decode as full, or is NULL.  START: use plan->decode.  WAIT: no free slot
 * yet, call again at retry_at_ms.  REFUSE: no slot in time; release the ticket
 * and plan the job again. */
void beryl_router_bind_decode (struct beryl_router *router, uint64_t ticket,
                               int64_t kv_expires_ms, const char *refused_by,
                               int64_t now_ms, struct beryl_plan *plan);

/** Replace the known prefix cache of an endpoint after a gap; SEQUENCE is the
 * last event that BLOCKS include. */
void beryl_router_cache_resync (struct beryl_router *router,
                                const char *endpoint, uint64_t sequence,
                                const uint64_t *blocks, size_t block_count,
                                int64_t now_ms);

/** Return whether cache events of ENDPOINT were missed since the last resync.
 */
bool beryl_router_cache_has_gap (const struct beryl_router *router,
                                 const char *endpoint);

/** Record progress of a ticket: a finished prefill, the first token, and each
 * batch of tokens. */
void beryl_router_prefill_done (struct beryl_router *router, uint64_t ticket,
                                uint32_t cached_tokens, uint64_t kv_bytes,
                                int64_t now_ms);
void beryl_router_first_token (struct beryl_router *router, uint64_t ticket,
                               int64_t now_ms);
void beryl_router_tokens_generated (struct beryl_router *router,
                                    uint64_t ticket, uint32_t tokens,
                                    int64_t now_ms);

/** Result of a ticket at an endpoint. */
enum beryl_release
{
  BERYL_RELEASE_DONE,
  BERYL_RELEASE_CANCELLED,
  BERYL_RELEASE_REFUSED, /**< the endpoint refused the run as full */
  BERYL_RELEASE_FAILED,  /**< error, connection reset or timeout */
};

/** Release a ticket and its reservation.  FAILED_ENDPOINT names the endpoint
 * that failed, or is NULL. */
void beryl_router_release (struct beryl_router *router, uint64_t ticket,
                           enum beryl_release how, const char *failed_endpoint,
                           int64_t now_ms);

/** Return the earliest time at which a waiting job should be planned
 * again, or BERYL_NEVER_MS. */
int64_t beryl_router_next_ms (const struct beryl_router *router);

/** Hash a prompt into chained hashes of blocks of BLOCK_BYTES each, at most
 * MAX.  Returns the number written to HASHES. */
size_t beryl_prefix_hash (const char *prompt, size_t prompt_bytes,
                          size_t block_bytes, uint64_t *hashes, size_t max);

/** Convert a policy to and from its name in settings. */
const char *beryl_policy_name (enum beryl_policy policy);
bool beryl_policy_parse (const char *name, enum beryl_policy *policy);

#endif
