/** @file
 * Selects the guard to disable, in builds for mutation tests.
 */
#ifndef TESTS_CONTROL_MUTANT_H
#define TESTS_CONTROL_MUTANT_H

/** Disable the guard whose number is in the environment variable BERYL_MUTANT;
 * no effect in a normal build. */
void mutant_choose (void);

#endif
