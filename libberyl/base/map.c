#include "map.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#define MAP_MIN_CAPACITY 16

static bool
key_equal (struct map_key a, struct map_key b)
{
  return a.high == b.high && a.low == b.low;
}

static size_t
key_slot (const struct map *map, struct map_key key)
{
  uint64_t h = (key.high ^ key.low) * UINT64_C (0x9e3779b97f4a7c15);

  return (h >> 32) & (map->capacity - 1);
}

static struct map_slot *
map_find (const struct map *map, struct map_key key)
{
  size_t i = key_slot (map, key);

  while (map->slots[i].value != NULL && !key_equal (map->slots[i].key, key))
    i = (i + 1) & (map->capacity - 1);
  return &map->slots[i];
}

void *
map_get (const struct map *map, struct map_key key)
{
  if (map->count == 0)
    return NULL;
  return map_find (map, key)->value;
}

static bool
map_grow (struct map *map)
{
  struct map old = *map;
  size_t capacity
      = old.capacity != 0 ? old.capacity * 2 : (size_t)MAP_MIN_CAPACITY;
  struct map_slot *slots = calloc (capacity, sizeof *slots);

  if (slots == NULL)
    return false;
  map->slots = slots;
  map->capacity = capacity;
  for (size_t i = 0; i < old.capacity; i++)
    if (old.slots[i].value != NULL)
      *map_find (map, old.slots[i].key) = old.slots[i];
  free (old.slots);
  return true;
}

bool
map_put (struct map *map, struct map_key key, void *value)
{
  struct map_slot *slot;

  if ((map->count + 1) * 4 > map->capacity * 3 && !map_grow (map))
    return false;
  slot = map_find (map, key);
  if (slot->value == NULL)
    map->count++;
  slot->key = key;
  slot->value = value;
  return true;
}

/* Moves later entries of the probe sequence into the hole, so that no
 * tombstones accumulate. */
void
map_remove (struct map *map, struct map_key key)
{
  struct map_slot *slot;
  size_t hole, i;

  if (map->count == 0)
    return;
  slot = map_find (map, key);
  if (slot->value == NULL)
    return;
  hole = (size_t)(slot - map->slots);
  slot->value = NULL;
  map->count--;
  for (i = (hole + 1) & (map->capacity - 1); map->slots[i].value != NULL;
       i = (i + 1) & (map->capacity - 1))
    {
      size_t home = key_slot (map, map->slots[i].key);
      size_t probe_distance = (i - home) & (map->capacity - 1);
      size_t hole_distance = (i - hole) & (map->capacity - 1);

      if (probe_distance < hole_distance)
        continue;
      map->slots[hole] = map->slots[i];
      map->slots[i].value = NULL;
      hole = i;
    }
}

void
map_clear (struct map *map)
{
  free (map->slots);
  *map = (struct map){ 0 };
}

struct map_key
map_key_from_number (uint64_t number)
{
  return (struct map_key){ .high = number };
}

struct map_key
map_key_from_name (const char *scope, const char *name)
{
  unsigned char digest[EVP_MAX_MD_SIZE] = { 0 };
  struct map_key key;
  EVP_MD_CTX *context = EVP_MD_CTX_new ();

  EVP_DigestInit_ex (context, EVP_sha256 (), NULL);
  EVP_DigestUpdate (context, scope, strlen (scope) + 1);
  EVP_DigestUpdate (context, name, strlen (name));
  EVP_DigestFinal_ex (context, digest, NULL);
  EVP_MD_CTX_free (context);
  memcpy (&key, digest, sizeof key);
  return key;
}
