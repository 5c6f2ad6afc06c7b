#include "beryl/stages.h"

#include <math.h>
#include <stdlib.h>

/* Target utilization of each pool.  It is lower for prefill, where requests
 * that arrive together queue, which delays the first event; decode memory is
 * predicted and kept from overflowing. */
#define PREFILL_UTILIZATION 0.75
#define DECODE_UTILIZATION 0.85
/* A stage changes if the split is off by at least this many engines for this
 * long: a change takes an engine out of service, so short imbalances are
 * ignored. */
#define IMBALANCE_ENGINES 1.0
#define IMBALANCE_MS 8000
/* Delay of initial orders: it is short, since before the first requests a
 * change is free, and later orders follow measurements. */
#define INITIAL_DELAY_MS 500
/* Until the mix is measured, the target moves this fraction of the way from
 * the split before the first order to the split for the assumed mix; either
 * may be wrong. */
#define ASSUMED_WEIGHT 0.5
/* Orders within this time after the first one count as initial. */
#define INITIAL_PHASE_MS 4000
/* No order is sent while this fraction of the engines or more is changing its
 * stage. */
#define CHANGING_FRACTION 0.25

struct beryl_stages
{
  int64_t imbalance_since_ms; /* 0: balanced */
  bool prefill_surplus; /* direction of the imbalance: too many prefill engines
                         */
  int64_t first_order_ms; /* time of the first order; 0: none yet */
  size_t initial_prefill; /* prefill engines before the first order */
  bool measured;          /* the mix has been measured */
};

struct beryl_stages *
beryl_stages_create (void)
{
  return calloc (1, sizeof (struct beryl_stages));
}

void
beryl_stages_destroy (struct beryl_stages *stages)
{
  free (stages);
}

double
beryl_stages_prefill_target (const struct beryl_generation_mix *mix,
                             size_t count)
{
  double prefill_ms = mix->prompt_tokens * mix->prefill_ms_per_token;
  double run_ms = mix->output_tokens * mix->decode_ms_per_token;
  double run_fraction
      = (mix->prompt_tokens + mix->output_tokens / 2) / (double)mix->kv_tokens;
  double prefill = prefill_ms / PREFILL_UTILIZATION;
  double decode = run_ms * run_fraction / DECODE_UTILIZATION;

  if (mix->kv_tokens == 0 || prefill + decode <= 0)
    return (double)count / 2;
  return (double)count * prefill / (prefill + decode);
}

struct pools
{
  size_t count;
  size_t prefill; /* after all pending orders */
  size_t changing;
};

static struct pools
count_pools (const struct beryl_stage_engine *engines, size_t count)
{
  struct pools pools = { .count = count };

  for (size_t i = 0; i < count; i++)
    {
      pools.prefill += engines[i].stage == BERYL_STAGE_PREFILL;
      pools.changing += engines[i].changing;
    }
  return pools;
}

static size_t
count_version (const struct beryl_stage_engine *engines, size_t count,
               uint32_t version, enum beryl_stage stage)
{
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    found += engines[i].version == version && engines[i].stage == stage;
  return found;
}

/* Returns whether ENGINE is the last decode engine of its version, without
 * which the streams of that version could go on nowhere. */
static bool
is_needed_by_streams (const struct beryl_stage_engine *engines, size_t count,
                      const struct beryl_stage_engine *engine)
{
  return engine->stage == BERYL_STAGE_DECODE
         && count_version (engines, count, engine->version, BERYL_STAGE_DECODE)
                == 1;
}

/* Returns the engine of STAGE with the least memory in use, which has the
 * least to finish before it can change. */
static const struct beryl_stage_engine *
least_used (const struct beryl_stage_engine *engines, size_t count,
            enum beryl_stage stage)
{
  const struct beryl_stage_engine *best = NULL;

  for (size_t i = 0; i < count; i++)
    if (engines[i].stage == stage && !engines[i].changing
        && !is_needed_by_streams (engines, count, &engines[i])
        && (best == NULL || engines[i].used_tokens < best->used_tokens))
      best = &engines[i];
  return best;
}

/* Returns the target number of prefill engines, at least one and at most all
 * but one: prefill and decode are separate only if both stages have an engine.
 */
static double
target_prefill (const struct beryl_stages *stages,
                const struct beryl_generation_mix *mix, size_t count)
{
  double target = beryl_stages_prefill_target (mix, count);
  double initial = (double)stages->initial_prefill;

  if (!mix->measured)
    target = initial + ASSUMED_WEIGHT * (target - initial);
  return fmin (fmax (target, 1), (double)count - 1);
}

/* Records the split before the first order.  The first orders after the mix is
 * measured count as initial again. */
static void
update_initial_split (struct beryl_stages *stages,
                      const struct beryl_generation_mix *mix,
                      const struct pools *pools)
{
  if (mix->measured && !stages->measured)
    {
      stages->measured = true;
      stages->first_order_ms = 0;
    }
  if (stages->first_order_ms == 0)
    stages->initial_prefill = pools->prefill;
}

static int64_t
delay_ms (const struct beryl_stages *stages, int64_t now_ms)
{
  bool initial_phase = stages->first_order_ms == 0
                       || now_ms - stages->first_order_ms < INITIAL_PHASE_MS;

  return initial_phase ? INITIAL_DELAY_MS : IMBALANCE_MS;
}

/* Returns a prefill engine of a version that has several engines, but none for
 * decode while another version has; NULL if there is none. */
static const struct beryl_stage_engine *
missing_decode (const struct beryl_stage_engine *engines, size_t count)
{
  if (count_pools (engines, count).prefill == count)
    return NULL;
  for (size_t i = 0; i < count; i++)
    if (engines[i].stage == BERYL_STAGE_PREFILL && !engines[i].changing
        && count_version (engines, count, engines[i].version,
                          BERYL_STAGE_DECODE)
               == 0
        && count_version (engines, count, engines[i].version,
                          BERYL_STAGE_PREFILL)
               > 1)
      return &engines[i];
  return NULL;
}

bool
beryl_stages_plan (struct beryl_stages *stages,
                   const struct beryl_generation_mix *mix,
                   const struct beryl_stage_engine *engines, size_t count,
                   int64_t now_ms, struct beryl_stage_order *order)
{
  struct pools pools = count_pools (engines, count);
  double imbalance;
  const struct beryl_stage_engine *engine;

  if (count < 2)
    return false;
  update_initial_split (stages, mix, &pools);
  engine = missing_decode (engines, count);
  if (engine != NULL)
    {
      *order = (struct beryl_stage_order){ engine->id, BERYL_STAGE_DECODE };
      return true;
    }
  imbalance = (double)pools.prefill - target_prefill (stages, mix, count);
  if (fabs (imbalance) < IMBALANCE_ENGINES)
    {
      stages->imbalance_since_ms = 0;
      return false;
    }
  if (stages->imbalance_since_ms == 0
      || stages->prefill_surplus != (imbalance > 0))
    stages->imbalance_since_ms = now_ms;
  stages->prefill_surplus = imbalance > 0;
  if (now_ms - stages->imbalance_since_ms < delay_ms (stages, now_ms)
      || (double)pools.changing >= CHANGING_FRACTION * (double)count)
    return false;
  engine
      = least_used (engines, count,
                    imbalance > 0 ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE);
  if (engine == NULL)
    return false;
  order->id = engine->id;
  order->stage = imbalance > 0 ? BERYL_STAGE_DECODE : BERYL_STAGE_PREFILL;
  if (stages->first_order_ms == 0)
    stages->first_order_ms = now_ms;
  return true;
}
