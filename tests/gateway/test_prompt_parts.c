#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define NODES 3
#define PLACES 3
/* Time after which a crashed endpoint restarts. */
#define RESTART_MS 400
/* Time after the fifth crash by which each node knows of the part. */
#define CONTACT_MS 3000
#define CRASHES 5
/* Requests with the part that may reach endpoints later than that. */
#define LATE_REQUESTS 3
#define REQUESTS 12

static struct testbed t;
static uint64_t prompts;

static void
setup (void)
{
  testbed_open (&t);
  standin_set_crash_part (t.standin, "bad", RESTART_MS);
  testbed_start_nodes (&t, NODES);
}

static void
teardown (void)
{
  testbed_close (&t);
}

static struct testbed_response *
send_prompt (size_t node, const char *format, ...)
{
  va_list arguments;
  char *prompt, *fields, *path;
  struct testbed_response *response;

  va_start (arguments, format);
  prompt = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  fields = g_strdup_printf ("X-Token-Counts: 1000,200\r\nX-Length-Hint: 200"
                            "\r\nX-Prompt-Prefix: %s\r\n",
                            prompt);
  path = g_strdup_printf ("/chat?%s", prompt);
  response = testbed_get (&t, node, "model.example", path, fields);
  g_free (path);
  g_free (prompt);
  g_free (fields);
  return response;
}

/* Sends a request that no other equals, with the part that crashes engines at
 * one of several places. */
static struct testbed_response *
send_bad (size_t node, int place)
{
  unsigned int n = (unsigned int)++prompts;

  switch (place)
    {
    case 0:
      return send_prompt (node, "bad:100,shared:200,own%u:700", n);
    case 1:
      return send_prompt (node, "shared:200,bad:100,mid%u:100,own%u:600", n,
                          n);
    default:
      return send_prompt (node, "shared:200,mid%u:100,bad:100,own%u:600", n,
                          n);
    }
}

static struct testbed_response *
send_sound (size_t node)
{
  unsigned int n = (unsigned int)++prompts;

  return send_prompt (node, "shared:200,mid%u:100,own%u:700", n, n);
}

/* Sends bad requests to one node after the other until five engines have
 * crashed, or until nothing crashes any more. */
static void
crash_engines (int place)
{
  for (size_t i = 0; i < 30 && standin_counts (t.standin)->crashes < CRASHES;
       i++)
    {
      testbed_wait (&t, send_bad (i % NODES, place));
      testbed_run (&t, 100);
    }
  testbed_run (&t, CONTACT_MS);
}

static void
assert_kept_away (int place)
{
  uint32_t before = standin_counts (t.standin)->crash_requests;

  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct testbed_response *response = send_bad (i % NODES, place);

      testbed_wait (&t, response);
      ck_assert_uint_ne (response->status, 200);
      testbed_run (&t, 50);
    }
  ck_assert_uint_le (standin_counts (t.standin)->crash_requests - before,
                     LATE_REQUESTS);
}

static void
assert_sound_served (void)
{
  uint32_t served = 0;

  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct testbed_response *response = send_sound (i % NODES);

      testbed_wait (&t, response);
      served += response->done && response->status == 200;
    }
  ck_assert_uint_ge (served, REQUESTS - 1);
}

/* Guards against requests that share a part which crashes engines, are no two
 * alike, and take down one engine after the other; their sound neighbours are
 * served. */
START_TEST (test_part_crashes_engines)
{
  for (size_t i = 0; i < NODES; i++)
    testbed_wait (&t, send_sound (i));
  crash_engines (_i);
  assert_kept_away (_i);
  assert_sound_served ();
}
END_TEST

/* Guards against the same where no sound request came before, and against
 * sound ones that are taken for the cause. */
START_TEST (test_part_crashes_engines_at_once)
{
  crash_engines (_i);
  assert_kept_away (_i);
  assert_sound_served ();
}
END_TEST

/* Guards against one request that crashes engines by itself and takes the
   parts with it that it shares with all others, at nodes that have served
   nothing yet. */
START_TEST (test_request_crashes_engines)
{
  for (size_t i = 0; i < 12 && standin_counts (t.standin)->crashes < 4; i++)
    {
      testbed_wait (&t,
                    send_prompt (i % NODES, "shared:200,more:100,bad:700"));
      testbed_run (&t, 100);
    }
  ck_assert_uint_ge (standin_counts (t.standin)->crashes, 3);
  testbed_run (&t, CONTACT_MS);
  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct testbed_response *response
          = send_prompt (i % NODES, "shared:200,more:100,own%zu:700", i);

      testbed_wait (&t, response);
      ck_assert_uint_eq (response->status, 200);
    }
}
END_TEST

/* Guards against a node that has just started and lets the part through. */
START_TEST (test_node_starts_later)
{
  uint32_t before;

  testbed_wait (&t, send_sound (0));
  crash_engines (1);
  testbed_kill_node (&t, 1);
  testbed_start_node (&t, 1);
  testbed_wait_converged (&t);
  testbed_run (&t, 700);
  before = standin_counts (t.standin)->crash_requests;
  for (size_t i = 0; i < REQUESTS; i++)
    testbed_wait (&t, send_bad (1, 1));
  ck_assert_uint_le (standin_counts (t.standin)->crash_requests - before,
                     LATE_REQUESTS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("parts of prompts that crash endpoints");
  TCase *tcase = tcase_create ("parts");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_part_crashes_engines, 0, PLACES);
  tcase_add_loop_test (tcase, test_part_crashes_engines_at_once, 0, PLACES);
  tcase_add_test (tcase, test_request_crashes_engines);
  tcase_add_test (tcase, test_node_starts_later);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
