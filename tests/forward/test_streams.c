#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* The decode engine dies in the middle of a stream. The request continues at
   another engine after the last forwarded event, without a gap or a duplicate
   for the caller. */
START_TEST (test_stream_goes_on)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_data (&fx, run, "id: 4\nda");
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  ck_assert (run->resumes);
  ck_assert_uint_eq (run->last_event, 3);
  fx_stream (&fx, run);
  fx_event (&fx, run, 3); /* starts before the event it was asked for */
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}
END_TEST

/* Guards against a stream that another engine continues having the length that
   the first one has stated. */
START_TEST (test_stream_has_no_length)
{
  fx_arrive (&fx, 1);
  fx_to_stream (&fx, 1, 1);
  ck_assert (!answer (1)->verbatim);
}
END_TEST

/* The second engine of a stream that has begun answers with an error. Its head
   must not follow inside the stream that the caller has. */
START_TEST (test_error_into_begun_stream)
{
  struct fx_exchange *run;

  terms.route.endpoints_max = 2;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  fx_head (&fx, run, 500);
  ck_assert (run->aborted);
  ck_assert (answer (1)->cut);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "broken"));
}
END_TEST

/* No memory is found for a stream that has begun: it ends as incomplete, since
   a refusal cannot follow in its body. */
START_TEST (test_refusal_into_begun_stream)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  for (int i = 0; i < 500 && answer (1)->ends == 0; i++)
    {
      struct fx_exchange *x = fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE);

      if (x != NULL)
        fx_refused (&fx, x);
      fx_pass (&fx, 10);
    }
  ck_assert (answer (1)->cut);
}
END_TEST

/* On a route whose requests may run only once, a stream that breaks off is not
   run again. */
START_TEST (test_once_is_not_resumed)
{
  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_broken (&fx, fx_to_run (&fx, 1), BERYL_FAILURE_RESET, true);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_uint_eq (answer (1)->refusal.status, 502);
  ck_assert (!answer (1)->refusal.not_run);
}
END_TEST

/* A sound engine that is silent for a second or so is taken for a dead one,
   and its run is given up. */
START_TEST (test_silent_engine_goes_on)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_pass (&fx, 1400);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 1);
  fx_event (&fx, run, 4);
  fx_pass (&fx, 1400);
  fx_event (&fx, run, 5);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 1);
}
END_TEST

/* An engine freezes in the middle of a stream. Its connection stays open;
   after 1.5 s without events the request continues at another engine, as
   soon as that has granted a reservation. */
START_TEST (test_frozen_engine)
{
  struct fx_exchange *run, *place;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_pass (&fx, 1800);
  place = open_of (1, BERYL_EXCHANGE_RESERVE);
  ck_assert_str_ne (place->endpoint, run->endpoint);
  ck_assert (!run->aborted);
  fx_ok (&fx, place, "hold-2");
  ck_assert (run->aborted);
  open_of (1, BERYL_EXCHANGE_PREFILL);
}
END_TEST

/* A caller that does not read stops the stream itself; that says nothing about
   the engine. */
START_TEST (test_slow_caller_is_no_stall)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  beryl_forward_set_caller_paused (fx.forward, 1, true);
  ck_assert (run->paused);
  fx_pass (&fx, 3000);
  ck_assert (run->open);
}
END_TEST

/* Other nodes' runs are about to fill the engine, and this node has the newest
   run there, which the engine would preempt. The run is moved: the engine
   stops it, another one continues from its memory, and it counts as one
   run. */
START_TEST (test_move)
{
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  move = move_asked (1);
  ck_assert_str_eq (move->endpoint, run->endpoint);
  ck_assert_str_ne (move->target, run->endpoint);
  fx_ok (&fx, move, "moved");
  ck_assert (run->open);
  fx_event (&fx, run, 3);
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  run = open_of (1, BERYL_EXCHANGE_RUN);
  ck_assert_str_eq (run->endpoint, move->target);
  ck_assert_str_eq (run->kv_handle, "moved");
  ck_assert_uint_eq (run->last_event, 3);
  fx_stream (&fx, run);
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* Lets request 1 stream at an engine that peers' runs fill, NEIGHBOUR among
   them; returns whether it is moved. */
static bool
is_moved_beside (struct beryl_engine_run neighbour)
{
  struct beryl_engine_run runs[5] = { 0 };
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 5);
  neighbour.engine = beryl_name_hash (run->endpoint);
  neighbour.prompt_tokens = 2000;
  neighbour.expected_tokens = 1000;
  for (int i = 0; i < 4; i++)
    {
      runs[i] = neighbour;
      runs[i].started = true;
      runs[i].generated_tokens = 500;
    }
  runs[4] = neighbour;
  beryl_forward_peer_runs (fx.forward, "peer", runs, 5, fx.now_ms);
  fx_pass (&fx, 110); /* before the stream counts as stalled */
  return fx_open_of (&fx, 1, BERYL_EXCHANGE_MOVE) != NULL;
}

