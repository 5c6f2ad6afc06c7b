/** @file
 * Event streams, in pieces: the first byte is the length of each piece.  What
 * comes out in events must be what went in, without empty lines between them;
 * and one that passes for an event must be a caller's, too.
 */
#include <stdlib.h>
#include <string.h>

#include "../libberyl/forward/events.h"
#include "fuzz.h"

/* Reads EVENT as a caller may, who knows no form but "id: N", "data..." and
   other fields: aborts unless the events that were found to be sound have one
   id, at the start of a line. */
static void
check_sound (const struct event *event)
{
  unsigned int ids = 0;

  if (event->fault != EVENT_OK || event->is_comment)
    return;
  for (size_t i = 0; i + 2 < event->count; i++)
    {
      bool starts = i == 0 || event->bytes[i - 1] == '\n'
                    || event->bytes[i - 1] == '\r';

      if (event->bytes[i] == '\0')
        abort ();
      if (starts && memcmp (event->bytes + i, "id:", 3) == 0)
        ids++;
    }
  if (ids != 1)
    abort ();
}

/* The bytes of empty lines before EVENT, whose text follows them in DATA. */
static size_t
empty_lines (const uint8_t *data, const struct event *event)
{
  size_t i = 0;

  if (event->count == 0)
    return 0;
  while (data[i] == '\n' || (data[i] == '\r' && data[i + 1] == '\n'))
    i++;
  return i;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct event_splitter s = { 0 };
  struct event event;
  size_t piece, seen = 0;

  if (size < 2)
    return 0;
  piece = data[0] > 0 ? data[0] : 1;
  data++;
  size--;
  for (size_t at = 0; at < size; at += piece)
    {
      size_t count = size - at < piece ? size - at : piece;

      if (!event_splitter_add (&s, (const char *)data + at, count))
        break;
      while (event_splitter_next (&s, &event))
        {
          seen += empty_lines (data + seen, &event);
          if (memcmp (event.bytes, data + seen, event.count) != 0)
            abort ();
          check_sound (&event);
          seen += event.count;
        }
    }
  event_splitter_clear (&s);
  return 0;
}
