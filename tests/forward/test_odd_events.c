#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* Events that teach the node how an engine numbers them. */
#define LEARN_EVENTS 40
#define DECODE_ENGINES 3

/* Bytes amid a stream's events that are no event of its run; each comes after
 * event 3. FAULT is what the log must say. */
static const struct
{
  const char *name;
  const char *piece;
  const char *fault;
} rows[] = {
  { "data without an id", "data: odd\n\n", "without_id" },
  { "an empty id", "id:\ndata: odd\n\n", "bad_id" },
  { "an id that is no number", "id: odd\ndata: odd\n\n", "bad_id" },
  { "two ids", "id: 4\nid: 5\ndata: odd\n\n", "bad_id" },
  { "an id alone", "id: 4\n\n", "without_data" },
  { "bytes that are no text", "\x9c\xd0\x12\xf8odd\xe1\n\n", "not_text" },
  { "a line of text", "odd\n\n", "unknown_field" },
  { "the head of an answer",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "unknown_field" },
  { "JSON", "{\"odd\": 4}\n\n", "unknown_field" },
  { "a line before an event", "odd\nid: 4\ndata: e4\n\n", "unknown_field" },
  { "an event of its own type", "event: odd\n\n", "without_id" },
  { "an earlier event", "id: 1\ndata: odd\n\n", "repeated" },
  { "event 0", "id: 0\ndata: odd\n\n", "repeated" },
};

/* Pieces in the form of events that may be the run's until the true one
 * follows. */
static const char *const ahead_rows[] = {
  "id: 5\ndata: odd\n\n",
  "id: 900\ndata: odd\n\n",
  "id: 900\ndata: odd\n\nid: 901\ndata: odd\n\n",
  "id: 900\ndata: odd\n\nid: 950\ndata: odd\n\nid: 990\ndata: odd\n\n",
};

#define AHEAD_ROWS (int)G_N_ELEMENTS (ahead_rows)

#define ROWS (int)(sizeof rows / sizeof *rows)

/* Has a stream of LEARN_EVENTS at each decode engine. */
static void
learn_numbering (void)
{
  struct fx_exchange *runs[DECODE_ENGINES];

  for (uint64_t i = 0; i < DECODE_ENGINES; i++)
    {
      fx_arrive (&fx, 100 + i);
      runs[i] = fx_to_stream (&fx, 100 + i, LEARN_EVENTS);
      for (uint64_t k = 0; k < i; k++)
        ck_assert_str_ne (runs[k]->endpoint, runs[i]->endpoint);
    }
  for (uint64_t i = 0; i < DECODE_ENGINES; i++)
    {
      fx_done (&fx, runs[i]);
      ck_assert (answer (100 + i)->whole);
    }
}

static void
setup (void)
{
  model_setup ();
  learn_numbering ();
}

/* Starts a stream of three events for request 1. */
static struct fx_exchange *
stream_of_three (bool unframed)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  if (unframed)
    fx_stream_unframed (&fx, run);
  else
    fx_stream (&fx, run);
  for (uint64_t i = 1; i <= 3; i++)
    fx_event (&fx, run, i);
  return run;
}

static void
assert_logged (const char *fault)
{
  char *line = g_strdup_printf ("event:%s ", fault);

  ck_assert_msg (strstr (fx.log->str, line) != NULL, "no %s in %s", line,
                 fx.log->str);
  g_free (line);
}

/* Request 1 goes on after event 3 at another engine than that of RUN, and ends
   there. */
static void
assert_resumed (const struct fx_exchange *run)
{
  struct fx_exchange *next = fx_to_run (&fx, 1);

  ck_assert_str_ne (next->endpoint, run->endpoint);
  ck_assert (next->resumes);
  ck_assert_uint_eq (next->last_event, 3);
  fx_stream (&fx, next);
  fx_event (&fx, next, 4);
  fx_event (&fx, next, 5);
  fx_done (&fx, next);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
                    "id: 5\ndata: e5\n\n");
}

/* Guards against bytes that no run made reaching a caller as an event; rows
   come with a framing of their own, then in an answer that ends with its
   connection. */
