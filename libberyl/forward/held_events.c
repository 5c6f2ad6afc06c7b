#include "held_events.h"

#include <string.h>

bool
held_events_add (struct held_events *held, const struct event *event)
{
  if (held->count == HELD_EVENTS_MAX
      || !buffer_append (&held->bytes, event->bytes, event->count))
    return false;
  held->items[held->count++]
      = (struct held_event){ .id = event->id, .bytes_count = event->count };
  return true;
}

struct event
held_events_first (const struct held_events *held)
{
  return (struct event){ .bytes = held->bytes.bytes,
                         .count = held->items[0].bytes_count,
                         .has_id = true,
                         .id = held->items[0].id };
}

void
held_events_drop_first (struct held_events *held)
{
  size_t count = held->items[0].bytes_count;

  held->bytes.count -= count;
  memmove (held->bytes.bytes, held->bytes.bytes + count, held->bytes.count);
  held->count--;
  memmove (held->items, held->items + 1, held->count * sizeof *held->items);
  if (held->count == 0)
    buffer_clear (&held->bytes);
}

uint64_t
held_events_last_id (const struct held_events *held)
{
  return held->items[held->count - 1].id;
}

uint32_t
held_events_jumps (const struct held_events *held,
                   const struct event_sequence *sequence)
{
  struct event_sequence next = *sequence;

  for (uint32_t i = 0; i < held->count; i++)
    event_sequence_advance (&next, held->items[i].id);
  return next.jumps - sequence->jumps;
}

void
held_events_clear (struct held_events *held)
{
  buffer_clear (&held->bytes);
  held->count = 0;
}
