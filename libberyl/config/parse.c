#include "beryl/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kinds.h"

#define API_VERSION "beryl/v1"
#define SYSTEM_NAME "system"

/* Array of the objects of one kind; the element size depends on the kind. */
struct list
{
  char *items;
  size_t count;
};

struct parser
{
  struct beryl_findings *findings;
  struct list lists[BERYL_KIND_SYSTEM + 1];
  json_t *seen; /* set of "kind/name" already read */
};

static json_t *
load_json (const char *json, size_t json_bytes,
           struct beryl_findings *findings)
{
  json_error_t error;
  json_t *root = json_loadb (json, json_bytes, JSON_REJECT_DUPLICATES, &error);

  if (root == NULL)
    beryl_findings_add (findings, NULL,
                        error.line > 0 ? (uint32_t)error.line : 0,
                        error.column > 0 ? (uint32_t)error.column : 0,
                        "not valid JSON: %s", error.text);
  return root;
}

/* berylctl writes the last three: the version that an edit is based on, the
 * specification before the last edit, and the nonce of the write. */
static bool
is_envelope_key (const char *key)
{
  static const char *const keys[] = { "kind", "name",    "api_version",
                                      "spec", "version", "previous",
                                      "nonce" };

  for (size_t i = 0; i < sizeof keys / sizeof *keys; i++)
    if (strcmp (key, keys[i]) == 0)
      return true;
  return false;
}

/* Reads "kind" and "name".  Unknown members are findings, so that a misspelt
 * member does not count as absent. */
static const struct kind *
read_envelope (struct beryl_location *location, json_t *object,
               const char **name)
{
  const char *kind_name = json_string_value (json_object_get (object, "kind"));
  const char *version
      = json_string_value (json_object_get (object, "api_version"));
  const struct kind *kind;
  const char *key;
  json_t *value;

  *name = json_string_value (json_object_get (object, "name"));
  if (!json_is_object (object))
    {
      beryl_location_report (location, NULL, "must be an object");
      return NULL;
    }
  json_object_foreach (object, key, value)
  {
    if (!is_envelope_key (key))
      beryl_location_report (location, key, "unknown key \"%.64s\"", key);
  }
  if (version == NULL || strcmp (version, API_VERSION) != 0)
    beryl_location_report (location, "api_version",
                           "api_version must be " API_VERSION);
  kind = kind_name != NULL ? kind_find (kind_name) : NULL;
  if (kind == NULL)
    beryl_location_report (location, "kind",
                           "kind must be service, pool, model, organisation, "
                           "urgency, endpoint or system");
  if (*name == NULL || !beryl_field_name_valid (*name))
    {
      beryl_location_report (location, "name",
                             "name must match [a-z0-9._-]{1,63}");
      *name = NULL;
    }
  return *name != NULL ? kind : NULL;
}

static void *
list_append (struct list *list, size_t bytes)
{
  char *items = realloc (list->items, (list->count + 1) * bytes);

  if (items == NULL)
    return NULL;
  list->items = items;
  memset (list->items + list->count * bytes, 0, bytes);
  return list->items + bytes * list->count++;
}

static void
check_unique (struct parser *parser, const struct beryl_location *location,
              const struct kind *kind, const char *name)
{
  char key[BERYL_NAME_BYTES * 2];

  snprintf (key, sizeof key, "%s/%s", beryl_kind_name (kind->kind), name);
  if (json_object_get (parser->seen, key) != NULL)
    beryl_location_report (location, "name", "declared more than once");
  json_object_set_new (parser->seen, key, json_true ());
}

static void
read_object (struct parser *parser, struct beryl_location *location,
             json_t *object)
{
  const char *name;
  const struct kind *kind = read_envelope (location, object, &name);
  struct beryl_location spec;
  void *target;

  if (kind == NULL)
    return;
  snprintf (location->object, sizeof location->object, "%s %s",
            beryl_kind_name (kind->kind), name);
  check_unique (parser, location, kind, name);
  if (kind->kind == BERYL_KIND_SYSTEM && strcmp (name, SYSTEM_NAME) != 0)
    beryl_location_report (location, "name", "its name must be " SYSTEM_NAME);
  target = list_append (&parser->lists[kind->kind], kind->bytes);
  if (target == NULL)
    {
      beryl_location_report (location, NULL, "out of memory");
      return;
    }
  if (kind->kind != BERYL_KIND_SYSTEM)
    memcpy (target, name, strlen (name) + 1);
  if (kind->defaults != NULL)
    kind->defaults (target);
  beryl_location_enter (&spec, location, "spec");
  beryl_fields_read (&spec, json_object_get (object, "spec"), kind->fields,
                     kind->field_count, target);
  if (kind->check != NULL)
    kind->check (&spec, target);
}

