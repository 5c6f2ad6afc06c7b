/** @file
 * Reads what engines answer.  Numbers may be absent and then are 0; a number
 * that is negative, of another type or out of its range makes the whole
 * document malformed.  What a result points to lives until it is cleared.
 */
#ifndef ENTRYD_ENGINE_PARSE_H
#define ENTRYD_ENGINE_PARSE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A longer time is not believed and taken for this one: it comes from
 * outside and is added to times. */
#define ENGINE_TIME_MAX_MS INT64_C (3600000)

/** A finished prefill. */
struct engine_prefill_answer
{
  json_t *root;
  const char *kv_handle;
  uint64_t kv_bytes;
  uint32_t cached_tokens;
  int64_t kv_lives_ms; /**< 0: the engine does not say */
};

/** One line of a decode's answer. */
struct engine_line
{
  json_t *root;
  bool done;
  uint32_t attempt;
  uint64_t offset;   /**< unless done: of the text in the whole answer */
  const char *text;  /**< unless done */
  size_t text_bytes; /**< unless done */
  uint32_t tokens;   /**< unless done */
  const char *finish_reason; /**< of the end; may be NULL */
  uint64_t answer_bytes;     /**< of the end */
};

/** A load report. */
struct engine_load
{
  uint32_t decoding;
  uint32_t prefill_queue;
  uint64_t prefill_queue_tokens;
  uint64_t kv_bytes_held;
  int64_t age_ms;
};

/** One change of a prefix cache. */
struct engine_cache_change
{
  uint64_t sequence;
  uint64_t block;
  bool added;
};

/** Changes of a prefix cache, or all its blocks. */
struct engine_cache
{
  uint64_t last;                       /**< blocks: the last sequence */
  struct engine_cache_change *changes; /**< events; NULL: blocks */
  uint64_t *blocks;                    /**< blocks; NULL: events */
  size_t count;                        /**< of either */
};

/** Read the answer of a prefill; false if it is malformed. */
bool engine_parse_prefill (const void *text, size_t text_bytes,
                           struct engine_prefill_answer *answer);
void engine_prefill_clear (struct engine_prefill_answer *answer);

/** Read a line; false if it is malformed. */
bool engine_parse_line (const void *text, size_t text_bytes,
                        struct engine_line *line);
void engine_line_clear (struct engine_line *line);

/** The time to come back that a refusal tells, 0 to ENGINE_TIME_MAX_MS; 0 if
 * it tells none. */
int64_t engine_parse_retry_after (const void *text, size_t text_bytes);

/** Whether the answer of a cancel says that nothing is held any more. */
bool engine_parse_released (const void *text, size_t text_bytes);

/** Read a load report; false if it is malformed. */
bool engine_parse_load (const void *text, size_t text_bytes,
                        struct engine_load *load);

/** Read cache events, or all blocks of a cache; false if malformed. */
bool engine_parse_events (const void *text, size_t text_bytes,
                          struct engine_cache *cache);
bool engine_parse_blocks (const void *text, size_t text_bytes,
                          struct engine_cache *cache);
void engine_cache_clear (struct engine_cache *cache);

#endif
