#include <math.h>
#include <string.h>

#include "private.h"

/* Demand reports older than this are ignored. */
#define REPORT_TTL_MS 15000
/* A predicted load below this counts as no demand. */
#define LOAD_EPSILON 0.01
/* Weight of a new sample in the moving average of the running calls. */
#define RUNNING_GAIN 0.1

static void
current_demand (struct service *s, int64_t now_ms, uint32_t *waiting,
                uint32_t *running)
{
  *waiting = 0;
  *running = 0;
  for (size_t i = 0; i < s->node_count; i++)
    if (now_ms - s->nodes[i].reported_ms < REPORT_TTL_MS)
      {
        *waiting += s->nodes[i].waiting;
        *running += s->nodes[i].running;
      }
}

static void
step_end (struct beryl_planner *p, struct service *s, int64_t now_ms)
{
  double streams = s->load_samples > 0 ? s->load_sum / s->load_samples : 0;
  double seconds = (double)p->settings.step_ms / 1000;
  int64_t day_ms = now_ms + p->settings.day_offset_ms;
  double prefill = (double)s->step_tokens / seconds
                   / p->settings.prefill_tokens_per_s
                   / p->settings.target_utilization;

  s->decode_load = beryl_sizer_step (s->decode_sizer, streams, day_ms);
  s->prefill_load = beryl_sizer_step (s->prefill_sizer, prefill, day_ms);
  s->step_tokens = 0;
  s->step_arrived = 0;
  s->load_sum = 0;
  s->load_samples = 0;
  s->step_end_ms = now_ms + p->settings.step_ms;
}

static uint32_t
slots_per_engine (const struct beryl_planner *p, const struct service *s)
{
  for (size_t i = 0; i < p->engine_count; i++)
    if (strcmp (p->engines[i].endpoint->service, s->name) == 0
        && p->engines[i].endpoint->slots > 0)
      return p->engines[i].endpoint->slots;
  return p->settings.default_slots;
}

static void
pool_bounds (const struct beryl_planner *p, const struct service *s,
             uint32_t *minimum, uint32_t *maximum)
{
  bool found = false;

  *minimum = 0;
  *maximum = 0;
  for (size_t i = 0; i < p->config->pool_count; i++)
    {
      const struct beryl_pool *pool = &p->config->pools[i];

      if (strcmp (pool->service, s->name) != 0)
        continue;
      found = true;
      *minimum += pool->min_endpoints;
      *maximum = *maximum > UINT32_MAX - pool->max_endpoints
                     ? UINT32_MAX
                     : *maximum + pool->max_endpoints;
    }
  if (!found)
    *maximum = UINT32_MAX;
}

static uint32_t
count_data_centres (const struct beryl_planner *p, const struct service *s)
{
  const char *seen[64];
  uint32_t count = 0;

  for (size_t i = 0; i < p->engine_count && count < 64; i++)
    {
      const struct beryl_endpoint *e = p->engines[i].endpoint;
      uint32_t j = 0;

      if (strcmp (e->service, s->name) != 0)
        continue;
      while (j < count && strcmp (seen[j], e->data_centre) != 0)
        j++;
      if (j == count)
        seen[count++] = e->data_centre;
    }
  return count;
}

/* With D data centres, the loss of one leaves (D-1)/D of the engines; a
 * service that needs several engines must still have enough then. */
static uint32_t
with_redundancy (uint32_t engines, uint32_t data_centres)
{
  if (engines < 2 || data_centres < 2)
    return engines;
  return (engines * data_centres + data_centres - 2) / (data_centres - 1);
}

void
service_size (struct beryl_planner *p, struct service *s, int64_t now_ms)
{
  uint32_t waiting;
  uint32_t running;
  uint32_t minimum;
  uint32_t maximum;
  double streams;
  double decode;
  double prefill;

  current_demand (s, now_ms, &waiting, &running);
  s->load_sum += waiting + running;
  s->load_samples++;
  if (waiting + running > 0)
    s->last_demand_ms = now_ms;
  if (now_ms >= s->step_end_ms)
    step_end (p, s, now_ms);
  s->running_mean += RUNNING_GAIN * (running - s->running_mean);
  streams = s->running_mean + waiting;
  if (streams < s->decode_load)
    streams = s->decode_load;
  decode
      = streams / (slots_per_engine (p, s) * p->settings.target_utilization);
  prefill = s->prefill_load;
  if (now_ms - s->last_demand_ms >= p->settings.idle_timeout_ms
      && s->decode_load < LOAD_EPSILON)
    decode = prefill = 0;
  s->target = (uint32_t)ceil (decode + prefill);
  /* One engine is started for the first call and kept until the idle timeout.
   */
  if (s->target == 0
      && now_ms - s->last_demand_ms < p->settings.idle_timeout_ms)
    s->target = 1;
  s->target = with_redundancy (s->target, count_data_centres (p, s));
  pool_bounds (p, s, &minimum, &maximum);
  if (s->target < minimum)
    s->target = minimum;
  if (s->target > maximum)
    s->target = maximum;
  s->target_prefill = 0;
  if (s->target >= 2 && decode + prefill > 0)
    {
      s->target_prefill
          = (uint32_t)lround (s->target * prefill / (decode + prefill));
      if (s->target_prefill == 0)
        s->target_prefill = 1;
      if (s->target_prefill >= s->target)
        s->target_prefill = s->target - 1;
    }
}
