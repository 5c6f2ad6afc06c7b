/** @file
 * Bounds the sends beyond the first of each request, over the whole fleet
 * and without a message: each node keeps to its part.
 *
 * Without the bound a sick service is hit hardest when it can bear least,
 * since every failed or refused request comes back.  In any window a node
 * sends at most RATIO times its own requests, plus its part of the SLACK.
 * Sums over nodes keep the fleet's bound, whatever messages are lost, as
 * long as no more nodes live than the slack was parted for.
 *
 * A node that has used up its part may borrow from another.  The lender counts
 * what it lends as sent, from when it does until the last window that the
 * borrower's sends can fall into has passed; the borrower uses it within a
 * time that begins with its asking.  A loan whose message is lost is lost: the
 * bound holds whatever arrives.
 */
#ifndef FORWARD_REPEAT_BUDGET_H
#define FORWARD_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Pieces of a window; the oldest one counts whole. */
#define REPEAT_BUCKETS 20

/** Loans that a node may have given at a time. */
#define REPEAT_LOANS_MAX 16
/** How long after it was asked for a loan may be used: some round trips
 * between nodes, and the troubles of a service come in bursts of seconds. */
#define REPEAT_LOAN_MS 2000

/** What was lent, or borrowed. */
struct repeat_loan
{
  uint32_t count;
  int64_t until_ms; /**< counts until then */
};

/** Counts of the last window; zero-initialise. */
struct repeat_budget
{
  int64_t bucket; /**< number of the newest piece of time */
  uint32_t requests[REPEAT_BUCKETS];
  uint32_t repeats[REPEAT_BUCKETS];
  struct repeat_loan lent[REPEAT_LOANS_MAX];
  struct repeat_loan borrowed;
};

/** Fleet-wide terms. */
struct repeat_terms
{
  double ratio;
  uint32_t slack;
  int64_t window_ms;
  uint32_t nodes; /**< that share the slack; at least 1 */
};

/** Count a request's arrival. */
void repeat_budget_request (struct repeat_budget *b,
                            const struct repeat_terms *terms, int64_t now_ms);

/** Return the requests of the window that ends now. */
uint32_t repeat_budget_requests (struct repeat_budget *b,
                                 const struct repeat_terms *terms,
                                 int64_t now_ms);

/** Return how many repeats may be sent now. */
uint32_t repeat_budget_left (struct repeat_budget *b,
                             const struct repeat_terms *terms, int64_t now_ms);

/** Lend up to MOST, and half of what is left; returns how many. */
uint32_t repeat_budget_lend (struct repeat_budget *b,
                             const struct repeat_terms *terms, uint32_t most,
                             int64_t now_ms);

/** COUNT were lent to this node, which had asked at ASKED_MS. */
void repeat_budget_borrow (struct repeat_budget *b, uint32_t count,
                           int64_t asked_ms, int64_t now_ms);

/** Count a repeat. */
void repeat_budget_spend (struct repeat_budget *b,
                          const struct repeat_terms *terms, int64_t now_ms);

#endif
