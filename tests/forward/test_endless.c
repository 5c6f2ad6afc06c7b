#include <check.h>
#include <string.h>

#include "../suite.h"
#include "model.h"

/* Pieces after which a stream must have been given up; a caller of the fixture
 * asks for 2000 tokens. */
#define PIECES_MAX 60000

/* What a stream repeats without an end, and the bytes of it that the caller
 * may get. */
static const struct
{
  const char *name;
  const char *piece;
  size_t forwarded_max;
} rows[] = {
  { "a line", "data data data data data data data data data data data", 0 },
  { "lines of one event", "data: a\ndata: b\ndata: c\ndata: d\ndata: e\n", 0 },
  { "comments", ": no event\n\n", 65536 },
  { "events", "data: a\n\n", 4016 * 9 },
  { "events without data", "event: a\n\n", 65536 },
  { "an event that the caller has", "id: 3\ndata: e3\n\n", 0 },
};

static struct fx_exchange *
send_until_closed (struct fx_exchange *run, const char *piece)
{
  for (int i = 0; i < PIECES_MAX && run->open; i++)
    fx_data (&fx, run, piece);
  return run;
}

/* Guards against streams that never end, which a node would read and remember
 * until their callers' deadlines. */
START_TEST (test_stream_without_end)
{
  struct fx_exchange *run, *next;
  size_t before;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  before = answer (1)->body->len;
  send_until_closed (run, rows[_i].piece);
  ck_assert_msg (run->aborted, "%s", rows[_i].name);
  ck_assert_uint_le (answer (1)->body->len - before, rows[_i].forwarded_max);
  ck_assert_uint_gt (
      fx_find_endpoint (&fx, run->endpoint)->consecutive_failures, 0);
  /* Its caller gets the rest from another engine. */
  next = fx_to_run (&fx, 1);
  ck_assert (next->resumes);
  ck_assert_uint_eq (next->last_event, 3);
  fx_stream (&fx, next);
  fx_event (&fx, next, 4);
  fx_done (&fx, next);
  ck_assert (answer (1)->whole);
}
END_TEST

/* Guards against the same where each event is the next one. */
START_TEST (test_events_without_end)
{
  struct fx_exchange *run;
  uint64_t id = 3;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, id);
  while (run->open && id < PIECES_MAX)
    fx_event (&fx, run, ++id);
  ck_assert (run->aborted);
  ck_assert_uint_le (id, 4017);
}
END_TEST

/* Guards against a second run of a request that must not run twice. */
START_TEST (test_once_without_end)
{
  terms.route.resumable = false;
  terms.route.repeat = BERYL_REPEAT_ONCE;
  reopen ();
  engines (2, 3);
  fx_arrive (&fx, 1);
  fx_broken (&fx, fx_to_run (&fx, 1), BERYL_FAILURE_ENDLESS, true);
  ck_assert_uint_eq (fx_count (&fx, BERYL_EXCHANGE_RUN), 1);
  ck_assert_uint_eq (answer (1)->refusal.status, 502);
  ck_assert (!answer (1)->refusal.not_run);
}
END_TEST

/* Guards against a bound that cuts off a proper stream: one with all events
 * that its caller may get, and comments between them. */
START_TEST (test_long_stream)
{
  struct fx_exchange *run;

  fx_arrive (&fx, 1);
  run = fx_to_stream (&fx, 1, 3);
  for (uint64_t i = 4; i <= 2000; i++)
    {
      fx_data (&fx, run, ": still there\n\n");
      fx_event (&fx, run, i);
    }
  fx_done (&fx, run);
  ck_assert (answer (1)->whole);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("streams without an end");
  TCase *tcase = tcase_create ("endless");

  tcase_add_checked_fixture (tcase, model_setup, model_teardown);
  tcase_add_loop_test (tcase, test_stream_without_end, 0,
                       sizeof rows / sizeof *rows);
  tcase_add_test (tcase, test_events_without_end);
  tcase_add_test (tcase, test_once_without_end);
  tcase_add_test (tcase, test_long_stream);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
