#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

static struct fx fx;
static struct fx_terms terms;

static void
reopen (void)
{
  fx_close (&fx);
  fx_open (&fx, &terms);
}

static void
engines (uint32_t prefill, uint32_t decode)
{
  char id[16];

  for (uint32_t i = 0; i < prefill; i++)
    {
      g_snprintf (id, sizeof id, "p%u", i);
      fx_endpoint (&fx, id, BERYL_STAGE_PREFILL);
    }
  for (uint32_t i = 0; i < decode; i++)
    {
      g_snprintf (id, sizeof id, "d%u", i);
      fx_endpoint (&fx, id, BERYL_STAGE_DECODE);
    }
}

static void
setup (void)
{
  terms = fx_model_terms ();
  fx_open (&fx, &terms);
  engines (2, 3);
}

static void
teardown (void)
{
  fx_close (&fx);
}

static const struct fx_answer *
answer (uint64_t request)
{
  return &fx.answers[request];
}

static struct fx_exchange *
open_of (uint64_t request, enum beryl_exchange_kind kind)
{
  struct fx_exchange *x = fx_open_of (&fx, request, kind);

  ck_assert_msg (x != NULL, "no open %s of %d; %s", beryl_exchange_name (kind),
                 (int)request, fx.log->str);
  return x;
}

static struct fx_exchange *
move_asked (uint64_t request)
{
  fx_pass (&fx, 200);
  return open_of (request, BERYL_EXCHANGE_MOVE);
}

/* Memory is reserved before the prompt is read: engine time spent on a prompt
 * whose KV cache finds no room is lost. */
START_TEST (test_order)
{
  struct fx_exchange *x;

  fx_arrive (&fx, 1);
  x = open_of (1, BERYL_EXCHANGE_RESERVE);
  ck_assert_uint_ge (x->tokens, 1000);
  ck_assert_uint_lt (x->tokens, 1500);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  fx_ok (&fx, x, "place");
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  x = open_of (1, BERYL_EXCHANGE_RUN);
  ck_assert_str_eq (x->handle, "place");
  ck_assert_str_eq (x->kv_handle, "kv");
  fx_stream (&fx, x);
  fx_event (&fx, x, 1);
  fx_event (&fx, x, 2);
  fx_done (&fx, x);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
  ck_assert_uint_eq (fx_count_open (&fx), 0);
  ck_assert_uint_eq (fx_live (&fx, x->endpoint)->open, 0);
}
END_TEST

START_TEST (test_full_engine_goes_elsewhere)
{
  struct fx_exchange *first;

  fx_arrive (&fx, 1);
  first = open_of (1, BERYL_EXCHANGE_RESERVE);
  fx_refused (&fx, first);
  ck_assert_str_ne (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint,
                    first->endpoint);
  fx_to_run (&fx, 1);
}
END_TEST

/* No engine has room for longer than the request could wait.  Its caller gets
 * a refusal that it can act on, well before its own deadline, and nothing of
 * the request was sent to run. */
START_TEST (test_no_room)
{
  fx_arrive (&fx, 1);
  for (int i = 0; i < 200 && answer (1)->ends == 0; i++)
    {
      struct fx_exchange *x = fx_open_of (&fx, 1, BERYL_EXCHANGE_RESERVE);

      if (x != NULL)
        fx_refused (&fx, x);
      fx_pass (&fx, 10);
    }
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_int_gt (answer (1)->refusal.retry_after_ms, 0);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  ck_assert_int_le (fx.now_ms - 100000, 2000);
}
END_TEST

/* An engine appears while requests wait for one: they ask it at once, not at
 * the end of their round. */
START_TEST (test_new_engine_is_asked)
{
  fx_close (&fx);
  fx_open (&fx, &terms);
  engines (1, 0);
  fx_arrive (&fx, 1);
  fx_pass (&fx, 5);
  fx_endpoint (&fx, "new", BERYL_STAGE_DECODE);
  fx_pass (&fx, 2);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "new");
}
END_TEST

/* The caller leaves at each step of the way.  What it held at engines is given
 * back, or it would stay taken until its lease ends. */