static void
free_rules (struct list *services, struct list *urgencies)
{
  struct beryl_service *s = (struct beryl_service *)services->items;
  struct urgency *u = (struct urgency *)urgencies->items;

  for (size_t i = 0; i < services->count; i++)
    free (s[i].rules);
  for (size_t i = 0; i < urgencies->count; i++)
    free (u[i].rules);
}

static void
parser_clear (struct parser *parser)
{
  struct list *list = parser->lists;
  struct beryl_organisation *o
      = (struct beryl_organisation *)list[BERYL_KIND_ORGANISATION].items;

  free_rules (&list[BERYL_KIND_SERVICE], &list[BERYL_KIND_URGENCY]);
  for (size_t i = 0; i < list[BERYL_KIND_ORGANISATION].count; i++)
    free (o[i].token_sha256);
  for (size_t i = 0; i <= BERYL_KIND_SYSTEM; i++)
    free (list[i].items);
  json_decref (parser->seen);
}

static void
take_lists (struct parser *parser, struct beryl_config *config)
{
  struct list *list = parser->lists;

  config->services = (struct beryl_service *)list[BERYL_KIND_SERVICE].items;
  config->service_count = list[BERYL_KIND_SERVICE].count;
  config->pools = (struct beryl_pool *)list[BERYL_KIND_POOL].items;
  config->pool_count = list[BERYL_KIND_POOL].count;
  config->models = (struct beryl_model *)list[BERYL_KIND_MODEL].items;
  config->model_count = list[BERYL_KIND_MODEL].count;
  config->organisations
      = (struct beryl_organisation *)list[BERYL_KIND_ORGANISATION].items;
  config->organisation_count = list[BERYL_KIND_ORGANISATION].count;
  config->endpoints = (struct beryl_endpoint *)list[BERYL_KIND_ENDPOINT].items;
  config->endpoint_count = list[BERYL_KIND_ENDPOINT].count;
  kind_system_defaults (&config->system);
  if (list[BERYL_KIND_SYSTEM].count > 0)
    memcpy (&config->system, list[BERYL_KIND_SYSTEM].items,
            sizeof config->system);
}

static bool
add_rules (struct beryl_service *service, const struct urgency *urgency)
{
  size_t count = service->rule_count + urgency->rule_count;
  struct beryl_call_rule *rules
      = realloc (service->rules, (count + 1) * sizeof *rules);

  if (rules == NULL)
    return false;
  if (urgency->rule_count > 0)
    memcpy (rules + service->rule_count, urgency->rules,
            urgency->rule_count * sizeof *rules);
  service->rules = rules;
  service->rule_count = count;
  return true;
}

static void
merge_urgencies (struct parser *parser, struct beryl_config *config)
{
  struct list *list = &parser->lists[BERYL_KIND_URGENCY];
  const struct urgency *u = (const struct urgency *)list->items;

  for (size_t i = 0; i < list->count; i++)
    {
      struct beryl_service *service
          = (struct beryl_service *)beryl_config_service (config,
                                                          u[i].service);

      if (service == NULL)
        beryl_findings_add (parser->findings, NULL, 0, 0,
                            "urgency %s: there is no service %s", u[i].name,
                            u[i].service);
      else if (!add_rules (service, &u[i]))
        beryl_findings_add (parser->findings, NULL, 0, 0, "out of memory");
    }
}

static void
check_service_reference (struct parser *parser,
                         const struct beryl_config *config, const char *kind,
                         const char *name, const char *service)
{
  if (beryl_config_service (config, service) == NULL)
    beryl_findings_add (parser->findings, NULL, 0, 0,
                        "%s %s: there is no service %s", kind, name, service);
}

/* Reports tokens that belong to two organisations: their callers could not be
 * told apart and could access each other's idempotency keys. */
