#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 2
/* How long after an answer that says so an endpoint may get requests. */
#define DRAIN_MS 2000

static struct testbed t;

static void
setup (void)
{
  testbed_open (&t);
  testbed_start_nodes (&t, NODES);
}

static void
teardown (void)
{
  testbed_close (&t);
}

/* Guards against requests to an endpoint whose answers say that it leaves,
 * before the store says so or while the store is away. */
START_TEST (test_endpoint_says_leaving)
{
  size_t leaving = _i == 0 ? 0 : 5; /* a plain one; a decode engine */

  testbed_send_for (&t, 0, 500);
  standin_set_unresponsive (t.standin, true);
  standin_runner_say_leaving (testbed_endpoint (&t, leaving));
  testbed_send_for (&t, 0, DRAIN_MS);
  ck_assert (!testbed_serves_within (&t, 0, leaving, DRAIN_MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("endpoints that say that they leave");
  TCase *tcase = tcase_create ("endpoints that say that they leave");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_endpoint_says_leaving, 0, 2);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
