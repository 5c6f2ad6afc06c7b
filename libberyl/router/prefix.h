/** @file
 * Which endpoints probably hold which prefix blocks.
 *
 * Bounded memory: a set-associative table of block hashes, each with a few
 * holders.  What is not looked up or refreshed is replaced first.
 */
#ifndef ROUTER_PREFIX_H
#define ROUTER_PREFIX_H

#include <stddef.h>
#include <stdint.h>

/** Holders kept for a block. */
#define PREFIX_HOLDERS 6

/** Endpoints named by one lookup at most. */
#define PREFIX_MATCHES 8

struct prefix_index;

/** How many leading blocks an endpoint holds. */
struct prefix_match
{
  uint32_t endpoint;
  uint32_t blocks;
};

/** Create an index with room for about ENTRIES blocks. */
struct prefix_index *prefix_index_create (size_t entries);

/** Release INDEX; NULL is allowed. */
void prefix_index_destroy (struct prefix_index *index);

/** Note that ENDPOINT holds or no longer holds BLOCK. */
void prefix_index_add (struct prefix_index *index, uint64_t block,
                       uint32_t endpoint, int64_t now_ms);
void prefix_index_remove (struct prefix_index *index, uint64_t block,
                          uint32_t endpoint);

/** Note that ENDPOINT will hold the chain BLOCKS.  Blocks never seen before
 * are added a few at a time: a document's own blocks seldom come again, and
 * a preamble is known whole after a few of them. */
void prefix_index_add_chain (struct prefix_index *index,
                             const uint64_t *blocks, size_t block_count,
                             uint32_t endpoint, int64_t now_ms);

/** Forget all that ENDPOINT holds. */
void prefix_index_remove_endpoint (struct prefix_index *index,
                                   uint32_t endpoint);

/** Rewrite endpoint numbers after a change of configuration: NUMBERS[old]
 * is the new one or UINT32_MAX. */
void prefix_index_renumber (struct prefix_index *index,
                            const uint32_t *numbers, size_t number_count);

/** Find the holders of the longest prefixes of BLOCKS.  Returns the number
 * written to MATCHES (PREFIX_MATCHES long). */
size_t prefix_index_lookup (struct prefix_index *index, const uint64_t *blocks,
                            size_t block_count, int64_t now_ms,
                            struct prefix_match *matches);

#endif
