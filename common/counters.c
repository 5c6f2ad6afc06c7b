#include "common/counters.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

struct counters
{
  GHashTable *cells; /* "name{labels}" to uint64_t * */
};

struct counters *
counters_create (void)
{
  struct counters *set = g_new0 (struct counters, 1);

  set->cells = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return set;
}

void
counters_destroy (struct counters *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->cells);
  g_free (set);
}

uint64_t *
counters_cell (struct counters *set, const char *name, const char *labels)
{
  char key[256];
  uint64_t *cell;

  if (labels != NULL && labels[0] != '\0')
    snprintf (key, sizeof key, "%s{%s}", name, labels);
  else
    snprintf (key, sizeof key, "%s", name);
  cell = g_hash_table_lookup (set->cells, key);
  if (cell != NULL)
    return cell;
  cell = g_new0 (uint64_t, 1);
  g_hash_table_insert (set->cells, g_strdup (key), cell);
  return cell;
}

void
counters_add (struct counters *set, const char *name, const char *labels,
              uint64_t delta)
{
  *counters_cell (set, name, labels) += delta;
}

void
counters_set (struct counters *set, const char *name, const char *labels,
              uint64_t value)
{
  *counters_cell (set, name, labels) = value;
}

static int
compare_keys (const void *a, const void *b)
{
  return g_strcmp0 (*(char *const *)a, *(char *const *)b);
}

char *
counters_format (const struct counters *set)
{
  guint n = 0;
  char **keys = (char **)g_hash_table_get_keys_as_array (set->cells, &n);
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *out = open_memstream (&text, &text_bytes);

  qsort (keys, n, sizeof *keys, compare_keys);
  for (guint i = 0; i < n; i++)
    {
      const uint64_t *cell = g_hash_table_lookup (set->cells, keys[i]);

      fprintf (out, "%s %llu\n", keys[i], (unsigned long long)*cell);
    }
  fclose (out);
  g_free (keys);
  return text;
}
