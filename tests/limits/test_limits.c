#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../suite.h"
#include "beryl/limits.h"

#define ENDPOINT 7
#define KIND 1
#define NODES_MAX 400
/* Delay until a node sends its changes, and network latency. */
#define SEND_DELAY_MS 20
#define LATENCY_MS 8
#define WINDOW_MS 4000
#define RUN_MS 24000
#define SENDS_MAX 20000
#define QUEUE_MAX 65536

/* Simulated nodes that send to one endpoint with a rate limit. */
struct fleet
{
  struct beryl_limits *nodes[NODES_MAX];
  uint32_t count;
  struct beryl_limit_cluster cluster;
  double loss;           /* fraction of the datagrams lost */
  uint32_t partition_at; /* nodes from this index on reach only each other */
  int64_t send_due_ms[NODES_MAX]; /* 0: nothing to send */
  struct
  {
    int64_t at_ms;
    uint32_t from;
    struct beryl_limits_update update;
  } queue[QUEUE_MAX];
  uint32_t queue_first, queue_end;
  int64_t sends[SENDS_MAX];
  uint32_t send_count;
};

static struct fleet fleet;
static uint64_t random_state;
static int64_t now_ms;

static double
chance (void)
{
  uint64_t z = random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (double)((z ^ (z >> 31)) >> 11) / (double)(UINT64_C (1) << 53);
}

static void
setup (void)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.cluster.reachable_fraction = 1;
  fleet.partition_at = NODES_MAX;
  now_ms = 100000;
  random_state = 1;
}

static void
teardown (void)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    beryl_limits_destroy (fleet.nodes[i]);
}

static void
observe (uint32_t node, double per_s, int64_t sent_ms)
{
  struct beryl_rate_limit limit
      = { .advertised = per_s >= 0,
          .millirequests_per_s = per_s >= 0 ? (uint32_t)(per_s * 1000) : 0 };

  beryl_limits_observe (fleet.nodes[node], ENDPOINT, KIND, &limit, sent_ms,
                        now_ms);
}

static void
open_fleet (uint32_t count, double per_s)
{
  fleet.count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      fleet.nodes[i] = beryl_limits_create ();
      observe (i, per_s, now_ms);
    }
}

static bool
allowed (uint32_t node)
{
  return beryl_limits_allow (fleet.nodes[node], ENDPOINT, &fleet.cluster,
                             chance (), now_ms);
}

static void
send_one (uint32_t node)
{
  beryl_limits_record_send (fleet.nodes[node], ENDPOINT, &fleet.cluster,
                            now_ms);
  ck_assert_uint_lt (fleet.send_count, SENDS_MAX);
  fleet.sends[fleet.send_count++] = now_ms;
}

static void
send_update (uint32_t node)
{
  struct beryl_limits_update update = { .node = node + 1 };

  if (!beryl_limits_build_update (fleet.nodes[node], &update, false, now_ms))
    return;
  fleet.queue[fleet.queue_end % QUEUE_MAX].at_ms = now_ms + LATENCY_MS;
  fleet.queue[fleet.queue_end % QUEUE_MAX].from = node;
  fleet.queue[fleet.queue_end++ % QUEUE_MAX].update = update;
}

static void
deliver (void)
{
  while (fleet.queue_first != fleet.queue_end
         && fleet.queue[fleet.queue_first % QUEUE_MAX].at_ms <= now_ms)
    {
      uint32_t at = fleet.queue_first++ % QUEUE_MAX;
      uint32_t from = fleet.queue[at].from;

      for (uint32_t i = 0; i < fleet.count; i++)
        if (i != from
            && (i < fleet.partition_at) == (from < fleet.partition_at)
            && chance () >= fleet.loss)
          beryl_limits_apply_update (fleet.nodes[i], &fleet.queue[at].update,
                                     &fleet.cluster, now_ms);
    }
}

