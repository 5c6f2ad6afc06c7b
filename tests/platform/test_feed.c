#include <stdlib.h>
#include <string.h>

#include "../suite.h"
#include "request_helpers.h"

static struct beryl_platform_event
put_of (const char *name, uint64_t version)
{
  return (struct beryl_platform_event){
    .object = { .kind = "log",
                .name = name,
                .version = version,
                .value = "{}",
                .value_bytes = 2 },
  };
}

static struct beryl_platform_event
delete_of (const char *name, uint64_t version)
{
  return (struct beryl_platform_event){
    .deleted = true,
    .object = { .kind = "log", .name = name, .version = version },
  };
}

/* Creates a fake with object "a" and a client that watches it; returns the
 * watch. */
static uint64_t
open_watch (struct fake *f, struct fake_client **client)
{
  uint64_t watch;

  fake_init (f, 1);
  *client = fake_add (f, NULL);
  store_write_as_other (f, "a", "{}");
  watch = beryl_platform_watch ((*client)->core, BERYL_USE_INSTANCES, "log",
                                f->now_ms);
  fake_run (f, f->now_ms + 500);
  ck_assert_str_eq ((*client)->events, "+a");
  return watch;
}

/* A paused watch whose changes are applied from outside makes no calls. */
START_TEST (test_paused_watch_makes_no_calls)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch = open_watch (&f, &c);
  uint64_t sent;
  struct beryl_platform_event event;

  beryl_platform_watch_pause (c->core, watch, true);
  /* The pending long poll is answered with the first change. */
  store_write_as_other (&f, "b", "{}");
  fake_run (&f, f.now_ms + 1000);
  sent = c->sent;
  for (uint64_t version = 3; version < 40; version++)
    {
      store_write_as_other (&f, "c", "{}");
      event = put_of ("c", version);
      ck_assert (beryl_platform_watch_apply (c->core, watch, version - 1,
                                             version, &event, 1));
      fake_run (&f, f.now_ms + 100);
    }
  ck_assert_uint_eq (c->sent, sent);
  ck_assert_uint_eq (c->revision, 39);
  fake_destroy (&f);
}
END_TEST

/* Guards against applying changes after a lost datagram, which would hide the
 * gap. */
START_TEST (test_gap_is_refused)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch = open_watch (&f, &c);
  struct beryl_platform_event event = put_of ("d", 5);

  ck_assert (!beryl_platform_watch_apply (c->core, watch, 4, 5, &event, 1));
  ck_assert_str_eq (c->events, "+a");
  ck_assert_uint_eq (c->revision, 1);
  ck_assert (
      !beryl_platform_watch_apply (c->core, watch + 9, 1, 5, &event, 1));
  fake_destroy (&f);
}
END_TEST

/* Guards against a deleted endpoint reappearing, because the datagram of a
 * second watcher arrives after the first one has reported the deletion. */
START_TEST (test_late_events_are_ignored)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch = open_watch (&f, &c);
  struct beryl_platform_event put_b = put_of ("b", 2);
  struct beryl_platform_event put_and_delete[] = { put_b, delete_of ("b", 3) };

  ck_assert (
      beryl_platform_watch_apply (c->core, watch, 1, 3, put_and_delete, 2));
  ck_assert_str_eq (c->events, "+a +b -b");
  ck_assert (beryl_platform_watch_apply (c->core, watch, 1, 2, &put_b, 1));
  ck_assert_str_eq (c->events, "+a +b -b");
  ck_assert_uint_eq (c->revision, 3);
  fake_destroy (&f);
}
END_TEST

/* Changes cannot be applied before the first list, as their base is unknown.
 */
START_TEST (test_events_before_first_list_are_refused)
{
  struct fake f;
  struct fake_client *c;
  struct beryl_platform_event event = put_of ("a", 1);
  uint64_t watch;

  fake_init (&f, 1);
  c = fake_add (&f, NULL);
  watch = beryl_platform_watch (c->core, BERYL_USE_INSTANCES, "log", f.now_ms);
  ck_assert (!beryl_platform_watch_apply (c->core, watch, 0, 1, &event, 1));
  ck_assert_str_eq (c->events, "");
  fake_destroy (&f);
}
END_TEST

/* Once resumed, a watch must report at once what changed while it was paused
 * and no changes were applied from outside. */
START_TEST (test_resumed_watch_refreshes)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch = open_watch (&f, &c);

  beryl_platform_watch_pause (c->core, watch, true);
  store_write_as_other (&f, "b", "{}");
  fake_run (&f, f.now_ms + 2000);
  store_write_as_other (&f, "c", "{}");
  fake_run (&f, f.now_ms + 2000);
  ck_assert_str_eq (c->events, "+a +b");
  beryl_platform_watch_pause (c->core, watch, false);
  fake_run (&f, f.now_ms + 100);
  ck_assert_str_eq (c->events, "+a +b +c");
  /* The watch goes on polling. */
  store_write_as_other (&f, "d", "{}");
  fake_run (&f, f.now_ms + 2000);
  ck_assert_str_eq (c->events, "+a +b +c +d");
  fake_destroy (&f);
}
END_TEST

/* A refresh of a paused watch fills a gap with one call; the watch stays
 * paused. */
START_TEST (test_refresh_while_paused)
{
  struct fake f;
  struct fake_client *c;
  uint64_t watch = open_watch (&f, &c);
  uint64_t sent;

  beryl_platform_watch_pause (c->core, watch, true);
  store_write_as_other (&f, "b", "{}");
  fake_run (&f, f.now_ms + 1000);
  store_write_as_other (&f, "c", "{}");
  sent = c->sent;
  beryl_platform_watch_refresh (c->core, watch);
  fake_run (&f, f.now_ms + 5000);
  ck_assert_str_eq (c->events, "+a +b +c");
  ck_assert_uint_eq (c->sent, sent + 1);
  fake_destroy (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed");
  TCase *tcase = tcase_create ("feed");

  tcase_add_test (tcase, test_paused_watch_makes_no_calls);
  tcase_add_test (tcase, test_gap_is_refused);
  tcase_add_test (tcase, test_late_events_are_ignored);
  tcase_add_test (tcase, test_events_before_first_list_are_refused);
  tcase_add_test (tcase, test_resumed_watch_refreshes);
  tcase_add_test (tcase, test_refresh_while_paused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
