#include "../suite.h"
#include "beryl/relay.h"

#define LEAVE_MS 4000
#define SPACING_MS 400

static struct beryl_relay *
create_relay (uint32_t nodes, bool elected)
{
  struct beryl_relay *relay = beryl_relay_create (LEAVE_MS);

  beryl_relay_set_nodes (relay, nodes, elected);
  return relay;
}

/* In a small data centre relaying saves nothing, so all nodes watch. */
START_TEST (test_small_data_centre)
{
  struct beryl_relay *relay = create_relay (3, false);

  beryl_relay_note_update (relay, 1000);
  ck_assert_int_eq (beryl_relay_role (relay, 1000), BERYL_RELAY_STANDALONE);
  beryl_relay_set_nodes (relay, 3, true);
  ck_assert_int_eq (beryl_relay_role (relay, 1000), BERYL_RELAY_STANDALONE);
  beryl_relay_destroy (relay);
}
END_TEST

/* Guards against a node that stops watching before any watcher relays to it.
 */
START_TEST (test_not_fed_yet)
{
  struct beryl_relay *relay = create_relay (50, false);

  ck_assert_int_eq (beryl_relay_role (relay, 0), BERYL_RELAY_STANDALONE);
  ck_assert_int_eq (beryl_relay_role (relay, 10), BERYL_RELAY_STANDALONE);
  beryl_relay_note_update (relay, 10);
  ck_assert_int_eq (beryl_relay_role (relay, 10), BERYL_RELAY_FOLLOWER);
  beryl_relay_set_nodes (relay, 50, true);
  ck_assert_int_eq (beryl_relay_role (relay, 10), BERYL_RELAY_WATCHER);
  beryl_relay_destroy (relay);
}
END_TEST

/* Guards against using an endpoint that has left while the watchers are cut
 * off: a follower must watch by itself within half of the bound. */
START_TEST (test_silent_watchers)
{
  struct beryl_relay *relay = create_relay (50, false);

  beryl_relay_note_update (relay, 1000);
  ck_assert_int_eq (beryl_relay_role (relay, 1000 + LEAVE_MS / 2),
                    BERYL_RELAY_STANDALONE);
  beryl_relay_note_update (relay, 9000);
  ck_assert_int_eq (beryl_relay_role (relay, 9000), BERYL_RELAY_FOLLOWER);
  beryl_relay_destroy (relay);
}
END_TEST

/* Guards against followers that watch by themselves whenever one of two
 * watchers is late by a fraction of its interval. */
START_TEST (test_poll_timeout_within_silence)
{
  for (int64_t leave_ms = 1000; leave_ms <= 8000; leave_ms += 500)
    {
      struct beryl_relay *relay = beryl_relay_create (leave_ms);
      int64_t interval_ms
          = beryl_relay_poll_timeout_ms (relay, SPACING_MS) + SPACING_MS;

      beryl_relay_set_nodes (relay, 50, false);
      beryl_relay_note_update (relay, 1000);
      if (leave_ms >= 2000)
        ck_assert_int_eq (beryl_relay_role (relay, 1000 + interval_ms),
                          BERYL_RELAY_FOLLOWER);
      ck_assert_int_gt (beryl_relay_poll_timeout_ms (relay, SPACING_MS), 0);
      beryl_relay_destroy (relay);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay");
  TCase *tcase = tcase_create ("relay");

  tcase_add_test (tcase, test_small_data_centre);
  tcase_add_test (tcase, test_not_fed_yet);
  tcase_add_test (tcase, test_silent_watchers);
  tcase_add_test (tcase, test_poll_timeout_within_silence);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
