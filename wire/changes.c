#include "wire/changes.h"

#include <string.h>

enum message_field
{
  MESSAGE_AFTER = 1,
  MESSAGE_REVISION,
  MESSAGE_CHANGES,
};

enum change_field
{
  CHANGE_NAME = 1,
  CHANGE_VERSION,
  CHANGE_VALUE, /* left out: deleted */
};

static void
put_change (struct frame_writer *writer, const struct entry_change *change)
{
  frame_put_map (writer, 0);
  frame_put_string (writer, CHANGE_NAME, change->name);
  frame_put_uint (writer, CHANGE_VERSION, change->version);
  if (change->value != NULL)
    frame_put_bytes (writer, CHANGE_VALUE, change->value, change->value_bytes);
  frame_put_end (writer);
}

void
changes_put (struct frame_writer *writer,
             const struct changes_message *message)
{
  frame_writer_reset (writer, CHANGES_DATAGRAM);
  frame_put_uint (writer, MESSAGE_AFTER, message->after);
  frame_put_uint (writer, MESSAGE_REVISION, message->revision);
  if (message->count == 0)
    return;
  frame_put_array (writer, MESSAGE_CHANGES);
  for (size_t i = 0; i < message->count; i++)
    put_change (writer, &message->changes[i]);
  frame_put_end (writer);
}

static void
read_change (struct frame_map map, struct entry_change *change)
{
  frame_need_string (map, CHANGE_NAME, change->name, sizeof change->name);
  change->version = frame_need_uint (map, CHANGE_VERSION);
  change->value = frame_bytes (map, CHANGE_VALUE, &change->value_bytes);
}

/* Whether the changes are of the span that the message tells, in order. */
static bool
is_ordered (const struct changes_message *message)
{
  uint64_t last = message->after;

  for (size_t i = 0; i < message->count; i++)
    {
      if (message->changes[i].version < last)
        return false;
      last = message->changes[i].version;
    }
  return last <= message->revision;
}

bool
changes_read (struct frame *frame, struct changes_message *message)
{
  struct frame_map map = frame_root (frame);
  struct frame_array changes = frame_array (map, MESSAGE_CHANGES);

  memset (message, 0, sizeof *message);
  if (frame_type (frame) != CHANGES_DATAGRAM || changes.count > CHANGES_MAX)
    return false;
  message->after = frame_need_uint (map, MESSAGE_AFTER);
  message->revision = frame_need_uint (map, MESSAGE_REVISION);
  for (uint32_t i = 0; i < changes.count; i++)
    read_change (frame_array_map (changes, i),
                 &message->changes[message->count++]);
  return frame_valid (frame) && is_ordered (message);
}
