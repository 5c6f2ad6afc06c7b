#include <check.h>
#include <string.h>

#include "../suite.h"
#include "world.h"

/* By then a node has heard of several changes in the store, one after the
 * other. */
#define NEWS_MS 1500

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

static void
assert_whole (const struct world_answer *answer)
{
  ck_assert_msg (answer->done && answer->status == 200,
                 "status %u, done %d, failed %d", answer->status, answer->done,
                 answer->failed);
  ck_assert_ptr_nonnull (strstr (answer->fields->str, "X-Response-Seal: "));
}

/* A stream has events 1 to COUNT and no others. */
static void
assert_stream (const struct world_answer *answer, uint32_t count)
{
  const char *at = answer->body->str;
  char start[32];

  assert_whole (answer);
  for (uint32_t i = 1; i <= count; i++)
    {
      g_snprintf (start, sizeof start, "id: %u\n", i);
      ck_assert_msg (g_str_has_prefix (at, start), "event %u: %s", i, at);
      at = strstr (at, "\n\n");
      ck_assert_ptr_nonnull (at);
      at += 2;
    }
  ck_assert_str_eq (at, "");
}

START_TEST (test_path)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_get (&w, 0, "a.example", "/x", "X-Other: 1\r\n");
  world_wait (&w, answer);
  assert_whole (answer);
  ck_assert_ptr_nonnull (strstr (answer->body->str, "q-1 /x at a"));
  ck_assert_ptr_null (strstr (answer->fields->str, "Connection"));
  answer = world_get (&w, 0, "unknown.example", "/x", "");
  world_wait (&w, answer);
  ck_assert_uint_eq (answer->status, 404);
}
END_TEST

START_TEST (test_generation)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_generate (&w, 0, 2000, 500);
  world_wait (&w, answer);
  assert_stream (answer, 10);
  ck_assert_uint_eq (standin_counts (w.standin)->prefills, 1);
  ck_assert_uint_eq (standin_counts (w.standin)->executions, 1);
  ck_assert_int_lt (answer->first_ms - answer->begun_ms, 500);
}
END_TEST

/* Before the first configuration nothing can be said of any request; the node
 * is not ready, and says so instead of "not found". */
START_TEST (test_not_ready)
{
  struct world_answer *answer;

  standin_set_silent (w.standin, true);
  world_node (&w, 0);
  world_turn (&w, 300);
  ck_assert_uint_ne (world_ask (&w, 0, WORLD_READY_PORT, "/v1/ready")->status,
                     200);
  answer = world_get (&w, 0, "a.example", "/x", "");
  world_wait (&w, answer);
  ck_assert_uint_eq (answer->status, 503);
  ck_assert_ptr_nonnull (strstr (answer->fields->str, "Retry-After: "));
}
END_TEST

/* The nodes find each other through the store alone, and one that is killed
 * is no longer named. */
static bool
two_are_named (struct world *world)
{
  struct world_answer *answer
      = world_ask (world, 0, WORLD_DIRECTORY_PORT, "/v1/resolve");

  return strstr (answer->body->str, world->ips[1]) == NULL
         && strstr (answer->body->str, world->ips[2]) != NULL;
}

START_TEST (test_killed_node_is_not_named)
{
  world_nodes (&w, 3);
  world_kill (&w, 1);
  ck_assert (world_until (&w, two_are_named, 8000));
}
END_TEST

static bool
two_records_are_left (struct world *world)
{
  return standin_count (world->standin, "gateway-nodes") == 2;
}

/* A node is gone for good.  Nothing expires in the store by itself: the node
 * that plans the stages takes its record back, and only that one. */
START_TEST (test_record_is_taken_back)
{
  world_nodes (&w, 3);
  world_kill (&w, 1);
  ck_assert (world_until (&w, two_records_are_left, 30000));
  ck_assert_ptr_null (standin_spec (w.standin, "gateway-nodes", "node-1"));
}
END_TEST