/* Simulates PER_S requests per second that arrive at random nodes, and sends
 * those that are allowed. */
static void
simulate (double per_s)
{
  int64_t end_ms = now_ms + RUN_MS;

  fleet.cluster.competing_requests
      = per_s * (SEND_DELAY_MS + LATENCY_MS) / 1000;
  for (; now_ms < end_ms; now_ms++)
    {
      deliver ();
      for (double left = per_s / 1000; left > 0; left--)
        {
          uint32_t node = (uint32_t)(chance () * fleet.count);

          if (chance () < left && allowed (node))
            send_one (node);
        }
      for (uint32_t i = 0; i < fleet.count; i++)
        if (fleet.send_due_ms[i] != 0 && now_ms >= fleet.send_due_ms[i])
          {
            fleet.send_due_ms[i] = 0;
            send_update (i);
          }
        else if (fleet.send_due_ms[i] == 0
                 && beryl_limits_has_changes (fleet.nodes[i]))
          fleet.send_due_ms[i] = now_ms + SEND_DELAY_MS;
    }
}

static uint32_t
max_in_window (void)
{
  uint32_t max = 0;

  for (uint32_t first = 0, last = 0; last < fleet.send_count; last++)
    {
      while (fleet.sends[last] - fleet.sends[first] >= WINDOW_MS)
        first++;
      if (last - first + 1 > max)
        max = last - first + 1;
    }
  return max;
}

static void
assert_limit_kept (double per_s)
{
  ck_assert_msg (max_in_window () <= 1.5 * per_s * WINDOW_MS / 1000 + 5,
                 "%u sends in one window, %u in total", max_in_window (),
                 fleet.send_count);
}

static void
assert_capacity_used (double per_s, double fraction)
{
  ck_assert_msg (fleet.send_count >= fraction * per_s * RUN_MS / 1000,
                 "only %u sends", fleet.send_count);
}

static const double rates[] = { 0.5, 3.8, 8.8, 40 };
#define RATES 4

/* Guards against nodes that each use the full limit. */
START_TEST (test_small_fleet)
{
  open_fleet (8, rates[_i]);
  simulate (60);
  assert_limit_kept (rates[_i]);
  if (rates[_i] < 10)
    assert_capacity_used (rates[_i], 0.7);
}
END_TEST

/* Guards against overload when many nodes see the same token at the same
 * moment, and against starvation when each node's share is too small to send
 * anything. */
START_TEST (test_large_fleet)
{
  open_fleet (NODES_MAX, rates[_i]);
  simulate (500);
  assert_limit_kept (rates[_i]);
  assert_capacity_used (rates[_i], 0.6);
}
END_TEST

/* Guards against throttling at a load well below the limit. */
START_TEST (test_light_load)
{
  open_fleet (8, 8.8);
  simulate (4);
  assert_capacity_used (4, 0.8);
}
END_TEST

/* Guards against exceeding the limit when datagrams are lost. */
START_TEST (test_lost_datagrams)
{
  open_fleet (8, rates[_i]);
  fleet.loss = 0.05;
  simulate (60);
  assert_limit_kept (rates[_i]);
}
END_TEST

/* Guards against both sides of a network partition using the full limit. */
START_TEST (test_partition)
{
  open_fleet (8, rates[_i]);
  fleet.partition_at = 4;
  fleet.cluster.reachable_fraction = 0.5;
  simulate (60);
  assert_limit_kept (rates[_i]);
}
END_TEST

/* Guards against a node that ignores a limit because it has had no answer from
 * the endpoint itself. */
START_TEST (test_told_by_peers)
{
  struct beryl_limits_update update = { .node = 1 };

  open_fleet (1, 3);
  fleet.nodes[fleet.count++] = beryl_limits_create ();
  now_ms += 10;
  ck_assert (
      beryl_limits_build_update (fleet.nodes[0], &update, true, now_ms));
  beryl_limits_apply_update (fleet.nodes[1], &update, &fleet.cluster, now_ms);
  ck_assert (beryl_limits_get (fleet.nodes[1], ENDPOINT).advertised);
  ck_assert (!allowed (1));
}
END_TEST

