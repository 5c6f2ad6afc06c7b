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
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
