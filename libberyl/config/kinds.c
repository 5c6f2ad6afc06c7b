#include "kinds.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/claims.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define DAY_MS (24.0 * 3600 * 1000)
#define MAX_UINT32 4294967295.0
#define MAX_SAFE_INTEGER 9007199254740991.0
#define MAX_ARRAY 4096
#define DIGEST_HEX_BYTES 64

#define TEXT(type_, struct_, member, is_required)                             \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct struct_, member),                              \
    .bytes = sizeof (((struct struct_ *)0)->member), .required = is_required  \
  }
#define NUMBER(type_, struct_, member, low, high)                             \
  {                                                                           \
    .key = #member, .type = type_,                                            \
    .offset = offsetof (struct struct_, member), .min = low, .max = high      \
  }
#define FLAG(struct_, member)                                                 \
  {                                                                           \
    .key = #member, .type = BERYL_FIELD_BOOL,                                 \
    .offset = offsetof (struct struct_, member)                               \
  }

static const struct beryl_field rule_fields[] = {
  TEXT (BERYL_FIELD_TEXT, beryl_call_rule, method, false),
  TEXT (BERYL_FIELD_TEXT, beryl_call_rule, path, true),
  FLAG (beryl_call_rule, non_idempotent),
  { .key = "class",
    .type = BERYL_FIELD_CLASS,
    .offset = offsetof (struct beryl_call_rule, call_class) },
  NUMBER (BERYL_FIELD_INT64, beryl_call_rule, deadline_ms, 1, DAY_MS),
};

static bool
array_is_valid (const struct beryl_location *location, json_t *value)
{
  if (json_is_array (value) && json_array_size (value) <= MAX_ARRAY)
    return true;
  beryl_location_report (location, NULL,
                         "must be an array of at most %d items", MAX_ARRAY);
  return false;
}

static void
read_rules (const struct beryl_location *location, json_t *value,
            struct beryl_call_rule **rules, size_t *rule_count)
{
  size_t i;
  json_t *item;

  if (!array_is_valid (location, value))
    return;
  *rules = calloc (json_array_size (value) + 1, sizeof **rules);
  if (*rules == NULL)
    return;
  *rule_count = json_array_size (value);
  json_array_foreach (value, i, item)
  {
    struct beryl_location child;
    char index[24];

    snprintf (index, sizeof index, "%zu", i);
    beryl_location_enter (&child, location, index);
    (*rules)[i].call_class = BERYL_CLASS_NORMAL;
    beryl_fields_read (&child, item, rule_fields, COUNT (rule_fields),
                       &(*rules)[i]);
  }
}

static void
read_service_rules (const struct beryl_location *location, json_t *value,
                    void *target)
{
  struct beryl_service *service = target;

  read_rules (location, value, &service->rules, &service->rule_count);
}

static void
read_urgency_rules (const struct beryl_location *location, json_t *value,
                    void *target)
{
  struct urgency *urgency = target;

  read_rules (location, value, &urgency->rules, &urgency->rule_count);
}

static bool
digest_valid (const char *text)
{
  return text != NULL && strlen (text) == DIGEST_HEX_BYTES
         && strspn (text, "0123456789abcdef") == DIGEST_HEX_BYTES;
}

static void
read_tokens (const struct beryl_location *location, json_t *value,
             void *target)
{
  struct beryl_organisation *organisation = target;
  size_t i;
  json_t *item;

  if (!array_is_valid (location, value))
    return;
  organisation->token_sha256 = calloc (json_array_size (value) + 1,
                                       sizeof *organisation->token_sha256);
  if (organisation->token_sha256 == NULL)
    return;
  json_array_foreach (value, i, item)
  {
    const char *text = json_string_value (item);
    char index[24];

    snprintf (index, sizeof index, "%zu", i);
    if (!digest_valid (text))
      beryl_location_report (location, index,
                             "token_sha256 must be 64 lower-case hex digits");
    else
      memcpy (organisation->token_sha256[organisation->token_count++], text,
              DIGEST_HEX_BYTES + 1);
  }
}

