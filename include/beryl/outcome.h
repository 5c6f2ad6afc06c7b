/** @file
 * What became of a request, or of one attempt to run it.
 */
#ifndef BERYL_OUTCOME_H
#define BERYL_OUTCOME_H

#include <stdbool.h>

/** The three possible ends of an attempt. */
enum beryl_outcome
{
  BERYL_OUTCOME_PENDING = 0, /**< not ended yet */
  BERYL_OUTCOME_ANSWERED,    /**< the endpoint answered */
  /** Proved not to have run: no byte reached the endpoint's socket, or the
   * endpoint itself refused before running. */
  BERYL_OUTCOME_NOT_RUN,
  BERYL_OUTCOME_UNKNOWN, /**< it may have run */
};

/** Return the stable name of OUTCOME, for example "not_run". */
const char *beryl_outcome_name (enum beryl_outcome outcome);

/** Whether a request may be tried again after OUTCOME. */
bool beryl_outcome_allows_retry (enum beryl_outcome outcome, bool idempotent);

#endif
