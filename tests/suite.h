/** @file
 * Runs a suite of checks as a test program's main function does.
 */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/** Run SUITE, release it, and return the exit status. */
static inline int
suite_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int failed;

  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
