#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* The engine rejects the run that it granted a reservation for; the KV cache
   still exists, and another prefill would cost engine time. */
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

/* Two engines reject the same KV cache: it is gone, and the prompt is
   prefilled again. */
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

START_TEST (test_stage_is_learned_by_prefill)
{
  struct beryl_engine_result result
      = { .not_run = true, .wrong_stage = true, .status = 421 };
  struct fx_exchange *x;

  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  x = open_of (1, BERYL_EXCHANGE_PREFILL);
  fx_result (&fx, x, &result);
  ck_assert_int_eq (fx_find_endpoint (&fx, x->endpoint)->info.stage,
                    BERYL_STAGE_DECODE);
  fx_to_run (&fx, 1);
  ck_assert_str_ne (fx_last (&fx, BERYL_EXCHANGE_PREFILL)->endpoint,
                    x->endpoint);
}
END_TEST

/* A prefill's answer is lost with its engine. The engine may have accepted the
   prefill, so the next one counts as a repeat; without a budget there is
   none. */
START_TEST (test_lost_prefill_counts)
{
  terms.repeat_slack = 0;
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), BERYL_FAILURE_RESET,
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
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), BERYL_FAILURE_CONNECT,
             false);
  fx_to_run (&fx, 1);
}
END_TEST

/* A broken stream needs two repeats, for another prefill and another run. With
   only one left the prompt must not be prefilled for nothing. */
START_TEST (test_repeats_are_taken_first)
{
  terms.repeat_slack = 2; /* of which four fifths are used */
  terms.repeat_ratio = 0;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_broken (&fx, fx_to_stream (&fx, 1, 2), BERYL_FAILURE_RESET, true);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
  ck_assert (answer (1)->cut);
}
END_TEST

/* While a prompt is queued and prefilled, the engine with its reservation
   announces that it leaves. If sent there two seconds later, the request would
   reach an engine that takes no new work, and be lost with it. The KV cache
   goes to another engine, without a second prefill. */
START_TEST (test_engine_leaves_during_prefill)
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

/* The same with an engine that disappears without an announcement. */
START_TEST (test_engine_disappears_during_prefill)
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

/* Applies a peer's report that PREFILL has COUNT prompts of 1,000 tokens
   queued. */
static void
report_queue (const char *prefill, size_t count)
{
  struct beryl_engine_run runs[64] = { 0 };

  for (size_t i = 0; i < count; i++)
    runs[i] = (struct beryl_engine_run){
      .engine = beryl_name_hash ("elsewhere"),
      .prefill_engine = beryl_name_hash (prefill),
      .prompt_tokens = 1000,
      .expected_tokens = 1000,
    };
  beryl_forward_peer_runs (fx.forward, "peer", runs, count, fx.now_ms);
}

/* Opens a system with one prefill engine, whose decode engines cannot prefill
   prompts themselves without stopping their streams for too long. */
static void
open_one_prefill_engine (void)
{
  terms.route.gap_objective_ms = 50;
  reopen ();
  engines (1, 3);
}

/* Engines prefilled more slowly than prompts arrived. All prompts were sent at
   once; the queue grew to three seconds, every answer began late, and memory
   stayed reserved meanwhile. A request whose prefill would start too late is
   refused on arrival, with the queue's duration as Retry-After. */
START_TEST (test_prefill_queue_is_limited)
{
  open_one_prefill_engine ();
  report_queue ("p0", 60);
  fx_arrive (&fx, 1);
  ck_assert (answer (1)->refused);
  ck_assert_uint_eq (answer (1)->refusal.status, 503);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_int_ge (answer (1)->refusal.retry_after_ms, 1200);
  ck_assert_ptr_nonnull (strstr (fx.log->str, "wait:prefill_behind"));
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
}
END_TEST

START_TEST (test_short_prefill_queue)
{
  open_one_prefill_engine ();
  report_queue ("p0", 20);
  fx_arrive (&fx, 1);
  fx_to_run (&fx, 1);
}
END_TEST

/* A late retry uses the capacity that requests in time leave: it waits for a
   short queue, and is not sent to a long one. */
START_TEST (test_late_request_waits_for_a_short_queue)
{
  struct beryl_forward_request late;

  open_one_prefill_engine ();
  report_queue ("p0", 20);
  late = fx_request_params (&fx, 1);
  late.arrived_ms = fx.now_ms - 2000;
  beryl_forward_submit (fx.forward, &late, fx.now_ms);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
  ck_assert_uint_eq (answer (1)->ends, 0);
  report_queue ("p0", 1);
  fx_pass (&fx, 200);
  fx_to_run (&fx, 1);
}
END_TEST

/* A request that found all engines full is refused later because of the
   prefill queue. Its log must name both reasons, or the cause cannot be
   found. */
START_TEST (test_each_wait_reason_is_logged)
{
  open_one_prefill_engine ();
  fx_arrive (&fx, 1);
  for (int i = 0; i < 3; i++)
    fx_refused (&fx, open_of (1, BERYL_EXCHANGE_RESERVE));
  ck_assert_ptr_nonnull (strstr (fx.log->str, "wait:engines_refuse"));
  report_queue ("p0", 60);
  fx_pass (&fx, 200);
  ck_assert (answer (1)->refused);
  ck_assert_ptr_nonnull (strstr (fx.log->str, "wait:prefill_behind"));
}
END_TEST

