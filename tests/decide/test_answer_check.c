#include <check.h>

#include "../../libberyl/decide/answer_check.h"
#include "../suite.h"

/* Guards against an answer that lacks a mark of its run being taken for it,
   and against one that has them all being lost. */
static const struct
{
  struct beryl_answer_head head;
  bool streaming;
  enum answer_fault fault;
} rows[] = {
  { { .status = 200, .event_stream = true }, true, ANSWER_OK },
  { { .status = 200 }, false, ANSWER_OK },
  { { .status = 200, .event_stream = true }, false, ANSWER_OK },
  { { .status = 204 }, false, ANSWER_OK },
  { { .status = 500, .marks.lacks_seal = true }, false, ANSWER_OK },
  { { .status = 500, .marks.lacks_seal = true }, true, ANSWER_OK },
  { { .status = 200, .marks.lacks_seal = true }, false, ANSWER_WITHOUT_SEAL },
  { { .status = 204, .marks.lacks_seal = true }, false, ANSWER_WITHOUT_SEAL },
  { { .status = 200, .event_stream = true, .marks.lacks_seal = true },
    true,
    ANSWER_WITHOUT_SEAL },
  { { .status = 200, .marks.lacks_id = true }, false, ANSWER_WITHOUT_ID },
  { { .status = 200, .event_stream = true, .marks.lacks_id = true },
    true,
    ANSWER_WITHOUT_ID },
  { { .status = 302, .marks.lacks_id = true }, true, ANSWER_WITHOUT_ID },
  { { .status = 404, .marks.lacks_id = true }, false, ANSWER_WITHOUT_ID },
  { { .status = 500, .marks.lacks_id = true }, false, ANSWER_WITHOUT_ID },
  { { .status = 200, .marks.other_id = true }, false, ANSWER_OTHER_REQUEST },
  { { .status = 500, .marks.other_id = true }, true, ANSWER_OTHER_REQUEST },
  { { .status = 503, .not_run = true, .marks.other_id = true },
    false,
    ANSWER_OTHER_REQUEST },
  { { .status = 503, .not_run = true, .marks.lacks_id = true },
    false,
    ANSWER_OK },
  { { .status = 503, .marks.lacks_seal = true }, false, ANSWER_WITHOUT_SEAL },
  { { .status = 429, .marks.lacks_seal = true }, true, ANSWER_WITHOUT_SEAL },
  { { .status = 421, .marks.lacks_id = true }, false, ANSWER_WITHOUT_ID },
  { { .status = 421,
      .not_run = true,
      .marks = { .lacks_id = true, .lacks_seal = true } },
    true,
    ANSWER_OK },
  { { .status = 421, .not_run = true, .marks.other_id = true },
    true,
    ANSWER_OTHER_REQUEST },
  { { .status = 503 }, false, ANSWER_OK },
  { { .status = 503, .not_run = true, .marks.lacks_seal = true },
    false,
    ANSWER_OK },
  { { .status = 200 }, true, ANSWER_NO_STREAM },
  { { .status = 204 }, true, ANSWER_NO_STREAM },
  { { .status = 206, .event_stream = true }, true, ANSWER_NO_STREAM },
};

START_TEST (test_head)
{
  ck_assert_int_eq (answer_check_head (&rows[_i].head, rows[_i].streaming),
                    rows[_i].fault);
}
END_TEST

/* Guards against a run that goes on from the prompt or memory of another
   request. */
START_TEST (test_result)
{
  struct beryl_engine_result result = { .ok = true, .status = 200 };

  ck_assert_int_eq (answer_check_result (&result), ANSWER_OK);
  result.marks.lacks_seal = true;
  ck_assert_int_eq (answer_check_result (&result), ANSWER_OK);
  result.marks.other_id = true;
  ck_assert_int_eq (answer_check_result (&result), ANSWER_OTHER_REQUEST);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("what an answer bears");
  TCase *tcase = tcase_create ("answer check");

  tcase_add_loop_test (tcase, test_head, 0, sizeof rows / sizeof *rows);
  tcase_add_test (tcase, test_result);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
