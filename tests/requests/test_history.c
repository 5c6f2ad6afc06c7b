/* Checks the histories of simulations with faults, for fixed seeds.
 * scripts/soak-histories runs more seeds. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "../suite.h"

#define SEEDS 2000
#define SEEDS_PER_TEST 100

START_TEST (seeds_keep_all_invariants)
{
  for (uint64_t seed = (uint64_t)_i * SEEDS_PER_TEST + 1;
       seed <= ((uint64_t)_i + 1) * SEEDS_PER_TEST; seed++)
    {
      struct history *history = cluster_run (seed);
      struct history_result result;
      bool valid = history_check (history, &result);

      history_destroy (history);
      ck_assert_msg (valid, "seed %llu: %s", (unsigned long long)seed,
                     result.first_violation);
    }
}
END_TEST

/* scripts/soak-histories FROM COUNT: prints each seed that violates an
 * invariant. */
static int
soak (uint64_t from, uint64_t count)
{
  int bad = 0;

  for (uint64_t seed = from; seed < from + count; seed++)
    {
      struct history *history = cluster_run (seed);
      struct history_result result;

      if (!history_check (history, &result))
        {
          printf ("seed %llu: %s\n", (unsigned long long)seed,
                  result.first_violation);
          bad++;
        }
      history_destroy (history);
    }
  printf ("%llu seeds, %d broken\n", (unsigned long long)count, bad);
  return bad != 0;
}

static int
print_seed (uint64_t seed)
{
  struct history *history = cluster_run (seed);
  struct history_result result;
  bool valid = history_check (history, &result);

  history_print (history);
  printf ("%s\n", valid ? "all invariants hold" : result.first_violation);
  history_destroy (history);
  return !valid;
}

int
main (int argc, char **argv)
{
  Suite *suite;
  TCase *tcase;

  if (argc == 2)
    return print_seed (strtoull (argv[1], NULL, 10));
  if (argc == 3)
    return soak (strtoull (argv[1], NULL, 10), strtoull (argv[2], NULL, 10));
  suite = suite_create ("history");
  tcase = tcase_create ("seeds");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, seeds_keep_all_invariants, 0,
                       SEEDS / SEEDS_PER_TEST);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
