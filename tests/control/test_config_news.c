#include <check.h>
#include <stdio.h>

#include "../suite.h"
#include "config_fleet.h"

/* A fleet: its seed, size and bounds. */
struct site
{
  uint64_t seed;
  int nodes;
  int64_t bound_ms;   /* of a change */
  int64_t contact_ms; /* from which on a disturbance excuses nothing */
};

static const struct site sites[]
    = { { 1, 8, 2000, 3000 },  { 2, 8, 2000, 3000 },  { 3, 8, 2000, 3000 },
        { 1, 78, 3000, 4000 }, { 2, 78, 3000, 4000 }, { 1, 300, 3000, 4000 } };
#define SITE_COUNT ((int)(sizeof sites / sizeof sites[0]))
#define DATA_CENTRES 4

/* Half seconds of a release. */
#define RELEASE_STEPS 60

/* How long after a start nothing happens. */
static const int64_t quiet_ms[] = { 0, 12000, 28000 };

static struct config_fleet *
open_fleet (const struct site *site)
{
  struct config_fleet *f = config_fleet_create (site->seed, site->nodes,
                                                DATA_CENTRES, site->bound_ms);

  f->cluster->loss_percent = 2;
  config_fleet_change (f);
  ck_assert_int_eq (config_fleet_wait (f, site->bound_ms), 0);
  /* All calls have been made anew. */
  config_fleet_run (f, 600);
  return f;
}

/* Fails unless all nodes use the newest revision within FOR_MS from now. */
static void
expect_in_use (struct config_fleet *f, int64_t for_ms, const char *what)
{
  int behind = config_fleet_wait (f, for_ms);
  int64_t last_ms = f->changed_ms;

  for (int i = 0; i < f->count; i++)
    if (f->nodes[i].in_use_ms > last_ms)
      last_ms = f->nodes[i].in_use_ms;
  printf ("%d nodes, %s: last %ld ms after the change, %d behind\n", f->count,
          what, last_ms - f->changed_ms, behind);
  ck_assert_msg (behind == 0, "%d of %d nodes, %s", behind, f->count, what);
}

/* Guards against a change that no node hears of, since the waiting calls of
 * all have gone silent together: made while they are, and after. */
START_TEST (all_calls_are_silent)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  config_fleet_silence (f, -1, -1);
  config_fleet_change (f);
  expect_in_use (f, site->contact_ms, "all silent");
  config_fleet_run (f, 600);
  config_fleet_silence (f, -1, -1);
  config_fleet_run (f, site->contact_ms);
  config_fleet_change (f);
  expect_in_use (f, site->bound_ms, "all silent before");
  config_fleet_destroy (f);
}
END_TEST

/* Guards against a change that no node hears of, since all nodes have started
 * together and their calls wait in step until the first change. */
START_TEST (calls_are_silent_after_start)
{
  const struct site *site = &sites[_i];

  for (size_t i = 0; i < sizeof quiet_ms / sizeof quiet_ms[0]; i++)
    {
      struct config_fleet *f = config_fleet_create (
          site->seed, site->nodes, DATA_CENTRES, site->bound_ms);

      config_fleet_run (f, quiet_ms[i]);
      config_fleet_silence (f, -1, -1);
      config_fleet_change (f);
      expect_in_use (f, site->contact_ms, "silent after a start");
      config_fleet_destroy (f);
    }
}
END_TEST

/* Guards against calls that fall into step, or far apart, while nodes leave
 * and return one after the other, as in a release: their places change. */
START_TEST (calls_are_silent_after_release)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  for (int release = 0; release < 2; release++)
    {
      for (int i = 0; i < RELEASE_STEPS; i++)
        {
          f->missing = i % 2 == 0 ? i / 2 % f->count : -1;
          config_fleet_run (f, 500);
        }
      config_fleet_silence (f, -1, -1);
      config_fleet_change (f);
      expect_in_use (f, site->contact_ms, "silent after a release");
    }
  config_fleet_destroy (f);
}
END_TEST

/* Guards against a change that stays at the few nodes that have heard of it:
 * one node, or all but one data centre, or all but one. */
