/** @file
 * A list of objects as JSON texts, sorted by kind and name.
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

/** Return the index of KIND and NAME, or where to insert them. */
size_t items_find (const struct items *items, const char *kind,
                   const char *name, bool *found);

/** Insert or replace an object; JSON is copied.  Returns false if out of
 * memory. */
bool items_put (struct items *items, const char *kind, const char *name,
                uint64_t version, const char *json, size_t json_bytes);

/** Remove an object if it is present. */
void items_remove (struct items *items, const char *kind, const char *name);

/** Copy all objects of FROM to TO, which must be empty. */
bool items_copy (struct items *to, const struct items *from);

/** Free all objects and leave ITEMS empty. */
void items_clear (struct items *items);

/** Return the JSON array of all objects except those of kind WITHOUT, to be
 * freed with free(). */
char *items_array (const struct items *items, const char *without,
                   size_t *bytes_count);

#endif
