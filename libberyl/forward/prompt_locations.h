/** @file
 * Engines that recently ran a prompt. An engine keeps the KV cache of a prompt
 * for a while after its run ended; a caller whose node died retries the same
 * prompt at another node, which then needs no prefill.
 *
 * A cache of fixed size: a new prompt replaces an older one in the same slot.
 */
#ifndef FORWARD_PROMPT_LOCATIONS_H
#define FORWARD_PROMPT_LOCATIONS_H

#include <stdint.h>

#define PROMPT_SLOTS 2048

struct prompt_location
{
  uint32_t hash; /**< 0: empty */
  uint32_t engine;
  int64_t seen_ms; /**< when it was last known to run there */
};

/** Zero-initialise. */
struct prompt_locations
{
  struct prompt_location slots[PROMPT_SLOTS];
};

/** Record that the prompt with HASH (0 if unknown, which is ignored) runs at
 * ENGINE. */
void prompt_locations_record (struct prompt_locations *prompts, uint32_t hash,
                              uint32_t engine, int64_t now_ms);

/** Return the hash of the engine that recently ran the prompt with HASH; 0 if
 * none. */
uint32_t prompt_locations_find (const struct prompt_locations *prompts,
                                uint32_t hash, int64_t now_ms);

#endif
