/** @file
 * Load: the engines of a service differ in speed.  A median of what they do
 * jumps between the slow and the fast ones, and pools that are sized by it
 * change back and forth.
 */
#ifndef DECIDE_POOL_PACE_H
#define DECIDE_POOL_PACE_H

#include <stddef.h>

/** What is believed of one engine. */
struct engine_pace
{
  double ms_per_token; /**< 0: unknown */
  double speed;        /**< relative to the usual engine; 1: alike */
};

/** Return the time per token of an engine of mean speed, so that COUNT of
 * these do the work of ENGINES; unknown engines are taken to be like the known
 * ones. Returns USUAL_MS_PER_TOKEN if no engine differs from the others, or if
 * less than a quarter of them are known. */
double pool_pace (const struct engine_pace *engines, size_t count,
                  double usual_ms_per_token);

#endif
