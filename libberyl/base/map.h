/** @file
 * Hash table from 128-bit keys to pointers.
 */
#ifndef BERYL_BASE_MAP_H
#define BERYL_BASE_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Key: a digest, or a number in the high half. */
struct map_key
{
  uint64_t high;
  uint64_t low;
};

/** Slot of the table; a NULL value marks it empty. */
struct map_slot
{
  struct map_key key;
  void *value;
};

/** Hash table; zero-initialise. */
struct map
{
  struct map_slot *slots;
  size_t capacity; /**< a power of two, or 0 */
  size_t count;
};

/** Return the value of KEY, or NULL. */
void *map_get (const struct map *map, struct map_key key);

/** Set the value of KEY; VALUE must not be NULL.  Returns false if out of
 * memory. */
bool map_put (struct map *map, struct map_key key, void *value);

/** Remove KEY, if present. */
void map_remove (struct map *map, struct map_key key);

/** Release the table, but not its values. */
void map_clear (struct map *map);

/** Return the key of a number. */
struct map_key map_key_from_number (uint64_t number);

/** Return the key of NAME in SCOPE, a digest of both.  It is cryptographic
 * because callers choose names: no two scopes can be made to share a key. */
struct map_key map_key_from_name (const char *scope, const char *name);

#endif
