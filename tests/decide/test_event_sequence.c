#include <check.h>

#include "../../libberyl/decide/event_sequence.h"
#include "../suite.h"

/* Advances a run from its first event by COUNT ids that are STEP apart. */
static struct event_sequence
run_of (struct beryl_event_numbering *numbering, uint64_t count, uint64_t step)
{
  struct event_sequence sequence = { .known = true };

  for (uint64_t i = 0; i < count; i++)
    {
      uint64_t id = sequence.last_id + (i == 0 ? 1 : step);

      ck_assert_int_eq (event_sequence_check (&sequence, numbering, id),
                        EVENT_OK);
      event_numbering_learn (numbering, &sequence, id);
      event_sequence_advance (&sequence, id);
    }
  return sequence;
}

/* Guards against an event far ahead that is taken for a fault because ids have
   gone by ones: they only have to increase. */
START_TEST (test_far_ahead)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence sequence = run_of (&numbering, 40, 1);

  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 41),
                    EVENT_OK);
  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 42),
                    EVENT_OK);
  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 900),
                    EVENT_OK);
  ck_assert (!event_sequence_jumps (&sequence, 41));
  ck_assert (event_sequence_jumps (&sequence, 42));
}
END_TEST

/* Guards against a run that begins elsewhere than it was asked to. */
START_TEST (test_run_begins_elsewhere)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence resumed
      = { .known = true, .has_last = true, .joins = true, .last_id = 12 };
  struct event_sequence unknown = { .last_id = 12 };

  run_of (&numbering, 40, 1);
  ck_assert_int_eq (event_sequence_check (&resumed, &numbering, 1),
                    EVENT_REPEATED);
  ck_assert_int_eq (event_sequence_check (&resumed, &numbering, 12),
                    EVENT_REPEATED);
  ck_assert_int_eq (event_sequence_check (&resumed, &numbering, 14),
                    EVENT_SKIPPED);
  ck_assert_int_eq (event_sequence_check (&resumed, &numbering, 13), EVENT_OK);
  ck_assert_int_eq (event_sequence_check (&unknown, &numbering, 1), EVENT_OK);
  ck_assert_int_eq (event_sequence_check (&unknown, &numbering, 13), EVENT_OK);
}
END_TEST

/* Guards against events that were lost with the run before, also at an engine
   of which nothing is known, and against sound runs of engines that number
   otherwise. */
START_TEST (test_run_goes_on)
{
  static const struct
  {
    uint32_t steps, jumps; /* of the answer so far */
    struct beryl_event_numbering numbering;
    enum event_fault fault;
  } cases[] = {
    { 0, 0, { 0, 0 }, EVENT_OK },      { 1, 0, { 0, 0 }, EVENT_OK },
    { 2, 0, { 0, 0 }, EVENT_SKIPPED }, { 40, 0, { 16, 0 }, EVENT_SKIPPED },
    { 2, 1, { 0, 0 }, EVENT_OK },      { 2, 0, { 2, 14 }, EVENT_OK },
    { 0, 0, { 16, 0 }, EVENT_SKIPPED }
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct event_sequence sequence = { .known = true,
                                         .has_last = true,
                                         .joins = true,
                                         .last_id = 41,
                                         .steps = cases[i].steps,
                                         .jumps = cases[i].jumps };

      ck_assert_int_eq (
          event_sequence_check (&sequence, &cases[i].numbering, 43),
          cases[i].fault);
      ck_assert_int_eq (
          event_sequence_check (&sequence, &cases[i].numbering, 42), EVENT_OK);
    }
}
END_TEST

START_TEST (test_repeated)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence sequence = run_of (&numbering, 3, 1);

  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 3),
                    EVENT_REPEATED);
  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 0),
                    EVENT_REPEATED);
}
END_TEST

/* Guards against a run whose first event has id 0 being broken off. */
START_TEST (test_from_zero)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence sequence = { .known = true };

  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 0), EVENT_OK);
  ck_assert (!event_sequence_jumps (&sequence, 0));
  event_sequence_advance (&sequence, 0);
  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 0),
                    EVENT_REPEATED);
  ck_assert_int_eq (event_sequence_check (&sequence, &numbering, 1), EVENT_OK);
}
END_TEST

/* Guards against proper streams being broken off, or delayed for good, at an
   endpoint whose ids increase by more than one. */
START_TEST (test_sparse_numbering)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence sequence = { .known = true };

  for (int i = 0; i < 50; i++)
    run_of (&numbering, 40, 10);
  ck_assert_uint_eq (event_sequence_followers (&sequence, &numbering), 0);
}
END_TEST

/* Guards against an endpoint that changes how it numbers events, and is not
   believed to do so for as long as it has counted by ones. */
