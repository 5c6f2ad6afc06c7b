/** @file
 * A table of versioned objects, sorted by kind and name.
 */
#ifndef LIBBERYL_SPREAD_OBJECT_TABLE_H
#define LIBBERYL_SPREAD_OBJECT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

struct stored_object
{
  char kind[BERYL_NAME_BYTES];
  char name[BERYL_NAME_BYTES];
  uint64_t version;
  char *text; /* owned */
};

struct object_table
{
  struct stored_object *list;
  size_t count;
  size_t capacity;
};

/** Return the index of KIND and NAME, or where to insert them. */
size_t object_table_find (const struct object_table *items, const char *kind,
                          const char *name, bool *found);

/** Insert or replace an object; JSON is copied.  Returns false if out of
 * memory. */
bool object_table_put (struct object_table *items, const char *kind,
                       const char *name, uint64_t version, const char *json,
                       size_t json_bytes);

/** Remove an object if it is present. */
void object_table_remove (struct object_table *items, const char *kind,
                          const char *name);

/** Copy all objects of FROM to TO, which must be empty. */
bool object_table_copy (struct object_table *to,
                        const struct object_table *from);

/** Free all objects and leave ITEMS empty. */
void object_table_clear (struct object_table *items);

/** Return the JSON array of all objects except those of kind WITHOUT, to be
 * freed with free(). */
char *object_table_format (const struct object_table *items,
                           const char *without, size_t *byte_count);

#endif
