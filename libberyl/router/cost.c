#include <math.h>

#include "private.h"

#define MEGABYTE 1e6

double
cost_prefill_ms (const struct router_service *s, uint32_t uncached_tokens)
{
  return estimate_line_at (&s->prefill_ms, uncached_tokens);
}

double
cost_transfer_ms (const struct router_service *s,
                  const struct router_endpoint *from,
                  const struct router_endpoint *to, uint32_t prompt_tokens)
{
  double bytes = prompt_tokens;
  bytes *= s->model ? s->model->kv_bytes_per_token : 0;
  double estimated_ms = estimate_line_at (&s->transfer_ms, bytes / MEGABYTE);
  uint64_t rate = from->config->link_bytes_per_s;
  if (to && to->config->link_bytes_per_s
      && (rate == 0 || to->config->link_bytes_per_s < rate))
    rate = to->config->link_bytes_per_s;
  return rate ? fmax (estimated_ms, bytes * 1000 / (double)rate)
              : estimated_ms;
}

/* Mean number of this node's slots per engine at which it has any. */
static double
own_slots_per_engine (const struct router_service *s)
{
  return s->own.count ? (double)s->own_slots / (double)s->own.count
                      : ROUTER_DEFAULT_SLOTS;
}

double
cost_decode_ms (const struct router_service *s, uint32_t max_tokens, double z)
{
  double fraction = estimate_mean_plus_sd (&s->length_ratio, z);
  fraction = fmin (1, fmax (0.01, fraction));
  /* Assumes full batches: a job planned while engines are empty must still
   * meet its deadline when they fill up. */
  double batch = fmax (own_slots_per_engine (s), ROUTER_DEFAULT_SLOTS);
  return fraction * max_tokens * estimate_line_at (&s->interval_ms, batch);
}
