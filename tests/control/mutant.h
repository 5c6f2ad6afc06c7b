/** @file
 * Takes out the guard that the environment names, in builds that can.
 */
#ifndef TESTS_CONTROL_MUTANT_H
#define TESTS_CONTROL_MUTANT_H

/** Read BERYL_MUTANT; does nothing in the usual build. */
void mutant_choose (void);

#endif
