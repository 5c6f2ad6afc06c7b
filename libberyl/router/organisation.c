#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

static int
compare_names (const void *a, const void *b)
{
  const struct router_organisation *x = a;
  const struct router_organisation *y = b;
  return strcmp (x->config->name, y->config->name);
}

uint32_t
organisation_find (const struct beryl_router *r, const char *name)
{
  if (!name)
    return ROUTER_NONE;
  size_t low = 0;
  size_t high = r->organisation_count;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      int order = strcmp (name, r->organisations[mid].config->name);
      if (order == 0)
        return (uint32_t)mid;
      if (order < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return ROUTER_NONE;
}

static void
carry_over (struct beryl_router *r, struct router_organisation *organisations,
            size_t count)
{
  r->active_weight = 0;
  for (size_t i = 0; i < count; i++)
    {
      uint32_t old = organisation_find (r, organisations[i].config->name);
      if (old == ROUTER_NONE)
        continue;
      organisations[i].open = r->organisations[old].open;
      organisations[i].tokens = r->organisations[old].tokens;
      organisations[i].refilled_ms = r->organisations[old].refilled_ms;
      if (organisations[i].open > 0)
        r->active_weight += organisations[i].config->weight;
    }
}

static uint32_t
renumbered (const struct router_organisation *organisations, size_t count,
            const struct beryl_router *r, uint32_t old)
{
  if (old == ROUTER_NONE)
    return ROUTER_NONE;
  const char *name = r->organisations[old].config->name;
  for (size_t i = 0; i < count; i++)
    if (organisations[i].config
        && strcmp (organisations[i].config->name, name) == 0)
      return (uint32_t)i;
  return ROUTER_NONE;
}

bool
organisation_build (struct beryl_router *r, const struct beryl_config *config)
{
  size_t count = config->organisation_count;
  struct router_organisation *organisations
      = calloc (count + 1, sizeof *organisations);
  if (!organisations)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      organisations[i].config = &config->organisations[i];
      organisations[i].tokens = config->organisations[i].requests_per_s;
    }
  qsort (organisations, count, sizeof *organisations, compare_names);
  carry_over (r, organisations, count);
  for (size_t i = 0; i < r->ticket_count; i++)
    if (r->tickets[i].phase != ROUTER_PHASE_FREE)
      r->tickets[i].organisation
          = renumbered (organisations, count, r, r->tickets[i].organisation);
  for (size_t i = 0; i < r->waiting_count; i++)
    r->waiting[i].organisation
        = renumbered (organisations, count, r, r->waiting[i].organisation);
  free (r->organisations);
  r->organisations = organisations;
  r->organisation_count = count;
  return true;
}

void
organisation_job_opened (struct beryl_router *r, uint32_t organisation)
{
  if (organisation == ROUTER_NONE)
    return;
  struct router_organisation *o = &r->organisations[organisation];
  if (o->open++ == 0)
    r->active_weight += o->config->weight;
}

void
organisation_job_closed (struct beryl_router *r, uint32_t organisation)
{
  if (organisation == ROUTER_NONE)
    return;
  struct router_organisation *o = &r->organisations[organisation];
  if (o->open == 0)
    return;
  if (--o->open == 0)
    r->active_weight -= o->config->weight;
}

double
organisation_fair_share (const struct beryl_router *r, uint32_t organisation)
{
  if (organisation == ROUTER_NONE)
    return 1;
  const struct router_organisation *o = &r->organisations[organisation];
  double total_weight
      = r->active_weight + (o->open == 0 ? o->config->weight : 0);
  return total_weight > 0 ? o->config->weight / total_weight : 1;
}

/* This node's share of a system-wide limit, rounded up. */
static uint32_t
node_limit (const struct beryl_router *r, uint32_t limit)
{
  uint32_t nodes = r->member_count > 1 ? (uint32_t)r->member_count : 1;
  return (limit + nodes - 1) / nodes;
}

static bool
take_token (struct router_organisation *o, double rate_per_s, int64_t now_ms,
            int64_t *retry_after_ms)
{
  double burst = fmax (1, rate_per_s);
  double gained = (double)(now_ms - o->refilled_ms) * rate_per_s / 1000;
  o->tokens = fmin (burst, o->tokens + gained);
  o->refilled_ms = now_ms;
  if (o->tokens < 1)
    {
      *retry_after_ms = (int64_t)ceil ((1 - o->tokens) * 1000 / rate_per_s);
      return false;
    }
  o->tokens -= 1;
  return true;
}

const char *
organisation_admit (struct beryl_router *r, uint32_t organisation,
                    int64_t now_ms, int64_t *retry_after_ms)
{
  if (organisation == ROUTER_NONE)
    return NULL;
  struct router_organisation *o = &r->organisations[organisation];
  const struct beryl_organisation *c = o->config;
  if (c->max_concurrent > 0 && o->open >= node_limit (r, c->max_concurrent))
    {
      *retry_after_ms = 1000;
      return "concurrency_limit";
    }
  if (c->requests_per_s > 0
      && !take_token (o, node_limit (r, c->requests_per_s), now_ms,
                      retry_after_ms))
    return "rate_limit";
  return NULL;
}
