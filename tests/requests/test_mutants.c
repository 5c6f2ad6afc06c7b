/* Tests the history checker: without one guard the run of a fixed seed
 * violates an invariant, and with all guards it violates none.  A fake router
 * is used, so that a seed keeps its meaning when routing changes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mutants.h"
#include "transcript.h"
#include "../suite.h"

static bool
session_matches (const char *name)
{
  char path[512];
  char *played;
  char *written;
  bool same;

  snprintf (path, sizeof path, "%s/%s", GOLDEN_DIR, name);
  played = transcript_play (path);
  written = transcript_read (path);
  ck_assert_ptr_nonnull (written);
  same = strcmp (played, written) == 0;
  free (played);
  free (written);
  return same;
}

static void
check_session (enum beryl_guard guard, const char *session)
{
  ck_assert_msg (session_matches (session), "%s differs", session);
  beryl_mutant = (int)guard;
  ck_assert_msg (!session_matches (session), "%s does not detect it", session);
  beryl_mutant = BERYL_GUARD_NONE;
}

START_TEST (guard_is_missed)
{
  const struct mutant *m = &mutants[_i];
  struct history_result result;

  if (m->name == NULL)
    return;
  if (m->seed == 0)
    {
      check_session ((enum beryl_guard)_i, m->session);
      return;
    }
  ck_assert_msg (mutant_run (BERYL_GUARD_NONE, m->seed, &result),
                 "seed %llu violates an invariant with all guards: %s",
                 (unsigned long long)m->seed, result.first_violation);
  ck_assert_msg (!mutant_run ((enum beryl_guard)_i, m->seed, &result),
                 "without %s seed %llu violates nothing: find another with "
                 "mutant_table 5000",
                 m->name, (unsigned long long)m->seed);
}
END_TEST

/* docs/mutants.md names every guard with its seed. */
START_TEST (page_has_the_row)
{
  const struct mutant *m = &mutants[_i];
  char row[256];
  char *page = transcript_read (MUTANTS_PAGE);

  ck_assert_ptr_nonnull (page);
  if (m->name != NULL && m->seed != 0)
    {
      snprintf (row, sizeof row, "| %d | %s | %s | seed %llu: ", _i, m->name,
                m->guard, (unsigned long long)m->seed);
      ck_assert_msg (strstr (page, row) != NULL, "no row \"%s\"", row);
    }
  free (page);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mutants");
  TCase *tcase = tcase_create ("mutants");

  tcase_add_loop_test (tcase, guard_is_missed, 1, BERYL_GUARD_COUNT);
  tcase_add_loop_test (tcase, page_has_the_row, 1, BERYL_GUARD_COUNT);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