START_TEST (test_caller_leaves_while_reserving)
{
  struct fx_exchange *x;

  fx_arrive (&fx, 1);
  x = open_of (1, BERYL_EXCHANGE_RESERVE);
  beryl_forward_caller_gone (fx.forward, 1, fx.now_ms);
  ck_assert (x->open);
  fx_ok (&fx, x, "late");
  ck_assert_str_eq (open_of (0, BERYL_EXCHANGE_UNRESERVE)->handle, "late");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
}
END_TEST

START_TEST (test_caller_leaves_while_prefilling)
{
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  beryl_forward_caller_gone (fx.forward, 1, fx.now_ms);
  ck_assert (fx_last (&fx, BERYL_EXCHANGE_PREFILL)->aborted);
  ck_assert_str_eq (open_of (0, BERYL_EXCHANGE_UNRESERVE)->handle, "place");
}
END_TEST

START_TEST (test_caller_leaves_while_streaming)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  beryl_forward_caller_gone (fx.forward, 1, fx.now_ms);
  ck_assert (run->aborted);
  ck_assert_uint_eq (fx_count_open (&fx), 0);
}
END_TEST

/* The engine rejects the run that it granted a place for; the KV cache is
 * still there, and reading the prompt again would cost engine time. */
START_TEST (test_kv_cache_is_used_again)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  fx_not_run (&fx, run, 503);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "other");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kv-1");
  ck_assert_str_ne (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
}
END_TEST

/* Two engines reject the same KV cache: it is gone, and the prompt is read
 * again. */
START_TEST (test_kv_cache_is_given_up)
{
  fx_arrive (&fx, 1);
  fx_not_run (&fx, fx_to_run (&fx, 1), 503);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "second");
  fx_not_run (&fx, open_of (1, BERYL_EXCHANGE_RUN), 503);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "third");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 2);
}
END_TEST

/* An engine that changed its stage says so.  The list of endpoints may tell
 * only later, or never while this node is cut off from it. */
START_TEST (test_stage_is_learned)
{
  struct beryl_answer_head head
      = { .status = 421, .not_run = true, .wrong_stage = true };
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  beryl_forward_head (fx.forward, run->id, &head, fx.now_ms);
  ck_assert_int_eq (fx_live (&fx, run->endpoint)->info.stage,
                    BERYL_STAGE_PREFILL);
}
END_TEST

START_TEST (test_stage_is_learned_by_prefill)
{
  struct beryl_engine_result result
      = { .not_run = true, .wrong_stage = true, .status = 421 };
  struct fx_exchange *x;

  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  x = open_of (1, BERYL_EXCHANGE_PREFILL);
  fx_result (&fx, x, &result);
  ck_assert_int_eq (fx_live (&fx, x->endpoint)->info.stage,
                    BERYL_STAGE_DECODE);
  fx_to_run (&fx, 1);
  ck_assert_str_ne (fx_last (&fx, BERYL_EXCHANGE_PREFILL)->endpoint,
                    x->endpoint);
}
END_TEST

/* The decode engine dies in the middle of a stream.  The request goes on at
 * another engine after the last event that was passed on; its caller sees no
 * seam. */
START_TEST (test_stream_goes_on)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_data (&fx, run, "id: 4\nda");
  fx_broken (&fx, run, BERYL_BREAK_RESET, true);
  run = fx_to_run (&fx, 1);
  ck_assert (run->resumes);
  ck_assert_uint_eq (run->last_event, 3);
  fx_stream (&fx, run);
  fx_event (&fx, run, 3); /* begins before what it was asked for */
  fx_event (&fx, run, 4);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
  ck_assert_str_eq (answer (1)->body->str,
                    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                    "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n");
}
END_TEST

/* A begun stream's second engine answers with an error.  Its head must not
 * follow inside the stream that the caller has. */
START_TEST (test_error_into_begun_stream)
{
  struct fx_exchange *run;

  terms.route.endpoints_max = 2;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_broken (&fx, run, BERYL_BREAK_RESET, true);
  run = fx_to_run (&fx, 1);
  fx_head (&fx, run, 500);
  ck_assert (run->aborted);
  ck_assert (answer (1)->cut);
  ck_assert_ptr_null (strstr (answer (1)->body->str, "broken"));
}
END_TEST

/* No room is found for a stream that has begun: it ends as incomplete, since
 * a refusal cannot follow in its body. */
START_TEST (test_refusal_into_begun_stream)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_broken (&fx, run, BERYL_BREAK_RESET, true);
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

/* A route whose requests may run only once: a stream that breaks off is not
 * run again. */
