#include "peers_secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 160

bool
peer_proof_make (const char *key, const char *node, uint64_t from, uint64_t to,
                 uint8_t proof[PEER_PROOF_BYTES])
{
  char text[TEXT_BYTES];
  unsigned int proof_bytes = PEER_PROOF_BYTES;
  int text_bytes
      = snprintf (text, sizeof text, "beryl peer %s %016llx %016llx", node,
                  (unsigned long long)from, (unsigned long long)to);

  return text_bytes > 0 && text_bytes < TEXT_BYTES
         && HMAC (EVP_sha256 (), key, (int)strlen (key),
                  (const unsigned char *)text, (size_t)text_bytes, proof,
                  &proof_bytes)
                != NULL;
}

bool
peer_proof_check (const char *key, const char *node, uint64_t from,
                  uint64_t to, const void *proof, size_t proof_bytes)
{
  uint8_t wanted[PEER_PROOF_BYTES];

  return key[0] != '\0' && proof_bytes == PEER_PROOF_BYTES
         && peer_proof_make (key, node, from, to, wanted)
         && CRYPTO_memcmp (wanted, proof, PEER_PROOF_BYTES) == 0;
}
