#include <check.h>
#include <string.h>

#include "../suite.h"
#include "world.h"

#define NODES 3
#define CRASH_PATH "/crash/"
#define MODEL_FIELDS "X-Token-Counts: 1000,1000\r\nX-Length-Hint: 1000\r\n"
/* Runners are back so soon. */
#define BACK_MS 400
/* By then each node has heard of the third crash. */
#define HEARD_MS 700
#define CRASHES_ALLOWED 3
#define MORE (4 * NODES)

static struct world w;

static void
setup (void)
{
  world_open (&w);
  standin_set_crash (w.standin, CRASH_PATH, BACK_MS);
}

static void
teardown (void)
{
  world_close (&w);
}

static struct world_answer *
send_crashing (size_t node, bool model)
{
  return world_get (&w, node, model ? "model.example" : "a.example",
                    CRASH_PATH "x", model ? MODEL_FIELDS : "");
}

/* Has the request come again, at one node after the other, until it has
 * crashed as many runners as it may. */
static void
crash_runners (bool model)
{
  for (size_t i = 0; standin_counts (w.standin)->crashes < CRASHES_ALLOWED;
       i++)
    {
      ck_assert_uint_lt (i, 50);
      world_wait (&w, send_crashing (i % NODES, model));
      world_turn (&w, 100);
    }
  world_turn (&w, HEARD_MS);
}

/* Sends it to each node some times: it reaches no runner, and its callers hear
 * at once that it has not run. */
static void
assert_refused (bool model)
{
  uint32_t before = standin_counts (w.standin)->crash_arrivals;
  struct world_answer *answers[MORE];

  for (size_t i = 0; i < MORE; i++)
    {
      answers[i] = send_crashing (i % NODES, model);
      world_wait (&w, answers[i]);
      world_turn (&w, 50);
    }
  ck_assert_uint_eq (standin_counts (w.standin)->crash_arrivals - before, 0);
  for (size_t i = 0; i < MORE; i++)
    {
      ck_assert (answers[i]->done);
      ck_assert_uint_eq (answers[i]->status, 503);
      ck_assert_ptr_nonnull (strstr (answers[i]->fields->str, "Retry-After"));
      ck_assert_int_lt (answers[i]->end_ms - answers[i]->begun_ms, 200);
    }
}

static bool
serves (struct world *world)
{
  struct world_answer *answer = world_generate (world, 0, 1000, 500);

  world_wait (world, answer);
  return answer->done && answer->status == 200;
}

/* A generation that crashes each engine which runs it comes again at every
 * node and takes one engine after the other. */
START_TEST (test_generation_comes_again)
{
  world_nodes (&w, NODES);
  crash_runners (true);
  assert_refused (true);
  ck_assert (world_until (&w, serves, 3000));
}
END_TEST

/* The same with a plain request. */
START_TEST (test_plain_request_comes_again)
{
  world_nodes (&w, NODES);
  crash_runners (false);
  assert_refused (false);
}
END_TEST

/* A node that has started again does not know what the others know, and the
 * request crashes three more runners. */
START_TEST (test_node_starts_again)
{
  world_nodes (&w, NODES);
  crash_runners (true);
  world_kill (&w, 1);
  world_node (&w, 1);
  world_all_known (&w);
  world_turn (&w, HEARD_MS);
  assert_refused (true);
}
END_TEST

/* All nodes were killed together, and with them all that they knew. */
START_TEST (test_all_nodes_start_again)
{
  world_nodes (&w, NODES);
  crash_runners (true);
  world_turn (&w, 500);
  for (size_t i = 0; i < NODES; i++)
    world_kill (&w, i);
  world_nodes (&w, NODES);
  world_turn (&w, HEARD_MS);
  assert_refused (true);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("requests that crash runners");
  TCase *tcase = tcase_create ("crashes");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_generation_comes_again);
  tcase_add_test (tcase, test_plain_request_comes_again);
  tcase_add_test (tcase, test_node_starts_again);
  tcase_add_test (tcase, test_all_nodes_start_again);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
