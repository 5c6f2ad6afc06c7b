#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "beryl/router.h"
#include "fleet_fixture.h"
#include "../../libberyl/router/shares.h"
#include "../suite.h"

#define SLOTS 3
#define NOW 1000000

static struct fleet_fixture fleet;
static struct beryl_router *router;

static void
setup (void)
{
  fleet_fixture_init (&fleet, SLOTS);
  router = beryl_router_create ("n1", "dc1", BERYL_POLICY_PLANNED, 7);
  beryl_router_set_config (router, &fleet.config, NOW);
}

static void
teardown (void)
{
  beryl_router_destroy (router);
}

static struct beryl_job
model_job (uint64_t request, const char *organisation)
{
  return (struct beryl_job){
    .request = request,
    .service = "advice",
    .organisation = organisation,
    .call_class = BERYL_CLASS_NORMAL,
    .prompt_tokens = 500,
    .max_tokens = 100,
    .arrived_ms = NOW,
    .deadline_ms = NOW + 30000,
  };
}

static struct beryl_job
plain_job (uint64_t request, enum beryl_class call_class)
{
  return (struct beryl_job){
    .request = request,
    .service = "status",
    .organisation = "north",
    .call_class = call_class,
    .plain = true,
    .arrived_ms = NOW,
    .deadline_ms = NOW + 1000,
  };
}

START_TEST (test_names)
{
  enum beryl_policy policy;
  for (int i = 0; i <= BERYL_POLICY_EXACT; i++)
    {
      const char *name = beryl_policy_name ((enum beryl_policy)i);
      ck_assert (beryl_policy_parse (name, &policy));
      ck_assert_int_eq (policy, i);
    }
  ck_assert (!beryl_policy_parse ("best", &policy));
}
END_TEST

START_TEST (test_prefix_hash_is_chained)
{
  uint64_t a[4], b[4];
  ck_assert_uint_eq (beryl_prefix_hash ("aaaabbbbcc", 10, 4, a, 4), 2);
  ck_assert_uint_eq (beryl_prefix_hash ("xaaabbbb", 8, 4, b, 4), 2);
  ck_assert_uint_ne (a[0], b[0]);
  ck_assert_uint_ne (a[1], b[1]);
  ck_assert_uint_eq (beryl_prefix_hash ("aaaabbbb", 8, 4, b, 1), 1);
  ck_assert_uint_eq (a[0], b[0]);
}
END_TEST

START_TEST (test_shares_add_up)
{
  uint64_t nodes[7];
  char name[16];
  for (int i = 0; i < 7; i++)
    {
      snprintf (name, sizeof name, "node-%d", i);
      nodes[i] = shares_hash (name);
    }
  for (uint32_t e = 0; e < 50; e++)
    {
      uint32_t sum = 0;
      for (int i = 0; i < 7; i++)
        sum += shares_of_node (e * 977 + 1, 20, nodes[i], nodes, 7);
      ck_assert_uint_eq (sum, 20);
    }
}
END_TEST

/* Guards against a prefill without a slot, whose KV cache would expire before
 * one is free.  With all three slots of both engines busy, the seventh job
 * must wait until a decode ends, and then start at once. */
