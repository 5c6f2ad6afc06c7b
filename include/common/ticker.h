/** @file
 * A timer that is moved to the earliest time somebody needs.
 */
#ifndef COMMON_TICKER_H
#define COMMON_TICKER_H

#include "common/loop.h"

struct ticker;

/** Create; CB runs once for each time that was set. */
struct ticker *ticker_create (struct loop *loop, loop_timer_cb *cb,
                              void *user);

/** Release; NULL is allowed. */
void ticker_destroy (struct ticker *ticker);

/** Run the callback at DUE_MS or, if that is earlier, at the time that is
 * set already.  BERYL_NEVER_MS sets nothing. */
void ticker_set (struct ticker *ticker, int64_t due_ms);

#endif
