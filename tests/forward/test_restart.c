#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* A process that restarts under its id has lost all earlier state. Each test
   has a request that was in progress at the former incarnation. */

static uint64_t revision;

static const struct beryl_live_endpoint *
start (const char *id, enum beryl_stage stage, uint64_t born_ms)
{
  struct beryl_live_info info
      = { .stage = stage, .process_start_ms = born_ms };
  const struct beryl_live_endpoint *live;

  g_strlcpy (info.id, id, sizeof info.id);
  g_strlcpy (info.service, FX_SERVICE, sizeof info.service);
  g_strlcpy (info.address, "10.0.0.1", sizeof info.address);
  info.port = 80;
  info.revision = ++revision;
  live = beryl_live_set_put (fx.endpoints, &info, fx.now_ms);
  beryl_forward_endpoints_changed (fx.forward, fx.now_ms);
  return live;
}

/* One prefill and one decode engine, so that each call's target is known. */
static void
setup (void)
{
  model_setup ();
  reopen ();
  revision = 0;
  start ("p", BERYL_STAGE_PREFILL, 100);
  start ("d", BERYL_STAGE_DECODE, 100);
}

/* An engine grants a reservation, crashes, and restarts under its id within a
   second. The prompt has been prefilled meanwhile, and the request would be
   sent with a reservation that the engine may since have given to another
   one. */
START_TEST (test_reservation_is_void)
{
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "before");
  start ("d", BERYL_STAGE_DECODE, 200);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_PREFILL), "kv");
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_UNRESERVE), 0);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "after");
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RUN)->handle, "after");
}
END_TEST

/* The engine that prefilled a prompt restarts before the request has found
   another engine. The KV cache is gone; its handle may belong to another
   request's there. */
START_TEST (test_kv_cache_is_void)
{
  fx_arrive (&fx, 1);
  fx_not_run (&fx, fx_to_run (&fx, 1), 503);
  start ("p", BERYL_STAGE_PREFILL, 200);
  start ("d2", BERYL_STAGE_DECODE, 100);
  fx_pass (&fx, 10);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  ck_assert_ptr_null (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 2);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_DROP_KV), 0);
}
END_TEST

/* Peers report runs that fill an engine, which restarts and is empty. Until
   the peers' streams break, their reports must not keep other requests from
   it. */
START_TEST (test_peers_runs_are_void)
{
  const struct beryl_live_endpoint *live
      = beryl_live_set_find (fx.endpoints, "d");
  struct beryl_engine_run runs[10];

  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    runs[i] = (struct beryl_engine_run){ .engine = beryl_live_hash (live),
                                         .prompt_tokens = 1000,
                                         .expected_tokens = 1000,
                                         .started = true };
  beryl_forward_peer_runs (fx.forward, "peer", runs, G_N_ELEMENTS (runs),
                           fx.now_ms);
  ck_assert_uint_gt (beryl_forward_engine_used_tokens (fx.forward, FX_SERVICE,
                                                       live, fx.now_ms),
                     9000);
  live = start ("d", BERYL_STAGE_DECODE, 200);
  ck_assert_uint_eq (beryl_forward_engine_used_tokens (fx.forward, FX_SERVICE,
                                                       live, fx.now_ms),
                     0);
  fx_arrive (&fx, 1);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "d");
}
END_TEST

/* An engine that has a prompt cached restarts. Sent there without a prefill,
   the prompt would be processed between the tokens of other requests, whose
   streams would pause. */
START_TEST (test_prompts_are_void)
{
  beryl_forward_prompt_cached (
      fx.forward, 77,
      beryl_live_hash (beryl_live_set_find (fx.endpoints, "d")), fx.now_ms);
  start ("d", BERYL_STAGE_DECODE, 200);
  struct beryl_forward_request facts = fx_request_params (&fx, 1);
  facts.prompt_hash = 77;
  beryl_forward_submit (fx.forward, &facts, fx.now_ms);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "place");
  open_of (1, BERYL_EXCHANGE_PREFILL);
}
END_TEST

/* Failures and crashes of the former incarnation say nothing about the new
   one. */