START_TEST (test_no_prefill_without_a_slot)
{
  struct beryl_plan plan, first = { 0 };
  for (uint64_t i = 1; i <= 2 * SLOTS; i++)
    {
      struct beryl_job job = model_job (i, "north");
      beryl_router_plan (router, &job, NOW, &plan);
      ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
      ck_assert_ptr_nonnull (plan.prefill);
      ck_assert_ptr_nonnull (plan.decode);
      if (i == 1)
        first = plan;
    }
  struct beryl_job last = model_job (7, "north");
  beryl_router_plan (router, &last, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_WAIT);
  ck_assert_int_gt (plan.retry_at_ms, NOW);
  ck_assert_int_le (beryl_router_next_ms (router), plan.retry_at_ms);

  beryl_router_prefill_done (router, first.ticket, 0, 80000000, NOW + 200);
  beryl_router_first_token (router, first.ticket, NOW + 300);
  beryl_router_tokens_generated (router, first.ticket, 60, NOW + 2000);
  beryl_router_release (router, first.ticket, BERYL_RELEASE_DONE, NULL,
                        NOW + 2000);
  ck_assert_int_le (beryl_router_next_ms (router), NOW + 2000);
  beryl_router_plan (router, &last, NOW + 2000, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
  ck_assert_str_eq (plan.decode, first.decode);
  ck_assert_int_eq (beryl_router_next_ms (router), BERYL_NEVER_MS);
}
END_TEST

/* With long prefill backlogs at both engines a job waits in this node's queue,
 * where it keeps its order, although slots are free, and starts as soon as a
 * backlog is short. */
START_TEST (test_long_prefill_backlog_queues_job)
{
  struct beryl_plan plan;
  enum beryl_verdict verdict = BERYL_VERDICT_START;
  uint64_t n = 0;
  while (verdict == BERYL_VERDICT_START && n < 6)
    {
      struct beryl_job job = model_job (++n, "north");
      job.prompt_tokens = 4000;
      beryl_router_plan (router, &job, NOW, &plan);
      verdict = plan.verdict;
    }
  ck_assert_int_eq (verdict, BERYL_VERDICT_WAIT);
  ck_assert_uint_ge (n, 3);
  struct beryl_job job = model_job (n, "north");
  job.prompt_tokens = 4000;
  beryl_router_plan (router, &job, NOW + 2000, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
}
END_TEST

/* A job that cannot finish before its deadline is refused at once with a retry
 * time, and nothing is started. */
START_TEST (test_refuses_infeasible_deadline)
{
  struct beryl_plan plan;
  struct beryl_job job = model_job (1, "north");
  job.deadline_ms = NOW + 100;
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_REFUSE);
  ck_assert_str_eq (plan.reason, "deadline");
  ck_assert_int_gt (plan.retry_after_ms, 0);
}
END_TEST

/* With all slots taken, an organisation that keeps sending is refused beyond
 * its fair share, while a job of another organisation is still queued. */
START_TEST (test_fair_share)
{
  struct beryl_plan plan;
  uint64_t n = 1;
  enum beryl_verdict verdict;
  do
    {
      struct beryl_job job = model_job (n++, "north");
      beryl_router_plan (router, &job, NOW, &plan);
      verdict = plan.verdict;
    }
  while (verdict != BERYL_VERDICT_REFUSE && n < 200);
  ck_assert_uint_lt (n, 200);
  struct beryl_job job = model_job (n++, "south");
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_WAIT);
}
END_TEST

START_TEST (test_rate_limit_returns_retry_time)
{
  struct beryl_plan plan;
  struct beryl_job job = model_job (1, "limited");
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
  job.request = 2;
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_REFUSE);
  ck_assert_str_eq (plan.reason, "rate_limit");
  ck_assert_int_eq (plan.retry_after_ms, 1000);
  beryl_router_plan (router, &job, NOW + 1000, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
}
END_TEST

/* Guards against an urgent call queueing behind non-urgent calls that fill a
 * plain service. */
START_TEST (test_urgent_passes_long_calls)
{
  struct beryl_plan plan;
  uint64_t n = 1;
  do
    {
      struct beryl_job job = plain_job (n++, BERYL_CLASS_NORMAL);
      beryl_router_plan (router, &job, NOW, &plan);
    }
  while (plan.verdict == BERYL_VERDICT_START && n < 100);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_WAIT);
  ck_assert_uint_eq (n - 2, 6); /* 3 of 4 calls at each of 2 endpoints */
  struct beryl_job job = plain_job (n, BERYL_CLASS_URGENT);
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
}
END_TEST

/* Guards against callers that wait in vain: calls of half a second arrive
 * faster than they can run.  The queue must stay within what their deadline of
 * one second allows, and the next call is refused at once with a retry time.
 */
START_TEST (test_long_calls_are_refused_early)
{
  struct beryl_plan plan;
  for (uint64_t i = 1; i <= 60; i++)
    {
      struct beryl_job job = plain_job (i, BERYL_CLASS_NORMAL);
      beryl_router_plan (router, &job, NOW, &plan);
      ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
      beryl_router_release (router, plan.ticket, BERYL_RELEASE_DONE, NULL,
                            NOW + 500);
    }
  size_t waiting = 0;
  uint64_t n = 100;
  do
    {
      struct beryl_job job = plain_job (n++, BERYL_CLASS_NORMAL);
      beryl_router_plan (router, &job, NOW, &plan);
      waiting += plan.verdict == BERYL_VERDICT_WAIT;
    }
  while (plan.verdict != BERYL_VERDICT_REFUSE && n < 200);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_REFUSE);
  ck_assert_str_eq (plan.reason, "no_capacity");
  ck_assert_int_gt (plan.retry_after_ms, 0);
  ck_assert_uint_ge (waiting, 3); /* six run at a time, for half a second */
  ck_assert_uint_le (waiting, 7);
}
END_TEST

