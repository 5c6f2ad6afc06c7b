/** @file
 * Splits a body of server-sent events into single events.
 *
 * Only complete events are forwarded, so that a stream that breaks within one
 * can resume elsewhere after the previous one.
 */
#ifndef FORWARD_EVENTS_H
#define FORWARD_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/buffer.h"
#include "../decide/event_sequence.h"

/** Most bytes that are buffered. An event that does not fit is malformed. */
#define EVENT_MAX_BYTES (1U << 20)

/** State of a stream; zero-initialise. */
struct event_splitter
{
  const char *extra_field; /**< name of a field besides those of the standard
                              that events may have; NULL: none */
  struct buffer pending;   /**< the event returned last, and later bytes */
  size_t scanned;  /**< bytes searched without finding the end of an event */
  size_t consumed; /**< bytes of the event returned last */
};

/** One event, including the empty line that ends it, without empty lines
 * before it. */
struct event
{
  const char *bytes;
  size_t count;
  bool is_comment; /**< no event: comments and retry times only */
  bool has_id;
  bool has_data;
  uint64_t id;            /**< valid if has_id: the id is a decimal number */
  enum event_fault fault; /**< of its form */
};

/** Append bytes; false if more than EVENT_MAX_BYTES would be buffered, the
 * event returned last included. */
bool event_splitter_add (struct event_splitter *s, const char *bytes,
                         size_t count);

/** Get the next complete event, valid until the next call of this function or
 * event_splitter_add; false if there is none. */
bool event_splitter_next (struct event_splitter *s, struct event *event);

/** Return whether an incomplete event is buffered. */
bool event_splitter_partial (const struct event_splitter *s);

/** Discard the buffered bytes and free the buffer. */
void event_splitter_clear (struct event_splitter *s);

#endif
