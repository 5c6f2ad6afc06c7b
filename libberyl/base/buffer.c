#include "buffer.h"

#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN_BYTES 256

bool
buffer_append (struct buffer *buffer, const void *bytes, size_t count)
{
  size_t capacity
      = buffer->capacity != 0 ? buffer->capacity : (size_t)BUFFER_MIN_BYTES;

  while (capacity < buffer->count + count)
    capacity *= 2;
  if (capacity != buffer->capacity)
    {
      char *grown = realloc (buffer->bytes, capacity);

      if (grown == NULL)
        return false;
      buffer->bytes = grown;
      buffer->capacity = capacity;
    }
  if (count > 0)
    memcpy (buffer->bytes + buffer->count, bytes, count);
  buffer->count += count;
  return true;
}

void
buffer_clear (struct buffer *buffer)
{
  free (buffer->bytes);
  *buffer = (struct buffer){ 0 };
}
