#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PROMPT "{\"model\":\"advies-1\",\"prompt\":\"How wide?\"}"
#define STREAM                                                                \
  "{\"model\":\"advies-1\",\"prompt\":\"How wide?\",\"stream\":true}"

static struct world *world;
static struct answer answer;

static void
set_up (void)
{
  world = world_create ();
}

static void
tear_down (void)
{
  world_destroy (world);
}

static void
call (const char *method, const char *path, const char *header,
      const char *value, const char *body)
{
  world_call (world, &answer, method, path, header, value, body);
}

static bool
body_has (const char *part)
{
  return strstr (answer.body->str, part) != NULL;
}

START_TEST (test_plain)
{
  call ("GET", "/v1/services/lookup/status?permit=4", "x-request-id", "me-1",
        NULL);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_str_eq (answer.body->str, "{\"status\":\"granted\"}");
  ck_assert_str_eq (answer.request_id, "me-1");
  ck_assert_str_eq (world->last_request_id, "me-1");
  ck_assert_int_gt (atoi (world->last_deadline), 0);
  ck_assert_int_le (atoi (world->last_deadline), 1000);
  answer_clear (&answer);
}
END_TEST

START_TEST (test_completion)
{
  call ("POST", "/v1/completions", NULL, NULL, PROMPT);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"text\":\"width ok\""));
  ck_assert (body_has ("\"finish_reason\":\"stop\""));
  ck_assert (body_has ("\"completion_tokens\":2"));
  answer_clear (&answer);
  call ("POST", "/v1/chat/completions", NULL, NULL,
        "{\"model\":\"advies-1\",\"messages\":[{\"role\":\"user\","
        "\"content\":\"How wide?\"}]}");
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"content\":\"width ok\""));
  answer_clear (&answer);
}
END_TEST

START_TEST (test_stream)
{
  call ("POST", "/v1/completions", NULL, NULL, STREAM);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"text\":\"width \""));
  ck_assert (body_has ("\"text\":\"ok\""));
  ck_assert (body_has ("\"total_tokens\":"));
  ck_assert (g_str_has_suffix (answer.body->str, "data: [DONE]\n\n"));
  answer_clear (&answer);
}
END_TEST

/* A caller sees text in its answer that belongs to an older attempt.  After a
 * cut the engine flushes lines of the attempt before; taking them would mix
 * two texts and end the answer too early. */
START_TEST (test_late_attempt)
{
  world->decode_mode = DECODE_LATE_ATTEMPT;
  call ("POST", "/v1/completions", NULL, NULL, PROMPT);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"text\":\"width ok\""));
  ck_assert (!body_has ("WRONG"));
  answer_clear (&answer);
}
END_TEST

/* A caller is refused although a decode slot comes free in time.  The decode
 * engines are full for a moment; the prefill engine said how long it keeps the
 * KV cache, and the request was given up after 600 ms as if it had not.  Only
 * when the KV cache is gone is it prefilled again, and then answered whole. */
START_TEST (test_kv_lives)
{
  world->decode_mode = DECODE_FULL;
  world->kv_lives_ms = 1200;
  world_send (world, &answer, "POST", "/v1/completions", NULL, NULL, PROMPT);
  world_run (world, 1100);
  ck_assert_uint_eq (world->prefills, 1);
  ck_assert_uint_eq (world->cancels, 0);
  ck_assert_uint_eq (beryl_requests_open_count (world->entry->requests), 1);
  world->decode_mode = DECODE_ANSWER;
  for (int i = 0; i < 50 && answer.status == 0; i++)
    world_run (world, 100);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"text\":\"width ok\""));
  ck_assert_uint_eq (world->prefills, 2);
  answer_clear (&answer);
}
END_TEST

/* An engine gone wrong says that it keeps a KV cache for ever; the number
 * must not run over in the sum with a time. */
START_TEST (test_kv_lives_for_ever)
{
  world->kv_lives_ms = INT64_MAX;
  call ("POST", "/v1/completions", NULL, NULL, PROMPT);
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
}
END_TEST

/* A caller takes half an advice for the whole.  The engine closes its answer
 * properly but without the last line, as it does when it is restarted; only
 * the last line proves that all of it is there. */
