#include "beryl/platform.h"

/* Fraction of the fleet's rate that is divided among the nodes; the rest is
 * for endpoints, operators and nodes that are not counted yet. */
#define FLEET_FRACTION 0.5
/* Calls per second that a node needs regardless of the number of nodes, for
 * two watches and a lease, which call again after every change. */
#define MIN_PER_S 4.0

double
beryl_platform_node_rate (double fleet_per_s, uint32_t nodes)
{
  double rate = FLEET_FRACTION * fleet_per_s / (nodes > 0 ? nodes : 1);

  return rate > MIN_PER_S ? rate : MIN_PER_S;
}
