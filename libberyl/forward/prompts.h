/** @file
 * Where prompts were run of late.  An engine keeps what it has read of a
 * prompt for a while after its run ended; a caller whose node died comes back
 * to another node with the same prompt, and need not have it read again.
 *
 * A cache of fixed size: a newer prompt takes the place of an older one with
 * the same slot.
 */
#ifndef FORWARD_PROMPTS_H
#define FORWARD_PROMPTS_H

#include <stdint.h>

#define PROMPT_SLOTS 2048

struct prompt_place
{
  uint32_t key; /**< 0: empty */
  uint32_t engine;
  int64_t seen_ms; /**< last time at which it was known to run there */
};

/** Zero-initialise. */
struct prompts
{
  struct prompt_place slots[PROMPT_SLOTS];
};

/** The prompt KEY (0: not known) runs at ENGINE. */
void prompts_note (struct prompts *prompts, uint32_t key, uint32_t engine,
                   int64_t now_ms);

/** Return the engine that KEY ran at a moment ago; 0: none. */
uint32_t prompts_engine (const struct prompts *prompts, uint32_t key,
                         int64_t now_ms);

#endif