START_TEST (test_once_is_not_resumed)
{
  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_broken (&fx, fx_to_run (&fx, 1), BERYL_BREAK_RESET, true);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_uint_eq (answer (1)->refusal.status, 502);
  ck_assert (!answer (1)->refusal.not_run);
}
END_TEST

/* The deadline comes while a run is open that has not answered: it may be at
 * work, and "not run" cannot be said. */
START_TEST (test_not_run_is_true)
{
  struct beryl_forward_request facts = fx_facts (&fx, 1);
  struct fx_exchange *run;

  facts.deadline_ms = fx.now_ms + 1000;
  beryl_forward_arrived (fx.forward, &facts, fx.now_ms);
  run = fx_to_run (&fx, 1);
  fx_pass (&fx, 1100);
  ck_assert (run->aborted);
  ck_assert_uint_eq (answer (1)->ends, 1);
  ck_assert (!answer (1)->refusal.not_run);
  ck_assert_uint_ne (answer (1)->refusal.status, 503);
}
END_TEST

/* A prefill's answer is lost with its engine.  The engine may have accepted
 * it, so that the next prefill counts as a repeat; without a budget there is
 * none. */
START_TEST (test_lost_prefill_counts)
{
  terms.repeat_slack = 0;
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), BERYL_BREAK_RESET,
             true);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
}
END_TEST

START_TEST (test_unsent_prefill_is_free)
{
  terms.repeat_slack = 0;
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), BERYL_BREAK_CONNECT,
             false);
  fx_to_run (&fx, 1);
}
END_TEST

/* A broken stream needs two repeats: its prompt is read again, and it runs
 * again.  With only one left the prompt must not be read for nothing. */
START_TEST (test_repeats_are_paid_first)
{
  terms.repeat_slack = 2; /* of which four fifths are used */
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_broken (&fx, fx_to_stream (&fx, 1, 2), BERYL_BREAK_RESET, true);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
  ck_assert (answer (1)->cut);
}
END_TEST

/* An engine freezes in the middle of a stream.  Its connection stays open;
 * after a second of silence the request goes on elsewhere, as soon as another
 * engine has granted room. */
START_TEST (test_frozen_engine)
{
  struct fx_exchange *run, *place;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_pass (&fx, 1300);
  place = open_of (1, BERYL_EXCHANGE_RESERVE);
  ck_assert_str_ne (place->endpoint, run->endpoint);
  ck_assert (!run->aborted);
  fx_ok (&fx, place, "hold-2");
  ck_assert (run->aborted);
  open_of (1, BERYL_EXCHANGE_PREFILL);
}
END_TEST

/* A caller that does not read stops the stream itself; that says nothing about
 * the engine. */
START_TEST (test_slow_caller_is_no_stall)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  beryl_forward_caller_slow (fx.forward, 1, true);
  ck_assert (run->paused);
  fx_pass (&fx, 3000);
  ck_assert (run->open);
}
END_TEST

static void
tell_runs (const char *engine, uint32_t count)
{
  struct beryl_engine_run runs[16] = { 0 };

  for (uint32_t i = 0; i < count; i++)
    runs[i] = (struct beryl_engine_run){
      .engine = beryl_engine_number (engine),
      .prompt_tokens = 2000,
      .expected_tokens = 1000,
      .made_tokens = 500,
      .started = true,
    };
  beryl_forward_peer_runs (fx.forward, "peer", runs, count, fx.now_ms);
}

/* What other nodes run fills engines too; a run goes where there is room for
 * all of it. */
START_TEST (test_peers_runs_count)
{
  tell_runs ("d0", 4);
  for (uint64_t i = 1; i <= 4; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d0");
      fx_to_run (&fx, i);
    }
}
END_TEST

/* Other nodes' runs are about to fill the engine, and this node has the newest
 * run there, which the engine would stop.  It is moved: the engine stops it,
 * another one goes on from its memory, and it counts as one run. */
START_TEST (test_move)
{
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  tell_runs (run->endpoint, 4);
  move = move_asked (1);
  ck_assert_str_eq (move->endpoint, run->endpoint);
  ck_assert_str_ne (move->target, run->endpoint);
  fx_ok (&fx, move, "moved");
  ck_assert (run->open);
  fx_event (&fx, run, 3);
  fx_broken (&fx, run, BERYL_BREAK_CLOSED, true);
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

/* The stream of a moved run ends before the engine has answered the move. */
START_TEST (test_move_answered_last)
{
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  tell_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_broken (&fx, run, BERYL_BREAK_CLOSED, true);
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  fx_ok (&fx, move, "moved");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, move->target);
}
END_TEST

