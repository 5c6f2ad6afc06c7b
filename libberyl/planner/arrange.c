#include <string.h>

#include "private.h"

/* A roll-out changes another engine only while at most 1 / CHANGE_DIVISOR of
 * the service's warm engines are changing, or none if these are fewer than
 * CHANGE_DIVISOR. */
#define CHANGE_DIVISOR 4

static bool
is_engine_of (const struct engine *e, const struct service *s)
{
  return strcmp (e->endpoint->service, s->name) == 0
         && e->endpoint->role != BERYL_ROLE_SERVICE && !e->endpoint->leaving;
}

bool
engine_is_warm (const struct engine *e, const struct service *s)
{
  return e->responding && e->ready && !e->loading && e->role != 0
         && strcmp (e->model, s->model->name) == 0;
}

static bool
is_current (const struct engine *e, const struct service *s)
{
  return engine_is_warm (e, s) && strcmp (e->version, s->model->version) == 0;
}

/* Returns whether the engine's report differs from its order. */
static bool
is_changing (const struct engine *e)
{
  if (e->loading)
    return true;
  return e->ordered
         && (strcmp (e->ordered_model, e->model) != 0
             || strcmp (e->ordered_version, e->version) != 0
             || e->ordered_role != e->role);
}

/* Returns whether the engine is ordered to serve the model, warm or not. */
static bool
is_assigned (const struct engine *e, const struct service *s)
{
  return e->ordered && e->ordered_role != 0
         && strcmp (e->ordered_model, s->model->name) == 0;
}

static void
engine_order (struct engine *e, const char *model, const char *version,
              enum beryl_role role, const char *reason)
{
  planner_copy_name (e->ordered_model, model);
  planner_copy_name (e->ordered_version, version);
  e->ordered_role = role;
  e->ordered = true;
  e->order_sent_ms = 0;
  e->reason = reason;
}

/* Reserves the weight store for a load, if no other load has reserved it.
 * Loads are started at its pace: parallel loads would slow each other down,
 * and the first waiting call would wait for the last of them. */
static bool
reserve_load (struct beryl_planner *p, const struct service *s, int64_t now_ms)
{
  double seconds
      = (double)s->model->weight_bytes / p->settings.weight_store_bytes_per_s;

  if (now_ms < p->next_load_ms)
    return false;
  p->next_load_ms = now_ms + (int64_t)(seconds * 1000);
  return true;
}

static uint32_t
count_in_data_centre (const struct beryl_planner *p, const struct service *s,
                      const char *data_centre)
{
  uint32_t count = 0;

  for (size_t i = 0; i < p->engine_count; i++)
    {
      const struct engine *e = &p->engines[i];

      count += is_engine_of (e, s) && is_assigned (e, s)
               && strcmp (e->endpoint->data_centre, data_centre) == 0;
    }
  return count;
}

static enum beryl_role
fitting_role (const struct engine *e, enum beryl_role target)
{
  if (e->endpoint->role == BERYL_ROLE_BOTH)
    return target;
  return e->endpoint->role;
}

/* Returns a cold engine in the data centre with the fewest engines of the
 * service. */
static struct engine *
pick_cold (struct beryl_planner *p, const struct service *s)
{
  struct engine *best = NULL;
  uint32_t best_count = 0;

  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];
      uint32_t count;

      if (!is_engine_of (e, s) || !e->responding || is_assigned (e, s)
          || engine_is_warm (e, s) || e->loading)
        continue;
      count = count_in_data_centre (p, s, e->endpoint->data_centre);
      if (best != NULL && count >= best_count)
        continue;
      best = e;
      best_count = count;
    }
  return best;
}

/* Returns an assigned engine that is not changing, in the data centre with the
 * most engines of the service; those that are not warm in the current version
 * first. */
static struct engine *
pick_surplus (struct beryl_planner *p, const struct service *s)
{
  struct engine *best = NULL;
  uint32_t best_count = 0;

  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];
      uint32_t count;

      if (!is_engine_of (e, s) || !is_assigned (e, s) || is_changing (e))
        continue;
      count = count_in_data_centre (p, s, e->endpoint->data_centre);
      /* Ranks them first: no data centre has that many engines. */
      count += is_current (e, s) ? 0 : 1000000;
      if (best != NULL && count <= best_count)
        continue;
      best = e;
      best_count = count;
    }
  return best;
}

struct engine_counts
{
  uint32_t warm;     /* serving now, in any version */
  uint32_t assigned; /* ordered to serve, whether serving or not */
  uint32_t changing; /* loading, or not yet at the ordered state */
  uint32_t prefill;  /* ordered to prefill */
  uint32_t outdated; /* serving an old version */
};

static struct engine_counts
count_engines (const struct beryl_planner *p, const struct service *s)
{
  struct engine_counts counts = { 0 };

  for (size_t i = 0; i < p->engine_count; i++)
    {
      const struct engine *e = &p->engines[i];

      if (!is_engine_of (e, s))
        continue;
      counts.warm += engine_is_warm (e, s);
      counts.assigned += is_assigned (e, s);
      counts.changing += is_changing (e);
      counts.prefill
          += is_assigned (e, s) && e->ordered_role == BERYL_ROLE_PREFILL;
      counts.outdated += engine_is_warm (e, s) && !is_current (e, s);
    }
  return counts;
}

