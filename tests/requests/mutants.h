/** @file
 * The guards, each with a run that detects its absence.
 */
#ifndef TESTS_MUTANTS_H
#define TESTS_MUTANTS_H

#include <stdint.h>

#include "../../libberyl/base/guard.h"
#include "history.h"

/** The guard that is disabled in the library under test. */
extern int beryl_mutant;

/** A mutant: the library with one guard disabled. */
struct mutant
{
  const char *name;    /**< NULL: unused row */
  const char *guard;   /**< what it guards */
  uint64_t seed;       /**< seed of a run that detects it; 0: see SESSION */
  const char *session; /**< golden session that differs without the guard */
};

/** Rows by enum beryl_guard. */
extern const struct mutant mutants[BERYL_GUARD_COUNT];

/** Run the simulation of SEED without GUARD.  Returns whether all invariants
 * hold; RESULT describes the first violation. */
bool mutant_run (enum beryl_guard guard, uint64_t seed,
                 struct history_result *result);

#endif
