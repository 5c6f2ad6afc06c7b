/* Quotas in simulated fleets, against a count of all that was sent: the
 * bound that the fleet must keep to in every window, and the part of a
 * quota that can be used. */
#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../libberyl/base/random.h"
#include "../suite.h"
#include "beryl/quotas.h"

#define ORGANISATION 7
#define NODES_MAX 400
#define STEP_MS 10
#define START_MS 100000
/* Interval of the reports of a node with changes, and of one at rest. */
#define REPORT_MS 250
#define HEARTBEAT_MIN_MS 500
#define HEARTBEAT_PER_NODE_MS 10
/* Window, overrun and slack that the bound allows. */
#define WINDOW_MS 8000
#define OVERRUN 0.1
#define SLACK 120000.0
#define SLACK_NODES 78
/* Costs of a plain request and of a generation, and the part of the latter. */
#define PLAIN_TOKENS 200
#define PROMPT_TOKENS 3200
#define GENERATIONS 0.15
#define MEAN_COST                                                             \
  (GENERATIONS * PROMPT_TOKENS + (1 - GENERATIONS) * PLAIN_TOKENS)
#define STEPS_MAX 6000
/* Random histories; BERYL_TEST_HISTORIES asks for another number, and
 * BERYL_TEST_PRINT for the figures. */
#define HISTORIES 40

struct node
{
  struct beryl_quotas *quotas;
  uint64_t incarnation;
  uint32_t group; /* nodes of one group hear each other */
  bool running;
  bool changed;
  int64_t reported_ms;
  int64_t heartbeat_ms; /* until the next report of a node at rest */
  double demand;        /* tokens per second */
  struct beryl_quota_report report;
  bool reports; /* in this step */
};

struct fleet
{
  struct node nodes[NODES_MAX];
  uint32_t count;
  struct beryl_quota quota;
  double slack;
  double loss; /* fraction of the datagrams lost */
  double sent[STEPS_MAX];
  uint32_t step;
};

static struct fleet fleet;
static uint64_t random_state;

static double
chance (void)
{
  return random_unit (&random_state);
}

static uint32_t
pick (uint32_t count)
{
  return (uint32_t)(chance () * count);
}

static int64_t
now_ms (void)
{
  return START_MS + (int64_t)fleet.step * STEP_MS;
}

static int64_t
heartbeat_ms (void)
{
  int64_t interval_ms = (int64_t)fleet.count * HEARTBEAT_PER_NODE_MS;

  return interval_ms > HEARTBEAT_MIN_MS ? interval_ms : HEARTBEAT_MIN_MS;
}

static void
configure (struct node *node)
{
  struct beryl_quota_entry entry
      = { .organisation = ORGANISATION, .quota = fleet.quota };

  beryl_quotas_set (node->quotas, &entry, 1);
}

static void
node_start (struct node *node)
{
  node->quotas = beryl_quotas_create (
      fleet.slack, (uint64_t)(chance () * (double)(UINT64_C (1) << 53)));
  node->incarnation++;
  node->running = true;
  node->changed = false;
  node->reported_ms = now_ms () - pick (REPORT_MS);
  node->heartbeat_ms = pick ((uint32_t)heartbeat_ms ());
  beryl_quotas_set_fleet (node->quotas, fleet.count, heartbeat_ms ());
  configure (node);
}

static void
node_kill (struct node *node)
{
  beryl_quotas_destroy (node->quotas);
  node->quotas = NULL;
  node->running = false;
}

static void
fleet_open (uint32_t count, double per_s, uint64_t seed)
{
  memset (&fleet, 0, sizeof fleet);
  random_state = seed;
  fleet.count = count;
  fleet.quota = (struct beryl_quota){ .in_tokens = true,
                                      .plain_tokens = PLAIN_TOKENS,
                                      .per_s = per_s,
                                      .burst = per_s };
  fleet.slack = count > SLACK_NODES ? SLACK * count / SLACK_NODES : SLACK;
  fleet.loss = 0.02;
  for (uint32_t i = 0; i < count; i++)
    node_start (&fleet.nodes[i]);
}

static void
fleet_close (void)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    beryl_quotas_destroy (fleet.nodes[i].quotas);
}

/* Spreads TIMES the quota's rate over all nodes. */
static void
demand_even (double times)
{
  for (uint32_t i = 0; i < fleet.count; i++)
    fleet.nodes[i].demand = times * fleet.quota.per_s / fleet.count;
}

