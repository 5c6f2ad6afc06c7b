/** @file
 * Distributed rate limiting of organisations: a fleet-wide allotment each.
 *
 * Every node keeps one token bucket per organisation, refilled at the
 * organisation's rate, and takes the use of all nodes from it: its own at
 * once, that of its peers as their reports arrive.  No message is exchanged
 * for a request.  A node that hears only some of the others uses only their
 * part of the rate, so that the groups of a divided fleet together keep to it.
 *
 * Use is reported by counters that only grow, so that a lost report is made up
 * by the next.
 *
 * No I/O.  Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_ALLOTMENTS_H
#define BERYL_ALLOTMENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Rate limit of an organisation, for all nodes together. */
struct beryl_allotment
{
  bool in_tokens;        /**< a request costs its tokens; otherwise 1 */
  uint32_t plain_tokens; /**< cost of a request that states no tokens */
  double per_s;          /**< requests or tokens per second; 0: unlimited */
  double burst;          /**< requests or tokens at once */
};

/** Allotment of one organisation. */
struct beryl_allotment_entry
{
  uint32_t organisation; /**< id, the same at all nodes */
  struct beryl_allotment allotment;
};

struct beryl_allotments;

/** Create an instance without allotments.  SLACK is what all nodes together
 * may exceed an allotment by, in its unit. */
struct beryl_allotments *beryl_allotments_create (double slack, uint64_t seed);

/** Release; NULL is allowed. */
void beryl_allotments_destroy (struct beryl_allotments *allotments);

void beryl_allotments_set_slack (struct beryl_allotments *allotments,
                                 double slack);

/** Replace the allotments by COUNT entries with ascending ids.  The use of
 * organisations that stay is kept. */
void beryl_allotments_set (struct beryl_allotments *allotments,
                           const struct beryl_allotment_entry *entries,
                           size_t count);

/** Set the number of nodes that may be running, this one included, and the
 * longest interval between two reports of a live node. */
void beryl_allotments_set_fleet (struct beryl_allotments *allotments,
                                 uint32_t nodes, int64_t report_interval_ms);

/** Return the cost of a request with TOKENS (0: none stated). */
uint32_t beryl_allotment_cost (const struct beryl_allotment *allotment,
                               uint64_t tokens);

/** What a node believes of an allotment, and what it decided by that. */
struct beryl_allotment_state
{
  bool limited;           /**< the organisation has an allotment */
  double per_s;           /**< rate of all nodes */
  double available;       /**< below 0 if overdrawn */
  double used_per_s;      /**< use of all nodes that are heard */
  double refused_per_s;   /**< refusals of all nodes that are heard */
  double share;           /**< part of the rate that this node may count on */
  int64_t report_age_ms;  /**< of the oldest report that counts */
  int64_t retry_after_ms; /**< if refused: when to return */
};

/** Decide about a request of ORGANISATION that costs COST.  If it is admitted,
 * COST is set aside until beryl_allotments_use or beryl_allotments_release.
 * STATE may be NULL. */
bool beryl_allotments_admit (struct beryl_allotments *allotments,
                             uint32_t organisation, uint32_t cost,
                             int64_t now_ms,
                             struct beryl_allotment_state *state);

/** The admitted request is sent to an endpoint for the first time. */
void beryl_allotments_use (struct beryl_allotments *allotments,
                           uint32_t organisation, uint32_t cost,
                           int64_t now_ms);

/** The admitted request has ended and was never sent. */
void beryl_allotments_release (struct beryl_allotments *allotments,
                               uint32_t organisation, uint32_t cost);

/** Return what this node believes of ORGANISATION's allotment. */
struct beryl_allotment_state
beryl_allotments_state (struct beryl_allotments *allotments,
                        uint32_t organisation, int64_t now_ms);

/** Use of one organisation at the reporting node. */
struct beryl_allotment_use
{
  uint32_t organisation;
  uint32_t used;    /**< counter of all use since the node's start; wraps */
  uint32_t recent;  /**< part of USED that may not have been reported before */
  uint32_t refused; /**< counter of what was refused; wraps */
};

/** Maximum number of organisations in one report; the others follow in the
 * next ones. */
#define BERYL_ALLOTMENT_USES_MAX 24

/** A node's report. */
struct beryl_allotment_report
{
  struct beryl_allotment_use items[BERYL_ALLOTMENT_USES_MAX];
  size_t count;
};

/** Return whether a report is due: this node has used so much of an allotment
 * since its last one that it may soon have to refuse. */
bool beryl_allotments_report_due (const struct beryl_allotments *allotments);

/** Write the recent use of this node, for a message to its peers. */
void beryl_allotments_report (struct beryl_allotments *allotments,
                              struct beryl_allotment_report *report,
                              int64_t now_ms);

/** Apply the report of NODE, which may be empty: it shows that the node is
 * heard.  Reports of one incarnation must be applied in order. */
void beryl_allotments_apply (struct beryl_allotments *allotments,
                             uint32_t node, uint64_t incarnation,
                             const struct beryl_allotment_report *report,
                             int64_t now_ms);

#endif
