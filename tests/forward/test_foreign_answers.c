#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* Heads of answers that are none of the request's run. FAULT is what the log
   must say. */
static const struct
{
  struct beryl_answer_head head;
  const char *fault;
} rows[] = {
  { { .status = 200, .event_stream = true, .marks.lacks_id = true },
    "without_id" },
  { { .status = 200, .event_stream = true, .marks.other_id = true },
    "other_request" },
  { { .status = 200, .event_stream = true, .marks.lacks_seal = true },
    "without_seal" },
  { { .status = 200,
      .event_stream = true,
      .ends_with_connection = true,
      .marks.lacks_seal = true },
    "without_seal" },
  { { .status = 500, .marks.lacks_id = true }, "without_id" },
  { { .status = 503, .not_run = true, .marks.other_id = true },
    "other_request" },
  { { .status = 421, .not_run = true, .marks.other_id = true },
    "other_request" },
  { { .status = 200 }, "no_stream" },
  { { .status = 204 }, "no_stream" },
};

#define ROWS (int)(sizeof rows / sizeof *rows)
/* Those that are foreign on plain routes too. */
#define PLAIN_ROWS (ROWS - 2)

static void
assert_logged (const char *fault)
{
  char *line = g_strdup_printf ("foreign:%s ", fault);

  ck_assert_msg (strstr (fx.log->str, line) != NULL, "no %s in %s", line,
                 fx.log->str);
  g_free (line);
}

static void
assert_failed (uint64_t request)
{
  ck_assert (answer (request)->refused);
  ck_assert_uint_eq (answer (request)->refusal.status, 502);
  ck_assert (!answer (request)->refusal.not_run);
}

/* Opens a node with the plain endpoints a and b. */
static void
open_plain (enum beryl_repeat repeat)
{
  model_teardown ();
  terms = fx_plain_terms ();
  terms.route.repeat = repeat;
  fx_open (&fx, &terms);
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "b", BERYL_STAGE_NONE);
}

/* Opens a node whose generations must not run twice. */
static void
open_once (void)
{
  model_teardown ();
  terms = fx_model_terms ();
  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  fx_open (&fx, &terms);
  engines (2, 3);
}

/* Guards against an answer that no run made reaching its caller; the request
   goes on elsewhere. */
START_TEST (test_resumable)
{
  struct fx_exchange *run, *next;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  ck_assert (!answer (1)->begun);
  assert_logged (rows[_i].fault);
  next = fx_to_run (&fx, 1);
  ck_assert_str_ne (next->endpoint, run->endpoint);
  fx_stream (&fx, next);
  fx_event (&fx, next, 1);
  fx_done (&fx, next);
  ck_assert_str_eq (answer (1)->body->str, "id: 1\ndata: e1\n\n");
}
END_TEST

/* Guards against a second run of a request that must not run twice, and
   against telling its caller that it has not run. */
START_TEST (test_once)
{
  struct fx_exchange *run;

  open_once ();
  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  assert_failed (1);
}
END_TEST

/* Guards against the same answers in a run that resumes a stream. */
START_TEST (test_resumed_run)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 2);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}
END_TEST

/* Guards against the same answers at a plain service. */
START_TEST (test_plain)
{
  struct fx_exchange *run;

  open_plain (BERYL_REPEAT_IDEMPOTENT);
  fx_arrive (&fx, 1);
  run = fx_last (&fx, BERYL_EXCHANGE_RUN);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  assert_logged (rows[_i].fault);
  ck_assert_ptr_ne (fx_last (&fx, BERYL_EXCHANGE_RUN), run);
  fx_answer (&fx, fx_last (&fx, BERYL_EXCHANGE_RUN), 200, "body");
  ck_assert_str_eq (answer (1)->body->str, "body");
}
END_TEST

START_TEST (test_plain_once)
{
  struct fx_exchange *run;

  open_plain (BERYL_REPEAT_ONCE);
  fx_arrive (&fx, 1);
  run = fx_last (&fx, BERYL_EXCHANGE_RUN);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  assert_failed (1);
}
END_TEST

/* Guards against a stream without one event passing for a whole answer. */
START_TEST (test_empty_stream)
{
  struct fx_exchange *run, *next;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_done (&fx, run);
  ck_assert (!answer (1)->whole);
  assert_logged ("empty_stream");
  next = fx_to_run (&fx, 1);
  ck_assert_str_ne (next->endpoint, run->endpoint);
}
END_TEST