/* Guards against non-urgent calls of many nodes using up the headroom for
 * urgent ones.  Eight nodes send to two endpoints that run four calls each;
 * six non-urgent calls may run, and the nodes without a slot must not add one
 * more each. */
START_TEST (test_long_calls_of_all_nodes_leave_headroom)
{
  const char *const nodes[]
      = { "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8" };
  size_t started = 0;
  for (size_t n = 0; n < 8; n++)
    {
      struct beryl_plan plan;
      struct beryl_router *r
          = beryl_router_create (nodes[n], "dc1", BERYL_POLICY_PLANNED, n);
      beryl_router_set_config (r, &fleet.config, NOW);
      beryl_router_set_members (r, nodes, 8, NOW);
      for (uint64_t i = 1; i <= 4; i++)
        {
          struct beryl_job job = plain_job (i, BERYL_CLASS_NORMAL);
          beryl_router_plan (r, &job, NOW, &plan);
          started += plan.verdict == BERYL_VERDICT_START;
        }
      if (n == 0)
        {
          struct beryl_job job = plain_job (9, BERYL_CLASS_URGENT);
          beryl_router_plan (r, &job, NOW, &plan);
          ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
        }
      beryl_router_destroy (r);
    }
  ck_assert_uint_ge (started, 6);
  ck_assert_uint_le (started, 8); /* a node without a slot: one call */
}
END_TEST

/* Guards against ejecting the last usable endpoint when first one and then the
 * other returns only errors. */
START_TEST (test_never_ejects_the_last)
{
  struct beryl_plan plan;
  for (uint64_t i = 1; i <= 40; i++)
    {
      struct beryl_job job = plain_job (i, BERYL_CLASS_URGENT);
      beryl_router_plan (router, &job, NOW, &plan);
      ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
      beryl_router_release (router, plan.ticket, BERYL_RELEASE_FAILED,
                            plan.decode, NOW);
    }
}
END_TEST

/* With late binding the slot is chosen after the prefill.  If that engine
 * refuses as full, the decode must be bound to the other one. */
START_TEST (test_rebinds_after_refusal)
{
  struct beryl_plan plan, bound;
  beryl_router_set_late_binding (router, true);
  struct beryl_job job = model_job (1, "north");
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
  ck_assert_ptr_null (plan.decode);
  beryl_router_prefill_done (router, plan.ticket, 0, 80000000, NOW + 200);
  beryl_router_bind_decode (router, plan.ticket, NOW + 900, NULL, NOW + 200,
                            &bound);
  ck_assert_int_eq (bound.verdict, BERYL_VERDICT_START);
  ck_assert_str_eq (bound.reason, "decode_bound");
  const char *full = bound.decode;
  beryl_router_bind_decode (router, plan.ticket, NOW + 900, full, NOW + 210,
                            &bound);
  ck_assert_int_eq (bound.verdict, BERYL_VERDICT_START);
  ck_assert_str_ne (bound.decode, full);
  beryl_router_release (router, plan.ticket, BERYL_RELEASE_CANCELLED, NULL,
                        NOW + 300);
  beryl_router_bind_decode (router, plan.ticket, NOW + 900, NULL, NOW + 310,
                            &bound);
  ck_assert_int_eq (bound.verdict, BERYL_VERDICT_REFUSE);
}
END_TEST

/* Guards against starting a decode that the deadline would cut off midway: the
 * prefill queued behind those of other nodes, then waited for a slot, and too
 * little time was left. */
