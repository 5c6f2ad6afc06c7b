#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"
#include "results.h"
#include "sse.h"
#include "../suite.h"

static char events[256];

static void
take (const char *data, void *user)
{
  strncat (events, data, sizeof events - strlen (events) - 1);
  strncat (events, "|", sizeof events - strlen (events) - 1);
}

/* An answer's events come in pieces that end anywhere; each event is taken
 * once and whole. */
START_TEST (test_sse_in_pieces)
{
  const char *text = "data: {\"a\":1}\n\n: note\r\ndata: two\r\n\r\n"
                     "data: [DONE]\n\n";
  for (size_t piece = 1; piece < strlen (text); piece++)
    {
      struct sse *sse = sse_create (take, NULL);
      events[0] = '\0';
      for (size_t at = 0; at < strlen (text); at += piece)
        {
          size_t left = strlen (text) - at;
          sse_feed (sse, text + at, left < piece ? left : piece);
        }
      ck_assert_str_eq (events, "{\"a\":1}|two|[DONE]|");
      sse_destroy (sse);
    }
}
END_TEST

static json_t *
some_results (void)
{
  struct scenario s;
  struct arrival a = { .at_us = 1500000, .type = ARRIVAL_LONG, .id = 1 };
  scenario_init (&s);
  strcpy (s.name, "a<b");
  struct results *r = results_create (&s);
  struct call_outcome good = { .arrival = &a,
                               .end = CALL_ANSWERED,
                               .ended_us = 2500000,
                               .took_us = 1000000,
                               .first_us = 200000,
                               .in_time = true };
  struct call_outcome refused
      = { .arrival = &a, .end = CALL_NOT_RUN, .ended_us = 1600000 };
  results_asked (r, &a);
  results_asked (r, &a);
  results_add (r, &good);
  results_add (r, &refused);
  json_t *json = results_json (r);
  results_destroy (r);
  return json;
}

START_TEST (test_results_count)
{
  json_t *json = some_results ();
  json_t *calls = json_object_get (json, "long");
  ck_assert_int_eq (json_integer_value (json_object_get (calls, "asked")), 2);
  ck_assert_int_eq (json_integer_value (json_object_get (calls, "in_time")),
                    1);
  ck_assert_int_eq (json_integer_value (json_object_get (calls, "not_run")),
                    1);
  json_t *line = json_object_get (json, "time_line");
  ck_assert_uint_eq (json_array_size (line), 3);
  ck_assert_int_eq (json_integer_value (
                        json_object_get (json_array_get (line, 2), "in_time")),
                    1);
  json_decref (json);
}
END_TEST

/* A scenario's name with markup in it must not become markup of the page,
 * and a broken invariant must be said. */
START_TEST (test_report_is_safe_and_plain)
{
  char page[65536];
  json_t *runs = json_array ();
  json_t *run = some_results ();
  json_object_set_new (run, "engines",
                       json_pack ("{s:i,s:i}", "doubled", 2, "held", 0));
  json_array_append_new (runs, run);
  FILE *out = fmemopen (page, sizeof page, "w");
  report_write (runs, out);
  fclose (out);
  ck_assert_ptr_nonnull (strstr (page, "a&lt;b"));
  ck_assert_ptr_null (strstr (page, "a<b"));
  ck_assert_ptr_nonnull (strstr (page, "broken (2)"));
  ck_assert_ptr_nonnull (strstr (page, "held (0)"));
  ck_assert_ptr_null (strstr (page, "src="));
  json_decref (runs);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load tool");
  TCase *tc = tcase_create ("load tool");
  tcase_add_test (tc, test_sse_in_pieces);
  tcase_add_test (tc, test_results_count);
  tcase_add_test (tc, test_report_is_safe_and_plain);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
