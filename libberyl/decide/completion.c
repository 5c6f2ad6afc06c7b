#include "completion.h"

#include <math.h>

/* The bound follows the slowest of at least so many runs, and of at most twice
   as many. */
#define BATCH_RUNS 256
/* Ratio that is assumed until a whole batch is known: a few runs do not show
   how slow the others can be. */
#define PRIOR_RATIO 4.0
/* Fewer runs do not show how slow the slowest are. */
#define KNOWN_RUNS 32
/* Allowance for runs slower than any recent one. */
#define MARGIN 1.25

void
completion_learn (struct completion *completion, double expected_ms,
                  int64_t took_ms)
{
  if (expected_ms <= 0)
    return;
  completion->slowest
      = fmax (completion->slowest, (double)took_ms / expected_ms);
  if (completion->runs < BATCH_RUNS)
    completion->runs++;
  if (++completion->batch_runs < BATCH_RUNS)
    return;
  completion->slowest_before = completion->slowest;
  completion->slowest = 0;
  completion->batch_runs = 0;
}

int64_t
completion_bound_ms (const struct completion *completion, double expected_ms)
{
  double ratio
      = MARGIN * fmax (completion->slowest, completion->slowest_before);

  if (completion->runs < BATCH_RUNS)
    ratio = fmax (ratio, PRIOR_RATIO);
  return (int64_t)ceil (fmax (ratio, 1) * expected_ms);
}

bool
completion_is_known (const struct completion *completion)
{
  return completion->runs >= KNOWN_RUNS;
}

int64_t
completion_open_bound_ms (int64_t age_ms)
{
  return (int64_t)ceil (MARGIN * (double)age_ms);
}
