#include "text.h"

#include <xxhash.h>

#define LETTERS                                                               \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
#define LEAST_PERCENT 30

uint64_t
engine_text_seed (const char *prompt, size_t prompt_bytes)
{
  return XXH3_64bits (prompt, prompt_bytes);
}

uint32_t
engine_text_tokens (uint64_t seed, uint32_t max_tokens)
{
  uint32_t percent = LEAST_PERCENT + (uint32_t)(seed % (101 - LEAST_PERCENT));
  uint32_t tokens = (uint32_t)((uint64_t)max_tokens * percent / 100);
  return tokens > 0 ? tokens : 1;
}

void
engine_text_write (uint64_t seed, uint32_t from, uint32_t count, char *text)
{
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t number = from + i;
      uint64_t hash = XXH3_64bits_withSeed (&number, sizeof number, seed);

      for (int k = 0; k < ENGINE_TOKEN_BYTES - 1; k++)
        *text++ = LETTERS[(hash >> (8 * k)) & 63];
      *text++ = ' ';
    }
  *text = '\0';
}
