#include <check.h>

#include "../suite.h"
#include "model.h"

/* Pauses that endpoints ask for when they turn a request away. */

#define PAUSE_MS 3000

static void
setup_plain (void)
{
  terms = fx_plain_terms ();
  fx_open (&fx, &terms);
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "b", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "c", BERYL_STAGE_NONE);
}

/* Returns how many exchanges but dials went to ENDPOINT. */
static uint32_t
count_to (const char *endpoint)
{
  uint32_t count = 0;

  for (guint i = 0; i < fx.exchanges->len; i++)
    {
      const struct fx_exchange *x = g_ptr_array_index (fx.exchanges, i);

      count += g_str_equal (x->endpoint, endpoint)
               && x->kind != BERYL_EXCHANGE_DIAL;
    }
  return count;
}

/* Guards against requests to an endpoint that has asked for a pause, and
 * against one that gets none after it. */
START_TEST (test_paused_endpoint)
{
  char paused[BERYL_NAME_BYTES];
  uint32_t before;

  fx_arrive (&fx, 1);
  g_strlcpy (paused, fx_last (&fx, BERYL_EXCHANGE_RUN)->endpoint,
             sizeof paused);
  fx_paused (&fx, fx_last (&fx, BERYL_EXCHANGE_RUN), PAUSE_MS);
  before = count_to (paused);
  for (uint64_t i = 2; i < 30; i++)
    {
      fx_arrive (&fx, i);
      fx_pass (&fx, 100);
      while (fx_open_of (&fx, i, BERYL_EXCHANGE_RUN) != NULL)
        fx_answer (&fx, fx_open_of (&fx, i, BERYL_EXCHANGE_RUN), 200, "x");
    }
  ck_assert_uint_eq (count_to (paused), before);
  fx_pass (&fx, PAUSE_MS);
  for (uint64_t i = 30; i < 60; i++)
    fx_arrive (&fx, i);
  ck_assert_uint_gt (count_to (paused), before);
}
END_TEST

/* Guards against a pause that is cut short by a shorter one. */
START_TEST (test_shorter_pause)
{
  fx_arrive (&fx, 1);
  fx_paused (&fx, fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN), PAUSE_MS);
  fx_paused (&fx, fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN), PAUSE_MS);
  fx_arrive (&fx, 2);
  fx_arrive (&fx, 3);
  fx_paused (&fx, fx_open_of (&fx, 2, BERYL_EXCHANGE_RUN), PAUSE_MS);
  fx_paused (&fx, fx_open_of (&fx, 3, BERYL_EXCHANGE_RUN), 100);
  fx_pass (&fx, 200);
  fx_arrive (&fx, 4);
  ck_assert_int_eq (answer (4)->refusal.reason, BERYL_REFUSAL_PAUSED);
}
END_TEST

/* Guards against callers that wait, or are sent to endpoints, or come back too
 * early, while all endpoints have asked for a pause. */
START_TEST (test_all_paused)
{
  fx_arrive (&fx, 1);
  for (int i = 0; i < 3; i++)
    fx_paused (&fx, fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN), PAUSE_MS + i);
  fx_pass (&fx, 1000);
  fx_arrive (&fx, 2);
  for (uint64_t i = 1; i <= 2; i++)
    {
      ck_assert_int_eq (answer (i)->refusal.reason, BERYL_REFUSAL_PAUSED);
      ck_assert (answer (i)->refusal.not_run);
      ck_assert_int_ge (answer (i)->refusal.retry_after_ms, PAUSE_MS - 1000);
    }
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 3);
}
END_TEST

/* Guards against calls of any kind to engines that have asked for a pause, and
 * against a generation that waits for one that will not take it in time. */
START_TEST (test_paused_engines)
{
  fx_arrive (&fx, 1);
  for (int i = 0; i < 3; i++)
    fx_paused (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), PAUSE_MS);
  ck_assert_int_eq (answer (1)->refusal.reason, BERYL_REFUSAL_PAUSED);
  fx_arrive (&fx, 2);
  ck_assert_int_eq (answer (2)->refusal.reason, BERYL_REFUSAL_PAUSED);
  fx_pass (&fx, 2000);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 3);
  ck_assert_uint_eq (fx_count_open (&fx), 0);
}
END_TEST

/* Lists, or removes, all decode engines but ENGINE. */
static void
set_other_engines (const char *engine, bool listed)
{
  static const char *const ids[] = { "d0", "d1", "d2" };

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    if (g_str_equal (ids[i], engine))
      continue;
    else if (listed)
      fx_endpoint (&fx, ids[i], BERYL_STAGE_DECODE);
    else
      fx_remove (&fx, ids[i]);
}

/* Guards against a late generation that is refused as if engines had asked for
 * a pause, without a time to come back. */
START_TEST (test_late_without_pause)
{
  fx_arrive (&fx, 1);
  fx_pass (&fx, terms.route.objective_ms);
  fx_refused (&fx, open_of (1, BERYL_EXCHANGE_RESERVE));
  open_of (1, BERYL_EXCHANGE_RESERVE);
  ck_assert (!answer (1)->refused);
}
END_TEST

/* Guards against a run at the engine that has granted a reservation and has
 * asked for a pause since, and against the call that would give it back. */
START_TEST (test_reserved_engine_pauses)
{
  char engine[BERYL_NAME_BYTES];
  uint32_t before;

  fx_arrive (&fx, 1);
  g_strlcpy (engine, open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint,
             sizeof engine);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "h");
  set_other_engines (engine, false);
  fx_arrive (&fx, 2);
  fx_paused (&fx, open_of (2, BERYL_EXCHANGE_RESERVE), PAUSE_MS);
  set_other_engines (engine, true);
  before = count_to (engine);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  ck_assert_uint_eq (count_to (engine), before);
  ck_assert_str_ne (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, engine);
}
END_TEST

/* Guards against prompts that are sent to a prefill engine in its pause. */
START_TEST (test_prefill_engine_pauses)
{
  char engine[BERYL_NAME_BYTES];

  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "h");
  g_strlcpy (engine, open_of (1, BERYL_EXCHANGE_PREFILL)->endpoint,
             sizeof engine);
  fx_paused (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), PAUSE_MS);
  for (uint64_t i = 2; i < 6; i++)
    {
      fx_arrive (&fx, i);
      fx_ok (&fx, open_of (i, BERYL_EXCHANGE_RESERVE), "h");
    }
  ck_assert_uint_eq (count_to (engine), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pauses");
  TCase *plain = tcase_create ("plain");
  TCase *engines_case = tcase_create ("engines");

  tcase_add_checked_fixture (plain, setup_plain, model_teardown);
  tcase_add_test (plain, test_paused_endpoint);
  tcase_add_test (plain, test_shorter_pause);
  tcase_add_test (plain, test_all_paused);
  suite_add_tcase (suite, plain);
  tcase_add_checked_fixture (engines_case, model_setup, model_teardown);
  tcase_add_test (engines_case, test_paused_engines);
  tcase_add_test (engines_case, test_late_without_pause);
  tcase_add_test (engines_case, test_reserved_engine_pauses);
  tcase_add_test (engines_case, test_prefill_engine_pauses);
  suite_add_tcase (suite, engines_case);
  return suite_run (suite);
}
