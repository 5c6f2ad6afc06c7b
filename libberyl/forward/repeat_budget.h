/** @file
 * Bounds the sends beyond the first of each request, over the whole fleet
 * and without a message: each node keeps to its part.
 *
 * Without the bound a sick service is hit hardest when it can bear least,
 * since every failed or refused request comes back.  In any window a node
 * sends at most RATIO times its own requests, plus its part of the SLACK.
 * Sums over nodes keep the fleet's bound, whatever messages are lost, as
 * long as no more nodes live than the slack was parted for.
 */
#ifndef FORWARD_REPEAT_BUDGET_H
#define FORWARD_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Pieces of a window; the oldest one counts whole. */
#define REPEAT_BUCKETS 20

/** Counts of the last window; zero-initialise. */
struct repeat_budget
{
  int64_t bucket; /**< number of the newest piece of time */
  uint32_t requests[REPEAT_BUCKETS];
  uint32_t repeats[REPEAT_BUCKETS];
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

/** Return how many repeats may be sent now. */
uint32_t repeat_budget_left (struct repeat_budget *b,
                             const struct repeat_terms *terms, int64_t now_ms);

/** Count a repeat. */
void repeat_budget_spend (struct repeat_budget *b,
                          const struct repeat_terms *terms, int64_t now_ms);

#endif
