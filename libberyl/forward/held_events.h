/** @file
 * Events of a stream that are not forwarded before others follow them.
 */
#ifndef FORWARD_HELD_EVENTS_H
#define FORWARD_HELD_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/buffer.h"
#include "../decide/event_sequence.h"
#include "events.h"

/** Number of events that are held at most: one, and those that have to follow
 * it. */
#define HELD_EVENTS_MAX (EVENT_FOLLOWERS_MAX + 1)

struct held_event
{
  uint64_t id;
  size_t bytes_count;
};

/** Queue of events; zero-initialise. */
struct held_events
{
  struct buffer bytes;
  struct held_event items[HELD_EVENTS_MAX];
  uint32_t count;
};

/** Append EVENT.  Returns false if out of memory. */
bool held_events_add (struct held_events *held, const struct event *event);

/** Return the first event, which is valid until the next change; the queue is
 * not empty. */
struct event held_events_first (const struct held_events *held);

/** Remove the first event. */
void held_events_drop_first (struct held_events *held);

/** Return the id of the last event; the queue is not empty. */
uint64_t held_events_last_id (const struct held_events *held);

/** Return how many of the events are further ahead of the one before than by
 * one; the first one follows SEQUENCE. */
uint32_t held_events_jumps (const struct held_events *held,
                            const struct event_sequence *sequence);

/** Release the events. */
void held_events_clear (struct held_events *held);

#endif
