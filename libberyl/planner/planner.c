#include <stdlib.h>
#include <string.h>

#include "private.h"

#define WEIGHT_STORE_BYTES_PER_S 1e9
#define TARGET_UTILIZATION 0.8
#define DEFAULT_SLOTS 20
#define PREFILL_TOKENS_PER_S 8000
#define STEP_MS 60000
#define HORIZON_MS 120000
#define SHRINK_DELAY_MS 300000
#define IDLE_TIMEOUT_MS 600000
#define RESEND_MS 5000

static void
settings_default (struct beryl_planner_settings *s)
{
  if (s->weight_store_bytes_per_s <= 0)
    s->weight_store_bytes_per_s = WEIGHT_STORE_BYTES_PER_S;
  if (s->target_utilization <= 0)
    s->target_utilization = TARGET_UTILIZATION;
  if (s->default_slots == 0)
    s->default_slots = DEFAULT_SLOTS;
  if (s->prefill_tokens_per_s <= 0)
    s->prefill_tokens_per_s = PREFILL_TOKENS_PER_S;
  if (s->step_ms == 0)
    s->step_ms = STEP_MS;
  if (s->horizon_ms == 0)
    s->horizon_ms = HORIZON_MS;
  if (s->shrink_delay_ms == 0)
    s->shrink_delay_ms = SHRINK_DELAY_MS;
  if (s->idle_timeout_ms == 0)
    s->idle_timeout_ms = IDLE_TIMEOUT_MS;
  if (s->resend_ms == 0)
    s->resend_ms = RESEND_MS;
}

struct beryl_planner *
beryl_planner_create (const struct beryl_planner_settings *settings,
                      struct beryl_planner_owner *owner)
{
  struct beryl_planner *p = calloc (1, sizeof *p);

  if (p == NULL)
    return NULL;
  p->settings = *settings;
  settings_default (&p->settings);
  p->owner = owner;
  return p;
}

static void
service_clear (struct service *s)
{
  beryl_sizer_destroy (s->decode_sizer);
  beryl_sizer_destroy (s->prefill_sizer);
  free (s->nodes);
}

void
beryl_planner_destroy (struct beryl_planner *p)
{
  if (p == NULL)
    return;
  for (size_t i = 0; i < p->service_count; i++)
    service_clear (&p->services[i]);
  free (p->services);
  free (p->engines);
  free (p);
}

static struct engine *
engine_find (struct engine *engines, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (engines[i].name, name) == 0)
      return &engines[i];
  return NULL;
}

struct service *
planner_service (const struct beryl_planner *p, const char *name)
{
  for (size_t i = 0; i < p->service_count; i++)
    if (strcmp (p->services[i].name, name) == 0)
      return &p->services[i];
  return NULL;
}

static void
engines_rebuild (struct beryl_planner *p, const struct beryl_config *config)
{
  struct engine *engines
      = calloc (config->endpoint_count + 1, sizeof *engines);
  size_t count = 0;

  if (engines == NULL)
    return;
  for (size_t i = 0; i < config->endpoint_count; i++)
    {
      const struct beryl_endpoint *endpoint = &config->endpoints[i];
      const struct engine *old
          = engine_find (p->engines, p->engine_count, endpoint->name);

      if (endpoint->role == BERYL_ROLE_SERVICE)
        continue;
      if (old != NULL)
        engines[count] = *old;
      memcpy (engines[count].name, endpoint->name, sizeof endpoint->name);
      engines[count].endpoint = endpoint;
      count++;
    }
  free (p->engines);
  p->engines = engines;
  p->engine_count = count;
}

static bool
service_init (struct beryl_planner *p, struct service *s, int64_t now_ms)
{
  s->decode_sizer = beryl_sizer_create (
      p->settings.sizing, p->settings.step_ms, p->settings.horizon_ms);
  s->prefill_sizer = beryl_sizer_create (
      p->settings.sizing, p->settings.step_ms, p->settings.horizon_ms);
  s->nodes = calloc (DEMAND_NODES_MAX, sizeof *s->nodes);
  s->step_end_ms = now_ms + p->settings.step_ms;
  /* A new planner has no demand reports yet; that must not count as absence of
   * demand. */
  s->last_demand_ms = now_ms;
  return s->decode_sizer != NULL && s->prefill_sizer != NULL
         && s->nodes != NULL;
}

static void
services_rebuild (struct beryl_planner *p, const struct beryl_config *config,
                  int64_t now_ms)
{
  struct service *services
      = calloc (config->service_count + 1, sizeof *services);
  size_t count = 0;

  if (services == NULL)
    return;
  for (size_t i = 0; i < config->service_count; i++)
    {
      const struct beryl_service *from = &config->services[i];
      const struct beryl_model *model
          = beryl_config_model (config, from->model);
      struct service *old = planner_service (p, from->name);
      struct service *s = &services[count];

      if (model == NULL)
        continue;
      if (old != NULL)
        {
          *s = *old;
          memset (old, 0, sizeof *old);
        }
      else if (!service_init (p, s, now_ms))
        {
          service_clear (s);
          memset (s, 0, sizeof *s);
          continue;
        }
      memcpy (s->name, from->name, sizeof s->name);
      s->config = from;
      s->model = model;
      count++;
    }
  for (size_t i = 0; i < p->service_count; i++)
    service_clear (&p->services[i]);
  free (p->services);
  p->services = services;
  p->service_count = count;
}

