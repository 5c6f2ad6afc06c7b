#include <check.h>

#include "../suite.h"
#include "demo.h"
#include "testbed.h"

/* The store comes back from a copy that is older than what it has
 * acknowledged, and counts revisions from there again. */

#define NODES 3
/* Time from the return of the store from which nodes are held to their bounds
 * again, and a bound. */
#define CONTACT_MS 3000
#define BOUND_MS 2000
/* How long the store is away. */
#define AWAY_MS 500
/* Writes that are lost. */
#define LOST_WRITES 40
/* Time after the return in which lost writes are repeated at the latest. */
#define REPEATED_MS 2000
/* Time after the return from which all that is listed is believed. */
#define TRUSTED_MS 7000

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

static unsigned int
status_at (size_t node, const char *host)
{
  struct testbed_response *response = testbed_get (&t, node, host, "/x", "");

  testbed_wait (&t, response);
  return response->status;
}

static bool
all_serve (const char *host)
{
  for (size_t i = 0; i < NODES; i++)
    if (status_at (i, host) != 200)
      return false;
  return true;
}

static bool
all_serve_first_host (struct testbed *testbed)
{
  return all_serve ("first.example");
}

static bool
all_serve_second_host (struct testbed *testbed)
{
  return all_serve ("second.example");
}

/* Writes changes of which the copy knows nothing; the last one adds a host. */
static void
write_after_copy (void)
{
  standin_take_copy (t.standin);
  for (int i = 0; i < LOST_WRITES; i++)
    testbed_configure (&t, "plain", NULL);
  testbed_configure (&t, "plain", "first.example");
  ck_assert (testbed_run_until (&t, all_serve_first_host, CONTACT_MS));
}

static void
restore (void)
{
  standin_set_unresponsive (t.standin, true);
  testbed_run (&t, AWAY_MS);
  standin_restore_copy (t.standin);
  standin_set_unresponsive (t.standin, false);
}

static void
assert_gets_no_work (const struct standin_runner *endpoint)
{
  uint32_t before = standin_runner_executions (endpoint);

  for (size_t i = 0; i < NODES; i++)
    for (int n = 0; n < 8; n++)
      testbed_wait (&t, testbed_get (&t, i, "a.example", "/x", ""));
  ck_assert_uint_eq (standin_runner_executions (endpoint), before);
}

/* Guards against a configuration that no node takes over, since its revision
 * is smaller than one that they know from before the restore. */
START_TEST (test_change_after_restore)
{
  write_after_copy ();
  restore ();
  testbed_run (&t, CONTACT_MS);
  standin_repeat_lost_writes (t.standin);
  testbed_configure (&t, "plain", "second.example");
  ck_assert (testbed_run_until (&t, all_serve_second_host, BOUND_MS));
}
END_TEST

/* Guards against new work for an endpoint that announced after the restore
 * that it is leaving. */
START_TEST (test_leaving_after_restore)
{
  struct standin_runner *leaving = testbed_endpoint (&t, 0);

  write_after_copy ();
  restore ();
  testbed_run (&t, CONTACT_MS);
  standin_repeat_lost_writes (t.standin);
  standin_runner_drain (leaving);
  testbed_run (&t, BOUND_MS);
  assert_gets_no_work (leaving);
}
END_TEST

/* Guards against a return to the configuration of the copy before the operator
 * has written the newest one again. */
START_TEST (test_configuration_of_copy)
{
  int64_t end_ms;

  write_after_copy ();
  restore ();
  end_ms = loop_now_ms (t.loop) + REPEATED_MS;
  while (loop_now_ms (t.loop) < end_ms)
    {
      ck_assert (all_serve ("first.example"));
      testbed_run (&t, 20);
    }
  standin_repeat_lost_writes (t.standin);
  testbed_run (&t, BOUND_MS);
  ck_assert (all_serve ("first.example"));
}
END_TEST

/* Guards against new work for endpoints that the copy shows as ready: one has
 * announced since that it is leaving, the other has left. */
START_TEST (test_endpoints_of_copy)
{
  struct standin_runner *leaving = testbed_endpoint (&t, 0);
  struct standin_runner *left = testbed_endpoint (&t, 1);
  int64_t end_ms;

  write_after_copy ();
  standin_runner_drain (leaving);
  standin_runner_deregister (left);
  testbed_run (&t, BOUND_MS);
  restore ();
  end_ms = loop_now_ms (t.loop) + REPEATED_MS;
  while (loop_now_ms (t.loop) < end_ms)
    {
      testbed_run (&t, 100);
      assert_gets_no_work (leaving);
      assert_gets_no_work (left);
    }
  standin_repeat_lost_writes (t.standin);
  testbed_run (&t, BOUND_MS);
  assert_gets_no_work (leaving);
  assert_gets_no_work (left);
}
END_TEST

