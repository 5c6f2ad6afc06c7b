#include "object_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
item_compare (const struct stored_object *item, const char *kind,
              const char *name)
{
  int order = strcmp (item->kind, kind);

  return order != 0 ? order : strcmp (item->name, name);
}

size_t
object_table_find (const struct object_table *items, const char *kind,
                   const char *name, bool *found)
{
  size_t low = 0;
  size_t high = items->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (item_compare (&items->list[middle], kind, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < items->count
           && item_compare (&items->list[low], kind, name) == 0;
  return low;
}

static bool
items_grow (struct object_table *items)
{
  size_t capacity = items->capacity != 0 ? items->capacity * 2 : 64;
  struct stored_object *list;

  if (items->count < items->capacity)
    return true;
  list = realloc (items->list, capacity * sizeof *list);
  if (list == NULL)
    return false;
  items->list = list;
  items->capacity = capacity;
  return true;
}

static bool
items_insert (struct object_table *items, size_t i, const char *kind,
              const char *name)
{
  struct stored_object *item;

  if (!items_grow (items))
    return false;
  item = &items->list[i];
  memmove (item + 1, item, (items->count - i) * sizeof *item);
  memset (item, 0, sizeof *item);
  strncpy (item->kind, kind, sizeof item->kind - 1);
  strncpy (item->name, name, sizeof item->name - 1);
  items->count++;
  return true;
}

bool
object_table_put (struct object_table *items, const char *kind,
                  const char *name, uint64_t version, const char *json,
                  size_t json_bytes)
{
  bool found;
  size_t i = object_table_find (items, kind, name, &found);
  char *copy = malloc (json_bytes + 1);

  if (copy == NULL || (!found && !items_insert (items, i, kind, name)))
    {
      free (copy);
      return false;
    }
  memcpy (copy, json, json_bytes);
  copy[json_bytes] = '\0';
  free (items->list[i].text);
  items->list[i].text = copy;
  items->list[i].version = version;
  return true;
}

void
object_table_remove (struct object_table *items, const char *kind,
                     const char *name)
{
  bool found;
  size_t i = object_table_find (items, kind, name, &found);

  if (!found)
    return;
  free (items->list[i].text);
  items->count--;
  memmove (&items->list[i], &items->list[i + 1],
           (items->count - i) * sizeof items->list[i]);
}

bool
object_table_copy (struct object_table *to, const struct object_table *from)
{
  for (size_t i = 0; i < from->count; i++)
    {
      const struct stored_object *item = &from->list[i];

      if (!object_table_put (to, item->kind, item->name, item->version,
                             item->text, strlen (item->text)))
        return false;
    }
  return true;
}

void
object_table_clear (struct object_table *items)
{
  for (size_t i = 0; i < items->count; i++)
    free (items->list[i].text);
  free (items->list);
  memset (items, 0, sizeof *items);
}

char *
object_table_format (const struct object_table *items, const char *without,
                     size_t *byte_count)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, byte_count);
  const char *separator = "";

  if (out == NULL)
    return NULL;
  fputc ('[', out);
  for (size_t i = 0; i < items->count; i++)
    {
      if (strcmp (items->list[i].kind, without) == 0)
        continue;
      fprintf (out, "%s%s", separator, items->list[i].text);
      separator = ",";
    }
  fputc (']', out);
  fclose (out);
  return text;
}
