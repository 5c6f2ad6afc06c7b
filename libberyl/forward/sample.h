/** @file
 * Chooses one of many engines by cost.
 *
 * Some engines, drawn at random, are compared.  All nodes foresee much the
 * same, and hear of each other's choices some ten milliseconds late: if each
 * took the best engine of all, those that ask at the same moment would all ask
 * the same one, be refused there, and leave others empty.  With 70 nodes that
 * happened to every second question.
 *
 * No I/O, and nothing of requests.
 */
#ifndef FORWARD_SAMPLE_H
#define FORWARD_SAMPLE_H

#include <stddef.h>
#include <stdint.h>

#include "beryl/live.h"

/** Most engines that are compared.  To foresee one costs some ten
 * microseconds; among so many the best one is nearly as good as the best of
 * all. */
#define SAMPLE_MAX 64

/** An engine and what choosing it would cost. */
struct candidate
{
  struct beryl_live *live;
  double cost;
};

/** Begin with sample_init. */
struct sample
{
  struct candidate items[SAMPLE_MAX];
  size_t seen; /**< engines that were offered */
};

/** How to choose. */
struct sample_terms
{
  double at_once;   /**< choices that are made before others hear of them */
  const char *home; /**< the data centre to stay in; "" for any */
  double far_cost;  /**< by how much the best one there may cost more */
  uint64_t *random; /**< state of random_next */
};

/** Make SAMPLE empty. */
void sample_init (struct sample *sample);

/** Return how many engines SAMPLE holds. */
size_t sample_count (const struct sample *sample);

/** Offer LIVE; each one is as likely to be held. */
void sample_add (struct sample *sample, struct beryl_live *live,
                 uint64_t *random);

/** Keep those of SAMPLE that cost at most MOST. */
void sample_limit (struct sample *sample, double most);

/** Return the cheapest of some, the fewer the more choices are made at once,
 * and its cost; NULL if there is none.  Changes the order of SAMPLE. */
struct beryl_live *sample_best (struct sample *sample,
                                const struct sample_terms *terms,
                                double *cost);

#endif
