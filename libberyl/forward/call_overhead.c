#include "call_overhead.h"

#include <stddef.h>

void
call_overhead_learn (struct call_overhead *calls, int64_t took_ms)
{
  calls->recent_ms[calls->count++ % CALL_OVERHEAD_RECENT] = took_ms;
}

int64_t
call_overhead_min_ms (const struct call_overhead *calls)
{
  size_t count = calls->count < CALL_OVERHEAD_RECENT ? calls->count
                                                     : CALL_OVERHEAD_RECENT;
  int64_t min_ms = count > 0 ? calls->recent_ms[0] : 0;

  for (size_t i = 1; i < count; i++)
    if (calls->recent_ms[i] < min_ms)
      min_ms = calls->recent_ms[i];
  return min_ms;
}
