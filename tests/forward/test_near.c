#include <check.h>
#include <string.h>

#include "../suite.h"
#include "../../libberyl/forward/sample.h"

/* Choice of engines in different data centres. Modelled on seventy nodes and a
   hundred engines in three data centres, where traffic between them is charged
   and KV caches take twice as long to transfer. */

#define ENGINES 30
#define REMOTE_COST 15.0

static struct beryl_live_endpoint endpoints[ENGINES];

static void
setup (void)
{
  memset (endpoints, 0, sizeof endpoints);
  for (int i = 0; i < ENGINES; i++)
    strcpy (endpoints[i].info.data_centre, i % 3 == 0 ? "home" : "away");
}

/* Chooses among engines of which local ones cost LOCAL and the others REMOTE.
 */
static const struct beryl_live_endpoint *
chosen (double local, double remote, uint64_t seed)
{
  struct sample sample = { 0 };
  struct sample_options terms = { .concurrent_choices = 2,
                                  .data_centre = "home",
                                  .remote_cost = REMOTE_COST,
                                  .random = &seed };
  double cost = 0;
  const struct beryl_live_endpoint *live;

  for (int i = 0; i < ENGINES; i++)
    sample_add (&sample, &endpoints[i], &seed);
  for (size_t i = 0; i < sample_count (&sample); i++)
    sample.items[i].cost
        = strcmp (sample.items[i].endpoint->info.data_centre, "home") == 0
              ? local
              : remote;
  live = sample_choose (&sample, &terms, &cost);
  ck_assert (live == NULL || cost == local || cost == remote);
  return live;
}

static uint32_t
chosen_is_local (double local, double remote)
{
  uint32_t count = 0;

  for (uint64_t seed = 0; seed < 100; seed++)
    count += strcmp (chosen (local, remote, seed)->info.data_centre, "home")
             == 0;
  return count;
}

START_TEST (test_local_engines_first)
{
  ck_assert_uint_eq (chosen_is_local (50, 50), 100);
  ck_assert_uint_eq (chosen_is_local (50, 50 - REMOTE_COST + 1), 100);
}
END_TEST

/* Requests are not refused or delayed to avoid a remote engine. */
START_TEST (test_remote_engines_if_local_are_full)
{
  ck_assert_uint_eq (chosen_is_local (80, 50), 0);
}
END_TEST

/* A data centre without engines, and a node that does not know its own data
   centre. */
START_TEST (test_no_preferred_data_centre)
{
  for (int i = 0; i < ENGINES; i++)
    strcpy (endpoints[i].info.data_centre, "away");
  ck_assert_ptr_nonnull (chosen (50, 50, 1));
  for (int i = 0; i < ENGINES; i++)
    strcpy (endpoints[i].info.data_centre, "");
  ck_assert_ptr_nonnull (chosen (50, 50, 1));
}
END_TEST

/* With few local engines the load there still spreads over all of them. */
START_TEST (test_load_spreads)
{
  bool seen[ENGINES] = { false };

  for (uint64_t seed = 0; seed < 300; seed++)
    seen[chosen (50, 50, seed * 7919) - endpoints] = true;
  for (int i = 0; i < ENGINES; i += 3)
    ck_assert_msg (seen[i], "engine %d is never chosen", i);
}
END_TEST

START_TEST (test_nothing_to_choose)
{
  struct sample sample = { 0 };
  struct sample_options terms = { .data_centre = "home" };
  double cost;

  ck_assert_ptr_null (sample_choose (&sample, &terms, &cost));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("near engines");
  TCase *tcase = tcase_create ("near");

  tcase_add_checked_fixture (tcase, setup, NULL);
  tcase_add_test (tcase, test_local_engines_first);
  tcase_add_test (tcase, test_remote_engines_if_local_are_full);
  tcase_add_test (tcase, test_no_preferred_data_centre);
  tcase_add_test (tcase, test_load_spreads);
  tcase_add_test (tcase, test_nothing_to_choose);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
