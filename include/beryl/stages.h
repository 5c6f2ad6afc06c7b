/** @file
 * Splits the engines of a service between prefill and decode.
 *
 * The split loads both pools equally under the same request rate: prefill by
 * time, decode by memory over time.  It depends on measured request sizes and
 * engine speeds, not on the number of requests.  A stage change takes an
 * engine out of service for seconds, so small or short imbalances are ignored.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_STAGES_H
#define BERYL_STAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/live.h"

/** Mean properties of a service's generations over all nodes, assumed values
 * where nothing is measured; beryl_generation_profile holds those of one node.
 */
struct beryl_generation_mix
{
  double prompt_tokens;
  double output_tokens;
  double prefill_ms_per_token;
  double decode_ms_per_token;
  uint64_t kv_tokens;  /**< KV cache capacity of an engine; 0: unknown */
  bool measured;       /**< measured rather than assumed */
  bool unlike_engines; /**< the engines differ in speed */
  /** Samples behind prefill_ms_per_token, for logs. */
  struct
  {
    uint32_t nodes;    /**< nodes with at least one prefill */
    uint32_t prefills; /**< prefills in the mean */
    double min_ms_per_token,
        max_ms_per_token; /**< range of the per-node means */
  } prefill_samples;
};

/** Engine of the service. */
struct beryl_stage_engine
{
  const char *id;
  enum beryl_stage stage;
  uint32_t version;     /**< digest of its software version; streams stay at
                           the version that began them */
  bool changing;        /**< a stage change is in progress */
  uint64_t used_tokens; /**< KV cache in use, as far as known */
};

/** Order to change an engine's stage. */
struct beryl_stage_order
{
  const char *id;
  enum beryl_stage stage;
};

struct beryl_stages;

/** Create the stage planner of one service. */
struct beryl_stages *beryl_stages_create (void);

/** Release; NULL is allowed. */
void beryl_stages_destroy (struct beryl_stages *stages);

/** Return the target number of prefill engines among COUNT, unrounded. */
double beryl_stages_prefill_target (const struct beryl_generation_mix *mix,
                                    size_t count);

/** Compare the engines with the target split.  Returns true if ORDER, which
 * borrows from ENGINES, is to be sent now. */
bool beryl_stages_plan (struct beryl_stages *stages,
                        const struct beryl_generation_mix *mix,
                        const struct beryl_stage_engine *engines, size_t count,
                        int64_t now_ms, struct beryl_stage_order *order);

#endif
