/** @file
 * Deterministic pseudo-random numbers, identical on all platforms.  Not for
 * secrets.
 */
#ifndef BERYL_BASE_RANDOM_H
#define BERYL_BASE_RANDOM_H

#include <stdint.h>

/** Advance STATE, whose initial value is the seed, and return the next number.
 */
uint64_t random_next (uint64_t *state);

/** Return the next number, uniform in [0, 1). */
double random_unit (uint64_t *state);

#endif
