#include "settings.h"

#include <glib.h>
#include <string.h>

#include "common/settings.h"

#define TEXT(type_, member, need)                                             \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct entry_settings, member),                       \
    .bytes = sizeof (((struct entry_settings *)0)->member), .required = need  \
  }
#define NUMBER(type_, member, low, high)                                      \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct entry_settings, member), .min = low,           \
    .max = high                                                               \
  }
#define HOUR_MS 3600000.0
#define GIBIBYTE 1073741824.0

static const struct beryl_field fields[] = {
  TEXT (BERYL_FIELD_NAME, node, true),
  TEXT (BERYL_FIELD_ADDRESS, address, true),
  NUMBER (BERYL_FIELD_UINT16, http_port, 0, 65535),
  NUMBER (BERYL_FIELD_UINT16, peer_port, 0, 65535),
  TEXT (BERYL_FIELD_NAME, data_centre, true),
  TEXT (BERYL_FIELD_NAME, region, false),
  NUMBER (BERYL_FIELD_UINT16, control_port, 0, 65535),
  TEXT (BERYL_FIELD_ADDRESS, platform_address, false),
  NUMBER (BERYL_FIELD_UINT16, platform_port, 0, 65535),
  TEXT (BERYL_FIELD_TEXT, platform_token_file, false),
  TEXT (BERYL_FIELD_TEXT, cluster_key, false),
  TEXT (BERYL_FIELD_TEXT, cluster_key_accepted, false),
  TEXT (BERYL_FIELD_TEXT, operator_token_sha256, false),
  TEXT (BERYL_FIELD_TEXT, tls_cert_file, false),
  TEXT (BERYL_FIELD_TEXT, tls_key_file, false),
  TEXT (BERYL_FIELD_TEXT, static_config, false),
  { .key = "policy",
    .type = BERYL_FIELD_TEXT,
    .offset = offsetof (struct entry_settings, policy_name),
    .bytes = sizeof (((struct entry_settings *)0)->policy_name) },
  { .key = "log_format",
    .type = BERYL_FIELD_TEXT,
    .offset = offsetof (struct entry_settings, log_format_name),
    .bytes = sizeof (((struct entry_settings *)0)->log_format_name) },
  TEXT (BERYL_FIELD_TEXT, log_level, false),
  NUMBER (BERYL_FIELD_UINT32, max_body_bytes, 1024, GIBIBYTE),
  NUMBER (BERYL_FIELD_UINT32, header_timeout_s, 1, 600),
  NUMBER (BERYL_FIELD_UINT32, max_open_requests, 1, 1e6),
  NUMBER (BERYL_FIELD_UINT32, slow_reader_bytes, 4096, GIBIBYTE),
  NUMBER (BERYL_FIELD_INT64, slow_reader_ms, 100, HOUR_MS),
  NUMBER (BERYL_FIELD_INT64, answer_retention_ms, 0, HOUR_MS),
  NUMBER (BERYL_FIELD_UINT32, answer_retention_bytes, 0, GIBIBYTE),
  NUMBER (BERYL_FIELD_INT64, load_poll_ms, 50, HOUR_MS),
  NUMBER (BERYL_FIELD_UINT64, seed, 0, 9007199254740991.0),
};

static const struct entry_settings defaults = {
  .platform_address = "127.0.0.1",
  .policy_name = "planned",
  .log_format_name = "text",
  .log_level = "info",
  .max_body_bytes = 4U << 20,
  .header_timeout_s = 10,
  .max_open_requests = 2100,
  .slow_reader_bytes = 256U << 10,
  .slow_reader_ms = 10000,
  .answer_retention_ms = 60000,
  .answer_retention_bytes = 16U << 20,
  .load_poll_ms = 250,
};

static void
check_names (struct entry_settings *settings, const char *path,
             struct beryl_findings *findings)
{
  if (!beryl_policy_parse (settings->policy_name, &settings->policy))
    beryl_findings_add (findings, path, 0, 0, "there is no policy %s",
                        settings->policy_name);
  if (strcmp (settings->log_format_name, "json") == 0)
    settings->log_format = LOG_FORMAT_JSON;
  else if (strcmp (settings->log_format_name, "text") != 0)
    beryl_findings_add (findings, path, 0, 0,
                        "log_format must be text or json");
  if (!log_set_level (settings->log_level))
    beryl_findings_add (findings, path, 0, 0,
                        "log_level must be error, warning, info or debug");
}

static void
check_files (const struct entry_settings *settings, const char *path,
             struct beryl_findings *findings)
{
  const char *const files[]
      = { settings->tls_cert_file, settings->tls_key_file,
          settings->static_config, settings->platform_token_file };

  if ((settings->tls_cert_file[0] == '\0')
      != (settings->tls_key_file[0] == '\0'))
    beryl_findings_add (findings, path, 0, 0,
                        "tls_cert_file and tls_key_file go together");
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    if (files[i][0] != '\0' && !g_file_test (files[i], G_FILE_TEST_EXISTS))
      beryl_findings_add (findings, path, 0, 0, "there is no file %s",
                          files[i]);
  if (settings->static_config[0] == '\0' && settings->control_port == 0)
    beryl_findings_add (findings, path, 0, 0,
                        "control_port or static_config must be given");
}

bool
entry_settings_load (struct entry_settings *settings, const char *path,
                     struct beryl_findings *findings)
{
  size_t before = beryl_findings_count (findings);

  *settings = defaults;
  settings_load (path, fields, G_N_ELEMENTS (fields), settings, findings);
  check_names (settings, path, findings);
  check_files (settings, path, findings);
  return beryl_findings_count (findings) == before;
}