START_TEST (test_no_end)
{
  world->decode_mode = DECODE_NO_END;
  call ("POST", "/v1/completions", NULL, NULL, STREAM);
  ck_assert_msg (answer.failed || answer.status >= 500, "%u %s", answer.status,
                 answer.body->str);
  ck_assert (!body_has ("[DONE]"));
  answer_clear (&answer);
}
END_TEST

/* An engine's memory stays full though nobody reads.  The caller closes its
 * connection in the middle of a stream; the engine must be told, or it goes
 * on decoding for nobody. */
START_TEST (test_caller_gone)
{
  struct http_call *open;

  world->decode_mode = DECODE_STUCK;
  open = world_send (world, &answer, "POST", "/v1/completions", NULL, NULL,
                     STREAM);
  world_run (world, 300);
  ck_assert (body_has ("width "));
  ck_assert_uint_eq (beryl_requests_open_count (world->entry->requests), 1);
  http_call_cancel (open);
  world_run (world, 400);
  ck_assert_uint_eq (beryl_requests_open_count (world->entry->requests), 0);
  ck_assert_uint_ge (world->cancels, 1);
  ck_assert_uint_eq (g_hash_table_size (world->entry->exchanges), 0);
  ck_assert_uint_eq (g_hash_table_size (world->entry->open), 0);
  answer_clear (&answer);
}
END_TEST

/* A counter clerk's status change is sent twice and two letters go out.  The
 * service's process dies with the answer half written; the call may have run,
 * so that it is not repeated and the caller is told "unknown". */
START_TEST (test_die_halfway)
{
  world->service_mode = SERVICE_DIE_HALFWAY;
  call ("POST", "/v1/services/lookup/letters", NULL, NULL, "{}");
  ck_assert_uint_eq (world->service_runs, 1);
  ck_assert_uint_eq (answer.status, 502);
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  answer_clear (&answer);
}
END_TEST

/* A caller hears "unknown" though nothing ran and has to ask by telephone.
 * The service refuses before running and says so. */
START_TEST (test_refused)
{
  world->service_mode = SERVICE_REFUSE;
  call ("POST", "/v1/services/lookup/letters", NULL, NULL, "{}");
  ck_assert_uint_eq (world->service_runs, 0);
  ck_assert_uint_ge (answer.status, 502);
  ck_assert (body_has ("\"outcome\":\"not_run\""));
  answer_clear (&answer);
}
END_TEST

/* A small call waits for ever behind a silent service.  Its deadline ends it,
 * and since bytes went out the outcome is unknown. */
START_TEST (test_deadline)
{
  world->service_mode = SERVICE_SILENT;
  call ("POST", "/v1/services/lookup/letters", "x-deadline-ms", "150", "{}");
  ck_assert_uint_eq (answer.status, 504);
  ck_assert (body_has ("\"outcome\":\"unknown\""));
  answer_clear (&answer);
}
END_TEST

/* Each kind of bad input gets an error of its own, "not run", and the next
 * good call is answered as if nothing had been. */
