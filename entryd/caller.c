#include <errno.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "calls.h"
#include "problem.h"

#define BEARER "Bearer "
#define KEY_MAX_BYTES 200
#define DEADLINE_MAX_MS (24LL * 3600 * 1000)
#define INCARNATION_DIGITS 16

static bool
request_id_valid (const char *text)
{
  size_t n = strlen (text);

  return n > 0 && n <= 64
         && strspn (text,
                    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                    "0123456789._:-")
                == n;
}

static void
read_request_id (struct entry *entry, struct http_exchange *ex,
                 struct caller *caller)
{
  const char *text = http_exchange_header (ex, "x-request-id");

  if (text != NULL && request_id_valid (text))
    g_strlcpy (caller->request_id, text, sizeof caller->request_id);
  else
    g_snprintf (caller->request_id, sizeof caller->request_id,
                "r-%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
                entry->incarnation, entry_new_handle (entry));
}

static bool
read_token (struct entry *entry, struct http_exchange *ex,
            struct caller *caller)
{
  const char *text = http_exchange_header (ex, "authorization");

  if (text != NULL
      && g_ascii_strncasecmp (text, BEARER, sizeof BEARER - 1) == 0)
    caller->organisation = beryl_config_organisation_of_token (
        entry->config, text + sizeof BEARER - 1);
  if (caller->organisation != NULL)
    return true;
  problem_respond (ex, ENTRY_UNAUTHORIZED, caller->request_id, NULL);
  return false;
}

static bool
key_text_valid (const char *text)
{
  size_t n = strlen (text);

  if (n == 0 || n > KEY_MAX_BYTES)
    return false;
  for (size_t i = 0; i < n; i++)
    if (text[i] <= 0x20 || text[i] >= 0x7f)
      return false;
  return true;
}

bool
named_incarnation (const char *text, char first, uint64_t *incarnation)
{
  const char *digits = text + 2;

  if (text[0] != first || text[1] != '-'
      || strspn (digits, "0123456789abcdef") != INCARNATION_DIGITS
      || digits[INCARNATION_DIGITS] != '-')
    return false;
  *incarnation = g_ascii_strtoull (digits, NULL, 16);
  return true;
}

/* A bound key is "b-<incarnation, 16 hex digits>-<anything>"; all else is a
 * free key. */
static void
classify_key (struct caller *caller)
{
  bool bound = named_incarnation (caller->key, 'b', &caller->key_incarnation);

  caller->key_kind = bound ? BERYL_KEY_BOUND : BERYL_KEY_FREE;
}

static bool
read_key (struct http_exchange *ex, struct caller *caller)
{
  caller->key = http_exchange_header (ex, "idempotency-key");
  caller->key_kind = BERYL_KEY_NONE;
  if (caller->key == NULL)
    return true;
  if (!key_text_valid (caller->key))
    {
      problem_respond (ex, ENTRY_INVALID_REQUEST, caller->request_id,
                       "Idempotency-Key must be 1 to 200 visible characters");
      return false;
    }
  classify_key (caller);
  return true;
}

static bool
read_deadline (struct entry *entry, struct http_exchange *ex,
               struct caller *caller)
{
  const char *text = http_exchange_header (ex, "x-deadline-ms");
  char *end;
  gint64 left_ms;

  if (text == NULL)
    return true;
  errno = 0;
  left_ms = g_ascii_strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0' || left_ms > DEADLINE_MAX_MS)
    {
      problem_respond (ex, ENTRY_INVALID_REQUEST, caller->request_id,
                       "X-Deadline-Ms must be the milliseconds left, at most "
                       "a day");
      return false;
    }
  if (left_ms <= 0)
    {
      problem_respond (ex, ENTRY_DEADLINE_PASSED, caller->request_id, NULL);
      return false;
    }
  caller->deadline_ms = loop_now_ms (entry->loop) + left_ms;
  return true;
}

bool
caller_read (struct entry *entry, struct http_exchange *ex,
             struct caller *caller)
{
  memset (caller, 0, sizeof *caller);
  read_request_id (entry, ex, caller);
  return read_token (entry, ex, caller) && read_key (ex, caller)
         && read_deadline (entry, ex, caller);
}

bool
caller_is_operator (const struct entry *entry, struct http_exchange *ex)
{
  const char *text = http_exchange_header (ex, "authorization");
  const char *wanted = entry->settings->operator_token_sha256;
  unsigned char digest[SHA256_DIGEST_LENGTH];
  char hex[SHA256_DIGEST_LENGTH * 2 + 1];

  if (wanted[0] == '\0' || text == NULL
      || g_ascii_strncasecmp (text, BEARER, sizeof BEARER - 1) != 0)
    return false;
  text += sizeof BEARER - 1;
  SHA256 ((const unsigned char *)text, strlen (text), digest);
  for (size_t i = 0; i < sizeof digest; i++)
    g_snprintf (hex + 2 * i, 3, "%02x", digest[i]);
  return strlen (wanted) == sizeof hex - 1
         && CRYPTO_memcmp (wanted, hex, sizeof hex - 1) == 0;
}