START_TEST (test_no_decode_past_its_deadline)
{
  struct beryl_plan plan, bound;
  beryl_router_set_late_binding (router, true);
  struct beryl_job job = model_job (1, "north");
  job.deadline_ms = NOW + 8000;
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
  beryl_router_prefill_done (router, plan.ticket, 0, 80000000, NOW + 6000);
  beryl_router_bind_decode (router, plan.ticket, NOW + 6900, NULL, NOW + 6000,
                            &bound);
  ck_assert_int_eq (bound.verdict, BERYL_VERDICT_REFUSE);
  ck_assert_str_eq (bound.reason, "deadline");
}
END_TEST

/* Plans a job with a deadline SPAN_MS after AT_MS and binds its decode LATE_MS
 * later than planned. */
static enum beryl_verdict
run_late (uint64_t request, int64_t at_ms, int64_t span_ms, int64_t late_ms)
{
  struct beryl_plan plan, bound;
  struct beryl_job job = model_job (request, "north");
  job.arrived_ms = at_ms;
  job.deadline_ms = at_ms + span_ms;
  beryl_router_plan (router, &job, at_ms, &plan);
  if (plan.verdict != BERYL_VERDICT_START)
    return plan.verdict;
  int64_t bound_ms = at_ms + plan.first_token_ms + late_ms;
  beryl_router_prefill_done (router, plan.ticket, 0, 80000000, bound_ms);
  beryl_router_bind_decode (router, plan.ticket, bound_ms + 900, NULL,
                            bound_ms, &bound);
  beryl_router_release (router, plan.ticket, BERYL_RELEASE_CANCELLED, NULL,
                        bound_ms);
  return plan.verdict;
}

/* Guards against prefilling jobs that are then given up.  Decodes start two
 * seconds later than planned because prefills of other nodes go first; once
 * that delay is learned, jobs with too little time must be refused before
 * their prefill. */
START_TEST (test_bind_delay_is_learned)
{
  int64_t at_ms = NOW;
  beryl_router_set_late_binding (router, true);
  ck_assert_int_eq (run_late (1, at_ms, 6000, 0), BERYL_VERDICT_START);
  for (uint64_t i = 2; i < 60; i++)
    ck_assert_int_eq (run_late (i, at_ms += 10000, 30000, 2000),
                      BERYL_VERDICT_START);
  ck_assert_int_eq (run_late (60, at_ms += 10000, 6000, 0),
                    BERYL_VERDICT_REFUSE);
  ck_assert_int_eq (run_late (61, at_ms + 10000, 30000, 0),
                    BERYL_VERDICT_START);
}
END_TEST

/* A request with a preamble that was just prefilled at one engine must go to
 * the same engine, even before any cache event has arrived. */
START_TEST (test_own_routing_predicts_cache_hits)
{
  struct beryl_plan plan;
  uint64_t blocks[20];
  for (size_t i = 0; i < 20; i++)
    blocks[i] = 1000 + i;
  struct beryl_job job = model_job (1, "north");
  job.prompt_tokens = 2000;
  job.block_hashes = blocks;
  job.block_count = 20;
  beryl_router_plan (router, &job, NOW, &plan);
  const char *first = plan.prefill;
  beryl_router_prefill_done (router, plan.ticket, 0, 80000000, NOW + 200);
  for (uint64_t i = 2; i < 5; i++)
    {
      job.request = i;
      beryl_router_plan (router, &job, NOW + 300 * (int64_t)i, &plan);
      ck_assert_str_eq (plan.prefill, first);
      ck_assert_uint_eq (plan.cached_tokens, 20 * 64);
      beryl_router_prefill_done (router, plan.ticket, 1280, 80000000,
                                 NOW + 300 * (int64_t)i + 100);
    }
}
END_TEST

/* After lost cache events the expected hits of an engine are discounted until
 * its cache has been resynced. */
START_TEST (test_gap_lowers_trust)
{
  struct beryl_plan plan;
  uint64_t block = 99;
  struct beryl_cache_event event = {
    .endpoint = "p1", .sequence = 1, .added = true, .block_hash = block
  };
  beryl_router_cache_event (router, &event, NOW);
  ck_assert (!beryl_router_cache_has_gap (router, "p1"));
  event.sequence = 5;
  event.block_hash = 100;
  beryl_router_cache_event (router, &event, NOW);
  ck_assert (beryl_router_cache_has_gap (router, "p1"));
  struct beryl_job job = model_job (1, "north");
  job.block_hashes = &block;
  job.block_count = 1;
  beryl_router_plan (router, &job, NOW, &plan);
  ck_assert_str_eq (plan.prefill, "p1");
  ck_assert_uint_lt (plan.cached_tokens, 64);
  beryl_router_cache_resync (router, "p1", 5, &block, 1, NOW);
  ck_assert (!beryl_router_cache_has_gap (router, "p1"));
}
END_TEST

