#include "pace.h"

#include <math.h>
#include <stddef.h>

/* Assumed before any prefill: fifty tokens per millisecond. */
#define PRIOR_MS_PER_TOKEN 0.02
/* The quantile that is tracked. */
#define QUANTILE 0.05
/* Step by which a sample moves the estimate, relative to it. The first samples
   move it further, by one over their number: with this step alone, learning
   that engines are half as fast as assumed takes 160 prefills, and meanwhile
   too few engines are assigned to prefill. */
#define STEP 0.1

void
pace_init (struct pace *pace)
{
  *pace = (struct pace){ .ms_per_token = PRIOR_MS_PER_TOKEN };
}

/* Returns the second smallest of the recent samples; the smallest may be of a
   prompt that its engine had cached. */
static double
recent_low (const struct pace *pace)
{
  size_t count = pace->samples < PACE_RECENT ? pace->samples : PACE_RECENT;
  double least = INFINITY, second = INFINITY;

  for (size_t i = 0; i < count; i++)
    if (pace->recent[i] < least)
      {
        second = least;
        least = pace->recent[i];
      }
    else if (pace->recent[i] < second)
      second = pace->recent[i];
  return second;
}

/* Tracks the quantile by steps that are larger downwards than upwards, so that
   it settles where the given share of samples is below it. The recent samples
   also limit it from above: a high estimate causes requests to be refused, so
   few samples arrive, and steps alone would lower it only slowly. */
void
pace_learn (struct pace *pace, uint32_t tokens, int64_t took_ms)
{
  double sample, step;

  if (tokens == 0)
    return;
  sample = (double)took_ms / (double)tokens;
  pace->recent[pace->samples % PACE_RECENT] = sample;
  pace->samples++;
  if (pace->samples == 1)
    {
      pace->ms_per_token = sample;
      return;
    }
  step = pace->ms_per_token * fmax (STEP, 1.0 / pace->samples);
  if (sample < pace->ms_per_token)
    pace->ms_per_token
        = fmax (sample, pace->ms_per_token - step * (1 - QUANTILE));
  else
    pace->ms_per_token = fmin (sample, pace->ms_per_token + step * QUANTILE);
  pace->ms_per_token = fmin (pace->ms_per_token, recent_low (pace));
}
