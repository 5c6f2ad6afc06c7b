/* Golden transcripts of complete sessions.  BERYL_GOLDEN_UPDATE=1 writes the
 * actual output back into the files, to be reviewed before committing. */
#include <check.h>
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transcript.h"

#define SESSIONS_MAX 100

static char *paths[SESSIONS_MAX];
static int path_count;

static int
compare (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static void
list_sessions (void)
{
  DIR *directory = opendir (GOLDEN_DIR);
  struct dirent *entry;

  if (directory == NULL)
    return;
  while ((entry = readdir (directory)) != NULL && path_count < SESSIONS_MAX)
    {
      if (strstr (entry->d_name, ".txt") == NULL)
        continue;
      if (asprintf (&paths[path_count], "%s/%s", GOLDEN_DIR, entry->d_name)
          > 0)
        path_count++;
    }
  closedir (directory);
  qsort (paths, (size_t)path_count, sizeof paths[0], compare);
}

static void
write_back (const char *path, const char *text)
{
  FILE *out = fopen (path, "w");

  ck_assert_ptr_nonnull (out);
  fputs (text, out);
  fclose (out);
}

START_TEST (session_plays_as_written)
{
  char *played = transcript_play (paths[_i]);
  char *written = transcript_read (paths[_i]);

  if (getenv ("BERYL_GOLDEN_UPDATE") != NULL)
    write_back (paths[_i], played);
  else
    ck_assert_msg (strcmp (played, written) == 0,
                   "%s differs; it played as:\n%s", paths[_i], played);
  free (played);
  free (written);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("golden");
  TCase *tcase = tcase_create ("sessions");
  SRunner *runner;
  int failed;

  list_sessions ();
  tcase_add_loop_test (tcase, session_plays_as_written, 0, path_count);
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  for (int i = 0; i < path_count; i++)
    free (paths[i]);
  return failed != 0 || path_count == 0;
}
