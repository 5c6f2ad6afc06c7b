#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>

#include "beryl/config.h"

static const char *const kind_names[]
    = { "service", "pool",     "model", "organisation",
        "urgency", "endpoint", "system" };
static const char *const class_names[] = { "urgent", "normal", "batch" };

const char *
beryl_kind_name (enum beryl_kind kind)
{
  return kind_names[kind];
}

const char *
beryl_class_name (enum beryl_class call_class)
{
  return class_names[call_class];
}

const char *
beryl_role_name (enum beryl_role role)
{
  switch (role)
    {
    case BERYL_ROLE_PREFILL:
      return "prefill";
    case BERYL_ROLE_DECODE:
      return "decode";
    case BERYL_ROLE_BOTH:
      return "both";
    case BERYL_ROLE_SERVICE:
      break;
    }
  return "service";
}

const struct beryl_service *
beryl_config_service (const struct beryl_config *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return &config->services[i];
  return NULL;
}

const struct beryl_service *
beryl_config_service_of_model (const struct beryl_config *config,
                               const char *model)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (config->services[i].model[0] != '\0'
        && strcmp (config->services[i].model, model) == 0)
      return &config->services[i];
  return NULL;
}

const struct beryl_model *
beryl_config_model (const struct beryl_config *config, const char *name)
{
  for (size_t i = 0; i < config->model_count; i++)
    if (strcmp (config->models[i].name, name) == 0)
      return &config->models[i];
  return NULL;
}

static void
hex_sha256 (const char *text, char *hex)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)text, strlen (text), digest);
  for (size_t i = 0; i < sizeof digest; i++)
    snprintf (hex + 2 * i, 3, "%02x", digest[i]);
}

const struct beryl_organisation *
beryl_config_organisation_of_token (const struct beryl_config *config,
                                    const char *token)
{
  const struct beryl_organisation *found = NULL;
  char hex[SHA256_DIGEST_LENGTH * 2 + 1];

  hex_sha256 (token, hex);
  /* Compare all digests, so that the time does not reveal which one matches.
   */
  for (size_t i = 0; i < config->organisation_count; i++)
    for (size_t j = 0; j < config->organisations[i].token_count; j++)
      if (CRYPTO_memcmp (config->organisations[i].token_sha256[j], hex,
                         sizeof hex - 1)
          == 0)
        found = &config->organisations[i];
  return found;
}

static bool
path_matches (const char *pattern, const char *path)
{
  size_t n = strlen (pattern);

  if (n > 0 && pattern[n - 1] == '*')
    return strncmp (pattern, path, n - 1) == 0;
  return strncmp (pattern, path, n) == 0
         && (path[n] == '\0' || path[n] == '?');
}

const struct beryl_call_rule *
beryl_service_rule (const struct beryl_service *service, const char *method,
                    const char *path)
{
  for (size_t i = 0; i < service->rule_count; i++)
    {
      const struct beryl_call_rule *rule = &service->rules[i];

      if (rule->method[0] != '\0' && strcmp (rule->method, method) != 0)
        continue;
      if (path_matches (rule->path, path))
        return rule;
    }
  return NULL;
}
