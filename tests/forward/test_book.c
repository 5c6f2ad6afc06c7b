#include <check.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "../../libberyl/forward/book.h"
#include "../suite.h"

/* Outputs are twice what callers say: the model learns so, and foresees a run
 * accordingly. */
START_TEST (test_lengths_are_learned)
{
  struct length_model model;

  length_model_init (&model);
  ck_assert_uint_eq (length_model_median (&model, 500, 4000), 500);
  for (int i = 0; i < 200; i++)
    {
      length_model_learn (&model, 500, 1000);
      length_model_learn_pace (&model, 1000, 2000);
    }
  ck_assert_uint_ge (length_model_median (&model, 500, 4000), 900);
  ck_assert_uint_le (length_model_median (&model, 500, 4000), 1010);
  ck_assert_uint_eq (length_model_median (&model, 500, 800), 800);
  ck_assert (fabs (model.ms_per_token - 2) < 0.01);
  ck_assert_uint_ge (length_model_median (&model, 0, 4000), 900);
}
END_TEST

/* Memory of the engines of the story, and the part that may be filled. */
#define SIX_RUNS_TOKENS (0.97 * 24069)

/* Story: engines with room for six runs got five.  The spread of when six runs
 * end, taken as normal, added more to their sum than all of them could use if
 * none ended. */
START_TEST (test_peak_is_no_more_than_all)
{
  struct length_model model;
  struct book_curve curve = { 0 };
  struct beryl_engine_run run = {
    .engine = 1, .prompt_tokens = 3200, .expected_tokens = 800, .started = true
  };
  double all = 0, spread_out = 0;

  length_model_init (&model);
  model.ms_per_token = 4.8;
  for (int i = 0; i < 6; i++)
    {
      run.generated_tokens = 100 * (uint32_t)i;
      book_add (&curve, &model, &run, 0, true);
      all += 3200 + run.generated_tokens + BOOK_STEPS * BOOK_STEP_MS / 4.8;
    }
  for (int i = 0; i < BOOK_STEPS; i++)
    spread_out
        = fmax (spread_out, curve.tokens[i] + 2 * sqrt (curve.variance[i]));
  ck_assert (spread_out > SIX_RUNS_TOKENS);
  ck_assert (book_peak (&curve, BOOK_STEPS * BOOK_STEP_MS, 2)
             <= SIX_RUNS_TOKENS);
  ck_assert (book_peak (&curve, BOOK_STEPS * BOOK_STEP_MS, 100) <= all);
  /* Runs do end: with one deviation it is less. */
  ck_assert (book_peak (&curve, BOOK_STEPS * BOOK_STEP_MS, 1)
             < book_peak (&curve, BOOK_STEPS * BOOK_STEP_MS, 100));
  /* Now, with all of them there, nothing is uncertain. */
  ck_assert (fabs (book_peak (&curve, 0, 2) - curve.tokens[0]) < 1);
}
END_TEST

START_TEST (test_curve_grows_and_ends)
{
  struct length_model model;
  struct book_curve curve = { 0 };
  struct beryl_engine_run run = { .engine = 1,
                                  .prompt_tokens = 1000,
                                  .expected_tokens = 1000,
                                  .started = true };

  length_model_init (&model);
  book_add (&curve, &model, &run, 0, true);
  ck_assert (fabs (curve.tokens[0] - 1000) < 1);
  ck_assert (curve.tokens[1] > 1200 && curve.tokens[1] < 1301);
  ck_assert (curve.tokens[BOOK_STEPS - 1] < 500);
  ck_assert (book_peak (&curve, 4000, 2) > book_peak (&curve, 4000, 0));
}
END_TEST

/* A peer that has fallen silent: its runs fade from the books instead of
 * filling engines for ever. */
START_TEST (test_silent_peer_fades)
{
  struct book book = { 0 };
  struct length_model model;
  struct book_curve curve = { 0 };
  struct beryl_engine_run run = {
    .engine = 1, .prompt_tokens = 1000, .expected_tokens = 500, .started = true
  };

  length_model_init (&model);
  book_told (&book, "peer", &run, 1, 1000);
  book_add_peers (&book, &curve, &model, 1, 1000);
  ck_assert (curve.tokens[0] >= 1000);
  curve = (struct book_curve){ 0 };
  book_add_peers (&book, &curve, &model, 1, 4000);
  ck_assert (curve.tokens[0] < 500);
  curve = (struct book_curve){ 0 };
  ck_assert_uint_eq (book_add_peers (&book, &curve, &model, 1, 7000), 0);
  book_told (&book, "peer", &run, 1, 8000);
  book_forget (&book, "peer");
  ck_assert_uint_eq (book_add_peers (&book, &curve, &model, 1, 8000), 0);
  book_clear (&book);
}
END_TEST

