#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "config_source.h"
#include "world.h"

#define LETTERS "/v1/services/lookup/letters"

static struct world *world;
static struct answer answer;
static char key[64];

static void
create (const char *second_key)
{
  world = world_create_two (second_key);
  g_snprintf (key, sizeof key, "b-%016" G_GINT64_MODIFIER "x-letter-1",
              world->nodes[0]->incarnation);
}

static void
set_up (void)
{
  create ("key of the cluster");
}

static void
set_up_wrong_key (void)
{
  create ("another key");
}

static void
tear_down (void)
{
  world_destroy (world);
}

static void
call_at (size_t node, const char *method, const char *path, const char *header,
         const char *value, const char *body)
{
  world->entry = world->nodes[node];
  world_call (world, &answer, method, path, header, value, body);
}

static bool
body_has (const char *part)
{
  return strstr (answer.body->str, part) != NULL;
}

/* A portal's connection to n1 breaks and it sends its call with the key of n1
 * to n2.  Running it there could run it twice; n2 passes it to n1, which
 * answers through n2, and a repeat is told that it was answered. */
START_TEST (test_bound_key_elsewhere)
{
  call_at (1, "POST", LETTERS, "idempotency-key", key, "{}");
  ck_assert_msg (answer.status == 200, "%s", answer.body->str);
  ck_assert_str_eq (answer.body->str, "{\"status\":\"granted\"}");
  answer_clear (&answer);
  call_at (0, "POST", LETTERS, "idempotency-key", key, "{}");
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("key-answered"));
  answer_clear (&answer);
  call_at (1, "POST", LETTERS, "idempotency-key", key, "{\"other\":1}");
  ck_assert_uint_eq (answer.status, 422);
  ck_assert_uint_eq (world->service_runs, 1);
  answer_clear (&answer);
}
END_TEST

/* The node of a key has crashed.  Whether its call ran is not known to
 * anybody, so that no other node may run it or say "not run". */
START_TEST (test_bound_key_of_dead_node)
{
  world_kill (world, 0);
  world_introduce (world);
  call_at (1, "POST", LETTERS, "idempotency-key", key, "{}");
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  ck_assert_uint_eq (world->service_runs, 0);
  answer_clear (&answer);
}
END_TEST

/* A caller lost the answer's end and asks another node for the rest. */
START_TEST (test_fetch_elsewhere)
{
  struct http_call *open;
  char path[160];

  world->service_mode = SERVICE_SILENT;
  world->entry = world->nodes[0];
  open = world_send (world, &answer, "POST", LETTERS, "idempotency-key", key,
                     "{}");
  world_run (world, 200);
  http_call_cancel (open);
  answer_clear (&answer);
  world_run (world, 200);
  g_snprintf (path, sizeof path, "/v1/requests/%s", key);
  call_at (1, "GET", path, NULL, NULL, NULL);
  ck_assert_msg (answer.status == 409 && body_has ("key-in-use"), "%u %s",
                 answer.status, answer.body->str);
  answer_clear (&answer);
}
END_TEST

/* A station's billing verdict is sent to both nodes under one key of its own;
 * the claim in the object API lets one of them run it. */
START_TEST (test_free_key)
{
  world_run (world, 300);
  call_at (0, "POST", LETTERS, "idempotency-key", "verdict-17", "{}");
  ck_assert_msg (answer.status == 200, "%s", answer.body->str);
  answer_clear (&answer);
  call_at (1, "POST", LETTERS, "idempotency-key", "verdict-17", "{}");
  ck_assert_msg (answer.status == 409, "%u %s", answer.status,
                 answer.body->str);
  ck_assert_uint_eq (world->service_runs, 1);
  answer_clear (&answer);
}
END_TEST

/* A stranger on the network connects to the peer port and forwards a call in
 * the name of an organisation.  Only members' addresses may connect. */
START_TEST (test_stranger_is_refused)
{
  g_free (world->nodes[0]->members);
  world->nodes[0]->members = NULL;
  world->nodes[0]->member_count = 0;
  call_at (1, "POST", LETTERS, "idempotency-key", key, "{}");
  ck_assert_uint_ge (answer.status, 400);
  ck_assert_uint_eq (world->service_runs, 0);
  answer_clear (&answer);
}
END_TEST

