#include <check.h>

#include "../suite.h"
#include "model.h"

/* Time from the order to stop to the end of the process. */
#define STOP_MS 7300
/* Output of a request, and of the quick and slow streams before it. */
#define TOKENS 1500
#define EVENT_TOKENS 50
#define QUICK_EVENT_MS 50
#define SLOW_EVENT_MS 125
#define LEARNED_STREAMS 270
/* Plain requests that are served before a stop. */
#define PLAIN_FIRST 1000
#define LEARNED_PLAIN 270

static void
arrive (uint64_t number, int64_t deadline_ms)
{
  struct beryl_forward_request params = fx_request_params (&fx, number);

  params.output_tokens_max = TOKENS;
  params.output_tokens_hint = TOKENS;
  params.deadline_ms = fx.now_ms + deadline_ms;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
}

/* Distance of the ids of a stream's events. */
static uint64_t id_step = 1;

/* Has a stream of EVENTS, EVENT_MS apart, served whole. */
static void
stream (uint64_t number, uint64_t events, int64_t event_ms)
{
  struct fx_exchange *run;

  arrive (number, 14000);
  run = fx_to_run (&fx, number);
  fx_stream (&fx, run);
  for (uint64_t i = 1; i <= events; i++)
    {
      if (i == 1)
        fx_pass (&fx, 50);
      else
        fx.now_ms += event_ms;
      fx_event (&fx, run, i * id_step);
    }
  fx_done (&fx, run);
  ck_assert (answer (number)->whole);
}

/* Serves streams of which few run at slow engines, and stops the process. */
static void
learn_and_stop (void)
{
  uint64_t number = 1000;

  for (int i = 0; i < LEARNED_STREAMS; i++)
    stream (number++, 10, i % 27 == 5 ? SLOW_EVENT_MS : QUICK_EVENT_MS);
  beryl_forward_stop (fx.forward, fx.now_ms + STOP_MS, fx.now_ms);
}

static void
assert_not_run (uint64_t number)
{
  ck_assert (answer (number)->refused);
  ck_assert_uint_eq (answer (number)->refusal.status, 503);
  ck_assert (answer (number)->refusal.not_run);
  ck_assert_int_eq (answer (number)->refusal.reason, BERYL_REFUSAL_STOPPING);
  ck_assert_ptr_null (fx_open_of (&fx, number, BERYL_EXCHANGE_RUN));
}

/* Guards against a stream that a stopping node takes by the mean pace of its
   engines, and cuts off in the middle at a slow one. */
START_TEST (test_slow_engine)
{
  learn_and_stop ();
  fx_pass (&fx, 3500);
  arrive (1, 14000);
  assert_not_run (1);
}
END_TEST

/* Guards against the same for a caller that resumes a stream whose ids count
   tokens, so that it seems to have nearly all of it. */
START_TEST (test_slow_engine_resumed)
{
  struct beryl_forward_request params;

  id_step = EVENT_TOKENS;
  learn_and_stop ();
  id_step = 1;
  fx_pass (&fx, 3500);
  params = fx_request_params (&fx, 1);
  params.output_tokens_max = TOKENS;
  params.output_tokens_hint = TOKENS;
  params.deadline_ms = fx.now_ms + 14000;
  params.resumes = true;
  params.last_event_id = TOKENS / 2;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  assert_not_run (1);
}
END_TEST

/* Guards against refusing what ends before the process even at the slowest
   engine. */
START_TEST (test_short_stream)
{
  learn_and_stop ();
  arrive (1, 14000);
  ck_assert_uint_eq (answer (1)->ends, 0);
  ck_assert_ptr_nonnull (fx_to_run (&fx, 1));
  fx_pass (&fx, 3500);
  arrive (2, 3500);
  ck_assert_uint_eq (answer (2)->ends, 0);
}
END_TEST

/* Guards against a stream that was taken in time, waited for its prompt, and
   is sent too late to end before the process. */
START_TEST (test_slow_prefill)
{
  learn_and_stop ();
  arrive (1, 14000);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx.now_ms += 3500;
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  assert_not_run (1);
}
END_TEST

/* Guards against a request that waits for memory until the process ends. */
START_TEST (test_full_engines)
{
  learn_and_stop ();
  arrive (1, 14000);
  for (int i = 0; i < 100 && answer (1)->ends == 0; i++)
    {
      struct fx_exchange *x = fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE);

      if (x != NULL)
        fx_refused (&fx, x);
      fx_pass (&fx, 50);
    }
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
  arrive (2, 14000);
  fx_refused (&fx, open_of (2, BERYL_EXCHANGE_RESERVE));
  fx.now_ms += 3500;
  if (fx_open_of (&fx, 2, BERYL_EXCHANGE_RESERVE) != NULL)
    fx_refused (&fx, fx_open_of (&fx, 2, BERYL_EXCHANGE_RESERVE));
  assert_not_run (2);
}
END_TEST

/* Guards against a second run that is sent although the process ends before
   it, and against the claim that a request has not run which may have. */
START_TEST (test_no_second_run)
{
  learn_and_stop ();
  arrive (1, 14000);
  fx_stream (&fx, fx_to_run (&fx, 1));
  fx.now_ms += 3500;
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_FAILURE_RESET, true);
  ck_assert_uint_eq (answer (1)->ends, 1);
  ck_assert_uint_eq (answer (1)->refusal.status, 502);
  ck_assert (!answer (1)->refusal.not_run);
}
END_TEST

/* Guards against cutting off a stream that has begun and could go on at
   another engine. */
START_TEST (test_begun_stream_goes_on)
{
  learn_and_stop ();
  arrive (1, 14000);
  fx_to_stream (&fx, 1, 3);
  fx.now_ms += 3500;
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_FAILURE_RESET, true);
  ck_assert_uint_eq (answer (1)->ends, 0);
  ck_assert (fx_to_run (&fx, 1)->resumes);
}
END_TEST

