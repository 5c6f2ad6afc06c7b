/** @file
 * Limits repeats, that is sends of a request beyond its first (retries and
 * hedged sends), over the whole fleet without coordination: each node keeps to
 * its share.
 *
 * Without the limit a failing service would get the most load when it can bear
 * it least, since every failed or refused request is sent again. In any window
 * a node sends at most RATIO times its own requests, plus its share of the
 * SLACK. The requests are those of that window, of the one before it or of the
 * one half a window before it, whichever has most. The sum over the nodes
 * stays within the fleet's limit whatever messages are lost, as long as no
 * more nodes are alive than the slack was divided by.
 *
 * The counters end with the process. A restarted node does not know what it
 * sent before, so for a window it sends only the part of the limit that is
 * kept in reserve otherwise, and what it borrows.
 *
 * A node that has used up its share may borrow from another. The borrower may
 * use a loan for REPEAT_LOAN_MS from its own request on. The lender counts it
 * as spent for that time and a window more, counted from the grant, so that no
 * window in which the borrower may have used it is missed. If the message of a
 * loan is lost, the lender counts it as spent although nobody uses it, so the
 * limit is never exceeded.
 */
#ifndef FORWARD_REPEAT_BUDGET_H
#define FORWARD_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Buckets of a window. */
#define REPEAT_WINDOW_BUCKETS 39
/** Buckets of repeats: a window that begins and ends within buckets touches
 * one more. */
#define REPEAT_BUCKETS (REPEAT_WINDOW_BUCKETS + 1)
/** Buckets of requests: those of the window before count, too. */
#define REQUEST_BUCKETS (REPEAT_BUCKETS + REPEAT_WINDOW_BUCKETS)

/** Loans that a node may have outstanding. */
#define REPEAT_LOANS_MAX 16
/** How long a loan may be used, counted from the borrower's request. It covers
 * some round trips between nodes, and a burst of failures of a service, which
 * lasts for seconds. */
#define REPEAT_LOAN_MS 2000

/** Repeats that were lent or borrowed. */
struct repeat_loan
{
  uint32_t count;
  int64_t expires_ms;
};

/** Counters of the last window; zero-initialise.  They know nothing of an
 * earlier process of the node: see started_ms of struct repeat_limits. */
struct repeat_budget
{
  int64_t bucket; /**< number of the current bucket */
  uint32_t requests[REQUEST_BUCKETS];
  uint32_t repeats[REPEAT_BUCKETS];
  struct repeat_loan lent[REPEAT_LOANS_MAX];
  struct repeat_loan borrowed;
  uint32_t held; /**< set aside for sends that may turn out to be repeats */
};

/** Fleet-wide limits. */
struct repeat_limits
{
  double ratio;
  uint32_t slack;
  int64_t window_ms;
  uint32_t nodes;     /**< nodes that share the slack; at least 1 */
  int64_t started_ms; /**< start of this node's process */
};

/** Count the arrival of a request. */
void repeat_budget_count_request (struct repeat_budget *b,
                                  const struct repeat_limits *limits,
                                  int64_t now_ms);

/** Return the number of requests in the window that ends now. */
uint32_t repeat_budget_requests (struct repeat_budget *b,
                                 const struct repeat_limits *limits,
                                 int64_t now_ms);

/** Return how many repeats may be sent now. */
uint32_t repeat_budget_left (struct repeat_budget *b,
                             const struct repeat_limits *limits,
                             int64_t now_ms);

/** Return whether more repeats have been spent than this node's share of a
 * window that includes now. */
bool repeat_budget_is_overdrawn (struct repeat_budget *b,
                                 const struct repeat_limits *limits,
                                 int64_t now_ms);

/** Lend at most MOST and at most half of what is left; returns the number
 * lent. */
uint32_t repeat_budget_lend (struct repeat_budget *b,
                             const struct repeat_limits *limits, uint32_t most,
                             int64_t now_ms);

/** Add a loan of COUNT repeats that this node requested at ASKED_MS. */
void repeat_budget_borrow (struct repeat_budget *b, uint32_t count,
                           int64_t asked_ms, int64_t now_ms);

/** Count a repeat. */
void repeat_budget_spend (struct repeat_budget *b,
                          const struct repeat_limits *limits, int64_t now_ms);

#endif
