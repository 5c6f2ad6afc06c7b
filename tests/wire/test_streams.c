#include <check.h>
#include <string.h>

#include "../suite.h"
#include "wire/link.h"
#include "wire/streams.h"

static struct streams_message
full_message (void)
{
  struct streams_message message = { 0 };

  for (uint32_t i = 0; i < STREAMS_MAX; i++)
    {
      message.records[message.record_count++]
          = (struct beryl_stream_record){ UINT64_MAX - i, UINT32_MAX - i,
                                          UINT32_MAX - i };
      message.questions[message.question_count++]
          = (struct beryl_stream_question){ UINT64_MAX - i, UINT32_MAX - i };
      message.answers[message.answer_count++]
          = (struct beryl_stream_answer){ UINT64_MAX - i, UINT32_MAX - i,
                                          UINT32_MAX - i, i % 2 == 0 };
    }
  return message;
}

START_TEST (test_round_trip)
{
  struct streams_message message = full_message ();
  struct streams_message again;
  struct frame_writer *writer = frame_writer_create (STREAMS_DATAGRAM);
  struct frame *frame;
  const void *bytes;
  size_t count;

  streams_put (writer, &message);
  bytes = frame_writer_finish (writer, &count);
  ck_assert_uint_le (count, DATAGRAM_MAX_BYTES);
  frame = frame_parse (bytes, count, NULL);
  ck_assert (frame != NULL && streams_read (frame, &again));
  ck_assert_mem_eq (&again, &message, sizeof message);
  frame_destroy (frame);
  frame_writer_destroy (writer);
}
END_TEST

/* Guards against a message with too many items, or half of one, being used. */
START_TEST (test_malformed)
{
  static const uint32_t counts[] = { 3 * STREAMS_MAX + 3, 4 };

  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      struct frame_writer *writer = frame_writer_create (STREAMS_DATAGRAM);
      struct streams_message message;
      struct frame *frame;
      const void *bytes;
      size_t count;

      frame_put_array (writer, 1);
      for (uint32_t k = 0; k < counts[i]; k++)
        frame_put_uint (writer, 0, k);
      frame_put_end (writer);
      bytes = frame_writer_finish (writer, &count);
      frame = frame_parse (bytes, count, NULL);
      ck_assert_ptr_nonnull (frame);
      ck_assert (!streams_read (frame, &message));
      frame_destroy (frame);
      frame_writer_destroy (writer);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("streams");
  TCase *tcase = tcase_create ("streams");

  tcase_add_test (tcase, test_round_trip);
  tcase_add_test (tcase, test_malformed);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