START_TEST (test_numbering_changes)
{
  struct beryl_event_numbering numbering = { 0 };
  struct event_sequence sequence = { .known = true };

  for (int i = 0; i < 5000; i++)
    run_of (&numbering, 40, 1);
  ck_assert_uint_eq (event_sequence_followers (&sequence, &numbering), 4);
  run_of (&numbering, 40, 8);
  ck_assert_uint_eq (event_sequence_followers (&sequence, &numbering), 1);
  for (int i = 0; i < 20; i++)
    run_of (&numbering, 40, 8);
  ck_assert_uint_eq (event_sequence_followers (&sequence, &numbering), 0);
}
END_TEST

/* Guards against an event far ahead that is forwarded at once, since one jump
   was seen before, and against several odd pieces in a row at an endpoint that
   counts by ones. */
START_TEST (test_followers)
{
  struct event_sequence sequence
      = { .known = true, .has_last = true, .last_id = 3 };
  struct event_sequence jumped
      = { .known = true, .has_last = true, .last_id = 3, .jumps = 1 };
  struct event_sequence by_ones
      = { .known = true, .has_last = true, .last_id = 3, .steps = 2 };
  static const struct
  {
    struct beryl_event_numbering numbering;
    uint32_t followers, after_jump, after_steps;
  } cases[] = { { { 0, 0 }, 1, 1, 4 },  { { 15, 0 }, 1, 1, 4 },
                { { 16, 0 }, 4, 1, 4 }, { { 16, 1 }, 1, 1, 1 },
                { { 31, 1 }, 1, 1, 1 }, { { 32, 1 }, 4, 1, 4 },
                { { 40, 2 }, 1, 1, 1 }, { { 0, 16 }, 0, 0, 0 },
                { { 8, 30 }, 0, 0, 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      ck_assert_uint_eq (
          event_sequence_followers (&sequence, &cases[i].numbering),
          cases[i].followers);
      ck_assert_uint_eq (
          event_sequence_followers (&jumped, &cases[i].numbering),
          cases[i].after_jump);
      ck_assert_uint_eq (
          event_sequence_followers (&by_ones, &cases[i].numbering),
          cases[i].after_steps);
    }
}
END_TEST

/* Guards against whole runs that are taken for broken ones as their last event
   is far ahead, and against an odd piece at the end of one whose ids have gone
   by ones. */
START_TEST (test_ends)
{
  static const struct
  {
    uint32_t steps, jumps; /* of the answer so far */
    struct beryl_event_numbering endpoint, service;
    uint32_t waiting_jumps;
    bool whole;
  } cases[] = {
    /* Nothing is known. */
    { 0, 0, { 0, 0 }, { 0, 0 }, 1, true },
    { 1, 0, { 0, 0 }, { 0, 0 }, 1, true },
    { 2, 0, { 0, 0 }, { 0, 0 }, 1, false },
    { 30, 0, { 0, 0 }, { 0, 0 }, 1, false },
    { 30, 1, { 0, 0 }, { 0, 0 }, 1, true },
    { 30, 0, { 0, 0 }, { 0, 0 }, 2, true },
    /* An endpoint that counts by ones, and a new one beside such. */
    { 0, 0, { 16, 0 }, { 16, 0 }, 1, false },
    { 30, 0, { 200, 0 }, { 200, 0 }, 1, false },
    { 30, 1, { 200, 0 }, { 200, 0 }, 1, true },
    { 0, 0, { 0, 0 }, { 200, 0 }, 1, true },
    { 2, 0, { 0, 0 }, { 200, 0 }, 1, false },
    /* Endpoints whose ids do not go by ones, and a new one beside such. */
    { 2, 0, { 14, 2 }, { 14, 2 }, 1, true },
    { 2, 0, { 0, 0 }, { 14, 2 }, 1, true },
    { 2, 0, { 16, 0 }, { 14, 2 }, 1, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct event_sequence sequence = { .known = true,
                                         .has_last = true,
                                         .last_id = 41,
                                         .steps = cases[i].steps,
                                         .jumps = cases[i].jumps };

      ck_assert_msg (event_sequence_ends (&sequence, &cases[i].endpoint,
                                          &cases[i].service,
                                          cases[i].waiting_jumps)
                         == cases[i].whole,
                     "case %zu", i);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("order of events");
  TCase *tcase = tcase_create ("sequence");

  tcase_add_test (tcase, test_far_ahead);
  tcase_add_test (tcase, test_followers);
  tcase_add_test (tcase, test_ends);
  tcase_add_test (tcase, test_run_begins_elsewhere);
  tcase_add_test (tcase, test_run_goes_on);
  tcase_add_test (tcase, test_repeated);
  tcase_add_test (tcase, test_from_zero);
  tcase_add_test (tcase, test_sparse_numbering);
  tcase_add_test (tcase, test_numbering_changes);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
