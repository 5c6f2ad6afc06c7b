/** @file
 * Limits retries to a share of first tries, service by service.
 *
 * Without it a sick service is hit hardest when it can bear least: every
 * failed call comes back several times.
 */
#ifndef BERYL_REQUESTS_RETRY_BUDGET_H
#define BERYL_REQUESTS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** Retries that a quiet service may save up. */
#define RETRY_BUDGET_BURST 10

/** The budget of one service, in hundredths of a retry. */
struct retry_budget
{
  char service[BERYL_NAME_BYTES];
  uint32_t hundredths;
};

/** All budgets of a node; zero-initialise. */
struct retry_budgets
{
  struct retry_budget *items;
  size_t count;
};

/** Count a first try of SERVICE, which earns PERCENT hundredths. */
void retry_budget_earn (struct retry_budgets *budgets, const char *service,
                        uint32_t percent);

/** Spend one retry of SERVICE; false if there is none. */
bool retry_budget_spend (struct retry_budgets *budgets, const char *service);

/** Release the budgets. */
void retry_budgets_clear (struct retry_budgets *budgets);

#endif