static const struct beryl_field service_fields[] = {
  TEXT (BERYL_FIELD_NAME, beryl_service, model, false),
  { .key = "class",
    .type = BERYL_FIELD_CLASS,
    .offset = offsetof (struct beryl_service, call_class) },
  NUMBER (BERYL_FIELD_INT64, beryl_service, deadline_ms, 1, DAY_MS),
  NUMBER (BERYL_FIELD_INT64, beryl_service, first_token_target_ms, 0, DAY_MS),
  NUMBER (BERYL_FIELD_INT64, beryl_service, between_tokens_target_ms, 0,
          DAY_MS),
  NUMBER (BERYL_FIELD_DOUBLE, beryl_service, waste_weight, 0, 1000),
  NUMBER (BERYL_FIELD_UINT32, beryl_service, retry_budget_percent, 0, 100),
  NUMBER (BERYL_FIELD_UINT32, beryl_service, max_concurrent, 0, 1e6),
  FLAG (beryl_service, non_idempotent),
  { .key = "rules", .type = BERYL_FIELD_CUSTOM, .custom = read_service_rules },
};

static void
service_defaults (void *target)
{
  struct beryl_service *service = target;

  service->call_class = BERYL_CLASS_NORMAL;
  service->deadline_ms = 30000;
  service->waste_weight = 1;
  service->retry_budget_percent = 10;
}

static const struct beryl_field pool_fields[] = {
  TEXT (BERYL_FIELD_NAME, beryl_pool, service, true),
  TEXT (BERYL_FIELD_NAME, beryl_pool, data_centre, false),
  { .key = "role",
    .type = BERYL_FIELD_ROLE,
    .offset = offsetof (struct beryl_pool, role),
    .required = true },
  NUMBER (BERYL_FIELD_UINT32, beryl_pool, min_endpoints, 0, 100000),
  NUMBER (BERYL_FIELD_UINT32, beryl_pool, max_endpoints, 0, 100000),
};

static void
pool_defaults (void *target)
{
  struct beryl_pool *pool = target;

  pool->role = BERYL_ROLE_SERVICE;
  pool->max_endpoints = 100000;
}

static void
pool_check (const struct beryl_location *location, const void *target)
{
  const struct beryl_pool *pool = target;

  if (pool->min_endpoints > pool->max_endpoints)
    beryl_location_report (location, "min_endpoints",
                           "min_endpoints is above max_endpoints");
}

static const struct beryl_field model_fields[] = {
  TEXT (BERYL_FIELD_TEXT, beryl_model, version, true),
  NUMBER (BERYL_FIELD_UINT32, beryl_model, context_tokens, 1, 1e8),
  NUMBER (BERYL_FIELD_UINT32, beryl_model, kv_bytes_per_token, 1, MAX_UINT32),
  NUMBER (BERYL_FIELD_UINT32, beryl_model, block_tokens, 1, 65536),
  NUMBER (BERYL_FIELD_UINT64, beryl_model, weight_bytes, 0, MAX_SAFE_INTEGER),
};

static void
model_defaults (void *target)
{
  struct beryl_model *model = target;

  model->context_tokens = 131072;
  model->kv_bytes_per_token = 131072;
  model->block_tokens = 16;
}

static const struct beryl_field organisation_fields[] = {
  { .key = "token_sha256",
    .type = BERYL_FIELD_CUSTOM,
    .custom = read_tokens,
    .required = true },
  TEXT (BERYL_FIELD_NAME, beryl_organisation, data_centre, false),
  NUMBER (BERYL_FIELD_DOUBLE, beryl_organisation, weight, 0.001, 1000),
  NUMBER (BERYL_FIELD_UINT32, beryl_organisation, requests_per_s, 0, 1e6),
  NUMBER (BERYL_FIELD_UINT32, beryl_organisation, max_concurrent, 0, 1e6),
};

static void
organisation_defaults (void *target)
{
  struct beryl_organisation *organisation = target;

  organisation->weight = 1;
}

