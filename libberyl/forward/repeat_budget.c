#include "repeat_budget.h"

#include <string.h>

/* Part of the allowance that is used. Sends take different times to arrive, so
   an endpoint may receive more in one window than were sent in any. */
#define USED_SHARE 0.8
/* The rest, kept in reserve. */
#define RESERVE_SHARE (1 - USED_SHARE)

static void
advance (struct repeat_budget *b, const struct repeat_limits *limits,
         int64_t now_ms)
{
  int64_t bucket_ms = limits->window_ms / REPEAT_WINDOW_BUCKETS;
  int64_t bucket = now_ms / (bucket_ms > 0 ? bucket_ms : 1);

  if (bucket - b->bucket >= REQUEST_BUCKETS)
    {
      memset (b->requests, 0, sizeof b->requests);
      memset (b->repeats, 0, sizeof b->repeats);
      b->bucket = bucket;
    }
  while (b->bucket < bucket)
    {
      b->bucket++;
      b->requests[b->bucket % REQUEST_BUCKETS] = 0;
      b->repeats[b->bucket % REPEAT_BUCKETS] = 0;
    }
}

void
repeat_budget_count_request (struct repeat_budget *b,
                             const struct repeat_limits *limits,
                             int64_t now_ms)
{
  advance (b, limits, now_ms);
  b->requests[b->bucket % REQUEST_BUCKETS]++;
}

/* Sets SUMS[i] to the requests of the newest I buckets. */
static void
sum_requests (const struct repeat_budget *b,
              uint32_t sums[REQUEST_BUCKETS + 1])
{
  sums[0] = 0;
  for (int64_t i = 0; i < REQUEST_BUCKETS; i++)
    sums[i + 1]
        = sums[i]
          + (i <= b->bucket ? b->requests[(b->bucket - i) % REQUEST_BUCKETS]
                            : 0);
}

uint32_t
repeat_budget_requests (struct repeat_budget *b,
                        const struct repeat_limits *limits, int64_t now_ms)
{
  uint32_t sums[REQUEST_BUCKETS + 1];

  advance (b, limits, now_ms);
  sum_requests (b, sums);
  return sums[REPEAT_BUCKETS];
}

static uint32_t
lent_count (const struct repeat_budget *b, int64_t now_ms)
{
  uint32_t count = 0;

  for (int i = 0; i < REPEAT_LOANS_MAX; i++)
    if (now_ms < b->lent[i].expires_ms)
      count += b->lent[i].count;
  return count;
}

/* Returns whether an earlier process of this node may have sent repeats in the
   current window, or lent some that were used in it. */
static bool
predecessor_counts (const struct repeat_limits *limits, int64_t now_ms)
{
  return now_ms - limits->started_ms < limits->window_ms + REPEAT_LOAN_MS;
}

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* Returns the requests that count for a window that began within the bucket of
   AGE buckets ago, by their sums. Buckets that such a window touches only in
   part are left out. */
static uint32_t
counted_requests (const uint32_t sums[REQUEST_BUCKETS + 1], int64_t age)
{
  int64_t half = REPEAT_WINDOW_BUCKETS / 2 - 1;
  int64_t newest = age > half ? age - half : 0;
  uint32_t here = sums[age];
  uint32_t before = sums[age + REPEAT_WINDOW_BUCKETS] - sums[age + 1];
  uint32_t between = sums[age + half + 1] - sums[newest];

  return larger (here, larger (before, between));
}

/* Returns how many repeats this node may send in a window with REQUESTS. An
   earlier process is taken to have used all that the node could, so that only
   the reserve is left of what new requests allow, and nothing of the slack. */
static double
allowance (const struct repeat_limits *limits, uint32_t requests,
           int64_t now_ms)
{
  double by_requests = limits->ratio * requests;
  uint32_t nodes = limits->nodes > 0 ? limits->nodes : 1;

  if (predecessor_counts (limits, now_ms))
    return RESERVE_SHARE * by_requests;
  return USED_SHARE * (by_requests + (double)limits->slack / nodes);
}

/* Returns what is left of this node's own share: the least that any window
   leaves which includes now. It is negative if more has been spent. */
static double
own_balance (struct repeat_budget *b, const struct repeat_limits *limits,
             int64_t now_ms)
{
  uint32_t sums[REQUEST_BUCKETS + 1];
  double least = UINT32_MAX;
  uint32_t spent;

  advance (b, limits, now_ms);
  sum_requests (b, sums);
  spent = lent_count (b, now_ms);
  for (int64_t age = 0; age < REPEAT_BUCKETS && age <= b->bucket; age++)
    {
      double left = allowance (limits, counted_requests (sums, age), now_ms);

      spent += b->repeats[(b->bucket - age) % REPEAT_BUCKETS];
      left -= spent;
      if (left < least)
        least = left;
    }
  return least;
}

static uint32_t
own_left (struct repeat_budget *b, const struct repeat_limits *limits,
          int64_t now_ms)
{
  double balance = own_balance (b, limits, now_ms);

  return balance > 0 ? (uint32_t)balance : 0;
}

bool
repeat_budget_is_overdrawn (struct repeat_budget *b,
                            const struct repeat_limits *limits, int64_t now_ms)
{
  return own_balance (b, limits, now_ms) < 0;
}

static uint32_t
borrowed_left (const struct repeat_budget *b, int64_t now_ms)
{
  return now_ms < b->borrowed.expires_ms ? b->borrowed.count : 0;
}

uint32_t
repeat_budget_left (struct repeat_budget *b,
                    const struct repeat_limits *limits, int64_t now_ms)
{
  uint32_t left = own_left (b, limits, now_ms) + borrowed_left (b, now_ms);

  return left > b->held ? left - b->held : 0;
}

uint32_t
repeat_budget_lend (struct repeat_budget *b,
                    const struct repeat_limits *limits, uint32_t most,
                    int64_t now_ms)
{
  uint32_t own = own_left (b, limits, now_ms);
  uint32_t count = own > b->held ? (own - b->held) / 2 : 0;

  if (count > most)
    count = most;
  for (int i = 0; i < REPEAT_LOANS_MAX && count > 0; i++)
    if (now_ms >= b->lent[i].expires_ms)
      {
        b->lent[i] = (struct repeat_loan){
          .count = count,
          .expires_ms = now_ms + limits->window_ms + REPEAT_LOAN_MS,
        };
        return count;
      }
  return 0;
}

void
repeat_budget_borrow (struct repeat_budget *b, uint32_t count,
                      int64_t asked_ms, int64_t now_ms)
{
  int64_t until_ms = asked_ms + REPEAT_LOAN_MS;

  /* The rest of an older loan expires with the earlier of the two. */
  b->borrowed.count = borrowed_left (b, now_ms) + count;
  if (b->borrowed.count == count || until_ms < b->borrowed.expires_ms)
    b->borrowed.expires_ms = until_ms;
}

/* Borrowed repeats are used first: they expire sooner, and the lender counts
   them. */
void
repeat_budget_spend (struct repeat_budget *b,
                     const struct repeat_limits *limits, int64_t now_ms)
{
  advance (b, limits, now_ms);
  if (borrowed_left (b, now_ms) > 0)
    b->borrowed.count--;
  else
    b->repeats[b->bucket % REPEAT_BUCKETS]++;
}
