#include <stdlib.h>
#include <string.h>

#include "wire/frame.h"
#include "../suite.h"

enum
{
  KEY_ID = 1,
  KEY_NAME = 2,
  KEY_LIST = 3,
  KEY_NESTED = 4,
  KEY_DELTA = 5,
  KEY_RATE = 6,
  KEY_ON = 7,
  KEY_BYTES = 8,
};

/** Parse what WRITER holds and release it. */
static struct frame *
reread (struct frame_writer *w)
{
  size_t n;
  const void *bytes = frame_writer_finish (w, &n);
  struct frame *f;

  ck_assert_ptr_nonnull (bytes);
  f = frame_parse (bytes, n, NULL);
  frame_writer_destroy (w);
  ck_assert_ptr_nonnull (f);
  return f;
}

START_TEST (test_round_trip)
{
  struct frame_writer *w = frame_writer_create (77);
  struct frame *f;
  struct frame_map m;
  struct frame_array a;
  char text[8];
  size_t n;

  frame_put_uint (w, KEY_ID, UINT64_MAX);
  frame_put_string (w, KEY_NAME, "hal");
  frame_put_array (w, KEY_LIST);
  frame_put_uint (w, 0, 300);
  frame_put_map (w, 0);
  frame_put_string (w, KEY_NAME, "in");
  frame_put_end (w);
  frame_put_end (w);
  frame_put_map (w, KEY_NESTED);
  frame_put_int (w, KEY_DELTA, -5);
  frame_put_end (w);
  frame_put_double (w, KEY_RATE, 0.25);
  frame_put_bool (w, KEY_ON, true);
  frame_put_bytes (w, KEY_BYTES, "\0x", 2);
  f = reread (w);
  m = frame_root (f);
  ck_assert_uint_eq (frame_type (f), 77);
  ck_assert (frame_uint (m, KEY_ID, 0) == UINT64_MAX);
  ck_assert (frame_string (m, KEY_NAME, text, sizeof text));
  ck_assert_str_eq (text, "hal");
  a = frame_array (m, KEY_LIST);
  ck_assert_uint_eq (a.count, 2);
  ck_assert_uint_eq (frame_array_uint (a, 0), 300);
  frame_need_string (frame_array_map (a, 1), KEY_NAME, text, sizeof text);
  ck_assert_str_eq (text, "in");
  ck_assert_int_eq (frame_int (frame_map (m, KEY_NESTED), KEY_DELTA, 0), -5);
  ck_assert (frame_double (m, KEY_RATE, 0) == 0.25);
  ck_assert (frame_bool (m, KEY_ON, false));
  ck_assert_mem_eq (frame_bytes (m, KEY_BYTES, &n), "\0x", 2);
  ck_assert_uint_eq (n, 2);
  ck_assert_uint_eq (frame_uint (m, 99, 12), 12);
  ck_assert (frame_valid (f));
  frame_destroy (f);
}
END_TEST

START_TEST (test_wrong_types_fail_softly)
{
  struct frame_writer *w = frame_writer_create (1);
  struct frame *f;
  struct frame_map m;
  char text[4];

  frame_put_string (w, KEY_ID, "not a number");
  f = reread (w);
  m = frame_root (f);
  ck_assert_uint_eq (frame_uint (m, KEY_ID, 3), 3);
  ck_assert (!frame_valid (f));
  ck_assert (!frame_string (m, KEY_ID, text, sizeof text));
  ck_assert_str_eq (text, "");
  ck_assert_uint_eq (frame_array (m, KEY_ID).count, 0);
  ck_assert_ptr_null (frame_map (m, KEY_ID).object);
  ck_assert (!frame_has (frame_map (m, KEY_ID), 1));
  frame_destroy (f);
}
END_TEST

START_TEST (test_needed_field_absent)
{
  struct frame *f = reread (frame_writer_create (1));

  ck_assert (frame_valid (f));
  ck_assert_uint_eq (frame_need_uint (frame_root (f), KEY_ID), 0);
  ck_assert (!frame_valid (f));
  frame_destroy (f);
}
END_TEST

START_TEST (test_writer_limits)
{
  struct frame_writer *w = frame_writer_create (1);
  size_t n;

  frame_put_map (w, 1);
  ck_assert_ptr_null (frame_writer_finish (w, &n));
  frame_writer_reset (w, 1);
  frame_put_end (w);
  ck_assert_ptr_null (frame_writer_finish (w, &n));
  frame_writer_reset (w, 1);
  for (int i = 0; i < FRAME_DEPTH_MAX; i++)
    frame_put_map (w, 1);
  ck_assert_ptr_null (frame_writer_finish (w, &n));
  frame_writer_reset (w, 1);
  frame_put_array (w, 1);
  for (int i = 0; i < 65536; i++)
    frame_put_bool (w, 0, true);
  frame_put_end (w);
  ck_assert_ptr_null (frame_writer_finish (w, &n));
  frame_writer_destroy (w);
}
END_TEST

/** Whether a body is refused. */
static bool
refused (const char *body, size_t body_bytes)
{
  unsigned char bytes[256]
      = { 0, 0, 0, (unsigned char)body_bytes, 1, 0, 0, 1 };
  struct frame *f;

  memcpy (bytes + FRAME_HEADER_BYTES, body, body_bytes);
  f = frame_parse (bytes, FRAME_HEADER_BYTES + body_bytes, NULL);
  frame_destroy (f);
  return f == NULL;
}

/* A peer, or whoever reaches the port, sends a frame of a few bytes whose
   array claims 2^32 elements.  The decoder would allocate them before the
   first is read and the node would die of memory; the frame is refused. */
START_TEST (test_hostile_bodies)
{
  char deep[64];

  ck_assert (!refused ("\x80", 1));
  ck_assert (!refused ("\x81\x01\xcc\x20", 4));
  ck_assert (refused ("", 0));
  ck_assert (refused ("\x01", 1));
  ck_assert (refused ("\x80\x80", 2));
  ck_assert (refused ("\x81\x01", 2));
  ck_assert (refused ("\x81\x01\xdd\xff\xff\xff\xff", 7));
  ck_assert (refused ("\x81\x01\xdf\xff\xff\xff\xff", 7));
  ck_assert (refused ("\x81\x01\xdb\xff\xff\xff\xff", 7));
  ck_assert (refused ("\x81\x01\xc6\x00\x00\x00\x02x", 8));
  ck_assert (refused ("\x81\x01\xc1", 3));
  memset (deep, '\x91', sizeof deep);
  deep[0] = '\x81';
  deep[1] = 1;
  deep[sizeof deep - 1] = 1;
  ck_assert (refused (deep, sizeof deep));
}
END_TEST

START_TEST (test_other_version)
{
  const unsigned char frame[9] = { 0, 0, 0, 1, 2, 0, 0, 1, 0x80 };
  struct beryl_error error = { 0 };

  ck_assert_ptr_null (frame_parse (frame, sizeof frame, &error));
  ck_assert_int_eq (error.code, BERYL_ERROR_INVALID);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("frame");
  TCase *tc = tcase_create ("frame");

  tcase_add_test (tc, test_round_trip);
  tcase_add_test (tc, test_wrong_types_fail_softly);
  tcase_add_test (tc, test_needed_field_absent);
  tcase_add_test (tc, test_writer_limits);
  tcase_add_test (tc, test_hostile_bodies);
  tcase_add_test (tc, test_other_version);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
