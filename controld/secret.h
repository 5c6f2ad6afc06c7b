/** @file
 * Proof of the shared key on a connection: the accepting side sends a
 * challenge, the connecting side answers with its MAC.
 */
#ifndef CONTROLD_SECRET_H
#define CONTROLD_SECRET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SECRET_CHALLENGE_BYTES 16
#define SECRET_PROOF_BYTES 32

/** Compute the proof of KEY for CHALLENGE. */
bool secret_compute_proof (const char *key, const uint8_t *challenge,
                           uint8_t proof[SECRET_PROOF_BYTES]);

/** Compare in constant time. */
bool secret_verify_proof (const char *key, const uint8_t *challenge,
                          const void *proof, size_t proof_bytes);

#endif
