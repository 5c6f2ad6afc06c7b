#include "prompts.h"

/* How long an engine is assumed to keep the KV cache of a prompt that no
   longer runs. Caches are evicted least recently used first, so an idle engine
   keeps them for much longer and a full one for some seconds. */
#define KEPT_MS 4000

void
prompts_note (struct prompts *p, uint32_t key, uint32_t engine, int64_t now_ms)
{
  if (key == 0)
    return;
  p->slots[key % PROMPT_SLOTS] = (struct prompt_place){ key, engine, now_ms };
}

uint32_t
prompts_engine (const struct prompts *p, uint32_t key, int64_t now_ms)
{
  const struct prompt_place *place = &p->slots[key % PROMPT_SLOTS];

  if (key == 0 || place->key != key || now_ms - place->seen_ms > KEPT_MS)
    return 0;
  return place->engine;
}
