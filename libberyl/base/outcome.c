#include "beryl/outcome.h"

const char *
beryl_outcome_name (enum beryl_outcome outcome)
{
  switch (outcome)
    {
    case BERYL_OUTCOME_PENDING:
      return "pending";
    case BERYL_OUTCOME_ANSWERED:
      return "answered";
    case BERYL_OUTCOME_NOT_RUN:
      return "not_run";
    case BERYL_OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

bool
beryl_outcome_allows_retry (enum beryl_outcome outcome, bool idempotent)
{
  switch (outcome)
    {
    case BERYL_OUTCOME_NOT_RUN:
      return true;
    case BERYL_OUTCOME_UNKNOWN:
      return idempotent;
    default:
      return false;
    }
}