/* Guards against moving no run of a full engine because a request that waits
   for its prompt there is taken for the one to be preempted. */
START_TEST (test_move_beside_reserved_run)
{
  ck_assert (is_moved_beside ((struct beryl_engine_run){ .started = false }));
}
END_TEST

/* Guards against the same because of a run that its reservation still
   covers. */
START_TEST (test_move_beside_covered_run)
{
  ck_assert (is_moved_beside (
      (struct beryl_engine_run){ .started = true, .generated_tokens = 1 }));
}
END_TEST

/* The stream of a moved run ends before the engine has answered the move. */
START_TEST (test_move_answered_last)
{
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  fx_ok (&fx, move, "moved");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, move->target);
}
END_TEST

/* The target engine has no memory after all: the run continues at the source,
   which still has its memory. */
START_TEST (test_move_without_room)
{
  struct beryl_engine_result no_room
      = { .status = 503, .handle = "kept", .not_run = true };
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_result (&fx, move, &no_room);
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kept");
}
END_TEST

/* A moved run was rejected by its target engine and sent to a third one, which
   ran it from the beginning: a request that may run once ran twice. Its memory
   can be used only at the two engines that have it. */
START_TEST (test_moved_run_is_rejected)
{
  struct fx_exchange *run, *move;

  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  terms.route.endpoints_max = 1;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_ok (&fx, move, "moved");
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  fx_not_run (&fx, open_of (1, BERYL_EXCHANGE_RUN), 503);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
  fx_not_run (&fx, open_of (1, BERYL_EXCHANGE_RUN), 503);
  ck_assert (answer (1)->cut);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* A stream whose moved run could not be connected to its target engine was
   cut, although its source engine still had its memory. */
START_TEST (test_moved_run_is_not_sent)
{
  struct fx_exchange *run, *move;

  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  terms.route.endpoints_max = 1;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_ok (&fx, move, "moved");
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_FAILURE_CONNECT,
             false);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "moved");
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_FAILURE_CONNECT,
             false);
  ck_assert (answer (1)->cut);
}
END_TEST

/* The engine will stop soon. Its runs are moved while that is possible; one
   that may run only once would be lost with it. */
START_TEST (test_leaving_engine)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_leaving (&fx, run->endpoint);
  ck_assert_str_ne (move_asked (1)->target, run->endpoint);
}
END_TEST

/* Makes a leaving engine stop its run after WAIT_MS for a move to an engine
   that then has no memory. */
static void
move_off_leaving (int64_t wait_ms)
{
  struct beryl_engine_result no_room
      = { .status = 503, .handle = "kept", .not_run = true };
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_leaving (&fx, run->endpoint);
  move = move_asked (1);
  fx_pass (&fx, wait_ms);
  fx_result (&fx, move, &no_room);
  fx_broken (&fx, run, BERYL_FAILURE_CLOSED, true);
}

/* The stopped run's memory is only at the leaving engine. The run continues
   there for as long as leaving endpoints may get work... */
START_TEST (test_stopped_run_returns_to_leaving_engine)
{
  move_off_leaving (100);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kept");
}
END_TEST

/* ...and starts again at another one after that. */
START_TEST (test_stopped_run_does_not_return_late)
{
  struct fx_exchange *first;

  move_off_leaving (5000);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  first = g_ptr_array_index (fx.exchanges, 0);
  ck_assert_str_ne (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint,
                    first->endpoint);
}
END_TEST

/* Brings request 1 to the state where its engine has preempted it for lack of
   memory; returns its run. */
static struct fx_exchange *
preempted (void)
{
  struct beryl_engine_result not_found = { .status = 404, .not_found = true };
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  report_runs (run->endpoint, 3);
  fx_pass (&fx, 200);
  report_runs (run->endpoint, 3);
  fx_result (&fx, open_of (1, BERYL_EXCHANGE_MOVE), &not_found);
  return run;
}

/* A full engine preempts a run without notice and prefills it again later. A
   move request shows it: the engine does not run it. The stream continues at
   another engine once that has granted a reservation, and never at both. */
START_TEST (test_preempted)
{
  struct fx_exchange *run = preempted ();
  struct fx_exchange *place = open_of (1, BERYL_EXCHANGE_RESERVE);

  ck_assert_str_ne (place->endpoint, run->endpoint);
  ck_assert (!run->aborted);
  fx_ok (&fx, place, "hold-2");
  ck_assert (run->aborted);
  open_of (1, BERYL_EXCHANGE_PREFILL);
}
END_TEST

