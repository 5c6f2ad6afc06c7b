#include "shares.h"

#include <math.h>
#include <stdlib.h>

static int
compare_numbers (double left, double right)
{
  return (left > right) - (left < right);
}

/* By rank, and within a rank by the room per weight that a claim needs. */
static int
compare_claims (const void *a, const void *b)
{
  const struct share_claim *left = a, *right = b;

  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  return compare_numbers (left->asked / left->weight,
                          right->asked / right->weight);
}

/* Returns the number of claims of the rank that begins at CLAIMS. */
static size_t
rank_size (const struct share_claim *claims, size_t count)
{
  size_t size = 0;

  while (size < count && claims[size].rank == claims[0].rank)
    size++;
  return size;
}

static double
total_asked (const struct share_claim *claims, size_t count)
{
  double sum = 0;

  for (size_t i = 0; i < count; i++)
    sum += claims[i].asked;
  return sum;
}

/* Divides ROOM among the claims of one rank. */
static void
divide_rank (struct share_claim *claims, size_t count, double room)
{
  double weights = 0;

  for (size_t i = 0; i < count; i++)
    weights += claims[i].weight;
  for (size_t i = 0; i < count; i++)
    {
      double share = fmax (room, 0) * claims[i].weight / weights;

      claims[i].granted = fmin (claims[i].asked, share);
      room -= claims[i].granted;
      weights -= claims[i].weight;
    }
}

static size_t
count_ranks (const struct share_claim *claims, size_t count)
{
  size_t ranks = 0;

  for (size_t i = 0; i < count; i += rank_size (claims + i, count - i))
    ranks++;
  return ranks;
}

/* Returns what the less urgent ranks keep of a room. */
static double
floors (const struct share_claim *claims, size_t count, double floor)
{
  double sum = 0;

  for (size_t i = 0, size; i < count; i += size)
    {
      size = rank_size (claims + i, count - i);
      sum += fmin (floor, total_asked (claims + i, size));
    }
  return sum;
}

void
shares_divide (struct share_claim *claims, size_t count, double room)
{
  double part = SHARES_FLOOR_PART;
  double left = room;
  size_t less_urgent;

  qsort (claims, count, sizeof *claims, compare_claims);
  less_urgent = count > 0 ? count_ranks (claims, count) - 1 : 0;
  if ((double)less_urgent * part > SHARES_FLOORS_MAX)
    part = SHARES_FLOORS_MAX / (double)less_urgent;
  for (size_t i = 0, size; i < count; i += size)
    {
      double kept, granted;

      size = rank_size (claims + i, count - i);
      kept = floors (claims + i + size, count - i - size, part * room);
      granted = fmin (total_asked (claims + i, size), left - kept);
      divide_rank (claims + i, size, granted);
      left -= granted;
    }
}
