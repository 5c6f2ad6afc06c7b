#include "wire/streams.h"

#include <string.h>

enum field
{
  FIELD_RECORDS = 1, /* numbers in a row, as the others */
  FIELD_QUESTIONS,
  FIELD_ANSWERS,
};

#define NUMBERS_PER_RECORD 3
#define NUMBERS_PER_QUESTION 2
#define NUMBERS_PER_ANSWER 4

void
streams_put (struct frame_writer *writer,
             const struct streams_message *message)
{
  frame_writer_reset (writer, STREAMS_DATAGRAM);
  frame_put_array (writer, FIELD_RECORDS);
  for (size_t i = 0; i < message->record_count; i++)
    {
      frame_put_uint (writer, 0, message->records[i].stream);
      frame_put_uint (writer, 0, message->records[i].version);
      frame_put_uint (writer, 0, message->records[i].remaining_ms);
    }
  frame_put_end (writer);
  frame_put_array (writer, FIELD_QUESTIONS);
  for (size_t i = 0; i < message->question_count; i++)
    {
      frame_put_uint (writer, 0, message->questions[i].stream);
      frame_put_uint (writer, 0, message->questions[i].service);
    }
  frame_put_end (writer);
  frame_put_array (writer, FIELD_ANSWERS);
  for (size_t i = 0; i < message->answer_count; i++)
    {
      const struct beryl_stream_answer *answer = &message->answers[i];

      frame_put_uint (writer, 0, answer->stream);
      frame_put_uint (writer, 0, answer->version);
      frame_put_uint (writer, 0, answer->sole_version);
      frame_put_uint (writer, 0, answer->several_versions);
    }
  frame_put_end (writer);
}

/* Returns the array KEY of items of NUMBERS each; an empty one, and FRAME
 * fails, if it is not that. */
static struct frame_array
read_items (struct frame *frame, enum field key, uint32_t numbers)
{
  struct frame_array array = frame_array (frame_root (frame), key);

  if (array.count <= STREAMS_MAX * numbers && array.count % numbers == 0)
    return array;
  frame_fail (frame);
  array.count = 0;
  return array;
}

bool
streams_read (struct frame *frame, struct streams_message *message)
{
  struct frame_array records, questions, answers;

  memset (message, 0, sizeof *message);
  if (frame_type (frame) != STREAMS_DATAGRAM)
    return false;
  records = read_items (frame, FIELD_RECORDS, NUMBERS_PER_RECORD);
  questions = read_items (frame, FIELD_QUESTIONS, NUMBERS_PER_QUESTION);
  answers = read_items (frame, FIELD_ANSWERS, NUMBERS_PER_ANSWER);
  for (uint32_t i = 0; i < records.count; i += NUMBERS_PER_RECORD)
    message->records[message->record_count++] = (struct beryl_stream_record){
      .stream = frame_array_uint (records, i),
      .version = frame_array_uint32 (records, i + 1),
      .remaining_ms = frame_array_uint32 (records, i + 2),
    };
  for (uint32_t i = 0; i < questions.count; i += NUMBERS_PER_QUESTION)
    message->questions[message->question_count++]
        = (struct beryl_stream_question){
            .stream = frame_array_uint (questions, i),
            .service = frame_array_uint32 (questions, i + 1),
          };
  for (uint32_t i = 0; i < answers.count; i += NUMBERS_PER_ANSWER)
    message->answers[message->answer_count++] = (struct beryl_stream_answer){
      .stream = frame_array_uint (answers, i),
      .version = frame_array_uint32 (answers, i + 1),
      .sole_version = frame_array_uint32 (answers, i + 2),
      .several_versions = frame_array_uint32 (answers, i + 3) != 0,
    };
  return frame_valid (frame);
}
