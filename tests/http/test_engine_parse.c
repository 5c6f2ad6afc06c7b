#include <check.h>
#include <string.h>

#include "../suite.h"
#include "engine_parse.h"

#define PREFILL(text) engine_parse_prefill (text, strlen (text), &answer)
#define LINE(text) engine_parse_line (text, strlen (text), &line)
#define LOAD(text) engine_parse_load (text, strlen (text), &load)
#define EVENTS(text) engine_parse_events (text, strlen (text), &cache)
#define BLOCKS(text) engine_parse_blocks (text, strlen (text), &cache)
#define RETRY(text) engine_parse_retry_after (text, strlen (text))
#define RELEASED(text) engine_parse_released (text, strlen (text))

START_TEST (reads_a_prefill)
{
  struct engine_prefill_answer answer;

  ck_assert (PREFILL ("{\"kv_handle\":\"h\",\"kv_bytes\":9,"
                      "\"cached_tokens\":4,\"expires_ms\":300}"));
  ck_assert_str_eq (answer.kv_handle, "h");
  ck_assert_uint_eq (answer.kv_bytes, 9);
  ck_assert_uint_eq (answer.cached_tokens, 4);
  ck_assert_int_eq (answer.kv_lives_ms, 300);
  engine_prefill_clear (&answer);
  ck_assert (PREFILL ("{\"kv_handle\":\"h\"}"));
  ck_assert_int_eq (answer.kv_lives_ms, 0);
  engine_prefill_clear (&answer);
}
END_TEST

/* A user would see requests routed past an engine that is free.  An engine
 * with a fault answers a prefill with -1 or more than 32 bits; the number,
 * cast, became 2^64-1 bytes or another count of tokens and went into the
 * router's estimates. */
START_TEST (refuses_a_prefill_out_of_range)
{
  struct engine_prefill_answer answer;

  ck_assert (!PREFILL ("{\"kv_bytes\":9}"));
  ck_assert (!PREFILL ("{\"kv_handle\":7}"));
  ck_assert (!PREFILL ("{\"kv_handle\":\"h\",\"kv_bytes\":-1}"));
  ck_assert (!PREFILL ("{\"kv_handle\":\"h\",\"kv_bytes\":1.5}"));
  ck_assert (!PREFILL ("{\"kv_handle\":\"h\",\"cached_tokens\":4294967296}"));
  ck_assert (!PREFILL ("{\"kv_handle\":\"h\",\"expires_ms\":-1}"));
  ck_assert (!PREFILL ("[\"kv_handle\"]"));
  ck_assert (!PREFILL (""));
  ck_assert_ptr_null (answer.root);
}
END_TEST

START_TEST (reads_lines)
{
  struct engine_line line;

  ck_assert (LINE (
      "{\"attempt\":2,\"offset\":5,\"text\":\"\\u00e9t\",\"tokens\":1}"));
  ck_assert (!line.done);
  ck_assert_uint_eq (line.attempt, 2);
  ck_assert_uint_eq (line.offset, 5);
  ck_assert_uint_eq (line.text_bytes, 3);
  ck_assert_str_eq (line.text, "\xc3\xa9t");
  ck_assert_uint_eq (line.tokens, 1);
  engine_line_clear (&line);
  ck_assert (LINE ("{\"attempt\":2,\"done\":true,\"finish_reason\":\"stop\","
                   "\"answer_bytes\":8}"));
  ck_assert (line.done);
  ck_assert_str_eq (line.finish_reason, "stop");
  ck_assert_uint_eq (line.answer_bytes, 8);
  engine_line_clear (&line);
}
END_TEST

/* A user would see an answer with a part missing or of another attempt.  A
 * damaged line came without its text, or with an attempt of 2^32 + 1 that,
 * cast, was attempt 1. */
START_TEST (refuses_damaged_lines)
{
  struct engine_line line;

  ck_assert (!LINE ("{\"attempt\":1,\"offset\":5,\"tokens\":1}"));
  ck_assert (!LINE ("{\"attempt\":4294967297,\"offset\":5,\"text\":\"t\"}"));
  ck_assert (!LINE ("{\"attempt\":1,\"offset\":-5,\"text\":\"t\"}"));
  ck_assert (!LINE ("{\"attempt\":1,\"text\":\"t\",\"tokens\":-1}"));
  ck_assert (!LINE ("{\"attempt\":1,\"done\":true,\"answer_bytes\":-1}"));
  ck_assert (!LINE ("{\"attempt\":1,\"offset\":5,\"text\":\"t\""));
  ck_assert (!LINE ("7"));
}
END_TEST

/* A caller would be told to come back in 292 million years, as an engine gone
 * wrong said; the number came through as it was. */
