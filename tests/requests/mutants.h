/** @file
 * The guards, each with the run that shows its absence.
 */
#ifndef TESTS_MUTANTS_H
#define TESTS_MUTANTS_H

#include <stdint.h>

#include "../../libberyl/base/guard.h"
#include "history.h"

/** The guard taken out of the library under test. */
extern int beryl_mutant;

/** One guard taken out. */
struct mutant
{
  const char *name;    /**< NULL: no such row */
  const char *guard;   /**< what it guards */
  uint64_t seed;       /**< of the history that shows it; 0: see session */
  const char *session; /**< golden session that plays differently */
};

/** Rows by enum beryl_guard. */
extern const struct mutant mutants[BERYL_GUARD_COUNT];

/** Run the history of SEED without GUARD; the first finding is in VERDICT.
 * Returns whether all invariants hold. */
bool mutant_run (enum beryl_guard guard, uint64_t seed,
                 struct history_verdict *verdict);

#endif
