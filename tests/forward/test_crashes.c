#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"
#include "model.h"

/* Requests from this number on have the same content, which crashes
   engines. */
#define CULPRIT 1000
#define SEEDS 30

static uint64_t
fingerprint (uint64_t request)
{
  return request >= CULPRIT ? CULPRIT : request;
}

static void
setup (void)
{
  model_setup ();
  fx.fingerprint = fingerprint;
}

/* The endpoint of X crashes during X and refuses connections. */
static void
crash (struct fx_exchange *x)
{
  struct fx_exchange *dial;

  fx_broken (&fx, x, BERYL_FAILURE_CLOSED, true);
  dial = open_of (0, BERYL_EXCHANGE_DIAL);
  ck_assert_str_eq (dial->endpoint, x->endpoint);
  fx_broken (&fx, dial, BERYL_FAILURE_CONNECT, false);
}

/* Submits the culprit as REQUEST and lets it run until it is refused; returns
   how many engines it has crashed. */
static uint32_t
crash_engines (uint64_t request)
{
  uint32_t count = 0;

  fx_arrive (&fx, request);
  while (answer (request)->ends == 0)
    {
      ck_assert_uint_lt (count, 10);
      crash (fx_to_run (&fx, request));
      fx_pass (&fx, 50);
      count++;
    }
  return count;
}

static void
crash_three (void)
{
  uint32_t count = 0;

  for (uint64_t i = 0; count < 3; i++)
    count += crash_engines (CULPRIT + i);
  ck_assert_uint_eq (count, 3);
  fx_pass (&fx, 10);
}

static void
more_engines (uint32_t count)
{
  char id[16];

  for (uint32_t i = 0; i < count; i++)
    {
      g_snprintf (id, sizeof id, "new%u", i);
      fx_endpoint (&fx, id, BERYL_STAGE_DECODE);
    }
}

/* Guards against a request that has crashed three engines being sent to a
   fourth. */
START_TEST (test_fourth_engine)
{
  uint32_t runs;

  more_engines (4);
  crash_three ();
  runs = fx_count (&fx, BERYL_EXCHANGE_RUN);
  for (uint64_t i = 50; i < 55; i++)
    {
      fx_arrive (&fx, CULPRIT + i);
      ck_assert (answer (CULPRIT + i)->refused);
      ck_assert (answer (CULPRIT + i)->refusal.not_run);
      ck_assert_uint_eq (answer (CULPRIT + i)->refusal.status, 503);
      ck_assert_int_gt (answer (CULPRIT + i)->refusal.retry_after_ms, 0);
    }
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), runs);
  fx_arrive (&fx, 1);
  ck_assert (!answer (1)->refused);
}
END_TEST

/* Guards against a request that has run being answered "not run" when it is
   quarantined. */
START_TEST (test_not_run_is_true)
{
  more_engines (4);
  crash_three ();
  for (uint64_t i = 0; i < 3; i++)
    if (answer (CULPRIT + i)->refused)
      ck_assert (!answer (CULPRIT + i)->refusal.not_run);
}
END_TEST

/* Guards against a request that was accepted before the quarantine being sent
   to an engine afterwards. */
START_TEST (test_open_requests)
{
  struct beryl_quarantine_update news
      = { .quarantined = { { CULPRIT, 100 } }, .quarantined_count = 1 };

  fx_arrive (&fx, CULPRIT);     /* asks for a reservation */
  fx_arrive (&fx, CULPRIT + 1); /* its prompt is prefilled */
  fx_ok (&fx, open_of (CULPRIT + 1, BERYL_EXCHANGE_RESERVE), "h");
  open_of (CULPRIT + 1, BERYL_EXCHANGE_PREFILL);
  fx_arrive (&fx, 1);
  beryl_quarantine_apply_update (beryl_forward_quarantine (fx.forward), &news,
                                 fx.now_ms);
  fx_pass (&fx, 1);
  for (uint64_t i = 0; i < 2; i++)
    {
      ck_assert (answer (CULPRIT + i)->refused);
      ck_assert (answer (CULPRIT + i)->refusal.not_run);
    }
  ck_assert_uint_eq (answer (1)->ends, 0);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
}
END_TEST

/* Guards against requests that are put into quarantine because their node has
 * lost its endpoints, and not one endpoint has crashed. */
START_TEST (test_node_loses_engines)
{
  more_engines (4);
  for (uint64_t i = 0; i < 6; i++)
    {
      struct fx_exchange *x;

      fx_arrive (&fx, CULPRIT + i);
      x = fx_to_run (&fx, CULPRIT + i);
      fx_pass (&fx, 10);
      fx_broken (&fx, x, BERYL_FAILURE_RESET, true);
      fx_fail_connections (&fx, 3000);
      ck_assert (!beryl_forward_reaches_endpoints (fx.forward));
      while ((x = fx_open_of (&fx, 0, BERYL_EXCHANGE_DIAL)) != NULL)
        fx_ok (&fx, x, "");
      fx_pass (&fx, 2000);
    }
  ck_assert_uint_eq (
      beryl_quarantine_count (beryl_forward_quarantine (fx.forward)), 0);
}
END_TEST

/* Guards against a broken connection to a live engine being counted as a
   crash. */
START_TEST (test_broken_connection_is_no_crash)
{
  more_engines (8);
  for (uint64_t i = 0; i < 4; i++)
    {
      fx_arrive (&fx, CULPRIT + i);
      fx_broken (&fx, fx_to_run (&fx, CULPRIT + i), BERYL_FAILURE_RESET, true);
      fx_ok (&fx, open_of (0, BERYL_EXCHANGE_DIAL), "");
      beryl_forward_cancel (fx.forward, CULPRIT + i, fx.now_ms);
      fx_pass (&fx, 100);
    }
  ck_assert_uint_eq (
      beryl_quarantine_count (beryl_forward_quarantine (fx.forward)), 0);
}
END_TEST