START_TEST (bounds_the_time_to_come_back)
{
  ck_assert_int_eq (RETRY ("{\"retry_after_ms\":250}"), 250);
  ck_assert_int_eq (RETRY ("{\"error\":\"full\"}"), 0);
  ck_assert_int_eq (RETRY ("{\"retry_after_ms\":9223372036854775807}"),
                    3600000);
  ck_assert_int_eq (RETRY ("{\"retry_after_ms\":-250}"), 0);
  ck_assert_int_eq (RETRY ("full"), 0);
}
END_TEST

START_TEST (only_a_zero_releases)
{
  ck_assert (RELEASED ("{\"held\":0}"));
  ck_assert (!RELEASED ("{\"held\":1}"));
  ck_assert (!RELEASED ("{\"held\":false}"));
  ck_assert (!RELEASED ("{}"));
  ck_assert (!RELEASED (""));
}
END_TEST

/* A user would see one engine overloaded or never used for as long as its
 * node lives.  A report said that it was made in the future; every later,
 * true report was older and not believed. */
START_TEST (refuses_a_load_report_of_the_future)
{
  struct engine_load load;

  ck_assert (LOAD ("{\"decoding\":3,\"prefill_queue\":2,"
                   "\"prefill_queue_tokens\":900,\"kv_bytes_held\":7,"
                   "\"age_ms\":40}"));
  ck_assert_uint_eq (load.decoding, 3);
  ck_assert_uint_eq (load.prefill_queue, 2);
  ck_assert_uint_eq (load.prefill_queue_tokens, 900);
  ck_assert_uint_eq (load.kv_bytes_held, 7);
  ck_assert_int_eq (load.age_ms, 40);
  ck_assert (!LOAD ("{\"decoding\":3,\"age_ms\":-1}"));
  ck_assert (!LOAD ("{\"age_ms\":-9223372036854775808}"));
  ck_assert (!LOAD ("{\"decoding\":-3,\"age_ms\":40}"));
  ck_assert (!LOAD ("[]"));
}
END_TEST

/* A user would see prefills of cached prompts take as long as new ones, for
 * ever.  One event had the sequence -1; cast it was the highest of all, and
 * no event or poll after it brought anything. */
START_TEST (refuses_cache_events_out_of_range)
{
  struct engine_cache cache;

  ck_assert (EVENTS ("{\"events\":[{\"sequence\":7,\"added\":true,"
                     "\"block\":\"18446744073709551615\"}],\"last\":7}"));
  ck_assert_uint_eq (cache.count, 1);
  ck_assert_uint_eq (cache.changes[0].sequence, 7);
  ck_assert_uint_eq (cache.changes[0].block, UINT64_MAX);
  ck_assert (cache.changes[0].added);
  engine_cache_clear (&cache);
  ck_assert (!EVENTS ("{\"events\":[{\"sequence\":-1,\"block\":\"5\"}]}"));
  ck_assert (!EVENTS ("{\"events\":[{\"sequence\":7,\"block\":5}]}"));
  ck_assert (!EVENTS ("{\"events\":{}}"));
  ck_assert (!EVENTS ("{}"));
  ck_assert_ptr_null (cache.changes);
}
END_TEST

START_TEST (reads_blocks_whole_or_not)
{
  struct engine_cache cache;

  ck_assert (BLOCKS ("{\"last\":8,\"blocks\":[\"12\",\"0\"]}"));
  ck_assert_uint_eq (cache.last, 8);
  ck_assert_uint_eq (cache.count, 2);
  ck_assert_uint_eq (cache.blocks[0], 12);
  engine_cache_clear (&cache);
  ck_assert (!BLOCKS ("{\"last\":8,\"blocks\":[\"12\",\"-1\"]}"));
  ck_assert (!BLOCKS ("{\"last\":8,\"blocks\":[\"18446744073709551616\"]}"));
  ck_assert (!BLOCKS ("{\"last\":8,\"blocks\":[\"12x\"]}"));
  ck_assert (!BLOCKS ("{\"last\":-8,\"blocks\":[]}"));
  ck_assert_ptr_null (cache.blocks);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("engine_parse");
  TCase *tcase = tcase_create ("answers");

  tcase_add_test (tcase, reads_a_prefill);
  tcase_add_test (tcase, refuses_a_prefill_out_of_range);
  tcase_add_test (tcase, reads_lines);
  tcase_add_test (tcase, refuses_damaged_lines);
  tcase_add_test (tcase, bounds_the_time_to_come_back);
  tcase_add_test (tcase, only_a_zero_releases);
  tcase_add_test (tcase, refuses_a_load_report_of_the_future);
  tcase_add_test (tcase, refuses_cache_events_out_of_range);
  tcase_add_test (tcase, reads_blocks_whole_or_not);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
