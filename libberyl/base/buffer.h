/** @file
 * A growing run of bytes.
 */
#ifndef BERYL_BASE_BUFFER_H
#define BERYL_BASE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/** Bytes; zero-initialise. */
struct buffer
{
  char *bytes;
  size_t count;
  size_t capacity;
};

/** Append; false without memory. */
bool buffer_append (struct buffer *buffer, const void *bytes, size_t count);

/** Release the bytes. */
void buffer_clear (struct buffer *buffer);

#endif
