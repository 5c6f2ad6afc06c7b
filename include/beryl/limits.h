/** @file
 * Endpoints that take only so many requests a second from all nodes together.
 *
 * Each node follows one token bucket for each of them: it refills at the
 * endpoint's rate, and whoever sends takes a token and tells the others, so
 * that all follow the same bucket some milliseconds apart.  A send that two
 * nodes make at the same moment is paid for by both later.  A node that hears
 * only some of the others uses only their part of the rate.
 *
 * No I/O.  Not thread-safe.
 */
#ifndef BERYL_LIMITS_H
#define BERYL_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/live.h"

struct beryl_limits;

/** What a node knows of the others. */
struct beryl_limit_cluster
{
  double reachable_fraction;  /**< of the nodes that can be heard, 0 to 1 */
  double concurrent_requests; /**< requests of all nodes that choose before
                     they hear of each other's choices */
};

/** Create without any limit. */
struct beryl_limits *beryl_limits_create (void);

/** Release; NULL is allowed. */
void beryl_limits_destroy (struct beryl_limits *limits);

/** An answer of the endpoint with this number, to a request that was sent at
 * SENT_MS, named LIMIT.  KIND (not 0) stands for the kind of answer: not all
 * of them may name limits, so that only one of the same kind tells that there
 * is none any more.  Returns whether the limit is another one than before. */
bool beryl_limits_observe (struct beryl_limits *limits, uint32_t endpoint,
                           uint32_t kind, const struct beryl_rate_limit *limit,
                           int64_t sent_ms, int64_t now_ms);

/** Whether a request may go to the endpoint now.  CHANCE, from 0 to 1, is
 * drawn by the caller for each request. */
bool beryl_limits_allow (struct beryl_limits *limits, uint32_t endpoint,
                         const struct beryl_limit_cluster *terms,
                         double chance, int64_t now_ms);

/** A request goes there. */
void beryl_limits_record_send (struct beryl_limits *limits, uint32_t endpoint,
                               const struct beryl_limit_cluster *terms,
                               int64_t now_ms);

/** Return after how long a request may go to the endpoint, 0 if it may now. */
int64_t beryl_limits_wait_ms (struct beryl_limits *limits, uint32_t endpoint,
                              const struct beryl_limit_cluster *terms,
                              int64_t now_ms);

/** Return the endpoint's limit; not named if there is none. */
struct beryl_rate_limit beryl_limits_get (const struct beryl_limits *limits,
                                          uint32_t endpoint);

/** What a node tells of one endpoint. */
struct beryl_limit_item
{
  uint32_t endpoint;
  bool advertised;
  uint32_t answer_kind; /**< of the answers that name it */
  uint32_t milli_per_s;
  uint32_t age_ms; /**< since an answer named it, or none */
  uint32_t sent;   /**< requests of this node to it so far; wraps around */
};

/** Most endpoints in one message; what is left out is told with a later one.
 */
#define BERYL_LIMIT_ITEMS_MAX 16

/** What a node tells its peers. */
struct beryl_limits_update
{
  uint32_t node; /**< the number of its name */
  struct beryl_limit_item items[BERYL_LIMIT_ITEMS_MAX];
  size_t count;
};

/** Write what changed since the last message, or with ALL, in turns, the
 * rest; false if that is nothing.  NODE is set by the caller. */
bool beryl_limits_build_update (struct beryl_limits *limits,
                                struct beryl_limits_update *news, bool all,
                                int64_t now_ms);

/** Take what a peer tells. */
void beryl_limits_apply_update (struct beryl_limits *limits,
                                const struct beryl_limits_update *news,
                                const struct beryl_limit_cluster *terms,
                                int64_t now_ms);

/** Whether something has changed that is to be told. */
bool beryl_limits_has_changes (const struct beryl_limits *limits);

/** Return the number of endpoints that name a limit. */
uint32_t beryl_limits_count (const struct beryl_limits *limits);

#endif
