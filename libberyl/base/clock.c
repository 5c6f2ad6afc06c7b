#include "beryl/clock.h"

#include <stdlib.h>
#include <time.h>

struct virtual_clock
{
  struct beryl_clock base;
  int64_t now_ms;
};

int64_t
beryl_clock_now_ms (struct beryl_clock *clock)
{
  return clock->impl->now_ms (clock);
}

void
beryl_clock_destroy (struct beryl_clock *clock)
{
  if (clock != NULL)
    clock->impl->destroy (clock);
}

static int64_t
real_now_ms (struct beryl_clock *clock)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
clock_free (struct beryl_clock *clock)
{
  free (clock);
}

static const struct beryl_clock_impl real_impl = {
  .now_ms = real_now_ms,
  .destroy = clock_free,
};

struct beryl_clock *
beryl_clock_create_real (void)
{
  struct beryl_clock *clock = calloc (1, sizeof *clock);

  if (clock != NULL)
    clock->impl = &real_impl;
  return clock;
}

static int64_t
virtual_now_ms (struct beryl_clock *clock)
{
  return ((struct virtual_clock *)clock)->now_ms;
}

static const struct beryl_clock_impl virtual_impl = {
  .now_ms = virtual_now_ms,
  .destroy = clock_free,
};

struct beryl_clock *
beryl_clock_create_virtual (int64_t start_ms)
{
  struct virtual_clock *clock = calloc (1, sizeof *clock);

  if (clock == NULL)
    return NULL;
  clock->base.impl = &virtual_impl;
  clock->now_ms = start_ms;
  return &clock->base;
}

void
beryl_clock_advance_ms (struct beryl_clock *clock, int64_t delta_ms)
{
  ((struct virtual_clock *)clock)->now_ms += delta_ms;
}
