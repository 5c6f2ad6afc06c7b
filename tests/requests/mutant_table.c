/* Prints the table of docs/mutants.md. mutant_table SEEDS [GUARD [FROM]]
 * searches for the first seed that detects the absence of each guard, instead
 * of the recorded one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mutants.h"

static void
print_recorded (int guard)
{
  const struct mutant *m = &mutants[guard];
  struct history_result result = { .first_violation = "" };

  if (m->seed == 0)
    {
      printf ("| %d | %s | %s | session %s |\n", guard, m->name, m->guard,
              m->session);
      return;
    }
  mutant_run ((enum beryl_guard)guard, m->seed, &result);
  printf ("| %d | %s | %s | seed %llu: %.40s |\n", guard, m->name, m->guard,
          (unsigned long long)m->seed, result.first_violation);
}

static void
find_seed (int guard, uint64_t from, uint64_t seeds)
{
  struct history_result result;

  for (uint64_t seed = from; seed < from + seeds; seed++)
    if (!mutant_run ((enum beryl_guard)guard, seed, &result)
        && mutant_run (BERYL_GUARD_NONE, seed, &result))
      {
        printf ("%s %llu\n", mutants[guard].name, (unsigned long long)seed);
        return;
      }
  printf ("%s survives %llu seeds\n", mutants[guard].name,
          (unsigned long long)seeds);
}

int
main (int argc, char **argv)
{
  for (int guard = 1; guard < BERYL_GUARD_COUNT; guard++)
    {
      if (mutants[guard].name == NULL
          || (argc > 2 && strcmp (argv[2], mutants[guard].name) != 0))
        continue;
      if (argc > 1)
        find_seed (guard, argc > 3 ? strtoull (argv[3], NULL, 10) : 1,
                   strtoull (argv[1], NULL, 10));
      else
        print_recorded (guard);
    }
  return 0;
}
