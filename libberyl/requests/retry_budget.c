#include "retry_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_COST 100
#define BURST_HUNDREDTHS (RETRY_BUDGET_BURST * RETRY_COST)

static struct retry_budget *
budget_find (struct retry_budgets *budgets, const char *service)
{
  for (size_t i = 0; i < budgets->count; i++)
    if (strcmp (budgets->items[i].service, service) == 0)
      return &budgets->items[i];
  return NULL;
}

static struct retry_budget *
budget_add (struct retry_budgets *budgets, const char *service)
{
  struct retry_budget *items
      = realloc (budgets->items, (budgets->count + 1) * sizeof *items);
  struct retry_budget *budget;

  if (items == NULL)
    return NULL;
  budgets->items = items;
  budget = &items[budgets->count++];
  snprintf (budget->service, sizeof budget->service, "%s", service);
  budget->hundredths = BURST_HUNDREDTHS;
  return budget;
}

void
retry_budget_earn (struct retry_budgets *budgets, const char *service,
                   uint32_t percent)
{
  struct retry_budget *budget = budget_find (budgets, service);

  if (budget == NULL)
    budget = budget_add (budgets, service);
  if (budget == NULL)
    return;
  budget->hundredths += percent;
  if (budget->hundredths > BURST_HUNDREDTHS)
    budget->hundredths = BURST_HUNDREDTHS;
}

bool
retry_budget_spend (struct retry_budgets *budgets, const char *service)
{
  struct retry_budget *budget = budget_find (budgets, service);

  if (budget == NULL || budget->hundredths < RETRY_COST)
    return false;
  budget->hundredths -= RETRY_COST;
  return true;
}

void
retry_budgets_clear (struct retry_budgets *budgets)
{
  free (budgets->items);
  *budgets = (struct retry_budgets){ 0 };
}
