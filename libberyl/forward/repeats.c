#include "private.h"

/* The sends of requests beyond the first, against the budget of their service.
 */

/* Returns the number of nodes that may have sent repeats in the current
   window: those that have left meanwhile count until it has passed. */
static uint32_t
sharing_nodes (struct beryl_forward *f, int64_t now_ms)
{
  int64_t counts_ms = f->settings.repeat_window_ms + REPEAT_LOAN_MS;

  if (f->nodes < f->known_nodes)
    f->nodes_left_ms = now_ms;
  f->known_nodes = f->nodes;
  if (f->nodes >= f->sharing_nodes || now_ms - f->nodes_left_ms >= counts_ms)
    f->sharing_nodes = f->nodes;
  return f->sharing_nodes;
}

struct repeat_limits
repeats_limits (struct beryl_forward *f, int64_t now_ms)
{
  return (struct repeat_limits){
    .ratio = f->settings.repeat_ratio,
    .slack = f->settings.repeat_slack,
    .window_ms = f->settings.repeat_window_ms,
    .nodes = sharing_nodes (f, now_ms),
    .started_ms = f->settings.started_ms,
  };
}

uint32_t
repeats_left (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  return repeat_budget_left (&r->service->budget, &limits, now_ms);
}

void
repeats_take_count (struct beryl_forward *f, struct request *r, uint32_t count,
                    int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  if (count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    repeat_budget_spend (&r->service->budget, &limits, now_ms);
  r->repeats_taken += count;
  forward_request_log (f, r, "repeat", NULL, "taken",
                       repeats_left (f, r, now_ms), now_ms);
  loans_report_if_low (f, r->service, now_ms);
}

bool
repeats_take (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (repeats_left (f, r, now_ms) == 0)
    {
      forward_request_log (f, r, "repeat", NULL, "denied", 0, now_ms);
      loans_report_if_low (f, r->service, now_ms);
      return false;
    }
  repeats_take_count (f, r, 1, now_ms);
  return true;
}

void
repeats_count_request (struct beryl_forward *f, struct service *s,
                       int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  repeat_budget_count_request (&s->budget, &limits, now_ms);
}