/* The configuration changes while calls run: d1 is removed and d3 added.
 * Tickets at d1 must end cleanly, and d3 must get work. */
START_TEST (test_config_change_keeps_tickets)
{
  struct beryl_plan plans[2 * SLOTS], plan;
  for (uint64_t i = 0; i < 2 * SLOTS; i++)
    {
      struct beryl_job job = model_job (i + 1, "north");
      beryl_router_plan (router, &job, NOW, &plans[i]);
    }
  struct fleet_fixture next;
  fleet_fixture_init (&next, SLOTS);
  strcpy (next.endpoints[2].name, "d3");
  beryl_router_set_config (router, &next.config, NOW + 10);
  struct beryl_job job = model_job (10, "north");
  beryl_router_plan (router, &job, NOW + 10, &plan);
  ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
  ck_assert_str_eq (plan.decode, "d3");
  for (size_t i = 0; i < 2 * SLOTS; i++)
    {
      beryl_router_prefill_done (router, plans[i].ticket, 0, 1000, NOW + 100);
      beryl_router_release (router, plans[i].ticket, BERYL_RELEASE_DONE, NULL,
                            NOW + 200);
    }
  beryl_router_release (router, plan.ticket, BERYL_RELEASE_DONE, NULL,
                        NOW + 300);
  for (uint64_t i = 0; i < 2 * SLOTS; i++)
    {
      job.request = 20 + i;
      beryl_router_plan (router, &job, NOW + 400, &plan);
      ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
    }
}
END_TEST

/* Every baseline policy starts jobs at once and releases their tickets. */
START_TEST (test_baselines_start)
{
  const enum beryl_policy policies[]
      = { BERYL_POLICY_RANDOM, BERYL_POLICY_ROUND_ROBIN,
          BERYL_POLICY_LEAST_REPORTED, BERYL_POLICY_TWO_CHOICES };
  for (size_t p = 0; p < 4; p++)
    {
      struct beryl_router *r
          = beryl_router_create ("n1", "dc1", policies[p], 7);
      beryl_router_set_config (r, &fleet.config, NOW);
      for (uint64_t i = 1; i < 20; i++)
        {
          struct beryl_plan plan;
          struct beryl_job job = i % 2 ? model_job (i, "north")
                                       : plain_job (i, BERYL_CLASS_URGENT);
          beryl_router_plan (r, &job, NOW, &plan);
          ck_assert_int_eq (plan.verdict, BERYL_VERDICT_START);
          beryl_router_release (r, plan.ticket, BERYL_RELEASE_DONE, NULL,
                                NOW + 5);
        }
      beryl_router_destroy (r);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("router");
  TCase *tc = tcase_create ("router");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_names);
  tcase_add_test (tc, test_prefix_hash_is_chained);
  tcase_add_test (tc, test_shares_add_up);
  tcase_add_test (tc, test_no_prefill_without_a_slot);
  tcase_add_test (tc, test_long_prefill_backlog_queues_job);
  tcase_add_test (tc, test_refuses_infeasible_deadline);
  tcase_add_test (tc, test_fair_share);
  tcase_add_test (tc, test_rate_limit_returns_retry_time);
  tcase_add_test (tc, test_urgent_passes_long_calls);
  tcase_add_test (tc, test_long_calls_are_refused_early);
  tcase_add_test (tc, test_long_calls_of_all_nodes_leave_headroom);
  tcase_add_test (tc, test_never_ejects_the_last);
  tcase_add_test (tc, test_rebinds_after_refusal);
  tcase_add_test (tc, test_no_decode_past_its_deadline);
  tcase_add_test (tc, test_bind_delay_is_learned);
  tcase_add_test (tc, test_own_routing_predicts_cache_hits);
  tcase_add_test (tc, test_gap_lowers_trust);
  tcase_add_test (tc, test_config_change_keeps_tickets);
  tcase_add_test (tc, test_baselines_start);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
