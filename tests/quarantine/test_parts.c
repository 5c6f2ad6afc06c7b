#include <check.h>
#include <string.h>

#include "../suite.h"
#include "beryl/quarantine.h"

/* Time that tells two crashes apart. */
#define APART_MS 200
#define NODES 2

struct node
{
  struct beryl_quarantine_owner owner;
  struct beryl_quarantine *quarantine;
};

static struct node nodes[NODES];
static int64_t now_ms;

static void
changed (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
         int64_t left_ms, enum beryl_quarantine_cause cause, int64_t at_ms)
{
}

static const struct beryl_quarantine_owner_impl impl = { .changed = changed };

static void
setup (void)
{
  now_ms = 100000;
  for (int i = 0; i < NODES; i++)
    {
      nodes[i] = (struct node){ .owner = { &impl } };
      nodes[i].quarantine = beryl_quarantine_create (&nodes[i].owner);
    }
}

static void
teardown (void)
{
  for (int i = 0; i < NODES; i++)
    beryl_quarantine_destroy (nodes[i].quarantine);
}

static uint64_t
part (uint64_t number)
{
  return beryl_quarantine_part (number);
}

/* A run on a prompt with the parts FIRST and SECOND breaks off at node N,
 * before it has written, since its endpoint has ended. */
static void
crash (int n, uint64_t first, uint64_t second, uint32_t endpoint)
{
  struct beryl_quarantine *q = nodes[n].quarantine;

  beryl_quarantine_run_broken (q, part (second), endpoint, now_ms);
  beryl_quarantine_run_broken (q, part (first), endpoint, now_ms);
  beryl_quarantine_endpoint_ended (q, endpoint, now_ms);
}

static bool
is_held (int n, uint64_t first, uint64_t second)
{
  uint64_t parts[] = { part (first), part (second) };

  return beryl_quarantine_parts_remaining_ms (nodes[n].quarantine, parts, 2,
                                              now_ms)
         > 0;
}

static void
written (int n, uint64_t number)
{
  beryl_quarantine_run_answered (nodes[n].quarantine, part (number), now_ms);
}

static void
pass (int64_t ms)
{
  now_ms += ms;
  for (int i = 0; i < NODES; i++)
    beryl_quarantine_expire (nodes[i].quarantine, now_ms);
}

static void
send_update (int from, int to)
{
  struct beryl_quarantine_update update;

  beryl_quarantine_build_update (nodes[from].quarantine, &update, true,
                                 now_ms);
  beryl_quarantine_apply_update (nodes[to].quarantine, &update, now_ms);
}

/* Crashes three endpoints, numbered from FROM on. */
static void
crash_three (uint64_t first, uint64_t second, uint32_t from)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      crash (0, first, second, from + i);
      pass (APART_MS);
    }
  pass (400);
}

/* Guards against a part that is sent to a fourth endpoint after it has crashed
 * three, in requests that have nothing else in common. */
START_TEST (test_third_crash_of_part)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      ck_assert (!is_held (0, 100 + i, 7));
      crash (0, 100 + i, 7, 1 + i);
      pass (APART_MS);
    }
  ck_assert (is_held (0, 200, 7));
  pass (400);
  ck_assert (is_held (0, 200, 7));
  ck_assert (!is_held (0, 200, 201));
}
END_TEST

/* Guards against a sound part that is held back because it is in the same
 * requests; also at a node which has not seen it written on. */
START_TEST (test_written_part_is_sound)
{
  written (1, 1);
  written (0, 1);
  crash_three (1, 7, 1);
  ck_assert (is_held (0, 1, 7));
  ck_assert (!is_held (0, 1, 8));
  send_update (0, 1);
  pass (400);
  ck_assert (is_held (1, 1, 7));
  ck_assert (!is_held (1, 1, 8));
}
END_TEST

/* Guards against a node that blames a sound part which its peers know to be
 * sound. */
START_TEST (test_peer_knows_sound_part)
{
  written (1, 1);
  for (uint32_t i = 0; i < 3; i++)
    {
      crash (0, 1, 7, 1 + i);
      send_update (0, 1);
      send_update (1, 0);
      pass (APART_MS);
    }
  pass (400);
  ck_assert (!is_held (0, 1, 8));
  ck_assert (is_held (0, 1, 7));
}
END_TEST