START_TEST (test_odd_piece)
{
  struct fx_exchange *run = stream_of_three (_i >= ROWS);

  fx_data (&fx, run, rows[_i % ROWS].piece);
  ck_assert_msg (run->aborted, "%s", rows[_i % ROWS].name);
  assert_logged (rows[_i % ROWS].fault);
  assert_resumed (run);
}
END_TEST

/* Guards against the same by pieces that have the form of events with ids
   further ahead; rows come in both framings, then at a node that does not know
   yet how the engine numbers its events. */
START_TEST (test_odd_piece_ahead)
{
  struct fx_exchange *run;

  if (_i / AHEAD_ROWS == 2)
    {
      reopen ();
      engines (2, DECODE_ENGINES);
    }
  run = stream_of_three (_i / AHEAD_ROWS == 1);
  fx_data (&fx, run, ahead_rows[_i % AHEAD_ROWS]);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "odd"));
  fx_event (&fx, run, 4);
  ck_assert (run->aborted);
  assert_logged ("repeated");
  assert_resumed (run);
}
END_TEST

/* Guards against the same bytes in the piece of an answer that holds proper
   events too. */
START_TEST (test_odd_piece_among_events)
{
  struct fx_exchange *run;
  const char *piece = _i < ROWS ? rows[_i].piece : ahead_rows[_i - ROWS];
  char *bytes = g_strdup_printf (
      "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n%s"
      "id: 4\ndata: e4\n\n",
      piece);

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_data (&fx, run, bytes);
  g_free (bytes);
  ck_assert (run->aborted);
  assert_resumed (run);
}
END_TEST

/* Guards against a stream that begins with bytes that no run made. */
START_TEST (test_odd_first_piece)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_data (&fx, run, "data: odd\n\n");
  ck_assert (run->aborted);
  ck_assert (!answer (1)->begun);
  run = fx_to_run (&fx, 1);
  ck_assert (!run->resumes);
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  fx_done (&fx, run);
  ck_assert_str_eq (answer (1)->body->str, "id: 1\ndata: e1\n\n");
}
END_TEST

/* Guards against a stream that begins with a later event than its first. */
START_TEST (test_late_first_event)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 2);
  ck_assert (!answer (1)->begun);
  fx_event (&fx, run, 1);
  ck_assert (run->aborted);
  ck_assert (!answer (1)->begun);
}
END_TEST

/* Guards against an engine that was asked to go on and begins anew, whose
   events would follow those of another run. */
START_TEST (test_resumed_run_begins_anew)
{
  struct fx_exchange *run = stream_of_three (false);

  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, (uint64_t)_i);
  ck_assert (run->aborted);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "id: 5"));
  ck_assert_uint_eq (answer (1)->ends, 0);
  assert_resumed (run);
}
END_TEST

/* Guards against the same where the caller has resumed the stream. */
START_TEST (test_caller_resumes)
{
  struct beryl_forward_request params = fx_request_params (&fx, 1);
  struct fx_exchange *run;

  params.resumes = true;
  params.last_event_id = 3;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  ck_assert (run->aborted);
  ck_assert (!answer (1)->begun);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert_str_eq (answer (1)->body->str, "id: 4\ndata: e4\n\n");
}
END_TEST

/* Guards against a second run of a request that must not run twice, and
   against an answer that looks whole. */
START_TEST (test_once)
{
  struct fx_exchange *run;

  model_teardown ();
  terms = fx_model_terms ();
  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  fx_open (&fx, &terms);
  engines (2, 3);
  run = stream_of_three (_i == 1);
  fx_data (&fx, run, "data: odd\n\n");
  ck_assert (run->aborted);
  ck_assert (answer (1)->cut);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "odd"));
}
END_TEST