/* The queue grows while a reservation is requested. The reservation is
   released at once, since the request could not use it in time. */
START_TEST (test_queue_grows_during_reservation)
{
  open_one_prefill_engine ();
  fx_arrive (&fx, 1);
  report_queue ("p0", 60);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert (answer (1)->refused);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_str_eq (fx_last (&fx, BERYL_EXCHANGE_UNRESERVE)->handle, "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
}
END_TEST

/* All prefill engines are gone, or busy for longer than the request has. A
   decode engine can prefill the prompt itself, more slowly. */
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

static struct beryl_engine_run
told_run (const char *engine, uint32_t prompt_hash)
{
  return (struct beryl_engine_run){ .engine = beryl_name_hash (engine),
                                    .prompt_tokens = 1000,
                                    .expected_tokens = 500,
                                    .started = true,
                                    .prompt_hash = prompt_hash };
}

static struct fx_exchange *
arrive_with_prompt (uint64_t request, uint32_t prompt_hash)
{
  struct beryl_forward_request facts = fx_request_params (&fx, request);

  facts.prompt_hash = prompt_hash;
  beryl_forward_submit (fx.forward, &facts, fx.now_ms);
  return open_of (request, BERYL_EXCHANGE_RESERVE);
}

/* Another node died, and its caller retries the same prompt here. The engine
   that ran it for that node has it cached. */
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
  /* After a failure it is prefilled as usual. */
  fx_broken (&fx, open_of (1, BERYL_EXCHANGE_RUN), BERYL_FAILURE_CONNECT,
             false);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place-2");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* A prompt that ran long ago has been evicted from the cache. */
START_TEST (test_prompt_is_evicted)
{
  struct beryl_engine_run run = told_run ("d1", 77);

  beryl_forward_peer_runs (fx.forward, "peer", &run, 1, fx.now_ms);
  fx_pass (&fx, 10000);
  fx_ok (&fx, arrive_with_prompt (1, 77), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* A caller resumes in the middle of an answer. The engine has the prompt
   cached but not the output, which it prefills for one request at a time,
   since its other streams stop meanwhile. */
START_TEST (test_warm_engine_prefills_one_at_a_time)
{
  struct beryl_engine_run runs[2]
      = { told_run ("d1", 77), told_run ("d1", 78) };
  struct beryl_forward_request facts;

  beryl_forward_peer_runs (fx.forward, "peer", runs, 2, fx.now_ms);
  for (uint64_t i = 1; i <= 2; i++)
    {
      facts = fx_request_params (&fx, i);
      facts.prompt_hash = (uint32_t)(76 + i);
      facts.resumes = true;
      facts.last_event_id = 5;
      beryl_forward_submit (fx.forward, &facts, fx.now_ms);
      fx_ok (&fx, open_of (i, BERYL_EXCHANGE_RESERVE), "place");
    }
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 1);
}
END_TEST

/* Guards against a warm engine that is not used for a caller which resumes a
   stream whose ids are times, as the answer seems to be too long to prefill.
 */
START_TEST (test_warm_engine_for_large_id)
{
  struct beryl_engine_run run = told_run ("d1", 77);
  struct beryl_forward_request facts = fx_request_params (&fx, 1);

  beryl_forward_peer_runs (fx.forward, "peer", &run, 1, fx.now_ms);
  facts.prompt_hash = 77;
  facts.output_tokens_max = 50;
  facts.resumes = true;
  facts.last_event_id = UINT64_C (1733588056123);
  beryl_forward_submit (fx.forward, &facts, fx.now_ms);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reading prompts");
  TCase *tcase = tcase_create ("prompts");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_kv_cache_is_used_again);
  tcase_add_test (tcase, test_kv_cache_is_given_up);
  tcase_add_test (tcase, test_stage_is_learned_by_prefill);
  tcase_add_test (tcase, test_lost_prefill_counts);
  tcase_add_test (tcase, test_unsent_prefill_is_free);
  tcase_add_test (tcase, test_repeats_are_taken_first);
  tcase_add_test (tcase, test_engine_leaves_during_prefill);
  tcase_add_test (tcase, test_engine_disappears_during_prefill);
  tcase_add_test (tcase, test_prefill_queue_is_limited);
  tcase_add_test (tcase, test_short_prefill_queue);
  tcase_add_test (tcase, test_late_request_waits_for_a_short_queue);
  tcase_add_test (tcase, test_each_wait_reason_is_logged);
  tcase_add_test (tcase, test_queue_grows_during_reservation);
  tcase_add_test (tcase, test_no_prefill_engine);
  tcase_add_test (tcase, test_warm_engine);
  tcase_add_test (tcase, test_prompt_is_evicted);
  tcase_add_test (tcase, test_warm_engine_prefills_one_at_a_time);
  tcase_add_test (tcase, test_warm_engine_for_large_id);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
