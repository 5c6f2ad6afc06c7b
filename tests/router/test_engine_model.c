#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "model.h"
#include "text.h"
#include "../suite.h"

#define LOG_MAX 4096

/* Simple costs: a prefill takes 10 ms plus 1 ms per token, a step takes 20 ms
 * plus 10 ms per stream. */
static const struct engine_settings settings = {
  .slots = 2,
  .prefill_queue_max = 3,
  .prefill_base_us = 10000,
  .prefill_token_us = 1000,
  .step_base_us = 20000,
  .step_stream_us = 10000,
  .block_tokens = 10,
  .cache_blocks = 4,
  .kv_bytes_per_token = 1000,
  .link_bytes_per_s = 1000000,
  .kv_ttl_ms = 500,
  .resume_ttl_ms = 1000,
};

struct log
{
  struct engine_sink sink;
  struct engine_output all[LOG_MAX];
  size_t count;
};

static struct log seen;
static struct engine_model *engine;

static void
append (struct engine_sink *sink, const struct engine_output *output)
{
  ck_assert_uint_lt (seen.count, LOG_MAX);
  seen.all[seen.count++] = *output;
}

static const struct engine_sink_impl impl = { .output = append };

static void
setup (void)
{
  memset (&seen, 0, sizeof seen);
  seen.sink.impl = &impl;
  engine = engine_model_create (&settings, &seen.sink);
}

static void
teardown (void)
{
  engine_model_destroy (engine);
}

static enum engine_result
prefill (uint64_t counter, uint32_t tokens, enum beryl_class priority,
         const uint64_t *blocks, size_t block_count, int64_t now_ms)
{
  struct engine_prefill p = { .stream = { 1, counter },
                              .request_id = "r",
                              .priority = priority,
                              .prompt_tokens = tokens,
                              .output_tokens = 3,
                              .blocks = blocks,
                              .block_count = block_count };
  return engine_model_prefill (engine, &p, now_ms);
}

static enum engine_result
reserve (uint64_t counter, uint32_t max_tokens)
{
  struct engine_decode d = { .stream = { 1, counter },
                             .request_id = "r",
                             .max_tokens = max_tokens };
  return engine_model_reserve (engine, &d, 0);
}

static const struct engine_output *
nth_output (enum engine_output_type type, size_t n)
{
  for (size_t i = 0; i < seen.count; i++)
    if (seen.all[i].type == type && n-- == 0)
      return &seen.all[i];
  ck_abort_msg ("no such output");
  return NULL;
}

/* Prompts of 40, 20 and 30 tokens arrive at 0, 5 and 6 ms; the last one is
 * urgent.  The first takes 40 + 10 ms and is done at 50.  The urgent one
 * follows with 30 + 10 ms, done at 90; then 20 + 10 ms, done at 120. */
START_TEST (test_prefill_queue_by_hand)
{
  ck_assert_int_eq (prefill (1, 40, BERYL_CLASS_NORMAL, NULL, 0, 0),
                    ENGINE_OK);
  ck_assert_int_eq (prefill (2, 20, BERYL_CLASS_NORMAL, NULL, 0, 5),
                    ENGINE_OK);
  ck_assert_int_eq (prefill (3, 30, BERYL_CLASS_URGENT, NULL, 0, 6),
                    ENGINE_OK);
  ck_assert_int_eq (prefill (4, 30, BERYL_CLASS_URGENT, NULL, 0, 6),
                    ENGINE_FULL);
  ck_assert_int_eq (engine_model_next_ms (engine), 50);
  engine_model_advance (engine, 49);
  ck_assert_uint_eq (seen.count, 0);
  struct engine_load load;
  engine_model_load (engine, &load, 30);
  ck_assert_uint_eq (load.prefill_queue, 3);
  ck_assert_uint_eq (load.prefill_queue_tokens, 20 + 20 + 30);
  engine_model_advance (engine, 120);
  ck_assert_uint_eq (seen.count, 3);
  const uint64_t order[] = { 1, 3, 2 };
  const int64_t times[] = { 50, 90, 120 };
  for (size_t i = 0; i < 3; i++)
    {
      ck_assert_uint_eq (seen.all[i].stream.counter, order[i]);
      ck_assert_int_eq (seen.all[i].at_ms, times[i]);
    }
}
END_TEST

/* One stream alone generates a token every 30 ms.  The second one arrives at
 * 10 ms and joins after the step that ends at 30 ms; then both generate a
 * token every 40 ms.  The first ends at 110 ms (3 tokens); the second
 * generates its last token alone, 30 ms later, at 140 ms. */
