#include <check.h>
#include <string.h>

#include "../h1/raw.h"
#include "../suite.h"
#include "testbed.h"

/* Decode engines of the testbed. */
#define DECODE_FIRST 5
#define DECODE_COUNT 3
/* One event of the testbed's engines. */
#define EVENT_TOKENS 50
#define QUICK_STREAMS 3
#define QUICK_EVENTS 10
/* A stream that lasts until the node closes idle connections, and one that
   ends before the node only at the usual pace. */
#define KEPT_EVENTS 37
#define LATE_EVENTS 30
#define SLOWNESS 3

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

/* Sends a request for EVENTS on a connection that the caller keeps. */
static void
send_stream (struct raw *caller, const char *id, uint32_t events)
{
  char *head = g_strdup_printf (
      "GET /chat HTTP/1.1\r\nHost: model.example\r\nX-Request-Id: %s\r\n"
      "X-Deadline-Ms: 14000\r\nX-Token-Counts: 1000,%u\r\nX-Model: m\r\n"
      "X-Length-Hint: %u\r\n\r\n",
      id, events * EVENT_TOKENS, events * EVENT_TOKENS);

  raw_send (caller, head);
  g_free (head);
}

/* Guards against a stream that a stopping node takes on a connection which its
   caller keeps, and cuts off since its engine is slower than the mean. */
START_TEST (test_kept_connection)
{
  struct raw *caller;
  uint32_t executions;

  testbed_start_nodes (&t, 1);
  for (int i = 0; i < QUICK_STREAMS; i++)
    testbed_wait (&t,
                  testbed_generate (&t, 0, 1000, QUICK_EVENTS * EVENT_TOKENS));
  caller = raw_connect_address (t.loop, t.ips[0], TESTBED_FRONT_PORT);
  send_stream (caller, "kept", KEPT_EVENTS);
  raw_expect (caller, "id: 1\n");
  gateway_stop (t.nodes[0]);
  raw_expect (caller, "\r\n0\r\n\r\n");
  executions = standin_counts (t.standin)->executions;
  for (size_t i = 0; i < DECODE_COUNT; i++)
    standin_runner_set_pace (testbed_endpoint (&t, DECODE_FIRST + i), SLOWNESS,
                             0);
  g_string_truncate (caller->got, 0);
  send_stream (caller, "late", LATE_EVENTS);
  raw_expect (caller, "\r\n\r\n");
  ck_assert_ptr_nonnull (strstr (caller->got->str, " 503 "));
  ck_assert_ptr_nonnull (strstr (caller->got->str, "Retry-After: "));
  ck_assert_ptr_nonnull (strstr (caller->got->str, "Connection: close"));
  raw_expect_end (caller, RAW_FIN);
  ck_assert_uint_eq (standin_counts (t.standin)->executions, executions);
  raw_close (caller, false);
}
END_TEST

/* Guards against a request without an answer whose endpoint is silent until
   the node ends. */
START_TEST (test_silent_endpoint)
{
  struct testbed_response *response;

  testbed_start_nodes (&t, 1);
  for (size_t i = 0; i < 3; i++)
    standin_runner_freeze (testbed_endpoint (&t, i), true);
  response = testbed_get (&t, 0, "a.example", "/x", "");
  testbed_run (&t, 100);
  gateway_stop (t.nodes[0]);
  testbed_wait (&t, response);
  ck_assert (response->done);
  ck_assert_uint_eq (response->status, 502);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("planned stop of a node");
  TCase *tcase = tcase_create ("planned stop of a node");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_kept_connection);
  tcase_add_test (tcase, test_silent_endpoint);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
