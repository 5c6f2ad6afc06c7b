/** @file
 * Slot shares: each slot of an endpoint is assigned to one node, so that nodes
 * that decide concurrently do not choose the same slot.
 */
#ifndef ROUTER_SHARES_H
#define ROUTER_SHARES_H

#include <stddef.h>
#include <stdint.h>

/** Return how many of SLOTS slots of the endpoint with ENDPOINT_HASH belong
 * to the node with hash OWN among NODES, which includes OWN.  Every node
 * gets SLOTS / NODE_COUNT; the rest goes to the nodes that rank highest by
 * rendezvous hashing.  The shares of all nodes add up to SLOTS. */
uint32_t shares_of_node (uint64_t endpoint_hash, uint32_t slots, uint64_t own,
                         const uint64_t *nodes, size_t node_count);

/** Return the hash that identifies a node or endpoint in the assignment. */
uint64_t shares_hash (const char *name);

#endif