/* The store lost a living node's record, as after a partition in which others
 * took it for gone: it registers again. */
START_TEST (test_record_is_written_again)
{
  world_nodes (&w, 2);
  standin_remove (w.standin, "gateway-nodes", "node-1");
  ck_assert (world_until (&w, two_records_are_left, 30000));
}
END_TEST

/* The operator moves a route to another service: every node follows, also one
 * that does not reach the store and hears of it from its peers. */
static bool
route_is_there (struct world *world)
{
  for (size_t i = 0; i < 3; i++)
    {
      struct world_answer *answer
          = world_get (world, i, "new.example", "/x", "");

      world_wait (world, answer);
      if (answer->status != 200)
        return false;
    }
  return true;
}

START_TEST (test_configuration_spreads)
{
  world_nodes (&w, 3);
  world_configure (&w, "plain", "new.example");
  ck_assert (world_until (&w, route_is_there, 3000));
}
END_TEST

/* Twenty requests are answered whole, none of them by RUNNER. */
static void
assert_gets_no_work (const struct standin_runner *runner)
{
  uint32_t before = standin_runner_executions (runner);

  for (int i = 0; i < 20; i++)
    {
      struct world_answer *answer = world_get (&w, 0, "a.example", "/x", "");

      world_wait (&w, answer);
      assert_whole (answer);
    }
  ck_assert_uint_eq (standin_runner_executions (runner), before);
}

/* A runner says that it leaves: it gets no more work, and what it has runs to
 * its end. */
START_TEST (test_draining_runner)
{
  world_nodes (&w, 1);
  standin_runner_drain (world_runner (&w, 0));
  world_turn (&w, 1500);
  assert_gets_no_work (world_runner (&w, 0));
}
END_TEST

/* Guards against a stand-in that lists a runner again after its entry was
 * removed for leaving, by which nodes would send it work until it exits. */
START_TEST (test_removed_runner_stays_removed)
{
  world_nodes (&w, 1);
  standin_runner_leave (world_runner (&w, 0));
  standin_runner_list (world_runner (&w, 0));
  world_turn (&w, 1500);
  assert_gets_no_work (world_runner (&w, 0));
}
END_TEST

/* A decode engine dies in the middle of a stream; the caller gets each event
 * once, from two engines. */
START_TEST (test_engine_dies)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_generate (&w, 0, 2000, 1000);
  world_turn (&w, 300);
  ck_assert_uint_gt (answer->body->len, 0);
  standin_runner_kill (world_busiest (&w));
  world_wait (&w, answer);
  assert_stream (answer, 20);
  ck_assert_uint_eq (standin_counts (w.standin)->resumed, 1);
}
END_TEST

/* An engine freezes; its connections stay open. */
START_TEST (test_engine_freezes)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_generate (&w, 0, 2000, 1000);
  world_turn (&w, 300);
  standin_runner_freeze (world_busiest (&w), true);
  world_wait (&w, answer);
  assert_stream (answer, 20);
}
END_TEST

/* An engine leaves while it streams: the run moves to another one, from its
 * memory and without a second prefill. */
START_TEST (test_engine_leaves)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_generate (&w, 0, 2000, 1500);
  world_turn (&w, 250);
  standin_runner_drain (world_busiest (&w));
  world_wait (&w, answer);
  assert_stream (answer, 30);
  ck_assert_uint_eq (standin_counts (w.standin)->moved, 1);
  ck_assert_uint_eq (standin_counts (w.standin)->prefills, 1);
  ck_assert_uint_eq (standin_counts (w.standin)->repeated, 0);
}
END_TEST

/* A plain runner freezes with requests in hand.  Those that may be repeated
 * are answered by another one long before their deadline; one that may run
 * only once waits, and is never sent again. */
