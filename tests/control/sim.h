/** @file
 * Discrete-event simulation: virtual time, an event queue and a seeded
 * random generator.  A run is a pure function of its seed.
 */
#ifndef TESTS_CONTROL_SIM_H
#define TESTS_CONTROL_SIM_H

#include <stdbool.h>
#include <stdint.h>

struct sim;

/** Callback of an event; DATA is freed afterwards. */
typedef void sim_cb (void *user, void *data);

struct sim *sim_create (uint64_t seed);
void sim_destroy (struct sim *sim);

/** Return the virtual time in ms. */
int64_t sim_now_ms (const struct sim *sim);

/** Return a random number below LIMIT. */
uint64_t sim_random (struct sim *sim, uint64_t limit);

/** Return true with a probability of PERCENT. */
bool sim_chance (struct sim *sim, uint32_t percent);

/** Schedule CB after DELAY_MS with DATA (malloc'd or NULL). */
void sim_after (struct sim *sim, int64_t delay_ms, sim_cb *cb, void *user,
                void *data);

/** Run all events up to UNTIL_MS. */
void sim_run (struct sim *sim, int64_t until_ms);

#endif
