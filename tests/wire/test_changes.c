#include <string.h>

#include "../suite.h"
#include "wire/changes.h"

/* Writes MESSAGE and reads it into AGAIN, whose values are of FRAME. */
static bool
pass (const struct changes_message *message, struct changes_message *again,
      struct frame **frame)
{
  struct frame_writer *writer = frame_writer_create (CHANGES_DATAGRAM);
  size_t count;
  const void *bytes;

  changes_put (writer, message);
  bytes = frame_writer_finish (writer, &count);
  *frame = frame_parse (bytes, count, NULL);
  frame_writer_destroy (writer);
  return *frame != NULL && changes_read (*frame, again);
}

START_TEST (test_round_trip)
{
  static struct changes_message message, again;
  struct frame *frame;

  message.after = 7;
  message.revision = 20;
  message.count = 2;
  strcpy (message.changes[0].name, "i-1");
  message.changes[0].version = 9;
  message.changes[0].value = "{\"state\":\"ready\"}";
  message.changes[0].value_bytes = strlen (message.changes[0].value);
  strcpy (message.changes[1].name, "i-2");
  message.changes[1].version = 12;
  ck_assert (pass (&message, &again, &frame));
  ck_assert_uint_eq (again.after, 7);
  ck_assert_uint_eq (again.revision, 20);
  ck_assert_uint_eq (again.count, 2);
  ck_assert_str_eq (again.changes[0].name, "i-1");
  ck_assert_uint_eq (again.changes[0].value_bytes,
                     message.changes[0].value_bytes);
  ck_assert_mem_eq (again.changes[0].value, message.changes[0].value,
                    message.changes[0].value_bytes);
  ck_assert_str_eq (again.changes[1].name, "i-2");
  ck_assert_uint_eq (again.changes[1].version, 12);
  ck_assert_ptr_null (again.changes[1].value);
  frame_destroy (frame);
}
END_TEST

START_TEST (test_nothing_changed)
{
  static struct changes_message message, again;
  struct frame *frame;

  message.after = 7;
  message.revision = 7;
  ck_assert (pass (&message, &again, &frame));
  ck_assert_uint_eq (again.count, 0);
  frame_destroy (frame);
}
END_TEST

/* Guards against changes that a reader would skip or apply in another order
 * than the list had. */
START_TEST (test_disorder_is_refused)
{
  static struct changes_message message, again;
  struct frame *frame;

  message.after = 7;
  message.revision = 20;
  message.count = 2;
  strcpy (message.changes[0].name, "i-1");
  strcpy (message.changes[1].name, "i-2");
  message.changes[0].version = 12;
  message.changes[1].version = 9;
  ck_assert (!pass (&message, &again, &frame));
  frame_destroy (frame);
  message.changes[1].version = 21;
  ck_assert (!pass (&message, &again, &frame));
  frame_destroy (frame);
  message.changes[0].version = 6;
  message.changes[1].version = 9;
  ck_assert (!pass (&message, &again, &frame));
  frame_destroy (frame);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("changes");
  TCase *tcase = tcase_create ("changes");

  tcase_add_test (tcase, test_round_trip);
  tcase_add_test (tcase, test_nothing_changed);
  tcase_add_test (tcase, test_disorder_is_refused);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
