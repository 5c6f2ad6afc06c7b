/** @file
 * Random numbers from a seed, the same everywhere.  Not for secrets.
 */
#ifndef BERYL_BASE_RANDOM_H
#define BERYL_BASE_RANDOM_H

#include <stdint.h>

/** Step STATE, whose first value is the seed, and return the next number. */
uint64_t random_next (uint64_t *state);

/** The same, as a number from 0 to below 1. */
double random_part (uint64_t *state);

#endif
