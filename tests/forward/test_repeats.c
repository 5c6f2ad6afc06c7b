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

/* Lets request 1 reach its run, which breaks off after MS; returns the number
 * of prompts sent once it has another reservation. */
static uint32_t
prompts_after_break (int64_t ms)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  fx_pass (&fx, 5);
  run = fx_to_run (&fx, 1);
  fx_pass (&fx, ms);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  return fx_count (&fx, BERYL_EXCHANGE_PREFILL);
}

/* Guards against prompts that are read again for each run that an engine
 * breaks off at once, which takes two repeats instead of one. */
START_TEST (test_run_that_breaks_at_once)
{
  const struct fx_exchange *run;

  ck_assert_uint_eq (prompts_after_break (1), 1);
  run = open_of (1, BERYL_EXCHANGE_RUN);
  ck_assert_str_eq (run->kv_handle, "kv-1");
}
END_TEST

/* Guards against a run whose KV cache the engine before has fetched. */
START_TEST (test_run_that_breaks_later)
{
  ck_assert_uint_eq (prompts_after_break (100), 2);
}
END_TEST

/* Guards against runs that are moved although nothing is left for the case
 * that the other engine does not take them. */
START_TEST (test_no_move_without_repeat)
{
  const struct fx_exchange *run;

  without_repeats (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  fx_pass (&fx, 200);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_MOVE), 0);
  ck_assert (!answer (1)->cut);
}
END_TEST

/* Guards against streams that are lost with a leaving engine since no repeat
 * is left, although a move needs none. */
START_TEST (test_leaving_engine_without_repeat)
{
  const struct fx_exchange *run;

  without_repeats (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_leaving (&fx, run->endpoint);
  fx_pass (&fx, 200);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_MOVE), 1);
}
END_TEST

/* Opens the streams of two requests, all of whose engines leave, and lets one
 * of them be moved; returns its run at the new engine, and sets OTHER to that
 * of the stream which stays. One repeat may arrive, none may be taken. */
static struct fx_exchange *
first_of_two_moves (struct fx_exchange **other)
{
  struct fx_exchange *runs[2];
  uint64_t moved;

  terms.repeat_slack = 1;
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 4);
  for (uint64_t i = 1; i <= 2; i++)
    {
      fx_arrive (&fx, i);
      runs[i - 1] = fx_to_stream (&fx, i, 2);
    }
  for (int i = 0; i < 2; i++)
    fx_leaving (&fx, runs[i]->endpoint);
  fx_pass (&fx, 110);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_MOVE), 1);
  moved = fx_open_of (&fx, 1, BERYL_EXCHANGE_MOVE) != NULL ? 1 : 2;
  fx_ok (&fx, open_of (moved, BERYL_EXCHANGE_MOVE), "moved");
  fx_broken (&fx, runs[moved - 1], BERYL_FAILURE_CLOSED, true);
  *other = runs[2 - moved];
  fx_event (&fx, *other, 3);
  return open_of (moved, BERYL_EXCHANGE_RUN);
}

/* Guards against a stream that is lost with its leaving engine since another
 * one was moved without a repeat before it. */
START_TEST (test_runs_leave_one_after_the_other)
{
  struct fx_exchange *other;
  struct fx_exchange *run = first_of_two_moves (&other);

  fx_stream (&fx, run);
  fx_pass (&fx, 110);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_MOVE), 2);
}
END_TEST

/* Guards against runs that are moved off leaving engines without a repeat, one
 * after the other, while other engines reject them. */
START_TEST (test_none_leaves_after_lost_move)
{
  struct fx_exchange *other;
  struct fx_exchange *run = first_of_two_moves (&other);

  fx_not_run (&fx, run, 503);
  fx_pass (&fx, 110);
  fx_event (&fx, other, 4);
  fx_pass (&fx, 110);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_MOVE), 1);
}
END_TEST

/* Guards against a repeat that stays set aside after its run was moved. */
START_TEST (test_moves_share_one_repeat)
{
  without_repeats (2, 3);
  beryl_forward_set_repeat_limits (fx.forward, 0, 2, 10000);
  for (uint64_t i = 1; i <= 2; i++)
    {
      struct fx_exchange *run;

      fx_arrive (&fx, i);
      run = fx_to_stream (&fx, i, 2);
      report_runs (run->endpoint, 4);
      fx_ok (&fx, move_asked (i), "moved");
      fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
      run = open_of (i, BERYL_EXCHANGE_RUN);
      ck_assert_str_eq (run->kv_handle, "moved");
      fx_stream (&fx, run);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("repeats by arrivals");
  TCase *tcase = tcase_create ("repeats by arrivals");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_run_after_broken_prompt);
  tcase_add_test (tcase, test_no_move_without_repeat);
  tcase_add_test (tcase, test_leaving_engine_without_repeat);
  tcase_add_test (tcase, test_runs_leave_one_after_the_other);
  tcase_add_test (tcase, test_none_leaves_after_lost_move);
  tcase_add_test (tcase, test_moves_share_one_repeat);
  tcase_add_test (tcase, test_run_that_breaks_at_once);
  tcase_add_test (tcase, test_run_that_breaks_later);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