START_TEST (test_plain_runner_freezes)
{
  struct world_answer *answers[12];
  struct world_answer *once;
  uint32_t whole = 0;

  world_nodes (&w, 1);
  for (int i = 0; i < 10; i++)
    world_wait (&w, world_get (&w, 0, "a.example", "/x", ""));
  standin_runner_freeze (world_runner (&w, 0), true);
  for (int i = 0; i < 12; i++)
    answers[i] = world_get (&w, 0, "a.example", "/x", "");
  for (int i = 0; i < 12; i++)
    {
      world_wait (&w, answers[i]);
      assert_whole (answers[i]);
      ck_assert_int_lt (answers[i]->end_ms - answers[i]->begun_ms, 1000);
    }
  for (int i = 0; i < 12; i++)
    {
      once = world_get (&w, 0, "a.example", "/once/x", "");
      world_wait (&w, once);
      whole += once->done && once->status == 200;
    }
  ck_assert_uint_ge (whole, 9);
  ck_assert_uint_eq (standin_counts (w.standin)->repeated, 0);
}
END_TEST

/* The store is silent: everything known goes on to be served, and what changed
 * meanwhile is known soon after it is back. */
START_TEST (test_store_silent)
{
  world_nodes (&w, 2);
  standin_set_silent (w.standin, true);
  for (int i = 0; i < 30; i++)
    {
      struct world_answer *answer
          = world_get (&w, (size_t)i % 2, "a.example", "/x", "");

      world_wait (&w, answer);
      assert_whole (answer);
      world_turn (&w, 100);
    }
  ck_assert_uint_eq (world_ask (&w, 0, WORLD_READY_PORT, "/v1/ready")->status,
                     200);
  standin_runner_drain (world_runner (&w, 0));
  standin_set_silent (w.standin, false);
  world_turn (&w, 2000);
  for (int i = 0; i < 10; i++)
    {
      uint32_t before = standin_runner_executions (world_runner (&w, 0));
      struct world_answer *answer = world_get (&w, 0, "a.example", "/x", "");

      world_wait (&w, answer);
      ck_assert_uint_eq (standin_runner_executions (world_runner (&w, 0)),
                         before);
    }
}
END_TEST

static bool
both_know_other (struct world *world)
{
  for (size_t i = 0; i < 2; i++)
    {
      struct world_answer *answer
          = world_get (world, i, "new.example", "/x", "");

      world_wait (world, answer);
      if (answer->status != 200)
        return false;
    }
  return true;
}

/* Each answer of the store takes longer than a node waits before it takes its
 * watch for dead.  Asking anew before the answer has come, again and again,
 * would keep it from ever hearing of a change. */
START_TEST (test_slow_store)
{
  struct standin_runner_settings settings = { .id = "o0",
                                              .service = "other",
                                              .address = "127.0.0.1",
                                              .zone = "dc-1",
                                              .slots = 4,
                                              .work_ms = 5 };
  struct beryl_error error = { 0 };

  world_nodes (&w, 2);
  standin_set_delay (w.standin, 620);
  world_turn (&w, 2500);
  standin_runner_start (w.standin, &settings, &error);
  world_configure (&w, "other", "new.example");
  ck_assert (world_until (&w, both_know_other, 6000));
}
END_TEST

/* The store forgets its history, and something changed in between: the nodes
 * list everything again. */
START_TEST (test_store_compacts)
{
  world_nodes (&w, 1);
  standin_set_silent (w.standin, true);
  world_turn (&w, 100);
  world_configure (&w, "plain", "new.example");
  standin_remove (w.standin, "servers", "a1");
  standin_compact (w.standin);
  standin_set_silent (w.standin, false);
  world_turn (&w, 2500);
  world_wait (&w, world_get (&w, 0, "a.example", "/x", ""));
  for (int i = 0; i < 3; i++)
    {
      struct world_answer *answer = world_get (&w, 0, "new.example", "/x", "");

      world_wait (&w, answer);
      assert_whole (answer);
    }
}
END_TEST

/* A planned stop in the middle of work: what the node has read it finishes,
 * its name leaves the directory, and then it takes no more connections. */
