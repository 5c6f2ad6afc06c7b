/** @file
 * Simulated engines and callers of one model service, for the planner's
 * tests and benchmark: engines load at the weight store's rate, calls occupy a
 * slot for a random time, and calls without a free slot wait.
 */
#ifndef TESTS_CONTROL_FLEET_SIM_H
#define TESTS_CONTROL_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/planner.h"

#define FLEET_SIM_ENGINES_MAX 64

struct fleet_sim_engine
{
  char name[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES]; /* version served; "": none */
  char loading[BERYL_NAME_BYTES]; /* version being loaded */
  enum beryl_role role;
  int64_t ready_ms; /* time at which the load completes */
  bool dead;
  uint32_t orders;
};

struct fleet_sim_settings
{
  enum beryl_sizing sizing;
  int engines;
  int data_centres;
  int64_t load_ms;
  int64_t call_ms;     /* mean time that a call occupies a slot */
  int64_t deadline_ms; /* longest time that a call waits for a slot */
  uint64_t seed;
  uint32_t min_endpoints;
};

/** Counters since the last fleet_sim_reset_counts. */
struct fleet_sim_counts
{
  uint64_t calls;
  uint64_t started_in_time; /* calls that got a slot by the deadline */
  uint64_t arrived_cold;    /* calls that arrived while no engine was warm */
  double engine_hours;      /* time that engines were warm or loading */
  uint32_t loads;
  uint32_t loading_max; /* most engines loading at the same time */
  uint32_t unserved_s;  /* seconds with running calls but no warm engine */
};

struct fleet_sim;

struct fleet_sim *fleet_sim_create (const struct fleet_sim_settings *settings);
void fleet_sim_destroy (struct fleet_sim *sim);

/** Run one second with CALLS_PER_S arrivals on average. */
void fleet_sim_run_second (struct fleet_sim *sim, double calls_per_s);

/** Return the virtual time in ms. */
int64_t fleet_sim_now_ms (const struct fleet_sim *sim);

/** Change the configured version of the model. */
void fleet_sim_set_version (struct fleet_sim *sim, const char *version);

/** Replace the planner by a new one without state. */
void fleet_sim_replace_planner (struct fleet_sim *sim);

/** Replace the planner by a new one that restores the saved state. */
bool fleet_sim_replace_planner_saved (struct fleet_sim *sim);

/** Return engine I. */
struct fleet_sim_engine *fleet_sim_engine (struct fleet_sim *sim, int i);
/** Return the number of engines that are warm with VERSION (NULL: any). */
int fleet_sim_warm (const struct fleet_sim *sim, const char *version);

/** Return the number of warm engines in data centre DC. */
int fleet_sim_warm_in (const struct fleet_sim *sim, int dc);

const struct fleet_sim_counts *fleet_sim_counts (const struct fleet_sim *sim);
void fleet_sim_reset_counts (struct fleet_sim *sim);

/** Return the number of engines that the planner wants. */
uint32_t fleet_sim_wanted (const struct fleet_sim *sim);

#endif
