/** @file
 * Decides how a node that has heard of a newer version of a shared object gets
 * it: by waiting for the answer of its own watch, by asking the store anew, or
 * from a peer.
 *
 * One per object.  Versions are revisions of the store, which only grow.
 */
#ifndef BERYL_FRESHNESS_H
#define BERYL_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

struct beryl_freshness;

/** What to do. */
enum beryl_freshness_step
{
  BERYL_FRESHNESS_WAIT,
  BERYL_FRESHNESS_ASK_STORE, /**< make a new call to the store */
  BERYL_FRESHNESS_PULL,      /**< pull from a peer that has it */
};

/** What is known of the store. */
struct beryl_freshness_store
{
  bool unreachable;
  bool answering; /**< an answer about the object is arriving */
};

/** Create; a new version must be in use within BOUND_MS, at least 8.  Returns
 * NULL if out of memory. */
struct beryl_freshness *beryl_freshness_create (int64_t bound_ms);

/** Release; NULL is allowed. */
void beryl_freshness_destroy (struct beryl_freshness *freshness);

/** Somebody has REVISION; returns whether that is news. */
bool beryl_freshness_heard (struct beryl_freshness *freshness,
                            uint64_t revision, int64_t now_ms);

/** This node has dealt with REVISION: it is in use, or was rejected. */
void beryl_freshness_seen (struct beryl_freshness *freshness,
                           uint64_t revision, int64_t now_ms);

/** Return what to do at NOW_MS; the caller does it. */
enum beryl_freshness_step
beryl_freshness_step (struct beryl_freshness *freshness,
                      const struct beryl_freshness_store *store,
                      int64_t now_ms);

/** Return the time of the next step; BERYL_NEVER_MS if this node is not
 * behind. */
int64_t beryl_freshness_next_ms (const struct beryl_freshness *freshness,
                                 int64_t now_ms);

/** Return the newest revision that was heard of; 0 if none. */
uint64_t
beryl_freshness_heard_revision (const struct beryl_freshness *freshness);

/** Return for how long this node has been behind, in milliseconds. */
int64_t beryl_freshness_behind_ms (const struct beryl_freshness *freshness,
                                   int64_t now_ms);

#endif
