#include "prompt_locations.h"

/* How long an engine is assumed to keep the KV cache of a prompt that no
   longer runs. Caches are evicted least recently used first, so an idle engine
   keeps them for much longer and a full one for some seconds. */
#define CACHED_MS 4000

void
prompt_locations_record (struct prompt_locations *p, uint32_t key,
                         uint32_t engine, int64_t now_ms)
{
  if (key == 0)
    return;
  p->slots[key % PROMPT_SLOTS]
      = (struct prompt_location){ key, engine, now_ms };
}

uint32_t
prompt_locations_find (const struct prompt_locations *p, uint32_t key,
                       int64_t now_ms)
{
  const struct prompt_location *location = &p->slots[key % PROMPT_SLOTS];

  if (key == 0 || location->key != key
      || now_ms - location->seen_ms > CACHED_MS)
    return 0;
  return location->engine;
}