/* Guards against requests without an answer when the process ends: one that
   waits, one that may run, and a stream. */
START_TEST (test_end)
{
  learn_and_stop ();
  arrive (1, 14000);
  arrive (2, 14000);
  fx_to_run (&fx, 2);
  arrive (3, 14000);
  fx_to_stream (&fx, 3, 3);
  ck_assert_uint_eq (answer (1)->ends, 0);
  beryl_forward_stop_end (fx.forward, fx.now_ms);
  assert_not_run (1);
  ck_assert_uint_eq (answer (2)->refusal.status, 502);
  ck_assert (answer (3)->cut);
  for (uint64_t i = 1; i <= 3; i++)
    ck_assert_uint_eq (answer (i)->ends, 1);
  ck_assert_uint_eq (beryl_forward_open_count (fx.forward), 0);
}
END_TEST

/* Guards against a stream without a limit of its tokens, which may last until
   its deadline. */
START_TEST (test_unlimited_stream)
{
  struct beryl_forward_request params;

  learn_and_stop ();
  params = fx_request_params (&fx, 1);
  params.output_tokens_max = 0;
  params.deadline_ms = fx.now_ms + 14000;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  assert_not_run (1);
}
END_TEST

/* Opens the node with a plain service whose requests may not be repeated, and
 * serves COUNT of them that take TOOK_MS. */
static void
serve_plain (uint32_t count, int64_t took_ms)
{
  terms = fx_plain_terms ();
  terms.route.repeat = BERYL_REPEAT_ONCE;
  reopen ();
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "b", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "c", BERYL_STAGE_NONE);
  for (uint64_t i = 0; i < count; i++)
    {
      fx_arrive (&fx, PLAIN_FIRST + i);
      fx.now_ms += took_ms;
      fx_answer (&fx, open_of (PLAIN_FIRST + i, BERYL_EXCHANGE_RUN), 200,
                 "body");
      ck_assert (answer (PLAIN_FIRST + i)->whole);
    }
}

static void
stop (void)
{
  beryl_forward_stop (fx.forward, fx.now_ms + STOP_MS, fx.now_ms);
}

static void
assert_sent (uint64_t number)
{
  ck_assert_uint_eq (answer (number)->ends, 0);
  ck_assert_ptr_nonnull (fx_open_of (&fx, number, BERYL_EXCHANGE_RUN));
}

/* Guards against plain requests that may not be repeated, taken late in a stop
   by a node that has seen too few of their service to say how long they
   take. */
START_TEST (test_few_plain_runs)
{
  serve_plain ((uint32_t)_i, 20);
  stop ();
  fx_arrive (&fx, 1); /* its deadline is in time */
  assert_sent (1);
  fx_answer (&fx, open_of (1, BERYL_EXCHANGE_RUN), 200, "body");
  fx.now_ms += STOP_MS - 3000;
  fx_arrive (&fx, 2);
  assert_not_run (2);
  ck_assert_int_gt (answer (2)->refusal.retry_after_ms, 0);
}
END_TEST

/* Guards against refusing requests that are known to be short, and those that
   end in time by their own deadline. */
START_TEST (test_short_plain)
{
  struct beryl_forward_request params;

  serve_plain (LEARNED_PLAIN, 20);
  stop ();
  fx.now_ms += STOP_MS - 2000;
  fx_arrive (&fx, 1);
  assert_sent (1);
  serve_plain (0, 0);
  stop ();
  fx.now_ms += STOP_MS - 2000;
  params = fx_request_params (&fx, 2);
  params.deadline_ms = fx.now_ms + 1500;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  assert_sent (2);
}
END_TEST

/* Guards against refusing what may be repeated, since its caller may send it
   again. */
START_TEST (test_few_repeatable)
{
  terms = fx_plain_terms ();
  reopen ();
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  stop ();
  fx.now_ms += STOP_MS - 3000;
  fx_arrive (&fx, 1);
  assert_sent (1);
}
END_TEST

/* Guards against requests that are taken by the quick runs before the stop,
   while the service has become slow as it began. */
START_TEST (test_slow_as_stop_begins)
{
  serve_plain (LEARNED_PLAIN, 20);
  stop ();
  fx_arrive (&fx, 1);
  fx_arrive (&fx, 2);
  assert_sent (1);
  fx.now_ms += 2500;
  fx_arrive (&fx, 3);
  assert_sent (3);
  fx.now_ms += 1500;
  fx_arrive (&fx, 4);
  assert_not_run (4);
  for (uint64_t i = 1; i <= 3; i++)
    fx_answer (&fx, open_of (i, BERYL_EXCHANGE_RUN), 200, "body");
  for (uint64_t i = 1; i <= 3; i++)
    ck_assert (answer (i)->whole);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("planned stop");
  TCase *tcase = tcase_create ("planned stop");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_slow_engine);
  tcase_add_test (tcase, test_slow_engine_resumed);
  tcase_add_test (tcase, test_short_stream);
  tcase_add_test (tcase, test_slow_prefill);
  tcase_add_test (tcase, test_full_engines);
  tcase_add_test (tcase, test_no_second_run);
  tcase_add_test (tcase, test_begun_stream_goes_on);
  tcase_add_test (tcase, test_end);
  tcase_add_test (tcase, test_unlimited_stream);
  tcase_add_loop_test (tcase, test_few_plain_runs, 0, 31);
  tcase_add_test (tcase, test_short_plain);
  tcase_add_test (tcase, test_few_repeatable);
  tcase_add_test (tcase, test_slow_as_stop_begins);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