void
beryl_planner_set_config (struct beryl_planner *p,
                          const struct beryl_config *config, int64_t now_ms)
{
  engines_rebuild (p, config);
  services_rebuild (p, config, now_ms);
  p->config = config;
}

void
planner_copy_name (char to[BERYL_NAME_BYTES], const char *from)
{
  size_t bytes = from != NULL ? strnlen (from, BERYL_NAME_BYTES - 1) : 0;

  if (bytes > 0)
    memcpy (to, from, bytes);
  to[bytes] = '\0';
}

void
beryl_planner_report_engine (struct beryl_planner *p,
                             const struct beryl_engine_state *state,
                             int64_t now_ms)
{
  struct engine *e
      = engine_find (p->engines, p->engine_count, state->endpoint);

  (void)now_ms;
  if (e == NULL)
    return;
  /* An engine that does not answer is neither warm nor a spare.  Its order is
   * dropped, and what it reports when it answers again is adopted. */
  if (state->model == NULL)
    {
      e->responding = false;
      e->ready = false;
      e->ordered = false;
      return;
    }
  planner_copy_name (e->model, state->model);
  planner_copy_name (e->version, state->version);
  e->role = state->role;
  e->loading = state->loading;
  e->ready = state->ready;
  e->responding = true;
}

static struct node_demand *
node_demand_get (struct service *s, const char *node)
{
  for (size_t i = 0; i < s->node_count; i++)
    if (strcmp (s->nodes[i].node, node) == 0)
      return &s->nodes[i];
  if (s->node_count == DEMAND_NODES_MAX)
    return NULL;
  planner_copy_name (s->nodes[s->node_count].node, node);
  return &s->nodes[s->node_count++];
}

void
beryl_planner_report_demand (struct beryl_planner *p, const char *node,
                             const char *service, uint32_t arrived,
                             uint32_t waiting, uint32_t running,
                             uint64_t prompt_tokens, int64_t now_ms)
{
  struct service *s = planner_service (p, service);
  struct node_demand *demand = s != NULL ? node_demand_get (s, node) : NULL;

  if (demand == NULL)
    return;
  s->reported = true;
  demand->waiting = waiting;
  demand->running = running;
  demand->reported_ms = now_ms;
  s->step_arrived += arrived;
  s->step_tokens += prompt_tokens;
  if (arrived + waiting + running > 0)
    s->last_demand_ms = now_ms;
}

static bool
order_is_applied (const struct engine *e)
{
  return strcmp (e->model, e->ordered_model) == 0
         && strcmp (e->version, e->ordered_version) == 0
         && e->role == e->ordered_role;
}

static bool
engine_is_interrupted (const struct engine *e)
{
  if (e->role == 0)
    return false;
  return e->ordered_role == 0 || strcmp (e->model, e->ordered_model) != 0
         || strcmp (e->version, e->ordered_version) != 0;
}

/* Repeats orders until the engines' reports match: an order or its answer may
 * be lost, and an engine may restart empty between two reports. */
static void
orders_send (struct beryl_planner *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];
      struct beryl_order order = { .endpoint = e->name,
                                   .model = e->ordered_model,
                                   .version = e->ordered_version,
                                   .role = e->ordered_role,
                                   .interrupts = engine_is_interrupted (e),
                                   .reason = e->reason };

      if (!e->ordered || !e->responding || order_is_applied (e))
        continue;
      if (e->order_sent_ms != 0
          && now_ms - e->order_sent_ms < p->settings.resend_ms)
        continue;
      e->order_sent_ms = now_ms;
      p->owner->impl->order (p->owner, &order);
    }
}

void
beryl_planner_tick (struct beryl_planner *p, int64_t now_ms)
{
  for (size_t i = 0; i < p->service_count; i++)
    {
      struct service *s = &p->services[i];

      /* Missing reports are not absence of demand: unloading the engines would
       * leave calls that do arrive without one. */
      if (!s->reported)
        continue;
      service_size (p, s, now_ms);
      service_arrange (p, s, now_ms);
    }
  orders_send (p, now_ms);
}

bool
beryl_planner_order_applied (const struct beryl_planner *p,
                             const char *endpoint)
{
  const struct engine *e = engine_find (p->engines, p->engine_count, endpoint);

  return e != NULL && e->ordered && order_is_applied (e);
}

uint32_t
beryl_planner_target_count (const struct beryl_planner *p, const char *service)
{
  const struct service *s = planner_service (p, service);

  return s != NULL ? s->target : 0;
}
