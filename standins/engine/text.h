/** @file
 * The text that a stand-in engine answers with: a function of the prompt,
 * so that a caller can check that it got the whole answer to its own.
 */
#ifndef ENGINE_TEXT_H
#define ENGINE_TEXT_H

#include <stddef.h>
#include <stdint.h>

/** Bytes of one token's text. */
#define ENGINE_TOKEN_BYTES 4

/** Return the seed of the answer to a prompt. */
uint64_t engine_text_seed (const char *prompt, size_t prompt_bytes);

/** Return how many tokens the answer has, from 30% to 100% of MAX_TOKENS. */
uint32_t engine_text_tokens (uint64_t seed, uint32_t max_tokens);

/** Write tokens FROM to FROM + COUNT and a NUL to TEXT. */
void engine_text_write (uint64_t seed, uint32_t from, uint32_t count,
                        char *text);

#endif
