#include <check.h>
#include <string.h>

#include "../suite.h"
#include "beryl/live.h"

#define LEAVE_MS 5000

static struct beryl_live_endpoint *
put (struct beryl_live_set *set, const char *id, uint64_t revision,
     bool leaving)
{
  struct beryl_live_info info
      = { .service = "s", .revision = revision, .leaving = leaving };

  strcpy (info.id, id);
  return beryl_live_set_put (set, &info, 0);
}

/* Updates may arrive twice and out of order, from the store and from peers. */
START_TEST (test_live_older_update)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);

  put (set, "a", 5, true);
  put (set, "a", 4, false);
  ck_assert (beryl_live_set_find (set, "a")->info.leaving);
  put (set, "a", 6, false);
  ck_assert (!beryl_live_set_find (set, "a")->info.leaving);
  ck_assert_uint_eq (beryl_live_set_count (set), 1);
  beryl_live_set_destroy (set);
}
END_TEST

/* An endpoint that left while it has open exchanges stays known until they
   end, since they refer to it. */
START_TEST (test_live_gone_with_work)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);
  struct beryl_live_endpoint *live = put (set, "a", 1, false);

  beryl_live_set_synced (set, 1000);
  beryl_live_open (live);
  beryl_live_set_remove (set, "a", 1000);
  ck_assert (!beryl_live_accepts_work (live));
  ck_assert_ptr_eq (beryl_live_set_find (set, "a"), live);
  beryl_live_close (set, live);
  ck_assert_ptr_null (beryl_live_set_find (set, "a"));
  beryl_live_set_destroy (set);
}
END_TEST

/* After an outage of the store that was longer than its entries' lifetime all
   entries had lapsed, and every request was refused although the endpoints
   were healthy. Entries are kept for less than the time after which an
   endpoint that left must get no more work. */
START_TEST (test_live_lapses)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);

  put (set, "a", 1, false);
  put (set, "b", 1, false);
  put (set, "leaving", 1, true);
  beryl_live_set_synced (set, 1000);
  beryl_live_set_remove (set, "a", 21000);
  beryl_live_set_remove (set, "leaving", 21000);
  beryl_live_set_remove (set, "b", 22000);
  ck_assert (beryl_live_accepts_work (beryl_live_set_find (set, "a")));
  ck_assert (beryl_live_accepts_work (beryl_live_set_find (set, "b")));
  ck_assert_ptr_null (beryl_live_set_find (set, "leaving"));
  put (set, "b", 9, false);
  ck_assert (!beryl_live_set_expire (set, 21000 + LEAVE_MS / 2));
  ck_assert (beryl_live_set_expire (set, 21000 + LEAVE_MS));
  ck_assert_ptr_null (beryl_live_set_find (set, "a"));
  ck_assert (beryl_live_accepts_work (beryl_live_set_find (set, "b")));
  beryl_live_set_destroy (set);
}
END_TEST

/* Engines died during an outage of the store. Their lapsed entries were kept
   like those of healthy engines, and requests spent half of their time on
   reservation calls to them. An endpoint that is not listed and has failed
   gets no more work unless it is listed again. */
START_TEST (test_live_lapsed_and_failed)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);
  struct beryl_live_endpoint *dead, *healthy;

  put (set, "dead", 1, false);
  put (set, "healthy", 1, false);
  beryl_live_set_synced (set, 1000);
  dead = beryl_live_set_find (set, "dead");
  healthy = beryl_live_set_find (set, "healthy");
  beryl_live_record_outcome (dead, BERYL_LIVE_TIMED_OUT, 150, 18000);
  ck_assert (beryl_live_probe_due (dead, 21000));
  beryl_live_set_remove (set, "dead", 21000);
  beryl_live_set_remove (set, "healthy", 21000);
  ck_assert (beryl_live_avoided (dead, 21500));
  ck_assert (!beryl_live_probe_due (dead, 21500));
  ck_assert (!beryl_live_avoided (healthy, 21500));
  put (set, "dead", 9, false);
  ck_assert (!beryl_live_avoided (dead, 21600));
  ck_assert (beryl_live_probe_due (dead, 21600));
  beryl_live_set_destroy (set);
}
END_TEST

/* A removal without an outage before it takes effect at once. */
START_TEST (test_live_leaves)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);

  put (set, "a", 1, false);
  beryl_live_set_synced (set, 1000);
  beryl_live_set_remove (set, "a", 2500);
  ck_assert_ptr_null (beryl_live_set_find (set, "a"));
  beryl_live_set_destroy (set);
}
END_TEST

START_TEST (test_live_avoided)
{
  struct beryl_live_set *set = beryl_live_set_create (LEAVE_MS);
  struct beryl_live_endpoint *live = put (set, "a", 1, false);

  beryl_live_record_outcome (live, BERYL_LIVE_BROKEN, 5, 1000);
  ck_assert (!beryl_live_avoided (live, 1000));
  ck_assert (!beryl_live_probe_due (live, 1400));
  ck_assert (beryl_live_probe_due (live, 1600));
  beryl_live_record_outcome (live, BERYL_LIVE_BROKEN, 5, 1600);
  ck_assert (beryl_live_avoided (live, 1700));
  for (int i = 0; i < 3; i++)
    beryl_live_record_outcome (live, BERYL_LIVE_ANSWERED, 5, 1800);
  ck_assert (!beryl_live_avoided (live, 1800));
  beryl_live_record_outcome (live, BERYL_LIVE_TIMED_OUT, 300, 2000);
  ck_assert (beryl_live_avoided (live, 2001));
  beryl_live_set_destroy (set);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("endpoints that live");
  TCase *tcase = tcase_create ("live");

  tcase_add_test (tcase, test_live_older_update);
  tcase_add_test (tcase, test_live_gone_with_work);
  tcase_add_test (tcase, test_live_lapses);
  tcase_add_test (tcase, test_live_lapsed_and_failed);
  tcase_add_test (tcase, test_live_leaves);
  tcase_add_test (tcase, test_live_avoided);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
