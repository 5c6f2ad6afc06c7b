/** @file
 * Challenge-response authentication of peers: the accepting side sends a
 * challenge, the connecting side answers with its HMAC under the shared key.
 */
#ifndef CONTROLD_SECRET_H
#define CONTROLD_SECRET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SECRET_CHALLENGE_BYTES 16
#define SECRET_PROOF_BYTES 32

/** Compute the HMAC-SHA256 of CHALLENGE under KEY; false on failure. */
bool secret_compute_proof (const char *key, const uint8_t *challenge,
                           uint8_t proof[SECRET_PROOF_BYTES]);

/** Verify PROOF in constant time; an empty KEY never matches. */
bool secret_verify_proof (const char *key, const uint8_t *challenge,
                          const void *proof, size_t proof_bytes);

#endif
