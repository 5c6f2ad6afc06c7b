/** @file
 * How many engines each model service needs, and the orders that get there.
 *
 * The sizer turns demand into a number; the planner turns numbers and what
 * the engines report into absolute orders ("serve model M, version V, role
 * R"), so that an order that is repeated or late does no harm.  Loads are
 * paced by the weight store's rate, a new version is loaded on spares first,
 * and a model's last warm engine is never taken while there is demand.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_PLANNER_H
#define BERYL_PLANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/config.h"
#include "beryl/ids.h"

/** Ways to look ahead. */
enum beryl_sizing
{
  BERYL_SIZING_REACTIVE, /**< the present load */
  BERYL_SIZING_FORECAST, /**< the same time on the days before */
  /** The forecast, corrected by its last errors (after BARISTA). */
  BERYL_SIZING_CORRECTED,
  /** The greater of the corrected forecast and the present load. */
  BERYL_SIZING_HYBRID,
};

/** Most steps of a day. */
#define BERYL_SIZER_STEPS_MAX 1440

struct beryl_sizer;

/** Create; a load is told once per STEP_MS, the size is for HORIZON_MS
 * later, the time that an engine needs to be warm. */
struct beryl_sizer *beryl_sizer_create (enum beryl_sizing sizing,
                                        int64_t step_ms, int64_t horizon_ms);

/** Release; NULL is allowed. */
void beryl_sizer_destroy (struct beryl_sizer *sizer);

/** Tell the load of the step that ended at DAY_MS (time of day, or any clock
 * with the same period) and return the load to prepare for. */
double beryl_sizer_step (struct beryl_sizer *sizer, double load,
                         int64_t day_ms);

/** Return the profile, one load for each step of the day, -1 where nothing
 * is known; owned by SIZER. */
const double *beryl_sizer_profile (const struct beryl_sizer *sizer,
                                   size_t *step_count);

/** Take the load of one step of the day over from an earlier sizer. */
void beryl_sizer_restore_step (struct beryl_sizer *sizer, size_t step,
                               double load);

/** Return the name of SIZING. */
const char *beryl_sizing_name (enum beryl_sizing sizing);

/** What an engine reported. */
struct beryl_engine_state
{
  const char *endpoint;
  const char *model; /**< "": none */
  const char *version;
  enum beryl_role role; /**< 0: none */
  bool loading;
  bool ready;
};

/** An order to an engine. */
struct beryl_order
{
  const char *endpoint;
  const char *model; /**< "": unload */
  const char *version;
  enum beryl_role role; /**< 0: unload */
  /** Whether it ends what the engine serves now: no new work may reach the
   * engine any more and its running work must have ended before. */
  bool interrupts;
  const char *reason; /**< stable text, for the log */
};

struct beryl_planner;
struct beryl_planner_owner;

/** Actions. */
struct beryl_planner_owner_impl
{
  /** Send an order.  Repeated by later ticks until the engine's reported
   * state shows it. */
  void (*order) (struct beryl_planner_owner *owner,
                 const struct beryl_order *order);
};

/** The owner; the first member selects the implementation. */
struct beryl_planner_owner
{
  const struct beryl_planner_owner_impl *impl;
};

/** Settings; zero members take the defaults in brackets. */
struct beryl_planner_settings
{
  enum beryl_sizing sizing;
  double weight_store_bytes_per_s; /**< [1e9] */
  double target_utilization;       /**< of the slots, at most [0.8] */
  uint32_t default_slots;          /**< of engines that name none [20] */
  double prefill_tokens_per_s;     /**< of one engine [8000] */
  int64_t step_ms;                 /**< of the sizer [60000] */
  int64_t horizon_ms;              /**< time to warm an engine [120000] */
  int64_t shrink_delay_ms;         /**< a surplus must last so long [300000] */
  int64_t idle_timeout_ms; /**< without demand, to nothing after it [600000] */
  int64_t resend_ms;       /**< between repeats of an order [5000] */
  /** What to add to the time to get the time of day, which the profiles go
   * by; it need not be exact. */
  int64_t day_offset_ms;
};

/** Create; OWNER must outlive it. */
struct beryl_planner *
beryl_planner_create (const struct beryl_planner_settings *settings,
                      struct beryl_planner_owner *owner);

/** Release; NULL is allowed. */
void beryl_planner_destroy (struct beryl_planner *planner);

/** Use CONFIG, which must stay valid until the next call of this. */
void beryl_planner_set_config (struct beryl_planner *planner,
                               const struct beryl_config *config,
                               int64_t now_ms);

/** An engine reported, or did not answer (STATE->model NULL). */
void beryl_planner_report_engine (struct beryl_planner *planner,
                                  const struct beryl_engine_state *state,
                                  int64_t now_ms);

/** Demand of SERVICE at one NODE since its last report. */
void beryl_planner_report_demand (struct beryl_planner *planner,
                                  const char *node, const char *service,
                                  uint32_t arrived, uint32_t waiting,
                                  uint32_t running, uint64_t prompt_tokens,
                                  int64_t now_ms);

/** Let time pass; emits orders. */
void beryl_planner_tick (struct beryl_planner *planner, int64_t now_ms);

/** Return what was learned of SERVICE's days as JSON, for a later planner;
 * free() it.  NULL if there is no such service. */
char *beryl_planner_save (const struct beryl_planner *planner,
                          const char *service, size_t *bytes_count);

/** Take over what an earlier planner had learned; false if it is malformed
 * or of another step. */
bool beryl_planner_restore (struct beryl_planner *planner, const char *service,
                            const char *json, size_t bytes_count);

/** Return the number of model services, and the name of service I. */
size_t beryl_planner_service_count (const struct beryl_planner *planner);
const char *beryl_planner_service_name (const struct beryl_planner *planner,
                                        size_t i);

/** Whether ENDPOINT reports what it was ordered last. */
bool beryl_planner_order_applied (const struct beryl_planner *planner,
                                  const char *endpoint);

/** Return how many engines SERVICE should have warm, as last planned. */
uint32_t beryl_planner_target_count (const struct beryl_planner *planner,
                                     const char *service);

#endif
