/** @file
 * Datagrams about the versions at which streams began.  What is understood
 * is written and read again, and must be the same.
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/streams.h"

static void
write_and_compare (const struct streams_message *message)
{
  struct streams_message again;
  struct frame_writer *writer = frame_writer_create (STREAMS_DATAGRAM);
  struct frame *frame;
  const void *bytes;
  size_t count;

  streams_put (writer, message);
  bytes = frame_writer_finish (writer, &count);
  frame = frame_parse (bytes, count, NULL);
  if (frame == NULL || !streams_read (frame, &again)
      || memcmp (&again, message, sizeof again) != 0)
    abort ();
  frame_destroy (frame);
  frame_writer_destroy (writer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct streams_message message;
  struct frame *frame = frame_parse (data, size, NULL);

  if (frame == NULL)
    return 0;
  if (streams_read (frame, &message))
    write_and_compare (&message);
  frame_destroy (frame);
  return 0;
}
