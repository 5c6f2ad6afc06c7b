#include <check.h>
#include <math.h>

#include <glib.h>

#include "../../libberyl/forward/pace.h"
#include "../suite.h"
#include "beryl/stages.h"

static struct beryl_generation_mix
mix_of (double prompt_tokens, double output_tokens)
{
  return (struct beryl_generation_mix){ .prompt_tokens = prompt_tokens,
                                        .output_tokens = output_tokens,
                                        .prefill_ms_per_token = 0.05,
                                        .decode_ms_per_token = 1,
                                        .kv_tokens = 50000,
                                        .measured = true };
}

START_TEST (test_stages_follow_mix)
{
  struct beryl_generation_mix prompts = mix_of (8000, 500);
  struct beryl_generation_mix outputs = mix_of (500, 4000);

  ck_assert (beryl_stages_prefill_target (&prompts, 10)
             > beryl_stages_prefill_target (&outputs, 10) + 2);
  ck_assert (beryl_stages_prefill_target (&prompts, 10) < 10);
  ck_assert (beryl_stages_prefill_target (&outputs, 10) > 0);
}
END_TEST

/* The mix alternates: engines must not be moved to and fro, since each order
   takes an engine out of service for seconds. */
START_TEST (test_stages_hold)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mixes[2]
      = { mix_of (8000, 500), mix_of (500, 4000) };
  struct beryl_stage_engine engines[10] = { 0 };
  uint32_t orders = 0;

  for (int i = 0; i < 10; i++)
    engines[i] = (struct beryl_stage_engine){
      .id = "e", .stage = i < 4 ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE
    };
  for (int64_t now_ms = 20000; now_ms < 80000; now_ms += 250)
    {
      struct beryl_stage_order order;
      /* Five seconds of each mix. */
      struct beryl_generation_mix *mix = &mixes[now_ms / 5000 % 2];

      orders += beryl_stages_plan (stages, mix, engines, 10, now_ms, &order);
    }
  ck_assert_uint_le (orders, 20);
  beryl_stages_destroy (stages);
}
END_TEST

/* A lasting difference is acted on, with the engine that has the least work
   left, and never with so many at a time that nothing is served. */
START_TEST (test_stages_change)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mix = mix_of (500, 4000);
  struct beryl_stage_engine engines[8] = { 0 };
  static const char *const ids[]
      = { "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7" };
  uint32_t changing = 0;

  for (int i = 0; i < 8; i++)
    engines[i]
        = (struct beryl_stage_engine){ .id = ids[i],
                                       .stage = BERYL_STAGE_PREFILL,
                                       .used_tokens = (uint64_t)(8 - i) };
  for (int64_t now_ms = 20000; now_ms < 40000; now_ms += 250)
    {
      struct beryl_stage_order order;

      if (!beryl_stages_plan (stages, &mix, engines, 8, now_ms, &order))
        continue;
      ck_assert_int_eq (order.stage, BERYL_STAGE_DECODE);
      ck_assert_str_eq (order.id, ids[7 - changing]);
      engines[7 - changing].changing = true;
      changing++;
    }
  ck_assert_uint_eq (changing, 2);
  beryl_stages_destroy (stages);
}
END_TEST

/* Before the first request the engines' speeds and the request sizes are
   assumed. On that basis alone most prefill engines were moved to decode, and
   came back ten seconds after the first prompts had queued for half a second
   each. The operators' initial assignment may be as wrong: engines are moved
   half of the way, and the rest, or back, as soon as something was measured,
   without the delay that keeps load swings from moving engines to and fro. */
START_TEST (test_stages_go_half_way_unmeasured)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mix = mix_of (500, 4000);
  struct beryl_stage_engine engines[20] = { 0 };
  struct beryl_stage_order order;
  int prefill = 10;
  int64_t now_ms = 20000;

  mix.measured = false;
  ck_assert (beryl_stages_prefill_target (&mix, 20) < 3);
  for (; now_ms < 60000; now_ms += 250)
    {
      for (int i = 0; i < 20; i++)
        engines[i] = (struct beryl_stage_engine){
          .id = "e",
          .stage = i < prefill ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE
        };
      if (beryl_stages_plan (stages, &mix, engines, 20, now_ms, &order))
        prefill--;
    }
  ck_assert_int_ge (prefill, 6);
  ck_assert_int_le (prefill, 7);
  mix = mix_of (8000, 500);
  ck_assert (beryl_stages_prefill_target (&mix, 20) > 10);
  for (; now_ms < 61500; now_ms += 250)
    if (beryl_stages_plan (stages, &mix, engines, 20, now_ms, &order))
      break;
  ck_assert_int_lt (now_ms, 61500);
  ck_assert_int_eq (order.stage, BERYL_STAGE_PREFILL);
  beryl_stages_destroy (stages);
}
END_TEST

