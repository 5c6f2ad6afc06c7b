#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

/* Many nodes choose engines at the same moment, before they can hear of each
 * other's choices. */

#define NODES 20
#define ENGINES 10
#define ROUND_MS 120

static struct fx *nodes[NODES];
static struct fx_terms terms;

static void
open_nodes (uint32_t engines)
{
  char id[16];

  terms = fx_model_terms ();
  for (int n = 0; n < NODES; n++)
    {
      nodes[n] = g_new0 (struct fx, 1);
      fx_open_seeded (nodes[n], &terms, (uint64_t)n + 1);
      fx_endpoint (nodes[n], "p0", BERYL_STAGE_PREFILL);
      for (uint32_t i = 0; i < engines; i++)
        {
          g_snprintf (id, sizeof id, "d%u", i);
          fx_endpoint (nodes[n], id, BERYL_STAGE_DECODE);
        }
    }
}

static void
close_nodes (void)
{
  for (int n = 0; n < NODES; n++)
    {
      fx_close (nodes[n]);
      g_free (nodes[n]);
    }
}

/* A peer tells every node that each engine from FIRST on has one run. */
static void
tell_runs (uint32_t first, uint32_t engines)
{
  struct beryl_engine_run runs[ENGINES] = { 0 };
  size_t count = 0;
  char id[16];

  for (uint32_t i = first; i < engines; i++)
    {
      g_snprintf (id, sizeof id, "d%u", i);
      runs[count++] = (struct beryl_engine_run){
        .engine = beryl_name_hash (id),
        .prompt_tokens = 2000,
        .expected_tokens = 1000,
        .generated_tokens = 100,
        .started = true,
      };
    }
  for (int n = 0; n < NODES; n++)
    beryl_forward_peer_runs (nodes[n]->forward, "peer", runs, count,
                             nodes[n]->now_ms);
}

/* All nodes see that one engine is emptier than the others.  If each asked
 * the best one, twenty requests would meet at it: it refuses most, runs out of
 * memory, and the other nine stand with room. */
START_TEST (test_nodes_do_not_meet_at_one_engine)
{
  uint32_t asked = 0;

  open_nodes (ENGINES);
  tell_runs (1, ENGINES);
  for (int n = 0; n < NODES; n++)
    {
      fx_arrive (nodes[n], 1);
      asked += strcmp (fx_last (nodes[n], BERYL_EXCHANGE_RESERVE)->endpoint,
                       "d0")
               == 0;
    }
  ck_assert_uint_ge (asked, 1);
  ck_assert_uint_le (asked, NODES / 2);
  close_nodes ();
}
END_TEST

static void
tell_waiting (struct fx *fx, size_t count)
{
  struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX] = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      runs[i].service = beryl_name_hash (FX_SERVICE);
      runs[i].prompt_tokens = 1000;
    }
  beryl_forward_peer_runs (fx->forward, "peer", runs, count, fx->now_ms);
}

/* Has the request of FX refused whenever it asks, for two seconds in which it
 * is told of WAITING other requests; returns how often it asked. */
static uint32_t
asks (struct fx *fx, size_t waiting)
{
  uint32_t before = fx_count (fx, BERYL_EXCHANGE_RESERVE);

  for (int i = 0; i < 100; i++)
    {
      struct fx_exchange *x = fx_open_of (fx, 1, BERYL_EXCHANGE_RESERVE);

      tell_waiting (fx, waiting);
      if (x != NULL)
        fx_refused (fx, x);
      fx_pass (fx, 20);
    }
  return fx_count (fx, BERYL_EXCHANGE_RESERVE) - before;
}

/* At a peak a hundred requests wait at all nodes when a run ends somewhere.
 * Asked by all of them, its engine would grant room several times over before
 * any node has heard of the others.  As many ask as there are places, and one
 * that waits alone asks in each round. */
