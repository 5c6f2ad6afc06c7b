/** @file
 * Failure: an endpoint that sends an answer which is none of the request's
 * run: bytes that frame like an answer, or the answer to another request.  An
 * answer is told by the marks that it bears, never by its framing.
 */
#ifndef DECIDE_ANSWER_CHECK_H
#define DECIDE_ANSWER_CHECK_H

#include <stdbool.h>

#include "beryl/forward.h"

/** Why an answer is not that of the request's run. */
enum answer_fault
{
  ANSWER_OK,
  ANSWER_WITHOUT_ID,    /**< it does not name the request */
  ANSWER_OTHER_REQUEST, /**< it names another one */
  ANSWER_WITHOUT_SEAL,  /**< a success, or a promise that the request has not
                           run, without the endpoint's proof */
  ANSWER_NO_STREAM,    /**< a success on a streaming route that is no stream */
  ANSWER_EMPTY_STREAM, /**< a stream that ends before its first event */
};

/** Return the stable name of FAULT. */
const char *answer_fault_name (enum answer_fault fault);

/** Return why HEAD does not begin the answer to a request; STREAMING: its
 * route's answers are streams. */
enum answer_fault answer_check_head (const struct beryl_answer_head *head,
                                     bool streaming);

/** Return why RESULT is not the answer to a call other than a run. */
enum answer_fault
answer_check_result (const struct beryl_engine_result *result);

#endif
