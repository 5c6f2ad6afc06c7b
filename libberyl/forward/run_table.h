/** @file
 * Table of the other nodes' runs and waiting requests, and forecasts of the
 * memory of decode engines from the runs of all nodes.
 *
 * A run uses memory for its prompt and its output. The use grows by one token
 * at a time at a known pace and drops to zero when the run ends. The end is
 * known only as a distribution around the caller's estimate, whose spread is
 * learned from the runs that have ended.
 */
#ifndef FORWARD_RUN_TABLE_H
#define FORWARD_RUN_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/engine_load.h"
#include "beryl/ids.h"
#include "../decide/place_order.h"
#include "run_index.h"

/** Points in time of a forecast: now, and steps ahead that cover the longest
 * runs to be expected. */
#define FORECAST_STEPS 14
#define FORECAST_STEP_MS 300

/** Forecast of an engine's memory: the expected tokens at each point in time,
 * their variance, and the tokens if no run ended. */
struct memory_forecast
{
  double tokens[FORECAST_STEPS];
  double variance[FORECAST_STEPS];
  double upper_bound[FORECAST_STEPS];
};

/** How output lengths relate to callers' estimates, and how fast outputs are
 * produced. */
struct output_model
{
  double log_mean; /**< mean of log (output / estimate) */
  double log_variance;
  double effective_runs; /**< number of runs in the means, the prior included;
                            limited; a new run has the inverse as its weight */
  double tokens_mean;    /**< mean output, for runs without an estimate */
  double ms_per_token;   /**< used in forecasts; may be the fleet's */
  double own_ms_per_token; /**< mean pace of the node's own streams */
  uint32_t pace_samples;   /**< streams own_ms_per_token is from */
};

/** Return the tokens to reserve for a run before it begins. */
uint32_t reservation_tokens (uint32_t prompt_tokens, uint32_t expected_tokens);

/** Initialise MODEL with the values assumed before any run has ended. */
void output_model_init (struct output_model *model);

/** Learn from a run that was estimated at HINT tokens (0 if it had no
 * estimate) and ended after TOKENS. */
void output_model_learn_length (struct output_model *model, uint32_t hint,
                                uint32_t tokens);

/** Learn from a stream that produced TOKENS in TOOK_MS. */
void output_model_learn_pace (struct output_model *model, uint32_t tokens,
                              int64_t took_ms);

/** Return the mean output of runs estimated at HINT, at most MOST. */
double output_model_mean (const struct output_model *model, uint32_t hint,
                          uint32_t most);

/** Return the median output of a run estimated at HINT, at most MOST. */
uint32_t output_model_median (const struct output_model *model, uint32_t hint,
                              uint32_t most);

/** Add the expected memory of RUN, reported AGE_MS ago, to FORECAST. Without
 * recent reports of its node (REACHABLE is false) the run is only known to
 * have existed at that time. */
void memory_forecast_add (struct memory_forecast *forecast,
                          const struct output_model *model,
                          const struct beryl_engine_run *run, int64_t age_ms,
                          bool reachable);

/** Return the highest point of FORECAST up to UNTIL_MS, with DEVIATIONS
 * standard deviations added, but at most the tokens if no run ended. */
double memory_forecast_peak (const struct memory_forecast *forecast,
                             int64_t until_ms, double deviations);

/** Runs of another node, its waiting requests included. */
struct peer_runs
{
  char name[BERYL_NAME_BYTES];
  struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX];
  size_t count;
  int64_t reported_ms;
};

/** Runs of all peers; zero-initialise. */
struct run_table
{
  struct peer_runs **peers;
  size_t count;
  struct run_index by_engine; /**< runs with a reservation, by engine */
  struct run_index by_prefill_engine; /**< runs that are being prefilled, by
                                         prefill engine */
  struct run_index
      waiting_by_service; /**< requests that wait for memory, by service */
  int64_t suspect_reported_ms; /**< when a suspect run was last reported; 0 if
                                  never */
  int64_t report_interval_ms;  /**< interval of live peers' reports; 0 if not
                                  set; values under 500 ms count as 500 ms */
};

/** Return after how long without a report a peer counts as unreachable. */
int64_t run_table_peer_timeout_ms (const struct run_table *table);

void run_table_clear (struct run_table *table);

/** Replace the runs of PEER. */
void run_table_update (struct run_table *table, const char *peer,
                       const struct beryl_engine_run *runs, size_t count,
                       int64_t now_ms);

/** Drop the runs with PROMPT_HASH, which are assumed to have ended although
 * their peers did not report it. */
void run_table_drop_prompt (struct run_table *table, uint32_t prompt_hash);

/** Drop the runs of PEER, which has left the fleet. It counts as reachable
 * until its last report is too old. */
void run_table_remove_peer (struct run_table *table, const char *peer);

/** Add the runs of all peers at ENGINE to FORECAST; returns their number. */
uint32_t run_table_forecast (const struct run_table *table,
                             struct memory_forecast *forecast,
                             const struct output_model *model, uint32_t engine,
                             int64_t now_ms);

/** Return whether RUN's engine may preempt it: not before it runs, nor while
 * its reservation covers its memory. */
bool engine_run_is_preemptible (const struct beryl_engine_run *run);

/** Return whether an engine that has both of them preempts RUN before OTHER:
 * it is less urgent, or newer, with fewer tokens generated. */
bool engine_run_is_preempted_before (const struct beryl_engine_run *run,
                                     const struct beryl_engine_run *other);

/** Return whether a peer has a preemptible run at RUN's engine that is
 * preempted before it. */
bool run_table_has_newer (const struct run_table *table,
                          const struct output_model *model,
                          const struct beryl_engine_run *run, int64_t now_ms);

/** Add what waits for engines of SERVICE at the peers to CLASSES. */
void run_table_add_waiting (const struct run_table *table, uint32_t service,
                            struct place_classes *classes, int64_t now_ms);

/** Add the peers' runs at ENGINE to CLASSES. */
void run_table_add_running (const struct run_table *table, uint32_t engine,
                            struct place_classes *classes, int64_t now_ms);

/** Return the prompt tokens that peers have queued at prefill engine
 * ENGINE. */
uint64_t run_table_prefill_tokens (const struct run_table *table,
                                   uint32_t engine, int64_t now_ms);

/** Return how many requests of peers wait for memory at the service whose name
 * hashes to SERVICE. */
uint32_t run_table_waiting (const struct run_table *table, uint32_t service,
                            int64_t now_ms);
/** Return whether a peer has a run at ENGINE that may crash it. */
bool run_table_has_suspect (const struct run_table *table, uint32_t engine,
                            int64_t now_ms);
/** Return the number of runs of peers at ENGINE. */
uint32_t run_table_runs (const struct run_table *table, uint32_t engine,
                         int64_t now_ms);

#endif
