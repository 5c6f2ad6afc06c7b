/** @file
 * Demand of the services, told to beryl-controld for the planner.
 */
#ifndef ENTRYD_DEMAND_H
#define ENTRYD_DEMAND_H

#include "entry.h"

struct demand;

/** Create and begin to report. */
struct demand *demand_create (struct entry *entry);

/** Release; NULL is allowed. */
void demand_destroy (struct demand *demand);

/** A call of SERVICE was taken on. */
void demand_arrived (struct demand *demand, const char *service,
                     uint32_t prompt_tokens);

/** An answer of SERVICE ended. */
void demand_answered (struct demand *demand, const char *service,
                      uint32_t output_tokens);

/** A call of SERVICE was refused for want of capacity. */
void demand_refused (struct demand *demand, const char *service);

#endif
