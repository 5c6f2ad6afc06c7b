#include "pool_pace.h"

#include <stdbool.h>

/* Part of the engines that must be known. */
#define KNOWN_PART 0.25

double
pool_pace (const struct engine_pace *engines, size_t count,
           double usual_ms_per_token)
{
  double rates = 0;
  size_t known = 0;
  bool differ = false;

  for (size_t i = 0; i < count; i++)
    {
      if (engines[i].ms_per_token <= 0)
        continue;
      known++;
      rates += 1 / engines[i].ms_per_token;
      differ = differ || engines[i].speed != 1;
    }
  if (!differ || (double)known < KNOWN_PART * (double)count)
    return usual_ms_per_token;
  return (double)known / rates;
}
