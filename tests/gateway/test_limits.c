#include <check.h>
#include <string.h>

#include "../suite.h"
#include "world.h"

#define NODES 3
/* Nodes may need so long until they keep to a limit, and are judged by windows
 * of this length. */
#define HEARD_MS 1500
#define WINDOW_MS 4000
/* Between two requests of the callers. */
#define SPACING_MS 12

static struct world w;

static void
setup (void)
{
  world_open (&w);
}

static void
teardown (void)
{
  world_close (&w);
}

/* Sends plain requests to one node after the other for MS; returns how many
 * were answered whole. */
static uint32_t
send_plain (int64_t ms, uint32_t *sent)
{
  int64_t end_ms = loop_now_ms (w.loop) + ms;
  GPtrArray *answers = g_ptr_array_new ();
  uint32_t whole = 0;

  while (loop_now_ms (w.loop) < end_ms)
    {
      g_ptr_array_add (answers, world_get (&w, answers->len % NODES,
                                           "a.example", "/x", ""));
      world_turn (&w, SPACING_MS);
    }
  for (guint i = 0; i < answers->len; i++)
    {
      struct world_answer *answer = g_ptr_array_index (answers, i);

      world_wait (&w, answer);
      whole += answer->done && answer->status == 200;
    }
  *sent = answers->len;
  g_ptr_array_free (answers, TRUE);
  return whole;
}

static void
assert_most (size_t runner, double per_s, int64_t since_ms)
{
  ck_assert_uint_le (
      standin_runner_most_in (world_runner (&w, runner), WINDOW_MS, since_ms),
      (uint32_t)(1.5 * per_s * WINDOW_MS / 1000 + 5));
}

/* Endpoints that name a limit get as much as before. */
START_TEST (test_limits_of_plain_endpoints)
{
  int64_t named_ms;
  uint32_t sent, whole;

  world_nodes (&w, NODES);
  send_plain (300, &sent);
  standin_runner_limit (world_runner (&w, 0), "4.2");
  standin_runner_limit (world_runner (&w, 1), "2");
  named_ms = loop_now_ms (w.loop);
  whole = send_plain (HEARD_MS + WINDOW_MS + 500, &sent);
  assert_most (0, 4.2, named_ms + HEARD_MS);
  assert_most (1, 2, named_ms + HEARD_MS);
  /* The third has room for all of it. */
  ck_assert_uint_eq (whole, sent);
  /* They are not cut off either. */
  ck_assert_uint_ge (
      standin_runner_most_in (world_runner (&w, 0), WINDOW_MS, named_ms), 8);
}
END_TEST

/* A node that has started again takes the whole limit for its own. */
START_TEST (test_node_starts_again)
{
  int64_t named_ms;
  uint32_t sent;

  world_nodes (&w, NODES);
  standin_runner_limit (world_runner (&w, 0), "3");
  standin_runner_limit (world_runner (&w, 1), "3");
  named_ms = loop_now_ms (w.loop);
  send_plain (HEARD_MS, &sent);
  world_kill (&w, 1);
  world_node (&w, 1);
  world_all_known (&w);
  send_plain (WINDOW_MS + 500, &sent);
  assert_most (0, 3, named_ms + HEARD_MS);
  assert_most (1, 3, named_ms + HEARD_MS);
}
END_TEST

/* All endpoints of a service are limited: requests beyond that wait for them
 * until their deadlines. */
START_TEST (test_all_are_limited)
{
  int64_t named_ms;
  uint32_t sent, whole;
  struct world_answer *answer;

  world_nodes (&w, NODES);
  for (size_t i = 0; i < 3; i++)
    standin_runner_limit (world_runner (&w, i), "2");
  named_ms = loop_now_ms (w.loop);
  whole = send_plain (HEARD_MS + WINDOW_MS, &sent);
  for (size_t i = 0; i < 3; i++)
    assert_most (i, 2, named_ms + HEARD_MS);
  ck_assert_uint_gt (whole, 20);
  do
    {
      answer = world_get (&w, 0, "a.example", "/x", "");
      world_wait (&w, answer);
    }
  while (answer->status == 200);
  ck_assert_uint_eq (answer->status, 503);
  ck_assert_ptr_nonnull (strstr (answer->fields->str, "Retry-After"));
  ck_assert_int_lt (answer->end_ms - answer->begun_ms, 200);
}
END_TEST

/* An endpoint names no limit any more, and gets as little as before. */
START_TEST (test_limit_ends)
{
  int64_t ended_ms;
  uint32_t sent;

  world_nodes (&w, NODES);
  for (size_t i = 0; i < 3; i++)
    standin_runner_limit (world_runner (&w, i), "3");
  send_plain (HEARD_MS, &sent);
  for (size_t i = 0; i < 3; i++)
    standin_runner_limit (world_runner (&w, i), NULL);
  send_plain (HEARD_MS, &sent);
  ended_ms = loop_now_ms (w.loop);
  ck_assert_uint_eq (send_plain (1000, &sent), sent);
  ck_assert_uint_ge (
      standin_runner_most_in (world_runner (&w, 0), 1000, ended_ms), 10);
}
END_TEST

/* The same as the first with engines that take generations. */
START_TEST (test_limits_of_engines)
{
  int64_t named_ms, end_ms;
  uint32_t whole = 0;
  GPtrArray *answers = g_ptr_array_new ();

  world_nodes (&w, NODES);
  standin_runner_limit (world_runner (&w, 5), "1");
  standin_runner_limit (world_runner (&w, 3), "1");
  named_ms = loop_now_ms (w.loop);
  end_ms = named_ms + HEARD_MS + WINDOW_MS + 500;
  while (loop_now_ms (w.loop) < end_ms)
    {
      g_ptr_array_add (answers,
                       world_generate (&w, answers->len % NODES, 500, 200));
      world_turn (&w, 60);
    }
  for (guint i = 0; i < answers->len; i++)
    {
      struct world_answer *answer = g_ptr_array_index (answers, i);

      world_wait (&w, answer);
      whole += answer->done && answer->status == 200;
    }
  assert_most (5, 1, named_ms + HEARD_MS);
  assert_most (3, 1, named_ms + HEARD_MS);
  ck_assert_uint_eq (whole, answers->len);
  g_ptr_array_free (answers, TRUE);
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
  tcase_add_test (tcase, test_node_starts_again);
  tcase_add_test (tcase, test_all_are_limited);
  tcase_add_test (tcase, test_limit_ends);
  tcase_add_test (tcase, test_limits_of_engines);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
