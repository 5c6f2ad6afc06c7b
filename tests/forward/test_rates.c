#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"
#include "model.h"

/* Endpoints that name a limit. */

static struct beryl_rate_limit
per_s (uint32_t number)
{
  return (struct beryl_rate_limit){ .advertised = true,
                                    .milli_per_s = 1000 * number };
}

/* ENDPOINT has named a limit in answers of KIND. */
static void
name_limit (const char *endpoint, enum beryl_exchange_kind kind,
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

  beryl_forward_head (fx.forward, x->id, &head, fx.now_ms);
  fx_done (&fx, x);
}

/* What the answer names is not used for the next request. */
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

/* Requests beyond all limits wait, or their callers are not told when to come
 * back. */
START_TEST (test_all_limited)
{
  name_limit ("a", BERYL_EXCHANGE_RUN, 1);
  name_limit ("b", BERYL_EXCHANGE_RUN, 1);
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

/* What peers send is not counted. */
START_TEST (test_sends_of_peers)
{
  struct beryl_limits_update news
      = { .node = 9,
          .items = { { .endpoint = beryl_name_hash ("a"),
                       .advertised = true,
                       .answer_kind = 1 + BERYL_EXCHANGE_RUN,
                       .milli_per_s = 1000,
                       .sent = 1 } },
          .count = 1 };

  name_limit ("a", BERYL_EXCHANGE_RUN, 1);
  name_limit ("b", BERYL_EXCHANGE_RUN, 1);
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

/* A node that hears none of many takes the whole limit. */
START_TEST (test_nodes_that_cannot_be_heard)
{
  beryl_forward_set_nodes (fx.forward, 10);
  name_limit ("a", BERYL_EXCHANGE_RUN, 1);
  name_limit ("b", BERYL_EXCHANGE_RUN, 1);
  fx_pass (&fx, 5000);
  fx_arrive (&fx, 1);
  ck_assert (answer (1)->refused);
  fx_pass (&fx, 6000);
  fx_arrive (&fx, 2);
  ck_assert (!answer (2)->refused);
}
END_TEST

/* A limited prefill engine is taken for none: decode engines read prompts and
 * their streams stand still. */
START_TEST (test_limited_prefill_engines)
{
  name_limit ("p0", BERYL_EXCHANGE_PREFILL, 1);
  name_limit ("p1", BERYL_EXCHANGE_PREFILL, 1);
  fx_arrive (&fx, 1);
  fx_ok (&fx, open_of (1, BERYL_EXCHANGE_RESERVE), "h");
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_PREFILL), 0);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
}
END_TEST

/* A limited decode engine gets what the others have room for. */
START_TEST (test_limited_decode_engine)
{
  name_limit ("d0", BERYL_EXCHANGE_RUN, 1);
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
  tcase_add_test (plain, test_nodes_that_cannot_be_heard);
  suite_add_tcase (suite, plain);
  tcase_add_checked_fixture (model, model_setup, model_teardown);
  tcase_add_test (model, test_limited_prefill_engines);
  tcase_add_test (model, test_limited_decode_engine);
  suite_add_tcase (suite, model);
  return suite_run (suite);
}
