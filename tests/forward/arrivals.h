/** @file
 * Judges the budget of repeats by what arrives at the endpoints, without the
 * node's own account of it.
 */
#ifndef TESTS_FORWARD_ARRIVALS_H
#define TESTS_FORWARD_ARRIVALS_H

#include <stdint.h>

#include "fixture.h"

/** Return the times of the repeats among the exchanges of FX, in ms and in
 * order: every prompt and run that was sent, except a request's first, the
 * first prompt that an engine accepts, and a moved run that is accepted. Free
 * with g_array_unref. */
GArray *arrivals_repeats (const struct fx *fx);

/** Fail if more REPEATS arrive in any window than RATIO of the requests of
 * that window, the one before or the one half a window before, and SLACK. Both
 * are arrays of int64_t, in ms. */
void arrivals_check (const GArray *repeats, const GArray *requests,
                     double ratio, uint32_t slack, int64_t window_ms);

#endif
