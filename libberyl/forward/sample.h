/** @file
 * Chooses one of many engines by cost.
 *
 * Only some engines, drawn at random, are compared. All nodes make nearly the
 * same forecast and learn of each other's choices only after some tens of
 * milliseconds: if each took the best of all engines, nodes that choose at the
 * same moment would all ask the same engine, be refused there, and leave
 * others empty. At 70 nodes this makes about half of the reservations fail.
 */
#ifndef FORWARD_SAMPLE_H
#define FORWARD_SAMPLE_H

#include <stddef.h>
#include <stdint.h>

#include "beryl/live.h"

/** Most engines that are compared. It bounds the time of a choice, since each
 * forecast takes some ten microseconds; the best of this many is nearly as
 * good as the best of all. */
#define SAMPLE_MAX 64

/** An engine and the cost of choosing it. */
struct candidate
{
  struct beryl_live_endpoint *endpoint;
  double cost;
};

/** A random sample of engines; initialise with sample_init. */
struct sample
{
  struct candidate items[SAMPLE_MAX];
  size_t offered; /**< number of engines offered; after sample_drop_above, of
                     those kept */
};

/** Options of sample_choose. */
struct sample_options
{
  double concurrent_choices; /**< choices that the nodes make before they learn
                                of each other's */
  const char *data_centre;   /**< preferred data centre; "" for any */
  double remote_cost; /**< extra cost of an engine in another data centre */
  uint64_t *random;   /**< state of random_next */
};

/** Initialise SAMPLE as empty. */
void sample_init (struct sample *sample);

/** Return the number of engines in SAMPLE. */
size_t sample_count (const struct sample *sample);

/** Offer ENDPOINT; each engine offered is equally likely to be in the sample.
 */
void sample_add (struct sample *sample, struct beryl_live_endpoint *endpoint,
                 uint64_t *random);

/** Remove the engines that cost more than MOST. */
void sample_drop_above (struct sample *sample, double most);

/** Return the cheapest of a random part of SAMPLE, which is smaller the more
 * choices are made at once, and set *COST; NULL if SAMPLE is empty. Reorders
 * SAMPLE. */
struct beryl_live_endpoint *
sample_choose (struct sample *sample, const struct sample_options *options,
               double *cost);

#endif