/* All engines are full when one of them preempts a run. If given up there, its
   stream would have no engine and be cut off while its caller still waits; the
   engine that preempted it prefills it again and continues. */
START_TEST (test_preempted_without_room)
{
  struct fx_exchange *run = preempted ();

  for (int i = 0; i < 40; i++)
    {
      struct fx_exchange *place = fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE);

      if (place != NULL)
        fx_refused (&fx, place);
      fx_pass (&fx, 100);
    }
  ck_assert (!run->aborted);
  ck_assert_uint_eq (answer (1)->ends, 0);
  fx_event (&fx, run, 3);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
}
END_TEST

/* The engine continues by itself while another one is asked: the other's
   reservation is released, and the stream stays. */
START_TEST (test_preempted_goes_on)
{
  struct fx_exchange *run = preempted ();
  struct fx_exchange *place = open_of (1, BERYL_EXCHANGE_RESERVE);

  fx_event (&fx, run, 3);
  fx_ok (&fx, place, "hold-2");
  ck_assert (!run->aborted);
  ck_assert_str_eq (fx_last (&fx, BERYL_EXCHANGE_UNRESERVE)->handle, "hold-2");
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
}
END_TEST

/* A full engine preempts two streams of a node at the same moment. Both ask
   other engines while the repeats are left for one; the second was given up at
   its engine when a reservation was granted, and only then was its prefill
   denied: it was cut off while its caller still waited, though its engine
   would have continued. */
START_TEST (test_preempted_without_repeats)
{
  struct fx_exchange *run = preempted ();
  struct fx_exchange *place = open_of (1, BERYL_EXCHANGE_RESERVE);

  beryl_forward_set_repeat_limits (fx.forward, 0, 0, 10000);
  fx_ok (&fx, place, "hold-2");
  ck_assert (!run->aborted);
  ck_assert_uint_eq (answer (1)->ends, 0);
  ck_assert_str_eq (fx_last (&fx, BERYL_EXCHANGE_UNRESERVE)->handle, "hold-2");
  fx_pass (&fx, 300);
  ck_assert (!run->aborted);
  fx_event (&fx, run, 3);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
}
END_TEST

/* An engine accepts a reservation call and never answers: the next one is
   asked, and a late grant of the first is released. */
START_TEST (test_preempted_asks_a_frozen_engine)
{
  struct fx_exchange *run = preempted ();
  struct fx_exchange *place = open_of (1, BERYL_EXCHANGE_RESERVE);

  fx_pass (&fx, 600);
  ck_assert_ptr_ne (open_of (1, BERYL_EXCHANGE_RESERVE), place);
  fx_ok (&fx, place, "hold-2");
  ck_assert_str_eq (fx_last (&fx, BERYL_EXCHANGE_UNRESERVE)->handle, "hold-2");
  ck_assert (!run->aborted);
}
END_TEST

/* The engine that preempted a run dies while another one is asked: its stream
   is relocated like any other. */
START_TEST (test_preempted_engine_dies)
{
  struct fx_exchange *run = preempted ();

  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  run = fx_to_run (&fx, 1);
  ck_assert_uint_eq (run->last_event, 2);
  fx_stream (&fx, run);
  fx_event (&fx, run, 3);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
}
END_TEST

/* A stream that lost its engine waits for memory as long as its caller does,
   and is cut off only then. */
START_TEST (test_caller_waits_for_its_stream)
{
  struct fx_exchange *run;

  terms.route.caller_idle_timeout_ms = 4000;
  reopen ();
  engines (2, 1);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_remove (&fx, run->endpoint);
  fx_broken (&fx, run, BERYL_FAILURE_RESET, true);
  fx_pass (&fx, 3800);
  ck_assert_uint_eq (answer (1)->ends, 0);
  fx_pass (&fx, 400);
  ck_assert (answer (1)->cut);
}
END_TEST

/* A stream's body ends as if complete, but in the middle of an event. */
START_TEST (test_end_inside_event)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_data (&fx, run, "id: 3\ndata: e");
  fx_done (&fx, run);
  ck_assert_uint_eq (answer (1)->ends, 0);
  ck_assert (open_of (1, BERYL_EXCHANGE_RESERVE)->open);
}
END_TEST

/* Guards against a stream that ends with its connection, of an engine that
   crashed before the first event, being taken for a whole one. */
START_TEST (test_unframed_without_events)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, run);
  fx_done (&fx, run);
  ck_assert_uint_eq (answer (1)->ends, 0);
  open_of (1, BERYL_EXCHANGE_RESERVE);
}
END_TEST

