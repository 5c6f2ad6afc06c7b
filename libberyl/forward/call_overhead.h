/** @file
 * Overhead of calls to engines, measured by reservation calls, which cause no
 * work there: the time in the network, in the engine's HTTP server and in this
 * process. It is subtracted from the duration of a prefill call to get the
 * time spent in the engine's queue and on the prompt.
 */
#ifndef FORWARD_CALL_OVERHEAD_H
#define FORWARD_CALL_OVERHEAD_H

#include <stdint.h>

#define CALL_OVERHEAD_RECENT 8

/** The most recent calls; zero-initialise. */
struct call_overhead
{
  int64_t recent_ms[CALL_OVERHEAD_RECENT];
  uint32_t count;
};

/** Record a call that took TOOK_MS. */
void call_overhead_learn (struct call_overhead *calls, int64_t took_ms);

/** Return the shortest of the recent calls, in milliseconds; 0 before any. */
int64_t call_overhead_min_ms (const struct call_overhead *calls);

#endif
