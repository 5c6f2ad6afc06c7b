#include "prompt_locations.h"

/* How long an engine is assumed to keep the KV cache of a prompt that no
   longer runs. Caches are evicted least recently used first, so an idle engine
   keeps them for much longer and a full one for some seconds. */
#define CACHED_MS 4000

void
prompt_locations_record (struct prompt_locations *p, uint32_t hash,
                         uint32_t engine, int64_t now_ms)
{
  if (hash == 0)
    return;
  p->slots[hash % PROMPT_SLOTS]
      = (struct prompt_location){ hash, engine, now_ms };
}

uint32_t
prompt_locations_find (const struct prompt_locations *p, uint32_t hash,
                       int64_t now_ms)
{
  const struct prompt_location *location = &p->slots[hash % PROMPT_SLOTS];

  if (hash == 0 || location->hash != hash
      || now_ms - location->seen_ms > CACHED_MS)
    return 0;
  return location->engine;
}
