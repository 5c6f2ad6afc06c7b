#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request_helpers.h"

/* Guards against a node budget that is too small for its watches.  A store
 * served 120 reads a second to six nodes, and each node kept to a fiftieth of
 * that.  With a new configuration every third of a second their watch used it
 * up, the watch of endpoints was polled 2.2 s late, and requests reached an
 * endpoint that had left.  The budget must depend on the number of nodes, and
 * the sum must stay within the fleet's rate. */
START_TEST (test_node_rate)
{
  ck_assert_double_ge (beryl_platform_node_rate (120, 6), 8);
  ck_assert_double_le (6 * beryl_platform_node_rate (120, 6), 120);
  ck_assert_double_le (64 * beryl_platform_node_rate (6000, 64), 6000);
  ck_assert_double_le (400 * beryl_platform_node_rate (2000, 400), 2000);
  ck_assert_double_ge (beryl_platform_node_rate (100, 400), 2);
  ck_assert_double_gt (beryl_platform_node_rate (100, 0), 10);
}
END_TEST

static int
compare_waits (const void *a, const void *b)
{
  return *(const int *)a - *(const int *)b;
}

/* Guards against watches that all end together: whichever part of the fleet
 * is left, a call of it ends within three of its nodes' even intervals. */
START_TEST (test_first_waits_are_spread)
{
  static const uint32_t parts[][2]
      = { { 0, 1 },   { 0, 2 },  { 0, 8 },   { 0, 78 },  { 0, 300 },
          { 0, 400 }, { 0, 20 }, { 19, 78 }, { 60, 78 }, { 150, 300 } };
  enum
  {
    WAIT_MS = 25000
  };

  for (size_t part = 0; part < sizeof parts / sizeof parts[0]; part++)
    {
      int waits[400];
      int count = 0, longest = 0, last = 0;

      for (uint32_t rank = parts[part][0]; rank < parts[part][1]; rank++)
        waits[count++] = (int)beryl_platform_first_wait_ms (WAIT_MS, rank);
      qsort (waits, (size_t)count, sizeof waits[0], compare_waits);
      for (int i = 0; i < count; i++)
        {
          ck_assert_int_gt (waits[i], 0);
          ck_assert_int_le (waits[i], WAIT_MS);
          longest = waits[i] - last > longest ? waits[i] - last : longest;
          last = waits[i];
        }
      ck_assert_int_le (longest, 3 * WAIT_MS / count);
    }
}
END_TEST

/* Guards against waits of one length after a change, which answers the calls
 * of all nodes together, and against short ones where nothing changes. */
START_TEST (test_only_first_wait_is_short)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  beryl_platform_set_watch_waits (c->core, 1000, 5000);
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  for (int change = 0; change < 3; change++)
    {
      uint32_t syncs;

      fake_run (&f, f.now_ms + 300);
      syncs = c->syncs;
      fake_run (&f, f.now_ms + 600);
      ck_assert_uint_eq (c->syncs, syncs);
      fake_run (&f, f.now_ms + 500);
      ck_assert_uint_eq (c->syncs, syncs + 1);
      fake_run (&f, f.now_ms + 4500);
      ck_assert_uint_eq (c->syncs, syncs + 1);
      fake_run (&f, f.now_ms + 700);
      ck_assert_uint_eq (c->syncs, syncs + 2);
      store_write_as_other (&f, "a", "{}");
    }
  fake_destroy (&f);
}
END_TEST

/* Guards against calls that stay in step with those of other nodes: a node
 * that has just started learns its place late, and a call out of turn must not
 * move it. */
