/** @file
 * Proof that a node which connects knows the cluster's key.
 *
 * The proof names both incarnations, so that one that was overheard is of no
 * use towards another process.
 */
#ifndef ENTRYD_PEERS_SECRET_H
#define ENTRYD_PEERS_SECRET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEER_PROOF_BYTES 32

/** Compute the proof of KEY for NODE's incarnation FROM towards TO. */
bool peer_proof_make (const char *key, const char *node, uint64_t from,
                      uint64_t to, uint8_t proof[PEER_PROOF_BYTES]);

/** Check a proof in constant time; an empty KEY accepts nothing. */
bool peer_proof_check (const char *key, const char *node, uint64_t from,
                       uint64_t to, const void *proof, size_t proof_bytes);

#endif
