#include "run_index.h"

#include <stdlib.h>

#define CAPACITY_FIRST 8

const struct run_list *
run_index_find (const struct run_index *index, uint32_t hash)
{
  return map_get (&index->lists, map_key_from_number (hash));
}

static struct run_list *
list_of (struct run_index *index, uint32_t hash)
{
  struct map_key key = map_key_from_number (hash);
  struct run_list *list = map_get (&index->lists, key);

  if (list != NULL)
    return list;
  list = calloc (1, sizeof *list);
  map_put (&index->lists, key, list);
  return list;
}

void
run_index_add (struct run_index *index, uint32_t hash,
               const struct peer_runs *peer, uint32_t at)
{
  struct run_list *list = list_of (index, hash);

  if (list->count == list->capacity)
    {
      list->capacity
          = list->capacity != 0 ? 2 * list->capacity : CAPACITY_FIRST;
      list->items
          = realloc (list->items, list->capacity * sizeof *list->items);
    }
  list->items[list->count++] = (struct run_ref){ peer, at };
}

/* Frees an empty list, since engines come and go. */
static void
list_release (struct run_index *index, uint32_t hash, struct run_list *list)
{
  map_remove (&index->lists, map_key_from_number (hash));
  free (list->items);
  free (list);
}

void
run_index_remove (struct run_index *index, uint32_t hash,
                  const struct peer_runs *peer, uint32_t at)
{
  struct run_list *list = map_get (&index->lists, map_key_from_number (hash));

  if (list == NULL)
    return;
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i].peer == peer && list->items[i].index == at)
      {
        list->items[i] = list->items[--list->count];
        break;
      }
  if (list->count == 0)
    list_release (index, hash, list);
}

void
run_index_clear (struct run_index *index)
{
  for (size_t i = 0; i < index->lists.capacity; i++)
    {
      struct run_list *list = index->lists.slots[i].value;

      if (list == NULL)
        continue;
      free (list->items);
      free (list);
    }
  map_clear (&index->lists);
}
