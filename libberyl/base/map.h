/** @file
 * A hash table from 128-bit keys to pointers.
 */
#ifndef BERYL_BASE_MAP_H
#define BERYL_BASE_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A key: a digest, or a number with zero. */
struct map_key
{
  uint64_t high;
  uint64_t low;
};

/** One slot of the table; a NULL value is an empty slot. */
struct map_slot
{
  struct map_key key;
  void *value;
};

/** A table; zero-initialise. */
struct map
{
  struct map_slot *slots;
  size_t capacity; /**< a power of two, or 0 */
  size_t count;
};

/** Return the value of KEY, or NULL. */
void *map_get (const struct map *map, struct map_key key);

/** Set the value of KEY, which must not be NULL; false without memory. */
bool map_put (struct map *map, struct map_key key, void *value);

/** Forget KEY. */
void map_remove (struct map *map, struct map_key key);

/** Release the table, not its values. */
void map_clear (struct map *map);

/** The key of a number. */
struct map_key map_key_number (uint64_t number);

/** The digest of SCOPE and NAME.  It is cryptographic, since callers choose
 * names: no two scopes can be made to share a key. */
struct map_key map_key_digest (const char *scope, const char *name);

#endif
