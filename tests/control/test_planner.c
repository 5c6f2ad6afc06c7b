#include <check.h>
#include <math.h>
#include <stdio.h>

#include "fleet_sim.h"

static const struct fleet_sim_settings default_settings
    = { .sizing = BERYL_SIZING_REACTIVE,
        .engines = 12,
        .data_centres = 3,
        .load_ms = 60000,
        .call_ms = 20000,
        .deadline_ms = 120000,
        .seed = 1 };

static void
run (struct fleet_sim *t, int seconds, double calls_per_s)
{
  for (int i = 0; i < seconds; i++)
    fleet_sim_run_second (t, calls_per_s);
}

/* Without calls all engines must be unloaded to save cost; the first call
 * afterwards must be held and served, not refused. */
START_TEST (scale_to_zero_and_back)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);

  run (t, 1800, 2);
  ck_assert_int_gt (fleet_sim_warm (t, NULL), 1);
  run (t, 3600, 0);
  ck_assert_int_eq (fleet_sim_warm (t, NULL), 0);
  fleet_sim_reset_counts (t);
  run (t, 1, 3);
  run (t, 100, 0);
  ck_assert_int_ge (fleet_sim_warm (t, NULL), 1);
  ck_assert_uint_eq (fleet_sim_counts (t)->started_in_time,
                     fleet_sim_counts (t)->calls);
  fleet_sim_destroy (t);
}
END_TEST

/* A burst needs many engines at once.  Loading all together would share the
 * weight store's rate, so that the first is warm only when the last is. */
START_TEST (loads_are_paced)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);

  run (t, 20, 8);
  ck_assert_uint_le (fleet_sim_counts (t)->loads, 2);
  run (t, 600, 8);
  ck_assert_uint_le (fleet_sim_counts (t)->loading_max, 7);
  ck_assert_int_ge (fleet_sim_warm (t, NULL), 10);
  fleet_sim_destroy (t);
}
END_TEST

/* When a data centre is lost at peak load, the engines of the others must
 * carry the load until replacements are warm. */
START_TEST (spread_over_data_centres)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);
  int max_per_dc = 0;
  int all;

  run (t, 1800, 4);
  all = fleet_sim_warm (t, NULL);
  for (int dc = 0; dc < 3; dc++)
    max_per_dc = fleet_sim_warm_in (t, dc) > max_per_dc
                     ? fleet_sim_warm_in (t, dc)
                     : max_per_dc;
  ck_assert_int_le (max_per_dc * 3, all + 2);
  /* 4 calls/s of 20 s each are 80 streams: 5 engines at 0.8 utilisation. */
  ck_assert_int_ge (all - max_per_dc, 5);
  fleet_sim_destroy (t);
}
END_TEST

/* A new model version is rolled out under load.  If all engines loaded it at
 * once, none would serve; the old version must serve until the new one is
 * warm. */
START_TEST (version_rolls_out_under_load)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);
  int min_warm = 99;

  run (t, 1800, 4);
  fleet_sim_reset_counts (t);
  fleet_sim_set_version (t, "v2");
  for (int i = 0; i < 3600; i++)
    {
      fleet_sim_run_second (t, 4);
      min_warm = fleet_sim_warm (t, NULL) < min_warm ? fleet_sim_warm (t, NULL)
                                                     : min_warm;
    }
  ck_assert_int_eq (fleet_sim_warm (t, "v1"), 0);
  ck_assert_int_ge (fleet_sim_warm (t, "v2"), (int)fleet_sim_wanted (t));
  /* 8 are wanted (5 and the spares for a data centre), one may be loading. */
  ck_assert_int_ge (min_warm, 7);
  ck_assert_uint_eq (fleet_sim_counts (t)->started_in_time,
                     fleet_sim_counts (t)->calls);
  fleet_sim_destroy (t);
}
END_TEST

/* All declared engines are in use, so there is no spare.  The roll-out must
 * still finish, with a few engines at a time. */
START_TEST (version_rolls_out_without_spares)
{
  struct fleet_sim_settings settings = default_settings;
  struct fleet_sim *t;
  int min_warm = 99;

  settings.engines = 4;
  settings.min_endpoints = 4;
  t = fleet_sim_create (&settings);
  run (t, 1800, 1);
  ck_assert_int_eq (fleet_sim_warm (t, "v1"), 4);
  fleet_sim_set_version (t, "v2");
  for (int i = 0; i < 1800; i++)
    {
      fleet_sim_run_second (t, 1);
      min_warm = fleet_sim_warm (t, NULL) < min_warm ? fleet_sim_warm (t, NULL)
                                                     : min_warm;
    }
  ck_assert_int_eq (fleet_sim_warm (t, "v2"), 4);
  ck_assert_int_ge (min_warm, 3);
  fleet_sim_destroy (t);
}
END_TEST

