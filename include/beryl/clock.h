/** @file
 * Monotonic time in milliseconds.
 *
 * Modules of libberyl never read a clock: every event carries the time.
 * Daemons use a real clock, tests a virtual one.
 */
#ifndef BERYL_CLOCK_H
#define BERYL_CLOCK_H

#include <stdint.h>

struct beryl_clock;

/** Operations of a clock. */
struct beryl_clock_impl
{
  /** Return milliseconds since an arbitrary origin; never decreases. */
  int64_t (*now_ms) (struct beryl_clock *clock);
  /** Release the clock. */
  void (*destroy) (struct beryl_clock *clock);
};

/** A clock; the first member selects the implementation. */
struct beryl_clock
{
  const struct beryl_clock_impl *impl;
};

/** Time that is never reached: no deadline, no timer. */
#define BERYL_NEVER_MS INT64_MAX

/** Return the clock's time in milliseconds. */
int64_t beryl_clock_now_ms (struct beryl_clock *clock);

/** Release CLOCK; NULL is allowed. */
void beryl_clock_destroy (struct beryl_clock *clock);

/** Create a clock on CLOCK_BOOTTIME, which also counts while suspended. */
struct beryl_clock *beryl_clock_create_real (void);

/** Create a clock that is moved only by beryl_clock_advance_ms. */
struct beryl_clock *beryl_clock_create_virtual (int64_t start_ms);

/** Move a virtual clock forward by DELTA_MS, which must not be negative. */
void beryl_clock_advance_ms (struct beryl_clock *clock, int64_t delta_ms);

#endif
