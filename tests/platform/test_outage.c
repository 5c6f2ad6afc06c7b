#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "request_helpers.h"

START_TEST (test_watch_reports_changes)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, f.now_ms + 500);
  ck_assert_str_eq (c->events, "+a");
  store_write_as_other (&f, "b", "{}");
  store_delete (f.store, "log", "a", STORE_IF_ANY, &(uint64_t){ 0 }, f.now_ms);
  fake_run (&f, f.now_ms + 500);
  ck_assert_str_eq (c->events, "+a +b -a");
  ck_assert_uint_eq (c->revision, 3);
  ck_assert_uint_lt (c->sent, 8);
  fake_run (&f, f.now_ms + 120000);
  /* Without changes a watch makes one call in 20 s. */
  ck_assert_uint_lt (c->sent, 16);
  fake_destroy (&f);
}
END_TEST

/* Guards against keeping a deleted object after a node could not reach the
   platform for so long that the events in between are no longer available. */
START_TEST (test_watch_repairs_a_gap)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  store_write_as_other (&f, "b", "{}");
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, f.now_ms + 500);
  f.faults.hang = true;
  fake_run (&f, f.now_ms + 30000);
  store_delete (f.store, "log", "a", STORE_IF_ANY, &(uint64_t){ 0 }, f.now_ms);
  store_write_as_other (&f, "b", "{\"new\":1}");
  store_compact (f.store);
  f.faults.hang = false;
  fake_run (&f, f.now_ms + 30000);
  ck_assert_str_eq (c->events, "+a +b +b -a");
  ck_assert_uint_eq (beryl_platform_counts (c->core)->relisted, 1);
  fake_destroy (&f);
}
END_TEST

/* Guards against reverting an accepted change: after a gap the list comes from
   a replica that lags behind what this node has seen. */
START_TEST (test_stale_list_reverts_nothing)
{
  struct fake f;
  struct fake_client *c;

  fake_init (&f, 3);
  c = fake_add (&f, NULL);
  store_write_as_other (&f, "a", "{}");
  fake_run (&f, f.now_ms + 1000);
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, f.now_ms + 500);
  store_write_as_other (&f, "b", "{}");
  fake_run (&f, f.now_ms + 500);
  ck_assert_str_eq (c->events, "+a +b");
  f.faults.stale_max_ms = 4000;
  store_write_as_other (&f, "c", "{}");
  store_compact (f.store);
  fake_run (&f, f.now_ms + 30000);
  ck_assert_uint_gt (beryl_platform_counts (c->core)->stale, 0);
  ck_assert_str_eq (c->events, "+a +b +c");
  fake_destroy (&f);
}
END_TEST

START_TEST (test_instances)
{
  static const char value[]
      = "{\"kind\":\"entry\",\"address\":\"127.0.0.1\",\"port\":80,"
        "\"data_centre\":\"a\",\"region\":\"r\",\"state\":\"live\"}";
  struct fake f;
  struct fake_client *c;
  uint64_t version = 0;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  store_put (f.instances, "instance", "n1", STORE_IF_ANY, &version, value,
             strlen (value), f.now_ms);
  store_put (f.instances, "instance", "bad", STORE_IF_ANY, &version, "{}", 2,
             f.now_ms);
  beryl_platform_watch_instances (c->core, f.now_ms);
  fake_run (&f, f.now_ms + 500);
  ck_assert_uint_eq (c->instances, 1);
  ck_assert_uint_eq (beryl_platform_counts (c->core)->malformed, 1);
  store_put (f.instances, "instance", "n2", STORE_IF_ANY, &version, value,
             strlen (value), f.now_ms);
  fake_run (&f, f.now_ms + 500);
  ck_assert_uint_eq (c->instances, 2);
  fake_destroy (&f);
}
END_TEST

/* Guards against an unchanged instance list that counts as outdated. Declaring
   a silent node dead requires a current list; without confirmations no node
   could be declared dead after a minute, and its streams would not be
   cancelled. */