/* The new engine has no room after all: the run goes on at its old engine,
 * which still has its memory. */
START_TEST (test_move_without_room)
{
  struct beryl_engine_result no_room
      = { .status = 503, .handle = "kept", .not_run = true };
  struct fx_exchange *run, *move;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  tell_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_result (&fx, move, &no_room);
  fx_broken (&fx, run, BERYL_BREAK_CLOSED, true);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kept");
}
END_TEST

/* Story: a moved run was rejected by its new engine and sent to a third one,
 * which ran it from the beginning: a request that may run once ran twice.  The
 * memory serves only at the two engines that have it. */
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
  tell_runs (run->endpoint, 4);
  move = move_asked (1);
  fx_ok (&fx, move, "moved");
  fx_broken (&fx, run, BERYL_BREAK_CLOSED, true);
  fx_not_run (&fx, open_of (1, BERYL_EXCHANGE_RUN), 503);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint, run->endpoint);
  fx_not_run (&fx, open_of (1, BERYL_EXCHANGE_RUN), 503);
  ck_assert (answer (1)->cut);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* The engine is to stop soon.  Its runs move while they can; one that may run
 * only once would be lost with it. */
START_TEST (test_leaving_engine)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  fx_leaving (&fx, run->endpoint);
  ck_assert_str_ne (move_asked (1)->target, run->endpoint);
}
END_TEST

/* Story: prompts queue, and while one is read the engine that has reserved
 * room for it announces that it leaves.  Sent there two seconds later, the
 * request reaches an engine that takes no new work any more, and is lost with
 * it.  The KV cache goes to another engine; nothing is read twice. */
START_TEST (test_engine_leaves_while_prompt_is_read)
{
  struct fx_exchange *place, *other;

  fx_arrive (&fx, 1);
  place = open_of (1, BERYL_EXCHANGE_RESERVE);
  fx_ok (&fx, place, "place");
  fx_leaving (&fx, place->endpoint);
  fx_pass (&fx, 500);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  other = open_of (1, BERYL_EXCHANGE_RESERVE);
  ck_assert_str_ne (other->endpoint, place->endpoint);
  fx_ok (&fx, other, "place-2");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->endpoint,
                    other->endpoint);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kv");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* The same with an engine that is gone without a word. */
START_TEST (test_engine_goes_while_prompt_is_read)
{
  struct fx_exchange *place;

  fx_arrive (&fx, 1);
  place = open_of (1, BERYL_EXCHANGE_RESERVE);
  fx_ok (&fx, place, "place");
  fx_remove (&fx, place->endpoint);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  ck_assert_str_ne (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint,
                    place->endpoint);
}
END_TEST

/* Has a leaving engine stop its run after WAIT_MS for a move to an engine that
 * has no room after all. */
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
  fx_broken (&fx, run, BERYL_BREAK_CLOSED, true);
}

/* The stopped run's memory is at the leaving engine only.  It goes on there
 * for as long as endpoints that leave may get work... */
START_TEST (test_stopped_run_returns_to_leaving_engine)
{
  move_off_leaving (100);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "kept");
}
END_TEST

/* ...and begins anew at another one after that. */
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

/* A peer tells that PREFILL has COUNT prompts of 1,000 tokens to read. */
static void
tell_queue (const char *prefill, size_t count)
{
  struct beryl_engine_run runs[64] = { 0 };

  for (size_t i = 0; i < count; i++)
    runs[i] = (struct beryl_engine_run){
      .engine = beryl_engine_number ("elsewhere"),
      .prefill_engine = beryl_engine_number (prefill),
      .prompt_tokens = 1000,
      .expected_tokens = 1000,
    };
  beryl_forward_peer_runs (fx.forward, "peer", runs, count, fx.now_ms);
}

/* Opens a system with one prefill engine, whose decode engines cannot read
 * prompts themselves without stopping their streams for too long. */
static void
one_reader (void)
{
  terms.route.gap_objective_ms = 50;
  reopen ();
  engines (1, 3);
}

