#include "handoff.h"

#include <openssl/crypto.h>
#include <stdlib.h>
#include <string.h>

#include "gateway/wire.h"

/* The field's value is "ENDPOINTS-RUN VERSION MAC ORGANISATION". */
#define VALUE_PARTS 4

/* Returns the MAC in hex digits, to be freed. */
static char *
compute_mac (const char *key, const struct h1_head *head,
             const struct beryl_handoff *handoff)
{
  const char *host = h1_head_find (head, "Host");
  char *text = g_strdup_printf (
      "%u %" G_GUINT64_FORMAT "\n%s\n%s\n%s\n%s", handoff->endpoints_run,
      handoff->configuration_version, handoff->organisation, head->method,
      host != NULL ? host : "", head->target);
  char *mac = g_compute_hmac_for_string (
      G_CHECKSUM_SHA256, (const guchar *)key, strlen (key), text, -1);

  g_free (text);
  return mac;
}

void
handoff_append (const char *key, const struct h1_head *head,
                const struct beryl_handoff *handoff, GString *out)
{
  char *mac = compute_mac (key, head, handoff);

  g_string_append_printf (out, "%s: %u %" G_GUINT64_FORMAT " %s %s\r\n",
                          GATEWAY_HANDOFF_FIELD, handoff->endpoints_run,
                          handoff->configuration_version, mac,
                          handoff->organisation);
  g_free (mac);
}

static bool
is_authentic (const char *key, const struct h1_head *head,
              const struct beryl_handoff *handoff, const char *mac)
{
  char *expected = compute_mac (key, head, handoff);
  bool authentic = strlen (mac) == strlen (expected)
                   && CRYPTO_memcmp (mac, expected, strlen (expected)) == 0;

  g_free (expected);
  return authentic;
}

bool
handoff_read (const char *key, const struct h1_head *head,
              struct beryl_handoff *handoff)
{
  const char *value = h1_head_find (head, GATEWAY_HANDOFF_FIELD);
  char **parts;
  bool read = false;

  if (value == NULL || key[0] == '\0')
    return false;
  parts = g_strsplit (value, " ", VALUE_PARTS);
  if (g_strv_length (parts) >= VALUE_PARTS - 1)
    {
      const char *organisation = parts[VALUE_PARTS - 1];

      handoff->endpoints_run = (uint32_t)strtoul (parts[0], NULL, 10);
      handoff->configuration_version = g_ascii_strtoull (parts[1], NULL, 10);
      g_strlcpy (handoff->organisation,
                 organisation != NULL ? organisation : "",
                 sizeof handoff->organisation);
      read = is_authentic (key, head, handoff, parts[2]);
    }
  g_strfreev (parts);
  return read;
}
