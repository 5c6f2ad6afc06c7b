#include "repeat_budget.h"

#include <string.h>

/* Part of the allowance that is used: an endpoint may see a send later than
 * it was made, so that two windows' sends can meet in one. */
#define USED_PART 0.8

static void
advance (struct repeat_budget *b, const struct repeat_terms *terms,
         int64_t now_ms)
{
  int64_t piece_ms = terms->window_ms / (REPEAT_BUCKETS - 1);
  int64_t bucket = now_ms / (piece_ms > 0 ? piece_ms : 1);

  if (bucket - b->bucket >= REPEAT_BUCKETS)
    {
      memset (b->requests, 0, sizeof b->requests);
      memset (b->repeats, 0, sizeof b->repeats);
      b->bucket = bucket;
    }
  while (b->bucket < bucket)
    {
      b->bucket++;
      b->requests[b->bucket % REPEAT_BUCKETS] = 0;
      b->repeats[b->bucket % REPEAT_BUCKETS] = 0;
    }
}

static uint32_t
sum (const uint32_t counts[REPEAT_BUCKETS])
{
  uint32_t total = 0;

  for (int i = 0; i < REPEAT_BUCKETS; i++)
    total += counts[i];
  return total;
}

void
repeat_budget_request (struct repeat_budget *b,
                       const struct repeat_terms *terms, int64_t now_ms)
{
  advance (b, terms, now_ms);
  b->requests[b->bucket % REPEAT_BUCKETS]++;
}

uint32_t
repeat_budget_left (struct repeat_budget *b, const struct repeat_terms *terms,
                    int64_t now_ms)
{
  uint32_t nodes = terms->nodes > 0 ? terms->nodes : 1;
  uint32_t spent;
  double allowed;

  advance (b, terms, now_ms);
  spent = sum (b->repeats);
  allowed = USED_PART
            * (terms->ratio * sum (b->requests)
               + (double)terms->slack / (double)nodes);
  return allowed > spent ? (uint32_t)(allowed - spent) : 0;
}

void
repeat_budget_spend (struct repeat_budget *b, const struct repeat_terms *terms,
                     int64_t now_ms)
{
  advance (b, terms, now_ms);
  b->repeats[b->bucket % REPEAT_BUCKETS]++;
}
