#include "settings.h"

#include <glib.h>
#include <string.h>

#include "common/settings.h"

#define TEXT(type_, member, need)                                             \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct control_settings, member),                     \
    .bytes = sizeof (((struct control_settings *)0)->member),                 \
    .required = need                                                          \
  }
#define NUMBER(type_, member, low, high)                                      \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct control_settings, member), .min = low,         \
    .max = high                                                               \
  }
#define SEED_NAME "seed"
#define HOUR_MS 3600000.0

static const struct beryl_field fields[] = {
  TEXT (BERYL_FIELD_NAME, node, true),
  TEXT (BERYL_FIELD_ADDRESS, address, true),
  NUMBER (BERYL_FIELD_UINT16, port, 0, 65535),
  NUMBER (BERYL_FIELD_UINT16, local_port, 0, 65535),
  NUMBER (BERYL_FIELD_UINT16, metrics_port, 0, 65535),
  TEXT (BERYL_FIELD_NAME, data_centre, true),
  TEXT (BERYL_FIELD_NAME, region, false),
  TEXT (BERYL_FIELD_ADDRESS, platform_address, false),
  NUMBER (BERYL_FIELD_UINT16, platform_port, 1, 65535),
  TEXT (BERYL_FIELD_TEXT, platform_token_file, false),
  TEXT (BERYL_FIELD_TEXT, seeds, false),
  TEXT (BERYL_FIELD_TEXT, cluster_key, false),
  TEXT (BERYL_FIELD_TEXT, cluster_key_accepted, false),
  NUMBER (BERYL_FIELD_INT64, lease_ttl_ms, 500, HOUR_MS),
  NUMBER (BERYL_FIELD_INT64, lease_margin_ms, 10, HOUR_MS),
  NUMBER (BERYL_FIELD_INT64, pause_bound_ms, 0, HOUR_MS),
  NUMBER (BERYL_FIELD_INT64, delivery_bound_ms, 0, HOUR_MS),
  NUMBER (BERYL_FIELD_INT64, probe_ms, 50, HOUR_MS),
  { .key = "planner",
    .type = BERYL_FIELD_BOOL,
    .offset = offsetof (struct control_settings, planner) },
  NUMBER (BERYL_FIELD_INT64, planner_idle_ms, 1000, 100 * HOUR_MS),
  NUMBER (BERYL_FIELD_DOUBLE, weight_store_bytes_per_s, 1, 1e15),
  TEXT (BERYL_FIELD_TEXT, log_level, false),
  { .key = "log_format",
    .type = BERYL_FIELD_TEXT,
    .offset = offsetof (struct control_settings, log_format_name),
    .bytes = sizeof (((struct control_settings *)0)->log_format_name) },
  NUMBER (BERYL_FIELD_UINT64, seed, 0, 9007199254740991.0),
};

static const struct control_settings defaults = {
  .platform_address = "127.0.0.1",
  .lease_ttl_ms = 6000,
  .lease_margin_ms = 500,
  .pause_bound_ms = 5000,
  .delivery_bound_ms = 2000,
  .probe_ms = 1000,
  .planner_idle_ms = 600000,
  .weight_store_bytes_per_s = 1e9,
  .log_level = "info",
  .log_format_name = "text",
};

bool
control_seed_parse (const char *text, struct beryl_member *member)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;

  memset (member, 0, sizeof *member);
  if (colon == NULL || (size_t)(colon - text) >= sizeof member->address
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return false;
  g_strlcpy (member->name, SEED_NAME, sizeof member->name);
  memcpy (member->address, text, (size_t)(colon - text));
  member->port = (uint16_t)port;
  return g_hostname_is_ip_address (member->address);
}

static void
check_seeds (const struct control_settings *settings, const char *path,
             struct beryl_findings *findings)
{
  char **seeds = g_strsplit (settings->seeds, ",", -1);

  for (char **seed = seeds; *seed != NULL; seed++)
    {
      struct beryl_member member;

      if (!control_seed_parse (g_strstrip (*seed), &member))
        beryl_findings_add (findings, path, 0, 0,
                            "seed \"%s\" is not address:port", *seed);
    }
  g_strfreev (seeds);
}

static void
check_values (struct control_settings *settings, const char *path,
              struct beryl_findings *findings)
{
  if (strcmp (settings->log_format_name, "json") == 0)
    settings->log_format = LOG_FORMAT_JSON;
  else if (strcmp (settings->log_format_name, "text") != 0)
    beryl_findings_add (findings, path, 0, 0,
                        "log_format must be text or json");
  if (!log_set_level (settings->log_level))
    beryl_findings_add (findings, path, 0, 0,
                        "log_level must be error, warning, info or debug");
  check_seeds (settings, path, findings);
  if (settings->platform_port == 0)
    beryl_findings_add (findings, path, 0, 0, "platform_port is missing");
  if (settings->lease_margin_ms * 4 > settings->lease_ttl_ms)
    beryl_findings_add (findings, path, 0, 0,
                        "lease_margin_ms must be at most a quarter of "
                        "lease_ttl_ms");
}

bool
control_settings_load (struct control_settings *settings, const char *path,
                       struct beryl_findings *findings)
{
  size_t before = beryl_findings_count (findings);

  *settings = defaults;
  settings_load (path, fields, G_N_ELEMENTS (fields), settings, findings);
  check_values (settings, path, findings);
  return beryl_findings_count (findings) == before;
}