static void
node_serve (struct node *node)
{
  double requests = node->demand / MEAN_COST * STEP_MS / 1000;

  for (; requests > 0; requests--)
    {
      uint32_t cost = chance () < GENERATIONS ? PROMPT_TOKENS : PLAIN_TOKENS;

      if (requests < 1 && chance () >= requests)
        break;
      node->changed = true;
      if (!beryl_quotas_admit (node->quotas, ORGANISATION, cost, now_ms (),
                               NULL))
        continue;
      beryl_quotas_use (node->quotas, ORGANISATION, cost, now_ms ());
      fleet.sent[fleet.step] += cost;
    }
}

static void
node_report (struct node *node)
{
  int64_t interval_ms = node->changed ? REPORT_MS : node->heartbeat_ms;

  node->reports = now_ms () - node->reported_ms >= interval_ms;
  if (!node->reports)
    return;
  node->reported_ms = now_ms ();
  node->heartbeat_ms = heartbeat_ms () - pick ((uint32_t)heartbeat_ms () / 4);
  node->changed = false;
  beryl_quotas_report (node->quotas, &node->report, now_ms ());
}

static void
deliver (uint32_t from)
{
  const struct node *sender = &fleet.nodes[from];

  for (uint32_t i = 0; i < fleet.count; i++)
    {
      struct node *node = &fleet.nodes[i];

      if (i != from && node->running && node->group == sender->group
          && chance () >= fleet.loss)
        beryl_quotas_apply (node->quotas, from + 1, sender->incarnation,
                            &sender->report, now_ms ());
    }
}

static void
pass (int64_t ms)
{
  for (; ms > 0; ms -= STEP_MS)
    {
      fleet.step++;
      ck_assert_uint_lt (fleet.step, STEPS_MAX);
      for (uint32_t i = 0; i < fleet.count; i++)
        if (fleet.nodes[i].running)
          node_serve (&fleet.nodes[i]);
      for (uint32_t i = 0; i < fleet.count; i++)
        if (fleet.nodes[i].running)
          node_report (&fleet.nodes[i]);
      for (uint32_t i = 0; i < fleet.count; i++)
        if (fleet.nodes[i].running && fleet.nodes[i].reports)
          deliver (i);
    }
}

static double
sent_between (uint32_t from, uint32_t to)
{
  double sum = 0;

  for (uint32_t i = from; i < to; i++)
    sum += fleet.sent[i];
  return sum;
}

static double
worst_window (uint32_t from)
{
  uint32_t steps = WINDOW_MS / STEP_MS;
  double worst = 0, sum = 0;

  for (uint32_t i = from; i <= fleet.step; i++)
    {
      sum += fleet.sent[i];
      if (i >= from + steps)
        sum -= fleet.sent[i - steps];
      worst = fmax (worst, sum);
    }
  return worst;
}

static double
bound (void)
{
  double allowed = fleet.quota.per_s * WINDOW_MS / 1000 + fleet.quota.burst;

  return allowed * (1 + OVERRUN) + fleet.slack;
}

static void
assert_bound (uint32_t from)
{
  double worst = worst_window (from);

  if (getenv ("BERYL_TEST_PRINT") != NULL)
    printf ("nodes=%u per_s=%.0f window=%.0f bound=%.0f\n", fleet.count,
            fleet.quota.per_s, worst, bound ());
  ck_assert_msg (worst <= bound (), "%.0f tokens in a window, bound %.0f",
                 worst, bound ());
}

static double
used_part (uint32_t from)
{
  double seconds = (double)(fleet.step - from) * STEP_MS / 1000;
  double part
      = sent_between (from, fleet.step) / (seconds * fleet.quota.per_s);

  if (getenv ("BERYL_TEST_PRINT") != NULL)
    printf ("nodes=%u per_s=%.0f used=%.3f\n", fleet.count, fleet.quota.per_s,
            part);
  return part;
}

/* Guards against a fleet that refuses what is below the quota, or exceeds
 * it, although all nodes hear each other. */
static void
check_even_load (uint32_t count, double per_s)
{
  uint32_t warm;

  fleet_open (count, per_s, 1);
  demand_even (0.5);
  pass (2000);
  demand_even (3);
  pass (8000);
  warm = fleet.step;
  pass (8000);
  assert_bound (0);
  ck_assert_double_ge (used_part (warm), 0.97);
  fleet_close ();
}

START_TEST (test_even_load)
{
  static const uint32_t counts[] = { 8, 78, 300, 400 };

  check_even_load (counts[_i], 240000);
  check_even_load (counts[_i], 29000);
}
END_TEST

