#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Inserts each scalar of VALUE into LEAVES, keyed by its path. */
static void
flatten (const json_t *value, const char *path, GTree *leaves)
{
  const char *key;
  json_t *item;
  size_t i;

  if (json_is_object (value) && json_object_size (value) > 0)
    {
      json_object_foreach ((json_t *)value, key, item)
      {
        char *below
            = g_strconcat (path, path[0] != '\0' ? "." : "", key, NULL);

        flatten (item, below, leaves);
        g_free (below);
      }
      return;
    }
  if (json_is_array (value) && json_array_size (value) > 0)
    {
      json_array_foreach (value, i, item)
      {
        char *below = g_strdup_printf ("%s[%zu]", path, i);

        flatten (item, below, leaves);
        g_free (below);
      }
      return;
    }
  g_tree_insert (leaves, g_strdup (path),
                 json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT));
}

static int
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static GTree *
leaves_create (const json_t *value)
{
  GTree *leaves = g_tree_new_full (compare, NULL, g_free, free);

  if (value != NULL)
    flatten (value, "", leaves);
  return leaves;
}

static gboolean
add_path (gpointer key, gpointer value, gpointer data)
{
  g_tree_insert (data, key, key);
  return FALSE;
}

static const char *
leaf_text (GTree *leaves, const char *path)
{
  const char *text = g_tree_lookup (leaves, path);

  return text != NULL ? text : "(absent)";
}

struct diff
{
  GTree *before;
  GTree *after;
  size_t count;
};

static gboolean
print_change (gpointer key, gpointer value, gpointer data)
{
  struct diff *diff = data;
  const char *before = leaf_text (diff->before, key);
  const char *after = leaf_text (diff->after, key);

  if (strcmp (before, after) == 0)
    return FALSE;
  diff->count++;
  printf ("  %s: %s -> %s\n", (char *)key, before, after);
  return FALSE;
}

size_t
ctl_print_difference (const json_t *before, const json_t *after)
{
  struct diff diff = { leaves_create (before), leaves_create (after), 0 };
  GTree *paths = g_tree_new_full (compare, NULL, NULL, NULL);

  g_tree_foreach (diff.before, add_path, paths);
  g_tree_foreach (diff.after, add_path, paths);
  g_tree_foreach (paths, print_change, &diff);
  g_tree_destroy (paths);
  g_tree_destroy (diff.before);
  g_tree_destroy (diff.after);
  return diff.count;
}

struct conflict
{
  GTree *base; /* NULL: unknown */
  GTree *theirs;
  GTree *yours;
};

static const char *
who_changed (const struct conflict *conflict, const char *path)
{
  const char *base;
  bool theirs;
  bool yours;

  if (conflict->base == NULL)
    return "differs";
  base = leaf_text (conflict->base, path);
  theirs = strcmp (leaf_text (conflict->theirs, path), base) != 0;
  yours = strcmp (leaf_text (conflict->yours, path), base) != 0;
  if (theirs && yours)
    return "both changed";
  return theirs ? "they changed" : "you changed";
}

static gboolean
print_conflict (gpointer key, gpointer value, gpointer data)
{
  struct conflict *conflict = data;
  const char *theirs = leaf_text (conflict->theirs, key);
  const char *yours = leaf_text (conflict->yours, key);

  if (strcmp (theirs, yours) == 0)
    return FALSE;
  printf ("  %s (%s)\n", (char *)key, who_changed (conflict, key));
  if (conflict->base != NULL)
    printf ("    base:   %s\n", leaf_text (conflict->base, key));
  printf ("    theirs: %s\n    yours:  %s\n", theirs, yours);
  return FALSE;
}

void
ctl_print_three_way (const json_t *base, const json_t *theirs,
                     const json_t *yours)
{
  struct conflict conflict
      = { NULL, leaves_create (theirs), leaves_create (yours) };
  GTree *paths = g_tree_new_full (compare, NULL, NULL, NULL);

  if (base != NULL)
    conflict.base = leaves_create (base);
  g_tree_foreach (conflict.theirs, add_path, paths);
  g_tree_foreach (conflict.yours, add_path, paths);
  g_tree_foreach (paths, print_conflict, &conflict);
  g_tree_destroy (paths);
  if (conflict.base != NULL)
    g_tree_destroy (conflict.base);
  g_tree_destroy (conflict.theirs);
  g_tree_destroy (conflict.yours);
}
