#include "../suite.h"
#include "beryl/announce.h"

/* Announcements that one node makes while its runs change periodically. */
struct sent
{
  uint32_t local;
  uint32_t remote;
  int64_t max_remote_gap_ms; /* between announcements to all peers */
};

#define DURATION_MS 60000
#define CHECK_MS 100
/* Changes every 100 ms are batched until the interval has passed. */
#define MAX_REMOTE_GAP_MS 300

static struct sent
announce_for (uint32_t local_count, uint32_t remote_count, int64_t change_ms)
{
  struct beryl_announce a
      = { .local_count = local_count, .remote_count = remote_count };
  struct sent sent = { 0 };

  for (int64_t now_ms = 10; now_ms < DURATION_MS; now_ms += 10)
    {
      bool changed = change_ms != 0 && now_ms % change_ms == 0;
      bool checks = now_ms % CHECK_MS == 0;
      bool remote = beryl_announce_includes_remote (&a, now_ms);

      if (!changed && !(checks && beryl_announce_due (&a, now_ms)))
        continue;
      if (remote && now_ms - a.announced_remote_ms > sent.max_remote_gap_ms)
        sent.max_remote_gap_ms = now_ms - a.announced_remote_ms;
      sent.local++;
      sent.remote += remote;
      beryl_announce_done (&a, remote, now_ms);
    }
  return sent;
}

/* Guards against overcommitted engines in a large fleet: at peak load nodes of
 * other data centres use them too, and must know what runs there. */
START_TEST (test_peak_in_a_large_fleet)
{
  ck_assert_int_le (announce_for (17, 83, 100).max_remote_gap_ms,
                    MAX_REMOTE_GAP_MS);
  ck_assert_int_le (announce_for (49, 246, 100).max_remote_gap_ms,
                    MAX_REMOTE_GAP_MS);
  ck_assert_int_le (announce_for (40, 360, 100).max_remote_gap_ms,
                    MAX_REMOTE_GAP_MS);
  /* Not every change is sent to every peer. */
  ck_assert_uint_le (announce_for (49, 246, 10).remote, DURATION_MS / 250);
}
END_TEST

/* Guards against delayed announcements to peers of the own data centre. */
START_TEST (test_local_peers_are_told_at_once)
{
  ck_assert_uint_ge (announce_for (49, 246, 100).local, DURATION_MS / 100 - 1);
}
END_TEST

/* Guards against remote peers that never learn of the last change. */
START_TEST (test_last_change_reaches_all)
{
  struct beryl_announce a = { .local_count = 49, .remote_count = 246 };

  beryl_announce_done (&a, true, 1000);
  ck_assert (!beryl_announce_includes_remote (&a, 1100));
  beryl_announce_done (&a, false, 1100);
  ck_assert (!beryl_announce_due (&a, 1200));
  ck_assert (beryl_announce_due (&a, 1250));
  ck_assert (beryl_announce_includes_remote (&a, 1250));
  beryl_announce_done (&a, true, 1250);
  ck_assert (!beryl_announce_due (&a, 3500));
}
END_TEST

/* Guards against missing or excessive heartbeats: an idle fleet sends them
 * twice a second if small, less often if large. */
START_TEST (test_heartbeats)
{
  struct beryl_announce small = { .local_count = 3, .remote_count = 4 };

  ck_assert_int_eq (beryl_announce_heartbeat_ms (&small), 500);
  ck_assert_uint_ge (announce_for (3, 4, 0).remote, DURATION_MS / 600);
  ck_assert_uint_le (announce_for (49, 246, 0).remote, DURATION_MS / 2900);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("announce");
  TCase *tcase = tcase_create ("announce");

  tcase_add_test (tcase, test_peak_in_a_large_fleet);
  tcase_add_test (tcase, test_local_peers_are_told_at_once);
  tcase_add_test (tcase, test_last_change_reaches_all);
  tcase_add_test (tcase, test_heartbeats);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