/* Guards against requests that were interrupted together being sent to one
   engine together, where all of them look like the cause again. */
START_TEST (test_interrupted_requests_are_separated)
{
  struct fx_exchange *runs[3], *asked[3];

  fx_close (&fx);
  fx_open_seeded (&fx, &terms, (uint64_t)_i + 1);
  fx.fingerprint = fingerprint;
  engines (2, 1);
  for (uint64_t i = 0; i < 3; i++)
    {
      fx_arrive (&fx, i + 1);
      runs[i] = fx_to_stream (&fx, i + 1, 2);
    }
  more_engines (6);
  for (int i = 0; i < 3; i++)
    fx_broken (&fx, runs[i], BERYL_FAILURE_CLOSED, true);
  for (uint64_t i = 0; i < 3; i++)
    asked[i] = open_of (i + 1, BERYL_EXCHANGE_RESERVE);
  for (int i = 0; i < 3; i++)
    fx_ok (&fx, asked[i], "h");
  ck_assert_str_ne (asked[0]->endpoint, asked[1]->endpoint);
  ck_assert_str_ne (asked[0]->endpoint, asked[2]->endpoint);
  ck_assert_str_ne (asked[1]->endpoint, asked[2]->endpoint);
}
END_TEST

/* Guards against a request being sent to an engine where a peer runs a
   suspect. */
START_TEST (test_suspect_of_peer)
{
  struct beryl_engine_run run = { .engine = beryl_name_hash ("d0"),
                                  .prompt_tokens = 10,
                                  .expected_tokens = 10,
                                  .started = true,
                                  .suspect = true };
  struct beryl_quarantine_update news
      = { .crashes = { { CULPRIT, 7 } }, .crash_count = 1 };

  beryl_quarantine_apply_update (beryl_forward_quarantine (fx.forward), &news,
                                 fx.now_ms);
  beryl_forward_peer_runs (fx.forward, "peer", &run, 1, fx.now_ms);
  for (uint64_t i = 1; i <= 20; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d0");
      beryl_forward_cancel (fx.forward, i, fx.now_ms);
    }
}
END_TEST

/* Guards against requests that wait although engines have free memory, because
   all engines run suspects. */
START_TEST (test_only_engines_with_suspects)
{
  struct beryl_engine_run runs[3] = { 0 };
  struct beryl_quarantine_update news
      = { .crashes = { { CULPRIT, 7 } }, .crash_count = 1 };
  char id[16];

  for (int i = 0; i < 3; i++)
    {
      g_snprintf (id, sizeof id, "d%d", i);
      runs[i] = (struct beryl_engine_run){ .engine = beryl_name_hash (id),
                                           .suspect = true };
    }
  beryl_quarantine_apply_update (beryl_forward_quarantine (fx.forward), &news,
                                 fx.now_ms);
  beryl_forward_peer_runs (fx.forward, "peer", runs, 3, fx.now_ms);
  fx_arrive (&fx, 1);
  open_of (1, BERYL_EXCHANGE_RESERVE);
}
END_TEST

/* Guards against the refusal of a request that ran beside the culprit at two
   engines that crashed. */
START_TEST (test_neighbour_is_served)
{
  struct fx_exchange *culprit, *neighbour;

  reopen ();
  fx.fingerprint = fingerprint;
  engines (2, 1);
  fx_arrive (&fx, 1);
  fx_arrive (&fx, CULPRIT);
  for (int i = 0; i < 2; i++)
    {
      const char *engine = i == 0 ? "d0" : "new0";

      neighbour = fx_to_run (&fx, 1);
      culprit = fx_to_run (&fx, CULPRIT);
      ck_assert_str_eq (neighbour->endpoint, engine);
      ck_assert_str_eq (culprit->endpoint, engine);
      fx_remove (&fx, engine);
      more_engines (i == 0 ? 1 : 3);
      fx_broken (&fx, neighbour, BERYL_FAILURE_CLOSED, true);
      crash (culprit);
      fx_pass (&fx, 50);
    }
  neighbour = fx_to_stream (&fx, 1, 2);
  culprit = fx_to_run (&fx, CULPRIT);
  ck_assert_str_ne (neighbour->endpoint, culprit->endpoint);
  crash (culprit);
  fx_pass (&fx, 10);
  fx_arrive (&fx, CULPRIT + 1);
  ck_assert (answer (CULPRIT + 1)->refused);
  fx_done (&fx, neighbour);
  ck_assert (answer (1)->whole);
  fx_pass (&fx, 300); /* the review of its crashes */
  fx_arrive (&fx, CULPRIT + 2);
  ck_assert (answer (CULPRIT + 2)->refused);
  ck_assert_uint_eq (
      beryl_quarantine_count (beryl_forward_quarantine (fx.forward)), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("requests that crash engines");
  TCase *tcase = tcase_create ("crashes");

  tcase_add_checked_fixture (tcase, setup, model_teardown);
  tcase_add_test (tcase, test_node_loses_engines);
  tcase_add_test (tcase, test_fourth_engine);
  tcase_add_test (tcase, test_not_run_is_true);
  tcase_add_test (tcase, test_open_requests);
  tcase_add_test (tcase, test_broken_connection_is_no_crash);
  tcase_add_loop_test (tcase, test_interrupted_requests_are_separated, 0,
                       SEEDS);
  tcase_add_test (tcase, test_suspect_of_peer);
  tcase_add_test (tcase, test_only_engines_with_suspects);
  tcase_add_test (tcase, test_neighbour_is_served);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
