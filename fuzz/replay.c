/** @file
 * Runs a harness over every file of a corpus and over fixed mutations of it,
 * without libFuzzer, so that CI's verdict is the same every time.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"

#define INPUT_MAX_BYTES 65536
#define MUTATIONS 200

static uint64_t
random_next (uint64_t *state)
{
  *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
  return *state >> 33;
}

/** Change some bytes and sometimes cut the end off. */
static void
run_mutations (const uint8_t *data, size_t size, uint64_t seed)
{
  for (int i = 0; i < MUTATIONS && size > 0; i++)
    {
      /* Sized exactly, so that a sanitizer sees a read beyond the end. */
      size_t kept
          = random_next (&seed) % 4 == 0 ? random_next (&seed) % size : size;
      uint8_t *copy = malloc (kept + 1);

      memcpy (copy, data, kept);
      for (uint64_t k = random_next (&seed) % 4; kept > 0 && k > 0; k--)
        copy[random_next (&seed) % kept] = (uint8_t)random_next (&seed);
      copy = realloc (copy, kept > 0 ? kept : 1);
      LLVMFuzzerTestOneInput (copy, kept);
      free (copy);
    }
}

static int
run_file (const char *path)
{
  FILE *in = fopen (path, "rb");
  uint8_t *data;
  size_t size;

  if (in == NULL)
    return 0;
  data = malloc (INPUT_MAX_BYTES);
  size = fread (data, 1, INPUT_MAX_BYTES, in);
  fclose (in);
  LLVMFuzzerTestOneInput (data, size);
  run_mutations (data, size, size + 1);
  free (data);
  return 1;
}

int
main (int argc, char **argv)
{
  struct dirent **entries;
  int count, files = 0;

  if (argc != 2)
    return EXIT_FAILURE;
  count = scandir (argv[1], &entries, NULL, alphasort);
  for (int i = 0; i < count; i++)
    {
      char path[1024];

      snprintf (path, sizeof path, "%s/%s", argv[1], entries[i]->d_name);
      if (entries[i]->d_name[0] != '.')
        files += run_file (path);
      free (entries[i]);
    }
  if (count >= 0)
    free (entries);
  printf ("%d files, %d mutations each\n", files, MUTATIONS);
  /* A corpus that has gone missing must not pass. */
  return files > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
