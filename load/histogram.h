/** @file
 * Latency histogram with logarithmic buckets of equal relative width, in
 * the manner of HDR histograms: 128 buckets for each power of two, so that
 * a quantile is off by less than 1%.
 */
#ifndef LOAD_HISTOGRAM_H
#define LOAD_HISTOGRAM_H

#include <stdint.h>

struct histogram;

/** Create an empty histogram. */
struct histogram *histogram_create (void);

/** Release H; NULL is allowed. */
void histogram_destroy (struct histogram *h);

/** Record a value in microseconds; negative ones count as 0. */
void histogram_record (struct histogram *h, int64_t value_us);

/** Add all of FROM. */
void histogram_merge (struct histogram *h, const struct histogram *from);

/** Return the number of values. */
uint64_t histogram_count (const struct histogram *h);

/** Return the least value that PERCENT of all do not exceed; 0 if empty. */
int64_t histogram_percentile_us (const struct histogram *h, double percent);

/** Return the largest value. */
int64_t histogram_max_us (const struct histogram *h);

#endif
