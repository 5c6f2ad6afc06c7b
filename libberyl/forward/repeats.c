#include "private.h"

/* Counts the sends of requests, and takes repeats from the budget of their
   service for those beyond the first. */

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

/* Returns how many repeats R has yet to take if SENDS of its sends count, the
   first of which is no repeat. */
static uint32_t
missing (const struct request *r, uint32_t sends)
{
  uint32_t repeats = sends > 0 ? sends - 1 : 0;

  return repeats > r->repeats_taken ? repeats - r->repeats_taken : 0;
}

/* The first prompt that an engine accepts is no repeat. One that breaks off is
   the request's first arrival, and the run after it a repeat. */
uint32_t
repeats_for_run (const struct request *r)
{
  return missing (r, r->sends + 1 - r->prompt_accepted);
}

/* If the prompt is accepted, and no other was before, only the run counts; if
   it breaks off, only the prompt does. If another was accepted, both count. */
uint32_t
repeats_for_prompt_and_run (const struct request *r)
{
  return missing (r, r->sends + 1);
}

static void
spend (struct beryl_forward *f, struct request *r, uint32_t count,
       int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  for (uint32_t i = 0; i < count; i++)
    repeat_budget_spend (&r->service->budget, &limits, now_ms);
  r->repeats_taken += count;
}

bool
repeats_take (struct beryl_forward *f, struct request *r, uint32_t count,
              int64_t now_ms)
{
  bool allowed = repeats_left (f, r, now_ms) >= count;

  if (count == 0)
    return true;
  if (allowed)
    spend (f, r, count, now_ms);
  forward_request_log (f, r, "repeat", NULL, allowed ? "taken" : "denied",
                       repeats_left (f, r, now_ms), now_ms);
  loans_report_if_low (f, r->service, now_ms);
  return allowed;
}

void
repeats_count_send (struct request *r)
{
  r->sends++;
}

void
repeats_not_sent (struct request *r, enum beryl_exchange_kind kind)
{
  bool counted = kind == BERYL_EXCHANGE_PREFILL
                 || (kind == BERYL_EXCHANGE_RUN && !r->continues_run);

  if (counted)
    r->sends--;
}

bool
repeats_hold (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->repeat_held)
    return true;
  if (repeats_left (f, r, now_ms) == 0)
    {
      forward_request_log (f, r, "repeat", NULL, "denied", 0, now_ms);
      loans_report_if_low (f, r->service, now_ms);
      return false;
    }
  r->service->budget.held++;
  r->repeat_held = true;
  return true;
}

bool
repeats_hold_to_leave (struct beryl_forward *f, struct request *r,
                       int64_t now_ms)
{
  struct service *s = r->service;
  struct repeat_limits limits = repeats_limits (f, now_ms);

  if (r->leaves_without_repeat || repeats_hold (f, r, now_ms))
    return true;
  if (s->leaves_without_repeat
      || repeat_budget_is_overdrawn (&s->budget, &limits, now_ms))
    return false;
  s->leaves_without_repeat = true;
  r->leaves_without_repeat = true;
  return true;
}

void
repeats_release (struct request *r)
{
  if (r->repeat_held)
    r->service->budget.held--;
  if (r->leaves_without_repeat)
    r->service->leaves_without_repeat = false;
  r->repeat_held = false;
  r->leaves_without_repeat = false;
}

/* Takes the repeat that was held, or one that is not left: only now it is
   known that the engine does not go on with the run. */
void
repeats_count_lost_move (struct beryl_forward *f, struct request *r,
                         int64_t now_ms)
{
  if (!r->continues_run)
    return;
  repeats_release (r);
  repeats_count_send (r);
  spend (f, r, missing (r, r->sends - r->prompt_accepted), now_ms);
  forward_request_log (f, r, "repeat", NULL, "move_lost",
                       repeats_left (f, r, now_ms), now_ms);
}

/* The peer takes repeats for what it sends beyond the first of each kind. */
void
repeats_count_handoff (struct request *r)
{
  r->sends++;
  if (!forward_request_is_generation (r))
    return;
  r->sends++;
  r->prompt_accepted = true;
}

void
repeats_count_request (struct beryl_forward *f, struct service *s,
                       int64_t now_ms)
{
  struct repeat_limits limits = repeats_limits (f, now_ms);

  repeat_budget_count_request (&s->budget, &limits, now_ms);
}