START_TEST (test_planned_stop)
{
  struct world_answer *stream, *answer;

  world_nodes (&w, 2);
  stream = world_generate (&w, 0, 1000, 1500);
  world_turn (&w, 200);
  gateway_stop (w.nodes[0]);
  ck_assert_uint_ne (world_ask (&w, 0, WORLD_READY_PORT, "/v1/ready")->status,
                     200);
  /* A caller that has the address still is served, and told to leave. */
  answer = world_get (&w, 0, "a.example", "/x", "");
  world_wait (&w, answer);
  assert_whole (answer);
  ck_assert_ptr_nonnull (strstr (answer->fields->str, "Connection: close"));
  world_turn (&w, 300);
  answer = world_ask (&w, 1, WORLD_DIRECTORY_PORT, "/v1/resolve");
  ck_assert_ptr_null (strstr (answer->body->str, w.ips[0]));
  /* The stop ends the loop; nothing is left then. */
  world_wait (&w, stream);
  assert_stream (stream, 30);
  world_turn (&w, 1500);
  answer = world_get (&w, 0, "a.example", "/x", "");
  world_wait (&w, answer);
  ck_assert (answer->failed);
  ck_assert_int_eq (answer->failure, H1_FAILURE_REFUSED);
}
END_TEST

/* A caller leaves in the middle of its stream.  Its engine must stop. */
START_TEST (test_caller_leaves)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  answer = world_generate (&w, 0, 1000, 1900);
  world_turn (&w, 200);
  ck_assert_uint_gt (answer->body->len, 0);
  ck_assert_uint_eq (standin_runner_running (world_busiest (&w)), 1);
  world_leave (&w, answer);
  world_turn (&w, 100);
  ck_assert_uint_eq (standin_runner_running (world_busiest (&w)), 0);
}
END_TEST

/* A node is killed in the middle of streams.  Their callers come back to
 * another node with the same prompts, which engines still have: nothing is
 * read a second time. */
START_TEST (test_prompts_of_killed_node)
{
  static const char *const prompts[]
      = { "part-1", "part-2", "part-3", "part-4" };
  struct world_answer *answers[4];

  world_nodes (&w, 2);
  for (int i = 0; i < 4; i++)
    world_generate_prompt (&w, 0, prompts[i], 0);
  world_turn (&w, 700);
  ck_assert_uint_eq (standin_counts (w.standin)->prefills, 4);
  world_kill (&w, 0);
  world_turn (&w, 100);
  for (int i = 0; i < 4; i++)
    answers[i] = world_generate_prompt (&w, 1, prompts[i], 0);
  for (int i = 0; i < 4; i++)
    {
      world_wait (&w, answers[i]);
      assert_stream (answers[i], 30);
    }
  ck_assert_uint_eq (standin_counts (w.standin)->prefills, 4);
  ck_assert_uint_eq (standin_counts (w.standin)->warm, 4);
}
END_TEST

/* All nodes lose power at once and start again; nobody remembers where
 * prompts ran, but the engines do. */
START_TEST (test_prompts_after_restart_of_all)
{
  struct world_answer *answer;

  world_nodes (&w, 2);
  world_generate_prompt (&w, 0, "part-1", 0);
  world_turn (&w, 700);
  world_kill (&w, 0);
  world_kill (&w, 1);
  world_nodes (&w, 2);
  answer = world_generate_prompt (&w, 1, "part-1", 0);
  world_wait (&w, answer);
  assert_stream (answer, 30);
  ck_assert_uint_eq (standin_counts (w.standin)->prefills, 1);
  ck_assert_uint_eq (standin_counts (w.standin)->warm, 1);
}
END_TEST

/* Three nodes place 60 generations at the same engines, and each is answered
 * by one run; at most MOST are rejected on the way. */
