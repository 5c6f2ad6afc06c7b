/** @file
 * Splits a body of server-sent events into whole events.
 *
 * Only whole events are passed on, so that a stream that breaks in the middle
 * of one can go on elsewhere after the one before.
 */
#ifndef FORWARD_EVENTS_H
#define FORWARD_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/buffer.h"

/** Longest event; a longer one is malformed. */
#define EVENT_MAX_BYTES (1U << 20)

/** State of a stream; zero-initialise. */
struct event_splitter
{
  struct buffer pending; /**< of the event that is not whole */
  size_t scanned;        /**< bytes of it without an end */
  size_t taken;          /**< bytes of the event that was given out */
};

/** One event, with the empty line that ends it. */
struct event
{
  const char *bytes;
  size_t count;
  bool has_id;
  uint64_t id; /**< if it is a number */
};

/** Add bytes; false if an event grew too long. */
bool event_splitter_add (struct event_splitter *s, const char *bytes,
                         size_t count);

/** Take the next whole event, valid until the next call of this or _add;
 * false if there is none. */
bool event_splitter_next (struct event_splitter *s, struct event *event);

/** Whether part of an event is left over. */
bool event_splitter_partial (const struct event_splitter *s);

/** Forget all; for a stream that goes on elsewhere. */
void event_splitter_reset (struct event_splitter *s);
void event_splitter_clear (struct event_splitter *s);

#endif
