#include "private.h"

/** SplitMix64 by Steele, Lea and Flood. */
uint64_t
platform_random_next (uint64_t *state)
{
  uint64_t z = *state += 0x9e3779b97f4a7c15ULL;

  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
  return z ^ z >> 31;
}

int64_t
platform_random_jitter_ms (uint64_t *state, int64_t limit_ms)
{
  int64_t half = limit_ms / 2;

  return half + (int64_t)(platform_random_next (state) % (uint64_t)(half + 1));
}
