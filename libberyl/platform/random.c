#include "../base/random.h"
#include "private.h"

int64_t
platform_random_jitter_ms (uint64_t *state, int64_t limit_ms)
{
  int64_t half = limit_ms / 2;

  return half + (int64_t)(random_next (state) % (uint64_t)(half + 1));
}
