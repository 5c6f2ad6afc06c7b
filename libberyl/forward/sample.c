#include "sample.h"

#include <math.h>
#include <string.h>

#include "../base/random.h"

/* Minimum number of engines drawn: the better of two is far better than a
   single random one. */
#define DRAWN_LEAST 2
/* Another node chooses the same engine with a probability of one in this
   many. */
#define MEETING_PART 4

void
sample_init (struct sample *sample)
{
  *sample = (struct sample){ 0 };
}

size_t
sample_count (const struct sample *sample)
{
  return sample->seen < SAMPLE_MAX ? sample->seen : SAMPLE_MAX;
}

/* Reservoir sampling. */
void
sample_add (struct sample *sample, struct beryl_live *live, uint64_t *random)
{
  size_t at = sample->seen++;

  if (at >= SAMPLE_MAX)
    at = random_next (random) % sample->seen;
  if (at >= SAMPLE_MAX)
    return;
  sample->items[at] = (struct candidate){ .live = live };
}

void
sample_limit (struct sample *sample, double most)
{
  size_t kept = 0;

  for (size_t i = 0; i < sample_count (sample); i++)
    if (sample->items[i].cost <= most)
      sample->items[kept++] = sample->items[i];
  sample->seen = kept;
}

static void
swap (struct candidate *a, struct candidate *b)
{
  struct candidate kept = *a;

  *a = *b;
  *b = kept;
}

static bool
is_near (const struct candidate *one, const char *home)
{
  const char *data_centre = one->live->info.data_centre;

  return home[0] == '\0' || data_centre[0] == '\0'
         || strcmp (data_centre, home) == 0;
}

/* Moves those in HOME to the front; returns their number. */
static size_t
near_first (struct candidate *items, size_t count, const char *home)
{
  size_t near = 0;

  for (size_t i = 0; i < count; i++)
    if (is_near (&items[i], home))
      swap (&items[i], &items[near++]);
  return near;
}

/* Returns the cheapest of some of ITEMS, drawn at random, among which AT_ONCE
   choices are made at the same time. */
static const struct candidate *
best_of_drawn (struct candidate *items, size_t count, double at_once,
               uint64_t *random)
{
  double drawn
      = fmax ((double)count / fmax (MEETING_PART * at_once, 1), DRAWN_LEAST);
  size_t best = 0;

  if (count == 0)
    return NULL;
  for (size_t i = 0; i < count && (double)i < drawn; i++)
    {
      swap (&items[i], &items[i + random_next (random) % (count - i)]);
      if (items[i].cost < items[best].cost)
        best = i;
    }
  return &items[best];
}

struct beryl_live *
sample_best (struct sample *sample, const struct sample_terms *terms,
             double *cost)
{
  size_t count = sample_count (sample);
  size_t near = near_first (sample->items, count, terms->home);
  /* Other nodes prefer their own data centre too, so the number of concurrent
     choices here is in proportion to the engines here. */
  double per_engine = terms->at_once / (double)(count > 0 ? count : 1);
  const struct candidate *best = best_of_drawn (
      sample->items, near, per_engine * (double)near, terms->random);
  const struct candidate *far
      = best_of_drawn (sample->items + near, count - near,
                       per_engine * (double)(count - near), terms->random);

  if (best == NULL
      || (far != NULL && far->cost + terms->far_cost < best->cost))
    best = far;
  if (best == NULL)
    return NULL;
  *cost = best->cost;
  return best->live;
}