START_TEST (test_unchanged_instances_are_confirmed)
{
  struct fake f;
  struct fake_client *c;
  uint32_t before;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  beryl_platform_watch_instances (c->core, f.now_ms);
  fake_run (&f, f.now_ms + 500);
  before = c->syncs;
  fake_run (&f, f.now_ms + 90000);
  ck_assert_uint_ge (c->syncs, before + 3);
  fake_destroy (&f);
}
END_TEST

/* During an outage of a minute, claims must fail at once and calls must be
   few; after it, the client must recover quickly. */
START_TEST (test_outage_opens_the_breaker)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;
  uint64_t request;
  uint64_t sent;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  f.faults.hang = true;
  for (int i = 0; i < 8; i++)
    request_get (c,
                 (const char *[]){ "a", "b", "c", "d", "e", "f", "g", "h" }[i],
                 0, 4);
  fake_run (&f, f.now_ms + 10000);
  ck_assert (beryl_platform_is_unreachable (c->core));
  sent = c->sent;
  fake_run (&f, f.now_ms + 60000);
  ck_assert_uint_lt (c->sent - sent, 30);
  o = request_options (&f, BERYL_USE_CLAIM, 30, false);
  request = beryl_platform_get (c->core, &o, "log", "z", 0, f.now_ms);
  sent = (uint64_t)f.now_ms;
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_lt (f.now_ms - (int64_t)sent, 2500);
  f.faults.hang = false;
  fake_run (&f, f.now_ms + 8000);
  ck_assert (!beryl_platform_is_unreachable (c->core));
  ck_assert_uint_eq (beryl_platform_counts (c->core)->breaker_opened, 1);
  fake_destroy (&f);
}
END_TEST

/* Guards against a breaker that stays open for ever after an outage: if all
   requests fail fast, each would fail before it could become the probe. */
START_TEST (test_fail_fast_requests_probe)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.outage = true;
  for (int i = 0; i < 100; i++)
    {
      if (i == 60)
        f.faults.outage = false;
      o = request_options (&f, BERYL_USE_LEASE, 2, false);
      beryl_platform_get (c->core, &o, "log", "lease", 0, f.now_ms);
      fake_run (&f, f.now_ms + 250);
      if (i == 59)
        ck_assert (beryl_platform_is_unreachable (c->core));
    }
  ck_assert (!beryl_platform_is_unreachable (c->core));
  ck_assert_int_eq (c->results[c->result_count - 1].code,
                    BERYL_ERROR_NOT_FOUND);
  ck_assert_uint_lt (c->sent, 70);
  fake_destroy (&f);
}
END_TEST

/* The same with watches, as in a control daemon; their probes alone must close
   the breaker. */
START_TEST (test_watch_probes_during_outage)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  beryl_platform_watch_instances (c->core, f.now_ms);
  fake_run (&f, f.now_ms + 1000);
  f.faults.outage = true;
  for (int i = 0; i < 100; i++)
    {
      if (i == 60)
        f.faults.outage = false;
      o = request_options (&f, BERYL_USE_LEASE, 2, false);
      beryl_platform_get (c->core, &o, "log", "lease", 0, f.now_ms);
      fake_run (&f, f.now_ms + 250);
    }
  ck_assert (!beryl_platform_is_unreachable (c->core));
  fake_destroy (&f);
}
END_TEST

/* While the breaker is open and no probe is due, a request that does not wait
   for recovery ends immediately. */
START_TEST (test_open_breaker_refuses_at_once)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options o;
  int64_t began_ms;
  uint64_t request;

  fake_init (&f, 1);
  c = fake_add (&f, &(struct beryl_platform_settings){
                        .backoff_min_ms = 2000, .breaker_failures = 1 });
  f.faults.outage = true;
  request_get (c, "a", 0, 1);
  fake_run (&f, f.now_ms + 100);
  ck_assert (beryl_platform_is_unreachable (c->core));
  began_ms = f.now_ms;
  o = request_options (&f, BERYL_USE_CLAIM, 30, false);
  request = beryl_platform_get (c->core, &o, "log", "z", 0, f.now_ms);
  ck_assert_int_eq (fake_wait (c, request)->code, BERYL_ERROR_UNAVAILABLE);
  ck_assert_int_le (c->results[c->result_count - 1].at_ms - began_ms, 1);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_rate_limited_answer)
{
  struct fake f;
  struct fake_client *c;
  int64_t began_ms;
  const struct fake_result *r;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  f.faults.limit_next = 1;
  began_ms = f.now_ms;
  r = fake_wait (c, request_put (c, "a", BERYL_IF_ABSENT, 0, "n", 10));
  ck_assert_int_eq (r->code, BERYL_OK);
  ck_assert_int_ge (r->at_ms - began_ms, 1000);
  ck_assert_uint_eq (beryl_platform_counts (c->core)->refused, 1);
  ck_assert (!beryl_platform_is_unreachable (c->core));
  fake_destroy (&f);
}
END_TEST

