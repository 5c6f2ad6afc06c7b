#include <check.h>
#include <string.h>

#include "../suite.h"
#include "wire/link.h"
#include "wire/notices.h"

static struct notices_message
full_message (void)
{
  struct notices_message message = { 0 };
  struct beryl_quarantine_update *news = &message.quarantine;

  for (uint32_t i = 0; i < BERYL_CRASHES_MAX; i++)
    news->crashes[news->crash_count++]
        = (struct beryl_crash){ UINT64_MAX - i, UINT32_MAX - i };
  for (uint32_t i = 0; i < BERYL_CLEARED_MAX; i++)
    news->cleared[news->cleared_count++] = UINT64_MAX - i;
  for (uint32_t i = 0; i < BERYL_QUARANTINED_MAX; i++)
    news->quarantined[news->quarantined_count++]
        = (struct beryl_quarantined){ UINT64_MAX - i, UINT32_MAX - i };
  message.limits.node = UINT32_MAX;
  for (uint32_t i = 0; i < BERYL_LIMIT_ITEMS_MAX; i++)
    message.limits.items[message.limits.count++]
        = (struct beryl_limit_item){ UINT32_MAX - i, true,
                                     UINT32_MAX - i, UINT32_MAX - i,
                                     UINT32_MAX - i, UINT32_MAX - i };
  return message;
}

START_TEST (test_round_trip)
{
  struct notices_message message = full_message ();
  struct notices_message again;
  struct frame_writer *writer = frame_writer_create (NOTICES_DATAGRAM);
  struct frame *frame;
  const void *bytes;
  size_t count;

  notices_put (writer, &message);
  bytes = frame_writer_finish (writer, &count);
  /* A message that no datagram holds would never be sent. */
  ck_assert_uint_le (count, DATAGRAM_MAX_BYTES);
  frame = frame_parse (bytes, count, NULL);
  ck_assert (frame != NULL && notices_read (frame, &again));
  ck_assert_mem_eq (&again, &message, sizeof message);
  frame_destroy (frame);
  frame_writer_destroy (writer);
}
END_TEST

/* A message with more items than a node tells, or half of one, is none. */
START_TEST (test_malformed)
{
  static const uint32_t counts[] = { 2 * BERYL_CRASHES_MAX + 2, 3 };

  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      struct frame_writer *writer = frame_writer_create (NOTICES_DATAGRAM);
      struct notices_message message;
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
      ck_assert (!notices_read (frame, &message));
      frame_destroy (frame);
      frame_writer_destroy (writer);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("notices");
  TCase *tcase = tcase_create ("notices");

  tcase_add_test (tcase, test_round_trip);
  tcase_add_test (tcase, test_malformed);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
