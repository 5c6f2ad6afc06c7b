/** @file
 * Outcome of a request, or of one attempt to run it.
 */
#ifndef BERYL_OUTCOME_H
#define BERYL_OUTCOME_H

#include <stdbool.h>

/** Outcome of an attempt. */
enum beryl_outcome
{
  BERYL_OUTCOME_PENDING = 0, /**< still running */
  BERYL_OUTCOME_ANSWERED,    /**< the endpoint answered */
  /** Certainly not executed: no byte reached the endpoint's socket, or the
   * endpoint refused before running. */
  BERYL_OUTCOME_NOT_RUN,
  BERYL_OUTCOME_UNKNOWN, /**< may have been executed */
};

/** Return the stable name of OUTCOME, for example "not_run". */
const char *beryl_outcome_name (enum beryl_outcome outcome);

/** Return whether a request may be retried after OUTCOME. */
bool beryl_outcome_allows_retry (enum beryl_outcome outcome, bool idempotent);

#endif