START_TEST (some_calls_are_silent)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  config_fleet_silence (f, -1, 5);
  config_fleet_change (f);
  expect_in_use (f, site->bound_ms, "one heard");
  config_fleet_run (f, 600);
  config_fleet_silence (f, 1, -1);
  config_fleet_change (f);
  expect_in_use (f, site->bound_ms, "one data centre silent");
  config_fleet_run (f, 600);
  for (int change = 0; change < 10; change++)
    {
      config_fleet_silence (f, -1, change);
      config_fleet_change (f);
      config_fleet_run (f, 100);
    }
  expect_in_use (f, site->bound_ms, "ten changes");
  config_fleet_destroy (f);
}
END_TEST

/* Guards against nodes that the store turns away and that the others leave
 * behind. */
START_TEST (most_nodes_are_turned_away)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  config_fleet_silence (f, -1, 3);
  for (int i = 0; i < f->count; i++)
    f->nodes[i].turned_away = i != 3;
  config_fleet_change (f);
  expect_in_use (f, site->bound_ms, "one not turned away");
  config_fleet_destroy (f);
}
END_TEST

/* Guards against a large configuration whose copies share the links of the
 * first nodes that have it: half a second on a node's link. */
START_TEST (large_configuration)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  f->transfer_ms = 500;
  config_fleet_silence (f, -1, 5);
  config_fleet_change (f);
  expect_in_use (f, site->bound_ms, "large, one heard");
  config_fleet_destroy (f);
}
END_TEST

/* Guards against a change that is hidden by a dropped history, and a list that
 * lags behind it: later than the list by no more than the bound, and never
 * back. */
START_TEST (list_lags)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);

  f->listed_revision = f->revision;
  config_fleet_silence (f, -1, -1);
  config_fleet_change (f);
  config_fleet_run (f, 1000);
  config_fleet_compact (f);
  config_fleet_run (f, 3000);
  for (int i = 0; i < f->count; i++)
    ck_assert_uint_ge (f->nodes[i].revision, f->listed_revision);
  f->listed_revision = 0;
  expect_in_use (f, site->bound_ms, "list lagged");
  config_fleet_destroy (f);
}
END_TEST

/* News of a change that the store itself tells all nodes costs no calls: each
 * makes its next one, and few others' waits end meanwhile. */
START_TEST (news_costs_no_calls)
{
  const struct site *site = &sites[_i];
  struct config_fleet *f = open_fleet (site);
  uint64_t calls = 0, more = 0;

  for (int i = 0; i < f->count; i++)
    calls += f->nodes[i].calls;
  config_fleet_change (f);
  config_fleet_run (f, 500);
  for (int i = 0; i < f->count; i++)
    more += f->nodes[i].calls;
  ck_assert_uint_le (more - calls, (uint64_t)(f->count + f->count / 8));
  expect_in_use (f, 0, "undisturbed");
  config_fleet_destroy (f);
}
END_TEST

static TCase *
create_case (const char *name, int first, int end)
{
  TCase *tcase = tcase_create (name);

  tcase_set_timeout (tcase, 100);
  tcase_add_loop_test (tcase, all_calls_are_silent, first, end);
  tcase_add_loop_test (tcase, calls_are_silent_after_start, first, end);
  tcase_add_loop_test (tcase, calls_are_silent_after_release, first, end);
  tcase_add_loop_test (tcase, some_calls_are_silent, first, end);
  tcase_add_loop_test (tcase, most_nodes_are_turned_away, first, end);
  tcase_add_loop_test (tcase, large_configuration, first, end);
  tcase_add_loop_test (tcase, list_lags, first, end);
  tcase_add_loop_test (tcase, news_costs_no_calls, first, end);
  return tcase;
}

int
main (void)
{
  Suite *suite = suite_create ("control-config-news");

  suite_add_tcase (suite, create_case ("fleets", 0, SITE_COUNT - 1));
  suite_add_tcase (suite,
                   create_case ("large fleet", SITE_COUNT - 1, SITE_COUNT));
  return suite_run (suite);
}
