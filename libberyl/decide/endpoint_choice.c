#include "endpoint_choice.h"

#include <math.h>

#include "../base/random.h"

/* Part of their limit from which on the nearest endpoints share their load
   with others, and at which it is divided among all. */
#define SPILL_FROM 0.6
#define SPILL_ALL 0.9
/* Speed of the nearest endpoints, relative to the others, likewise. */
#define SLOW_FROM 0.8
#define SLOW_ALL 0.5
/* Time constant by which the load returns. A rise of the load is followed at
   once; if its fall were too, the load would swing between the endpoints. */
#define RETURN_MS 3000.0
/* Below this part the nearest endpoints get everything. */
#define PART_MIN 0.02
static double
ramp (double value, double from, double to)
{
  return fmin (fmax ((value - from) / (to - from), 0), 1);
}

/* What endpoints take together, and get. */
struct totals
{
  double limit_per_s;
  double load_per_s;
};

static struct totals
add_up (const struct endpoint_claim *claims, size_t count, bool near_only)
{
  struct totals totals = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_capacity_belief *belief = &claims[i].belief;

      if (near_only && claims[i].remote)
        continue;
      totals.limit_per_s += belief->limit_per_s;
      totals.load_per_s += belief->load_per_s;
    }
  return totals;
}

static bool
all_known (const struct endpoint_claim *claims, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (claims[i].belief.limit_per_s <= 0)
      return false;
  return count > 0;
}

/* Returns the part that is wanted for the near endpoints' load and speed. */
static double
wanted_part (const struct endpoint_claim *claims, size_t count,
             const struct totals *near)
{
  double slowest = 1;

  for (size_t i = 0; i < count; i++)
    if (!claims[i].remote)
      slowest = fmin (slowest, claims[i].belief.speed);
  return fmax (
      ramp (near->load_per_s / near->limit_per_s, SPILL_FROM, SPILL_ALL),
      ramp (-slowest, -SLOW_FROM, -SLOW_ALL));
}

/* Without near endpoints, as they have been tried, the part stays. */
static double
spill_update (struct spill *spill, const struct endpoint_claim *claims,
              size_t count, int64_t now_ms)
{
  struct totals near = add_up (claims, count, true);
  double kept
      = spill->part * exp (-(double)(now_ms - spill->updated_ms) / RETURN_MS);

  if (near.limit_per_s <= 0)
    return kept;
  spill->part = fmax (wanted_part (claims, count, &near), kept);
  spill->updated_ms = now_ms;
  return spill->part;
}

/* What a node sees of an endpoint comes late if it calls it rarely; the fleet
   knows sooner that it is slow. */
static double
draw_weight (const struct endpoint_claim *claim, bool near_only)
{
  double speed = fmin (claim->belief.speed, 1);

  if (near_only && claim->remote)
    return 0;
  return speed * speed / (1 + claim->surcharge);
}

/* Draws an endpoint other than EXCEPT; returns COUNT if there is none. */
static size_t
draw (const struct endpoint_claim *claims, size_t count, size_t except,
      bool near_only, uint64_t *random)
{
  size_t last = count;
  double sum = 0, drawn;

  for (size_t i = 0; i < count; i++)
    if (i != except)
      sum += draw_weight (&claims[i], near_only);
  drawn = random_unit (random) * sum;
  for (size_t i = 0; i < count; i++)
    {
      double weight = i != except ? draw_weight (&claims[i], near_only) : 0;

      if (weight <= 0)
        continue;
      last = i;
      if (drawn < weight)
        break;
      drawn -= weight;
    }
  return last;
}

bool
endpoint_choice_make (const struct endpoint_claim *claims, size_t count,
                      struct spill *spill, uint64_t *random, int64_t now_ms,
                      size_t *chosen)
{
  double part;
  bool near_only;
  size_t second;

  if (!all_known (claims, count))
    return false;
  part = spill_update (spill, claims, count, now_ms);
  if (part < PART_MIN)
    return false;
  near_only = random_unit (random) >= part;
  *chosen = draw (claims, count, count, near_only, random);
  /* All near ones have been tried. */
  if (*chosen == count)
    *chosen = draw (claims, count, count, false, random);
  second = draw (claims, count, *chosen, near_only, random);
  if (second < count && claims[second].cost < claims[*chosen].cost)
    *chosen = second;
  return true;
}
