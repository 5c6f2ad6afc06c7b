/** @file
 * What came of one call, as its caller saw it.
 */
#ifndef LOAD_OUTCOME_H
#define LOAD_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "arrivals.h"

/** Ends of a call, from the caller's side. */
enum call_end
{
  CALL_ANSWERED, /**< whole */
  CALL_NOT_RUN,  /**< refused, and the system says that it did not run */
  CALL_UNKNOWN,  /**< refused or failed; it may have run */
  CALL_CUT,      /**< the answer broke off */
  CALL_LOST,     /**< no answer at all, long after the deadline */
  CALL_WRONG,    /**< a whole answer, but not to this prompt */
  CALL_END_COUNT,
};

/** Stable names, for example "not_run". */
const char *call_end_name (enum call_end end);

/** One finished call; times are from the intended start. */
struct call_outcome
{
  const struct arrival *arrival;
  enum call_end end;
  unsigned int status;
  uint16_t entry_port; /**< of the entry instance that was asked */
  int64_t ended_us;    /**< since the start of the run */
  int64_t took_us;
  int64_t first_us;   /**< first token; 0: none */
  int64_t between_us; /**< mean between tokens; 0: none */
  uint32_t tokens;
  bool in_time;
  int64_t retry_after_ms;
  char detail[96]; /**< of a problem, or why the call failed */
};

#endif
