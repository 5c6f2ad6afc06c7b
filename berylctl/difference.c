#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Puts each scalar of VALUE into LEAVES by its path. */
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
leaves_of (const json_t *value)
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
leaf (GTree *leaves, const char *path)
{
  const char *text = g_tree_lookup (leaves, path);

  return text != NULL ? text : "(absent)";
}

struct two
{
  GTree *before;
  GTree *after;
  size_t count;
};

static gboolean
print_change (gpointer key, gpointer value, gpointer data)
{
  struct two *two = data;
  const char *before = leaf (two->before, key);
  const char *after = leaf (two->after, key);

  if (strcmp (before, after) == 0)
    return FALSE;
  two->count++;
  printf ("  %s: %s -> %s\n", (char *)key, before, after);
  return FALSE;
}

size_t
ctl_print_difference (const json_t *before, const json_t *after)
{
  struct two two = { leaves_of (before), leaves_of (after), 0 };
  GTree *paths = g_tree_new_full (compare, NULL, NULL, NULL);

  g_tree_foreach (two.before, add_path, paths);
  g_tree_foreach (two.after, add_path, paths);
  g_tree_foreach (paths, print_change, &two);
  g_tree_destroy (paths);
  g_tree_destroy (two.before);
  g_tree_destroy (two.after);
  return two.count;
}

struct three
{
  GTree *base; /* NULL: not known */
  GTree *theirs;
  GTree *yours;
};

static const char *
who_changed (const struct three *three, const char *path)
{
  const char *base;
  bool theirs;
  bool yours;

  if (three->base == NULL)
    return "differs";
  base = leaf (three->base, path);
  theirs = strcmp (leaf (three->theirs, path), base) != 0;
  yours = strcmp (leaf (three->yours, path), base) != 0;
  if (theirs && yours)
    return "both changed";
  return theirs ? "they changed" : "you changed";
}

static gboolean
print_conflict (gpointer key, gpointer value, gpointer data)
{
  struct three *three = data;
  const char *theirs = leaf (three->theirs, key);
  const char *yours = leaf (three->yours, key);

  if (strcmp (theirs, yours) == 0)
    return FALSE;
  printf ("  %s (%s)\n", (char *)key, who_changed (three, key));
  if (three->base != NULL)
    printf ("    base:   %s\n", leaf (three->base, key));
  printf ("    theirs: %s\n    yours:  %s\n", theirs, yours);
  return FALSE;
}

void
ctl_print_three_way (const json_t *base, const json_t *theirs,
                     const json_t *yours)
{
  struct three three = { NULL, leaves_of (theirs), leaves_of (yours) };
  GTree *paths = g_tree_new_full (compare, NULL, NULL, NULL);

  if (base != NULL)
    three.base = leaves_of (base);
  g_tree_foreach (three.theirs, add_path, paths);
  g_tree_foreach (three.yours, add_path, paths);
  g_tree_foreach (paths, print_conflict, &three);
  g_tree_destroy (paths);
  if (three.base != NULL)
    g_tree_destroy (three.base);
  g_tree_destroy (three.theirs);
  g_tree_destroy (three.yours);
}
