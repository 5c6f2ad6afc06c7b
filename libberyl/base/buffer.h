/** @file
 * Growable byte buffer.
 */
#ifndef BERYL_BASE_BUFFER_H
#define BERYL_BASE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/** Buffer; zero-initialise. */
struct buffer
{
  char *bytes;
  size_t count;
  size_t capacity;
};

/** Append COUNT bytes.  Returns false if out of memory. */
bool buffer_append (struct buffer *buffer, const void *bytes, size_t count);

/** Release the bytes. */
void buffer_clear (struct buffer *buffer);

#endif
