#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

/* Reports of endpoint states between nodes. */

#define NODES 3
#define ENGINES 8

static struct fx *nodes[NODES];
static uint64_t requests;

static void
setup (void)
{
  struct fx_terms terms = fx_model_terms ();
  char id[16];

  requests = 0;
  for (int n = 0; n < NODES; n++)
    {
      nodes[n] = g_new0 (struct fx, 1);
      fx_open_seeded (nodes[n], &terms, (uint64_t)n + 1);
      fx_endpoint (nodes[n], "p0", BERYL_STAGE_PREFILL);
      for (int i = 0; i < ENGINES; i++)
        {
          g_snprintf (id, sizeof id, "d%d", i);
          fx_endpoint (nodes[n], id, BERYL_STAGE_DECODE);
        }
    }
}

static void
teardown (void)
{
  for (int n = 0; n < NODES; n++)
    {
      fx_close (nodes[n]);
      g_free (nodes[n]);
    }
}

static void
tell (int from, int to)
{
  struct beryl_endpoint_updates news = { 0 };
  char name[16];

  g_snprintf (name, sizeof name, "node-%d", from);
  beryl_forward_endpoint_reports (nodes[from]->forward, &news,
                                  nodes[from]->now_ms);
  beryl_forward_peer_endpoint_reports (nodes[to]->forward, name, &news,
                                       nodes[to]->now_ms);
}

/* Submits the next request at node N; returns its reservation call. */
static struct fx_exchange *
reserve_call (int n)
{
  struct fx_exchange *x;

  fx_arrive (nodes[n], ++requests);
  x = fx_open_of (nodes[n], requests, BERYL_EXCHANGE_RESERVE);
  ck_assert_ptr_nonnull (x);
  return x;
}

/* Sends requests to node N until it asks ENGINE for a reservation; other
   engines grant theirs. */
static struct fx_exchange *
reserve_call_to (int n, const char *engine)
{
  for (int i = 0; i < 200; i++)
    {
      struct fx_exchange *x = reserve_call (n);

      if (strcmp (x->endpoint, engine) == 0)
        return x;
      fx_refused (nodes[n], x);
      fx_pass (nodes[n], 5000);
    }
  ck_abort_msg ("never asked %s", engine);
  return NULL;
}

/* Returns whether node N asks ENGINE in any of many rounds within a few
   milliseconds. */
static bool
still_asks (int n, const char *engine)
{
  for (int i = 0; i < 100; i++)
    {
      struct fx_exchange *x = reserve_call (n);

      if (strcmp (x->endpoint, engine) == 0)
        return true;
      beryl_forward_cancel (nodes[n]->forward, requests, nodes[n]->now_ms);
    }
  return false;
}

/* Node N cannot connect to ENGINE, and reaches the next one that it asks. */
static void
fail_to_connect (int n, const char *engine)
{
  fx_broken (nodes[n], reserve_call_to (n, engine), BERYL_FAILURE_CONNECT,
             false);
  fx_refused (nodes[n],
              fx_open_of (nodes[n], requests, BERYL_EXCHANGE_RESERVE));
}

/* An engine crashed and restarted under a new id at the same address. Its old
   entry stayed listed for three seconds, and each of 64 nodes sent requests
   there until its own call met the other process: each cost one of the few
   repeats, and requests were refused for lack of them. A single such answer
   proves the old engine's end to all nodes. */
START_TEST (test_replaced)
{
  struct beryl_engine_result misdirected
      = { .status = 421, .not_run = true, .misdirected = true };

  ck_assert (still_asks (0, "d3"));
  ck_assert (still_asks (1, "d3"));
  fx_result (nodes[0], reserve_call_to (0, "d3"), &misdirected);
  ck_assert (!still_asks (0, "d3"));
  tell (0, 1);
  ck_assert (!still_asks (1, "d3"));
  fx_pass (nodes[1], 60000);
  ck_assert (!still_asks (1, "d3"));
}
END_TEST

/* A delayed heartbeat may write the entry of an ended engine once more. The
   proof overrides it. */
START_TEST (test_late_entry_of_replaced)
{
  struct beryl_engine_result misdirected
      = { .status = 421, .not_run = true, .misdirected = true };

  fx_result (nodes[0], reserve_call_to (0, "d3"), &misdirected);
  fx_endpoint (nodes[0], "d3", BERYL_STAGE_DECODE);
  ck_assert (!still_asks (0, "d3"));
}
END_TEST

