#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

/* Many nodes choose engines at the same moment, before they can know of each
   other's choices. */

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

/* Applies at every node a peer's report of one run at each engine from FIRST
   on. */
static void
report_runs (uint32_t first, uint32_t engines)
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

/* All nodes see that one engine is emptier than the others. If each asked the
   best one, it would get twenty requests, refuse most and run out of memory,
   while the other nine have free memory. */
START_TEST (test_choices_spread_over_engines)
{
  uint32_t asked = 0;

  open_nodes (ENGINES);
  report_runs (1, ENGINES);
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

/* Refuses every reservation of FX for two seconds in which WAITING other
   requests are reported; returns how often it asked. */
static uint32_t
count_asks (struct fx *fx, size_t waiting)
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

/* At a peak a hundred requests wait at all nodes when a run ends. If all asked
   its engine, it would grant the memory several times before any node knew of
   the others' choices. Only as many ask as would fit; a request that waits
   alone asks in each round. */
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
      alone += count_asks (fx, 0);
      among_many += count_asks (fx, 100);
      fx_close (fx);
      g_free (fx);
    }
  ck_assert_uint_ge (alone, 10 * 2000 / ROUND_MS / 2);
  ck_assert_uint_ge (among_many, 1);
  ck_assert_uint_le (among_many, alone / 3);
}
END_TEST

/* Waiting requests are reported to the other nodes as runs without an engine,
   until they have a reservation. */
START_TEST (test_waiting_requests_are_reported)
{
  struct beryl_engine_run runs[4];
  struct fx *fx = g_new0 (struct fx, 1);

  terms = fx_model_terms ();
  fx_open_seeded (fx, &terms, 1);
  fx_endpoint (fx, "p0", BERYL_STAGE_PREFILL);
  fx_arrive (fx, 1);
  ck_assert (beryl_forward_report_due (fx->forward));
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

/* A message holds only one run: the one that fills an engine is reported, not
   the later request that waits. Otherwise the other nodes would take the
   engine for empty at a peak. */
START_TEST (test_runs_are_reported_first)
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

/* Fills the only engine of FX with runs reported by peers, and reports WAITING
   requests that wait for it elsewhere. */
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

/* Submits a request like those that fill the engine: its run takes some four
   seconds at the pace assumed before any stream. */
static void
arrive_long (struct fx *fx, uint64_t number)
{
  struct beryl_forward_request facts = fx_request_params (fx, number);

  facts.output_tokens_hint = 4000;
  facts.output_tokens_max = 4000;
  beryl_forward_submit (fx->forward, &facts, fx->now_ms);
}

/* At a peak, with eight runs of some four seconds each and fifty requests
   waiting, the caller is told at once that its request has not run and when to
   retry, instead of after most of a second. */
START_TEST (test_long_backlog_is_refused_at_once)
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

/* A deployment does not state its engines' memory. They are asked all the
   same, since engines count their memory themselves. */
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

/* Callers that were refused at the beginning of a peak of some seconds and
   retried after half a second met the same peak, were refused again, and had
   no further attempt. They must use the time that they have. */
START_TEST (test_retry_after_the_peak)
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

/* Without other waiting requests a request waits, since a run may end at any
   moment. */
START_TEST (test_short_backlog_waits)
{
  struct fx *fx = open_full (0);

  fx_arrive (fx, 1);
  fx_pass (fx, 300);
  ck_assert_uint_eq (fx->answers[1].ends, 0);
  fx_close (fx);
  g_free (fx);
}
END_TEST

/* Callers that are refused at a peak retry at different times: with the same
   time they would meet again and be refused for good. */
START_TEST (test_retries_are_spread)
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

  tcase_add_test (tcase, test_choices_spread_over_engines);
  tcase_add_test (tcase, test_waiting_requests_take_turns);
  tcase_add_test (tcase, test_waiting_requests_are_reported);
  tcase_add_test (tcase, test_runs_are_reported_first);
  tcase_add_test (tcase, test_long_backlog_is_refused_at_once);
  tcase_add_test (tcase, test_unknown_memory);
  tcase_add_test (tcase, test_short_backlog_waits);
  tcase_add_test (tcase, test_retries_are_spread);
  tcase_add_test (tcase, test_retry_after_the_peak);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
