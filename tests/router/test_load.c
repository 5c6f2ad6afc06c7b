#include <stdlib.h>
#include <string.h>

#include "arrivals.h"
#include "histogram.h"
#include "scenario.h"
#include "sim.h"
#include "../suite.h"

START_TEST (test_histogram_is_within_one_percent)
{
  struct histogram *h = histogram_create ();
  ck_assert_int_eq (histogram_percentile_us (h, 50), 0);
  for (int64_t i = 1; i <= 100000; i++)
    histogram_record (h, i);
  for (int p = 1; p <= 100; p++)
    {
      double expected = p * 1000.0;
      double got = (double)histogram_percentile_us (h, p);
      ck_assert_double_ge (got, expected);
      ck_assert_double_le (got, expected * 1.01);
    }
  ck_assert_int_eq (histogram_max_us (h), 100000);
  struct histogram *sum = histogram_create ();
  histogram_merge (sum, h);
  histogram_record (sum, INT64_MAX / 2);
  ck_assert_uint_eq (histogram_count (sum), 100001);
  ck_assert_int_eq (histogram_percentile_us (sum, 100), INT64_MAX / 2);
  histogram_destroy (h);
  histogram_destroy (sum);
}
END_TEST

START_TEST (test_arrivals_repeat)
{
  struct scenario s;
  scenario_init (&s);
  s.duration_s = 100;
  s.load = 1;
  struct arrivals *a = arrivals_create (&s, NULL);
  struct arrivals *b = arrivals_create (&s, NULL);
  ck_assert_uint_eq (a->count, b->count);
  ck_assert_int_eq (memcmp (a->items, b->items, a->count * sizeof *a->items),
                    0);
  size_t jobs = 0;
  for (size_t i = 0; i < a->count; i++)
    {
      ck_assert (i == 0 || a->items[i].at_us >= a->items[i - 1].at_us);
      jobs += a->items[i].type == ARRIVAL_LONG;
    }
  double expected = 100 * scenario_capacity_per_s (&s);
  ck_assert_double_eq_tol ((double)jobs, expected, 0.15 * expected);
  arrivals_destroy (a);
  arrivals_destroy (b);
}
END_TEST

START_TEST (test_prompts_share_the_preamble)
{
  struct arrival a = {
    .id = 1, .organisation = 3, .preamble_tokens = 200, .prompt_tokens = 500
  };
  struct arrival b = a;
  uint64_t x[16], y[16];
  b.id = 2;
  char *p = arrival_prompt (&a);
  char *q = arrival_prompt (&b);
  ck_assert_uint_eq (strlen (p), 2000);
  ck_assert_int_eq (memcmp (p, q, 800), 0);
  ck_assert_int_ne (memcmp (p + 800, q + 800, 64), 0);
  ck_assert_uint_eq (arrival_blocks (&a, 64, x, 16), 7);
  arrival_blocks (&b, 64, y, 16);
  for (size_t i = 0; i < 7; i++)
    ck_assert_int_eq (x[i] == y[i], i < 3);
  free (p);
  free (q);
}
END_TEST

static void
run_small (enum beryl_policy policy, uint32_t duration_s,
           struct sim_result *result)
{
  struct scenario s;
  scenario_init (&s);
  s.duration_s = duration_s;
  s.decode_engines = 2;
  s.prefill_engines = 2;
  s.entries = 4;
  s.load = 2;
  struct arrivals *a = arrivals_create (&s, NULL);
  struct sim_settings settings = {
    .scenario = &s,
    .arrivals = a,
    .policy = policy,
    .report_lag_ms = 500,
    .report_loss = 0.2,
    .event_loss = 0.05,
  };
  sim_run (&settings, result);
  arrivals_destroy (a);
}

/* The same seed reproduces a run, decision by decision. */
START_TEST (test_runs_repeat)
{
  struct sim_result a, b;
  run_small (BERYL_POLICY_PLANNED, 30, &a);
  run_small (BERYL_POLICY_PLANNED, 30, &b);
  ck_assert_uint_eq (a.decisions, b.decisions);
  ck_assert_uint_eq (a.long_met, b.long_met);
  ck_assert_uint_eq (a.wasted_tokens, b.wasted_tokens);
  sim_result_release (&a);
  sim_result_release (&b);
}
END_TEST

/* More jobs arrive than the engines can decode.  Without admission control
 * every caller waits until nearly all deadlines pass; with it, excess jobs are
 * refused early and the others are answered in time. */
START_TEST (test_overload_does_not_collapse)
{
  struct sim_result planned, robin;
  run_small (BERYL_POLICY_PLANNED, 120, &planned);
  run_small (BERYL_POLICY_ROUND_ROBIN, 120, &robin);
  ck_assert_uint_gt (planned.long_refused, 0);
  ck_assert_uint_gt (planned.long_met * 10, robin.long_met * 13);
  ck_assert_uint_lt (planned.wasted_tokens * 20, planned.prefill_tokens);
  ck_assert_uint_ge (planned.urgent_met * 1000, planned.urgent_offered * 995);
  ck_assert_uint_eq (planned.long_met + planned.long_refused
                         + planned.long_missed,
                     planned.long_offered);
  sim_result_release (&planned);
  sim_result_release (&robin);
}
END_TEST

/* Guards against answers cut off by their deadline without any fault, because
 * decodes were started although they began later than planned.  Runs the demo
 * fleet at 1.3 times its capacity with deadlines of ten seconds. */
START_TEST (test_overload_cuts_no_answer)
{
  struct scenario s;
  struct sim_result result;
  scenario_init (&s);
  s.duration_s = 120;
  s.load = 1.3;
  s.entries = 3;
  s.data_centres = 2;
  s.decode_engines = 4;
  s.preamble_tokens = 400;
  s.document_tokens = 800;
  s.document_tokens_max = 3000;
  s.max_tokens = 60;
  s.organisations = 5;
  s.deadline_ms = 10000;
  s.seed = 3;
  struct arrivals *a = arrivals_create (&s, NULL);
  struct sim_settings settings = { .scenario = &s,
                                   .arrivals = a,
                                   .policy = BERYL_POLICY_PLANNED,
                                   .report_lag_ms = 500,
                                   .report_loss = 0.2,
                                   .event_loss = 0.05 };
  sim_run (&settings, &result);
  ck_assert_uint_gt (result.long_met, 4000);
  ck_assert_uint_eq (result.long_missed, 0);
  sim_result_release (&result);
  arrivals_destroy (a);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tc = tcase_create ("load");
  tcase_set_timeout (tc, 50);
  tcase_add_test (tc, test_histogram_is_within_one_percent);
  tcase_add_test (tc, test_arrivals_repeat);
  tcase_add_test (tc, test_prompts_share_the_preamble);
  tcase_add_test (tc, test_runs_repeat);
  tcase_add_test (tc, test_overload_does_not_collapse);
  tcase_add_test (tc, test_overload_cuts_no_answer);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
