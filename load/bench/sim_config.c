#include <stdio.h>
#include <string.h>

#include "sim_private.h"

static void
add_endpoint (struct sim *sim, const char *prefix, uint32_t number,
              const char *service, enum beryl_role role, uint32_t slots)
{
  struct beryl_endpoint *e
      = &sim->config.endpoints[sim->config.endpoint_count++];
  snprintf (e->name, sizeof e->name, "%s-%u", prefix, number);
  snprintf (e->service, sizeof e->service, "%s", service);
  snprintf (e->data_centre, sizeof e->data_centre, "dc-%u",
            number % sim->scenario->data_centres);
  e->role = role;
  e->slots = slots;
  e->link_bytes_per_s = sim->scenario->link_bytes_per_s;
}

static void
add_services (struct sim *sim)
{
  const struct scenario *s = sim->scenario;
  struct beryl_service *services = g_new0 (struct beryl_service, 2);
  g_strlcpy (services[0].name, s->service, BERYL_NAME_BYTES);
  g_strlcpy (services[0].model, s->model, BERYL_NAME_BYTES);
  services[0].call_class = BERYL_CLASS_NORMAL;
  services[0].deadline_ms = s->deadline_ms;
  services[0].waste_weight = s->waste_weight;
  g_strlcpy (services[1].name, s->plain_service, BERYL_NAME_BYTES);
  services[1].call_class = BERYL_CLASS_URGENT;
  services[1].max_concurrent = s->service_concurrent;
  sim->config.services = services;
  sim->config.service_count = 2;
  struct beryl_model *model = g_new0 (struct beryl_model, 1);
  g_strlcpy (model->name, s->model, BERYL_NAME_BYTES);
  model->kv_bytes_per_token = s->kv_bytes_per_token;
  model->block_tokens = s->block_tokens;
  sim->config.models = model;
  sim->config.model_count = 1;
}

static void
add_organisations (struct sim *sim)
{
  uint32_t count = sim->scenario->organisations;
  sim->config.organisations = g_new0 (struct beryl_organisation, count);
  sim->config.organisation_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct beryl_organisation *o = &sim->config.organisations[i];
      snprintf (o->name, sizeof o->name, "org-%05u", i);
      o->weight = 1;
    }
}

void
sim_config_build (struct sim *sim)
{
  const struct scenario *s = sim->scenario;
  uint32_t all = s->prefill_engines + s->decode_engines + s->service_endpoints;
  sim->config.version = 1;
  add_services (sim);
  add_organisations (sim);
  sim->config.endpoints = g_new0 (struct beryl_endpoint, all);
  for (uint32_t i = 0; i < s->prefill_engines; i++)
    add_endpoint (sim, "prefill", i, s->service, BERYL_ROLE_PREFILL, 0);
  for (uint32_t i = 0; i < s->decode_engines; i++)
    add_endpoint (sim, "decode", i, s->service, BERYL_ROLE_DECODE, s->slots);
  for (uint32_t i = 0; i < s->service_endpoints; i++)
    add_endpoint (sim, "plain", i, s->plain_service, BERYL_ROLE_SERVICE, 0);
}

void
sim_config_release (struct sim *sim)
{
  g_free (sim->config.services);
  g_free (sim->config.models);
  g_free (sim->config.organisations);
  g_free (sim->config.endpoints);
}
