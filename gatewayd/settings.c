#include "settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/fields.h"
#include "common/settings.h"

#define SECOND_MS 1000.0
#define HOUR_S 3600.0
#define HOUR_MS (HOUR_S * SECOND_MS)
#define DESCRIPTORS_MIN 64

static void
read_address (const struct beryl_location *place, json_t *value,
              struct gateway_address *address)
{
  const char *text = json_string_value (value);
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  size_t length = colon != NULL ? (size_t)(colon - text) : 0;
  unsigned long port = colon != NULL ? strtoul (colon + 1, NULL, 10) : 0;

  if (text != NULL && text[0] == '\0')
    return;
  if (length == 0 || length >= sizeof address->ip || port == 0
      || port > UINT16_MAX)
    {
      beryl_location_report (place, NULL, "must be \"IP-number:port\"");
      return;
    }
  memcpy (address->ip, text, length);
  address->ip[length] = '\0';
  address->port = (uint16_t)port;
}

#define ADDRESS_READER(member)                                                \
  static void read_##member (const struct beryl_location *place,              \
                             json_t *value, void *target)                     \
  {                                                                           \
    read_address (place, value,                                               \
                  &((struct gateway_settings *)target)->member);              \
  }
ADDRESS_READER (front)
ADDRESS_READER (ready)
ADDRESS_READER (directory)
ADDRESS_READER (platform)

#define OFFSET(member) .offset = offsetof (struct gateway_settings, member)
#define TEXT(type_, member, need)                                             \
  {                                                                           \
    .key = #member, .type = type_, OFFSET (member),                           \
    .bytes = sizeof (((struct gateway_settings *)0)->member),                 \
    .required = need, .null_is_default = !(need)                              \
  }
#define NUMBER(type_, member, low, high)                                      \
  {                                                                           \
    .key = #member, .type = type_, OFFSET (member), .min = low, .max = high   \
  }
/* A number whose value the platform puts into the settings file, perhaps as a
 * fraction or in scientific notation.  ROUNDING is the safe direction: up
 * for leases, windows and the longest delay of an order, otherwise down.  Keys
 * with a unit (repeat_window_s, stop_s) set the same member as those in
 * milliseconds. */
#define BOUND(key_, type_, member, unit_, low, high, rounding_)               \
  {                                                                           \
    .key = key_, .type = type_, OFFSET (member), .unit = unit_, .min = low,   \
    .max = high, .rounding = rounding_, .null_is_default = true               \
  }
#define ADDRESS(member, need)                                                 \
  {                                                                           \
    .key = #member, .type = BERYL_FIELD_CUSTOM, .custom = read_##member,      \
    .required = need, .null_is_default = !(need)                              \
  }

