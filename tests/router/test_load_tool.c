#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entries.h"
#include "report.h"
#include "results.h"
#include "sse.h"
#include "../suite.h"

static char events[256];

static void
on_event (const char *data, void *user)
{
  strncat (events, data, sizeof events - strlen (events) - 1);
  strncat (events, "|", sizeof events - strlen (events) - 1);
}

/* Events split at arbitrary positions are each delivered once and complete. */
START_TEST (test_sse_in_pieces)
{
  const char *text = "data: {\"a\":1}\n\n: note\r\ndata: two\r\n\r\n"
                     "data: [DONE]\n\n";
  for (size_t piece = 1; piece < strlen (text); piece++)
    {
      struct sse *sse = sse_create (on_event, NULL);
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

/* Guards against markup in a scenario's name becoming markup of the page, and
 * against hiding a violated invariant. */
START_TEST (test_report_escapes_markup)
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

static json_t *
entries_answer (const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  ck_assert_ptr_nonnull (json);
  return json;
}

/* Guards against sending all calls to one node: the given addresses were used
 * unchanged instead of the weighted ones from discovery. */
START_TEST (test_entries_by_weight)
{
  const struct caller_target seed = { .address = "127.0.0.1", .port = 1 };
  struct entries *e = entries_create (&seed, 1);
  ck_assert_uint_eq (entries_choose (e, 0.99)->port, 1);
  json_t *answer = entries_answer (
      "{\"ttl_ms\":2000,\"entries\":["
      "{\"address\":\"127.0.0.2\",\"port\":2,\"incarnation\":\"aa\","
      "\"weight\":3},"
      "{\"address\":\"127.0.0.3\",\"port\":3,\"incarnation\":\"bb\","
      "\"weight\":1},"
      "{\"address\":\"127.0.0.4\",\"port\":4,\"incarnation\":\"cc\","
      "\"weight\":0},"
      "{\"address\":\"127.0.0.5\",\"port\":99999,\"weight\":9}]}");
  ck_assert (entries_take (e, answer));
  ck_assert_int_eq (entries_ttl_ms (e), 2000);
  uint32_t chosen[6] = { 0 };
  for (int i = 0; i < 1000; i++)
    chosen[entries_choose (e, i / 1000.0)->port]++;
  ck_assert_uint_eq (chosen[2], 750);
  ck_assert_uint_eq (chosen[3], 250);
  json_decref (answer);
  /* An answer without instances does not remove the known ones. */
  answer = entries_answer ("{\"ttl_ms\":5,\"entries\":[]}");
  ck_assert (!entries_take (e, answer));
  ck_assert_int_eq (entries_ttl_ms (e), 2000);
  ck_assert_str_eq (entries_choose (e, 0)->incarnation, "aa");
  json_decref (answer);
  entries_destroy (e);
}
END_TEST

/* Guards against calls that run twice because they carry no idempotency key.
 * Calls that must not run twice carry the keys that the scenario asks for, a
 * bound key names the process it was created for, and other calls carry none.
 */
START_TEST (test_keys_of_calls)
{
  struct scenario s;
  const struct caller_target known = { "127.0.0.1", 1, "00aa" };
  const struct caller_target unknown = { "127.0.0.1", 1, "" };
  uint32_t bound = 0;
  uint32_t unbound = 0;
  char key[100];
  scenario_init (&s);
  s.bound_key_part = 0.5;
  s.free_key_part = 0.2;
  for (uint64_t i = 1; i <= 10000; i++)
    {
      struct arrival a = { .id = i, .type = ARRIVAL_PATIENT };
      caller_key (&s, &known, "run-1", &a, key, sizeof key);
      bound += strcmp (key, "b-00aa-run-1") == 0;
      unbound += strcmp (key, "run-1") == 0;
      caller_key (&s, &unknown, "run-1", &a, key, sizeof key);
      ck_assert (key[0] != 'b');
      a.type = ARRIVAL_URGENT;
      caller_key (&s, &known, "run-1", &a, key, sizeof key);
      ck_assert_str_eq (key, "");
    }
  ck_assert_uint_ge (bound, 4900);
  ck_assert_uint_le (bound, 5100);
  ck_assert_uint_ge (unbound, 1900);
  ck_assert_uint_le (unbound, 2100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load tool");
  TCase *tc = tcase_create ("load tool");
  tcase_add_test (tc, test_sse_in_pieces);
  tcase_add_test (tc, test_results_count);
  tcase_add_test (tc, test_report_escapes_markup);
  tcase_add_test (tc, test_entries_by_weight);
  tcase_add_test (tc, test_keys_of_calls);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
