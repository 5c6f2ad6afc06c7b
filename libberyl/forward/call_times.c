#include "call_times.h"

#include <stddef.h>

void
call_times_learn (struct call_times *calls, int64_t took_ms)
{
  calls->recent_ms[calls->seen++ % CALL_TIMES_RECENT] = took_ms;
}

int64_t
call_times_least_ms (const struct call_times *calls)
{
  size_t count
      = calls->seen < CALL_TIMES_RECENT ? calls->seen : CALL_TIMES_RECENT;
  int64_t least_ms = count > 0 ? calls->recent_ms[0] : 0;

  for (size_t i = 1; i < count; i++)
    if (calls->recent_ms[i] < least_ms)
      least_ms = calls->recent_ms[i];
  return least_ms;
}
