/** @file
 * How fast prefill engines read prompts, learned from the times that prefills
 * take.  Most of these contain a queue, at peaks nearly all, so that a low
 * quantile is followed.
 */
#ifndef FORWARD_PACE_H
#define FORWARD_PACE_H

#include <stdint.h>

#define PACE_RECENT 8

struct pace
{
  double ms_per_token;
  uint32_t seen;              /**< prefills that it was learned from */
  double recent[PACE_RECENT]; /**< the newest of them, in ms a token */
};

/** Begin with what is assumed before a prefill was seen. */
void pace_init (struct pace *pace);

/** Reading TOKENS took TOOK_MS. */
void pace_learn (struct pace *pace, uint32_t tokens, int64_t took_ms);

#endif
