#include "fleet_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/config.h"
#include "sim.h"

#define SLOTS 20
#define WAITING_MAX 20000
#define SECOND_MS 1000
#define WEIGHT_BYTES 10000000000ULL

struct fleet_sim
{
  struct beryl_planner_owner base;
  struct fleet_sim_settings settings;
  struct sim *random;
  struct beryl_planner *planner;
  struct beryl_config *config;
  char version[BERYL_NAME_BYTES];
  struct fleet_sim_engine engines[FLEET_SIM_ENGINES_MAX];
  int64_t now_ms;
  int64_t waiting[WAITING_MAX]; /* arrival times, oldest first */
  size_t waiting_count;
  uint32_t running;
  struct fleet_sim_counts counts;
};

static struct fleet_sim_engine *
find_engine (struct fleet_sim *t, const char *name)
{
  for (int i = 0; i < t->settings.engines; i++)
    if (strcmp (t->engines[i].name, name) == 0)
      return &t->engines[i];
  return NULL;
}

static void
take_order (struct beryl_planner_owner *owner, const struct beryl_order *order)
{
  struct fleet_sim *t = (struct fleet_sim *)owner;
  struct fleet_sim_engine *e = find_engine (t, order->endpoint);

  if (e->dead)
    return;
  e->orders++;
  if (order->role == 0)
    {
      e->version[0] = '\0';
      e->loading[0] = '\0';
      e->role = 0;
      return;
    }
  if (strcmp (order->version, e->version) == 0)
    {
      e->role = order->role;
      return;
    }
  if (strcmp (order->version, e->loading) == 0)
    return;
  e->version[0] = '\0';
  memcpy (e->loading, order->version, sizeof e->loading);
  e->role = order->role;
  e->ready_ms = t->now_ms + t->settings.load_ms;
  t->counts.loads++;
}

static const struct beryl_planner_owner_impl owner_impl
    = { .order = take_order };

static void
config_build (struct fleet_sim *t)
{
  static char text[FLEET_SIM_ENGINES_MAX * 320 + 2048];
  int n = snprintf (
      text, sizeof text,
      "[{\"api_version\":\"beryl/v1\",\"kind\":\"model\",\"name\":\"m\","
      "\"spec\":{\"version\":\"%s\",\"weight_bytes\":%llu}},"
      "{\"api_version\":\"beryl/v1\",\"kind\":\"service\",\"name\":\"s\","
      "\"spec\":{\"model\":\"m\"}},"
      "{\"api_version\":\"beryl/v1\",\"kind\":\"pool\",\"name\":\"p\","
      "\"spec\":{\"service\":\"s\",\"role\":\"both\",\"min_endpoints\":%u}}",
      t->version, WEIGHT_BYTES, t->settings.min_endpoints);
  struct beryl_findings *findings = beryl_findings_create ();
  struct beryl_config *former = t->config;

  for (int i = 0; i < t->settings.engines; i++)
    n += snprintf (text + n, sizeof text - (size_t)n,
                   ",{\"api_version\":\"beryl/v1\",\"kind\":\"endpoint\","
                   "\"name\":\"e%d\",\"spec\":{\"service\":\"s\",\"address\":"
                   "\"127.0.0.1\",\"port\":%d,\"data_centre\":\"hall-%d\","
                   "\"role\":\"both\",\"slots\":%d}}",
                   i, 1000 + i, i % t->settings.data_centres, SLOTS);
  n += snprintf (text + n, sizeof text - (size_t)n, "]");
  t->config = beryl_config_parse (text, (size_t)n, 1, findings);
  if (t->config == NULL)
    abort ();
  beryl_findings_destroy (findings);
  beryl_planner_set_config (t->planner, t->config, t->now_ms);
  beryl_config_destroy (former);
}

static void
planner_create (struct fleet_sim *t)
{
  struct beryl_planner_settings settings
      = { .sizing = t->settings.sizing,
          .horizon_ms = t->settings.load_ms,
          .weight_store_bytes_per_s = WEIGHT_BYTES / 10.0,
          .prefill_tokens_per_s = 1e9 };

  t->planner = beryl_planner_create (&settings, &t->base);
}

void
fleet_sim_replace_planner (struct fleet_sim *t)
{
  beryl_planner_destroy (t->planner);
  planner_create (t);
  beryl_planner_set_config (t->planner, t->config, t->now_ms);
}

bool
fleet_sim_replace_planner_saved (struct fleet_sim *t)
{
  size_t bytes = 0;
  char *saved = beryl_planner_save (t->planner, "s", &bytes);
  bool restored;

  fleet_sim_replace_planner (t);
  restored = beryl_planner_restore (t->planner, "s", saved, bytes);
  free (saved);
  return restored;
}

struct fleet_sim *
fleet_sim_create (const struct fleet_sim_settings *settings)
{
  struct fleet_sim *t = calloc (1, sizeof *t);

  t->base.impl = &owner_impl;
  t->settings = *settings;
  t->now_ms = 1000;
  t->random = sim_create (settings->seed);
  planner_create (t);
  snprintf (t->version, sizeof t->version, "v1");
  for (int i = 0; i < settings->engines; i++)
    snprintf (t->engines[i].name, sizeof t->engines[i].name, "e%d", i);
  config_build (t);
  return t;
}

void
fleet_sim_destroy (struct fleet_sim *t)
{
  beryl_planner_destroy (t->planner);
  beryl_config_destroy (t->config);
  sim_destroy (t->random);
  free (t);
}

