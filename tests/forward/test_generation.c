#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* Memory is reserved before the prompt is prefilled: engine time spent on a
   prompt whose KV cache finds no memory is lost. */
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
  ck_assert_uint_eq (fx_find_endpoint (&fx, x->endpoint)->open_exchanges, 0);
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

/* No engine has free memory for longer than the request can wait. Its caller
   gets a refusal with a Retry-After well before its own deadline, and nothing
   of the request was sent to run. */
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
   the end of their round. */
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

/* The caller disconnects at each step. What the request holds at engines is
   released; otherwise it would stay taken until its lease ends. */
START_TEST (test_caller_leaves_while_reserving)
{
  struct fx_exchange *x;

  fx_arrive (&fx, 1);
  x = open_of (1, BERYL_EXCHANGE_RESERVE);
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
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
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  ck_assert (fx_last (&fx, BERYL_EXCHANGE_PREFILL)->aborted);
  ck_assert_str_eq (open_of (0, BERYL_EXCHANGE_UNRESERVE)->handle, "place");
}
END_TEST

START_TEST (test_caller_leaves_while_streaming)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  beryl_forward_cancel (fx.forward, 1, fx.now_ms);
  ck_assert (run->aborted);
  ck_assert_uint_eq (fx_count_open (&fx), 0);
}
END_TEST

/* An engine that changed its stage reports so. The endpoint list may show it
   only later, or never while this node is cut off from it. */
START_TEST (test_stage_is_learned)
{
  struct beryl_answer_head head
      = { .status = 421, .not_run = true, .wrong_stage = true };
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_run (&fx, 1);
  beryl_forward_answer_head (fx.forward, run->id, &head, fx.now_ms);
  ck_assert_int_eq (fx_find_endpoint (&fx, run->endpoint)->info.stage,
                    BERYL_STAGE_PREFILL);
}
END_TEST

/* The deadline passes while a run is open that has not answered: it may be in
   progress, so "not run" must not be claimed. */
START_TEST (test_not_run_is_true)
{
  struct beryl_forward_request facts = fx_request_params (&fx, 1);
  struct fx_exchange *run;

  facts.deadline_ms = fx.now_ms + 1000;
  beryl_forward_submit (fx.forward, &facts, fx.now_ms);
  run = fx_to_run (&fx, 1);
  fx_pass (&fx, 1100);
  ck_assert (run->aborted);
  ck_assert_uint_eq (answer (1)->ends, 1);
  ck_assert (!answer (1)->refusal.not_run);
  ck_assert_uint_ne (answer (1)->refusal.status, 503);
}
END_TEST

/* Runs of other nodes use engine memory too; a run goes to an engine that has
   memory for all of it. */
START_TEST (test_peer_runs_count)
{
  report_runs ("d0", 4);
  for (uint64_t i = 1; i <= 4; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d0");
      fx_to_run (&fx, i);
    }
}
END_TEST

/* An isolated node cannot forecast the memory that other nodes will use; it
   reserves all that a run may need. */
START_TEST (test_isolated)
{
  beryl_forward_set_reports_incomplete (fx.forward, true);
  fx_arrive (&fx, 1);
  ck_assert_uint_ge (open_of (1, BERYL_EXCHANGE_RESERVE)->tokens, 1450);
}
END_TEST

/* An engine refuses although no known run explains it: unknown runs use its
   memory, and it is not asked first for some time. */
START_TEST (test_unknown_runs)
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

/* An engine that was ordered to another stage gets no new work, although the
   list does not show the change yet. */
START_TEST (test_changing_engine)
{
  struct beryl_endpoint_updates news = { 0 };

  beryl_endpoint_set_add (&news.changing, beryl_name_hash ("d0"));
  beryl_endpoint_set_add (&news.changing, beryl_name_hash ("d1"));
  beryl_forward_peer_endpoint_reports (fx.forward, "planner", &news,
                                       fx.now_ms);
  for (uint64_t i = 1; i <= 5; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_eq (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d2");
    }
}
END_TEST

START_TEST (test_runs_are_told)
{
  struct beryl_engine_run runs[4];
  struct fx_exchange *run;

  ck_assert (!beryl_forward_report_due (fx.forward));
  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 2);
  ck_assert (beryl_forward_report_due (fx.forward));
  ck_assert_uint_eq (beryl_forward_runs (fx.forward, runs, 4, fx.now_ms), 1);
  ck_assert (!beryl_forward_report_due (fx.forward));
  ck_assert_uint_eq (runs[0].engine, beryl_name_hash (run->endpoint));
  ck_assert_uint_eq (runs[0].prompt_tokens, 1000);
  ck_assert_uint_eq (runs[0].generated_tokens, 100);
  ck_assert (runs[0].started);
  fx_done (&fx, run);
  ck_assert (beryl_forward_report_due (fx.forward));
  ck_assert_uint_eq (beryl_forward_runs (fx.forward, runs, 4, fx.now_ms), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward generations");
  TCase *tcase = tcase_create ("generation");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_test (tcase, test_order);
  tcase_add_test (tcase, test_full_engine_goes_elsewhere);
  tcase_add_test (tcase, test_no_room);
  tcase_add_test (tcase, test_new_engine_is_asked);
  tcase_add_test (tcase, test_caller_leaves_while_reserving);
  tcase_add_test (tcase, test_caller_leaves_while_prefilling);
  tcase_add_test (tcase, test_caller_leaves_while_streaming);
  tcase_add_test (tcase, test_stage_is_learned);
  tcase_add_test (tcase, test_not_run_is_true);
  tcase_add_test (tcase, test_peer_runs_count);
  tcase_add_test (tcase, test_isolated);
  tcase_add_test (tcase, test_unknown_runs);
  tcase_add_test (tcase, test_changing_engine);
  tcase_add_test (tcase, test_runs_are_told);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