/* Guards against odd bytes of a run that is stopped to be moved. */
START_TEST (test_moved)
{
  struct fx_exchange *run = stream_of_three (false), *move;

  fx_leaving (&fx, run->endpoint);
  move = move_asked (1);
  fx_data (&fx, run, "data: odd\n\n");
  ck_assert (run->aborted);
  fx_ok (&fx, move, "moved");
  run = open_of (1, BERYL_EXCHANGE_RUN);
  ck_assert_uint_eq (run->last_event, 3);
  fx_stream (&fx, run);
  fx_data (&fx, run, "data: odd\n\n");
  ck_assert (run->aborted);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "odd"));
  assert_resumed (run);
}
END_TEST

/* Guards against an event that the source engine made before it stopped, and
   that did not arrive, being left out when its run goes on. */
START_TEST (test_moved_run_skips)
{
  struct fx_exchange *run = stream_of_three (false), *move;

  fx_leaving (&fx, run->endpoint);
  move = move_asked (1);
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  fx_ok (&fx, move, "moved");
  run = open_of (1, BERYL_EXCHANGE_RUN);
  fx_stream (&fx, run);
  fx_event (&fx, run, 5);
  ck_assert (run->aborted);
  assert_resumed (run);
}
END_TEST

/* Guards against a stream that goes on after an event of which nobody knows
   whether it was the run's: another one with its id follows. */
START_TEST (test_doubtful_event)
{
  struct fx_exchange *run = stream_of_three (false);

  fx_data (&fx, run, "id: 4\ndata: odd\n\n");
  fx_event (&fx, run, 4);
  ck_assert (run->aborted);
  ck_assert (answer (1)->cut);
  assert_logged ("repeated");
}
END_TEST

/* Guards against the rest of a stream being left out behind an id far ahead,
   at a service of which it is not known yet that ids are consecutive. */
START_TEST (test_skipped_before_learning)
{
  struct fx_exchange *run;

  reopen ();
  engines (2, 3);
  run = stream_of_three (false);
  fx_data (&fx, run, "id: 900\ndata: odd\n\n");
  ck_assert (!run->aborted);
  fx_event (&fx, run, 4);
  ck_assert (run->aborted);
  assert_logged ("repeated");
  assert_resumed (run);
}
END_TEST

/* Guards against an id far ahead reaching a caller as the first event of a
   run, at a node that does not know yet how the service numbers its events. */
START_TEST (test_first_event_ahead)
{
  struct fx_exchange *run;

  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_data (&fx, run, "id: 900\ndata: odd\n\n");
  ck_assert (!answer (1)->begun);
  fx_event (&fx, run, 1);
  ck_assert (run->aborted);
  ck_assert (!answer (1)->begun);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_event (&fx, run, 1);
  fx_done (&fx, run);
  ck_assert_str_eq (answer (1)->body->str, "id: 1\ndata: e1\n\n");
}
END_TEST

/* Guards against such an event reaching the caller as its answer is cut off.
 */
START_TEST (test_first_event_ahead_cut)
{
  struct fx_exchange *run;

  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, run);
  fx_data (&fx, run, "id: 900\ndata: odd\n\n");
  fx_done (&fx, run);
  ck_assert (!answer (1)->begun);
  ck_assert_uint_eq (fx_to_run (&fx, 1)->last_event, 0);
}
END_TEST

/* Guards against such an event reaching the caller as the last one: the run
   that goes on behind the true last event has no other. */
START_TEST (test_last_event_ahead)
{
  struct fx_exchange *run;

  reopen ();
  engines (2, 3);
  run = stream_of_three (false);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_data (&fx, run, "id: 900\ndata: odd\n\n");
  ck_assert (run->aborted);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "odd"));
  assert_resumed (run);
}
END_TEST

/* Guards against the loss of an event that none confirms, as it is the last
   and ids have gone by ones: another run ends with it too. */
START_TEST (test_last_event_ahead_twice)
{
  struct fx_exchange *run;

  reopen ();
  engines (2, DECODE_ENGINES);
  run = stream_of_three (false);
  fx_event (&fx, run, 20);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "e20"));
  fx_done (&fx, run);
  ck_assert (!answer (1)->whole);
  run = fx_to_run (&fx, 1);
  ck_assert_uint_eq (run->last_event, 3);
  fx_stream (&fx, run);
  fx_event (&fx, run, 4);
  fx_event (&fx, run, 20);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
                    "id: 20\ndata: e20\n\n");
}
END_TEST

