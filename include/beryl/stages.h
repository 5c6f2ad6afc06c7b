/** @file
 * How many engines of a service read prompts and how many produce tokens.
 *
 * Both pools are sized so that the same flow of requests fills them alike:
 * prefill by time, decode by memory over time.  The ratio depends on the
 * requests' sizes and the engines' speeds, which are measured, not on how
 * many requests there are.  A change takes an engine away for seconds, so
 * that small or passing differences change nothing.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_STAGES_H
#define BERYL_STAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/live.h"

/** What generations of a service are like; means. */
struct beryl_generation_mix
{
  double prompt_tokens;
  double output_tokens;
  double prefill_ms_per_token;
  double decode_ms_per_token;
  uint64_t kv_tokens; /**< memory of an engine; 0: unknown */
  bool measured;      /**< seen, not assumed */
  /** What the pace of prefill is put together from, for logs. */
  struct
  {
    uint32_t nodes;    /**< that have seen a prefill */
    uint32_t prefills; /**< that count */
    double min_ms_per_token,
        max_ms_per_token; /**< of single nodes, in ms a token */
  } prefill_samples;
};

/** One engine. */
struct beryl_stage_engine
{
  const char *id;
  enum beryl_stage stage;
  bool changing;        /**< an order is on its way */
  uint64_t used_tokens; /**< of its memory, as far as is known */
};

/** An order to give. */
struct beryl_stage_order
{
  const char *id;
  enum beryl_stage stage;
};

struct beryl_stages;

/** Create a planner of one service. */
struct beryl_stages *beryl_stages_create (void);

/** Release; NULL is allowed. */
void beryl_stages_destroy (struct beryl_stages *stages);

/** Return how many of COUNT engines should read prompts, unrounded. */
double beryl_stages_prefill_target (const struct beryl_generation_mix *mix,
                                    size_t count);

/** Look at the engines; true if ORDER, which borrows from ENGINES, should be
 * given now. */
bool beryl_stages_plan (struct beryl_stages *stages,
                        const struct beryl_generation_mix *mix,
                        const struct beryl_stage_engine *engines, size_t count,
                        int64_t now_ms, struct beryl_stage_order *order);

#endif
