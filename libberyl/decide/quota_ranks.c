#include "quota_ranks.h"

#include <math.h>
#include <stdbool.h>

/* What more urgent requests get in this time is set aside for them. */
#define SET_ASIDE_S 1.0
/* Most of the bucket that may be set aside. */
#define SET_ASIDE_PART 0.5

/* Divides the rate among the ranks that are asked for. */
static size_t
divide (const struct quota_ranks_facts *facts,
        struct share_claim claims[QUOTA_RANKS_MAX])
{
  size_t count = 0;

  for (uint32_t rank = 0; rank < QUOTA_RANKS_MAX; rank++)
    if (facts->asked_per_s[rank] > 0)
      claims[count++] = (struct share_claim){
        .rank = rank, .weight = 1, .asked = facts->asked_per_s[rank]
      };
  shares_divide (claims, count, facts->per_s);
  return count;
}

/* Returns whether requests of LARGE, each, would take the place of more than
 * QUOTA_DISPLACED_MAX requests of SMALL. */
static bool
displaces_many (double large, double small)
{
  return small > 0 && large > QUOTA_DISPLACED_MAX * small;
}

/* Returns whether requests of CLAIM go before the request. */
static bool
goes_before (const struct quota_ranks_facts *facts,
             const struct share_claim *claim)
{
  return claim->rank < facts->rank
         && !displaces_many (facts->cost_mean[claim->rank], facts->cost);
}

/* Returns whether the request goes before those of CLAIM. */
static bool
goes_after (const struct quota_ranks_facts *facts,
            const struct share_claim *claim)
{
  return claim->rank > facts->rank
         && !displaces_many (facts->cost, facts->cost_mean[claim->rank]);
}

/* Returns what requests of CLAIM, which are less urgent, use: no more than
 * their share once what is left is set aside from them. */
static double
use_of_usual (const struct quota_ranks_facts *facts,
              const struct share_claim *claims, size_t count,
              const struct share_claim *claim)
{
  double before = 0;

  for (size_t i = 0; i < count; i++)
    if (claims[i].rank < claim->rank)
      before += claims[i].granted;
  return facts->available <= fmin (SET_ASIDE_S * before,
                                   SET_ASIDE_PART * facts->capacity)
             ? claim->granted
             : claim->asked;
}

struct quota_ranks_verdict
quota_ranks_decide (const struct quota_ranks_facts *facts)
{
  struct quota_ranks_verdict verdict = { .chance = 1 };
  struct share_claim claims[QUOTA_RANKS_MAX];
  size_t count = divide (facts, claims);
  double before = 0, asked_total = 0, own = 0, granted = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct share_claim *claim = &claims[i];

      asked_total += claim->asked;
      verdict.competing_per_s
          += goes_after (facts, claim)
                 ? use_of_usual (facts, claims, count, claim)
                 : claim->asked;
      if (goes_before (facts, claim))
        before += claim->granted;
      if (claim->rank == facts->rank)
        {
          own = claim->asked;
          granted = claim->granted;
        }
    }
  if (asked_total <= facts->per_s || before <= 0 || own <= 0)
    return verdict;
  verdict.granted_per_s = granted;
  verdict.set_aside
      = fmin (SET_ASIDE_S * before, SET_ASIDE_PART * facts->capacity);
  /* A bucket that is low refills for the more urgent ones; the floor is for
     the others whatever is left. */
  verdict.chance = fmax (
      fmin (granted, SHARES_FLOOR_PART * facts->per_s),
      granted * fmin (fmax (facts->available, 0) / verdict.set_aside, 1));
  verdict.chance /= own;
  return verdict;
}