START_TEST (test_empty_stream_once)
{
  struct fx_exchange *run;

  open_once ();
  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_done (&fx, run);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  assert_failed (1);
}
END_TEST

/* Begins a stream that has one event and breaks off; returns the run that goes
   on behind it. */
static struct fx_exchange *
resumed_behind_event (void)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  return fx_to_run (&fx, 1);
}

static void
end_without_event (struct fx_exchange *run)
{
  fx_stream (&fx, run);
  fx_done (&fx, run);
}

/* Guards against a stream that had all its events, but not its end, failing
   since the runs that go on behind them have none. */
START_TEST (test_resumed_behind_last_event)
{
  struct fx_exchange *run = resumed_behind_event (), *next;

  end_without_event (run);
  ck_assert (!answer (1)->whole);
  next = fx_to_run (&fx, 1);
  ck_assert_str_ne (next->endpoint, run->endpoint);
  ck_assert_uint_eq (next->last_event, 1);
  end_without_event (next);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str, "id: 1\ndata: e1\n\n");
}
END_TEST

/* Guards against a stream that passes for whole before its last event, since
   one engine ended a run behind an event without another. */
START_TEST (test_early_end_behind_event)
{
  struct fx_exchange *run = resumed_behind_event ();

  end_without_event (run);
  ck_assert (!answer (1)->whole);
  assert_logged ("empty_stream");
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 2);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}
END_TEST

/* Returns the run of a caller that resumes its stream behind event 1. */
static struct fx_exchange *
resumed_by_caller (void)
{
  struct beryl_forward_request params = fx_request_params (&fx, 1);

  params.resumes = true;
  params.last_event_id = 1;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  return fx_to_run (&fx, 1);
}

/* Guards against the same for a caller that resumes its stream itself. */
START_TEST (test_early_end_for_caller)
{
  struct fx_exchange *run = resumed_by_caller ();

  end_without_event (run);
  ck_assert (!answer (1)->whole);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 2);
  fx_done (&fx, run);
  ck_assert_str_eq (answer (1)->body->str, "id: 2\ndata: e2\n\n");
}
END_TEST

/* Guards against an end behind one event that is taken for the confirmation of
   one behind an event before. */
START_TEST (test_early_end_behind_each_event)
{
  struct fx_exchange *run = resumed_by_caller ();

  end_without_event (run);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 2);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  end_without_event (run);
  ck_assert (!answer (1)->whole);
}
END_TEST

/* Guards against an end that nobody is left to confirm passing for whole. */
START_TEST (test_early_end_without_another_engine)
{
  struct fx_exchange *run;

  model_teardown ();
  terms = fx_model_terms ();
  fx_open (&fx, &terms);
  engines (2, 1);
  run = resumed_behind_event ();
  end_without_event (run);
  fx_pass (&fx, 60000);
  ck_assert (!answer (1)->whole);
  ck_assert (answer (1)->cut);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
}
END_TEST

/* Guards against a run that goes on from the prompt of another request. */
START_TEST (test_prefill_of_another)
{
  struct beryl_engine_result result
      = { .ok = true, .status = 200, .handle = "kv", .marks.other_id = true };
  struct fx_exchange *prefill;

  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "h");
  prefill = open_of (1, BERYL_EXCHANGE_PREFILL);
  fx_result (&fx, prefill, &result);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
  assert_logged ("other_request");
  ck_assert_str_eq (fx_to_run (&fx, 1)->kv_handle, "kv-1");
}
END_TEST

/* Guards against the same of a reservation. */
START_TEST (test_reservation_of_another)
{
  struct beryl_engine_result result
      = { .ok = true, .status = 200, .handle = "h", .marks.other_id = true };

  fx_arrive (&fx, 1);
  fx_result (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), &result);
  assert_logged ("other_request");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
}
END_TEST

/* Starts a stream that ends with its connection, and its move. */
static struct fx_exchange *
begin_move (struct fx_exchange **run)
{
  fx_arrive (&fx, 1);
  *run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, *run);
  fx_event (&fx, *run, 1);
  fx_leaving (&fx, (*run)->endpoint);
  return move_asked (1);
}

/* Guards against a run that goes on from the memory of another request. */
START_TEST (test_move_of_another)
{
  struct beryl_engine_result result
      = { .ok = true, .status = 200, .handle = "kv", .marks.other_id = true };
  struct fx_exchange *run, *move = begin_move (&run);

  fx_result (&fx, move, &result);
  assert_logged ("other_request");
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
}
END_TEST

