#include "answer_check.h"

const char *
answer_fault_name (enum answer_fault fault)
{
  static const char *const names[]
      = { "none",         "without_id", "other_request",
          "without_seal", "no_stream",  "empty_stream" };

  return names[fault];
}

static bool
is_success (unsigned int status)
{
  return status / 100 == 2;
}

/* Returns whether callers take STATUS for a promise that the request has not
   run. */
static bool
is_promise (unsigned int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

enum answer_fault
answer_check_head (const struct beryl_answer_head *head, bool streaming)
{
  if (head->marks.other_id)
    return ANSWER_OTHER_REQUEST;
  /* Some endpoints reject requests without naming them. */
  if (head->marks.lacks_id && !head->not_run)
    return ANSWER_WITHOUT_ID;
  if (head->marks.lacks_seal && !head->not_run
      && (is_success (head->status) || is_promise (head->status)))
    return ANSWER_WITHOUT_SEAL;
  if (!is_success (head->status))
    return ANSWER_OK;
  if (streaming && (head->status != 200 || !head->event_stream))
    return ANSWER_NO_STREAM;
  return ANSWER_OK;
}

enum answer_fault
answer_check_result (const struct beryl_engine_result *result)
{
  return result->marks.other_id ? ANSWER_OTHER_REQUEST : ANSWER_OK;
}
