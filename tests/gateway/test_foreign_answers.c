#include <check.h>
#include <string.h>

#include "../suite.h"
#include "testbed.h"

#define REQUESTS 3
#define GENERATION "X-Token-Counts: 1000,500\r\nX-Length-Hint: 500\r\n"
/* Foreign answers, of which the last STREAM_ONLY are proper ones on plain
 * routes. */
#define ANSWERS 16
#define STREAM_ONLY 3
/* The answer that is none of them. */
#define REJECTION "wrong-stage"

static const enum h1_framing framings[]
    = { H1_FRAMING_CHUNKED, H1_FRAMING_LENGTH, H1_FRAMING_CLOSE };

static struct testbed t;

static void
setup (void)
{
  testbed_open (&t);
  testbed_start_nodes (&t, 1);
}

static void
teardown (void)
{
  testbed_close (&t);
}

/* Has all endpoints of the service of generations, or of the plain one, but
   the first WHOLE of them, answer each request with NAME. */
static void
answer_foreign (const char *name, bool generations, size_t whole)
{
  for (size_t i = 0; i < TESTBED_ENDPOINTS; i++)
    {
      struct standin_runner *runner = testbed_endpoint (&t, i);

      if (g_strcmp0 (standin_runner_stage (runner),
                     generations ? "decode" : NULL)
          != 0)
        continue;
      if (whole > 0)
        whole--;
      else
        standin_runner_set_foreign_answer (runner, name, 1);
    }
}

/* Fails unless RESPONSE is the answer of an endpoint to its request, whole, or
   a failure of the node that does not say that it has not run. */
static void
check_response (const struct testbed_response *response, uint64_t number,
                const char *name)
{
  char *seal = g_strdup_printf (
      "X-Response-Seal: seal.q-%" G_GUINT64_FORMAT "\n", number);

  if (response->status == 200)
    {
      ck_assert_msg (strstr (response->fields->str, seal) != NULL, "%s: %s",
                     name, response->fields->str);
      ck_assert_msg (response->done, "%s: cut off", name);
    }
  else
    ck_assert_msg (response->status == 502, "%s: %u", name, response->status);
  ck_assert_msg (strstr (response->body->str, "odd") == NULL, "%s: %s", name,
                 response->body->str);
  g_free (seal);
}

/* Sends REQUESTS to HOST and PATH; returns how many have a success. */
static uint32_t
ask (const char *host, const char *path, const char *name)
{
  uint32_t successes = 0;

  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct testbed_response *response
          = testbed_get (&t, 0, host, path, GENERATION);

      testbed_wait (&t, response);
      check_response (response, t.request_count, name);
      successes += response->status == 200;
    }
  return successes;
}

static const char *
set_row (int row)
{
  standin_set_framing (t.standin,
                       framings[(size_t)row % G_N_ELEMENTS (framings)]);
  return standin_foreign_answer ((size_t)row);
}

/* Guards against an answer that no run made reaching a caller as that of its
   run, where the request may go on elsewhere. */
START_TEST (test_resumable)
{
  const char *name = set_row (_i);

  answer_foreign (name, true, 2);
  ck_assert_uint_gt (ask ("model.example", "/chat", name), 0);
}
END_TEST

/* Guards against the same where the request must not run twice. */
START_TEST (test_once)
{
  const char *name = set_row (_i);

  answer_foreign (name, true, 0);
  ck_assert_uint_eq (ask ("model.example", "/once/chat", name), 0);
  ck_assert_uint_le (standin_counts (t.standin)->foreign, REQUESTS);
}
END_TEST

/* Guards against the same at a plain service. */
START_TEST (test_plain)
{
  const char *name = set_row (_i);

  answer_foreign (name, false, 1);
  ck_assert_uint_gt (ask ("a.example", "/x", name), 0);
}
END_TEST

/* Guards against the same at a plain service where the request must not run
   twice. */
START_TEST (test_plain_once)
{
  const char *name = set_row (_i);

  answer_foreign (name, false, 0);
  ck_assert_uint_eq (ask ("a.example", "/once/x", name), 0);
  ck_assert_uint_eq (standin_counts (t.standin)->foreign, REQUESTS);
}
END_TEST

/* Guards against a request that must not run twice, and has not run, ending in
   a 502: engines that have changed their stage answer 421 without a field. It
   runs elsewhere, or is refused. */
START_TEST (test_bare_rejection)
{
  uint32_t successes = 0;

  answer_foreign (REJECTION, true, 1);
  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct testbed_response *response
          = testbed_get (&t, 0, "model.example", "/once/chat", GENERATION);

      testbed_wait (&t, response);
      successes += response->status == 200;
      if (response->status != 503)
        check_response (response, t.request_count, REJECTION);
      ck_assert_uint_ne (response->status, 502);
    }
  ck_assert_uint_gt (successes, 0);
  ck_assert_uint_gt (standin_counts (t.standin)->foreign, 0);
}
END_TEST

/* Guards against a kind of foreign answer that no test plays. */
START_TEST (test_all_played)
{
  ck_assert_ptr_nonnull (standin_foreign_answer (ANSWERS - 1));
  ck_assert_str_eq (standin_foreign_answer (ANSWERS), REJECTION);
  ck_assert_ptr_null (standin_foreign_answer (ANSWERS + 1));
}
END_TEST

static void
add_case (Suite *suite, const char *name, const TTest *test, int rows)
{
  TCase *tcase = tcase_create (name);

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test, 0, rows);
  suite_add_tcase (suite, tcase);
}

int
main (void)
{
  Suite *suite = suite_create ("answers that no run made");

  add_case (suite, "resumable", test_resumable, ANSWERS);
  add_case (suite, "once", test_once, ANSWERS);
  add_case (suite, "plain", test_plain, ANSWERS - STREAM_ONLY);
  add_case (suite, "plain once", test_plain_once, ANSWERS - STREAM_ONLY);
  add_case (suite, "bare rejection", test_bare_rejection, 1);
  add_case (suite, "all played", test_all_played, 1);
  return suite_run (suite);
}