START_TEST (test_place_is_kept)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch;
  uint32_t syncs;
  int64_t start_ms;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  start_ms = f.now_ms;
  beryl_platform_set_watch_waits (c->core, 500, 500);
  watch = beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, start_ms + 300);
  beryl_platform_set_watch_waits (c->core, 2000, 5000);
  fake_run (&f, start_ms + 800);
  syncs = c->syncs;
  fake_run (&f, start_ms + 1900);
  ck_assert_uint_eq (c->syncs, syncs);
  fake_run (&f, start_ms + 2300);
  ck_assert_uint_eq (c->syncs, syncs + 1);
  fake_run (&f, start_ms + 4000);
  beryl_platform_watch_refresh (c->core, watch);
  fake_run (&f, start_ms + 6900);
  ck_assert_uint_eq (c->syncs, syncs + 2);
  fake_run (&f, start_ms + 7400);
  ck_assert_uint_eq (c->syncs, syncs + 3);
  fake_destroy (&f);
}
END_TEST

/* Guards against a node that reads each version of a large object in an answer
 * that brings several of them, and halts meanwhile. */
START_TEST (test_only_last_write_is_reported)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, f.now_ms + 20);
  /* While the watch pauses between two calls. */
  for (int i = 0; i < 5; i++)
    store_write_as_other (&f, "a", "{}");
  store_write_as_other (&f, "b", "{}");
  store_write_as_other (&f, "a", "{}");
  fake_run (&f, f.now_ms + 300);
  ck_assert_str_eq (c->events, "+a +b +a");
  fake_destroy (&f);
}
END_TEST

START_TEST (test_read_and_write)
{
  struct fake f;
  struct fake_client *c;
  const struct fake_result *r;
  uint64_t version;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  ck_assert_int_eq (fake_wait (c, request_get (c, "a", 0, 5))->code,
                    BERYL_ERROR_NOT_FOUND);
  r = fake_wait (c, request_put (c, "a", BERYL_IF_ABSENT, 0, "n1", 5));
  ck_assert_int_eq (r->code, BERYL_OK);
  version = r->version;
  r = fake_wait (c, request_put (c, "a", BERYL_IF_ABSENT, 0, "n2", 5));
  ck_assert_int_eq (r->code, BERYL_ERROR_CONFLICT);
  ck_assert_uint_eq (r->version, version);
  ck_assert (!r->overwritten);
  r = fake_wait (c, request_put (c, "a", BERYL_IF_VERSION, version, "n3", 5));
  ck_assert_int_eq (r->code, BERYL_OK);
  r = fake_wait (c, request_get (c, "a", 0, 5));
  ck_assert_int_eq (r->code, BERYL_OK);
  ck_assert_str_eq (r->value, "{\"nonce\":\"n3\"}");
  ck_assert_int_eq (fake_wait (c, request_get (c, "Not a name", 0, 5))->code,
                    BERYL_ERROR_INVALID);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_list_has_all_pages)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;
  const struct fake_result *r;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  for (int i = 0; i < 1203; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "o-%d", i);
      store_write_as_other (&f, name, "{}");
    }
  o = request_options (&f, BERYL_USE_CONFIG, 5, true);
  r = fake_wait (c, beryl_platform_list (c->core, &o, "log", "", f.now_ms));
  ck_assert_int_eq (r->code, BERYL_OK);
  ck_assert_uint_eq (r->object_count, 1203);
  ck_assert_uint_eq (c->sent, 3);
  r = fake_wait (c,
                 beryl_platform_list (c->core, &o, "log", "o-12", f.now_ms));
  ck_assert_uint_eq (r->object_count, 14);
  fake_destroy (&f);
}
END_TEST

/* Guards against a wrong outcome when a claim's create takes effect but its
   reply is lost.  Reported as a conflict, the call would never run; reported
   as without effect, it could run twice.  The repeated create conflicts with
   the first one, which its nonce identifies. */
START_TEST (test_lost_reply_is_settled)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;
  const struct fake_result *r;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.lose_reply_percent = 100;
  request = request_put (c, "a", BERYL_IF_ABSENT, 0, "mine", 30);
  fake_run (&f, f.now_ms + 100);
  f.faults.lose_reply_percent = 0;
  r = fake_wait (c, request);
  ck_assert_int_eq (r->code, BERYL_OK);
  ck_assert_uint_eq (r->version, 1);
  ck_assert_uint_eq (store_count_writes (&f), 1);
  ck_assert_uint_eq (beryl_platform_counts (c->core)->settled, 1);
  fake_destroy (&f);
}
END_TEST

