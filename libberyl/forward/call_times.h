/** @file
 * How long calls to engines take that need no work there: the network, the
 * engine's HTTP server and this process itself.  What a prefill takes beyond
 * that was spent in its queue and on its prompt.
 */
#ifndef FORWARD_CALL_TIMES_H
#define FORWARD_CALL_TIMES_H

#include <stdint.h>

#define CALL_TIMES_RECENT 8

/** The newest calls; zero-initialise. */
struct call_times
{
  int64_t recent_ms[CALL_TIMES_RECENT];
  uint32_t seen;
};

/** A call took TOOK_MS. */
void call_times_learn (struct call_times *calls, int64_t took_ms);

/** Return the least of the newest calls, in milliseconds; 0 before any. */
int64_t call_times_least_ms (const struct call_times *calls);

#endif