static const struct beryl_field urgency_fields[] = {
  TEXT (BERYL_FIELD_NAME, urgency, service, true),
  { .key = "rules",
    .type = BERYL_FIELD_CUSTOM,
    .custom = read_urgency_rules,
    .required = true },
};

static const struct beryl_field endpoint_fields[] = {
  TEXT (BERYL_FIELD_NAME, beryl_endpoint, service, true),
  { .key = "address",
    .type = BERYL_FIELD_ADDRESS,
    .offset = offsetof (struct beryl_endpoint, address),
    .bytes = sizeof (((struct beryl_endpoint *)0)->address),
    .required = true },
  { .key = "port",
    .type = BERYL_FIELD_UINT16,
    .offset = offsetof (struct beryl_endpoint, port),
    .min = 1,
    .max = 65535,
    .required = true },
  TEXT (BERYL_FIELD_NAME, beryl_endpoint, data_centre, false),
  TEXT (BERYL_FIELD_NAME, beryl_endpoint, region, false),
  { .key = "role",
    .type = BERYL_FIELD_ROLE,
    .offset = offsetof (struct beryl_endpoint, role),
    .required = true },
  NUMBER (BERYL_FIELD_UINT32, beryl_endpoint, slots, 0, 65536),
  NUMBER (BERYL_FIELD_UINT64, beryl_endpoint, link_bytes_per_s, 0,
          MAX_SAFE_INTEGER),
  FLAG (beryl_endpoint, checks_fence),
  FLAG (beryl_endpoint, leaving),
};

static const struct beryl_field system_fields[] = {
  TEXT (BERYL_FIELD_TEXT, beryl_system, log_level, false),
  NUMBER (BERYL_FIELD_UINT32, beryl_system, claim_shards, 1,
          BERYL_CLAIM_SHARDS_MAX),
  NUMBER (BERYL_FIELD_INT64, beryl_system, claim_retention_ms, 1000,
          30 * DAY_MS),
  NUMBER (BERYL_FIELD_INT64, beryl_system, entry_answer_ttl_ms, 100, DAY_MS),
};

void
kind_system_defaults (void *target)
{
  struct beryl_system *system = target;

  snprintf (system->log_level, sizeof system->log_level, "info");
  system->claim_shards = 16;
  system->claim_retention_ms = 24LL * 3600 * 1000;
  system->entry_answer_ttl_ms = 10000;
}

static void
system_check (const struct beryl_location *location, const void *target)
{
  static const char *const levels[] = { "error", "warning", "info", "debug" };
  const struct beryl_system *system = target;

  for (size_t i = 0; i < COUNT (levels); i++)
    if (strcmp (system->log_level, levels[i]) == 0)
      return;
  beryl_location_report (location, "log_level",
                         "log_level must be error, warning, info or debug");
}

static const struct kind kinds[] = {
  { BERYL_KIND_SERVICE, sizeof (struct beryl_service), service_fields,
    COUNT (service_fields), service_defaults, NULL },
  { BERYL_KIND_POOL, sizeof (struct beryl_pool), pool_fields,
    COUNT (pool_fields), pool_defaults, pool_check },
  { BERYL_KIND_MODEL, sizeof (struct beryl_model), model_fields,
    COUNT (model_fields), model_defaults, NULL },
  { BERYL_KIND_ORGANISATION, sizeof (struct beryl_organisation),
    organisation_fields, COUNT (organisation_fields), organisation_defaults,
    NULL },
  { BERYL_KIND_URGENCY, sizeof (struct urgency), urgency_fields,
    COUNT (urgency_fields), NULL, NULL },
  { BERYL_KIND_ENDPOINT, sizeof (struct beryl_endpoint), endpoint_fields,
    COUNT (endpoint_fields), NULL, NULL },
  { BERYL_KIND_SYSTEM, sizeof (struct beryl_system), system_fields,
    COUNT (system_fields), kind_system_defaults, system_check },
};

const struct kind *
kind_find (const char *name)
{
  for (size_t i = 0; i < COUNT (kinds); i++)
    if (strcmp (beryl_kind_name (kinds[i].kind), name) == 0)
      return &kinds[i];
  return NULL;
}
