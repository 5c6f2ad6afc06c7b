#include <string.h>

#include "beryl/router.h"

static const char *const policy_names[] = {
  [BERYL_POLICY_PLANNED] = "planned",
  [BERYL_POLICY_RANDOM] = "random",
  [BERYL_POLICY_ROUND_ROBIN] = "round_robin",
  [BERYL_POLICY_LEAST_REPORTED] = "least_reported",
  [BERYL_POLICY_TWO_CHOICES] = "two_choices",
  [BERYL_POLICY_EXACT] = "exact",
};

#define POLICY_COUNT (sizeof policy_names / sizeof policy_names[0])

const char *
beryl_policy_name (enum beryl_policy policy)
{
  return (size_t)policy < POLICY_COUNT ? policy_names[policy] : "unknown";
}

bool
beryl_policy_parse (const char *name, enum beryl_policy *policy)
{
  for (size_t i = 0; i < POLICY_COUNT; i++)
    if (strcmp (policy_names[i], name) == 0)
      {
        *policy = (enum beryl_policy)i;
        return true;
      }
  return false;
}
