#include <string.h>

#include "../suite.h"
#include "testbed.h"

/* Nodes of one data centre, enough for some of them to be followers, and how
 * many of them watch. */
#define NODES 8
#define WATCHERS 2
/* endpoint_leave_ms of the nodes: by then each must know of a leaving
 * endpoint. */
#define LEAVE_MS 2000
/* Time by which the last watch calls of new followers have ended. */
#define SETTLED_MS 5000

static struct testbed t;

static void
setup (void)
{
  testbed_open (&t);
  testbed_start_nodes (&t, NODES);
  testbed_run (&t, SETTLED_MS);
}

static void
teardown (void)
{
  testbed_close (&t);
}

static bool
is_watcher (size_t i)
{
  struct testbed_response *response
      = testbed_query (&t, i, TESTBED_METRICS_PORT, "/metrics");

  return strstr (response->body->str, "beryl_gateway_endpoint_watcher 1")
         != NULL;
}

static uint32_t
count_list_calls (int64_t ms)
{
  uint32_t before = standin_counts (t.standin)->list_calls;

  testbed_run (&t, ms);
  return standin_counts (t.standin)->list_calls - before;
}

/* Checks that no running node sends requests to endpoint 0. */
static void
assert_unused (void)
{
  uint32_t before = standin_runner_executions (testbed_endpoint (&t, 0));

  for (size_t i = 0; i < NODES; i++)
    for (int k = 0; t.nodes[i] != NULL && k < 4; k++)
      testbed_wait (&t, testbed_get (&t, i, "a.example", "/x", ""));
  ck_assert_uint_eq (standin_runner_executions (testbed_endpoint (&t, 0)),
                     before);
}

/* Guards against a change of the list that costs a call by every node instead
 * of one by each watcher, or that some nodes do not learn of.  A watcher may
 * make one call more in either time by how the times lie to its calls. */
START_TEST (test_change_is_relayed)
{
  uint32_t idle_calls = count_list_calls (LEAVE_MS);
  uint32_t watchers = 0;
  uint32_t change_calls;

  for (size_t i = 0; i < NODES; i++)
    watchers += is_watcher (i);
  ck_assert_uint_eq (watchers, WATCHERS);
  standin_runner_drain (testbed_endpoint (&t, 0));
  change_calls = count_list_calls (LEAVE_MS);
  ck_assert_uint_le (change_calls, idle_calls + 2 * WATCHERS);
  assert_unused ();
}
END_TEST

/* Guards against followers that keep waiting for dead watchers: an endpoint
 * that leaves at that time would still get their requests. */
START_TEST (test_watchers_lost)
{
  for (size_t i = 0; i < NODES; i++)
    if (is_watcher (i))
      testbed_kill_node (&t, i);
  standin_runner_drain (testbed_endpoint (&t, 0));
  testbed_run (&t, LEAVE_MS);
  assert_unused ();
}
END_TEST

/* Guards against followers that never learn of a change because the store
 * compacted its history before a watcher's next call. */
START_TEST (test_history_compacted)
{
  standin_runner_drain (testbed_endpoint (&t, 0));
  standin_compact (t.standin);
  testbed_run (&t, LEAVE_MS);
  assert_unused ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway-relay");
  TCase *tcase = tcase_create ("gateway-relay");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_change_is_relayed);
  tcase_add_test (tcase, test_watchers_lost);
  tcase_add_test (tcase, test_history_compacted);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