static const struct beryl_field fields[] = {
  TEXT (BERYL_FIELD_NAME, node, true),
  TEXT (BERYL_FIELD_NAME, data_centre, true),
  TEXT (BERYL_FIELD_NAME, region, false),
  ADDRESS (front, true),
  ADDRESS (ready, false),
  ADDRESS (directory, false),
  ADDRESS (platform, true),
  NUMBER (BERYL_FIELD_UINT16, peer_port, 0, 65535),
  NUMBER (BERYL_FIELD_UINT16, metrics_port, 0, 65535),
  BOUND ("platform_reads_per_s", BERYL_FIELD_DOUBLE, platform_reads_per_s, 1,
         0.1, 1e9, BERYL_ROUND_DOWN),
  BOUND ("platform_writes_per_s", BERYL_FIELD_DOUBLE, platform_writes_per_s, 1,
         0.1, 1e9, BERYL_ROUND_DOWN),
  BOUND ("repeat_ratio", BERYL_FIELD_DOUBLE, repeat_ratio, 1, 0, 100,
         BERYL_ROUND_DOWN),
  BOUND ("repeat_slack", BERYL_FIELD_UINT32, repeat_slack, 1, 0, 1e9,
         BERYL_ROUND_DOWN),
  NUMBER (BERYL_FIELD_INT64, repeat_window_ms, 100, HOUR_MS),
  BOUND ("repeat_window_s", BERYL_FIELD_INT64, repeat_window_ms, SECOND_MS,
         0.1, HOUR_S, BERYL_ROUND_UP),
  BOUND ("quota_slack", BERYL_FIELD_DOUBLE, quota_slack, 1, 0, 1e12,
         BERYL_ROUND_DOWN),
  NUMBER (BERYL_FIELD_INT64, address_keep_ms, 1000, HOUR_MS),
  BOUND ("configuration_delay_ms", BERYL_FIELD_INT64, configuration_delay_ms,
         1, 0, HOUR_MS, BERYL_ROUND_DOWN),
  BOUND ("endpoint_leave_ms", BERYL_FIELD_INT64, endpoint_leave_ms, 1, 0,
         HOUR_MS, BERYL_ROUND_DOWN),
  NUMBER (BERYL_FIELD_INT64, stop_ms, 100, HOUR_MS),
  BOUND ("stop_s", BERYL_FIELD_INT64, stop_ms, SECOND_MS, 0, HOUR_S,
         BERYL_ROUND_DOWN),
  NUMBER (BERYL_FIELD_INT64, record_keep_ms, 1000, HOUR_MS),
  BOUND ("lease_ms", BERYL_FIELD_INT64, lease_ms, 1, 100, HOUR_MS,
         BERYL_ROUND_UP),
  BOUND ("thaw_ms", BERYL_FIELD_INT64, thaw_ms, 1, 0, HOUR_MS, BERYL_ROUND_UP),
  { .key = "engines_check_fence",
    .type = BERYL_FIELD_BOOL,
    OFFSET (engines_check_fence),
    .null_is_default = true },
  BOUND ("descriptors_max", BERYL_FIELD_UINT32, descriptors_max, 1,
         DESCRIPTORS_MIN, 1e7, BERYL_ROUND_DOWN),
  BOUND ("memory_mb", BERYL_FIELD_UINT32, memory_mb, 1, 16, 1e7,
         BERYL_ROUND_DOWN),
  TEXT (BERYL_FIELD_TEXT, log_level, false),
  NUMBER (BERYL_FIELD_UINT32, log_lines_per_s, 1, 1e6),
};

static const struct gateway_settings defaults = {
  .platform_reads_per_s = 1000,
  .platform_writes_per_s = 100,
  .repeat_ratio = 0.2,
  .repeat_slack = 50,
  .repeat_window_ms = 10000,
  .address_keep_ms = 2000,
  .configuration_delay_ms = 2000,
  .endpoint_leave_ms = 2000,
  .stop_ms = 8000,
  .record_keep_ms = 60000,
  .lease_ms = 3000,
  .thaw_ms = 300,
  .descriptors_max = 4096,
  .memory_mb = 100,
  .log_level = "info",
  .log_lines_per_s = 200,
};

bool
gateway_settings_load (struct gateway_settings *settings, const char *path,
                       struct beryl_findings *findings)
{
  *settings = defaults;
  return settings_load (path, fields, G_N_ELEMENTS (fields), settings,
                        findings);
}

bool
gateway_settings_need_restart (const struct gateway_settings *old,
                               const struct gateway_settings *new)
{
  return strcmp (old->node, new->node) != 0
         || strcmp (old->data_centre, new->data_centre) != 0
         || memcmp (&old->front, &new->front, sizeof old->front) != 0
         || memcmp (&old->ready, &new->ready, sizeof old->ready) != 0
         || memcmp (&old->directory, &new->directory, sizeof old->directory)
                != 0
         || memcmp (&old->platform, &new->platform, sizeof old->platform) != 0
         || old->configuration_delay_ms != new->configuration_delay_ms
         || old->peer_port != new->peer_port
         || old->metrics_port != new->metrics_port
         || old->lease_ms != new->lease_ms || old->thaw_ms != new->thaw_ms
         || old->engines_check_fence != new->engines_check_fence
         || old->descriptors_max != new->descriptors_max;
}