/* Guards against engines that are taken for emptier the larger the fleet is:
 * peers that tell seldom are heard all the same. */
START_TEST (test_slow_teller_is_heard)
{
  struct book book = { .interval_ms = 2000 };
  struct length_model model;
  struct book_curve curve = { 0 };
  struct beryl_engine_run run = { .engine = 1,
                                  .prompt_tokens = 1000,
                                  .expected_tokens = 2000,
                                  .started = true };

  length_model_init (&model);
  book_told (&book, "peer", &run, 1, 1000);
  book_add_peers (&book, &curve, &model, 1, 3500);
  ck_assert (curve.tokens[0] >= 3400);
  curve = (struct book_curve){ 0 };
  book_add_peers (&book, &curve, &model, 1, 5500);
  ck_assert (curve.tokens[0] < 1000);
  book_clear (&book);
}
END_TEST

/* Sums over all runs that were told, as the index must give them. */
struct told
{
  struct beryl_engine_run runs[4][BERYL_ENGINE_RUNS_MAX];
  size_t counts[4];
};

static void
check_sums (const struct book *book, const struct told *told, uint32_t number)
{
  struct length_model model;
  struct book_curve curve = { 0 };
  uint32_t at_engine = 0, waiting = 0;
  uint64_t prefilling = 0;

  length_model_init (&model);
  for (int peer = 0; peer < 4; peer++)
    for (size_t i = 0; i < told->counts[peer]; i++)
      {
        const struct beryl_engine_run *run = &told->runs[peer][i];

        at_engine += run->engine == number;
        waiting += run->engine == 0 && run->service == number;
        if (run->prefill_engine == number)
          prefilling += run->prompt_tokens;
      }
  ck_assert_uint_eq (book_runs (book, number, 0), at_engine);
  ck_assert_uint_eq (book_add_peers (book, &curve, &model, number, 0),
                     at_engine);
  ck_assert_uint_eq (book_waiting (book, number, 0), waiting);
  ck_assert_uint_eq (book_prefilling (book, number, 0), prefilling);
}

static void
told_at_random (struct told *told, int peer, GRand *random)
{
  told->counts[peer] = (size_t)g_rand_int_range (random, 0, 40);
  for (size_t i = 0; i < told->counts[peer]; i++)
    told->runs[peer][i] = (struct beryl_engine_run){
      .engine = (uint32_t)g_rand_int_range (random, 0, 6),
      .service = (uint32_t)g_rand_int_range (random, 1, 3),
      .prefill_engine = (uint32_t)g_rand_int_range (random, 0, 6),
      .prompt_tokens = (uint32_t)g_rand_int_range (random, 1, 5000),
      .prompt_hash = (uint32_t)g_rand_int_range (random, 1, 20),
    };
}

static void
drop_prompt (struct told *told, uint32_t key)
{
  for (int peer = 0; peer < 4; peer++)
    {
      size_t left = 0;

      for (size_t i = 0; i < told->counts[peer]; i++)
        if (told->runs[peer][i].prompt_hash != key)
          told->runs[peer][left++] = told->runs[peer][i];
      told->counts[peer] = left;
    }
}

/* Peers tell anew, end runs untold and go; what is found by engine and by
 * service is what a walk over all runs finds. */
START_TEST (test_index_finds_what_a_walk_finds)
{
  static const char *const names[] = { "a", "b", "c", "d" };
  struct told told = { 0 };
  struct book book = { 0 };
  GRand *random = g_rand_new_with_seed ((guint32)_i);

  for (int step = 0; step < 200; step++)
    {
      int peer = g_rand_int_range (random, 0, 4);
      uint32_t key = (uint32_t)g_rand_int_range (random, 1, 20);

      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          drop_prompt (&told, key);
          book_drop_prompt (&book, key);
          break;
        case 1:
          told.counts[peer] = 0;
          book_forget (&book, names[peer]);
          break;
        default:
          told_at_random (&told, peer, random);
          book_told (&book, names[peer], told.runs[peer], told.counts[peer],
                     0);
        }
      for (uint32_t number = 1; number < 6; number++)
        check_sums (&book, &told, number);
    }
  book_clear (&book);
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forecast");
  TCase *tcase = tcase_create ("book");

  tcase_add_test (tcase, test_lengths_are_learned);
  tcase_add_test (tcase, test_peak_is_no_more_than_all);
  tcase_add_test (tcase, test_curve_grows_and_ends);
  tcase_add_test (tcase, test_silent_peer_fades);
  tcase_add_test (tcase, test_slow_teller_is_heard);
  tcase_add_loop_test (tcase, test_index_finds_what_a_walk_finds, 0, 20);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
