/** @file
 * A sorted list of objects as JSON texts, by kind and name.
 */
#ifndef LIBBERYL_SPREAD_ITEMS_H
#define LIBBERYL_SPREAD_ITEMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

struct item
{
  char kind[BERYL_NAME_BYTES];
  char name[BERYL_NAME_BYTES];
  uint64_t version;
  char *json; /* owned */
};

struct items
{
  struct item *list;
  size_t count;
  size_t capacity;
};

/** Return the place of KIND and NAME, or where they would be inserted. */
size_t items_find (const struct items *items, const char *kind,
                   const char *name, bool *found);

/** Insert or replace; JSON is copied.  False without memory. */
bool items_put (struct items *items, const char *kind, const char *name,
                uint64_t version, const char *json, size_t json_bytes);

/** Remove; absent is allowed. */
void items_remove (struct items *items, const char *kind, const char *name);

/** Copy FROM into the empty TO. */
bool items_copy (struct items *to, const struct items *from);

/** Release all. */
void items_clear (struct items *items);

/** Return the JSON array of all objects that are not of the kind WITHOUT;
 * free() it. */
char *items_array (const struct items *items, const char *without,
                   size_t *bytes_count);

#endif