/* Guards against sound parts that are held back with the culprit because no
 * request has had them without it so far. */
START_TEST (test_parts_that_occur_together)
{
  crash_three (1, 7, 1);
  ck_assert (is_held (0, 1, 7));
  ck_assert (!is_held (0, 1, 8));
  written (0, 1);
  ck_assert (!is_held (0, 1, 8));
  ck_assert (is_held (0, 9, 7));
}
END_TEST

/* Guards against a culprit that goes on in requests without the part which was
 * there before: one more crash shows it. */
START_TEST (test_culprit_changes_company)
{
  crash_three (1, 7, 1);
  ck_assert (!is_held (0, 9, 7));
  crash (0, 9, 7, 10);
  ck_assert (is_held (0, 9, 7));
  ck_assert (is_held (0, 10, 7));
}
END_TEST

/* Guards against a sound part that is blamed for a rack which fails while many
 * requests share it. */
START_TEST (test_failing_rack)
{
  for (uint32_t i = 0; i < 10; i++)
    crash (0, 1, 100 + i, 1 + i);
  pass (400);
  ck_assert (!is_held (0, 1, 200));
}
END_TEST

/* Guards against two culprits at once that hide each other. */
START_TEST (test_two_culprits)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      crash (0, 100 + i, 7, 1 + i);
      pass (APART_MS);
      crash (0, 200 + i, 8, 11 + i);
      pass (APART_MS);
    }
  pass (400);
  ck_assert (is_held (0, 300, 7));
  ck_assert (is_held (0, 300, 8));
}
END_TEST

/* Guards against parts that are new with each request and push out a culprit,
 * or take ever more memory. */
START_TEST (test_new_parts_with_each_request)
{
  crash_three (99, 7, 1);
  written (0, 99);
  for (uint32_t i = 0; i < 3000; i++)
    {
      crash (0, 1000 + 2 * i, 1001 + 2 * i, 100 + i);
      pass (10);
    }
  ck_assert (is_held (0, 5, 7));
  ck_assert_uint_le (beryl_quarantine_suspect_count (nodes[0].quarantine)
                         + beryl_quarantine_count (nodes[0].quarantine),
                     512);
}
END_TEST

/* The same of request NUMBER, which is a suspect as well. */
static void
crash_by (int n, uint64_t number, uint64_t first, uint64_t second,
          uint32_t endpoint)
{
  beryl_quarantine_run_broken (nodes[n].quarantine,
                               beryl_quarantine_request (number), endpoint,
                               now_ms);
  crash (n, first, second, endpoint);
}

static bool
may_try (int n, uint64_t first, uint64_t second)
{
  uint64_t parts[] = { part (first), part (second) };

  return beryl_quarantine_try_parts (nodes[n].quarantine, parts, 2, now_ms);
}

/* Guards against sound parts that are held back because one request has them
   and crashes endpoints by itself; also at a node that only hears of it. */
START_TEST (test_one_request_comes_again)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      crash_by (0, 50, 1, 2, 1 + i);
      send_update (0, 1);
      pass (APART_MS);
    }
  pass (400);
  for (int n = 0; n < NODES; n++)
    {
      ck_assert_int_gt (
          beryl_quarantine_remaining_ms (
              nodes[n].quarantine, beryl_quarantine_request (50), now_ms),
          0);
      ck_assert (!is_held (n, 1, 2));
    }
}
END_TEST

/* Guards against the same by two such requests, and against a part that is
   never held back as its requests come again. */
START_TEST (test_requests_come_again)
{
  for (uint32_t i = 0; i < 6; i++)
    {
      crash_by (0, 50 + i / 3, 1, 2, 1 + i);
      pass (APART_MS);
    }
  pass (400);
  ck_assert (!is_held (0, 1, 2));
  crash_by (0, 60, 1, 2, 10);
  pass (400);
  ck_assert (is_held (0, 1, 2));
}
END_TEST

/* Guards against a request that is blamed as it ran beside others at three
   endpoints which a part of theirs has crashed. */