/* A fifth of the engines became unreachable, and a node with one request a
   second lost 150 ms to each of them by itself. Reports of two nodes that
   could not connect are trusted. */
START_TEST (test_unreachable_engine)
{
  fail_to_connect (0, "d3");
  tell (0, 2);
  ck_assert (still_asks (2, "d3"));
  nodes[1]->now_ms = nodes[0]->now_ms;
  fail_to_connect (1, "d3");
  tell (1, 2);
  ck_assert (!still_asks (2, "d3"));
  fx_pass (nodes[2], 3000);
  ck_assert (still_asks (2, "d3"));
}
END_TEST

/* Two reports of one node do not count: it may be cut off itself. */
START_TEST (test_single_report_is_ignored)
{
  fail_to_connect (0, "d3");
  tell (0, 2);
  tell (0, 2);
  ck_assert (still_asks (2, "d3"));
}
END_TEST

/* A recent answer to this node overrides reports of others. */
START_TEST (test_own_answer_overrides_reports)
{
  struct beryl_live_endpoint *live;

  fail_to_connect (0, "d3");
  fail_to_connect (1, "d3");
  live = beryl_live_set_find (nodes[2]->endpoints, "d3");
  beryl_live_record_outcome (live, BERYL_LIVE_ANSWERED, 10, nodes[2]->now_ms);
  tell (0, 2);
  tell (1, 2);
  ck_assert (still_asks (2, "d3"));
}
END_TEST

/* Two nodes are cut off from all engines. If the others trusted their reports,
   no request would be served any more. */
START_TEST (test_isolated_nodes_are_ignored)
{
  struct beryl_endpoint_updates all = { 0 };
  char id[16];

  for (int i = 0; i < ENGINES; i++)
    {
      g_snprintf (id, sizeof id, "d%d", i);
      beryl_endpoint_set_add (&all.unreachable, beryl_name_hash (id));
    }
  beryl_forward_peer_endpoint_reports (nodes[2]->forward, "node-0", &all,
                                       nodes[2]->now_ms);
  beryl_forward_peer_endpoint_reports (nodes[2]->forward, "node-1", &all,
                                       nodes[2]->now_ms);
  reserve_call (2);
}
END_TEST

/* Guards against requests to an engine that has stated in an answer of any
 * kind that it leaves, by its node and by those that hear of it, although its
 * entry says that it is ready. */
START_TEST (test_engine_says_leaving)
{
  struct beryl_engine_result leaving
      = { .ok = _i == 0, .status = _i == 0 ? 200 : 503, .leaving = true };

  strcpy (leaving.handle, "h");
  ck_assert (still_asks (1, "d3"));
  fx_result (nodes[0], reserve_call_to (0, "d3"), &leaving);
  fx_endpoint (nodes[0], "d3", BERYL_STAGE_DECODE);
  ck_assert (!still_asks (0, "d3"));
  tell (0, 1);
  ck_assert (!still_asks (1, "d3"));
  fx_pass (nodes[1], 60000);
  ck_assert (!still_asks (1, "d3"));
}
END_TEST

/* Guards against reports of a leaving engine that never end. */
START_TEST (test_leaving_report_ends)
{
  struct beryl_engine_result leaving = { .status = 503, .leaving = true };
  struct beryl_endpoint_updates news = { 0 };

  fx_result (nodes[0], reserve_call_to (0, "d3"), &leaving);
  fx_pass (nodes[0], 10000);
  beryl_forward_endpoint_reports (nodes[0]->forward, &news, nodes[0]->now_ms);
  ck_assert_uint_eq (news.leaving.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("news of endpoints");
  TCase *tcase = tcase_create ("news");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase, test_engine_says_leaving, 0, 2);
  tcase_add_test (tcase, test_leaving_report_ends);
  tcase_add_test (tcase, test_replaced);
  tcase_add_test (tcase, test_late_entry_of_replaced);
  tcase_add_test (tcase, test_unreachable_engine);
  tcase_add_test (tcase, test_single_report_is_ignored);
  tcase_add_test (tcase, test_own_answer_overrides_reports);
  tcase_add_test (tcase, test_isolated_nodes_are_ignored);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