/* Guards against a removed limit being restored by peers whose last answer is
 * older. */
START_TEST (test_limit_ends)
{
  struct beryl_limits_update old = { .node = 1 }, new = { .node = 2 };

  open_fleet (2, 3);
  now_ms += 100;
  observe (0, 3, now_ms - 50);
  beryl_limits_build_update (fleet.nodes[0], &old, true, now_ms);
  now_ms += 10;
  observe (1, -1, now_ms - 5);
  ck_assert (!beryl_limits_get (fleet.nodes[1], ENDPOINT).advertised);
  old.items[0].age_ms += 10;
  beryl_limits_apply_update (fleet.nodes[1], &old, &fleet.cluster, now_ms);
  ck_assert (!beryl_limits_get (fleet.nodes[1], ENDPOINT).advertised);
  beryl_limits_build_update (fleet.nodes[1], &new, true, now_ms);
  beryl_limits_apply_update (fleet.nodes[0], &new, &fleet.cluster, now_ms);
  ck_assert (!beryl_limits_get (fleet.nodes[0], ENDPOINT).advertised);
  ck_assert (allowed (0));
}
END_TEST

/* Guards against a limit being removed by a late answer to a request sent
 * before the limit was first advertised. */
START_TEST (test_late_answer)
{
  open_fleet (1, 3);
  now_ms += 20;
  observe (0, -1, now_ms - 100);
  ck_assert (beryl_limits_get (fleet.nodes[0], ENDPOINT).advertised);
}
END_TEST

/* Guards against a limit being removed by an answer of a kind that never
 * carries limits. */
START_TEST (test_other_kind_of_answer)
{
  struct beryl_rate_limit none = { 0 };

  open_fleet (1, 3);
  now_ms += 100;
  beryl_limits_observe (fleet.nodes[0], ENDPOINT, KIND + 1, &none, now_ms - 5,
                        now_ms);
  ck_assert (beryl_limits_get (fleet.nodes[0], ENDPOINT).advertised);
}
END_TEST

/* Guards against a limit of zero lasting forever because no request gets the
 * answer that would raise it. */
START_TEST (test_zero)
{
  open_fleet (8, 0);
  simulate (60);
  ck_assert_uint_ge (fleet.send_count, 1);
  ck_assert_uint_le (max_in_window (), 5);
}
END_TEST

/* Guards against unbounded memory as endpoints come and go. */
START_TEST (test_many_endpoints)
{
  struct beryl_rate_limit limit
      = { .advertised = true, .millirequests_per_s = 1000 };

  open_fleet (1, 3);
  for (uint32_t i = 100; i < 1100; i++)
    {
      now_ms++;
      beryl_limits_observe (fleet.nodes[0], i, KIND, &limit, now_ms, now_ms);
    }
  ck_assert_uint_le (beryl_limits_count (fleet.nodes[0]), 128);
  ck_assert (beryl_limits_get (fleet.nodes[0], 1099).advertised);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limits");
  TCase *tcase = tcase_create ("limits");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_small_fleet, 0, RATES);
  tcase_add_loop_test (tcase, test_large_fleet, 0, RATES);
  tcase_add_test (tcase, test_light_load);
  tcase_add_loop_test (tcase, test_lost_datagrams, 0, RATES);
  tcase_add_loop_test (tcase, test_partition, 0, RATES);
  tcase_add_test (tcase, test_told_by_peers);
  tcase_add_test (tcase, test_limit_ends);
  tcase_add_test (tcase, test_late_answer);
  tcase_add_test (tcase, test_other_kind_of_answer);
  tcase_add_test (tcase, test_zero);
  tcase_add_test (tcase, test_many_endpoints);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
