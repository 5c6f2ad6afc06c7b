/** @file
 * Errors as application/problem+json.
 */
#ifndef ENTRYD_PROBLEM_H
#define ENTRYD_PROBLEM_H

#include "beryl/outcome.h"
#include "beryl/requests.h"
#include "http/server.h"

/** Problems that entryd finds before a request is taken on, so that all of
 * them are "not run". */
enum entry_problem
{
  ENTRY_INVALID_REQUEST,
  ENTRY_UNAUTHORIZED,
  ENTRY_NO_ROUTE,
  ENTRY_NOT_FOUND,
  ENTRY_METHOD,
  ENTRY_UNKNOWN_MODEL,
  ENTRY_UNKNOWN_SERVICE,
  ENTRY_DEADLINE_PASSED,
  ENTRY_NOT_READY,
  ENTRY_OVERLOADED,
};

/** Answer EX with a problem of entryd. */
void problem_respond (struct http_exchange *ex, enum entry_problem problem,
                      const char *request_id, const char *detail);

/** Answer EX with a problem of beryl_requests. */
void problem_respond_action (struct http_exchange *ex,
                             const struct beryl_action *action,
                             const char *request_id);

/** Return the HTTP status of PROBLEM. */
unsigned int problem_status (enum beryl_problem problem);

/** Return the body of a problem, to be released with free(). */
char *problem_format (const char *type, unsigned int status, const char *title,
                      const char *detail, const char *action,
                      enum beryl_outcome outcome, int64_t retry_after_ms,
                      const char *request_id);

#endif
