#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "beryl/error.h"
#include "beryl/findings.h"
#include "beryl/outcome.h"
#include "common/counters.h"
#include "../suite.h"

START_TEST (virtual_clock_moves_only_when_advanced)
{
  struct beryl_clock *clock = beryl_clock_create_virtual (40);

  ck_assert_int_eq (beryl_clock_now_ms (clock), 40);
  beryl_clock_advance_ms (clock, 2);
  ck_assert_int_eq (beryl_clock_now_ms (clock), 42);
  beryl_clock_destroy (clock);
}
END_TEST

START_TEST (findings_keep_their_places)
{
  struct beryl_findings *findings = beryl_findings_create ();
  char *text;

  beryl_findings_add (findings, "a.yaml", 3, 7, "unknown key '%s'", "slotz");
  beryl_findings_add (findings, NULL, 0, 0, "no services");
  text = beryl_findings_format (findings);
  ck_assert_str_eq (text, "a.yaml:3:7: unknown key 'slotz'\n"
                          "-:0:0: no services\n");
  free (text);
  beryl_findings_destroy (findings);
}
END_TEST

START_TEST (only_safe_outcomes_are_retried)
{
  ck_assert (beryl_outcome_allows_retry (BERYL_OUTCOME_NOT_RUN, false));
  ck_assert (beryl_outcome_allows_retry (BERYL_OUTCOME_UNKNOWN, true));
  ck_assert (!beryl_outcome_allows_retry (BERYL_OUTCOME_UNKNOWN, false));
  ck_assert (!beryl_outcome_allows_retry (BERYL_OUTCOME_ANSWERED, true));
}
END_TEST

START_TEST (error_is_filled_and_truncated)
{
  struct beryl_error error = { 0 };
  char longer[400];

  memset (longer, 'x', sizeof longer);
  longer[sizeof longer - 1] = '\0';
  ck_assert (!beryl_error_set (&error, BERYL_ERROR_LIMIT, "%s", longer));
  ck_assert_uint_eq (strlen (error.message), sizeof error.message - 1);
  ck_assert_str_eq (beryl_error_code_name (error.code), "limit");
}
END_TEST

START_TEST (counters_format_sorted)
{
  struct counters *set = counters_create ();
  char *text;

  counters_add (set, "beryl_b", "", 2);
  counters_add (set, "beryl_a", "class=\"urgent\"", 1);
  counters_add (set, "beryl_b", "", 1);
  text = counters_format (set);
  ck_assert_str_eq (text, "beryl_a{class=\"urgent\"} 1\nberyl_b 3\n");
  free (text);
  counters_destroy (set);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("base");
  TCase *tc = tcase_create ("base");

  tcase_add_test (tc, virtual_clock_moves_only_when_advanced);
  tcase_add_test (tc, findings_keep_their_places);
  tcase_add_test (tc, only_safe_outcomes_are_retried);
  tcase_add_test (tc, error_is_filled_and_truncated);
  tcase_add_test (tc, counters_format_sorted);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
