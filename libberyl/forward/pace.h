/** @file
 * Time per token that prefill engines take, learned from the durations of
 * prefills. Most of these include time in a queue, at peaks nearly all, so a
 * low quantile is tracked.
 */
#ifndef FORWARD_PACE_H
#define FORWARD_PACE_H

#include <stdint.h>

#define PACE_RECENT 8

/** Estimate of the time per token; initialise with pace_init. */
struct pace
{
  double ms_per_token;
  uint32_t samples;           /**< number of prefills it was learned from */
  double recent[PACE_RECENT]; /**< most recent samples, in ms per token */
};

/** Initialise PACE with the value assumed before any prefill. */
void pace_init (struct pace *pace);

/** Learn from a prefill of TOKENS that took TOOK_MS. */
void pace_learn (struct pace *pace, uint32_t tokens, int64_t took_ms);

#endif
