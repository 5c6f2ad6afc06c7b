/** @file
 * Finds the peers' runs that are at an engine, are read there, or wait for a
 * service, without a walk over all runs: at 400 nodes there are some twenty
 * thousand.
 */
#ifndef FORWARD_RUN_INDEX_H
#define FORWARD_RUN_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "../base/map.h"

struct book_peer;

/** A run of a peer. */
struct run_ref
{
  const struct book_peer *peer;
  uint32_t at; /**< its place among the peer's runs */
};

/** Runs that have a number in common. */
struct run_list
{
  struct run_ref *items;
  size_t count;
  size_t capacity;
};

/** From numbers to lists; zero-initialise. */
struct run_index
{
  struct map lists;
};

/** Add the run AT of PEER under NUMBER. */
void run_index_add (struct run_index *index, uint32_t number,
                    const struct book_peer *peer, uint32_t at);

/** Remove it. */
void run_index_remove (struct run_index *index, uint32_t number,
                       const struct book_peer *peer, uint32_t at);

/** Return the runs under NUMBER; NULL if there are none. */
const struct run_list *run_index_find (const struct run_index *index,
                                       uint32_t number);

/** Release everything. */
void run_index_clear (struct run_index *index);

#endif