/* Guards against a node that the platform turns away for seconds, without
 * saying for how long, and that keeps asking many times a second. */
START_TEST (test_rate_limited_for_long)
{
  struct fake f;
  struct fake_client *c;
  uint64_t refused;

  fake_init (&f, 1);
  c = fake_add (&f, &(struct beryl_platform_settings){
                        .backoff_min_ms = 50, .backoff_max_ms = 1000 });
  f.faults.limit_next = UINT32_MAX;
  f.faults.limit_without_delay = true;
  beryl_platform_watch (c->core, BERYL_USE_CONFIG, "log", f.now_ms);
  fake_run (&f, f.now_ms + 10000);
  refused = beryl_platform_counts (c->core)->refused;
  ck_assert_uint_ge (refused, 6);
  ck_assert_uint_le (refused, 20);
  fake_destroy (&f);
}
END_TEST

/* Guards against a lease that expires because its renewal is queued behind a
   thousand status writes. */
START_TEST (test_budget_is_shared)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_options status, lease;
  struct beryl_platform_write w
      = { "log", "s", BERYL_IF_ANY, 0, "{}", 2, NULL };
  int64_t began_ms;
  uint64_t request;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  status = request_options (&f, BERYL_USE_STATUS, 300, true);
  for (int i = 0; i < 1000; i++)
    beryl_platform_put (c->core, &status, &w, f.now_ms);
  fake_run (&f, f.now_ms + 5000);
  began_ms = f.now_ms;
  lease = request_options (&f, BERYL_USE_LEASE, 10, true);
  w.name = "lease";
  request = beryl_platform_put (c->core, &lease, &w, f.now_ms);
  ck_assert_int_lt (fake_wait (c, request)->at_ms - began_ms, 500);
  fake_run (&f, f.now_ms + 10000);
  /* 10 writes a second and a burst of 10. */
  ck_assert_uint_le (store_count_writes (&f), 180);
  ck_assert_uint_ge (store_count_writes (&f), 150);
  fake_destroy (&f);
}
END_TEST

START_TEST (test_queue_limit_and_cancel)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_settings s = { .queue_max = 2 };
  uint64_t first;

  fake_init (&f, 1);
  c = fake_add (&f, &s);
  first = request_get (c, "a", 0, 5);
  request_get (c, "b", 0, 5);
  ck_assert_int_eq (fake_wait (c, request_get (c, "c", 0, 5))->code,
                    BERYL_ERROR_LIMIT);
  beryl_platform_cancel (c->core, first);
  fake_run (&f, f.now_ms + 1000);
  for (size_t i = 0; i < c->result_count; i++)
    ck_assert_uint_ne (c->results[i].request, first);
  fake_destroy (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("outage");
  TCase *tc = tcase_create ("outage");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, test_watch_reports_changes);
  tcase_add_test (tc, test_watch_repairs_a_gap);
  tcase_add_test (tc, test_stale_list_reverts_nothing);
  tcase_add_test (tc, test_instances);
  tcase_add_test (tc, test_unchanged_instances_are_confirmed);
  tcase_add_test (tc, test_outage_opens_the_breaker);
  tcase_add_test (tc, test_fail_fast_requests_probe);
  tcase_add_test (tc, test_watch_probes_during_outage);
  tcase_add_test (tc, test_open_breaker_refuses_at_once);
  tcase_add_test (tc, test_rate_limited_answer);
  tcase_add_test (tc, test_rate_limited_for_long);
  tcase_add_test (tc, test_budget_is_shared);
  tcase_add_test (tc, test_queue_limit_and_cancel);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
