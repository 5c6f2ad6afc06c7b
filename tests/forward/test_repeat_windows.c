#include <check.h>
#include <stdint.h>

#include "../suite.h"
#include "../../libberyl/forward/repeat_budget.h"

/* A node alone, whose budget is that of the fleet, sends every repeat that it
   may: whenever it can, or in bursts. */
#define SEEDS 300
#define SPAN_MS 60000
#define STEP_MS 50
#define STEPS (SPAN_MS / STEP_MS)
#define WINDOW_STEPS 200
#define RATIO 0.2
#define SLACK 20

static uint64_t random_state;

static uint32_t
draw (uint32_t below)
{
  uint64_t z = random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (uint32_t)((z ^ (z >> 31)) % below);
}

/* Sets RATES, in requests a step, to a base rate with bursts of up to three
   seconds that come up to every eight. */
static void
draw_traffic (uint32_t rates[STEPS])
{
  uint32_t base = draw (3);
  uint32_t at = draw (160);

  for (uint32_t i = 0; i < STEPS; i++)
    rates[i] = base;
  while (at < STEPS)
    {
      uint32_t length = 1 + draw (60);
      uint32_t rate = 1 + draw (40);

      for (uint32_t i = at; i < at + length && i < STEPS; i++)
        rates[i] += rate;
      at += length + 1 + draw (160);
    }
}

static uint32_t
count (const uint32_t counts[STEPS], int32_t from)
{
  uint32_t sum = 0;

  for (int32_t i = from; i < from + WINDOW_STEPS; i++)
    if (i >= 0 && i < STEPS)
      sum += counts[i];
  return sum;
}

static uint32_t
most (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

static void
check_windows (const uint32_t requests[STEPS], const uint32_t repeats[STEPS])
{
  for (int32_t from = 0; from < STEPS; from++)
    {
      uint32_t counted = most (
          most (count (requests, from), count (requests, from - WINDOW_STEPS)),
          count (requests, from - WINDOW_STEPS / 2));
      double allowed = RATIO * counted + SLACK;

      ck_assert_msg (count (repeats, from) <= allowed,
                     "%u repeats from %d ms on, %.1f are allowed",
                     count (repeats, from), from * STEP_MS, allowed);
    }
}

/* Guards against bursts of requests that follow each other being counted
 * together, though no window that the limit is about has both. */
START_TEST (test_bursts)
{
  static uint32_t requests[STEPS], repeats[STEPS];
  struct repeat_budget budget = { 0 };
  struct repeat_limits limits = { .ratio = RATIO,
                                  .slack = SLACK,
                                  .window_ms = (int64_t)WINDOW_STEPS * STEP_MS,
                                  .nodes = 1,
                                  .started_ms = -SPAN_MS };
  uint32_t idle;

  random_state = (uint64_t)_i;
  idle = draw (300);
  draw_traffic (requests);
  for (uint32_t i = 0; i < STEPS; i++)
    {
      int64_t now_ms = (int64_t)i * STEP_MS;

      for (uint32_t n = 0; n < requests[i]; n++)
        repeat_budget_count_request (&budget, &limits, now_ms);
      repeats[i] = 0;
      if (idle > 0)
        idle--;
      else if (draw (100) == 0)
        idle = draw (300);
      while (idle == 0 && repeat_budget_left (&budget, &limits, now_ms) > 0)
        {
          repeat_budget_spend (&budget, &limits, now_ms);
          repeats[i]++;
        }
    }
  check_windows (requests, repeats);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("windows of repeats");
  TCase *tcase = tcase_create ("windows of repeats");

  tcase_add_loop_test (tcase, test_bursts, 0, SEEDS);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
