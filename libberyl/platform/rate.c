#include "beryl/platform.h"

#include <math.h>

/* Fraction of the fleet's rate that is divided among the nodes; the rest is
 * for endpoints, operators and nodes that are not counted yet. */
#define FLEET_FRACTION 0.5
/* Calls per second that a node needs regardless of the number of nodes, for
 * two watches and a lease, which call again after every change. */
#define MIN_PER_S 4.0
/* Multiples of the golden ratio are spread evenly over [0, 1) for any number
 * of ranks, and so are those of consecutive ranks, which fail together if they
 * are nodes of one data centre. */
#define GOLDEN_RATIO 0.6180339887498949

double
beryl_platform_node_rate (double fleet_per_s, uint32_t nodes)
{
  double rate = FLEET_FRACTION * fleet_per_s / (nodes > 0 ? nodes : 1);

  return rate > MIN_PER_S ? rate : MIN_PER_S;
}

int64_t
beryl_platform_first_wait_ms (int64_t wait_ms, uint32_t rank)
{
  double part = 1.0 - fmod (rank * GOLDEN_RATIO, 1.0);

  return (int64_t)(part * (double)wait_ms);
}
