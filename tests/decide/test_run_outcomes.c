#include <check.h>

#include "../../libberyl/base/random.h"
#include "../../libberyl/decide/prompt_gate.h"
#include "../suite.h"
#include "beryl/run_outcomes.h"

#define NODES 62
#define ENGINES 30
#define SERVICE 7
#define START_MS 1000000
#define REPORT_MS 250

static struct beryl_run_outcomes *nodes[NODES];
static int64_t now_ms;
static uint64_t seed;

static void
setup (void)
{
  for (int i = 0; i < NODES; i++)
    nodes[i] = beryl_run_outcomes_create ();
  now_ms = START_MS;
  seed = 9;
}

static void
teardown (void)
{
  for (int i = 0; i < NODES; i++)
    beryl_run_outcomes_destroy (nodes[i]);
}

static double
success_at (uint32_t node, uint32_t engine)
{
  return beryl_run_outcomes_success (nodes[node], SERVICE, engine, now_ms);
}

static bool
is_sound (uint32_t node, uint32_t engine)
{
  return success_at (node, engine) >= PROMPT_GATE_SOUND;
}

static void
add (uint32_t node, uint32_t engine, bool good)
{
  beryl_run_outcomes_add (nodes[node], SERVICE, engine, good, now_ms);
}

static void
tell (uint32_t node)
{
  struct beryl_run_outcome_report report;

  beryl_run_outcomes_report (nodes[node], &report, now_ms);
  ck_assert_uint_le (report.count, BERYL_RUN_OUTCOMES_MAX);
  for (uint32_t i = 0; i < NODES; i++)
    if (i != node)
      beryl_run_outcomes_apply (nodes[i], node + 1, &report, now_ms);
}

/* All nodes report, and have time to add the reports up. */
static void
tell_all (void)
{
  for (uint32_t i = 0; i < NODES; i++)
    tell (i);
  now_ms += 50;
}

/* RUNS_PER_S runs a second at random nodes and engines from FIRST on, of which
   the part GOOD succeeds; all nodes report. */
static void
pass (uint32_t first, uint32_t runs_per_s, double good, int64_t for_ms)
{
  int64_t end_ms = now_ms + for_ms;
  int64_t step_ms = 1000 / runs_per_s;

  for (; now_ms < end_ms; now_ms += step_ms)
    {
      uint32_t engine
          = first + (uint32_t)(random_next (&seed) % (ENGINES - first + 1));
      bool succeeds = random_unit (&seed) < good;

      add ((uint32_t)(random_next (&seed) % NODES), engine, succeeds);
      if (now_ms % REPORT_MS < step_ms)
        for (uint32_t i = 0; i < NODES; i++)
          tell (i);
    }
}

/* No run breaks: nothing is kept, and nothing reported. */
START_TEST (test_calm)
{
  struct beryl_run_outcome_report report;

  pass (1, 50, 1, 3000);
  ck_assert_double_eq (success_at (0, 1), 1);
  beryl_run_outcomes_report (nodes[0], &report, now_ms);
  ck_assert_uint_eq (report.count, 0);
}
END_TEST

/* One engine resets all of its runs: it alone is avoided, by all nodes. */
START_TEST (test_one_engine)
{
  pass (1, 50, 1, 1000);
  for (uint32_t i = 0; i < 4; i++)
    add (i, 3, false);
  tell_all ();
  for (uint32_t i = 0; i < NODES; i++)
    {
      ck_assert (!is_sound (i, 3));
      ck_assert (is_sound (i, 4));
    }
}
END_TEST

/* A run that breaks for a reason of its own is soon forgotten. */
START_TEST (test_one_run)
{
  add (0, 3, false);
  tell (0);
  ck_assert (is_sound (1, 4));
  pass (1, 50, 1, 4000);
  ck_assert (is_sound (1, 3));
}
END_TEST

/* All engines reset six runs of ten.  A node that sees one run in two seconds
   knows it, also of engines that it has never used. */
START_TEST (test_all_engines)
{
  uint32_t sound = 0;

  pass (1, 30, 0.4, 6000);
  for (uint32_t engine = 1; engine <= ENGINES; engine++)
    sound += is_sound (5, engine);
  ck_assert_uint_le (sound, ENGINES / 10);
  ck_assert (!is_sound (5, ENGINES + 1));
  ck_assert_double_ge (success_at (5, ENGINES + 1), 0.4);
}
END_TEST

/* Three of them work well: they are told apart. */
START_TEST (test_few_sound)
{
  for (int i = 0; i < 6; i++)
    {
      pass (4, 30, 0.4, 1000);
      for (uint32_t engine = 1; engine <= 3; engine++)
        add ((uint32_t)i * 3 + engine, engine, true);
    }
  tell_all ();
  for (uint32_t engine = 1; engine <= 3; engine++)
    ck_assert (is_sound (40, engine));
  ck_assert (!is_sound (40, 4));
}
END_TEST

/* All runs broke, and all engines work again: with a few probes a second, all
   nodes use them again within two seconds. */
START_TEST (test_recovery)
{
  pass (1, 5, 0, 10000);
  ck_assert (!is_sound (0, 1));
  pass (1, 5, 1, 2000);
  for (uint32_t i = 0; i < NODES; i++)
    ck_assert (is_sound (i, 1));
}
END_TEST

/* They break again right after. */
START_TEST (test_no_recovery)
{
  pass (1, 5, 0, 10000);
  pass (1, 5, 1, 2000);
  pass (1, 30, 0, 400);
  for (uint32_t i = 0; i < NODES; i++)
    ck_assert (!is_sound (i, 1));
}
END_TEST

/* A node that was wrong and has ended, or is cut off, is not believed for
   ever. */
START_TEST (test_silent_peer)
{
  for (int i = 0; i < 8; i++)
    add (0, 3, false);
  tell (0);
  ck_assert (!is_sound (1, 3));
  now_ms += 60000;
  ck_assert (is_sound (1, 3));
}
END_TEST

/* A node knows many engines that break: the report stays bounded. */
START_TEST (test_many_engines)
{
  for (uint32_t engine = 1; engine < 500; engine++)
    add (0, engine, false);
  tell (0);
  ck_assert (!is_sound (1, 600));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("run outcomes");
  TCase *tcase = tcase_create ("run outcomes");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_calm);
  tcase_add_test (tcase, test_one_engine);
  tcase_add_test (tcase, test_one_run);
  tcase_add_test (tcase, test_all_engines);
  tcase_add_test (tcase, test_few_sound);
  tcase_add_test (tcase, test_recovery);
  tcase_add_test (tcase, test_no_recovery);
  tcase_add_test (tcase, test_silent_peer);
  tcase_add_test (tcase, test_many_engines);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
