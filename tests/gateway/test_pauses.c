#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 2
/* Requests that an endpoint may get during a pause that it has asked for. */
#define PAUSE_REQUESTS_MAX 2

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

static uint32_t
requests_in_pause (size_t i)
{
  return standin_runner_requests_in_pause (testbed_endpoint (&t, i));
}

/* Guards against requests to an endpoint that has asked for a pause, and
 * against one that gets none after it. */
START_TEST (test_endpoint_asks_for_pause)
{
  static const char *const pauses[] = { "3", "2.5" };

  testbed_send_for (&t, 0, 500);
  standin_runner_set_pause (testbed_endpoint (&t, 0), pauses[_i]);
  testbed_send_for (&t, 0, 2400);
  ck_assert_uint_le (requests_in_pause (0), PAUSE_REQUESTS_MAX);
  standin_runner_set_pause (testbed_endpoint (&t, 0), NULL);
  testbed_run (&t, 1000);
  ck_assert (testbed_serves_within (&t, 0, 0, 2000));
}
END_TEST

/* Guards against the same where all endpoints of a service ask for a pause,
 * and against callers that are not told when to come back. */
START_TEST (test_all_ask_for_pause)
{
  static const struct
  {
    size_t first, count;
  } endpoints[] = { { 0, 3 }, { 3, 2 }, { 5, 3 } };
  size_t first = endpoints[_i].first, end = first + endpoints[_i].count;
  struct testbed_response *response;

  testbed_send_for (&t, 0, 500);
  for (size_t i = first; i < end; i++)
    standin_runner_set_pause (testbed_endpoint (&t, i), "3");
  testbed_send_for (&t, 0, 2400);
  for (size_t i = first; i < end; i++)
    ck_assert_uint_le (requests_in_pause (i), PAUSE_REQUESTS_MAX);
  if (_i == 0)
    {
      response = testbed_get (&t, 0, "a.example", "/once/x", "");
      testbed_wait (&t, response);
      ck_assert_uint_eq (response->status, 503);
      ck_assert_ptr_nonnull (strstr (response->fields->str, "Retry-After: 0"));
      ck_assert_int_lt (response->end_ms - response->start_ms, 100);
    }
  for (size_t i = first; i < end; i++)
    standin_runner_set_pause (testbed_endpoint (&t, i), NULL);
  testbed_run (&t, 1500);
  response = testbed_get (&t, 0, "a.example", "/once/x", "");
  testbed_wait (&t, response);
  ck_assert_uint_eq (response->status, 200);
  response = testbed_generate (&t, 0, 400, 100);
  testbed_wait (&t, response);
  ck_assert_uint_eq (response->status, 200);
}
END_TEST

/* Guards against an endpoint that is lost for a value that is no pause. */
START_TEST (test_unreadable_pause)
{
  static const char *const pauses[]
      = { "", "-3", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT" };

  testbed_send_for (&t, 0, 300);
  standin_runner_set_pause (testbed_endpoint (&t, 0), pauses[_i]);
  testbed_send_for (&t, 0, 300);
  standin_runner_set_pause (testbed_endpoint (&t, 0), NULL);
  ck_assert (testbed_serves_within (&t, 0, 0, 1000));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("endpoints that ask for a pause");
  TCase *tcase = tcase_create ("endpoints that ask for a pause");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_endpoint_asks_for_pause, 0, 2);
  tcase_add_loop_test (tcase, test_all_ask_for_pause, 0, 3);
  tcase_add_loop_test (tcase, test_unreadable_pause, 0, 5);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
