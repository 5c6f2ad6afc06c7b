#include <stdio.h>
#include <string.h>

#include "fleet_fixture.h"

static void
set_endpoint (struct beryl_endpoint *e, const char *name, const char *service,
              enum beryl_role role, uint32_t slots)
{
  *e = (struct beryl_endpoint){ .role = role, .slots = slots };
  snprintf (e->name, sizeof e->name, "%s", name);
  snprintf (e->service, sizeof e->service, "%s", service);
  strcpy (e->data_centre, "dc1");
}

void
fleet_fixture_init (struct fleet_fixture *f, uint32_t slots)
{
  memset (f, 0, sizeof *f);
  strcpy (f->services[0].name, "advice");
  strcpy (f->services[0].model, "m");
  f->services[0].call_class = BERYL_CLASS_NORMAL;
  f->services[0].deadline_ms = 30000;
  f->services[0].waste_weight = 1;
  strcpy (f->services[1].name, "status");
  f->services[1].call_class = BERYL_CLASS_URGENT;
  f->services[1].max_concurrent = 4;
  strcpy (f->model.name, "m");
  f->model.block_tokens = 64;
  f->model.kv_bytes_per_token = 40000;
  const char *const names[] = { "north", "south", "limited" };
  for (int i = 0; i < 3; i++)
    {
      snprintf (f->organisations[i].name, BERYL_NAME_BYTES, "%s", names[i]);
      f->organisations[i].weight = 1;
    }
  f->organisations[2].requests_per_s = 1;
  set_endpoint (&f->endpoints[0], "p1", "advice", BERYL_ROLE_PREFILL, 0);
  set_endpoint (&f->endpoints[1], "p2", "advice", BERYL_ROLE_PREFILL, 0);
  set_endpoint (&f->endpoints[2], "d1", "advice", BERYL_ROLE_DECODE, slots);
  set_endpoint (&f->endpoints[3], "d2", "advice", BERYL_ROLE_DECODE, slots);
  set_endpoint (&f->endpoints[4], "s1", "status", BERYL_ROLE_SERVICE, 0);
  set_endpoint (&f->endpoints[5], "s2", "status", BERYL_ROLE_SERVICE, 0);
  f->config = (struct beryl_config){
    .version = 1,
    .services = f->services,
    .service_count = 2,
    .models = &f->model,
    .model_count = 1,
    .organisations = f->organisations,
    .organisation_count = 3,
    .endpoints = f->endpoints,
    .endpoint_count = 6,
  };
}
