/** @file
 * Distributed rate limiting of organisations: a fleet-wide quota each.
 *
 * Every node keeps one token bucket per organisation, refilled at the
 * organisation's rate, and takes the use of all nodes from it: its own at
 * once, that of its peers as their reports arrive.  No message is exchanged
 * for a request.  A node that reaches only some of the others uses only
 * their part of the rate, so that both sides of a partition together keep to
 * it.
 *
 * Use is reported by counters that only grow, so that a lost report is made up
 * by the next.
 *
 * No I/O.  Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_QUOTAS_H
#define BERYL_QUOTAS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Rate limit of an organisation, for all nodes together. */
struct beryl_quota
{
  bool in_tokens;        /**< a request costs its tokens; otherwise 1 */
  uint32_t plain_tokens; /**< cost of a request that states no tokens */
  double per_s;          /**< requests or tokens per second; 0: unlimited */
  double burst;          /**< requests or tokens at once */
};

/** Quota of one organisation. */
struct beryl_quota_entry
{
  uint32_t organisation; /**< id, the same at all nodes */
  struct beryl_quota quota;
};

/** Number of ranks that are told apart within a quota; less urgent ones count
 * as the last. */
#define BERYL_QUOTA_RANKS 10

/** A request that asks for a part of its organisation's quota. */
struct beryl_quota_request
{
  uint32_t organisation;
  uint32_t rank; /**< within the organisation; 0 is the most urgent */
  uint32_t cost;
};

struct beryl_quotas;

/** Create an instance without quotas.  SLACK is what all nodes together
 * may exceed a quota by, in its unit. */
struct beryl_quotas *beryl_quotas_create (double slack, uint64_t seed);

/** Release; NULL is allowed. */
void beryl_quotas_destroy (struct beryl_quotas *quotas);

void beryl_quotas_set_slack (struct beryl_quotas *quotas, double slack);

/** Replace the quotas by COUNT entries with ascending ids.  The use of
 * organisations that stay is kept. */
void beryl_quotas_set (struct beryl_quotas *quotas,
                       const struct beryl_quota_entry *entries, size_t count);

/** Set the number of nodes that may be running, this one included, and the
 * longest interval between two reports of a live node. */
void beryl_quotas_set_fleet (struct beryl_quotas *quotas, uint32_t nodes,
                             int64_t report_interval_ms);

/** Return the cost of a request with TOKENS (0: none stated). */
uint32_t beryl_quota_cost (const struct beryl_quota *quota, uint64_t tokens);

/** What a node believes of a quota, and what it decided by that. */
struct beryl_quota_state
{
  bool limited;           /**< the organisation has a quota */
  double per_s;           /**< rate of all nodes */
  double available;       /**< below 0 if overdrawn */
  double used_per_s;      /**< use of all reachable nodes */
  double refused_per_s;   /**< refusals of all reachable nodes */
  double share;           /**< part of the rate that this node may count on */
  uint32_t rank;          /**< of the request */
  double set_aside;       /**< part of AVAILABLE for more urgent requests */
  double granted_per_s;   /**< to all requests of the rank; 0: no limit below
                             that of the organisation */
  int64_t report_age_ms;  /**< of the oldest report that counts */
  int64_t retry_after_ms; /**< if refused: when to return */
};

/** Decide about REQUEST.  If it is admitted, its cost is reserved until
 * beryl_quotas_use or beryl_quotas_release.  Where an organisation asks for
 * more than its quota, more urgent requests come first.  STATE may be NULL. */
bool beryl_quotas_admit_ranked (struct beryl_quotas *quotas,
                                const struct beryl_quota_request *request,
                                int64_t now_ms,
                                struct beryl_quota_state *state);

/** Decide about a request of ORGANISATION whose requests are all equally
 * urgent, that costs COST. */
bool beryl_quotas_admit (struct beryl_quotas *quotas, uint32_t organisation,
                         uint32_t cost, int64_t now_ms,
                         struct beryl_quota_state *state);

/** The admitted request is sent to an endpoint for the first time. */
void beryl_quotas_use (struct beryl_quotas *quotas, uint32_t organisation,
                       uint32_t cost, int64_t now_ms);

/** The admitted request has ended and was never sent. */
void beryl_quotas_release (struct beryl_quotas *quotas, uint32_t organisation,
                           uint32_t cost);

/** Return what this node believes of ORGANISATION's quota. */
struct beryl_quota_state beryl_quotas_state (struct beryl_quotas *quotas,
                                             uint32_t organisation,
                                             int64_t now_ms);

/** What an organisation asked for at one rank. */
struct beryl_quota_rank_state
{
  uint32_t rank;
  double asked_per_s;      /**< at all reachable nodes */
  uint64_t admitted_total; /**< at this node, in the quota's unit */
  uint64_t refused_total;
};

/** Write what ORGANISATION asked for by rank to RANKS, which has room for
 * BERYL_QUOTA_RANKS; return the number of ranks. */
size_t beryl_quotas_ranks (struct beryl_quotas *quotas, uint32_t organisation,
                           struct beryl_quota_rank_state *ranks,
                           int64_t now_ms);

/** Use of one organisation at the reporting node. */
struct beryl_quota_use
{
  uint32_t organisation;
  uint32_t used;    /**< counter of all use since the node's start; wraps */
  uint32_t recent;  /**< part of USED that may not have been reported before */
  uint32_t refused; /**< counter of what was refused; wraps */
  /** Part of what was asked for of late, by rank, in thousandths; all 0:
   * unknown. */
  uint16_t asked_permille[BERYL_QUOTA_RANKS];
};

/** Maximum number of organisations in one report; the others follow in the
 * next ones. */
#define BERYL_QUOTA_USES_MAX 24

/** A node's report. */
struct beryl_quota_report
{
  struct beryl_quota_use items[BERYL_QUOTA_USES_MAX];
  size_t count;
};

/** Return whether a report is due: this node has used so much of a quota
 * since its last one that it may soon have to refuse. */
bool beryl_quotas_report_due (const struct beryl_quotas *quotas);

/** Write the recent use of this node, for a message to its peers. */
void beryl_quotas_report (struct beryl_quotas *quotas,
                          struct beryl_quota_report *report, int64_t now_ms);

/** Apply the report of NODE, which may be empty: it shows that the node is
 * reachable.  Reports of one incarnation must be applied in order. */
void beryl_quotas_apply (struct beryl_quotas *quotas, uint32_t node,
                         uint64_t incarnation,
                         const struct beryl_quota_report *report,
                         int64_t now_ms);

#endif
