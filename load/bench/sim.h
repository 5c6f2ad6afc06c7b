/** @file
 * Virtual time for routers before engine models: the bench of the routing
 * policy.  Every node has a router of its own that hears the engines late;
 * messages between nodes and engines take a millisecond.
 */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../arrivals.h"
#include "../histogram.h"
#include "../scenario.h"
#include "beryl/router.h"

/** What goes wrong during a run. */
enum sim_fault
{
  SIM_FAULT_NONE,
  SIM_FAULT_ENGINE_DIES, /**< a decode engine, and comes back */
  SIM_FAULT_LINK_HALVES,
  SIM_FAULT_REPORTS_STOP,
  SIM_FAULT_EVENTS_LIE,
  SIM_FAULT_HOT_PREAMBLE, /**< most dossiers have one preamble */
  SIM_FAULT_COUNT,
};

/** A run. */
struct sim_settings
{
  const struct scenario *scenario;
  const struct arrivals *arrivals;
  enum beryl_policy policy;
  bool exact;   /**< one router for all, with true state */
  bool lengths; /**< the answers' lengths are known beforehand */
  int64_t report_lag_ms;
  double report_loss; /**< part of the reports that do not come */
  double event_loss;  /**< part of the cache events that do not come */
  enum sim_fault fault;
  int64_t fault_from_ms;
  int64_t fault_to_ms;
  bool early; /**< plans name the decode engine, without late binding */
  bool trace; /**< a line for each decision on standard error */
};

/** What came of it. */
struct sim_result
{
  uint64_t long_offered;
  uint64_t long_met; /**< answered whole before the deadline */
  uint64_t long_refused;
  uint64_t long_missed; /**< started, but not whole in time */
  uint64_t prefill_tokens;
  uint64_t wasted_tokens; /**< of prefills whose job was not met */
  uint64_t full;          /**< decodes refused as full */
  uint64_t expired;       /**< KV caches that ended unused */
  uint64_t urgent_offered;
  uint64_t urgent_met;
  uint64_t patient_offered;
  uint64_t patient_met;
  double least_fair; /**< least organisation's part of its fair share */
  struct histogram *first_token;
  struct histogram *urgent;
  struct histogram *between_tokens; /**< mean of each answer */
  uint32_t seconds;
  uint32_t *met_in_second; /**< by the second of the answer */
  uint64_t decisions;
};

/** Run; release the result with sim_result_release. */
void sim_run (const struct sim_settings *settings, struct sim_result *result);
void sim_result_release (struct sim_result *result);

/** Stable name of a fault, for example "engine_dies". */
const char *sim_fault_name (enum sim_fault fault);

#endif
