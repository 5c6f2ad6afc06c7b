#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "beryl/holds.h"
#include "../suite.h"

#define DEAD 40

/* A reported window covers later holds without a message.  A hold that it does
 * not cover must be reported before it is created, or the engine's memory
 * leaks if the process dies at that moment. */
START_TEST (window_is_reported_before_it_is_exceeded)
{
  struct beryl_hold_windows *windows = beryl_hold_windows_create (7);
  const struct beryl_hold_window *reported;
  uint64_t messages = 0;

  for (uint64_t counter = 1; counter <= 5000; counter++)
    {
      if (beryl_hold_windows_record (windows, "e1", counter))
        messages++;
      reported = beryl_hold_windows_get (windows, "e1");
      ck_assert (reported->from <= counter && counter <= reported->to);
      if (counter > 20)
        beryl_hold_windows_erase (windows, "e1", counter - 20);
    }
  ck_assert_uint_lt (messages, 25);
  beryl_hold_windows_destroy (windows);
}
END_TEST

START_TEST (windows_shrink_to_held_streams)
{
  struct beryl_hold_windows *windows = beryl_hold_windows_create (7);
  struct beryl_hold_window out[4];

  ck_assert (beryl_hold_windows_record (windows, "e1", 3));
  ck_assert (!beryl_hold_windows_record (windows, "e1", 9));
  beryl_hold_windows_erase (windows, "e1", 3);
  ck_assert_uint_eq (beryl_hold_windows_shrink (windows, out, 4), 1);
  ck_assert_uint_eq (out[0].from, 9);
  ck_assert_uint_eq (beryl_hold_windows_shrink (windows, out, 4), 0);
  beryl_hold_windows_erase (windows, "e1", 9);
  ck_assert_uint_eq (beryl_hold_windows_shrink (windows, out, 4), 1);
  ck_assert_uint_lt (out[0].to, out[0].from);
  ck_assert (beryl_hold_windows_record (windows, "e1", 10));
  ck_assert_uint_eq (beryl_hold_windows_list (windows, out, 4), 1);
  ck_assert_uint_eq (out[0].from, 10);
  beryl_hold_windows_destroy (windows);
}
END_TEST

/* A region is isolated: its nodes are not heard, but the platform lists them.
 * Cancelling their streams would cut off callers that they still serve. */
START_TEST (isolated_node_is_not_dead)
{
  struct beryl_death_evidence evidence = {
    .incarnation = DEAD,
    .list_current = true,
    .listed = true,
  };

  ck_assert_int_eq (beryl_death_evaluate (&evidence, 3600000),
                    BERYL_DEATH_NONE);
}
END_TEST

/* A lagging list misses a live node for a while, but other nodes hear it. */
START_TEST (missing_from_a_lagging_list_is_not_dead)
{
  struct beryl_death_evidence evidence = {
    .incarnation = DEAD,
    .list_current = true,
    .delisted_ms = 1000,
    .last_heard_ms = 59000,
  };

  ck_assert_int_eq (beryl_death_evaluate (&evidence, 60000), BERYL_DEATH_NONE);
  evidence.last_heard_ms = 1000;
  ck_assert_int_eq (beryl_death_evaluate (&evidence, 60000),
                    BERYL_DEATH_DELISTED);
  evidence.list_current = false;
  ck_assert_int_eq (beryl_death_evaluate (&evidence, 60000), BERYL_DEATH_NONE);
}
END_TEST

START_TEST (proofs_of_death)
{
  struct beryl_death_evidence evidence = {
    .incarnation = DEAD,
    .address_incarnation = DEAD,
    .link_broken = true,
    .link_broken_ms = 100,
  };

  ck_assert_int_eq (beryl_death_evaluate (&evidence, 200), BERYL_DEATH_NONE);
  ck_assert_int_eq (beryl_death_evaluate (&evidence, 600),
                    BERYL_DEATH_LINK_BROKEN);
  evidence.address_incarnation = DEAD + 1;
  ck_assert_int_eq (beryl_death_evaluate (&evidence, 200),
                    BERYL_DEATH_NEWER_INCARNATION);
}
END_TEST

/* A process dies right after it sent a prefill.  The first cancel reaches the
 * engine before the prefill and is confirmed with nothing held; without a
 * second cancel the prefill's memory would leak. */
START_TEST (early_confirmation_is_not_final)
{
  struct beryl_hold_cleanup *cleanup = beryl_hold_cleanup_create ();
  struct beryl_hold_window window = { "e1", DEAD, 1, 20 }, due;

  ck_assert (beryl_hold_cleanup_add (cleanup, &window, 0));
  ck_assert (beryl_hold_cleanup_take_due (cleanup, &due, 0));
  ck_assert (!beryl_hold_cleanup_take_due (cleanup, &due, 0));
  ck_assert (!beryl_hold_cleanup_on_reply (cleanup, "e1", DEAD, 0, 5));
  ck_assert_int_eq (beryl_hold_cleanup_next_ms (cleanup), 300);
  ck_assert (beryl_hold_cleanup_take_due (cleanup, &due, 300));
  ck_assert_str_eq (due.endpoint, "e1");
  ck_assert_uint_eq (due.to, 20);
  ck_assert (beryl_hold_cleanup_on_reply (cleanup, "e1", DEAD, 0, 305));
  ck_assert_uint_eq (beryl_hold_cleanup_count (cleanup), 0);
  beryl_hold_cleanup_destroy (cleanup);
}
END_TEST

/* An engine does not reply for a while, then reports that it still holds some
 * streams: the cancel is repeated until nothing is held or the engine is
 * removed. */
START_TEST (cancel_is_repeated_until_nothing_is_held)
{
  struct beryl_hold_cleanup *cleanup = beryl_hold_cleanup_create ();
  struct beryl_hold_window window = { "e1", DEAD, 1, 20 }, due;
  int tries = 0;

  beryl_hold_cleanup_add (cleanup, &window, 0);
  for (int64_t now_ms = 0; now_ms < 10000; now_ms++)
    if (beryl_hold_cleanup_take_due (cleanup, &due, now_ms))
      tries++;
  ck_assert_int_ge (tries, 6);
  ck_assert (!beryl_hold_cleanup_on_reply (cleanup, "e1", DEAD, 2, 10000));
  ck_assert_uint_eq (beryl_hold_cleanup_count (cleanup), 1);
  beryl_hold_cleanup_remove_endpoint (cleanup, "e1");
  ck_assert_uint_eq (beryl_hold_cleanup_count (cleanup), 0);
  ck_assert_int_eq (beryl_hold_cleanup_next_ms (cleanup), BERYL_NEVER_MS);
  beryl_hold_cleanup_destroy (cleanup);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("holds");
  TCase *tcase = tcase_create ("holds");

  tcase_add_test (tcase, window_is_reported_before_it_is_exceeded);
  tcase_add_test (tcase, windows_shrink_to_held_streams);
  tcase_add_test (tcase, isolated_node_is_not_dead);
  tcase_add_test (tcase, missing_from_a_lagging_list_is_not_dead);
  tcase_add_test (tcase, proofs_of_death);
  tcase_add_test (tcase, early_confirmation_is_not_final);
  tcase_add_test (tcase, cancel_is_repeated_until_nothing_is_held);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
