/** @file
 * Datagram about the software versions at which streams began: records for
 * peers to keep, questions, and answers to them. It may be lost.
 */
#ifndef WIRE_STREAMS_H
#define WIRE_STREAMS_H

#include <stdbool.h>
#include <stddef.h>

#include "beryl/forward.h"
#include "wire/frame.h"

/** Frame type. */
#define STREAMS_DATAGRAM 51

/** Most items of each kind in one message. */
#define STREAMS_MAX 16

/** The message. */
struct streams_message
{
  struct beryl_stream_record records[STREAMS_MAX];
  size_t record_count;
  struct beryl_stream_question questions[STREAMS_MAX];
  size_t question_count;
  struct beryl_stream_answer answers[STREAMS_MAX];
  size_t answer_count;
};

/** Begin a frame in WRITER and put MESSAGE into it. */
void streams_put (struct frame_writer *writer,
                  const struct streams_message *message);

/** Read one; false if malformed. */
bool streams_read (struct frame *frame, struct streams_message *message);

#endif