/* Guards against a foreign answer of the engine that a run is moved to. */
START_TEST (test_moved_run)
{
  struct fx_exchange *run, *move = begin_move (&run);

  fx_ok (&fx, move, "moved");
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  run = open_of (1, BERYL_EXCHANGE_RUN);
  fx_answer_head (&fx, run, &rows[_i].head);
  ck_assert (run->aborted);
  ck_assert (!answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str, "id: 1\ndata: e1\n\n");
  assert_logged (rows[_i].fault);
}
END_TEST

/* Guards against a stream that passes for whole although a move has stopped
   its run: the call was answered with what tells nothing, or not at all. */
START_TEST (test_stopped_by_lost_move)
{
  struct beryl_engine_result result = { .status = 500 };
  struct fx_exchange *run, *move = begin_move (&run);

  if (_i == 0)
    fx_result (&fx, move, &result);
  else
    fx_broken (&fx, move, BERYL_FAILURE_MALFORMED, true);
  fx_done (&fx, run);
  ck_assert (!answer (1)->whole);
  run = fx_to_run (&fx, 1);
  ck_assert_uint_eq (run->last_event, 1);
}
END_TEST

/* Guards against a request that fails, or runs a third time, since one of its
   two sends has a foreign answer. */
START_TEST (test_hedged)
{
  struct fx_exchange *first, *second;

  open_plain (BERYL_REPEAT_IDEMPOTENT);
  fx_arrive (&fx, 1);
  first = fx_last (&fx, BERYL_EXCHANGE_RUN);
  fx_pass (&fx, 1000);
  second = fx_last (&fx, BERYL_EXCHANGE_RUN);
  ck_assert_ptr_ne (first, second);
  fx_answer_head (&fx, _i == 0 ? first : second, &rows[_i].head);
  ck_assert (!answer (1)->refused);
  fx_answer (&fx, _i == 0 ? second : first, 200, "body");
  ck_assert_str_eq (answer (1)->body->str, "body");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 2);
}
END_TEST

/* Guards against the same for a caller that resumes before the first event. */
START_TEST (test_empty_stream_of_new_resumption)
{
  struct beryl_forward_request params = fx_request_params (&fx, 1);
  struct fx_exchange *run;

  params.resumes = true;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_done (&fx, run);
  ck_assert (!answer (1)->whole);
}
END_TEST

/* Guards against what a foreign answer states of its endpoint being believed:
   that it leaves, or wants a pause. */
START_TEST (test_notices)
{
  struct beryl_answer_head head = { .status = 503,
                                    .not_run = true,
                                    .leaving = true,
                                    .pause_ms = 60000,
                                    .marks.other_id = true };
  struct fx_exchange *run;

  open_plain (BERYL_REPEAT_ONCE);
  fx_arrive (&fx, 1);
  run = fx_last (&fx, BERYL_EXCHANGE_RUN);
  fx_answer_head (&fx, run, &head);
  ck_assert (!fx_find_endpoint (&fx, run->endpoint)->says_leaving);
  ck_assert_int_eq (fx_find_endpoint (&fx, run->endpoint)->paused_until_ms, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answers that no run made");
  TCase *tcase = tcase_create ("foreign answers");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_loop_test (tcase, test_resumable, 0, ROWS);
  tcase_add_loop_test (tcase, test_once, 0, ROWS);
  tcase_add_loop_test (tcase, test_resumed_run, 0, ROWS);
  tcase_add_loop_test (tcase, test_plain, 0, PLAIN_ROWS);
  tcase_add_loop_test (tcase, test_plain_once, 0, PLAIN_ROWS);
  tcase_add_test (tcase, test_empty_stream);
  tcase_add_test (tcase, test_empty_stream_once);
  tcase_add_test (tcase, test_resumed_behind_last_event);
  tcase_add_test (tcase, test_early_end_behind_event);
  tcase_add_test (tcase, test_early_end_for_caller);
  tcase_add_test (tcase, test_early_end_behind_each_event);
  tcase_add_test (tcase, test_early_end_without_another_engine);
  tcase_add_test (tcase, test_prefill_of_another);
  tcase_add_test (tcase, test_reservation_of_another);
  tcase_add_test (tcase, test_move_of_another);
  tcase_add_loop_test (tcase, test_moved_run, 0, ROWS);
  tcase_add_loop_test (tcase, test_stopped_by_lost_move, 0, 2);
  tcase_add_loop_test (tcase, test_hedged, 0, 2);
  tcase_add_test (tcase, test_empty_stream_of_new_resumption);
  tcase_add_test (tcase, test_notices);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