START_TEST (test_history_is_void)
{
  struct beryl_live_endpoint *live = beryl_live_set_find (fx.endpoints, "d");

  beryl_live_record_outcome (live, BERYL_LIVE_TIMED_OUT, 0, fx.now_ms);
  beryl_live_mark_replaced (live, fx.now_ms);
  live->full_until_ms = fx.now_ms + 10000;
  live = (struct beryl_live_endpoint *)start ("d", BERYL_STAGE_DECODE, 200);
  ck_assert (beryl_live_accepts_work (live));
  ck_assert (!beryl_live_avoided (live, fx.now_ms));
  fx_arrive (&fx, 1);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "d");
}
END_TEST

/* An entry of the former incarnation is written late, after that of the new
   one. If applied, it would invalidate everything that the new incarnation has
   granted. */
START_TEST (test_late_entry_of_former_incarnation)
{
  const struct beryl_live_endpoint *live
      = start ("d", BERYL_STAGE_DECODE, 200);

  ck_assert_ptr_eq (start ("d", BERYL_STAGE_PREFILL, 100), live);
  ck_assert_int_eq (live->info.stage, BERYL_STAGE_DECODE);
  ck_assert_uint_eq (live->info.process_start_ms, 200);
  live = start ("d", BERYL_STAGE_DECODE, 300);
  ck_assert_ptr_eq (start ("d", BERYL_STAGE_DECODE, 100), live);
  ck_assert_ptr_eq (start ("d", BERYL_STAGE_DECODE, 200), live);
  ck_assert_uint_eq (live->info.process_start_ms, 300);
}
END_TEST

/* An endpoint's clock may have been set back before it restarted: its start
   time is smaller then, but it is still the new incarnation. */
START_TEST (test_start_time_is_no_order)
{
  const struct beryl_live_endpoint *live = start ("d", BERYL_STAGE_DECODE, 50);

  ck_assert_uint_eq (live->info.process_start_ms, 50);
  fx_arrive (&fx, 1);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "d");
}
END_TEST

/* A peer's proof that the former incarnation has ended must not end the new
   one. */
START_TEST (test_late_report_of_former_incarnation)
{
  struct beryl_endpoint_updates news = { 0 };
  const struct beryl_live_endpoint *live
      = beryl_live_set_find (fx.endpoints, "d");

  beryl_endpoint_set_add (&news.replaced, beryl_live_hash (live));
  live = start ("d", BERYL_STAGE_DECODE, 200);
  beryl_forward_peer_endpoint_reports (fx.forward, "peer", &news, fx.now_ms);
  ck_assert (beryl_live_accepts_work (live));
}
END_TEST

/* An entry that another writer has put in place of an endpoint's own no longer
   describes it; the endpoint's next heartbeat restores it. */
START_TEST (test_rejected_entry)
{
  beryl_live_set_reject (fx.endpoints, "d", fx.now_ms);
  beryl_live_set_reject (fx.endpoints, "unknown", fx.now_ms);
  fx_arrive (&fx, 1);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RESERVE), 0);
  start ("d", BERYL_STAGE_DECODE, 100);
  fx_pass (&fx, 10);
  ck_assert_str_eq (open_of (1, BERYL_EXCHANGE_RESERVE)->endpoint, "d");
}
END_TEST

/* Endpoints whose entries state no start time are identified by their id. */
START_TEST (test_no_start_time)
{
  const struct beryl_live_endpoint *live = start ("d", BERYL_STAGE_DECODE, 0);

  ck_assert_uint_eq (live->info.process_start_ms, 100);
  live = start ("e", BERYL_STAGE_DECODE, 0);
  ck_assert_uint_eq (beryl_live_hash (live), beryl_name_hash ("e"));
  ck_assert_ptr_eq (start ("e", BERYL_STAGE_DECODE, 100), live);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("restart");
  TCase *tcase = tcase_create ("restart");

  tcase_add_checked_fixture (tcase, setup, model_teardown);
  tcase_add_test (tcase, test_reservation_is_void);
  tcase_add_test (tcase, test_kv_cache_is_void);
  tcase_add_test (tcase, test_peers_runs_are_void);
  tcase_add_test (tcase, test_prompts_are_void);
  tcase_add_test (tcase, test_history_is_void);
  tcase_add_test (tcase, test_late_entry_of_former_incarnation);
  tcase_add_test (tcase, test_start_time_is_no_order);
  tcase_add_test (tcase, test_late_report_of_former_incarnation);
  tcase_add_test (tcase, test_rejected_entry);
  tcase_add_test (tcase, test_no_start_time);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
