/** @file
 * What the nodes tell each other of their generations at engines, so that
 * each can foresee every engine's memory.
 *
 * Growth is deterministic (a token takes the same time whatever else runs)
 * and only the length is uncertain, so that one note of a run's beginning
 * lets every node follow it for its whole life.
 */
#ifndef BERYL_ENGINE_LOAD_H
#define BERYL_ENGINE_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One generation of one node. */
struct beryl_engine_run
{
  uint32_t engine;  /**< beryl_live_hash of it; 0: waits for one */
  uint32_t service; /**< the number of its service's name, while it waits */
  uint32_t prompt_tokens;
  uint32_t expected_tokens;  /**< estimate of the whole output */
  uint32_t generated_tokens; /**< so far */
  bool started;              /**< it streams; otherwise it is only reserved */
  bool suspect;              /**< its engine may crash by it */
  uint32_t prefill_engine;   /**< that reads its prompt now; 0: none */
  uint32_t prompt_hash;      /**< stands for its prompt; 0: not known */
};

/** Return the number that stands for the name of a node or a service in
 * messages; beryl_live_hash is for endpoints. */
uint32_t beryl_name_hash (const char *id);

/** Most runs in one message; a node with more tells the newest. */
#define BERYL_ENGINE_RUNS_MAX 128

/** Most endpoints of one kind in one message; what is left out is told with
 * the next one. */
#define BERYL_ENDPOINT_SET_MAX 64

/** Numbers of endpoints (beryl_live_hash). */
struct beryl_endpoint_set
{
  uint32_t hashes[BERYL_ENDPOINT_SET_MAX];
  size_t count;
};

/** What a node knows of endpoints before the list of them shows it. */
struct beryl_endpoint_updates
{
  /** Engines that it has ordered to another stage. */
  struct beryl_endpoint_set changing;
  /** Their addresses are used by another process: they have ended. */
  struct beryl_endpoint_set replaced;
  /** They did not accept a connection of it a moment ago. */
  struct beryl_endpoint_set unreachable;
};

/** A node's question to another for repeats that the other does not need, or
 * the answer to it. */
struct beryl_repeat_transfer
{
  uint32_t node;    /**< whom it is for: the number of its name */
  uint32_t service; /**< the number of its name */
  uint32_t count;   /**< wanted at most, or lent */
  uint32_t serial;  /**< of the question; the answer repeats it */
};

/** Most questions, or answers, in one message. */
#define BERYL_REPEAT_TRANSFERS_MAX 16

struct beryl_repeat_transfers
{
  struct beryl_repeat_transfer items[BERYL_REPEAT_TRANSFERS_MAX];
  size_t count;
};

/** What a node has learned of one service's generations. */
struct beryl_generation_profile
{
  uint32_t service;       /**< the number of its name */
  uint32_t arrived;       /**< generations that the means below are of */
  uint32_t prompt_tokens; /**< mean */
  uint32_t output_tokens; /**< mean of what they are expected to make */
  uint32_t prefills;      /**< that the pace of prefill is learned from */
  uint32_t prefill_ns_per_token;
  uint32_t streams; /**< that the pace of decode is learned from */
  uint32_t decode_ns_per_token;
};

/** Most services in one message. */
#define BERYL_GENERATION_PROFILES_MAX 4

struct beryl_generation_profiles
{
  struct beryl_generation_profile items[BERYL_GENERATION_PROFILES_MAX];
  size_t count;
};

/** Add NUMBER unless SET is full. */
void beryl_endpoint_set_add (struct beryl_endpoint_set *set, uint32_t number);

#endif
