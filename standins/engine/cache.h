/** @file
 * A prefix cache of limited memory with least-recently-used eviction, and
 * the log of its changes.
 */
#ifndef ENGINE_CACHE_H
#define ENGINE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct engine_cache;

/** One change; sequences count from 1 without gaps. */
struct engine_cache_change
{
  uint64_t sequence;
  bool added;
  uint64_t block;
};

/** Create a cache of CAPACITY blocks. */
struct engine_cache *engine_cache_create (size_t capacity);
void engine_cache_destroy (struct engine_cache *cache);

/** Return how many leading BLOCKS are cached, and mark these as used. */
size_t engine_cache_match (struct engine_cache *cache, const uint64_t *blocks,
                           size_t count);

/** Put BLOCKS in; the tail of the chain is evicted first. */
void engine_cache_insert (struct engine_cache *cache, const uint64_t *blocks,
                          size_t count);

/** Drop everything, as after loading another model. */
void engine_cache_clear (struct engine_cache *cache);

/** Return the last sequence. */
uint64_t engine_cache_last (const struct engine_cache *cache);

/** Copy the changes after sequence AFTER, at most MAX.  Old changes are
 * forgotten, so the first may not be AFTER + 1. */
size_t engine_cache_changes (const struct engine_cache *cache, uint64_t after,
                             struct engine_cache_change *changes, size_t max);

/** Copy the cached blocks, at most MAX. */
size_t engine_cache_blocks (const struct engine_cache *cache, uint64_t *blocks,
                            size_t max);

#endif