/* Guards against proper streams being cut off at a service whose ids increase
   by more than one. */
START_TEST (test_sparse_ids)
{
  reopen ();
  engines (2, 3);
  for (uint64_t number = 1; number <= 4; number++)
    {
      struct fx_exchange *run;

      fx_arrive (&fx, number);
      run = fx_to_run (&fx, number);
      fx_stream (&fx, run);
      for (uint64_t i = 1; i <= LEARN_EVENTS; i++)
        fx_event (&fx, run, 10 * i);
      fx_done (&fx, run);
      ck_assert (answer (number)->whole);
    }
}
END_TEST

/* Guards against an event that comes twice reaching its caller twice, or
   costing the stream. */
START_TEST (test_same_event_twice)
{
  struct fx_exchange *run = stream_of_three (false);

  fx_event (&fx, run, 3);
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}
END_TEST

/* Guards against comments, which tell a caller nothing, breaking a stream or
   reaching the caller between its events. */
START_TEST (test_comments)
{
  struct fx_exchange *run = stream_of_three (false);

  fx_data (&fx, run, ": still there\n\nretry: 1000\n\n\n\r\n");
  fx_event (&fx, run, 4);
  fx_data (&fx, run, ": end\n\n");
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}
END_TEST

/* Guards against an endpoint's other bodies being judged as streams: that of a
   failure, and that of a route that does not stream. */
START_TEST (test_not_a_stream)
{
  struct fx_exchange *run;

  model_teardown ();
  terms = fx_model_terms ();
  terms.route.streaming = false;
  fx_open (&fx, &terms);
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream (&fx, run);
  fx_data (&fx, run, "id: 7\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n");
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert (answer (1)->verbatim);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 7\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n");
}
END_TEST

/* Guards against a request being blamed for crashes by the odd bytes of an
   engine, and against an engine that sends them being believed sound. */
START_TEST (test_beliefs)
{
  struct fx_exchange *run = stream_of_three (false);
  uint64_t dials = fx_count (&fx, BERYL_EXCHANGE_DIAL);

  fx_data (&fx, run, "data: odd\n\n");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_DIAL), dials);
  ck_assert_uint_gt (
      fx_find_endpoint (&fx, run->endpoint)->consecutive_failures, 0);
  assert_resumed (run);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bytes that are no event of their run");
  TCase *tcase = tcase_create ("odd events");

  tcase_add_checked_fixture (tcase, setup, model_teardown);
  tcase_add_loop_test (tcase, test_odd_piece, 0, 2 * ROWS);
  tcase_add_loop_test (tcase, test_odd_piece_ahead, 0, 3 * AHEAD_ROWS);
  tcase_add_loop_test (tcase, test_odd_piece_among_events, 0,
                       ROWS + AHEAD_ROWS);
  tcase_add_test (tcase, test_odd_first_piece);
  tcase_add_test (tcase, test_late_first_event);
  tcase_add_loop_test (tcase, test_resumed_run_begins_anew, 1, 3);
  tcase_add_test (tcase, test_caller_resumes);
  tcase_add_loop_test (tcase, test_once, 0, 2);
  tcase_add_test (tcase, test_moved);
  tcase_add_test (tcase, test_moved_run_skips);
  tcase_add_test (tcase, test_doubtful_event);
  tcase_add_test (tcase, test_skipped_before_learning);
  tcase_add_test (tcase, test_first_event_ahead);
  tcase_add_test (tcase, test_first_event_ahead_cut);
  tcase_add_test (tcase, test_last_event_ahead);
  tcase_add_test (tcase, test_last_event_ahead_twice);
  tcase_add_test (tcase, test_sparse_ids);
  tcase_add_test (tcase, test_same_event_twice);
  tcase_add_test (tcase, test_comments);
  tcase_add_test (tcase, test_not_a_stream);
  tcase_add_test (tcase, test_beliefs);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