/* The stranger sits on a member's address, but has another key. */
START_TEST (test_wrong_key_is_refused)
{
  call_at (1, "POST", LETTERS, "idempotency-key", key, "{}");
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  ck_assert_uint_eq (world->service_runs, 0);
  answer_clear (&answer);
}
END_TEST

#define FREE_KEYS 6

/* Sends FREE_KEYS calls with free keys to the second node; returns how many
 * ran.  The shards of some of the keys have their home at the first node. */
static uint32_t
run_free_keys (void)
{
  uint32_t ran = 0;
  char free_key[32];

  for (int i = 0; i < FREE_KEYS; i++)
    {
      g_snprintf (free_key, sizeof free_key, "verdict-%d", i);
      call_at (1, "POST", LETTERS, "idempotency-key", free_key, "{}");
      if (answer.status == 200)
        ran++;
      else
        ck_assert_msg (body_has ("\"outcome\":\"unknown\""), "%u %s",
                       answer.status, answer.body->str);
      answer_clear (&answer);
    }
  ck_assert_uint_eq (world->service_runs, ran);
  return ran;
}

/* A caller is told "not run" of a verdict that ran.  The connection to a
 * key's home breaks, here since the home refuses the node's proof; the node
 * takes that for the home's death and writes its claim itself, and the home,
 * which lives, is still sure that it knows every key. */
START_TEST (test_home_that_closes_lives)
{
  world_run (world, 300);
  ck_assert_uint_lt (run_free_keys (), FREE_KEYS);
}
END_TEST

/* The home of some keys has crashed and the members do not know it yet.  Its
 * port refuses connections, which proves that it is gone: no call waits for
 * the members. */
START_TEST (test_home_that_is_gone)
{
  world_run (world, 300);
  world_kill (world, 0);
  ck_assert_uint_eq (run_free_keys (), FREE_KEYS);
}
END_TEST

/* A node is cut off from the others and from the platform.  It is the only
 * member of its own view and so home of every key; a caller is told "not run"
 * of a verdict that ran through the others meanwhile. */
START_TEST (test_isolated_node_is_not_certain)
{
  struct local_member self = { .address = "127.0.0.1" };
  struct local_view view = { .members = &self, .member_count = 1 };

  world_run (world, 300);
  call_at (0, "POST", LETTERS, "idempotency-key", "verdict-17", "{}");
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
  g_strlcpy (self.node, world->nodes[1]->settings->node, sizeof self.node);
  view.isolated = true;
  config_source_view (world->nodes[1], &view);
  call_at (1, "POST", LETTERS, "idempotency-key", "verdict-17", "{}");
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("key-unknown"));
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  answer_clear (&answer);
  call_at (1, "POST", LETTERS, "idempotency-key", "verdict-18", "{}");
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  answer_clear (&answer);
  ck_assert_uint_eq (world->service_runs, 1);
  view.isolated = false;
  config_source_view (world->nodes[1], &view);
  call_at (1, "POST", LETTERS, "idempotency-key", "verdict-18", "{}");
  ck_assert_msg (answer.status == 200, "%u %s", answer.status,
                 answer.body->str);
  answer_clear (&answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peers");
  TCase *tcase = tcase_create ("peers");
  TCase *stranger = tcase_create ("stranger");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (stranger, 30);
  tcase_add_checked_fixture (stranger, set_up_wrong_key, tear_down);
  tcase_add_test (tcase, test_bound_key_elsewhere);
  tcase_add_test (tcase, test_bound_key_of_dead_node);
  tcase_add_test (tcase, test_fetch_elsewhere);
  tcase_add_test (tcase, test_free_key);
  tcase_add_test (tcase, test_stranger_is_refused);
  tcase_add_test (tcase, test_home_that_is_gone);
  tcase_add_test (tcase, test_isolated_node_is_not_certain);
  tcase_add_test (stranger, test_wrong_key_is_refused);
  tcase_add_test (stranger, test_home_that_closes_lives);
  suite_add_tcase (suite, tcase);
  suite_add_tcase (suite, stranger);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