/* Guards against an endpoint that is never used again, since it was deleted
 * before the restore: its entry is in the copy and stays there. */
START_TEST (test_endpoint_is_back)
{
  struct standin_runner *back = testbed_endpoint (&t, 0);
  uint32_t before;

  write_after_copy ();
  standin_remove (t.standin, "servers", standin_runner_id (back));
  testbed_run (&t, BOUND_MS);
  restore ();
  testbed_run (&t, TRUSTED_MS);
  before = standin_runner_executions (back);
  for (size_t i = 0; i < NODES; i++)
    for (int n = 0; n < 8; n++)
      testbed_wait (&t, testbed_get (&t, i, "a.example", "/x", ""));
  ck_assert_uint_gt (standin_runner_executions (back), before);
}
END_TEST

/* Guards against the loss of endpoints that the copy does not know yet: they
 * write their entries again soon. */
START_TEST (test_endpoints_after_copy)
{
  json_t *entries[2];
  const char *ids[2];
  int64_t end_ms;

  for (int i = 0; i < 2; i++)
    {
      ids[i] = standin_runner_id (testbed_endpoint (&t, (size_t)i));
      entries[i]
          = json_deep_copy (standin_spec (t.standin, "servers", ids[i]));
      standin_remove (t.standin, "servers", ids[i]);
    }
  testbed_run (&t, BOUND_MS);
  standin_take_copy (t.standin);
  for (int i = 0; i < 2; i++)
    standin_put (t.standin, "servers", ids[i], entries[i]);
  testbed_run (&t, BOUND_MS);
  ck_assert (all_serve ("a.example"));
  restore ();
  end_ms = loop_now_ms (t.loop) + REPEATED_MS;
  while (loop_now_ms (t.loop) < end_ms)
    {
      testbed_run (&t, 50);
      ck_assert (all_serve ("a.example"));
    }
  standin_repeat_lost_writes (t.standin);
  testbed_run (&t, CONTACT_MS);
  ck_assert (all_serve ("a.example"));
}
END_TEST

/* Guards against endpoints that are used for ever although the store came back
 * without them and they did not write their entries again. */
START_TEST (test_lost_endpoint)
{
  struct standin_runner *lost = testbed_endpoint (&t, 0);
  const char *id = standin_runner_id (lost);
  json_t *entry = json_deep_copy (standin_spec (t.standin, "servers", id));

  standin_remove (t.standin, "servers", id);
  testbed_run (&t, BOUND_MS);
  standin_take_copy (t.standin);
  standin_put (t.standin, "servers", id, entry);
  testbed_run (&t, BOUND_MS);
  restore ();
  testbed_run (&t, REPEATED_MS + 2 * CONTACT_MS);
  assert_gets_no_work (lost);
}
END_TEST

/* Guards against a fleet without a key or without records of its nodes: the
 * next node to start would create another key, and know no peer. */
START_TEST (test_own_objects)
{
  json_t *key
      = json_deep_copy (standin_spec (t.standin, "gateway-keys", "peers"));
  json_t *value;

  standin_remove (t.standin, "gateway-keys", "peers");
  standin_remove (t.standin, "gateway-nodes", "node-1");
  standin_take_copy (t.standin);
  standin_put (t.standin, "gateway-keys", "peers", json_deep_copy (key));
  restore ();
  testbed_run (&t, CONTACT_MS);
  value = json_object_get (standin_spec (t.standin, "gateway-keys", "peers"),
                           "key");
  ck_assert (json_equal (value, json_object_get (key, "key")));
  ck_assert_uint_eq (standin_object_count (t.standin, "gateway-nodes"), NODES);
  json_decref (key);
}
END_TEST

/* Guards against a second restore that is taken for the first one. */
START_TEST (test_two_restores)
{
  write_after_copy ();
  restore ();
  testbed_run (&t, 1000);
  restore ();
  testbed_run (&t, CONTACT_MS);
  testbed_configure (&t, "plain", "second.example");
  ck_assert (testbed_run_until (&t, all_serve_second_host, BOUND_MS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway-restore");
  TCase *tcase = tcase_create ("older copy");

  tcase_set_timeout (tcase, 40);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_change_after_restore);
  tcase_add_test (tcase, test_leaving_after_restore);
  tcase_add_test (tcase, test_configuration_of_copy);
  tcase_add_test (tcase, test_endpoints_of_copy);
  tcase_add_test (tcase, test_endpoint_is_back);
  tcase_add_test (tcase, test_endpoints_after_copy);
  tcase_add_test (tcase, test_lost_endpoint);
  tcase_add_test (tcase, test_own_objects);
  tcase_add_test (tcase, test_two_restores);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
