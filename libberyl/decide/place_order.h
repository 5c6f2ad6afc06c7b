/** @file
 * Load: more generations wait for the memory of engines than fit.  Says which
 * of them may ask for it, and which had better be refused.
 */
#ifndef DECIDE_PLACE_ORDER_H
#define DECIDE_PLACE_ORDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Organisations whose generations are told apart at each rank; those of the
 * others are summed as one of id 0. */
#define PLACE_CLASSES_MAX 64

/** Generations of one organisation and rank at all nodes, in tokens. */
struct place_class
{
  uint32_t organisation; /**< 0: others, or none */
  uint32_t rank;         /**< 0 is the most urgent */
  double weight;         /**< of the organisation; 0: 1 */
  double waiting;
  double running;
};

/** All generations of a service; zero-initialise. */
struct place_classes
{
  struct place_class items[PLACE_CLASSES_MAX];
  size_t count;
  bool summed; /**< some organisations are summed as others */
};

/** Add a generation of TOKENS, which waits or runs. */
void place_classes_add (struct place_classes *classes, uint32_t organisation,
                        uint32_t rank, double tokens, bool waits);

/** Return what waits. */
double place_classes_waiting (const struct place_classes *classes);

/** Return the part of what waits of ORGANISATION at RANK that gets memory if
 * ROOM tokens are free, from 0 to 1.  Organisations that use less than their
 * fair share of the memory come first, and among these the more urgent
 * ranks. */
double place_order_part (const struct place_classes *classes,
                         uint32_t organisation, uint32_t rank, double room);

/** Return the rank of a generation of RANK that has waited for WAITED_MS of
 * the PATIENCE_MS that it may wait: the most urgent from half of that on. */
uint32_t place_order_aged_rank (uint32_t rank, int64_t waited_ms,
                                int64_t patience_ms);

#endif
