#include <check.h>

#include "../suite.h"
#include "model.h"

/* A service that may send nothing beyond the first of a request. */
static void
without_repeats (uint32_t prefill, uint32_t decode)
{
  terms.repeat_slack = 0;
  terms.repeat_ratio = 0;
  reopen ();
  engines (prefill, decode);
}

/* Guards against a run that takes no repeat after a prompt that broke off,
 * since no second prompt is sent. */
START_TEST (test_run_after_broken_prompt)
{
  without_repeats (1, 3);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), BERYL_FAILURE_RESET,
             true);
  if (fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE) != NULL)
    fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("repeats by arrivals");
  TCase *tcase = tcase_create ("repeats by arrivals");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_run_after_broken_prompt);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
