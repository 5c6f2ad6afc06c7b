#include <check.h>

#include "../suite.h"
#include "model.h"

/* What nodes learn together of a service's generations. */

static struct beryl_generation_mix
mix (void)
{
  return beryl_forward_mix (fx.forward, FX_SERVICE, fx.now_ms);
}

/* A peer has seen SEEN prefills and runs of slow engines. */
static void
tell_mix (const char *peer, uint32_t seen)
{
  struct beryl_mix_reports reports = { .count = 1 };

  reports.items[0] = (struct beryl_mix_report){
    .service = beryl_engine_number (FX_SERVICE),
    .prefills = seen,
    .prompt_tokens = 8000,
    .prefill_ns_per_token = 50000,
    .runs = seen,
    .output_tokens = 500,
    .decode_ns_per_token = 2000000,
  };
  beryl_forward_peer_mix (fx.forward, peer, &reports, fx.now_ms);
}

/* Story: the node that plans for 64 others had seen eight of its own requests
 * after ten seconds, and engines stood where the assumption had put them until
 * then.  All nodes together had seen as many within the first second. */
START_TEST (test_many_see_more_than_one)
{
  char name[16];

  ck_assert (!mix ().measured);
  for (int i = 0; i < 10; i++)
    {
      g_snprintf (name, sizeof name, "peer-%d", i);
      tell_mix (name, 2);
    }
  ck_assert (mix ().measured);
  ck_assert_double_eq_tol (mix ().prompt_tokens, 8000, 1);
  ck_assert_double_eq_tol (mix ().prefill_ms_per_token, 0.05, 0.001);
  ck_assert_double_eq_tol (mix ().decode_ms_per_token, 2, 0.01);
  ck_assert_double_lt (mix ().output_tokens, 2000);
}
END_TEST

/* A peer that tells again does not count twice. */
START_TEST (test_same_peer_counts_once)
{
  for (int i = 0; i < 10; i++)
    tell_mix ("peer", 2);
  ck_assert (!mix ().measured);
}
END_TEST

/* What nodes that are gone had learned is forgotten, and their places are used
 * again. */
START_TEST (test_old_news_is_forgotten)
{
  tell_mix ("peer", 20);
  ck_assert (mix ().measured);
  fx_pass (&fx, 40000);
  ck_assert (!mix ().measured);
  tell_mix ("other", 20);
  ck_assert (mix ().measured);
}
END_TEST

/* Own requests are told as they were seen, without what is assumed. */
START_TEST (test_own_report)
{
  struct beryl_mix_reports reports;

  beryl_forward_mix_reports (fx.forward, &reports);
  ck_assert_uint_eq (reports.count, 0);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx_pass (&fx, 100);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  beryl_forward_mix_reports (fx.forward, &reports);
  ck_assert_uint_eq (reports.count, 1);
  ck_assert_uint_eq (reports.items[0].prefills, 1);
  ck_assert_uint_eq (reports.items[0].prompt_tokens, 1000);
  ck_assert_uint_eq (reports.items[0].prefill_ns_per_token, 100000);
  ck_assert_uint_eq (reports.items[0].runs, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mix of generations");
  TCase *tcase = tcase_create ("mix");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_many_see_more_than_one);
  tcase_add_test (tcase, test_same_peer_counts_once);
  tcase_add_test (tcase, test_old_news_is_forgotten);
  tcase_add_test (tcase, test_own_report);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
