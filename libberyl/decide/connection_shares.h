/** @file
 * Load: many nodes open connections to few endpoints at once, each of which
 * accepts a limited number from all nodes together and resets the others.
 *
 * A node's own part of the limit is not enforced as long as the endpoint
 * resets nothing, so that what other nodes leave unused needs no message to be
 * lent.  After a reset the node keeps to its part, or to less if the endpoint
 * accepts less than its limit; what it allows itself then doubles at fixed
 * intervals.
 */
#ifndef DECIDE_CONNECTION_SHARES_H
#define DECIDE_CONNECTION_SHARES_H

#include "beryl/live.h"

struct connection_facts
{
  uint32_t limit; /**< connections of all nodes to one endpoint; 0: none */
  uint32_t nodes; /**< that may be running */
  uint32_t open;  /**< connections of this node to the endpoint */
  bool overdue;   /**< one of them is answered unusually late */
  int64_t now_ms;
};

enum connection_choice
{
  CONNECTION_OPEN, /**< open it, and send at once */
  /** Open it, but send only if the endpoint has not reset it shortly after: a
   * request that was not sent has certainly not run. */
  CONNECTION_OPEN_HELD,
  CONNECTION_REFUSED, /**< open none */
};

/** Decide about one more connection to an endpoint. */
enum connection_choice
connection_share_ask (const struct beryl_connection_share *share,
                      const struct connection_facts *facts);

/** Return how long a new connection is to be watched for a reset before the
 * request is sent, if its caller expects an answer within OBJECTIVE_MS. */
int64_t connection_share_hold_ms (int64_t objective_ms);

/** The endpoint has reset a connection before anything was sent on it. */
void connection_share_reset (struct beryl_connection_share *share,
                             const struct connection_facts *facts);

/** The endpoint has said that it is full, or has reset a connection after the
 * request was sent and before it was answered: for its limit, or for another
 * reason. */
void connection_share_doubt (struct beryl_connection_share *share,
                             const struct connection_facts *facts);

/** Return when one more connection will be allowed, if none is now. */
int64_t connection_share_wait_ms (const struct beryl_connection_share *share,
                                  const struct connection_facts *facts);

#endif
