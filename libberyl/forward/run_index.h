/** @file
 * Index of the peers' runs by engine, prefill engine or service. It avoids a
 * scan of all runs, of which a fleet of 400 nodes has some twenty thousand.
 */
#ifndef FORWARD_RUN_INDEX_H
#define FORWARD_RUN_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "../base/map.h"

struct peer_runs;

/** A run of a peer. */
struct run_ref
{
  const struct peer_runs *peer;
  uint32_t index; /**< index among the peer's runs */
};

/** Runs whose engine, prefill engine or service has the same hash. */
struct run_list
{
  struct run_ref *items;
  size_t count;
  size_t capacity;
};

/** Map from hashes to lists of runs; zero-initialise. */
struct run_index
{
  struct map lists;
};

/** Add the run of PEER at index AT under HASH. */
void run_index_add (struct run_index *index, uint32_t hash,
                    const struct peer_runs *peer, uint32_t at);

/** Remove the run of PEER at index AT from HASH. */
void run_index_remove (struct run_index *index, uint32_t hash,
                       const struct peer_runs *peer, uint32_t at);

/** Return the runs under HASH; NULL if there are none. */
const struct run_list *run_index_find (const struct run_index *index,
                                       uint32_t hash);

/** Free everything. */
void run_index_clear (struct run_index *index);

#endif
