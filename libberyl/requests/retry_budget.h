/** @file
 * Limits the retries of each service to a share of its first attempts.
 *
 * Without a limit, a failing service receives several times its normal load
 * when it can sustain the least, since every failed call is retried.
 */
#ifndef BERYL_REQUESTS_RETRY_BUDGET_H
#define BERYL_REQUESTS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Most retries that a service may accumulate; a new budget starts with as
 * many. */
#define RETRY_BUDGET_BURST 10

/** Retry budget of one service, in hundredths of a retry. */
struct retry_budget
{
  char service[BERYL_NAME_BYTES];
  uint32_t hundredths;
};

/** Budgets of all services of a node; zero-initialise. */
struct retry_budgets
{
  struct retry_budget *items;
  size_t count;
};

/** Count a first attempt of SERVICE, which adds PERCENT hundredths of a
 * retry. */
void retry_budget_earn (struct retry_budgets *budgets, const char *service,
                        uint32_t percent);

/** Use one retry of SERVICE; false if the budget is exhausted. */
bool retry_budget_spend (struct retry_budgets *budgets, const char *service);

/** Free the budgets. */
void retry_budgets_clear (struct retry_budgets *budgets);

#endif
