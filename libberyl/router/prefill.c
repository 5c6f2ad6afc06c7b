#include <math.h>

#include "private.h"

/* Backlog before a new prefill: the last report, less the work done since,
 * plus the prefills this node has started since. */
static double
reported_backlog_ms (const struct router_service *s,
                     const struct router_endpoint *e, int64_t now_ms)
{
  if (!e->reported)
    return 0;
  int64_t age = now_ms - e->report.measured_ms;
  if (age > ROUTER_REPORT_MAX_AGE_MS)
    return 0;
  double tokens = (double)e->report.prefill_queue_tokens;
  double left = tokens > 0 ? estimate_line_at (&s->prefill_ms, tokens) : 0;
  left = fmax (0, left - (double)age);
  for (uint32_t i = 1; i <= ROUTER_CHANGES_MAX && i <= e->change_count; i++)
    {
      const struct router_change *c
          = &e->changes[(e->change_count - i) % ROUTER_CHANGES_MAX];
      if (c->at_ms <= e->report.measured_ms)
        break;
      if (c->busy_slots < 0)
        left += c->cost_ms;
    }
  return left;
}

double
prefill_backlog_ms (const struct router_service *s,
                    const struct router_endpoint *e, int64_t now_ms)
{
  double own = fmax (0, e->prefills_end_ms - (double)now_ms);
  return fmax (own, reported_backlog_ms (s, e, now_ms));
}

void
prefill_started (struct router_endpoint *e, double cost_ms, int64_t now_ms)
{
  e->prefills++;
  e->prefills_end_ms = fmax (e->prefills_end_ms, (double)now_ms) + cost_ms;
  e->changes[e->change_count++ % ROUTER_CHANGES_MAX]
      = (struct router_change){ now_ms, cost_ms, -1 };
}

void
prefill_ended (struct router_endpoint *e, int64_t now_ms)
{
  if (e->prefills > 0)
    e->prefills--;
  if (e->prefills == 0)
    e->prefills_end_ms = (double)now_ms;
}
