/** @file
 * Virtual time for fault histories: a queue of calls and a seeded source of
 * chance.  A run is a pure function of its seed.
 */
#ifndef TESTS_CONTROL_SIM_H
#define TESTS_CONTROL_SIM_H

#include <stdbool.h>
#include <stdint.h>

struct sim;

/** A call that was put off; DATA is freed afterwards. */
typedef void sim_cb (void *user, void *data);

struct sim *sim_create (uint64_t seed);
void sim_destroy (struct sim *sim);

/** Return the virtual time. */
int64_t sim_now_ms (const struct sim *sim);

/** Return a number below LIMIT. */
uint64_t sim_random (struct sim *sim, uint64_t limit);

/** Return true PERCENT times in a hundred. */
bool sim_chance (struct sim *sim, uint32_t percent);

/** Call CB after DELAY_MS with DATA (malloc'd or NULL). */
void sim_after (struct sim *sim, int64_t delay_ms, sim_cb *cb, void *user,
                void *data);

/** Run until UNTIL_MS. */
void sim_run (struct sim *sim, int64_t until_ms);

#endif
