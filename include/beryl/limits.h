/** @file
 * Distributed rate limiting of endpoints that advertise a rate limit for all
 * nodes together.
 *
 * Each node tracks one token bucket per limited endpoint, refilled at the
 * advertised rate.  A sender takes a token and announces it, so that all nodes
 * track the same bucket with a delay of some milliseconds.  Two nodes that use
 * the same token overdraw the bucket, which later refills pay back.  A node
 * that reaches only some of the others uses only their fraction of the rate.
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

/** Cluster state that limits depend on. */
struct beryl_limit_cluster
{
  double reachable_fraction; /**< fraction of the nodes that can be reached, 0
                                to 1 */
  double competing_requests; /**< expected number of requests of all nodes
                                within the time that an announcement of a send
                                takes to reach the others */
};

/** Create an instance without limits. */
struct beryl_limits *beryl_limits_create (void);

/** Release; NULL is allowed. */
void beryl_limits_destroy (struct beryl_limits *limits);

/** Record that ENDPOINT answered a request sent at SENT_MS and advertised
 * LIMIT or none.  ANSWER_KIND is a number, not 0, that the caller assigns to
 * each kind of exchange (run, prefill, reservation, ...).  Not all kinds of
 * answer carry limits, so only an answer of the kind that advertised a limit
 * can end it.  Returns whether the limit changed. */
bool beryl_limits_observe (struct beryl_limits *limits, uint32_t endpoint,
                           uint32_t answer_kind,
                           const struct beryl_rate_limit *limit,
                           int64_t sent_ms, int64_t now_ms);

/** Return whether a request may be sent to the endpoint now.  CHANCE is a
 * random number from 0 to 1, drawn by the caller for each request. */
bool beryl_limits_allow (struct beryl_limits *limits, uint32_t endpoint,
                         const struct beryl_limit_cluster *cluster,
                         double chance, int64_t now_ms);

/** Take a token for a request that is sent to the endpoint. */
void beryl_limits_record_send (struct beryl_limits *limits, uint32_t endpoint,
                               const struct beryl_limit_cluster *cluster,
                               int64_t now_ms);

/** Return the delay until a request may be sent to the endpoint, 0 if it may
 * be sent now. */
int64_t beryl_limits_wait_ms (struct beryl_limits *limits, uint32_t endpoint,
                              const struct beryl_limit_cluster *cluster,
                              int64_t now_ms);

/** Return the endpoint's limit; not advertised if there is none. */
struct beryl_rate_limit beryl_limits_get (const struct beryl_limits *limits,
                                          uint32_t endpoint);

/** State of one endpoint's limit at a node. */
struct beryl_limit_item
{
  uint32_t endpoint;
  bool advertised;
  uint32_t answer_kind; /**< kind of answer that carries the limit */
  uint32_t millirequests_per_s;
  uint32_t age_ms; /**< age of the last answer that confirmed this state */
  uint32_t sent;   /**< counter of requests sent by this node; wraps around */
};

/** Maximum number of endpoints in one message; others follow in later
 * messages. */
#define BERYL_LIMIT_ITEMS_MAX 16

/** Update that a node sends to its peers. */
struct beryl_limits_update
{
  uint32_t node; /**< beryl_name_hash of the sender */
  struct beryl_limit_item items[BERYL_LIMIT_ITEMS_MAX];
  size_t count;
};

/** Collect the items that changed since the last call; ALL fills the message
 * with the others in rotation.  NODE is set by the caller.  Returns false if
 * there are no items. */
bool beryl_limits_build_update (struct beryl_limits *limits,
                                struct beryl_limits_update *update, bool all,
                                int64_t now_ms);

/** Apply an update from a peer. */
void beryl_limits_apply_update (struct beryl_limits *limits,
                                const struct beryl_limits_update *update,
                                const struct beryl_limit_cluster *cluster,
                                int64_t now_ms);

/** Return whether there are changes to announce. */
bool beryl_limits_has_changes (const struct beryl_limits *limits);

/** Return the number of endpoints with a limit. */
uint32_t beryl_limits_count (const struct beryl_limits *limits);

#endif