/* Guards against shares that stay with nodes that nobody asks. */
START_TEST (test_one_node_is_asked)
{
  static const uint32_t counts[] = { 8, 78, 300 };
  uint32_t warm;

  fleet_open (counts[_i], 240000, 2);
  pass (2000);
  fleet.nodes[3].demand = 3 * fleet.quota.per_s;
  pass (4000);
  warm = fleet.step;
  pass (10000);
  assert_bound (0);
  ck_assert_double_ge (used_part (warm), 0.90);
  fleet_close ();
}
END_TEST

/* Guards against a divided fleet whose parts each use the whole quota: an
 * organisation asks for six times its rate while a third of the nodes hear
 * nobody. */
START_TEST (test_hot_organisation_in_a_cut)
{
  fleet_open (78, _i == 0 ? 240000 : 29000, 3);
  demand_even (0.5);
  pass (2000);
  demand_even (6);
  pass (1500);
  for (uint32_t i = 0; i < fleet.count / 3; i++)
    fleet.nodes[i].group = i + 1;
  pass (12000);
  for (uint32_t i = 0; i < fleet.count; i++)
    fleet.nodes[i].group = 0;
  pass (8000);
  assert_bound (0);
  fleet_close ();
}
END_TEST

/* Guards against a fleet that forgets what was used when all nodes are killed
 * at once, and begins with full buckets. */
START_TEST (test_all_nodes_restart_in_a_burst)
{
  fleet_open (78, _i == 0 ? 240000 : 29000, 4);
  demand_even (0.5);
  pass (2000);
  demand_even (6);
  pass (2000);
  for (uint32_t i = 0; i < fleet.count; i++)
    node_kill (&fleet.nodes[i]);
  pass (500);
  for (uint32_t i = 0; i < fleet.count; i++)
    node_start (&fleet.nodes[i]);
  pass (8000);
  assert_bound (0);
  fleet_close ();
}
END_TEST

/* Guards against a lowered limit that binds later than one window after it, or
 * that refuses what it allows. */
START_TEST (test_lowered_limit)
{
  uint32_t lowered;

  fleet_open (78, 240000, 5);
  demand_even (0.9);
  pass (4000);
  fleet.quota.per_s = fleet.quota.burst = 40000;
  for (uint32_t i = 0; i < fleet.count; i++)
    configure (&fleet.nodes[i]);
  lowered = fleet.step;
  pass (9000);
  assert_bound (lowered);
  ck_assert_double_ge (used_part (lowered + 100), 0.97);
  fleet_close ();
}
END_TEST

static void
random_event (void)
{
  struct node *node = &fleet.nodes[pick (fleet.count)];
  double kind = chance ();

  if (kind < 0.3)
    demand_even (8 * chance ());
  else if (kind < 0.5)
    {
      uint32_t groups = 1 + pick (4);

      for (uint32_t i = 0; i < fleet.count; i++)
        fleet.nodes[i].group = pick (groups);
    }
  else if (kind < 0.6)
    for (uint32_t i = 0; i < fleet.count; i++)
      fleet.nodes[i].group = chance () < 0.3 ? i + 1 : 0;
  else if (kind < 0.8)
    for (uint32_t i = 0; i < fleet.count; i++)
      fleet.nodes[i].group = 0;
  else if (kind < 0.9 && node->running)
    node_kill (node);
  else if (!node->running)
    node_start (node);
  else
    node->demand *= 5;
}

/* Random partitions, restarts, losses and bursts. */
static void
run_history (int number)
{
  static const uint32_t counts[] = { 8, 78 };
  static const double rates[] = { 240000, 29000 };

  fleet_open (counts[number % 2], rates[number / 2 % 2],
              (uint64_t)number + 1000);
  fleet.loss = 0.1 * chance ();
  demand_even (0.5);
  pass (2000);
  while (fleet.step < 3000)
    {
      random_event ();
      pass (100 + pick (3000));
    }
  assert_bound (0);
  fleet_close ();
}

START_TEST (test_random_histories) { run_history (_i); }
END_TEST

/* Guards against a node that counts on the rates of peers it no longer
 * reaches; with that fault, these histories pass the bound by up to a quarter.
 */
START_TEST (test_histories_with_stale_peers)
{
  static const int numbers[] = { 107, 157, 215, 275, 396 };

  run_history (numbers[_i]);
}
END_TEST