/* Guards against a stream that ends with its connection being taken for a
   whole one when its run is stopped to be moved. */
START_TEST (test_unframed_stream_is_moved)
{
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, run);
  fx_event (&fx, run, 1);
  fx_event (&fx, run, 2);
  fx_leaving (&fx, run->endpoint);
  move = move_asked (1);
  fx_done (&fx, run);
  ck_assert_uint_eq (answer (1)->ends, 0);
  fx_ok (&fx, move, "moved");
  run = open_of (1, BERYL_EXCHANGE_RUN);
  ck_assert_str_eq (run->endpoint, move->target);
  ck_assert_uint_eq (run->last_event, 2);
  fx_stream_unframed (&fx, run);
  fx_event (&fx, run, 3);
  fx_done (&fx, run);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_DIAL), "");
  ck_assert (answer (1)->whole);
}
END_TEST

/* Guards against a stream that ends with its connection after an event,
   because its engine has crashed, being taken for a whole one. */
START_TEST (test_unframed_stream_of_crashed_engine)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, run);
  fx_event (&fx, run, 1);
  fx_event (&fx, run, 2);
  fx_done (&fx, run);
  ck_assert_uint_eq (answer (1)->ends, 0);
  fx_pass (&fx, 100);
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_DIAL), BERYL_FAILURE_CONNECT,
             false);
  ck_assert_uint_eq (answer (1)->ends, 0);
  run = fx_to_run (&fx, 1);
  ck_assert_uint_eq (run->last_event, 2);
}
END_TEST

/* Guards against a caller that leaves, or a request that is put into
   quarantine, while the end of its stream is being confirmed. */
START_TEST (test_leaves_while_confirming)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_stream_unframed (&fx, run);
  fx_event (&fx, run, 1);
  fx_done (&fx, run);
  beryl_forward_set_caller_paused (fx.forward, 1, true);
  fx_remove (&fx, run->endpoint);
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  ck_assert_uint_eq (fx_count_open (&fx), 0);
}
END_TEST

START_TEST (test_deadline_ends_stream)
{
  struct beryl_forward_request facts = fx_request_params (&fx, 1);
  struct fx_exchange *run;

  facts.deadline_ms = fx.now_ms + 400;
  beryl_forward_submit (fx.forward, &facts, fx.now_ms);
  run = fx_to_stream (&fx, 1, 3);
  for (uint64_t i = 4; run->open && i < 20; i++)
    {
      fx_event (&fx, run, i);
      fx_pass (&fx, 50);
    }
  ck_assert (run->aborted);
  ck_assert (answer (1)->cut);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("streams and moves");
  TCase *tcase = tcase_create ("streams");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_stream_goes_on);
  tcase_add_test (tcase, test_stream_has_no_length);
  tcase_add_test (tcase, test_error_into_begun_stream);
  tcase_add_test (tcase, test_refusal_into_begun_stream);
  tcase_add_test (tcase, test_once_is_not_resumed);
  tcase_add_test (tcase, test_silent_engine_goes_on);
  tcase_add_test (tcase, test_frozen_engine);
  tcase_add_test (tcase, test_slow_caller_is_no_stall);
  tcase_add_test (tcase, test_move);
  tcase_add_test (tcase, test_move_beside_reserved_run);
  tcase_add_test (tcase, test_move_beside_covered_run);
  tcase_add_test (tcase, test_move_answered_last);
  tcase_add_test (tcase, test_move_without_room);
  tcase_add_test (tcase, test_moved_run_is_rejected);
  tcase_add_test (tcase, test_moved_run_is_not_sent);
  tcase_add_test (tcase, test_leaving_engine);
  tcase_add_test (tcase, test_stopped_run_returns_to_leaving_engine);
  tcase_add_test (tcase, test_stopped_run_does_not_return_late);
  tcase_add_test (tcase, test_preempted);
  tcase_add_test (tcase, test_preempted_without_room);
  tcase_add_test (tcase, test_preempted_without_repeats);
  tcase_add_test (tcase, test_preempted_goes_on);
  tcase_add_test (tcase, test_preempted_asks_a_frozen_engine);
  tcase_add_test (tcase, test_preempted_engine_dies);
  tcase_add_test (tcase, test_caller_waits_for_its_stream);
  tcase_add_test (tcase, test_end_inside_event);
  tcase_add_test (tcase, test_unframed_without_events);
  tcase_add_test (tcase, test_unframed_stream_is_moved);
  tcase_add_test (tcase, test_unframed_stream_of_crashed_engine);
  tcase_add_test (tcase, test_leaves_while_confirming);
  tcase_add_test (tcase, test_deadline_ends_stream);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