START_TEST (test_neighbour)
{
  for (uint32_t i = 0; i < 4; i++)
    {
      beryl_quarantine_run_broken (
          nodes[0].quarantine, beryl_quarantine_request (40), 1 + i, now_ms);
      crash_by (0, i < 3 ? 50 + i / 2 : 60, 1, 7, 1 + i);
      pass (APART_MS + 400);
      if (i < 3)
        ck_assert_int_eq (
            beryl_quarantine_remaining_ms (
                nodes[0].quarantine, beryl_quarantine_request (40), now_ms),
            0);
    }
}
END_TEST

/* Guards against a sound part that is held back for a day: nothing runs that
   could prove it sound, unless one request is let through. */
START_TEST (test_held_part_is_tried)
{
  crash_three (1, 2, 1);
  send_update (0, 1);
  ck_assert (is_held (0, 1, 2));
  ck_assert (!may_try (0, 1, 2));
  pass (20000);
  ck_assert (may_try (0, 1, 2));
  ck_assert (!may_try (0, 1, 2));
  ck_assert (is_held (0, 1, 2));
  written (0, 1);
  written (0, 2);
  ck_assert (!is_held (0, 1, 2));
  send_update (0, 1);
  ck_assert (!is_held (1, 1, 2));
}
END_TEST

/* Guards against tries that take down one endpoint after the other. */
START_TEST (test_tries_become_rare)
{
  uint32_t tries = 0;

  crash_three (1, 2, 1);
  for (int64_t ms = 0; ms < 3600000; ms += 500)
    {
      pass (500);
      if (!may_try (0, 1, 2))
        continue;
      tries++;
      crash (0, 1, 2, 100 + tries);
      if (ms < 60000)
        ck_assert_uint_le (tries, 2);
    }
  ck_assert_uint_le (tries, 6);
  ck_assert_uint_ge (tries, 2);
}
END_TEST

/* Guards against all nodes of a large fleet trying at the same moment what
   they have read from the records. */
START_TEST (test_fleet_tries_one_after_the_other)
{
  const uint32_t fleet = 400;
  uint32_t due[100] = { 0 };

  for (uint32_t i = 0; i < fleet; i++)
    {
      struct beryl_quarantine_owner owner = { &impl };
      struct beryl_quarantine *q = beryl_quarantine_create (&owner);
      uint64_t parts[] = { part (1) };
      int64_t ms = 0;

      beryl_quarantine_set_fleet (q, fleet, 1000 + i);
      beryl_quarantine_record_read (q, parts[0], 86000000, now_ms);
      while (ms < 5000000
             && !beryl_quarantine_try_parts (q, parts, 1, now_ms + ms))
        ms += 1000;
      ck_assert_int_ge (ms, 40000);
      if (ms / 60000 < 100)
        due[ms / 60000]++;
      beryl_quarantine_destroy (q);
    }
  for (size_t i = 0; i < 100; i++)
    ck_assert_uint_le (due[i], 20);
}
END_TEST

/* Guards against a part that is taken for a request of the same digest. */
START_TEST (test_part_is_no_request)
{
  ck_assert_uint_ne (beryl_quarantine_part (5), beryl_quarantine_request (5));
  ck_assert_uint_ne (beryl_quarantine_request (0), 0);
  crash_three (1, 5, 1);
  ck_assert_int_eq (
      beryl_quarantine_remaining_ms (nodes[0].quarantine,
                                     beryl_quarantine_request (5), now_ms),
      0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quarantine of prompt parts");
  TCase *tcase = tcase_create ("parts");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_third_crash_of_part);
  tcase_add_test (tcase, test_written_part_is_sound);
  tcase_add_test (tcase, test_peer_knows_sound_part);
  tcase_add_test (tcase, test_parts_that_occur_together);
  tcase_add_test (tcase, test_culprit_changes_company);
  tcase_add_test (tcase, test_failing_rack);
  tcase_add_test (tcase, test_two_culprits);
  tcase_add_test (tcase, test_new_parts_with_each_request);
  tcase_add_test (tcase, test_part_is_no_request);
  tcase_add_test (tcase, test_one_request_comes_again);
  tcase_add_test (tcase, test_requests_come_again);
  tcase_add_test (tcase, test_neighbour);
  tcase_add_test (tcase, test_held_part_is_tried);
  tcase_add_test (tcase, test_tries_become_rare);
  tcase_add_test (tcase, test_fleet_tries_one_after_the_other);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
