#include "sample.h"

#include <math.h>
#include <string.h>

#include "../base/random.h"

/* Minimum number of engines drawn: the better of two is far better than a
   single random one. */
#define DRAWN_MIN 2
/* Limits the number of engines drawn: the probability that any concurrent
   choice falls on the same engine is about one in this many. */
#define COLLISION_DIVISOR 4

void
sample_init (struct sample *sample)
{
  *sample = (struct sample){ 0 };
}

size_t
sample_count (const struct sample *sample)
{
  return sample->offered < SAMPLE_MAX ? sample->offered : SAMPLE_MAX;
}

/* Reservoir sampling. */
void
sample_add (struct sample *sample, struct beryl_live_endpoint *endpoint,
            uint64_t *random)
{
  size_t at = sample->offered++;

  if (at >= SAMPLE_MAX)
    at = random_next (random) % sample->offered;
  if (at >= SAMPLE_MAX)
    return;
  sample->items[at] = (struct candidate){ .endpoint = endpoint };
}

void
sample_drop_above (struct sample *sample, double most)
{
  size_t kept = 0;

  for (size_t i = 0; i < sample_count (sample); i++)
    if (sample->items[i].cost <= most)
      sample->items[kept++] = sample->items[i];
  sample->offered = kept;
}

static void
swap (struct candidate *a, struct candidate *b)
{
  struct candidate kept = *a;

  *a = *b;
  *b = kept;
}

static bool
is_local (const struct candidate *one, const char *preferred)
{
  const char *data_centre = one->endpoint->info.data_centre;

  return preferred[0] == '\0' || data_centre[0] == '\0'
         || strcmp (data_centre, preferred) == 0;
}

/* Moves those in PREFERRED to the front; returns their number. */
static size_t
local_first (struct candidate *items, size_t count, const char *preferred)
{
  size_t local = 0;

  for (size_t i = 0; i < count; i++)
    if (is_local (&items[i], preferred))
      swap (&items[i], &items[local++]);
  return local;
}

/* Returns the cheapest of some of ITEMS, drawn at random, among which
   CONCURRENT_CHOICES choices are made at the same time. */
static const struct candidate *
best_of_drawn (struct candidate *items, size_t count,
               double concurrent_choices, uint64_t *random)
{
  double drawn
      = fmax ((double)count / fmax (COLLISION_DIVISOR * concurrent_choices, 1),
              DRAWN_MIN);
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

struct beryl_live_endpoint *
sample_choose (struct sample *sample, const struct sample_options *options,
               double *cost)
{
  size_t count = sample_count (sample);
  size_t local = local_first (sample->items, count, options->data_centre);
  /* Other nodes prefer their own data centre too, so the concurrent choices
     are divided among the local and the remote engines in proportion to their
     numbers. */
  double per_engine
      = options->concurrent_choices / (double)(count > 0 ? count : 1);
  const struct candidate *best = best_of_drawn (
      sample->items, local, per_engine * (double)local, options->random);
  const struct candidate *remote
      = best_of_drawn (sample->items + local, count - local,
                       per_engine * (double)(count - local), options->random);

  if (best == NULL
      || (remote != NULL && remote->cost + options->remote_cost < best->cost))
    best = remote;
  if (best == NULL)
    return NULL;
  *cost = best->cost;
  return best->endpoint;
}
