#include <fcntl.h>
#include <glib.h>
#include <unistd.h>

#include "../suite.h"
#include "common/loop.h"

#define MS 1000

/* A pipe whose bytes are read on the loop. */
struct source
{
  uv_poll_t poll;
  int fds[2];
  uint32_t reads;
  struct source *writes_to; /* after reading for LASTS_MS; NULL: nothing */
  int64_t lasts_ms;
};

static struct loop *loop;
static struct source first, second;
static struct loop_timer *timer, *other;
static uint32_t reads_before_timer, timer_count, other_count;

static void
send_byte (struct source *source)
{
  ck_assert_int_eq (write (source->fds[1], "x", 1), 1);
}

static void
read_byte (uv_poll_t *poll, int status, int events)
{
  struct source *source = poll->data;
  char byte;

  ck_assert_int_eq (read (source->fds[0], &byte, 1), 1);
  source->reads++;
  g_usleep ((gulong)source->lasts_ms * MS);
  if (source->writes_to != NULL)
    send_byte (source->writes_to);
}

static void
source_open (struct source *source)
{
  *source = (struct source){ 0 };
  ck_assert_int_eq (pipe2 (source->fds, O_CLOEXEC | O_NONBLOCK), 0);
  uv_poll_init (loop_uv (loop), &source->poll, source->fds[0]);
  source->poll.data = source;
  uv_poll_start (&source->poll, UV_READABLE, read_byte);
}

static void
source_close (struct source *source)
{
  uv_close ((uv_handle_t *)&source->poll, NULL);
  uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  close (source->fds[0]);
  close (source->fds[1]);
}

static void
timer_ran (void *user)
{
  timer_count++;
  reads_before_timer = first.reads + second.reads;
}

/* Works for long, while a byte arrives. */
static void
work (void *user)
{
  send_byte (&first);
  g_usleep (50 * MS);
}

static void
other_ran (void *user)
{
  other_count++;
}

static void
setup (void)
{
  loop = loop_create ();
  source_open (&first);
  source_open (&second);
  timer_count = 0;
  other_count = 0;
  reads_before_timer = 0;
  other = NULL;
  timer = loop_timer_start (loop, 10, 0, timer_ran, NULL);
}

static void
teardown (void)
{
  loop_timer_stop (timer);
  loop_timer_stop (other);
  source_close (&first);
  source_close (&second);
  loop_destroy (loop);
}

/* Turns the loop until the timer has run, COUNT times at most. */
static void
turn (uint32_t count)
{
  for (uint32_t i = 0; i < count && timer_count == 0; i++)
    uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_uint_eq (timer_count, 1);
}

/* A timer that judges silence takes what waits to be read for silence. */
START_TEST (test_timer_after_long_turn)
{
  send_byte (&first);
  g_usleep (50 * MS);
  turn (1);
  ck_assert_uint_eq (reads_before_timer, 1);
}
END_TEST

/* The same with what arrives while the loop reads for long. */
START_TEST (test_timer_after_long_read)
{
  first.lasts_ms = 100;
  first.writes_to = &second;
  send_byte (&first);
  g_usleep (50 * MS);
  turn (2);
  ck_assert_uint_eq (reads_before_timer, 2);
}
END_TEST

/* A timer never runs if the sockets always have more. */
START_TEST (test_timer_beside_endless_reads)
{
  first.lasts_ms = 30;
  first.writes_to = &first;
  send_byte (&first);
  g_usleep (50 * MS);
  turn (5);
}
END_TEST

/* A due timer is not waited for: the poll before it blocks. */
START_TEST (test_timer_is_punctual)
{
  int64_t begin_ms = loop_now_ms (loop);

  for (int i = 0; i < 100 && timer_count == 0; i++)
    uv_run (loop_uv (loop), UV_RUN_ONCE);
  ck_assert_uint_eq (timer_count, 1);
  ck_assert_int_ge (loop_now_ms (loop) - begin_ms, 10);
  ck_assert_int_lt (loop_now_ms (loop) - begin_ms, 1000);
}
END_TEST

static void
stop_other (void *user)
{
  loop_timer_stop (other);
  other = NULL;
}

/* A timer that another one stops in the same turn runs all the same. */
START_TEST (test_stopped_while_due)
{
  loop_timer_stop (timer);
  timer = loop_timer_start (loop, 1, 0, stop_other, NULL);
  other = loop_timer_start (loop, 2, 0, other_ran, NULL);
  g_usleep (20 * MS);
  for (int i = 0; i < 5; i++)
    uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_ptr_null (other);
  ck_assert_uint_eq (other_count, 0);
}
END_TEST

/* A timer that is set anew, or unset, while it is due runs by its old time. */
START_TEST (test_set_while_due)
{
  other = loop_timer_create (loop, other_ran, NULL);
  loop_timer_set (other, 1, 0);
  first.lasts_ms = 100;
  send_byte (&first);
  g_usleep (20 * MS);
  uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_uint_eq (other_count, 0);
  loop_timer_set (other, 200, 0);
  loop_timer_unset (timer);
  for (int i = 0; i < 5; i++)
    uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_uint_eq (other_count, 0);
  g_usleep (300 * MS);
  uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_uint_eq (other_count, 1);
  ck_assert_uint_eq (timer_count, 0);
}
END_TEST

/* What arrives while another timer's callback works for long is taken for
   silence, since both were due before. */
START_TEST (test_timer_after_long_callback)
{
  loop_timer_stop (timer);
  other = loop_timer_start (loop, 1, 0, work, NULL);
  timer = loop_timer_start (loop, 2, 0, timer_ran, NULL);
  g_usleep (20 * MS);
  turn (2);
  ck_assert_uint_eq (reads_before_timer, 1);
}
END_TEST

/* A timer never runs if another one, which is set anew each time, always works
   for long. */
START_TEST (test_timer_beside_long_callbacks)
{
  loop_timer_stop (timer);
  other = loop_timer_start (loop, 1, 1, work, NULL);
  timer = loop_timer_start (loop, 2, 0, timer_ran, NULL);
  g_usleep (20 * MS);
  turn (4);
}
END_TEST

/* The loop polls without waiting, for no timer, once one has been unset while
   it was due. */
START_TEST (test_wait_after_unset_while_due)
{
  first.lasts_ms = 100;
  send_byte (&first);
  g_usleep (50 * MS);
  uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  loop_timer_unset (timer);
  ck_assert_int_ne (uv_backend_timeout (loop_uv (loop)), 0);
  ck_assert_uint_eq (timer_count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loop");
  TCase *tcase = tcase_create ("timers");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_timer_after_long_turn);
  tcase_add_test (tcase, test_timer_after_long_read);
  tcase_add_test (tcase, test_timer_beside_endless_reads);
  tcase_add_test (tcase, test_timer_is_punctual);
  tcase_add_test (tcase, test_stopped_while_due);
  tcase_add_test (tcase, test_set_while_due);
  tcase_add_test (tcase, test_timer_after_long_callback);
  tcase_add_test (tcase, test_timer_beside_long_callbacks);
  tcase_add_test (tcase, test_wait_after_unset_while_due);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