static void
share_engines (uint32_t most)
{
  struct world_answer *answers[60];

  world_nodes (&w, 3);
  for (size_t i = 0; i < 60; i++)
    {
      answers[i] = world_generate (&w, i % 3, 3000, 500);
      world_turn (&w, 30);
    }
  for (size_t i = 0; i < 60; i++)
    world_wait (&w, answers[i]);
  for (size_t i = 0; i < 60; i++)
    assert_stream (answers[i], 10);
  ck_assert_uint_eq (standin_counts (w.standin)->executions, 60);
  ck_assert_uint_eq (standin_counts (w.standin)->repeated, 0);
  ck_assert_uint_le (standin_counts (w.standin)->rejected, most);
  for (size_t i = 0; i < WORLD_RUNNERS; i++)
    ck_assert_uint_eq (standin_runner_held (world_runner (&w, i)), 0);
}

/* Several nodes place generations at the same engines.  Together they keep to
 * the engines' memory: hardly a run is rejected, none is run twice. */
START_TEST (test_nodes_share_engines) { share_engines (3); }
END_TEST

/* The same with nodes in three data centres, who hear of each other's runs up
 * to a quarter of a second late: the engines' own word keeps them from running
 * over, at the price of some more questions. */
START_TEST (test_far_nodes_share_engines)
{
  w.data_centres[1] = "dc-2";
  w.data_centres[2] = "dc-3";
  share_engines (6);
}
END_TEST

static void
assert_has (const struct world_answer *answer, const char *line)
{
  ck_assert_msg (strstr (answer->body->str, line) != NULL, "no %s in %s", line,
                 answer->body->str);
}

/* Story: an engine crashes and is back under its id at once.  Callers who
 * come after that are served by it as by a new one, and each is answered by
 * one run. */
START_TEST (test_engines_start_again)
{
  struct beryl_error error = { 0 };

  world_nodes (&w, 2);
  world_wait (&w, world_generate (&w, 0, 2000, 500));
  for (size_t i = 3; i < WORLD_RUNNERS; i++)
    ck_assert_msg (standin_runner_restart (world_runner (&w, i), &error), "%s",
                   error.message);
  world_turn (&w, 300);
  for (size_t i = 0; i < 6; i++)
    {
      struct world_answer *answer = world_generate (&w, i % 2, 2000, 500);

      world_wait (&w, answer);
      assert_stream (answer, 10);
    }
  ck_assert_uint_eq (standin_counts (w.standin)->repeated, 0);
}
END_TEST

/* Story: somebody else writes into the store: entries that are none, one over
 * an endpoint's own, and a lease that nobody can read.  Callers notice
 * nothing, and the lease is held again once its last holder's time is over. */
static bool
lease_is_readable (struct world *world)
{
  const json_t *lease
      = standin_spec (world->standin, "gateway-leases", "stage-planner");

  return json_is_string (json_object_get (lease, "holder"));
}

START_TEST (test_foreign_writer)
{
  world_nodes (&w, 2);
  standin_put (w.standin, "servers", "foreign", json_stringn ("a\0b", 3));
  standin_put (w.standin, "servers", "a0",
               json_pack ("{s:s, s:i}", "service", "plain", "address", 1));
  standin_put (w.standin, "gateway-leases", "stage-planner", json_integer (1));
  world_turn (&w, NEWS_MS);
  for (size_t i = 0; i < 6; i++)
    {
      struct world_answer *answer
          = world_get (&w, i % 2, "a.example", "/x", "");

      world_wait (&w, answer);
      assert_whole (answer);
    }
  ck_assert_uint_eq (standin_runner_executions (world_runner (&w, 0)), 0);
  assert_has (world_ask (&w, 0, WORLD_METRICS_PORT, "/metrics"),
              "beryl_foreign_entries_total 2\n");
  standin_runner_list (world_runner (&w, 0));
  world_turn (&w, NEWS_MS);
  for (size_t i = 0; i < 6; i++)
    world_wait (&w, world_get (&w, 0, "a.example", "/x", ""));
  ck_assert_uint_gt (standin_runner_executions (world_runner (&w, 0)), 0);
  ck_assert (world_until (&w, lease_is_readable, 20000));
}
END_TEST

