/** @file
 * Counters and gauges of one process, exported as text.
 */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <stdint.h>

struct counters;

/** Create an empty set. */
struct counters *counters_create (void);

/** Release SET; NULL is allowed. */
void counters_destroy (struct counters *set);

/** Return the cell of the counter NAME with LABELS, creating it at 0.
 * LABELS is "key=\"value\",..." or "".  The cell lives as long as SET, so
 * that hot paths look it up once. */
uint64_t *counters_cell (struct counters *set, const char *name,
                         const char *labels);

/** Add DELTA to a counter. */
void counters_add (struct counters *set, const char *name, const char *labels,
                   uint64_t delta);

/** Set a gauge. */
void counters_set (struct counters *set, const char *name, const char *labels,
                   uint64_t value);

/** Return all cells in the Prometheus text format; free() it. */
char *counters_format (const struct counters *set);

#endif
