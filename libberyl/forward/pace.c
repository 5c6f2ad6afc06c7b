#include "pace.h"

#include <math.h>
#include <stddef.h>

/* Engines of today read some fifty tokens a millisecond. */
#define PRIOR_MS_PER_TOKEN 0.02
/* The quantile that is followed. */
#define QUANTILE 0.05
/* Part of the estimate by which a sample moves it.  The first samples move it
 * further: with this step alone an engine that reads at half the assumed speed
 * was known only after 160 prefills, and too few engines read meanwhile. */
#define STEP 0.1

void
pace_init (struct pace *pace)
{
  *pace = (struct pace){ .ms_per_token = PRIOR_MS_PER_TOKEN };
}

/* The second least of the newest samples; the least may be of a prompt that
 * its engine had read before. */
static double
recent_low (const struct pace *pace)
{
  size_t count = pace->seen < PACE_RECENT ? pace->seen : PACE_RECENT;
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

/* Quantile by steps: down further than up, so that it rests where as few
 * samples are below as the quantile says.  By steps alone the pace of bad
 * seconds outlives them, since few prefills come while it is wrong. */
void
pace_learn (struct pace *pace, uint32_t tokens, int64_t took_ms)
{
  double sample, step;

  if (tokens == 0)
    return;
  sample = (double)took_ms / (double)tokens;
  pace->recent[pace->seen % PACE_RECENT] = sample;
  pace->seen++;
  if (pace->seen == 1)
    {
      pace->ms_per_token = sample;
      return;
    }
  step = pace->ms_per_token * fmax (STEP, 1.0 / pace->seen);
  if (sample < pace->ms_per_token)
    pace->ms_per_token
        = fmax (sample, pace->ms_per_token - step * (1 - QUANTILE));
  else
    pace->ms_per_token = fmin (sample, pace->ms_per_token + step * QUANTILE);
  pace->ms_per_token = fmin (pace->ms_per_token, recent_low (pace));
}
