/** @file
 * Autoscaler of model services (requests are scheduled in router.h, stages are
 * chosen in stages.h): computes how many engines each service needs and orders
 * engines to load or unload models.
 *
 * The sizer turns demand into a target count.  The planner compares targets
 * with the engines' reports and issues absolute orders ("serve model M,
 * version V, role R"), so that a repeated or late order is harmless.  Loads
 * are paced by the bandwidth of the weight store, a new version is loaded on
 * spare engines first, and the last warm engine of a model is kept while there
 * is demand.
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

/** Demand prediction methods. */
enum beryl_sizing
{
  BERYL_SIZING_REACTIVE, /**< the current load */
  BERYL_SIZING_FORECAST, /**< the load at the same time of previous days */
  /** The forecast, multiplied by the mean ratio of recent loads to the profile
   * (the method of BARISTA, Bhattacharjee et al., 2019). */
  BERYL_SIZING_CORRECTED,
  /** The greater of the corrected forecast and the current load. */
  BERYL_SIZING_HYBRID,
};

/** Maximum number of steps in a day. */
#define BERYL_SIZER_STEPS_MAX 1440

struct beryl_sizer;

/** Create a sizer that is given one load per STEP_MS and predicts HORIZON_MS
 * ahead, the time that an engine needs to become warm. */
struct beryl_sizer *beryl_sizer_create (enum beryl_sizing sizing,
                                        int64_t step_ms, int64_t horizon_ms);

/** Release; NULL is allowed. */
void beryl_sizer_destroy (struct beryl_sizer *sizer);

/** Add the load of the step that ended at DAY_MS (time of day, or any clock
 * with the same period) and return the load to provision for. */
double beryl_sizer_step (struct beryl_sizer *sizer, double load,
                         int64_t day_ms);

/** Return the daily profile, one load per step, -1 where the load is unknown;
 * owned by SIZER. */
const double *beryl_sizer_profile (const struct beryl_sizer *sizer,
                                   size_t *step_count);

/** Set the profile's load at STEP, restored from an earlier sizer. */
void beryl_sizer_restore_step (struct beryl_sizer *sizer, size_t step,
                               double load);

/** Return the stable name of SIZING. */
const char *beryl_sizing_name (enum beryl_sizing sizing);

/** State that an engine reported. */
struct beryl_engine_state
{
  const char *endpoint;
  const char
      *model; /**< "": no model loaded; NULL: the engine did not answer */
  const char *version;
  enum beryl_role role; /**< 0: no role */
  bool loading;
  bool ready;
};

/** Order to an engine to serve a model in a role, or to unload. */
struct beryl_order
{
  const char *endpoint;
  const char *model; /**< "": unload */
  const char *version;
  enum beryl_role role; /**< 0: unload */
  /** Whether the order unloads or replaces the model that the engine serves
   * now, so that the engine must be drained first; false for a change of role
   * only. */
  bool interrupts;
  const char *reason; /**< stable text for the log */
};

struct beryl_planner;
struct beryl_planner_owner;

/** Callbacks of the planner. */
struct beryl_planner_owner_impl
{
  /** Send an order.  Later ticks repeat it until the engine's reported state
   * matches. */
  void (*order) (struct beryl_planner_owner *owner,
                 const struct beryl_order *order);
};

/** Owner of a planner; the first member selects the implementation. */
struct beryl_planner_owner
{
  const struct beryl_planner_owner_impl *impl;
};

/** Settings; zero members take the defaults in brackets. */
struct beryl_planner_settings
{
  enum beryl_sizing sizing;
  double weight_store_bytes_per_s; /**< bandwidth of the weight store [1e9] */
  double target_utilization;   /**< fraction of the slots that may be in use
                                  [0.8] */
  uint32_t default_slots;      /**< slots of engines that report none [20] */
  double prefill_tokens_per_s; /**< prefill rate of one engine [8000] */
  int64_t step_ms;             /**< step of the sizer [60000] */
  int64_t horizon_ms;          /**< time to warm an engine [120000] */
  int64_t shrink_delay_ms; /**< how long a surplus must last before engines are
                              unloaded [300000] */
  int64_t idle_timeout_ms; /**< time without demand after which a service is
                              scaled to zero [600000] */
  int64_t resend_ms;       /**< interval between repeats of an order [5000] */
  /** Offset from the planner's clock to the time of day that the profiles are
   * indexed by; need not be exact. */
  int64_t day_offset_ms;
};

/** Create a planner; OWNER must outlive it. */
struct beryl_planner *
beryl_planner_create (const struct beryl_planner_settings *settings,
                      struct beryl_planner_owner *owner);

/** Release; NULL is allowed. */
void beryl_planner_destroy (struct beryl_planner *planner);

/** Apply CONFIG, which must stay valid until the next call of this function.
 */
void beryl_planner_set_config (struct beryl_planner *planner,
                               const struct beryl_config *config,
                               int64_t now_ms);

/** Record an engine's report, or that it did not answer. */
void beryl_planner_report_engine (struct beryl_planner *planner,
                                  const struct beryl_engine_state *state,
                                  int64_t now_ms);

/** Record the demand of SERVICE at NODE: the calls that have ARRIVED since the
 * node's last report with their PROMPT_TOKENS, and the calls that are WAITING
 * and RUNNING now. */
void beryl_planner_report_demand (struct beryl_planner *planner,
                                  const char *node, const char *service,
                                  uint32_t arrived, uint32_t waiting,
                                  uint32_t running, uint64_t prompt_tokens,
                                  int64_t now_ms);

/** Update the targets and emit the orders that are due. */
void beryl_planner_tick (struct beryl_planner *planner, int64_t now_ms);

/** Return the load profiles of SERVICE as JSON for a later planner; free() it.
 * NULL if there is no such service. */
char *beryl_planner_save (const struct beryl_planner *planner,
                          const char *service, size_t *bytes_count);

/** Restore profiles that an earlier planner saved.  Returns false if JSON is
 * malformed or has another step. */
bool beryl_planner_restore (struct beryl_planner *planner, const char *service,
                            const char *json, size_t bytes_count);

/** Return the number of model services, and the name of service I. */
size_t beryl_planner_service_count (const struct beryl_planner *planner);
const char *beryl_planner_service_name (const struct beryl_planner *planner,
                                        size_t i);

/** Return whether ENDPOINT's reported state matches its last order. */
bool beryl_planner_order_applied (const struct beryl_planner *planner,
                                  const char *endpoint);

/** Return the target number of warm engines of SERVICE. */
uint32_t beryl_planner_target_count (const struct beryl_planner *planner,
                                     const char *service);

#endif
