#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 3
/* Time after a cut from which on callers of the node are served again. */
#define CONTACT_MS 3000
#define REQUESTS 24
#define CUT_MODES 3
/* Interval of the requests. */
#define GAP_MS 20

static struct testbed t;

static const enum standin_cut cuts[CUT_MODES]
    = { STANDIN_CUT_REFUSES, STANDIN_CUT_RESETS, STANDIN_CUT_HANGS };

static void
setup (void)
{
  testbed_open (&t);
  for (size_t i = 0; i < NODES; i++)
    testbed_link_node (&t, i);
  testbed_start_nodes (&t, NODES);
}

static void
teardown (void)
{
  testbed_close (&t);
}

/* A mix of idempotent, at-most-once and streamed requests. */
static struct testbed_response *
send_any (size_t node, size_t number)
{
  if (number % 3 == 0)
    return testbed_generate (&t, node, 1000, 300);
  return testbed_get (&t, node, "a.example",
                      number % 3 == 1 ? "/x" : "/once/x", "");
}

/* Sends requests to NODE and returns how many of them succeed. */
static uint32_t
count_served (size_t node)
{
  struct testbed_response *responses[REQUESTS];
  uint32_t served = 0;

  for (size_t i = 0; i < REQUESTS; i++)
    {
      responses[i] = send_any (node, i);
      testbed_run (&t, GAP_MS);
    }
  for (size_t i = 0; i < REQUESTS; i++)
    {
      testbed_wait (&t, responses[i]);
      served += responses[i]->done && responses[i]->status == 200
                && strstr (responses[i]->fields->str, "X-Response-Seal");
    }
  return served;
}

/* Guards against a node that has lost all endpoints, refuses what callers send
 * to it, and leaves them to try the others. */
START_TEST (test_served_without_endpoints)
{
  standin_link_cut (t.links[0], cuts[_i]);
  count_served (0);
  testbed_run (&t, CONTACT_MS);
  ck_assert_uint_eq (count_served (0), REQUESTS);
  ck_assert_uint_eq (count_served (1), REQUESTS);
  standin_link_cut (t.links[0], STANDIN_CUT_NONE);
  testbed_run (&t, CONTACT_MS);
  ck_assert_uint_eq (count_served (0), REQUESTS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("nodes without endpoints");
  TCase *tcase = tcase_create ("handoff");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_served_without_endpoints, 0, CUT_MODES);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