int64_t
fleet_sim_now_ms (const struct fleet_sim *t)
{
  return t->now_ms;
}

void
fleet_sim_set_version (struct fleet_sim *t, const char *version)
{
  snprintf (t->version, sizeof t->version, "%s", version);
  config_build (t);
}

struct fleet_sim_engine *
fleet_sim_engine (struct fleet_sim *t, int i)
{
  return &t->engines[i];
}

int
fleet_sim_warm (const struct fleet_sim *t, const char *version)
{
  int warm = 0;

  for (int i = 0; i < t->settings.engines; i++)
    {
      const struct fleet_sim_engine *e = &t->engines[i];

      warm += !e->dead && e->version[0] != '\0'
              && (version == NULL || strcmp (e->version, version) == 0);
    }
  return warm;
}

int
fleet_sim_warm_in (const struct fleet_sim *t, int dc)
{
  int warm = 0;

  for (int i = dc; i < t->settings.engines; i += t->settings.data_centres)
    warm += !t->engines[i].dead && t->engines[i].version[0] != '\0';
  return warm;
}

const struct fleet_sim_counts *
fleet_sim_counts (const struct fleet_sim *t)
{
  return &t->counts;
}

void
fleet_sim_reset_counts (struct fleet_sim *t)
{
  memset (&t->counts, 0, sizeof t->counts);
}

uint32_t
fleet_sim_wanted (const struct fleet_sim *t)
{
  return beryl_planner_target_count (t->planner, "s");
}

/* Draws from a Poisson distribution by multiplying uniform numbers (Knuth),
 * which is efficient for the small means here. */
static uint32_t
poisson (struct fleet_sim *t, double mean)
{
  double limit = exp (-mean);
  double product = 1;
  uint32_t count = 0;

  do
    {
      product *= (double)(sim_random (t->random, 1000000) + 1) / 1000001;
      count++;
    }
  while (product > limit);
  return count - 1;
}

static void
calls_end (struct fleet_sim *t)
{
  double chance = (double)SECOND_MS / (double)t->settings.call_ms;
  uint32_t ended = 0;

  for (uint32_t i = 0; i < t->running; i++)
    ended += sim_random (t->random, 1000000) < chance * 1000000;
  t->running -= ended;
}

static void
calls_arrive (struct fleet_sim *t, uint32_t count)
{
  t->counts.calls += count;
  if (fleet_sim_warm (t, NULL) == 0)
    t->counts.arrived_cold += count;
  for (uint32_t i = 0; i < count && t->waiting_count < WAITING_MAX; i++)
    t->waiting[t->waiting_count++] = t->now_ms;
}

/* Starts waiting calls in free slots and drops those past their deadline. */
static void
calls_start (struct fleet_sim *t)
{
  uint32_t slots = (uint32_t)fleet_sim_warm (t, NULL) * SLOTS;
  size_t taken = 0;

  while (taken < t->waiting_count)
    {
      bool late = t->now_ms - t->waiting[taken] > t->settings.deadline_ms;

      if (!late && t->running >= slots)
        break;
      if (!late)
        {
          t->running++;
          t->counts.started_in_time++;
        }
      taken++;
    }
  t->waiting_count -= taken;
  memmove (t->waiting, t->waiting + taken,
           t->waiting_count * sizeof t->waiting[0]);
}

static void
engines_run (struct fleet_sim *t)
{
  uint32_t loading = 0;

  for (int i = 0; i < t->settings.engines; i++)
    {
      struct fleet_sim_engine *e = &t->engines[i];

      if (!e->dead && e->loading[0] != '\0' && t->now_ms >= e->ready_ms)
        {
          memcpy (e->version, e->loading, sizeof e->version);
          e->loading[0] = '\0';
        }
      if (!e->dead && (e->version[0] != '\0' || e->loading[0] != '\0'))
        t->counts.engine_hours += 1.0 / 3600;
      loading += !e->dead && e->loading[0] != '\0';
    }
  if (loading > t->counts.loading_max)
    t->counts.loading_max = loading;
  if (fleet_sim_warm (t, NULL) == 0 && t->running > 0)
    t->counts.unserved_s++;
}

static void
engines_report (struct fleet_sim *t)
{
  for (int i = 0; i < t->settings.engines; i++)
    {
      const struct fleet_sim_engine *e = &t->engines[i];
      bool loading = e->loading[0] != '\0';
      struct beryl_engine_state state
          = { .endpoint = e->name,
              .version = loading ? e->loading : e->version,
              .role = e->role,
              .loading = loading,
              .ready = e->version[0] != '\0' };

      if (!e->dead)
        state.model = loading || e->version[0] != '\0' ? "m" : "";
      beryl_planner_report_engine (t->planner, &state, t->now_ms);
    }
}

void
fleet_sim_run_second (struct fleet_sim *t, double calls_per_s)
{
  uint32_t arrived = poisson (t, calls_per_s);

  t->now_ms += SECOND_MS;
  engines_run (t);
  calls_end (t);
  calls_arrive (t, arrived);
  calls_start (t);
  engines_report (t);
  beryl_planner_report_demand (t->planner, "n", "s", arrived,
                               (uint32_t)t->waiting_count, t->running, 0,
                               t->now_ms);
  beryl_planner_tick (t->planner, t->now_ms);
}
