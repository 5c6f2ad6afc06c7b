/** @file
 * Index of the prefix blocks that endpoints probably hold.
 *
 * Memory is bounded: a set-associative table of block hashes, each with a few
 * holders, with least-recently-used replacement.
 */
#ifndef ROUTER_PREFIX_H
#define ROUTER_PREFIX_H

#include <stddef.h>
#include <stdint.h>

/** Maximum number of holders per block. */
#define PREFIX_HOLDERS 6

/** Size of the array for the results of a lookup, at least PREFIX_HOLDERS:
 * only holders of the first block are found. */
#define PREFIX_MATCHES 8

struct prefix_index;

/** Number of leading blocks that an endpoint holds. */
struct prefix_match
{
  uint32_t endpoint;
  uint32_t blocks;
};

/** Create an index with room for about ENTRIES blocks. */
struct prefix_index *prefix_index_create (size_t entries);

/** Release INDEX; NULL is allowed. */
void prefix_index_destroy (struct prefix_index *index);

/** Record that ENDPOINT holds, or no longer holds, BLOCK. */
void prefix_index_add (struct prefix_index *index, uint64_t block,
                       uint32_t endpoint, int64_t now_ms);
void prefix_index_remove (struct prefix_index *index, uint64_t block,
                          uint32_t endpoint);

/** Record that ENDPOINT will hold the chain BLOCKS.  Only a few new blocks are
 * added per call: blocks after a prefix that prompts share, such as a system
 * prompt, seldom recur, and the shared prefix is complete after a few calls.
 */
void prefix_index_add_chain (struct prefix_index *index,
                             const uint64_t *blocks, size_t block_count,
                             uint32_t endpoint, int64_t now_ms);

/** Remove all blocks of ENDPOINT. */
void prefix_index_remove_endpoint (struct prefix_index *index,
                                   uint32_t endpoint);

/** Renumber endpoints after a configuration change: NUMBERS[old] is the new
 * index or UINT32_MAX. */
void prefix_index_renumber (struct prefix_index *index,
                            const uint32_t *numbers, size_t number_count);

/** Find the holders of the longest prefixes of BLOCKS.  Returns the number
 * written to MATCHES, which has PREFIX_MATCHES elements. */
size_t prefix_index_lookup (struct prefix_index *index, const uint64_t *blocks,
                            size_t block_count, int64_t now_ms,
                            struct prefix_match *matches);

#endif
