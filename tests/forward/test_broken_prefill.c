#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

/* Less than a tenth of the time that a prompt of the fixture takes. */
#define AT_ONCE_MS 1

static struct fx fx;

static void
setup (void)
{
  struct fx_terms terms = fx_model_terms ();

  fx_open (&fx, &terms);
  fx_endpoint (&fx, "p1", BERYL_STAGE_PREFILL);
  fx_endpoint (&fx, "p2", BERYL_STAGE_PREFILL);
  fx_endpoint (&fx, "d1", BERYL_STAGE_DECODE);
}

static void
teardown (void)
{
  fx_close (&fx);
}

/* Lets REQUEST reach its prefill engine and returns the prefill. */
static struct fx_exchange *
to_prefill (uint64_t request)
{
  struct fx_exchange *reserve;

  fx_arrive (&fx, request);
  reserve = fx_open_of (&fx, request, BERYL_EXCHANGE_RESERVE);
  ck_assert_ptr_nonnull (reserve);
  fx_ok (&fx, reserve, "h");
  return fx_open_of (&fx, request, BERYL_EXCHANGE_PREFILL);
}

static bool
is_reported (const char *engine)
{
  struct beryl_endpoint_updates reports = { 0 };
  uint32_t hash = beryl_live_hash (fx_find_endpoint (&fx, engine));

  beryl_forward_endpoint_reports (fx.forward, &reports, fx.now_ms);
  for (size_t i = 0; i < reports.unreachable.count; i++)
    if (reports.unreachable.hashes[i] == hash)
      return true;
  return false;
}

/* Guards against an engine that breaks off each prompt at once, and so has the
 * shortest queue: the same request came back to it, and so did all others. */
START_TEST (test_engine_that_breaks_prompts_at_once)
{
  struct fx_exchange *first = to_prefill (1);
  struct fx_exchange *second;
  char broken[BERYL_NAME_BYTES];

  ck_assert_ptr_nonnull (first);
  memcpy (broken, first->endpoint, sizeof broken);
  fx.now_ms += AT_ONCE_MS;
  fx_broken (&fx, first, BERYL_FAILURE_RESET, true);
  fx_ok (&fx, fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE), "h2");
  second = fx_open_of (&fx, 1, BERYL_EXCHANGE_PREFILL);
  ck_assert_ptr_nonnull (second);
  ck_assert_str_ne (second->endpoint, broken);
  for (uint64_t request = 2; request < 5; request++)
    ck_assert_str_ne (to_prefill (request)->endpoint, broken);
  ck_assert (is_reported (broken));
}
END_TEST

/* Guards against an engine that lost one answer being taken for dead. */
START_TEST (test_lost_answer_of_a_prefill)
{
  struct fx_exchange *first = to_prefill (1);
  char broken[BERYL_NAME_BYTES];

  memcpy (broken, first->endpoint, sizeof broken);
  fx.now_ms += 1000;
  fx_broken (&fx, first, BERYL_FAILURE_RESET, true);
  ck_assert (!is_reported (broken));
  ck_assert (!beryl_live_avoided (fx_find_endpoint (&fx, broken), fx.now_ms));
}
END_TEST

/* Guards against a prompt that goes back to the engine that lost its answer:
 * if there is no other, the decode engine processes it. */
START_TEST (test_request_does_not_go_back)
{
  struct fx_exchange *first, *run;

  fx_remove (&fx, "p2");
  first = to_prefill (1);
  fx.now_ms += 1000;
  fx_broken (&fx, first, BERYL_FAILURE_RESET, true);
  fx_ok (&fx, fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE), "h2");
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_PREFILL));
  run = fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN);
  ck_assert_ptr_nonnull (run);
  ck_assert_str_eq (run->endpoint, "d1");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("broken prefill");
  TCase *tcase = tcase_create ("broken prefill");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_engine_that_breaks_prompts_at_once);
  tcase_add_test (tcase, test_lost_answer_of_a_prefill);
  tcase_add_test (tcase, test_request_does_not_go_back);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
