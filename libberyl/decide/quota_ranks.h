/** @file
 * Load: callers of one organisation ask for more than its quota, some of them
 * more urgently than others.  Says what a request leaves in the bucket for the
 * more urgent ones.
 */
#ifndef DECIDE_QUOTA_RANKS_H
#define DECIDE_QUOTA_RANKS_H

#include <stddef.h>
#include <stdint.h>

#include "shares.h"

/** Number of ranks that are told apart; less urgent ones count as the last. */
#define QUOTA_RANKS_MAX 10

/** Number of less urgent requests that a more urgent one may take the place
 * of.  A large request would otherwise displace dozens of small ones. */
#define QUOTA_DISPLACED_MAX 4

/** What is known of a quota when a request asks. */
struct quota_ranks_facts
{
  uint32_t rank;    /**< of the request; 0 is the most urgent */
  double cost;      /**< of the request */
  double per_s;     /**< rate of the quota */
  double capacity;  /**< of the bucket */
  double available; /**< in the bucket */
  double asked_per_s[QUOTA_RANKS_MAX]; /**< by all callers, by rank */
  double cost_mean[QUOTA_RANKS_MAX];   /**< of the requests; 0: unknown */
};

struct quota_ranks_verdict
{
  double set_aside;       /**< part of the bucket for more urgent requests */
  double chance;          /**< that the request may use what is set aside */
  double competing_per_s; /**< what is asked for, and not put off, before the
                             request is */
  double granted_per_s;   /**< to all requests of the rank; 0: it is not
                             limited */
};

/** Decide about a request by FACTS.  Unless ranks differ and more is asked for
 * than the rate, nothing is set aside. */
struct quota_ranks_verdict
quota_ranks_decide (const struct quota_ranks_facts *facts);

#endif
