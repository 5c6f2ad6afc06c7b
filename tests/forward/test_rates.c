#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"
#include "model.h"

/* Endpoints that state a rate limit. */

static struct beryl_rate_limit
per_s (uint32_t number)
{
  return (struct beryl_rate_limit){ .advertised = true,
                                    .millirequests_per_s = 1000 * number };
}

/* ENDPOINT has stated a limit in answers of KIND. */
static void
state_limit (const char *endpoint, enum beryl_exchange_kind kind,
             uint32_t number)
{
  struct beryl_rate_limit limit = per_s (number);

  beryl_limits_observe (beryl_forward_limits (fx.forward),
                        beryl_name_hash (endpoint), 1 + (uint32_t)kind, &limit,
                        fx.now_ms, fx.now_ms);
}

static void
plain_setup (void)
{
  terms = fx_plain_terms ();
  fx_open (&fx, &terms);
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "b", BERYL_STAGE_NONE);
}

static const char *
sent_to (uint64_t request)
{
  return open_of (request, BERYL_EXCHANGE_RUN)->endpoint;
}

static void
answer_with (struct fx_exchange *x, const struct beryl_rate_limit *limit)
{
  struct beryl_answer_head head = { .status = 200, .limit = *limit };

  beryl_forward_answer_head (fx.forward, x->id, &head, fx.now_ms);
  fx_done (&fx, x);
}

/* Guards against a limit in an answer not being used for the next request. */
START_TEST (test_next_request)
{
  struct beryl_rate_limit limit = per_s (1);
  const char *limited;

  fx_arrive (&fx, 1);
  limited = sent_to (1);
  answer_with (open_of (1, BERYL_EXCHANGE_RUN), &limit);
  for (uint64_t i = 2; i < 20; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (sent_to (i), limited);
    }
  fx_pass (&fx, 1500);
  fx_arrive (&fx, 20);
  ck_assert_str_eq (sent_to (20), limited);
}
END_TEST

/* Guards against requests beyond all limits waiting, or being refused without
   a Retry-After. */
START_TEST (test_all_limited)
{
  state_limit ("a", BERYL_EXCHANGE_RUN, 1);
  state_limit ("b", BERYL_EXCHANGE_RUN, 1);
  fx_arrive (&fx, 1);
  ck_assert (answer (1)->refused);
  ck_assert (answer (1)->refusal.not_run);
  ck_assert_int_eq (answer (1)->refusal.reason, BERYL_REFUSAL_LIMITED);
  ck_assert_int_ge (answer (1)->refusal.retry_after_ms, 500);
  fx_pass (&fx, 1100);
  fx_arrive (&fx, 2);
  ck_assert (!answer (2)->refused);
}
END_TEST

/* Guards against requests of peers not being counted. */
START_TEST (test_sends_of_peers)
{
  struct beryl_limits_update news
      = { .node = 9,
          .items = { { .endpoint = beryl_name_hash ("a"),
                       .advertised = true,
                       .answer_kind = 1 + BERYL_EXCHANGE_RUN,
                       .millirequests_per_s = 1000,
                       .sent = 1 } },
          .count = 1 };

  state_limit ("a", BERYL_EXCHANGE_RUN, 1);
  state_limit ("b", BERYL_EXCHANGE_RUN, 1);
  fx_pass (&fx, 1100);
  for (int i = 0; i < 5; i++)
    {
      beryl_forward_peer_limits (fx.forward, &news, fx.now_ms);
      news.items[0].sent++;
    }
  for (uint64_t i = 1; i <= 3; i++)
    {
      fx_arrive (&fx, i);
      if (!answer (i)->refused)
        ck_assert_str_eq (sent_to (i), "b");
    }
}
END_TEST

/* Guards against a node that no peer's reports reach using the whole limit. */
START_TEST (test_unreachable_nodes)
{
  beryl_forward_set_node_count (fx.forward, 10);
  state_limit ("a", BERYL_EXCHANGE_RUN, 1);
  state_limit ("b", BERYL_EXCHANGE_RUN, 1);
  fx_pass (&fx, 5000);
  fx_arrive (&fx, 1);
  ck_assert (answer (1)->refused);
  fx_pass (&fx, 6000);
  fx_arrive (&fx, 2);
  ck_assert (!answer (2)->refused);
}
END_TEST

/* Guards against a limited prefill engine counting as missing, so that decode
   engines prefill prompts and their streams stop. */
START_TEST (test_limited_prefill_engines)
{
  state_limit ("p0", BERYL_EXCHANGE_PREFILL, 1);
  state_limit ("p1", BERYL_EXCHANGE_PREFILL, 1);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "h");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
}
END_TEST

/* Guards against a limited decode engine getting requests that others have
   memory for. */
START_TEST (test_limited_decode_engine)
{
  state_limit ("d0", BERYL_EXCHANGE_RUN, 1);
  for (uint64_t i = 1; i <= 6; i++)
    {
      fx_arrive (&fx, i);
      ck_assert_str_ne (open_of (i, BERYL_EXCHANGE_RESERVE)->endpoint, "d0");
      fx_ok (&fx, open_of (i, BERYL_EXCHANGE_RESERVE), "h");
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limits at a node");
  TCase *plain = tcase_create ("plain");
  TCase *model = tcase_create ("model");

  tcase_add_checked_fixture (plain, plain_setup, model_teardown);
  tcase_add_test (plain, test_next_request);
  tcase_add_test (plain, test_all_limited);
  tcase_add_test (plain, test_sends_of_peers);
  tcase_add_test (plain, test_unreachable_nodes);
  suite_add_tcase (suite, plain);
  tcase_add_checked_fixture (model, model_setup, model_teardown);
  tcase_add_test (model, test_limited_prefill_engines);
  tcase_add_test (model, test_limited_decode_engine);
  suite_add_tcase (suite, model);
  return suite_run (suite);
}
