/** @file
 * Event streams, in pieces: the first byte is the length of each piece.  What
 * comes out in events must be what went in.
 */
#include <stdlib.h>
#include <string.h>

#include "../libberyl/forward/events.h"
#include "fuzz.h"

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
          if (memcmp (event.bytes, data + seen, event.count) != 0)
            abort ();
          seen += event.count;
        }
    }
  event_splitter_clear (&s);
  return 0;
}