/* The load oscillates every minute.  Without hysteresis engines would be
 * unloaded and reloaded continually, each time with an empty cache. */
START_TEST (oscillating_load_keeps_engines)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);

  run (t, 1800, 4);
  fleet_sim_reset_counts (t);
  for (int i = 0; i < 60; i++)
    run (t, 60, i % 2 == 0 ? 4 : 1);
  /* At most one load per ten changes of the load. */
  ck_assert_uint_le (fleet_sim_counts (t)->loads, 6);
  fleet_sim_destroy (t);
}
END_TEST

/* Warm engines die and stop answering.  They must be replaced without waiting
 * for them. */
START_TEST (dead_engines_are_replaced)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);
  int before;
  int killed = 0;

  run (t, 1800, 3);
  before = fleet_sim_warm (t, NULL);
  for (int i = 0; i < 12 && killed < 2; i++)
    if (fleet_sim_engine (t, i)->version[0] != '\0')
      {
        fleet_sim_engine (t, i)->dead = true;
        killed++;
      }
  run (t, 300, 3);
  ck_assert_int_ge (fleet_sim_warm (t, NULL), before);
  fleet_sim_destroy (t);
}
END_TEST

/* A new planner takes over under load.  Before it knows the demand, it must
 * neither unload warm engines nor repeat their orders. */
START_TEST (new_planner_keeps_engines)
{
  struct fleet_sim *t = fleet_sim_create (&default_settings);
  uint32_t orders = 0;
  int before;

  run (t, 1800, 4);
  before = fleet_sim_warm (t, NULL);
  for (int i = 0; i < 12; i++)
    orders += fleet_sim_engine (t, i)->orders;
  fleet_sim_reset_counts (t);
  fleet_sim_replace_planner (t);
  run (t, 60, 4);
  ck_assert_int_eq (fleet_sim_warm (t, NULL), before);
  for (int i = 0; i < 12; i++)
    orders -= fleet_sim_engine (t, i)->orders;
  ck_assert_uint_eq (orders, 0);
  fleet_sim_destroy (t);
}
END_TEST

/* The second day has 1.5 times the load of the first.  The plain forecast is
 * too low all day; the corrected one must follow. */
START_TEST (correction_follows_a_busier_day)
{
  struct beryl_sizer *bare
      = beryl_sizer_create (BERYL_SIZING_FORECAST, 60000, 120000);
  struct beryl_sizer *corrected
      = beryl_sizer_create (BERYL_SIZING_CORRECTED, 60000, 120000);
  double short_bare = 0;
  double short_corrected = 0;

  for (int step = 0; step < 2 * 1440; step++)
    {
      double level = step < 1440 ? 1 : 1.5;
      double load = level * (20 + 15 * sin (step % 1440 * M_PI / 720));
      double a = beryl_sizer_step (bare, load, step * 60000LL);
      double b = beryl_sizer_step (corrected, load, step * 60000LL);

      if (step < 1440 + 10)
        continue;
      short_bare += load > a ? load - a : 0;
      short_corrected += load > b ? load - b : 0;
    }
  ck_assert_double_lt (short_corrected * 10, short_bare);
  beryl_sizer_destroy (bare);
  beryl_sizer_destroy (corrected);
}
END_TEST

/* The planner is replaced at night.  The next one must restore the profile
 * with its steep morning start, or the first calls wait minutes for engines to
 * load. */
START_TEST (profile_outlives_the_planner)
{
  struct fleet_sim_settings settings = default_settings;
  struct fleet_sim *t;
  int ordered = 0;

  settings.sizing = BERYL_SIZING_CORRECTED;
  t = fleet_sim_create (&settings);
  /* 12 busy and 12 idle hours, up to ten minutes before the end of the day. */
  run (t, 12 * 3600, 3);
  run (t, 12 * 3600 - 600, 0);
  ck_assert_int_eq (fleet_sim_warm (t, NULL), 0);
  ck_assert (fleet_sim_replace_planner_saved (t));
  run (t, 540, 0);
  run (t, 60, 0.05);
  for (int i = 0; i < 12; i++)
    ordered += fleet_sim_engine (t, i)->role != 0;
  ck_assert_int_ge (ordered, 3);
  fleet_sim_destroy (t);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("planner");
  TCase *t = tcase_create ("fleet");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 50);
  tcase_add_test (t, scale_to_zero_and_back);
  tcase_add_test (t, loads_are_paced);
  tcase_add_test (t, spread_over_data_centres);
  tcase_add_test (t, version_rolls_out_under_load);
  tcase_add_test (t, version_rolls_out_without_spares);
  tcase_add_test (t, oscillating_load_keeps_engines);
  tcase_add_test (t, dead_engines_are_replaced);
  tcase_add_test (t, new_planner_keeps_engines);
  tcase_add_test (t, correction_follows_a_busier_day);
  tcase_add_test (t, profile_outlives_the_planner);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