/* Guards against a large request that a bucket kept near empty by small ones
 * never admits. */
START_TEST (test_sizes_are_served_alike)
{
  uint32_t admitted[2] = { 0 }, asked[2] = { 0 };

  fleet_open (1, 29000, 6);
  for (uint32_t i = 0; i < 20000; i++)
    {
      bool large = chance () < GENERATIONS;
      uint32_t cost = large ? PROMPT_TOKENS : PLAIN_TOKENS;

      fleet.step++;
      asked[large]++;
      if (!beryl_quotas_admit (fleet.nodes[0].quotas, ORGANISATION, cost,
                               now_ms (), NULL))
        continue;
      beryl_quotas_use (fleet.nodes[0].quotas, ORGANISATION, cost, now_ms ());
      admitted[large]++;
    }
  ck_assert_double_ge ((double)admitted[1] / asked[1],
                       0.5 * admitted[0] / asked[0]);
  fleet_close ();
}
END_TEST

/* What was set aside for a request that is refused later is not used up. */
START_TEST (test_released_request_is_not_counted)
{
  struct beryl_quotas *a;

  fleet_open (1, 29000, 7);
  a = fleet.nodes[0].quotas;
  for (uint32_t i = 0; i < 1000; i++)
    {
      fleet.step++;
      ck_assert (beryl_quotas_admit (a, ORGANISATION, PROMPT_TOKENS, now_ms (),
                                     NULL));
      beryl_quotas_release (a, ORGANISATION, PROMPT_TOKENS);
    }
  fleet_close ();
}
END_TEST

/* Guards against callers that are all told to return at the same moment. */
START_TEST (test_returns_are_spread)
{
  struct beryl_quota_state state;
  int64_t first_ms = 0, last_ms = 0;
  uint32_t refused = 0;

  fleet_open (1, 29000, 8);
  while (refused < 40)
    if (beryl_quotas_admit (fleet.nodes[0].quotas, ORGANISATION, PROMPT_TOKENS,
                            now_ms (), &state))
      beryl_quotas_use (fleet.nodes[0].quotas, ORGANISATION, PROMPT_TOKENS,
                        now_ms ());
    else
      {
        ck_assert_int_gt (state.retry_after_ms, 0);
        ck_assert (state.limited);
        first_ms = refused++ == 0 ? state.retry_after_ms : first_ms;
        last_ms = state.retry_after_ms;
      }
  /* 40 requests of 3,200 tokens need 4.4 s at this rate. */
  ck_assert_int_ge (last_ms - first_ms, 4400);
  fleet_close ();
}
END_TEST

START_TEST (test_no_limit)
{
  struct beryl_quota requests = { .per_s = 5, .burst = 5 };
  struct beryl_quota_state state;

  fleet_open (1, 0, 9);
  ck_assert (beryl_quotas_admit (fleet.nodes[0].quotas, ORGANISATION,
                                 UINT32_MAX, now_ms (), &state));
  ck_assert (!state.limited);
  ck_assert (
      beryl_quotas_admit (fleet.nodes[0].quotas, 99, 1, now_ms (), &state));
  ck_assert_uint_eq (beryl_quota_cost (&requests, 5000), 1);
  ck_assert_uint_eq (beryl_quota_cost (&fleet.quota, 0), PLAIN_TOKENS);
  ck_assert_uint_eq (beryl_quota_cost (&fleet.quota, 5000), 5000);
  fleet_close ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quotas");
  TCase *tcase = tcase_create ("quotas");
  const char *histories = getenv ("BERYL_TEST_HISTORIES");

  tcase_set_timeout (tcase, 120);
  tcase_add_loop_test (tcase, test_even_load, 0, 4);
  tcase_add_loop_test (tcase, test_one_node_is_asked, 0, 3);
  tcase_add_loop_test (tcase, test_hot_organisation_in_a_cut, 0, 2);
  tcase_add_loop_test (tcase, test_all_nodes_restart_in_a_burst, 0, 2);
  tcase_add_test (tcase, test_lowered_limit);
  tcase_add_loop_test (tcase, test_histories_with_stale_peers, 0, 5);
  tcase_add_loop_test (tcase, test_random_histories, 0,
                       histories != NULL ? atoi (histories) : HISTORIES);
  tcase_add_test (tcase, test_sizes_are_served_alike);
  tcase_add_test (tcase, test_released_request_is_not_counted);
  tcase_add_test (tcase, test_returns_are_spread);
  tcase_add_test (tcase, test_no_limit);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
