#include "fingerprint.h"

#include <openssl/evp.h>
#include <string.h>

static void
add_text (EVP_MD_CTX *context, const char *text)
{
  EVP_DigestUpdate (context, text, strlen (text) + 1);
}

uint64_t
fingerprint_request (const struct h1_head *head, const char *caller,
                     const char *body, size_t body_bytes)
{
  unsigned char digest[EVP_MAX_MD_SIZE] = { 0 };
  EVP_MD_CTX *context = EVP_MD_CTX_new ();
  const char *host = h1_head_find (head, "Host");
  uint64_t fingerprint = 0;

  EVP_DigestInit_ex (context, EVP_sha256 (), NULL);
  add_text (context, caller);
  add_text (context, head->method);
  add_text (context, host != NULL ? host : "");
  add_text (context, head->target);
  EVP_DigestUpdate (context, body, body_bytes);
  EVP_DigestFinal_ex (context, digest, NULL);
  EVP_MD_CTX_free (context);
  for (size_t i = 0; i < sizeof fingerprint; i++)
    fingerprint = fingerprint << 8 | digest[i];
  return fingerprint != 0 ? fingerprint : 1;
}
