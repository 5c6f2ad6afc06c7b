/** @file
 * Datagrams that pass changes of the list of endpoints on.  What is understood
 * is written and read again, and must be the same.
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "wire/changes.h"

static void
compare (const struct entry_change *one, const struct entry_change *other)
{
  if (strcmp (one->name, other->name) != 0 || one->version != other->version
      || (one->value == NULL) != (other->value == NULL)
      || one->value_bytes != other->value_bytes)
    abort ();
  if (one->value != NULL
      && memcmp (one->value, other->value, one->value_bytes) != 0)
    abort ();
}

static void
write_and_compare (const struct changes_message *message)
{
  static struct changes_message again;
  struct frame_writer *writer = frame_writer_create (CHANGES_DATAGRAM);
  struct frame *frame;
  const void *bytes;
  size_t count;

  changes_put (writer, message);
  bytes = frame_writer_finish (writer, &count);
  frame = frame_parse (bytes, count, NULL);
  if (frame == NULL || !changes_read (frame, &again)
      || again.after != message->after || again.revision != message->revision
      || again.count != message->count)
    abort ();
  for (size_t i = 0; i < message->count; i++)
    compare (&again.changes[i], &message->changes[i]);
  frame_destroy (frame);
  frame_writer_destroy (writer);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct changes_message message;
  struct frame *frame = frame_parse (data, size, NULL);

  if (frame == NULL)
    return 0;
  if (changes_read (frame, &message))
    write_and_compare (&message);
  frame_destroy (frame);
  return 0;
}