static void
check_tokens (struct parser *parser, const struct beryl_config *config)
{
  json_t *owners = json_object ();

  for (size_t i = 0; i < config->organisation_count; i++)
    {
      const struct beryl_organisation *o = &config->organisations[i];

      for (size_t j = 0; j < o->token_count; j++)
        {
          json_t *owner = json_object_get (owners, o->token_sha256[j]);

          if (owner != NULL
              && strcmp (json_string_value (owner), o->name) != 0)
            beryl_findings_add (parser->findings, NULL, 0, 0,
                                "organisation %s: shares a token with "
                                "organisation %s",
                                o->name, json_string_value (owner));
          json_object_set_new (owners, o->token_sha256[j],
                               json_string (o->name));
        }
    }
  json_decref (owners);
}

static void
check_references (struct parser *parser, const struct beryl_config *config)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (config->services[i].model[0] != '\0'
        && beryl_config_model (config, config->services[i].model) == NULL)
      beryl_findings_add (parser->findings, NULL, 0, 0,
                          "service %s: there is no model %s",
                          config->services[i].name, config->services[i].model);
  for (size_t i = 0; i < config->pool_count; i++)
    check_service_reference (parser, config, "pool", config->pools[i].name,
                             config->pools[i].service);
  for (size_t i = 0; i < config->endpoint_count; i++)
    check_service_reference (parser, config, "endpoint",
                             config->endpoints[i].name,
                             config->endpoints[i].service);
  check_tokens (parser, config);
}

static void
read_array (struct parser *parser, json_t *root)
{
  size_t i;
  json_t *object;

  if (!json_is_array (root))
    {
      beryl_findings_add (parser->findings, NULL, 0, 0,
                          "must be an array of objects");
      return;
    }
  json_array_foreach (root, i, object)
  {
    struct beryl_location location = { .findings = parser->findings };

    snprintf (location.object, sizeof location.object, "object %zu", i + 1);
    snprintf (location.pointer, sizeof location.pointer, "/%zu", i);
    read_object (parser, &location, object);
  }
}

/* Frees the lists that the configuration does not own. */
static void
parser_release_rest (const struct parser *parser)
{
  struct parser rest = { .seen = parser->seen };

  rest.lists[BERYL_KIND_URGENCY] = parser->lists[BERYL_KIND_URGENCY];
  rest.lists[BERYL_KIND_SYSTEM] = parser->lists[BERYL_KIND_SYSTEM];
  parser_clear (&rest);
}

struct beryl_config *
beryl_config_parse (const char *json, size_t json_bytes, uint64_t version,
                    struct beryl_findings *findings)
{
  struct parser parser = { .findings = findings };
  size_t before = beryl_findings_count (findings);
  json_t *root = load_json (json, json_bytes, findings);
  struct beryl_config *config;

  if (root == NULL)
    return NULL;
  parser.seen = json_object ();
  read_array (&parser, root);
  json_decref (root);
  config = calloc (1, sizeof *config);
  if (config == NULL || beryl_findings_count (findings) > before)
    {
      free (config);
      parser_clear (&parser);
      return NULL;
    }
  config->version = version;
  take_lists (&parser, config);
  merge_urgencies (&parser, config);
  check_references (&parser, config);
  parser_release_rest (&parser);
  if (beryl_findings_count (findings) == before)
    return config;
  beryl_config_destroy (config);
  return NULL;
}

bool
beryl_config_check_object (const char *json, size_t json_bytes,
                           struct beryl_findings *findings)
{
  struct parser parser = { .findings = findings };
  struct beryl_location location
      = { .findings = findings, .object = "object" };
  size_t before = beryl_findings_count (findings);
  json_t *root = load_json (json, json_bytes, findings);

  if (root == NULL)
    return false;
  parser.seen = json_object ();
  read_object (&parser, &location, root);
  json_decref (root);
  parser_clear (&parser);
  return beryl_findings_count (findings) == before;
}

void
beryl_config_destroy (struct beryl_config *config)
{
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->service_count; i++)
    free (config->services[i].rules);
  for (size_t i = 0; i < config->organisation_count; i++)
    free (config->organisations[i].token_sha256);
  free (config->services);
  free (config->pools);
  free (config->models);
  free (config->organisations);
  free (config->endpoints);
  free (config);
}
