#include <check.h>
#include <string.h>

#include "../suite.h"
#include "demo.h"
#include "testbed.h"

#define NODES 4
#define STREAMS 12
/* Engines of the second version. */
#define NEWER_ENGINES 3

static struct testbed t;

/* A stream that its caller takes up again. */
struct stream
{
  uint64_t request;
  struct testbed_response *begun;
  struct testbed_response *resumed;
};

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

/* Starts engines of a second version beside those of the first. */
static void
release (void)
{
  standin_set_version (t.standin, "2");
  for (int i = 0; i < NEWER_ENGINES; i++)
    {
      struct beryl_error error = { 0 };
      char id[8];

      g_snprintf (id, sizeof id, "n%d", i);
      ck_assert_ptr_nonnull (
          demo_start_runner (t.standin, id, "model", "decode", NULL, &error));
    }
}

static uint64_t
count (const struct testbed_response *response, const char *text)
{
  uint64_t found = 0;

  for (const char *at = response->body->str; (at = strstr (at, text)) != NULL;
       at++)
    found++;
  return found;
}

static uint64_t
events (const struct testbed_response *response)
{
  return count (response, "\n\n");
}

/* Begins streams at nodes 0 and 1, until each has two events at least. */
static void
begin_streams (struct stream streams[STREAMS])
{
  for (size_t i = 0; i < STREAMS; i++)
    {
      streams[i].begun = testbed_generate (&t, i % 2, 1000, 1500);
      streams[i].request = t.request_count;
      testbed_run (&t, 10);
    }
  for (size_t i = 0; i < STREAMS; i++)
    while (events (streams[i].begun) < 2)
      {
        ck_assert (!streams[i].begun->failed);
        testbed_run (&t, 5);
      }
}

static void
resume_at (struct stream *stream, size_t node)
{
  stream->resumed
      = testbed_resume (&t, node, stream->request, events (stream->begun));
}

/* Returns how many of the streams have gone on; none may hold events of two
 * versions. */
static uint32_t
count_resumed (struct stream streams[STREAMS])
{
  uint32_t resumed = 0;

  for (size_t i = 0; i < STREAMS; i++)
    {
      struct stream *s = &streams[i];
      bool first, second;

      testbed_wait (&t, s->resumed);
      first = count (s->begun, "x-weight-versions: 1\n")
                  + count (s->resumed, "x-weight-versions: 1\n")
              > 0;
      second = count (s->begun, "x-weight-versions: 2\n")
                   + count (s->resumed, "x-weight-versions: 2\n")
               > 0;
      ck_assert_msg (!first || !second, "stream %zu holds both versions", i);
      if (s->resumed->done && s->resumed->status == 200)
        resumed++;
      else
        ck_assert_uint_eq (s->resumed->status, 503);
    }
  return resumed;
}

/* Guards against streams of a node that was killed, which their callers take
 * up at other nodes and which go on at another version there. */
START_TEST (test_resumed_at_another_node)
{
  struct stream streams[STREAMS];

  testbed_start_nodes (&t, NODES);
  release ();
  testbed_run (&t, 200);
  begin_streams (streams);
  testbed_kill_node (&t, 0);
  testbed_kill_node (&t, 1);
  for (size_t i = 0; i < STREAMS; i++)
    resume_at (&streams[i], 2 + i % 2);
  ck_assert_uint_ge (count_resumed (streams), STREAMS - 1);
}
END_TEST

/* The same for a second version that comes while the streams run. */
START_TEST (test_version_comes_later)
{
  struct stream streams[STREAMS];

  testbed_start_nodes (&t, NODES);
  begin_streams (streams);
  release ();
  testbed_run (&t, 200);
  testbed_kill_node (&t, 0);
  testbed_kill_node (&t, 1);
  for (size_t i = 0; i < STREAMS; i++)
    resume_at (&streams[i], 2 + i % 2);
  ck_assert_uint_ge (count_resumed (streams), STREAMS - 1);
}
END_TEST

/* The same at a node that has just started and holds no record of them. */
START_TEST (test_resumed_at_new_node)
{
  struct stream streams[STREAMS];

  testbed_start_nodes (&t, NODES);
  release ();
  testbed_run (&t, 200);
  begin_streams (streams);
  testbed_kill_node (&t, 0);
  testbed_start_node (&t, 0);
  testbed_wait_converged (&t);
  for (size_t i = 0; i < STREAMS; i++)
    {
      if (!streams[i].begun->failed)
        testbed_disconnect (&t, streams[i].begun);
      resume_at (&streams[i], 0);
    }
  ck_assert_uint_ge (count_resumed (streams), STREAMS - 1);
}
END_TEST

/* The same where all nodes that knew of the streams were killed. */
START_TEST (test_all_nodes_killed)
{
  struct stream streams[STREAMS];

  testbed_start_nodes (&t, NODES);
  release ();
  testbed_run (&t, 200);
  begin_streams (streams);
  for (size_t i = 0; i < NODES; i++)
    testbed_kill_node (&t, i);
  testbed_start_nodes (&t, NODES);
  for (size_t i = 0; i < STREAMS; i++)
    resume_at (&streams[i], i % NODES);
  count_resumed (streams);
}
END_TEST

/* Guards against streams that are not resumed although one version alone has
 * served all the time. */
START_TEST (test_one_version)
{
  struct stream streams[STREAMS];

  testbed_start_nodes (&t, NODES);
  testbed_run (&t, 1000);
  begin_streams (streams);
  testbed_kill_node (&t, 0);
  testbed_kill_node (&t, 1);
  for (size_t i = 0; i < STREAMS; i++)
    resume_at (&streams[i], 2 + i % 2);
  ck_assert_uint_ge (count_resumed (streams), STREAMS - 1);
}
END_TEST

/* Guards against an event after the last one of a stream whose caller has all
 * events but not its end, and resumes it. */
START_TEST (test_resumed_after_last_event)
{
  struct testbed_response *response;
  uint64_t request;

  testbed_start_nodes (&t, NODES);
  response = testbed_generate (&t, 0, 1000, 1500);
  request = t.request_count;
  testbed_wait (&t, response);
  ck_assert_uint_eq (events (response), 30);
  response = testbed_resume (&t, 0, request, 30);
  testbed_wait (&t, response);
  ck_assert (response->done);
  ck_assert_uint_eq (response->status, 200);
  ck_assert_uint_eq (events (response), 0);
}
END_TEST

/* Guards against a caller that is held for long when it names a stream that
 * nobody knows, and against one that goes on at any version. */
START_TEST (test_unknown_stream)
{
  struct testbed_response *response;

  testbed_start_nodes (&t, NODES);
  release ();
  testbed_run (&t, 200);
  response = testbed_resume (&t, 0, 999999, 3);
  testbed_wait (&t, response);
  ck_assert_uint_eq (response->status, 503);
  ck_assert_ptr_nonnull (strstr (response->fields->str, "Retry-After"));
  ck_assert_int_lt (response->end_ms - response->start_ms, 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("versions of endpoints");
  TCase *tcase = tcase_create ("versions");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_resumed_at_another_node);
  tcase_add_test (tcase, test_version_comes_later);
  tcase_add_test (tcase, test_resumed_at_new_node);
  tcase_add_test (tcase, test_all_nodes_killed);
  tcase_add_test (tcase, test_one_version);
  tcase_add_test (tcase, test_resumed_after_last_event);
  tcase_add_test (tcase, test_unknown_stream);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
