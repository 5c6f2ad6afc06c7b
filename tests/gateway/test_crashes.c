#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 3
#define CRASH_PATH "/crash/"
#define MODEL_FIELDS "X-Token-Counts: 1000,1000\r\nX-Length-Hint: 1000\r\n"
/* Time after which a crashed endpoint restarts. */
#define RESTART_MS 400
/* Time by which each node knows of the third crash. */
#define PROPAGATION_MS 700
#define CRASHES_ALLOWED 3
#define REFUSED_REQUESTS (4 * NODES)

static struct testbed t;

static void
setup (void)
{
  testbed_open (&t);
  standin_set_crash (t.standin, CRASH_PATH, RESTART_MS);
}

static void
teardown (void)
{
  testbed_close (&t);
}

static struct testbed_response *
send_crashing (size_t node, bool model)
{
  return testbed_get (&t, node, model ? "model.example" : "a.example",
                      CRASH_PATH "x", model ? MODEL_FIELDS : "");
}

/* Sends the request to one node after the other until it has crashed as many
 * endpoints as allowed. */
static void
crash_runners (bool model)
{
  for (size_t i = 0; standin_counts (t.standin)->crashes < CRASHES_ALLOWED;
       i++)
    {
      ck_assert_uint_lt (i, 50);
      testbed_wait (&t, send_crashing (i % NODES, model));
      testbed_run (&t, 100);
    }
  testbed_run (&t, PROPAGATION_MS);
}

/* Sends the request to each node several times.  It must reach no endpoint,
 * and its callers must learn at once that it was not run. */
static void
assert_refused (bool model)
{
  uint32_t before = standin_counts (t.standin)->crash_requests;
  struct testbed_response *responses[REFUSED_REQUESTS];

  for (size_t i = 0; i < REFUSED_REQUESTS; i++)
    {
      responses[i] = send_crashing (i % NODES, model);
      testbed_wait (&t, responses[i]);
      testbed_run (&t, 50);
    }
  ck_assert_uint_eq (standin_counts (t.standin)->crash_requests - before, 0);
  for (size_t i = 0; i < REFUSED_REQUESTS; i++)
    {
      ck_assert (responses[i]->done);
      ck_assert_uint_eq (responses[i]->status, 503);
      ck_assert_ptr_nonnull (
          strstr (responses[i]->fields->str, "Retry-After"));
      ck_assert_int_lt (responses[i]->end_ms - responses[i]->start_ms, 200);
    }
}

static bool
node_serves (struct testbed *testbed)
{
  struct testbed_response *response = testbed_generate (testbed, 0, 1000, 500);

  testbed_wait (testbed, response);
  return response->done && response->status == 200;
}

/* Guards against a generation that crashes every engine it runs on, is retried
 * at every node and takes down one engine after the other. */
START_TEST (test_crashing_generation)
{
  testbed_start_nodes (&t, NODES);
  crash_runners (true);
  assert_refused (true);
  ck_assert (testbed_run_until (&t, node_serves, 3000));
}
END_TEST

/* The same with a plain request. */
START_TEST (test_crashing_plain_request)
{
  testbed_start_nodes (&t, NODES);
  crash_runners (false);
  assert_refused (false);
}
END_TEST

/* Guards against a restarted node that does not know of the quarantine, so
 * that the request crashes three more endpoints. */
START_TEST (test_node_restarts)
{
  testbed_start_nodes (&t, NODES);
  crash_runners (true);
  testbed_kill_node (&t, 1);
  testbed_start_node (&t, 1);
  testbed_wait_converged (&t);
  testbed_run (&t, PROPAGATION_MS);
  assert_refused (true);
}
END_TEST

/* Guards against losing the quarantine when all nodes are killed at the same
 * time. */
START_TEST (test_all_nodes_restart)
{
  testbed_start_nodes (&t, NODES);
  crash_runners (true);
  testbed_run (&t, 500);
  for (size_t i = 0; i < NODES; i++)
    testbed_kill_node (&t, i);
  testbed_start_nodes (&t, NODES);
  testbed_run (&t, PROPAGATION_MS);
  assert_refused (true);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("requests that crash endpoints");
  TCase *tcase = tcase_create ("crashes");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_crashing_generation);
  tcase_add_test (tcase, test_crashing_plain_request);
  tcase_add_test (tcase, test_node_restarts);
  tcase_add_test (tcase, test_all_nodes_restart);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
