/** @file
 * Load: requests that arrive at a process during its planned stop.  One that
 * does not end before the process is cut off, whereas one that is refused at
 * once as not run is served elsewhere.
 */
#ifndef DECIDE_COMPLETION_H
#define DECIDE_COMPLETION_H

#include <stdbool.h>
#include <stdint.h>

/** How much longer than expected the runs of a service take at most, from the
 * slowest recent ones; zero-initialise. */
struct completion
{
  double slowest;        /**< highest ratio of the current batch of runs */
  double slowest_before; /**< the same of the batch before */
  uint32_t batch_runs;   /**< in the current batch */
  uint32_t runs;         /**< in total; stops at the size of a batch */
};

/** Learn from a complete run that was expected to take EXPECTED_MS. */
void completion_learn (struct completion *completion, double expected_ms,
                       int64_t took_ms);

/** Return an upper bound of the duration of a run that is expected to take
 * EXPECTED_MS. */
int64_t completion_bound_ms (const struct completion *completion,
                             double expected_ms);

/** Return whether enough runs were seen that their slowest says something
 * about the next one. */
bool completion_is_known (const struct completion *completion);

/** Return an upper bound of the duration of runs of which one has taken AGE_MS
 * and is not complete yet. */
int64_t completion_open_bound_ms (int64_t age_ms);

#endif