/* Story: engines read more slowly than prompts came.  All were sent there at
 * once; the queue grew to three seconds, every answer began late, and memory
 * stood reserved meanwhile.  A request whose turn would come too late is
 * refused when it arrives, and told to come back after the queue. */
START_TEST (test_queue_of_prompts_is_limited)
{
  one_reader ();
  tell_queue ("p0", 60);
  fx_arrive (&fx, 1);
  ck_assert (answer (1)->refused);
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_int_ge (answer (1)->refusal.retry_after_ms, 1200);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
}
END_TEST

START_TEST (test_short_queue_of_prompts)
{
  one_reader ();
  tell_queue ("p0", 20);
  fx_arrive (&fx, 1);
  fx_to_run (&fx, 1);
}
END_TEST

/* One that comes back late takes the room that those in time leave: it waits
 * for a short queue, and is not sent behind a long one. */
START_TEST (test_late_request_waits_for_a_short_queue)
{
  struct beryl_forward_request late;

  one_reader ();
  tell_queue ("p0", 20);
  late = fx_facts (&fx, 1);
  late.arrived_ms = fx.now_ms - 2000;
  beryl_forward_arrived (fx.forward, &late, fx.now_ms);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
  ck_assert_uint_eq (answer (1)->ends, 0);
  tell_queue ("p0", 1);
  fx_pass (&fx, 200);
  fx_to_run (&fx, 1);
}
END_TEST

/* The queue grows while room is asked for.  The room is given back at once:
 * nothing would use it before it is too late. */
START_TEST (test_queue_grows_while_room_is_asked_for)
{
  one_reader ();
  fx_arrive (&fx, 1);
  tell_queue ("p0", 60);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert (answer (1)->refused);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_str_eq (fx_last (&fx, BERYL_EXCHANGE_UNRESERVE)->handle, "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
}
END_TEST

/* Brings request 1 to where its engine has stopped it for want of memory;
 * returns its run. */
static struct fx_exchange *
preempted (void)
{
  struct beryl_engine_result not_found = { .status = 404, .not_found = true };
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  tell_runs (run->endpoint, 3);
  fx_pass (&fx, 200);
  tell_runs (run->endpoint, 3);
  fx_result (&fx, open_of (1, BERYL_EXCHANGE_MOVE), &not_found);
  return run;
}

/* A full engine stops a run without a word and reads its prompt again later.
 * Asking it to move the run tells: it does not run it.  The stream goes on at
 * another engine once that has granted room, and never at both. */
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

/* All engines are full when one of them stops a run.  Given up there, its
 * stream would have no place at all and be cut off in front of a caller who
 * still waits; the engine that stopped it reads it again and goes on. */
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

/* The engine goes on by itself while another is being asked for room: what
 * that grants is given back, and the stream stays. */
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

/* An engine takes the question for room and never answers: the next one is
 * asked, and what the first one grants late is given back. */
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

/* The engine that stopped a run dies while another is asked for room: its
 * stream is looked a place for as any other. */
START_TEST (test_preempted_engine_dies)
{
  struct fx_exchange *run = preempted ();

  fx_broken (&fx, run, BERYL_BREAK_RESET, true);
  run = fx_to_run (&fx, 1);
  ck_assert_uint_eq (run->last_event, 2);
  fx_stream (&fx, run);
  fx_event (&fx, run, 3);
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
}
END_TEST

/* A stream that lost its engine waits for room as long as its caller does,
 * and is cut off only then. */
START_TEST (test_caller_waits_for_its_stream)
{
  struct fx_exchange *run;

  terms.route.patience_ms = 4000;
  reopen ();
  engines (2, 1);
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  fx_remove (&fx, run->endpoint);
  fx_broken (&fx, run, BERYL_BREAK_RESET, true);
  fx_pass (&fx, 3800);
  ck_assert_uint_eq (answer (1)->ends, 0);
  fx_pass (&fx, 400);
  ck_assert (answer (1)->cut);
}
END_TEST

/* A node that cannot hear the others cannot foresee what they will use; it
 * reserves all that a run may need. */
START_TEST (test_isolated)
{
  beryl_forward_set_isolated (fx.forward, true);
  fx_arrive (&fx, 1);
  ck_assert_uint_ge (open_of (1, BERYL_EXCHANGE_RESERVE)->tokens, 1450);
}
END_TEST

/* An engine refuses although no known run explains it: something unknown uses
 * its memory, and it is not asked first for some time. */
START_TEST (test_hidden_use)
{
  char first[BERYL_NAME_BYTES];

  fx_arrive (&fx, 1);
  g_strlcpy (first, open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint,
             sizeof first);
  fx_refused (&fx, open_of (1, BERYL_EXCHANGE_RESERVE));
  fx_pass (&fx, 300);
  for (uint64_t i = 2; i <= 6; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, first);
    }
}
END_TEST

