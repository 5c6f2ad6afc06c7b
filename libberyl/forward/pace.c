#include "pace.h"

#include <math.h>

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

/* Quantile by steps: down further than up, so that it rests where as few
 * samples are below as the quantile says. */
void
pace_learn (struct pace *pace, uint32_t tokens, int64_t took_ms)
{
  double sample, step;

  if (tokens == 0)
    return;
  sample = (double)took_ms / (double)tokens;
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
}