/* The create is lost, and another node creates the object before it is
   repeated: the nonce is not this write's, so the result is a conflict. */
START_TEST (test_lost_request_conflicts_with_another)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;
  const struct fake_result *r;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.lose_request_percent = 100;
  request = request_put (c, "a", BERYL_IF_ABSENT, 0, "mine", 30);
  fake_run (&f, f.now_ms + 100);
  f.faults.lose_request_percent = 0;
  store_write_as_other (&f, "a", "{\"nonce\":\"theirs\"}");
  r = fake_wait (c, request);
  ck_assert_int_eq (r->code, BERYL_ERROR_CONFLICT);
  ck_assert (r->overwritten);
  fake_destroy (&f);
}
END_TEST

/* The create is delayed in the network for longer than the call's timeout. The
   repetition takes effect first; the delayed create then conflicts with it and
   changes nothing. */
START_TEST (test_delayed_write_applies_once)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.write_delay_ms = 4000;
  request = request_put (c, "a", BERYL_IF_ABSENT, 0, "mine", 30);
  fake_run (&f, f.now_ms + 100);
  f.faults.write_delay_ms = 0;
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_OK);
  fake_run (&f, f.now_ms + 10000);
  ck_assert_uint_eq (store_count_writes (&f), 1);
  fake_destroy (&f);
}
END_TEST

/* Guards against refusing a claim that was granted, because the read after a
   conflict is answered by a lagging replica without the object. */
START_TEST (test_read_back_from_stale_replica)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;

  fake_init (&f, 7);
  c = fake_add (&f, NULL);
  f.faults.lose_reply_percent = 100;
  request = request_put (c, "a", BERYL_IF_ABSENT, 0, "mine", 60);
  fake_run (&f, f.now_ms + 50);
  f.faults.lose_reply_percent = 0;
  f.faults.stale_max_ms = 20000;
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_OK);
  ck_assert_uint_gt (beryl_platform_counts (c->core)->stale, 0);
  fake_destroy (&f);
}
END_TEST

/* The same for an update: the replica still has the previous version with
   another nonce.  Accepting it would give up a lease that was won. */
START_TEST (test_read_back_of_an_update_from_stale_replica)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;

  fake_init (&f, 7);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{\"nonce\":\"theirs\"}");
  fake_run (&f, f.now_ms + 30000);
  f.faults.lose_reply_percent = 100;
  request = request_put (c, "a", BERYL_IF_VERSION, 1, "mine", 60);
  fake_run (&f, f.now_ms + 50);
  f.faults.lose_reply_percent = 0;
  f.faults.stale_max_ms = 20000;
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_OK);
  ck_assert_uint_gt (beryl_platform_counts (c->core)->stale, 0);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_unconditional_lost_reply_is_unknown)
{
  struct fake f;
  struct fake_client *c;
  uint64_t request;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.lose_reply_percent = 100;
  request = request_put (c, "a", BERYL_IF_ANY, 0, NULL, 30);
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_ERROR_UNKNOWN);
  ck_assert_uint_eq (store_count_writes (&f), 1);
  request = request_put (c, "b", BERYL_IF_ABSENT, 0, NULL, 30);
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_ERROR_UNKNOWN);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_deadline_result_codes)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.hang = true;
  ck_assert_int_eq (fake_wait (c, request_get (c, "a", 0, 1))->code,
                    BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_eq (
      fake_wait (c, request_put (c, "a", BERYL_IF_ABSENT, 0, "n", 1))->code,
      BERYL_ERROR_UNKNOWN);
  f.faults.hang = false;
  f.faults.outage = true;
  ck_assert_int_eq (
      fake_wait (c, request_put (c, "b", BERYL_IF_ABSENT, 0, "n", 1))->code,
      BERYL_ERROR_UNAVAILABLE);
  o = request_options (&f, BERYL_USE_CONFIG, 5, true);
  ck_assert_int_eq (fake_wait (c, beryl_platform_delete (c->core, &o, "log",
                                                         "x", 3, f.now_ms))
                        ->code,
                    BERYL_ERROR_UNAVAILABLE);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_lost_delete_is_settled)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;
  uint64_t request;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  o = request_options (&f, BERYL_USE_CONFIG, 30, true);
  f.faults.lose_reply_percent = 100;
  request = beryl_platform_delete (c->core, &o, "log", "a", 1, f.now_ms);
  fake_run (&f, f.now_ms + 100);
  f.faults.lose_reply_percent = 0;
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_OK);
  ck_assert_uint_eq (store_count_writes (&f), 2);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_equal_reads_are_joined)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  for (int i = 0; i < 50; i++)
    request_get (c, "a", 0, 5);
  fake_run (&f, f.now_ms + 1000);
  ck_assert_uint_eq (c->result_count, 50);
  ck_assert_uint_eq (c->sent, 1);
  ck_assert_uint_eq (
      beryl_platform_counts (c->core)->uses[BERYL_USE_CONFIG].joined, 49);
  fake_destroy (&f);
}
END_TEST

