#include "beryl/requests.h"

const char *
beryl_problem_name (enum beryl_problem problem)
{
  static const char *const names[] = {
    [BERYL_PROBLEM_NO_SERVICE] = "no-service",
    [BERYL_PROBLEM_OVER_LIMIT] = "over-limit",
    [BERYL_PROBLEM_NO_CAPACITY] = "no-capacity",
    [BERYL_PROBLEM_DEADLINE] = "deadline",
    [BERYL_PROBLEM_ENDPOINT_FAILED] = "endpoint-failed",
    [BERYL_PROBLEM_KEY_IN_USE] = "key-in-use",
    [BERYL_PROBLEM_KEY_ANSWERED] = "key-answered",
    [BERYL_PROBLEM_KEY_MISMATCH] = "key-mismatch",
    [BERYL_PROBLEM_KEY_UNKNOWN] = "key-unknown",
    [BERYL_PROBLEM_CLAIM_UNAVAILABLE] = "claim-unavailable",
    [BERYL_PROBLEM_NOT_FOUND] = "not-found",
    [BERYL_PROBLEM_CONTEXT_LENGTH] = "context-length",
  };

  if ((size_t)problem >= sizeof names / sizeof names[0])
    return "unknown";
  return names[problem];
}
