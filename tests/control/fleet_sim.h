/** @file
 * Engines and callers of one model service in virtual time, for the
 * planner's tests and benchmark: engines load at the weight store's rate,
 * calls take a slot for a while, and those that find none wait.
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
  char version[BERYL_NAME_BYTES]; /* "": cold */
  char loading[BERYL_NAME_BYTES]; /* version being loaded */
  enum beryl_role role;
  int64_t ready_ms; /* of the load */
  bool dead;
  uint32_t orders;
};

struct fleet_sim_settings
{
  enum beryl_sizing sizing;
  int engines;
  int data_centres;
  int64_t load_ms;
  int64_t call_ms;     /* mean time in a slot */
  int64_t deadline_ms; /* to get a slot */
  uint64_t seed;
  uint32_t min_endpoints;
};

/** What happened since the last fleet_sim_reset_counts. */
struct fleet_sim_counts
{
  uint64_t calls;
  uint64_t started_in_time;    /* got a slot by the deadline */
  uint64_t arrived_cold;       /* arrived while no engine was warm */
  double engine_hours; /* warm or loading */
  uint32_t loads;
  uint32_t loading_max;     /* at a time */
  uint32_t unserved_s; /* seconds without a warm engine in demand */
};

struct fleet_sim;

struct fleet_sim *fleet_sim_create (const struct fleet_sim_settings *settings);
void fleet_sim_destroy (struct fleet_sim *town);

/** Run one second with CALLS_PER_S arrivals on average. */
void fleet_sim_run_second (struct fleet_sim *town, double calls_per_s);

/** Return the time. */
int64_t fleet_sim_now_ms (const struct fleet_sim *town);

/** Change the version that the model's object names. */
void fleet_sim_set_version (struct fleet_sim *town, const char *version);

/** Let another planner take over, which knows nothing. */
void fleet_sim_replace_planner (struct fleet_sim *town);

/** Let another planner take over with what this one saved. */
bool fleet_sim_replace_planner_saved (struct fleet_sim *town);

/** Return engine I, and how many are warm with VERSION (NULL: any). */
struct fleet_sim_engine *fleet_sim_engine (struct fleet_sim *town, int i);
int fleet_sim_warm (const struct fleet_sim *town, const char *version);

/** Return the warm engines of data centre DC. */
int fleet_sim_warm_in (const struct fleet_sim *town, int dc);

const struct fleet_sim_counts *fleet_sim_counts (const struct fleet_sim *town);
void fleet_sim_reset_counts (struct fleet_sim *town);

/** Return how many engines the planner wants. */
uint32_t fleet_sim_wanted (const struct fleet_sim *town);

#endif
