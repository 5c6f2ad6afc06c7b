/** @file
 * Messages by which nodes share the state of engines: generation runs,
 * endpoint changes, transfers of retry budget and generation statistics.
 *
 * Runs let each node predict the memory use of every engine.  The prediction
 * assumes a fixed time per token, whatever else the engine runs, so that only
 * the output length is uncertain and one message at the start of a run lets
 * every node track it to its end.
 */
#ifndef BERYL_ENGINE_LOAD_H
#define BERYL_ENGINE_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Generation run of one node. */
struct beryl_engine_run
{
  uint32_t engine;  /**< beryl_live_hash of the engine; 0: waiting for one */
  uint32_t service; /**< beryl_name_hash of the service, while waiting */
  uint32_t prompt_tokens;
  uint32_t expected_tokens;  /**< estimate of the total output */
  uint32_t generated_tokens; /**< tokens generated so far */
  bool started;              /**< streaming; false: only reserved */
  bool suspect;              /**< may crash its engine */
  uint32_t prefill_engine;   /**< beryl_live_hash of the engine that runs its
                                prefill; 0: none */
  uint32_t prompt_hash;      /**< hash of its prompt; 0: unknown */
  uint32_t rank; /**< while it waits that among the requests of its service,
                    then that of its route, which engines are told; 0 is the
                    most urgent, or unknown */
  uint32_t organisation; /**< id; 0: none, or unknown */
};

/** Largest rank of a run that is told to other nodes. */
#define BERYL_ENGINE_RUN_RANK_MAX 15

/** Return the hash that identifies a node or service name in messages;
 * beryl_live_hash is for endpoints. */
uint32_t beryl_name_hash (const char *id);

/** Maximum number of runs in one message; a node with more sends the newest.
 */
#define BERYL_ENGINE_RUNS_MAX 128

/** Maximum number of endpoints of one kind in one message; others follow in
 * the next one. */
#define BERYL_ENDPOINT_SET_MAX 64

/** Set of endpoints by beryl_live_hash. */
struct beryl_endpoint_set
{
  uint32_t hashes[BERYL_ENDPOINT_SET_MAX];
  size_t count;
};

/** Endpoint changes that a node knows of before the endpoint list shows them.
 */
struct beryl_endpoint_updates
{
  /** Engines that the node has ordered to change their stage. */
  struct beryl_endpoint_set changing;
  /** Endpoints that have ended: another process uses their address. */
  struct beryl_endpoint_set replaced;
  /** Endpoints that have stated in an answer that they leave. */
  struct beryl_endpoint_set leaving;
  /** Endpoints to which a recent connection attempt of the node failed. */
  struct beryl_endpoint_set unreachable;
  /** Endpoints that have reset connections of the node of late, as they are at
   * their limit or full. */
  struct beryl_endpoint_set resetting;
};

/** Request to another node for part of its unused retry budget, or the reply.
 */
struct beryl_budget_transfer
{
  uint32_t node;    /**< beryl_name_hash of the recipient */
  uint32_t service; /**< beryl_name_hash of the service */
  uint32_t count;   /**< maximum requested, or number granted */
  uint32_t serial;  /**< serial number of the request, echoed by the reply */
};

/** Maximum number of requests, or replies, in one message. */
#define BERYL_BUDGET_TRANSFERS_MAX 16

struct beryl_budget_transfers
{
  struct beryl_budget_transfer items[BERYL_BUDGET_TRANSFERS_MAX];
  size_t count;
};

/** Statistics of a node about one service's generations. */
struct beryl_generation_profile
{
  uint32_t service;       /**< beryl_name_hash of the service */
  uint32_t arrived;       /**< number of generations in the means below */
  uint32_t prompt_tokens; /**< mean prompt size */
  uint32_t output_tokens; /**< mean expected output */
  uint32_t prefills;      /**< number of prefills in prefill_ns_per_token */
  uint32_t prefill_ns_per_token;
  uint32_t streams; /**< number of streams in decode_ns_per_token */
  uint32_t decode_ns_per_token;
};

/** Maximum number of services in one message. */
#define BERYL_GENERATION_PROFILES_MAX 4

struct beryl_generation_profiles
{
  struct beryl_generation_profile items[BERYL_GENERATION_PROFILES_MAX];
  size_t count;
};

/** Add HASH unless SET is full. */
void beryl_endpoint_set_add (struct beryl_endpoint_set *set, uint32_t hash);

#endif