START_TEST (test_bad_input)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *header;
    const char *value;
    const char *body;
    unsigned int status;
    const char *type;
  } cases[] = {
    { "GET", "/nothing", NULL, NULL, NULL, 404, "no-route" },
    { "GET", "/v1/completions", NULL, NULL, NULL, 405, "method-not-allowed" },
    { "GET", "/v1/services/lookup/", "authorization", "Bearer wrong", NULL,
      401, "unauthorized" },
    { "GET", "/v1/services/lookup/", "authorization", "Basic eA==", NULL, 401,
      "unauthorized" },
    { "GET", "/v1/services/absent/x", NULL, NULL, NULL, 404, "no-service" },
    { "GET", "/v1/services/advies/x", NULL, NULL, NULL, 404, "no-service" },
    { "GET", "/v1/services/lookup/", "x-deadline-ms", "-5", NULL, 504,
      "deadline" },
    { "GET", "/v1/services/lookup/", "x-deadline-ms", "soon", NULL, 400,
      "invalid-request" },
    { "GET", "/v1/services/lookup/", "x-deadline-ms", "99999999999999999999",
      NULL, 400, "invalid-request" },
    { "POST", "/v1/completions", NULL, NULL, "{\"model\":", 400,
      "invalid-request" },
    { "POST", "/v1/completions", NULL, NULL, "[]", 400, "invalid-request" },
    { "POST", "/v1/completions", NULL, NULL,
      "{\"model\":\"advies-1\",\"prompt\":\"\"}", 400, "invalid-request" },
    { "POST", "/v1/completions", NULL, NULL,
      "{\"model\":\"advies-1\",\"prompt\":\"x\",\"max_tokens\":-1}", 400,
      "invalid-request" },
    { "POST", "/v1/completions", NULL, NULL,
      "{\"model\":\"gone\",\"prompt\":\"x\"}", 404, "unknown-model" },
    { "POST", "/v1/chat/completions", NULL, NULL,
      "{\"model\":\"advies-1\",\"messages\":[{\"role\":\"user\"}]}", 400,
      "invalid-request" },
    { "GET", "/v1/requests/none", NULL, NULL, NULL, 404, "not-found" },
    { "GET", "/v1/requests/none?offset=-1", NULL, NULL, NULL, 400,
      "invalid-request" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char type[64];

      call (cases[i].method, cases[i].path, cases[i].header, cases[i].value,
            cases[i].body);
      g_snprintf (type, sizeof type, "\"type\":\"%s\"", cases[i].type);
      ck_assert_msg (answer.status == cases[i].status && body_has (type),
                     "case %zu: %u %s", i, answer.status, answer.body->str);
      ck_assert (body_has ("\"outcome\":\"not_run\"")
                 || strcmp (cases[i].type, "not-found") == 0);
      ck_assert (body_has ("\"action\":"));
      answer_clear (&answer);
    }
  ck_assert_uint_eq (world->service_runs, 0);
  ck_assert_uint_eq (world->prefills, 0);
  call ("GET", "/v1/services/lookup/", NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
}
END_TEST

static char *
long_prompt (size_t prompt_bytes)
{
  GString *body = g_string_new ("{\"model\":\"advies-1\",\"prompt\":\"");

  for (size_t i = 0; i < prompt_bytes; i++)
    g_string_append_c (body, 'a');
  g_string_append (body, "\"}");
  return g_string_free (body, FALSE);
}

/* A dossier of 50,000 tokens goes through; one above the model's context is
 * refused before any engine works on it; one above the body limit is refused
 * before it is read. */
START_TEST (test_long_prompts)
{
  char *body = long_prompt (200000);

  call ("POST", "/v1/completions", NULL, NULL, body);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_uint_eq (world->prompt_bytes, 200000);
  answer_clear (&answer);
  g_free (body);

  body = long_prompt (400000);
  call ("POST", "/v1/completions", NULL, NULL, body);
  ck_assert_uint_eq (answer.status, 400);
  ck_assert (body_has ("\"type\":\"context-length\""));
  answer_clear (&answer);
  g_free (body);

  body = long_prompt (1100000);
  call ("POST", "/v1/completions", NULL, NULL, body);
  ck_assert (answer.failed || answer.status == 413);
  answer_clear (&answer);
  g_free (body);
  ck_assert_uint_eq (world->prefills, 1);
}
END_TEST

static void
start_drain (void *user)
{
  entry_drain (user);
}

/* An operator stops a node and a caller's status call breaks off.  The stop
 * comes while a call runs and a caller still holds the node's address: the
 * call is answered, new ones are answered until the address has run out, and
 * only /readyz changes at once. */
START_TEST (test_drain)
{
  struct answer ready;
  struct loop_timer *timer;

  timer = loop_timer_start (world->loop, 0, 0, start_drain, world->entry);
  world_run (world, 20);
  loop_timer_stop (timer);
  world_call (world, &ready, "GET", "/readyz", NULL, NULL, NULL);
  ck_assert_uint_eq (ready.status, 503);
  answer_clear (&ready);
  call ("GET", "/v1/services/lookup/", NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
  world_call (world, &ready, "GET", "/v1/entry", NULL, NULL, NULL);
  ck_assert_str_eq (ready.body->str, "{\"ttl_ms\":200,\"entries\":[]}");
  answer_clear (&ready);
  entry_drain (world->entry);
  loop_run (world->loop);
  ck_assert (world->entry->drained);
}
END_TEST

START_TEST (test_entry_and_metrics)
{
  call ("GET", "/v1/entry", NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (body_has ("\"node\":\"n1\""));
  ck_assert (body_has ("\"weight\":100"));
  answer_clear (&answer);
  call ("GET", "/metrics", "authorization", "none", NULL);
  ck_assert (body_has ("beryl_http_requests_total 2"));
  answer_clear (&answer);
}
END_TEST

/* An operator without a platform gets free keys refused as "not run": running
 * the call without a durable claim could run it twice. */
START_TEST (test_free_key_without_platform)
{
  call ("POST", "/v1/services/lookup/letters", "idempotency-key", "abc", "{}");
  ck_assert_uint_eq (answer.status, 503);
  ck_assert (body_has ("claim-unavailable"));
  ck_assert (body_has ("\"outcome\":\"not_run\""));
  ck_assert_uint_eq (world->service_runs, 0);
  answer_clear (&answer);
}
END_TEST

/* A clerk's portal repeats a call under its bound key after a lost reply; the
 * letter must go out once, and the repeat is told that it was answered. */
START_TEST (test_bound_key)
{
  char key[64];

  g_snprintf (key, sizeof key, "b-%016" G_GINT64_MODIFIER "x-letter-1",
              world->entry->incarnation);
  call ("POST", "/v1/services/lookup/letters", "idempotency-key", key, "{}");
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
  call ("POST", "/v1/services/lookup/letters", "idempotency-key", key, "{}");
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("key-answered"));
  ck_assert_uint_eq (world->service_runs, 1);
  answer_clear (&answer);
}
END_TEST

/* A clerk's portal loses its connection while a letter's call runs.  It must
 * get the rest of the answer from the byte it wants, once, without a second
 * letter; nobody else may see it. */
START_TEST (test_fetch)
{
  struct http_call *open;
  char key[64];
  char path[96];

  world->service_mode = SERVICE_LATE;
  g_snprintf (key, sizeof key, "b-%016" G_GINT64_MODIFIER "x-letter-1",
              world->entry->incarnation);
  open = world_send (world, &answer, "POST", "/v1/services/lookup/letters",
                     "idempotency-key", key, "{}");
  world_run (world, 100);
  http_call_cancel (open);
  answer_clear (&answer);
  world_run (world, 600);
  g_snprintf (path, sizeof path, "/v1/requests/%s?offset=10", key);
  call ("GET", path, "authorization", "Bearer other", NULL);
  ck_assert_uint_eq (answer.status, 404);
  answer_clear (&answer);
  call ("GET", path, NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_str_eq (answer.body->str, "\"granted\"}");
  answer_clear (&answer);
  call ("GET", path, NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 409);
  ck_assert (body_has ("key-answered"));
  ck_assert_uint_eq (world->service_runs, 1);
  answer_clear (&answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *tcase = tcase_create ("entry");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_plain);
  tcase_add_test (tcase, test_completion);
  tcase_add_test (tcase, test_stream);
  tcase_add_test (tcase, test_late_attempt);
  tcase_add_test (tcase, test_no_end);
  tcase_add_test (tcase, test_kv_lives);
  tcase_add_test (tcase, test_kv_lives_for_ever);
  tcase_add_test (tcase, test_caller_gone);
  tcase_add_test (tcase, test_die_halfway);
  tcase_add_test (tcase, test_refused);
  tcase_add_test (tcase, test_deadline);
  tcase_add_test (tcase, test_bad_input);
  tcase_add_test (tcase, test_long_prompts);
  tcase_add_test (tcase, test_drain);
  tcase_add_test (tcase, test_entry_and_metrics);
  tcase_add_test (tcase, test_free_key_without_platform);
  tcase_add_test (tcase, test_bound_key);
  tcase_add_test (tcase, test_fetch);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
