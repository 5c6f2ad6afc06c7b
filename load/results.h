/** @file
 * Counts, latencies and a time line of a run; written as JSON and CSV.
 */
#ifndef LOAD_RESULTS_H
#define LOAD_RESULTS_H

#include <jansson.h>
#include <stdio.h>

#include "outcome.h"
#include "scenario.h"

struct results;

struct results *results_create (const struct scenario *scenario);
void results_destroy (struct results *results);

/** A call was due at this time. */
void results_asked (struct results *results, const struct arrival *arrival);

/** A call has ended. */
void results_add (struct results *results, const struct call_outcome *call);

/** One line on how it goes. */
void results_progress (const struct results *results, int64_t elapsed_ms,
                       FILE *out);

/** Return everything as JSON; json_decref() it. */
json_t *results_json (const struct results *results);

/** Begin and continue a CSV file of single calls. */
void results_csv_head (FILE *out);
void results_csv_line (const struct call_outcome *call, FILE *out);

#endif