static enum beryl_role
next_role (const struct service *s, const struct engine_counts *counts)
{
  if (s->target_prefill == 0)
    return BERYL_ROLE_BOTH;
  return counts->prefill < s->target_prefill ? BERYL_ROLE_PREFILL
                                             : BERYL_ROLE_DECODE;
}

static void
grow (struct beryl_planner *p, struct service *s,
      const struct engine_counts *counts, int64_t now_ms)
{
  struct engine *e = pick_cold (p, s);

  if (e == NULL || !reserve_load (p, s, now_ms))
    return;
  engine_order (e, s->model->name, s->model->version,
                fitting_role (e, next_role (s, counts)), "grow");
}

static void
shrink (struct beryl_planner *p, struct service *s,
        const struct engine_counts *counts, int64_t now_ms)
{
  struct engine *e;

  if (s->surplus_since_ms == 0)
    {
      s->surplus_since_ms = now_ms;
      s->surplus_peak = s->target;
    }
  /* Shrinks only to the peak target since the surplus began: a fluctuating
   * load needs its engines again soon. */
  if (s->target > s->surplus_peak)
    s->surplus_peak = s->target;
  /* A target of zero has already waited for the idle timeout. */
  if (s->target > 0
      && now_ms - s->surplus_since_ms < p->settings.shrink_delay_ms)
    return;
  if (s->target > 0 && counts->assigned <= s->surplus_peak)
    {
      s->surplus_since_ms = 0;
      return;
    }
  if (counts->warm <= s->target && s->target > 0)
    return;
  e = pick_surplus (p, s);
  if (e != NULL)
    engine_order (e, "", "", 0, "shrink");
}

/* The old version serves until the new one is warm elsewhere: a spare engine
 * loads it first, and the resulting surplus is taken from the old version.
 * Without a spare, warm engines change, the last one only after the idle
 * timeout. */
static void
roll_out (struct beryl_planner *p, struct service *s,
          const struct engine_counts *counts, int64_t now_ms)
{
  struct engine *spare = pick_cold (p, s);
  uint32_t limit = counts->warm / CHANGE_DIVISOR;

  if (counts->changing > limit || (counts->changing > 0 && limit == 0))
    return;
  if (spare != NULL && counts->assigned <= s->target)
    {
      grow (p, s, counts, now_ms);
      return;
    }
  if (counts->warm < 2
      && now_ms - s->last_demand_ms < p->settings.idle_timeout_ms)
    return;
  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];

      if (!is_engine_of (e, s) || !engine_is_warm (e, s) || is_current (e, s)
          || is_changing (e))
        continue;
      if (reserve_load (p, s, now_ms))
        engine_order (e, s->model->name, s->model->version, e->role,
                      "roll-out");
      return;
    }
}

/* Adopts what the engines already serve: a new planner must not reload all
 * engines, which would drop their caches. */
static void
adopt (struct beryl_planner *p, const struct service *s)
{
  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];

      if (is_engine_of (e, s) && e->responding && !e->ordered)
        engine_order (e, e->model, e->version, e->role, "adopted");
    }
}

/* A role change drops the engine's cache, so roles change one at a time and
 * only if the split is off by more than one engine, or if none of several warm
 * engines does prefill. */
static void
rebalance (struct beryl_planner *p, struct service *s,
           const struct engine_counts *counts)
{
  enum beryl_role from = BERYL_ROLE_DECODE;
  enum beryl_role to = BERYL_ROLE_PREFILL;

  if (counts->changing > 0 || s->target_prefill == 0)
    return;
  if (counts->prefill > s->target_prefill + 1)
    {
      from = BERYL_ROLE_PREFILL;
      to = BERYL_ROLE_DECODE;
    }
  else if (counts->prefill + 1 >= s->target_prefill
           && !(counts->prefill == 0 && counts->warm >= 2))
    return;
  for (size_t i = 0; i < p->engine_count; i++)
    {
      struct engine *e = &p->engines[i];

      if (!is_engine_of (e, s) || e->endpoint->role != BERYL_ROLE_BOTH
          || !is_current (e, s) || is_changing (e)
          || (e->role != from && e->role != BERYL_ROLE_BOTH))
        continue;
      engine_order (e, e->model, e->version, to, "role");
      return;
    }
}

void
service_arrange (struct beryl_planner *p, struct service *s, int64_t now_ms)
{
  struct engine_counts counts;

  adopt (p, s);
  counts = count_engines (p, s);
  if (counts.assigned <= s->target)
    s->surplus_since_ms = 0;
  if (counts.assigned < s->target)
    grow (p, s, &counts, now_ms);
  else if (counts.outdated > 0 && s->target > 0)
    roll_out (p, s, &counts, now_ms);
  if (counts.assigned > s->target)
    {
      /* The surplus of a roll-out is the old version, which is removed without
       * delay. */
      if (counts.outdated > 0 && counts.warm > s->target
          && counts.changing == 0)
        {
          s->surplus_since_ms = now_ms - p->settings.shrink_delay_ms;
          s->surplus_peak = s->target;
        }
      shrink (p, s, &counts, now_ms);
    }
  else if (counts.assigned == s->target)
    rebalance (p, s, &counts);
}
