/** @file
 * Engines and callers of one model service in virtual time, for the
 * planner's tests and benchmark: engines load at the weight store's rate,
 * calls take a slot for a while, and those that find none wait.
 */
#ifndef TESTS_CONTROL_TOWN_H
#define TESTS_CONTROL_TOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/planner.h"

#define TOWN_ENGINES_MAX 64

struct town_engine
{
  char name[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES]; /* "": cold */
  char loading[BERYL_NAME_BYTES]; /* version being loaded */
  enum beryl_role role;
  int64_t ready_ms; /* of the load */
  bool dead;
  uint32_t orders;
};

struct town_settings
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

/** What happened since the last town_reset. */
struct town_counts
{
  uint64_t calls;
  uint64_t in_time;    /* got a slot by the deadline */
  uint64_t cold;       /* arrived while no engine was warm */
  double engine_hours; /* warm or loading */
  uint32_t loads;
  uint32_t most_loading;     /* at a time */
  uint32_t versions_dropped; /* seconds without a warm engine in demand */
};

struct town;

struct town *town_create (const struct town_settings *settings);
void town_destroy (struct town *town);

/** Run one second with CALLS_PER_S arrivals on average. */
void town_second (struct town *town, double calls_per_s);

/** Return the time. */
int64_t town_now_ms (const struct town *town);

/** Change the version that the model's object names. */
void town_set_version (struct town *town, const char *version);

/** Let another planner take over, which knows nothing. */
void town_replace_planner (struct town *town);

/** Let another planner take over with what this one saved. */
bool town_replace_planner_saved (struct town *town);

/** Return engine I, and how many are warm with VERSION (NULL: any). */
struct town_engine *town_engine (struct town *town, int i);
int town_warm (const struct town *town, const char *version);

/** Return the warm engines of data centre DC. */
int town_warm_in (const struct town *town, int dc);

const struct town_counts *town_counts (const struct town *town);
void town_reset (struct town *town);

/** Return how many engines the planner wants. */
uint32_t town_wanted (const struct town *town);

#endif
