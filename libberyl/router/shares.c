#include <string.h>
#include <xxhash.h>

#include "shares.h"

uint64_t
shares_hash (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static uint64_t
rank_weight (uint64_t endpoint_hash, uint64_t node)
{
  uint64_t x = endpoint_hash ^ (node * UINT64_C (0x9e3779b97f4a7c15));
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

uint32_t
shares_of_node (uint64_t endpoint_hash, uint32_t slots, uint64_t own,
                const uint64_t *nodes, size_t node_count)
{
  if (node_count <= 1)
    return slots;
  uint32_t share = (uint32_t)(slots / node_count);
  uint32_t rest = (uint32_t)(slots % node_count);
  uint64_t weight = rank_weight (endpoint_hash, own);
  uint32_t rank = 0;
  for (size_t i = 0; i < node_count && rank < rest; i++)
    if (rank_weight (endpoint_hash, nodes[i]) > weight)
      rank++;
  return share + (rank < rest ? 1 : 0);
}