/* All prefill engines are gone or busy for longer than the request has.  A
 * decode engine can read the prompt itself, more slowly. */
START_TEST (test_no_prefill_engine)
{
  fx_remove (&fx, "p0");
  fx_remove (&fx, "p1");
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->handle, "place");
}
END_TEST

/* An engine that was ordered to another stage gets no new work, although the
 * list does not show it yet. */
START_TEST (test_changing_engine)
{
  struct beryl_endpoint_news news = { 0 };

  beryl_endpoint_set_add (&news.changing, beryl_engine_number ("d0"));
  beryl_endpoint_set_add (&news.changing, beryl_engine_number ("d1"));
  beryl_forward_peer_news (fx.forward, "planner", &news, fx.now_ms);
  for (uint64_t i = 1; i <= 5; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_eq (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d2");
    }
}
END_TEST

static struct beryl_engine_run
told_run (const char *engine, uint32_t prompt_key)
{
  return (struct beryl_engine_run){ .engine = beryl_engine_number (engine),
                                    .prompt_tokens = 1000,
                                    .expected_tokens = 500,
                                    .started = true,
                                    .prompt_key = prompt_key };
}

static struct fx_exchange *
arrive_with_prompt (uint64_t request, uint32_t prompt_key)
{
  struct beryl_forward_request facts = fx_facts (&fx, request);

  facts.prompt_key = prompt_key;
  beryl_forward_arrived (fx.forward, &facts, fx.now_ms);
  return open_of (request, BERYL_EXCHANGE_RESERVE);
}

/* Another node died, and a caller of its comes here with the same prompt.  The
 * engine that ran it there has read it. */
START_TEST (test_warm_engine)
{
  struct beryl_engine_run run = told_run ("d1", 77);
  struct fx_exchange *x;

  beryl_forward_peer_runs (fx.forward, "peer", &run, 1, fx.now_ms);
  fx_pass (&fx, 2000);
  x = arrive_with_prompt (1, 77);
  ck_assert_str_eq (x->endpoint, "d1");
  fx_ok (&fx, x, "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->kv_handle, "");
  /* It goes the usual way after a failure. */
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_BREAK_CONNECT, false);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place-2");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* What was read long ago has yielded to other prompts. */
START_TEST (test_warm_engine_cools)
{
  struct beryl_engine_run run = told_run ("d1", 77);

  beryl_forward_peer_runs (fx.forward, "peer", &run, 1, fx.now_ms);
  fx_pass (&fx, 10000);
  fx_ok (&fx, arrive_with_prompt (1, 77), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* A caller comes back in the middle of an answer.  The engine has the prompt
 * but not what it made; it reads that for one request at a time, since its
 * other streams stand still meanwhile. */
START_TEST (test_warm_engine_reads_one_at_a_time)
{
  struct beryl_engine_run runs[2]
      = { told_run ("d1", 77), told_run ("d1", 78) };
  struct beryl_forward_request facts;

  beryl_forward_peer_runs (fx.forward, "peer", runs, 2, fx.now_ms);
  for (uint64_t i = 1; i <= 2; i++)
    {
      facts = fx_facts (&fx, i);
      facts.prompt_key = (uint32_t)(76 + i);
      facts.resumes = true;
      facts.last_event = 5;
      beryl_forward_arrived (fx.forward, &facts, fx.now_ms);
      fx_ok (&fx, open_of (i, BERYL_EXCHANGE_RESERVE), "place");
    }
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

START_TEST (test_runs_are_told)
{
  struct beryl_engine_run runs[4];
  struct fx_exchange *run;

  ck_assert (!beryl_forward_runs_changed (fx.forward));
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  ck_assert (beryl_forward_runs_changed (fx.forward));
  ck_assert_uint_eq (beryl_forward_runs (fx.forward, runs, 4, fx.now_ms), 1);
  ck_assert (!beryl_forward_runs_changed (fx.forward));
  ck_assert_uint_eq (runs[0].engine, beryl_engine_number (run->endpoint));
  ck_assert_uint_eq (runs[0].prompt_tokens, 1000);
  ck_assert_uint_eq (runs[0].made_tokens, 100);
  ck_assert (runs[0].started);
  fx_done (&fx, run);
  ck_assert (beryl_forward_runs_changed (fx.forward));
  ck_assert_uint_eq (beryl_forward_runs (fx.forward, runs, 4, fx.now_ms), 0);
}
END_TEST

/* A stream's body ends as if whole, but in the middle of an event. */
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

START_TEST (test_deadline_ends_stream)
{
  struct beryl_forward_request facts = fx_facts (&fx, 1);
  struct fx_exchange *run;

  facts.deadline_ms = fx.now_ms + 400;
  beryl_forward_arrived (fx.forward, &facts, fx.now_ms);
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
  Suite *suite = suite_create ("forward generations");
  TCase *tcase = tcase_create ("generations");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_order);
  tcase_add_test (tcase, test_full_engine_goes_elsewhere);
  tcase_add_test (tcase, test_no_room);
  tcase_add_test (tcase, test_new_engine_is_asked);
  tcase_add_test (tcase, test_caller_leaves_while_reserving);
  tcase_add_test (tcase, test_caller_leaves_while_prefilling);
  tcase_add_test (tcase, test_caller_leaves_while_streaming);
  tcase_add_test (tcase, test_kv_cache_is_used_again);
  tcase_add_test (tcase, test_kv_cache_is_given_up);
  tcase_add_test (tcase, test_stage_is_learned);
  tcase_add_test (tcase, test_stage_is_learned_by_prefill);
  tcase_add_test (tcase, test_stream_goes_on);
  tcase_add_test (tcase, test_error_into_begun_stream);
  tcase_add_test (tcase, test_refusal_into_begun_stream);
  tcase_add_test (tcase, test_once_is_not_resumed);
  tcase_add_test (tcase, test_not_run_is_true);
  tcase_add_test (tcase, test_lost_prefill_counts);
  tcase_add_test (tcase, test_unsent_prefill_is_free);
  tcase_add_test (tcase, test_repeats_are_paid_first);
  tcase_add_test (tcase, test_frozen_engine);
  tcase_add_test (tcase, test_slow_caller_is_no_stall);
  tcase_add_test (tcase, test_peers_runs_count);
  tcase_add_test (tcase, test_move);
  tcase_add_test (tcase, test_move_answered_last);
  tcase_add_test (tcase, test_move_without_room);
  tcase_add_test (tcase, test_moved_run_is_rejected);
  tcase_add_test (tcase, test_leaving_engine);
  tcase_add_test (tcase, test_engine_leaves_while_prompt_is_read);
  tcase_add_test (tcase, test_engine_goes_while_prompt_is_read);
  tcase_add_test (tcase, test_stopped_run_returns_to_leaving_engine);
  tcase_add_test (tcase, test_stopped_run_does_not_return_late);
  tcase_add_test (tcase, test_queue_of_prompts_is_limited);
  tcase_add_test (tcase, test_short_queue_of_prompts);
  tcase_add_test (tcase, test_late_request_waits_for_a_short_queue);
  tcase_add_test (tcase, test_queue_grows_while_room_is_asked_for);
  tcase_add_test (tcase, test_preempted);
  tcase_add_test (tcase, test_preempted_without_room);
  tcase_add_test (tcase, test_preempted_goes_on);
  tcase_add_test (tcase, test_preempted_asks_a_frozen_engine);
  tcase_add_test (tcase, test_preempted_engine_dies);
  tcase_add_test (tcase, test_caller_waits_for_its_stream);
  tcase_add_test (tcase, test_isolated);
  tcase_add_test (tcase, test_hidden_use);
  tcase_add_test (tcase, test_no_prefill_engine);
  tcase_add_test (tcase, test_changing_engine);
  tcase_add_test (tcase, test_warm_engine);
  tcase_add_test (tcase, test_warm_engine_cools);
  tcase_add_test (tcase, test_warm_engine_reads_one_at_a_time);
  tcase_add_test (tcase, test_runs_are_told);
  tcase_add_test (tcase, test_end_inside_event);
  tcase_add_test (tcase, test_deadline_ends_stream);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