START_TEST (test_batch_by_hand)
{
  struct engine_kv kv = { .output_tokens = 3 };
  ck_assert_int_eq (reserve (1, 100), ENGINE_OK);
  ck_assert_int_eq (reserve (2, 100), ENGINE_OK);
  ck_assert_int_eq (reserve (3, 100), ENGINE_FULL);
  engine_model_imported (engine, (struct beryl_stream_id){ 1, 1 }, &kv, 0, 0);
  engine_model_advance (engine, 10);
  engine_model_imported (engine, (struct beryl_stream_id){ 1, 2 }, &kv, 0, 10);
  engine_model_advance (engine, 1000);
  const struct engine_output *first
      = nth_output (ENGINE_OUTPUT_DECODE_DONE, 0);
  const struct engine_output *second
      = nth_output (ENGINE_OUTPUT_DECODE_DONE, 1);
  ck_assert_uint_eq (first->stream.counter, 1);
  ck_assert_int_eq (first->at_ms, 110);
  ck_assert_int_eq (second->at_ms, 140);
  ck_assert_int_eq (nth_output (ENGINE_OUTPUT_TOKENS, 0)->at_ms, 30);
  ck_assert_int_eq (engine_model_next_ms (engine), BERYL_NEVER_MS);
}
END_TEST

/* Two prompts share their first 20 tokens: the second prefill takes 20 ms
 * less.  The cache holds four blocks, so other prompts evict them. */
START_TEST (test_prefix_cache_saves_and_evicts)
{
  const uint64_t a[] = { 1, 2, 3 };
  const uint64_t b[] = { 1, 2, 4 };
  const uint64_t c[] = { 7, 8, 9, 10 };
  prefill (1, 30, BERYL_CLASS_NORMAL, a, 3, 0);
  engine_model_advance (engine, 40);
  prefill (2, 30, BERYL_CLASS_NORMAL, b, 3, 100);
  engine_model_advance (engine, 200);
  ck_assert_int_eq (nth_output (ENGINE_OUTPUT_PREFILL_DONE, 1)->at_ms, 120);
  ck_assert_uint_eq (nth_output (ENGINE_OUTPUT_PREFILL_DONE, 1)->cached_tokens,
                     20);
  prefill (3, 40, BERYL_CLASS_NORMAL, c, 4, 200);
  engine_model_advance (engine, 300);
  prefill (4, 30, BERYL_CLASS_NORMAL, a, 3, 300);
  engine_model_advance (engine, 400);
  ck_assert_uint_eq (nth_output (ENGINE_OUTPUT_PREFILL_DONE, 3)->cached_tokens,
                     0);

  struct engine_cache_change changes[32];
  size_t n
      = engine_cache_changes (engine_model_cache (engine), 0, changes, 32);
  ck_assert_uint_eq (changes[0].block,
                     3); /* the tail of the chain is evicted first */
  int held = 0;
  for (size_t i = 0; i < n; i++)
    {
      ck_assert_uint_eq (changes[i].sequence, i + 1);
      held += changes[i].added ? 1 : -1;
      ck_assert_int_le (held, 4);
    }
}
END_TEST

/* A KV cache that is not fetched expires after 500 ms and counts as wasted;
 * one whose transfer has begun is kept until it ends.  The link transfers one
 * cache after the other: 30 kB take 30 ms each. */
START_TEST (test_export_expires_and_link_is_shared)
{
  struct beryl_stream_id stream;
  for (uint64_t i = 1; i <= 3; i++)
    prefill (i, 30, BERYL_CLASS_NORMAL, NULL, 0, 0);
  engine_model_advance (engine, 120); /* done at 40, 80 and 120 */
  uint64_t first = nth_output (ENGINE_OUTPUT_PREFILL_DONE, 0)->handle;
  uint64_t second = nth_output (ENGINE_OUTPUT_PREFILL_DONE, 1)->handle;
  ck_assert_int_eq (engine_model_export (engine, first, NULL, &stream, 530),
                    ENGINE_OK);
  ck_assert_uint_eq (stream.counter, 1);
  ck_assert_int_eq (
      engine_model_export (engine, second, &stream, &stream, 530), ENGINE_OK);
  engine_model_advance (engine, 700);
  ck_assert_int_eq (nth_output (ENGINE_OUTPUT_TRANSFER_DONE, 0)->at_ms, 560);
  ck_assert_int_eq (nth_output (ENGINE_OUTPUT_TRANSFER_DONE, 1)->at_ms, 590);
  uint64_t third = nth_output (ENGINE_OUTPUT_PREFILL_DONE, 2)->handle;
  ck_assert_int_eq (engine_model_export (engine, third, NULL, &stream, 700),
                    ENGINE_GONE);
  /* the first was not used in the end, the third expired */
  ck_assert_uint_eq (engine_model_totals (engine)->wasted_prefill_tokens, 60);
  ck_assert_uint_eq (engine_model_totals (engine)->prefill_tokens, 90);
}
END_TEST

