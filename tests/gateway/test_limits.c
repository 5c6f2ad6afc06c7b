#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 3
/* Time that nodes may need to comply with a limit, and length of the windows
 * in which the rate is checked. */
#define PROPAGATION_MS 1500
#define WINDOW_MS 4000
/* Interval between two requests. */
#define SPACING_MS 12

static struct testbed t;

static void
setup (void)
{
  testbed_open (&t);
}

static void
teardown (void)
{
  testbed_close (&t);
}

/* Sends plain requests to the nodes in turn for MS; returns how many
 * succeeded. */
static uint32_t
send_plain (int64_t ms, uint32_t *sent)
{
  int64_t end_ms = loop_now_ms (t.loop) + ms;
  GPtrArray *responses = g_ptr_array_new ();
  uint32_t succeeded = 0;

  while (loop_now_ms (t.loop) < end_ms)
    {
      g_ptr_array_add (responses, testbed_get (&t, responses->len % NODES,
                                               "a.example", "/x", ""));
      testbed_run (&t, SPACING_MS);
    }
  for (guint i = 0; i < responses->len; i++)
    {
      struct testbed_response *response = g_ptr_array_index (responses, i);

      testbed_wait (&t, response);
      succeeded += response->done && response->status == 200;
    }
  *sent = responses->len;
  g_ptr_array_free (responses, TRUE);
  return succeeded;
}

static void
assert_rate_limited (size_t endpoint, double per_s, int64_t since_ms)
{
  ck_assert_uint_le (standin_runner_peak_requests (
                         testbed_endpoint (&t, endpoint), WINDOW_MS, since_ms),
                     (uint32_t)(1.5 * per_s * WINDOW_MS / 1000 + 5));
}

/* Guards against endpoints that announce a rate limit and still get as many
 * requests as before. */
START_TEST (test_limits_of_plain_endpoints)
{
  int64_t limited_ms;
  uint32_t sent, succeeded;

  testbed_start_nodes (&t, NODES);
  send_plain (300, &sent);
  standin_runner_set_rate_limit (testbed_endpoint (&t, 0), "4.2");
  standin_runner_set_rate_limit (testbed_endpoint (&t, 1), "2");
  limited_ms = loop_now_ms (t.loop);
  succeeded = send_plain (PROPAGATION_MS + WINDOW_MS + 500, &sent);
  assert_rate_limited (0, 4.2, limited_ms + PROPAGATION_MS);
  assert_rate_limited (1, 2, limited_ms + PROPAGATION_MS);
  /* The third endpoint has room for all requests. */
  ck_assert_uint_eq (succeeded, sent);
  /* The limited endpoints still get requests. */
  ck_assert_uint_ge (standin_runner_peak_requests (testbed_endpoint (&t, 0),
                                                   WINDOW_MS, limited_ms),
                     8);
}
END_TEST

/* Guards against a restarted node that uses the whole limit by itself. */
START_TEST (test_node_restarts)
{
  int64_t limited_ms;
  uint32_t sent;

  testbed_start_nodes (&t, NODES);
  standin_runner_set_rate_limit (testbed_endpoint (&t, 0), "3");
  standin_runner_set_rate_limit (testbed_endpoint (&t, 1), "3");
  limited_ms = loop_now_ms (t.loop);
  send_plain (PROPAGATION_MS, &sent);
  testbed_kill_node (&t, 1);
  testbed_start_node (&t, 1);
  testbed_wait_converged (&t);
  send_plain (WINDOW_MS + 500, &sent);
  assert_rate_limited (0, 3, limited_ms + PROPAGATION_MS);
  assert_rate_limited (1, 3, limited_ms + PROPAGATION_MS);
}
END_TEST

/* Guards against requests that wait until their deadlines because all
 * endpoints of a service have reached their limits. */
START_TEST (test_all_endpoints_limited)
{
  int64_t limited_ms;
  uint32_t sent, succeeded;
  struct testbed_response *response;

  testbed_start_nodes (&t, NODES);
  for (size_t i = 0; i < 3; i++)
    standin_runner_set_rate_limit (testbed_endpoint (&t, i), "2");
  limited_ms = loop_now_ms (t.loop);
  succeeded = send_plain (PROPAGATION_MS + WINDOW_MS, &sent);
  for (size_t i = 0; i < 3; i++)
    assert_rate_limited (i, 2, limited_ms + PROPAGATION_MS);
  ck_assert_uint_gt (succeeded, 20);
  do
    {
      response = testbed_get (&t, 0, "a.example", "/x", "");
      testbed_wait (&t, response);
    }
  while (response->status == 200);
  ck_assert_uint_eq (response->status, 503);
  ck_assert_ptr_nonnull (strstr (response->fields->str, "Retry-After"));
  ck_assert_int_lt (response->end_ms - response->start_ms, 200);
}
END_TEST

/* Guards against an endpoint that no longer announces a limit and still gets
 * as few requests as before. */
START_TEST (test_limit_removed)
{
  int64_t unlimited_ms;
  uint32_t sent;

  testbed_start_nodes (&t, NODES);
  for (size_t i = 0; i < 3; i++)
    standin_runner_set_rate_limit (testbed_endpoint (&t, i), "3");
  send_plain (PROPAGATION_MS, &sent);
  for (size_t i = 0; i < 3; i++)
    standin_runner_set_rate_limit (testbed_endpoint (&t, i), NULL);
  send_plain (PROPAGATION_MS, &sent);
  unlimited_ms = loop_now_ms (t.loop);
  ck_assert_uint_eq (send_plain (1000, &sent), sent);
  ck_assert_uint_ge (standin_runner_peak_requests (testbed_endpoint (&t, 0),
                                                   1000, unlimited_ms),
                     10);
}
END_TEST

/* The same as the first test, with engines and generations. */
START_TEST (test_limits_of_engines)
{
  int64_t limited_ms, end_ms;
  uint32_t succeeded = 0;
  GPtrArray *responses = g_ptr_array_new ();

  testbed_start_nodes (&t, NODES);
  standin_runner_set_rate_limit (testbed_endpoint (&t, 5), "1");
  standin_runner_set_rate_limit (testbed_endpoint (&t, 3), "1");
  limited_ms = loop_now_ms (t.loop);
  end_ms = limited_ms + PROPAGATION_MS + WINDOW_MS + 500;
  while (loop_now_ms (t.loop) < end_ms)
    {
      g_ptr_array_add (
          responses, testbed_generate (&t, responses->len % NODES, 500, 200));
      testbed_run (&t, 60);
    }
  for (guint i = 0; i < responses->len; i++)
    {
      struct testbed_response *response = g_ptr_array_index (responses, i);

      testbed_wait (&t, response);
      succeeded += response->done && response->status == 200;
    }
  assert_rate_limited (5, 1, limited_ms + PROPAGATION_MS);
  assert_rate_limited (3, 1, limited_ms + PROPAGATION_MS);
  ck_assert_uint_eq (succeeded, responses->len);
  g_ptr_array_free (responses, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limits of endpoints");
  TCase *tcase = tcase_create ("limits");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_limits_of_plain_endpoints);
  tcase_add_test (tcase, test_node_restarts);
  tcase_add_test (tcase, test_all_endpoints_limited);
  tcase_add_test (tcase, test_limit_removed);
  tcase_add_test (tcase, test_limits_of_engines);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