/* The metrics tell the same as the callers saw. */
START_TEST (test_metrics)
{
  struct world_answer *answer;

  world_nodes (&w, 1);
  for (int i = 0; i < 7; i++)
    world_wait (&w, world_get (&w, 0, "a.example", "/x", ""));
  for (int i = 0; i < 2; i++)
    world_wait (&w, world_generate (&w, 0, 1000, 200));
  world_wait (&w, world_get (&w, 0, "unknown.example", "/x", ""));
  answer = world_ask (&w, 0, WORLD_METRICS_PORT, "/metrics");
  ck_assert_uint_eq (answer->status, 200);
  assert_has (answer, "beryl_gateway_requests_total{service=\"plain\","
                      "end=\"answer\",cause=\"whole\"} 7\n");
  assert_has (answer, "beryl_gateway_requests_total{service=\"model\","
                      "end=\"answer\",cause=\"whole\"} 2\n");
  assert_has (answer, "beryl_gateway_requests_total{service=\"\","
                      "end=\"refuse\",cause=\"no_route\"} 1\n");
  assert_has (answer, "beryl_gateway_steps_total{step=\"prefill\","
                      "outcome=\"done\"} 2\n");
  assert_has (answer, "beryl_gateway_answer_ms_bucket{service=\"plain\","
                      "le=\"+Inf\"} 7\n");
  assert_has (answer, "beryl_gateway_answer_ms_count{service=\"plain\"} 7\n");
  assert_has (answer, "beryl_gateway_open 0\n");
  assert_has (answer, "beryl_gateway_ready 1\n");
}
END_TEST

/* A foreign writer fills a page of the list of endpoints, and no node finds
 * one of those behind it. */
START_TEST (test_page_of_foreign_entries)
{
  struct world_answer *answer;
  char name[16];

  for (int i = 0; i < 600; i++)
    {
      g_snprintf (name, sizeof name, "A b/%03d", i);
      standin_put (w.standin, "servers", name, json_object ());
    }
  world_nodes (&w, 1);
  answer = world_get (&w, 0, "a.example", "/x", "");
  world_wait (&w, answer);
  assert_whole (answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gateway");
  TCase *tcase = tcase_create ("whole path");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_page_of_foreign_entries);
  tcase_add_test (tcase, test_path);
  tcase_add_test (tcase, test_generation);
  tcase_add_test (tcase, test_not_ready);
  tcase_add_test (tcase, test_killed_node_is_not_named);
  tcase_add_test (tcase, test_record_is_taken_back);
  tcase_add_test (tcase, test_record_is_written_again);
  tcase_add_test (tcase, test_configuration_spreads);
  tcase_add_test (tcase, test_draining_runner);
  tcase_add_test (tcase, test_removed_runner_stays_removed);
  tcase_add_test (tcase, test_engine_dies);
  tcase_add_test (tcase, test_engine_freezes);
  tcase_add_test (tcase, test_engine_leaves);
  tcase_add_test (tcase, test_plain_runner_freezes);
  tcase_add_test (tcase, test_store_silent);
  tcase_add_test (tcase, test_slow_store);
  tcase_add_test (tcase, test_store_compacts);
  tcase_add_test (tcase, test_planned_stop);
  tcase_add_test (tcase, test_caller_leaves);
  tcase_add_test (tcase, test_prompts_of_killed_node);
  tcase_add_test (tcase, test_prompts_after_restart_of_all);
  tcase_add_test (tcase, test_nodes_share_engines);
  tcase_add_test (tcase, test_far_nodes_share_engines);
  tcase_add_test (tcase, test_engines_start_again);
  tcase_add_test (tcase, test_foreign_writer);
  tcase_add_test (tcase, test_metrics);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
