#include <check.h>
#include <string.h>

#include "../suite.h"
#include "fixture.h"

#define KEY "key-1"
/* Tokens of a request of the fixture. */
#define REQUEST_TOKENS 3000

static struct fx fx;

static void
configure (double per_s, bool anonymous)
{
  struct beryl_routes *routes = beryl_routes_create (2);
  struct beryl_route_service service
      = { .name = FX_SERVICE, .health_path = "" };
  struct beryl_route_target target = { .weight = 1 };
  struct beryl_route route = fx_plain_terms ().route;
  struct beryl_route_organisation organisation
      = { .name = "org",
          .quota = { .in_tokens = true, .per_s = per_s, .burst = per_s } };

  target.service = beryl_routes_add_service (routes, &service);
  route.targets = &target;
  route.target_count = 1;
  route.anonymous = anonymous;
  beryl_routes_add (routes, &route);
  beryl_routes_add_key (
      routes, beryl_routes_add_organisation (routes, &organisation), KEY);
  routes->authenticates = true;
  ck_assert (beryl_routes_freeze (routes));
  beryl_forward_set_routes (fx.forward, routes);
  beryl_routes_unref (routes);
}

static void
setup (void)
{
  struct fx_terms terms = fx_plain_terms ();

  fx_open (&fx, &terms);
  beryl_forward_set_node_count (fx.forward, 1);
  fx_endpoint (&fx, "a", BERYL_STAGE_NONE);
  fx_endpoint (&fx, "b", BERYL_STAGE_NONE);
  configure (0, false);
}

static void
teardown (void)
{
  fx_close (&fx);
}

static void
arrive (uint64_t number, const char *key, const char *path)
{
  struct beryl_forward_request params = fx_request_params (&fx, number);

  params.key = key;
  params.path = path;
  beryl_forward_submit (fx.forward, &params, fx.now_ms);
}

static const struct beryl_refusal *
refusal (uint64_t number)
{
  ck_assert (fx.answers[number].refused);
  return &fx.answers[number].refusal;
}

START_TEST (test_key_is_known)
{
  arrive (1, KEY, "/x");
  fx_answer (&fx, fx_last (&fx, BERYL_EXCHANGE_RUN), 200, "body");
  ck_assert (fx.answers[1].whole);
}
END_TEST

/* A caller without a valid key must not learn which routes there are. */
START_TEST (test_no_valid_key)
{
  static const char *const keys[] = { NULL, "", "key-2" };
  uint64_t number = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      arrive (++number, keys[i], "/x");
      ck_assert_uint_eq (refusal (number)->status, 401);
      ck_assert_int_eq (refusal (number)->reason,
                        BERYL_REFUSAL_UNAUTHENTICATED);
      arrive (++number, keys[i], "no such path");
      ck_assert_uint_eq (refusal (number)->status, 401);
    }
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 0);
  arrive (++number, KEY, "no such path");
  ck_assert_uint_eq (refusal (number)->status, 404);
}
END_TEST

START_TEST (test_anonymous_route)
{
  configure (0, true);
  arrive (1, NULL, "/x");
  ck_assert_ptr_nonnull (fx_open_of (&fx, 1, BERYL_EXCHANGE_RUN));
  arrive (2, NULL, "no such path");
  ck_assert_uint_eq (refusal (2)->status, 401);
}
END_TEST

/* A key that is taken away binds for the next request; the open one keeps the
 * configuration it began with. */
START_TEST (test_key_is_taken_away)
{
  struct beryl_routes *routes = beryl_routes_create (3);

  arrive (1, KEY, "/x");
  routes->authenticates = true;
  ck_assert (beryl_routes_freeze (routes));
  beryl_forward_set_routes (fx.forward, routes);
  beryl_routes_unref (routes);
  arrive (2, KEY, "/x");
  ck_assert_uint_eq (refusal (2)->status, 401);
  fx_answer (&fx, fx_last (&fx, BERYL_EXCHANGE_RUN), 200, "body");
  ck_assert (fx.answers[1].whole);
}
END_TEST

/* Guards against one organisation that takes all endpoints: what is beyond its
 * quota is refused at once and has not run. */
START_TEST (test_quota_is_used_up)
{
  uint64_t number = 0;

  configure (REQUEST_TOKENS, false);
  arrive (++number, KEY, "/x");
  fx_pass (&fx, 10000);
  do
    {
      ck_assert_uint_lt (number, 10);
      arrive (++number, KEY, "/x");
    }
  while (!fx.answers[number].refused);
  ck_assert_uint_gt (number, 2);
  ck_assert_uint_eq (refusal (number)->status, 429);
  ck_assert_int_eq (refusal (number)->reason, BERYL_REFUSAL_QUOTA);
  ck_assert (refusal (number)->not_run);
  ck_assert_int_gt (refusal (number)->retry_after_ms, 0);
  ck_assert_ptr_nonnull (strstr (fx.log->str, "refuse:quota"));
  fx_pass (&fx, 10000);
  arrive (++number, KEY, "/x");
  ck_assert_ptr_nonnull (fx_open_of (&fx, number, BERYL_EXCHANGE_RUN));
}
END_TEST

/* Guards against requests that no endpoint takes using up the quota. */
START_TEST (test_unsent_requests_do_not_count)
{
  configure (REQUEST_TOKENS, false);
  fx_remove (&fx, "a");
  fx_remove (&fx, "b");
  arrive (1, KEY, "/x");
  fx_pass (&fx, 10000);
  for (uint64_t number = 2; number < 50; number++)
    {
      arrive (number, KEY, "/x");
      ck_assert_uint_eq (refusal (number)->status, 503);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("forward organisations");
  TCase *tcase = tcase_create ("organisations");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_key_is_known);
  tcase_add_test (tcase, test_no_valid_key);
  tcase_add_test (tcase, test_anonymous_route);
  tcase_add_test (tcase, test_key_is_taken_away);
  tcase_add_test (tcase, test_quota_is_used_up);
  tcase_add_test (tcase, test_unsent_requests_do_not_count);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