/* Learns PREFILLS of 5,000 tokens at MS_PER_TOKEN, every second of which waits
   behind three others. */
static double
learned_pace (double ms_per_token, int prefills)
{
  struct pace pace;

  pace_init (&pace);
  for (int i = 0; i < prefills; i++)
    pace_learn (&pace, 5000,
                (int64_t)(5000 * ms_per_token * (i % 2 == 0 ? 4 : 1)));
  ck_assert_uint_eq (pace.samples, (uint32_t)prefills);
  return pace.ms_per_token;
}

/* Engines that prefill at half or a tenth of the assumed speed were taken for
   fast ones until 160 prefills had been seen; a node sees one or two a
   second. */
START_TEST (test_pace_is_learned)
{
  static const double paces[] = { 0.005, 0.02, 0.045, 0.2 };

  for (size_t i = 0; i < G_N_ELEMENTS (paces); i++)
    {
      double pace = learned_pace (paces[i], 10);

      ck_assert_double_ge (pace, 0.95 * paces[i]);
      ck_assert_double_le (pace, 1.3 * paces[i]);
      pace = learned_pace (paces[i], 300);
      ck_assert_double_ge (pace, 0.95 * paces[i]);
      ck_assert_double_le (pace, 1.3 * paces[i]);
    }
}
END_TEST

/* Guards against a version whose last engines all read prompts, so that its
   streams can go on nowhere. */
START_TEST (test_version_without_decode)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mix = mix_of (500, 4000);
  struct beryl_stage_engine engines[8] = { 0 };
  struct beryl_stage_order order;

  for (int i = 0; i < 8; i++)
    engines[i]
        = (struct beryl_stage_engine){ .id = i < 2 ? "old" : "new",
                                       .version = i < 2 ? 1 : 2,
                                       .stage = i < 2 ? BERYL_STAGE_PREFILL
                                                      : BERYL_STAGE_DECODE };
  ck_assert (beryl_stages_plan (stages, &mix, engines, 8, 20000, &order));
  ck_assert_str_eq (order.id, "old");
  ck_assert_int_eq (order.stage, BERYL_STAGE_DECODE);
  beryl_stages_destroy (stages);
}
END_TEST

/* Guards against the last decode engine of a version being made one that reads
   prompts. */
START_TEST (test_last_decode_of_version)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mix = mix_of (8000, 100);
  struct beryl_stage_engine engines[8] = { 0 };
  struct beryl_stage_order order;

  for (int i = 0; i < 8; i++)
    engines[i] = (struct beryl_stage_engine){ .id = i == 0 ? "old" : "new",
                                              .version = i == 0 ? 1 : 2,
                                              .used_tokens = (uint64_t)i,
                                              .stage = BERYL_STAGE_DECODE };
  for (int64_t now_ms = 20000; now_ms < 40000; now_ms += 250)
    if (beryl_stages_plan (stages, &mix, engines, 8, now_ms, &order))
      ck_assert_str_eq (order.id, "new");
  beryl_stages_destroy (stages);
}
END_TEST

START_TEST (test_stages_of_one)
{
  struct beryl_stages *stages = beryl_stages_create ();
  struct beryl_generation_mix mix = mix_of (500, 4000);
  struct beryl_stage_engine engine
      = { .id = "e", .stage = BERYL_STAGE_PREFILL };
  struct beryl_stage_order order;

  ck_assert (!beryl_stages_plan (stages, &mix, &engine, 1, 100000, &order));
  ck_assert (!beryl_stages_plan (stages, &mix, &engine, 0, 200000, &order));
  beryl_stages_destroy (stages);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sizes of the pools");
  TCase *tcase = tcase_create ("stages");

  tcase_add_test (tcase, test_stages_follow_mix);
  tcase_add_test (tcase, test_stages_hold);
  tcase_add_test (tcase, test_stages_change);
  tcase_add_test (tcase, test_stages_go_half_way_unmeasured);
  tcase_add_test (tcase, test_pace_is_learned);
  tcase_add_test (tcase, test_version_without_decode);
  tcase_add_test (tcase, test_last_decode_of_version);
  tcase_add_test (tcase, test_stages_of_one);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
