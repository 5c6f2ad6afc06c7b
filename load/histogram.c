#include "histogram.h"

#include <math.h>
#include <stdlib.h>

#define SUB_BITS 7
#define SUB_COUNT (1 << SUB_BITS)
#define BUCKETS (SUB_COUNT * (64 - SUB_BITS + 1))

struct histogram
{
  uint64_t count;
  int64_t max_us;
  uint64_t buckets[BUCKETS];
};

struct histogram *
histogram_create (void)
{
  return calloc (1, sizeof (struct histogram));
}

void
histogram_destroy (struct histogram *h)
{
  free (h);
}

/* Values below SUB_COUNT have a bucket each; above, the SUB_BITS bits below
 * the highest one choose it. */
static uint32_t
bucket_of (uint64_t value)
{
  if (value < SUB_COUNT)
    return (uint32_t)value;
  uint32_t shift = 63 - (uint32_t)__builtin_clzll (value) - SUB_BITS;
  return (shift + 1) * SUB_COUNT
         + (uint32_t)((value >> shift) & (SUB_COUNT - 1));
}

static int64_t
highest_in (uint32_t bucket)
{
  if (bucket < SUB_COUNT)
    return bucket;
  uint32_t shift = bucket / SUB_COUNT - 1;
  uint64_t low = (uint64_t)(SUB_COUNT + bucket % SUB_COUNT) << shift;
  return (int64_t)(low + (UINT64_C (1) << shift) - 1);
}

void
histogram_record (struct histogram *h, int64_t value_us)
{
  if (value_us < 0)
    value_us = 0;
  h->buckets[bucket_of ((uint64_t)value_us)]++;
  h->count++;
  if (value_us > h->max_us)
    h->max_us = value_us;
}

void
histogram_merge (struct histogram *h, const struct histogram *from)
{
  for (uint32_t i = 0; i < BUCKETS; i++)
    h->buckets[i] += from->buckets[i];
  h->count += from->count;
  if (from->max_us > h->max_us)
    h->max_us = from->max_us;
}

uint64_t
histogram_count (const struct histogram *h)
{
  return h->count;
}

int64_t
histogram_percentile_us (const struct histogram *h, double percent)
{
  uint64_t wanted = (uint64_t)ceil ((double)h->count * percent / 100);
  uint64_t seen = 0;
  if (h->count == 0)
    return 0;
  if (wanted == 0)
    wanted = 1;
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      seen += h->buckets[i];
      if (seen >= wanted)
        return highest_in (i) < h->max_us ? highest_in (i) : h->max_us;
    }
  return h->max_us;
}

int64_t
histogram_max_us (const struct histogram *h)
{
  return h->max_us;
}