START_TEST (test_waiting_requests_take_turns)
{
  uint32_t alone = 0, among_many = 0;

  terms = fx_model_terms ();
  terms.route.objective_ms = 10000;
  for (int n = 0; n < 10; n++)
    {
      struct fx *fx = g_new0 (struct fx, 1);

      fx_open_seeded (fx, &terms, (uint64_t)n + 1);
      fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
      fx_endpoint (fx, "d0", BERYL_STAGE_DECODE);
      fx_arrive (fx, 1);
      alone += asks (fx, 0);
      among_many += asks (fx, 100);
      fx_close (fx);
      g_free (fx);
    }
  ck_assert_uint_ge (alone, 10 * 2000 / ROUND_MS / 2);
  ck_assert_uint_ge (among_many, 1);
  ck_assert_uint_le (among_many, alone / 3);
}
END_TEST

/* Waiting requests are told to the other nodes, as runs without an engine, and
 * not any more once they have a place. */
START_TEST (test_waiting_requests_are_told)
{
  struct beryl_engine_run runs[4];
  struct fx *fx = g_new0 (struct fx, 1);

  terms = fx_model_terms ();
  fx_open_seeded (fx, &terms, 1);
  fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
  fx_arrive (fx, 1);
  ck_assert (beryl_forward_runs_changed (fx->forward));
  ck_assert_uint_eq (
      beryl_forward_runs (fx->forward, runs, G_N_ELEMENTS (runs), fx->now_ms),
      1);
  ck_assert_uint_eq (runs[0].engine, 0);
  fx_endpoint (fx, "d0", BERYL_STAGE_DECODE);
  fx_pass (fx, 200);
  fx_ok (fx, fx_last (fx, BERYL_EXCHANGE_RESERVE), "hold-1");
  ck_assert_uint_eq (
      beryl_forward_runs (fx->forward, runs, G_N_ELEMENTS (runs), fx->now_ms),
      1);
  ck_assert_uint_eq (runs[0].engine, beryl_name_hash ("d0"));
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* A message has room for one: the run that fills an engine is told, not the
 * request that came after it and waits.  Otherwise the other nodes would take
 * the engine for empty right at a peak. */
START_TEST (test_runs_are_told_first)
{
  struct beryl_engine_run run;
  struct fx *fx = g_new0 (struct fx, 1);

  terms = fx_model_terms ();
  terms.route.objective_ms = 20000; /* it waits */
  fx_open_seeded (fx, &terms, 1);
  fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
  fx_endpoint (fx, "d0", BERYL_STAGE_DECODE);
  fx_arrive (fx, 1);
  fx_ok (fx, fx_last (fx, BERYL_EXCHANGE_RESERVE), "hold-1");
  fx_remove (fx, "d0");
  fx_arrive (fx, 2);
  ck_assert_uint_eq (beryl_forward_runs (fx->forward, &run, 1, fx->now_ms), 1);
  ck_assert_uint_eq (run.engine, beryl_name_hash ("d0"));
  ck_assert_uint_eq (fx->answers[2].ends, 0);
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* Fills the only engine of FX with runs that peers told of, and has WAITING
 * requests wait for it elsewhere. */
static void
fill (struct fx *fx, size_t waiting)
{
  struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX] = { 0 };
  size_t count = 0;

  for (; count < 8; count++)
    runs[count] = (struct beryl_engine_run){
      .engine = beryl_name_hash ("d0"),
      .prompt_tokens = FX_KV_TOKENS / 8,
      .expected_tokens = 1000,
      .started = true,
    };
  for (size_t i = 0; i < waiting; i++)
    runs[count++].service = beryl_name_hash (FX_SERVICE);
  beryl_forward_peer_runs (fx->forward, "peer", runs, count, fx->now_ms);
}

static struct fx *
open_full (size_t waiting)
{
  struct fx *fx = g_new0 (struct fx, 1);

  terms = fx_model_terms ();
  fx_open_seeded (fx, &terms, 1);
  fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
  fx_endpoint (fx, "d0", BERYL_STAGE_DECODE);
  fill (fx, waiting);
  return fx;
}

/* A request like those that fill the engine: its run takes some four seconds
 * at the pace that is assumed before any stream was seen. */
static void
arrive_long (struct fx *fx, uint64_t number)
{
  struct beryl_forward_request facts = fx_facts (fx, number);

  facts.output_tokens_hint = 4000;
  facts.output_tokens_max = 4000;
  beryl_forward_arrived (fx->forward, &facts, fx->now_ms);
}

/* A peak: eight runs of some four seconds each, and fifty requests before this
 * one.  Its caller hears at once that it has not run and when to come back,
 * instead of after the better part of a second. */
START_TEST (test_long_backlog_is_told_at_once)
{
  struct fx *fx = open_full (50);

  arrive_long (fx, 1);
  ck_assert (fx->answers[1].refused);
  ck_assert (fx->answers[1].refusal.not_run);
  ck_assert_uint_eq (fx->answers[1].refusal.status, 503);
  ck_assert_int_ge (fx->answers[1].refusal.retry_after_ms, 1000);
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* A deployment does not say how much memory its engines have.  They are asked
 * all the same: they count for themselves. */
START_TEST (test_unknown_memory)
{
  struct fx *fx = g_new0 (struct fx, 1);

  terms = fx_model_terms ();
  terms.engine.kv_tokens = 0;
  fx_open_seeded (fx, &terms, 1);
  fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
  fx_endpoint (fx, "d0", BERYL_STAGE_DECODE);
  fx_arrive (fx, 1);
  ck_assert_ptr_nonnull (fx_open_of (fx, 1, BERYL_EXCHANGE_RESERVE));
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* Story: a peak lasts some seconds.  Callers that were refused at its
 * beginning and told to come back in half a second met the same peak, were
 * refused again, and had no further try.  They use the time that they have. */
START_TEST (test_callers_come_back_after_the_peak)
{
  struct fx *fx = open_full (20);
  int64_t most_ms = terms.route.timeout_ms / 3;

  for (uint64_t i = 1; i <= 4; i++)
    {
      arrive_long (fx, i);
      ck_assert (fx->answers[i].refused);
      ck_assert_int_ge (fx->answers[i].refusal.retry_after_ms, most_ms / 2);
      ck_assert_int_le (fx->answers[i].refusal.retry_after_ms, most_ms);
      fx_pass (fx, 1);
    }
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* With nobody before it a request waits: a run may end at any moment. */
START_TEST (test_short_backlog_is_waited_for)
{
  struct fx *fx = open_full (0);

  fx_arrive (fx, 1);
  fx_pass (fx, 300);
  ck_assert_uint_eq (fx->answers[1].ends, 0);
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* Callers that are refused at a peak come back one after the other: told the
 * same time, they would meet again and be refused for good. */
START_TEST (test_callers_come_back_one_by_one)
{
  struct fx *fx = open_full (20);
  int64_t before_ms = 0;

  for (uint64_t i = 1; i <= 4; i++)
    {
      arrive_long (fx, i);
      ck_assert (fx->answers[i].refused);
      ck_assert_int_le (fx->answers[i].refusal.retry_after_ms,
                        terms.route.timeout_ms / 3);
      ck_assert (fx->answers[i].refusal.retry_after_ms > before_ms
                 || before_ms == terms.route.timeout_ms / 3);
      before_ms = fx->answers[i].refusal.retry_after_ms;
    }
  fx_close (fx);
  g_free (fx);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("choices of many nodes");
  TCase *tcase = tcase_create ("choice");

  tcase_add_test (tcase, test_nodes_do_not_meet_at_one_engine);
  tcase_add_test (tcase, test_waiting_requests_take_turns);
  tcase_add_test (tcase, test_waiting_requests_are_told);
  tcase_add_test (tcase, test_runs_are_told_first);
  tcase_add_test (tcase, test_long_backlog_is_told_at_once);
  tcase_add_test (tcase, test_unknown_memory);
  tcase_add_test (tcase, test_short_backlog_is_waited_for);
  tcase_add_test (tcase, test_callers_come_back_one_by_one);
  tcase_add_test (tcase, test_callers_come_back_after_the_peak);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
