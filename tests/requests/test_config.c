#include "test_config.h"

static struct beryl_service services[] = {
  { .name = "advice",
    .model = "m1",
    .call_class = BERYL_CLASS_BATCH,
    .deadline_ms = 60000,
    .retry_budget_percent = 20 },
  { .name = "verdict",
    .model = "m1",
    .call_class = BERYL_CLASS_NORMAL,
    .deadline_ms = 60000,
    .retry_budget_percent = 20,
    .non_idempotent = true },
  { .name = "status",
    .call_class = BERYL_CLASS_URGENT,
    .deadline_ms = 2000,
    .retry_budget_percent = 20 },
  { .name = "letters",
    .call_class = BERYL_CLASS_URGENT,
    .deadline_ms = 2000,
    .retry_budget_percent = 20,
    .non_idempotent = true },
};

static struct beryl_model models[] = {
  { .name = "m1", .version = "1", .context_tokens = 32000 },
};

static struct beryl_endpoint endpoints[] = {
  { .name = "p1", .service = "advice", .role = BERYL_ROLE_PREFILL },
  { .name = "p2", .service = "advice", .role = BERYL_ROLE_PREFILL },
  { .name = "d1", .service = "advice", .role = BERYL_ROLE_DECODE },
  { .name = "d2", .service = "advice", .role = BERYL_ROLE_DECODE },
  { .name = "p3", .service = "verdict", .role = BERYL_ROLE_PREFILL },
  { .name = "p4", .service = "verdict", .role = BERYL_ROLE_PREFILL },
  { .name = "d3", .service = "verdict", .role = BERYL_ROLE_DECODE },
  { .name = "d4", .service = "verdict", .role = BERYL_ROLE_DECODE },
  { .name = "s1", .service = "status", .role = BERYL_ROLE_SERVICE },
  { .name = "s2", .service = "status", .role = BERYL_ROLE_SERVICE },
  { .name = "l1", .service = "letters", .role = BERYL_ROLE_SERVICE },
  { .name = "l2", .service = "letters", .role = BERYL_ROLE_SERVICE },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static const struct beryl_config config = {
  .version = 1,
  .services = services,
  .service_count = COUNT (services),
  .models = models,
  .model_count = COUNT (models),
  .endpoints = endpoints,
  .endpoint_count = COUNT (endpoints),
};

const struct beryl_config *
test_config (void)
{
  return &config;
}
