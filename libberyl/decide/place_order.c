#include "place_order.h"

#include <math.h>

#include "shares.h"

/* Classes that are kept for the sums of the others, one a rank. */
#define SUMS_MAX 10
/* A generation is as urgent as any when it has waited for this part of its
 * time. */
#define AGED_PART 0.5

static const struct place_class *
find_class (const struct place_classes *classes, uint32_t organisation,
            uint32_t rank)
{
  for (size_t i = 0; i < classes->count; i++)
    if (classes->items[i].organisation == organisation
        && classes->items[i].rank == rank)
      return &classes->items[i];
  return NULL;
}

static struct place_class *
get_class (struct place_classes *classes, uint32_t organisation, uint32_t rank)
{
  const struct place_class *found = find_class (classes, organisation, rank);

  if (found == NULL && organisation != 0
      && classes->count >= PLACE_CLASSES_MAX - SUMS_MAX)
    {
      classes->summed = true;
      organisation = 0;
      found = find_class (classes, organisation, rank);
    }
  if (found != NULL)
    return &classes->items[found - classes->items];
  if (classes->count == PLACE_CLASSES_MAX)
    return &classes->items[PLACE_CLASSES_MAX - 1];
  classes->items[classes->count]
      = (struct place_class){ .organisation = organisation, .rank = rank };
  return &classes->items[classes->count++];
}

void
place_classes_add (struct place_classes *classes, uint32_t organisation,
                   uint32_t rank, double tokens, bool waits)
{
  struct place_class *found = get_class (classes, organisation, rank);

  if (waits)
    found->waiting += tokens;
  else
    found->running += tokens;
}

double
place_classes_waiting (const struct place_classes *classes)
{
  double waiting = 0;

  for (size_t i = 0; i < classes->count; i++)
    waiting += classes->items[i].waiting;
  return waiting;
}

/* What an organisation has and may have. */
struct holding
{
  uint32_t organisation;
  double weight;
  double waiting;
  double running;
  double within; /* part of what waits that is within its fair share */
};

static struct holding *
find_holding (struct holding *holdings, size_t *count, uint32_t organisation)
{
  for (size_t i = 0; i < *count; i++)
    if (holdings[i].organisation == organisation)
      return &holdings[i];
  holdings[*count]
      = (struct holding){ .organisation = organisation, .weight = 1 };
  return &holdings[(*count)++];
}

/* The sum of the others has the weight that goes with its size if MEAN is the
 * mean size at a weight of 1; 0: there is no such sum. */
static double
weight_of (const struct holding *holding, double mean)
{
  double size = holding->waiting + holding->running;

  return holding->organisation == 0 && mean > 0 ? fmax (size / mean, 1)
                                                : holding->weight;
}

static void
divide_fairly (struct holding *holdings, size_t count, bool summed,
               double room)
{
  struct share_claim claims[PLACE_CLASSES_MAX];
  double memory = room, named = 0, mean;
  double weights = 0;

  for (size_t i = 0; i < count; i++)
    {
      memory += holdings[i].running;
      if (holdings[i].organisation == 0)
        continue;
      named += holdings[i].waiting + holdings[i].running;
      weights += holdings[i].weight;
    }
  mean = summed && weights > 0 ? named / weights : 0;
  for (size_t i = 0; i < count; i++)
    claims[i] = (struct share_claim){
      .organisation = holdings[i].organisation,
      .weight = weight_of (&holdings[i], mean),
      .asked = holdings[i].waiting + holdings[i].running,
    };
  shares_divide (claims, count, memory);
  for (size_t i = 0; i < count; i++)
    {
      struct holding *holding
          = find_holding (holdings, &count, claims[i].organisation);

      holding->within = fmin (fmax (claims[i].granted - holding->running, 0),
                              holding->waiting);
    }
}

/* Divides ROOM among CLAIMS; returns what ORGANISATION gets at RANK. *LEFT is
 * set to what nobody gets. */
static double
divide (struct share_claim *claims, size_t count, uint32_t organisation,
        uint32_t rank, double room, double *left)
{
  double own = 0;

  shares_divide (claims, count, room);
  *left = room;
  for (size_t i = 0; i < count; i++)
    {
      *left -= claims[i].granted;
      if (claims[i].organisation == organisation && claims[i].rank == rank)
        own = claims[i].granted;
    }
  return own;
}

/* Writes what each class of HOLDING asks for within the fair share of its
 * organisation to CLAIMS; returns their number. */
static size_t
claim_share (const struct place_classes *classes,
             const struct holding *holding, struct share_claim *claims)
{
  size_t count = 0;

  for (size_t i = 0; i < classes->count; i++)
    if (classes->items[i].organisation == holding->organisation)
      claims[count++]
          = (struct share_claim){ .organisation = holding->organisation,
                                  .rank = classes->items[i].rank,
                                  .weight = 1,
                                  .asked = classes->items[i].waiting };
  shares_divide (claims, count, holding->within);
  for (size_t i = 0; i < count; i++)
    claims[i].asked = claims[i].granted;
  return count;
}

static size_t
sum_holdings (const struct place_classes *classes, struct holding *holdings)
{
  size_t count = 0;

  for (size_t i = 0; i < classes->count; i++)
    {
      const struct place_class *class = &classes->items[i];
      struct holding *holding
          = find_holding (holdings, &count, class->organisation);

      if (class->weight > 0)
        holding->weight = class->weight;
      holding->waiting += class->waiting;
      holding->running += class->running;
    }
  return count;
}

double
place_order_part (const struct place_classes *classes, uint32_t organisation,
                  uint32_t rank, double room)
{
  struct holding holdings[PLACE_CLASSES_MAX];
  struct share_claim claims[PLACE_CLASSES_MAX];
  const struct place_class *own = find_class (classes, organisation, rank);
  size_t holding_count, count = 0;
  double granted, left;

  if (own == NULL)
    own = find_class (classes, 0, rank);
  if (own == NULL || own->waiting <= 0)
    return 1;
  holding_count = sum_holdings (classes, holdings);
  divide_fairly (holdings, holding_count, classes->summed, room);
  for (size_t i = 0; i < holding_count; i++)
    count += claim_share (classes, &holdings[i], &claims[count]);
  granted = divide (claims, count, own->organisation, rank, room, &left);
  /* What is left goes to whoever asks. */
  for (size_t i = 0; i < count; i++)
    claims[i].asked = fmax (
        find_class (classes, claims[i].organisation, claims[i].rank)->waiting
            - claims[i].granted,
        0);
  granted += divide (claims, count, own->organisation, rank, fmax (left, 0),
                     &left);
  return fmin (granted / own->waiting, 1);
}

uint32_t
place_order_aged_rank (uint32_t rank, int64_t waited_ms, int64_t patience_ms)
{
  return (double)waited_ms >= AGED_PART * (double)patience_ms ? 0 : rank;
}
