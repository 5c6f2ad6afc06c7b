#include "secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

bool
secret_compute_proof (const char *key, const uint8_t *challenge,
                      uint8_t proof[SECRET_PROOF_BYTES])
{
  unsigned int bytes = SECRET_PROOF_BYTES;

  return HMAC (EVP_sha256 (), key, (int)strlen (key), challenge,
               SECRET_CHALLENGE_BYTES, proof, &bytes)
             != NULL
         && bytes == SECRET_PROOF_BYTES;
}

bool
secret_verify_proof (const char *key, const uint8_t *challenge,
                     const void *proof, size_t proof_bytes)
{
  uint8_t expected[SECRET_PROOF_BYTES];

  if (key[0] == '\0' || proof_bytes != SECRET_PROOF_BYTES
      || !secret_compute_proof (key, challenge, expected))
    return false;
  return CRYPTO_memcmp (expected, proof, SECRET_PROOF_BYTES) == 0;
}