/* Cancelling a range of streams removes a queued and a running prefill; a
 * stream outside the range stays. */
START_TEST (test_cancel_window)
{
  struct engine_load load;
  for (uint64_t i = 1; i <= 3; i++)
    prefill (i, 30, BERYL_CLASS_NORMAL, NULL, 0, 0);
  ck_assert_uint_eq (engine_model_cancel (engine, 1, 1, 2, 10), 2);
  ck_assert_uint_eq (engine_model_cancel (engine, 2, 1, 9, 10), 0);
  engine_model_load (engine, &load, 10);
  ck_assert_uint_eq (load.prefill_queue, 1);
  engine_model_advance (engine, 1000);
  ck_assert_int_eq (nth_output (ENGINE_OUTPUT_PREFILL_DONE, 0)->at_ms, 50);
  ck_assert_uint_eq (
      nth_output (ENGINE_OUTPUT_PREFILL_DONE, 0)->stream.counter, 3);
}
END_TEST

/* The reader's connection breaks after the first token.  It resumes with
 * attempt 2 and gets the same stream; attempt 1 gets nothing more.  A stream
 * without a reader ends after a second and frees its slot. */
START_TEST (test_resume_and_unread)
{
  int reader[2];
  uint32_t made;
  uint64_t seed;
  struct engine_kv kv = { .output_tokens = 100, .seed = 5 };
  struct engine_decode d = { .stream = { 1, 1 },
                             .attempt = 1,
                             .request_id = "r",
                             .max_tokens = 100,
                             .user = &reader[0] };
  engine_model_reserve (engine, &d, 0);
  engine_model_imported (engine, d.stream, &kv, 0, 0);
  engine_model_advance (engine, 30);
  engine_model_unread (engine, &reader[0], 40);
  ck_assert_int_eq (engine_model_resume (engine, &d, &made, &seed, 70),
                    ENGINE_GONE);
  engine_model_advance (engine, 70);
  d.attempt = 2;
  d.user = &reader[1];
  ck_assert_int_eq (engine_model_resume (engine, &d, &made, &seed, 70),
                    ENGINE_OK);
  ck_assert_uint_eq (made, 2);
  ck_assert_uint_eq (seed, 5);
  engine_model_unread (engine, &reader[1], 100);
  engine_model_advance (engine, 1099);
  struct engine_load load;
  engine_model_load (engine, &load, 1099);
  ck_assert_uint_eq (load.decoding, 1);
  engine_model_advance (engine, 1100);
  engine_model_load (engine, &load, 1100);
  ck_assert_uint_eq (load.decoding, 0);
}
END_TEST

/* The engine freezes for 100 ms in the middle of a prefill; everything due is
 * delayed by 100 ms. */
START_TEST (test_freeze_shifts)
{
  prefill (1, 40, BERYL_CLASS_NORMAL, NULL, 0, 0);
  engine_model_freeze (engine, true, 20);
  ck_assert_int_eq (engine_model_next_ms (engine), BERYL_NEVER_MS);
  engine_model_advance (engine, 120);
  ck_assert_uint_eq (seen.count, 0);
  engine_model_freeze (engine, false, 120);
  engine_model_advance (engine, 200);
  ck_assert_int_eq (seen.all[0].at_ms, 150);
}
END_TEST

START_TEST (test_text_is_a_function_of_the_prompt)
{
  char a[64], b[64];
  uint64_t seed = engine_text_seed ("prompt", 6);
  ck_assert_uint_ne (seed, engine_text_seed ("Prompt", 6));
  engine_text_write (seed, 0, 10, a);
  engine_text_write (seed, 4, 6, b);
  ck_assert_str_eq (a + 4 * ENGINE_TOKEN_BYTES, b);
  for (uint64_t i = 0; i < 200; i++)
    {
      uint32_t n = engine_text_tokens (i, 100);
      ck_assert (n >= 30 && n <= 100);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("engine model");
  TCase *tc = tcase_create ("engine model");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_prefill_queue_by_hand);
  tcase_add_test (tc, test_batch_by_hand);
  tcase_add_test (tc, test_prefix_cache_saves_and_evicts);
  tcase_add_test (tc, test_export_expires_and_link_is_shared);
  tcase_add_test (tc, test_cancel_window);
  tcase_add_test (tc, test_resume_and_unread);
  tcase_add_test (tc, test_freeze_shifts);
  tcase_add_test (tc, test_text_is_a_function_of_the_prompt);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