/* Guards against a read that starts after a write of the same process joining
   an earlier read, whose answer was sent before the write and is still in
   transit. */
START_TEST (test_read_after_own_write_is_new)
{
  struct fake f;
  struct fake_client *c;
  uint64_t first, second;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{\"old\":1}");
  fake_run (&f, f.now_ms + 1000);
  first = request_get (c, "a", 0, 9);
  beryl_platform_tick (c->core, f.now_ms);
  f.faults.delay_max_ms = 1500;
  fake_run (&f, f.now_ms + 1);
  f.faults.delay_max_ms = 1;
  ck_assert_int_eq (
      fake_wait (c, request_put (c, "a", BERYL_IF_VERSION, 1, "new", 5))->code,
      BERYL_OK);
  second = request_get (c, "a", 0, 5);
  ck_assert_str_eq (fake_wait (c, second)->value, "{\"nonce\":\"new\"}");
  ck_assert_str_eq (fake_wait (c, first)->value, "{\"old\":1}");
  fake_destroy (&f);
}
END_TEST

START_TEST (test_minimum_version)
{
  struct fake f;
  struct fake_client *c;
  const struct fake_result *r;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{\"v\":1}");
  fake_run (&f, f.now_ms + 3000);
  store_write_as_other (&f, "a", "{\"v\":2}");
  f.faults.stale_max_ms = 5000;
  r = fake_wait (c, request_get (c, "a", 2, 30));
  ck_assert_int_eq (r->code, BERYL_OK);
  ck_assert_str_eq (r->value, "{\"v\":2}");
  fake_destroy (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("client");
  TCase *tc = tcase_create ("client");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_node_rate);
  tcase_add_test (tc, test_first_waits_are_spread);
  tcase_add_test (tc, test_only_first_wait_is_short);
  tcase_add_test (tc, test_place_is_kept);
  tcase_add_test (tc, test_only_last_write_is_reported);
  tcase_add_test (tc, test_read_and_write);
  tcase_add_test (tc, test_list_has_all_pages);
  tcase_add_test (tc, test_lost_reply_is_settled);
  tcase_add_test (tc, test_lost_request_conflicts_with_another);
  tcase_add_test (tc, test_delayed_write_applies_once);
  tcase_add_test (tc, test_read_back_from_stale_replica);
  tcase_add_test (tc, test_read_back_of_an_update_from_stale_replica);
  tcase_add_test (tc, test_unconditional_lost_reply_is_unknown);
  tcase_add_test (tc, test_deadline_result_codes);
  tcase_add_test (tc, test_lost_delete_is_settled);
  tcase_add_test (tc, test_equal_reads_are_joined);
  tcase_add_test (tc, test_read_after_own_write_is_new);
  tcase_add_test (tc, test_minimum_version);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
