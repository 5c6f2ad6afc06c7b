#include "private.h"

#include <stdio.h>
#include <string.h>

/* Keeps to the pauses that endpoints ask for when they turn a request away.
   They concern the node that has asked alone, so that peers are not told. */

/* Callers are asked to come back within this part of the pause after its end,
   so that they do not return together. */
#define RETURN_SPREAD 0.25

void
pauses_learn (struct beryl_forward *f, struct beryl_live_endpoint *endpoint,
              int64_t pause_ms, int64_t now_ms)
{
  char what[48];

  if (!beryl_live_pause (endpoint, pause_ms, now_ms)
      || f->owner->impl->log_endpoint_state == NULL)
    return;
  snprintf (what, sizeof what, "paused for_ms=%lld", (long long)pause_ms);
  f->owner->impl->log_endpoint_state (f->owner, endpoint, what, "own call");
}

int64_t
pauses_left_ms (const struct beryl_forward *f, const struct service *s,
                enum beryl_stage stage, int64_t now_ms)
{
  int64_t until_ms = BERYL_NEVER_MS;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (endpoint->info.stage != stage || !beryl_live_accepts_work (endpoint)
          || strcmp (endpoint->info.service, s->name) != 0)
        continue;
      if (endpoint->paused_until_ms < until_ms)
        until_ms = endpoint->paused_until_ms;
    }
  return until_ms != BERYL_NEVER_MS && until_ms > now_ms ? until_ms - now_ms
                                                         : 0;
}

bool
pauses_refuse (struct beryl_forward *f, struct request *r,
               enum beryl_stage stage, int64_t wait_ms, int64_t now_ms)
{
  int64_t left_ms = pauses_left_ms (f, r->service, stage, now_ms);

  if (left_ms == 0 || left_ms <= wait_ms || r->may_have_run || r->answer_begun)
    return false;
  forward_request_refuse (
      f, r, 503, BERYL_REFUSAL_PAUSED,
      (int64_t)((1 + RETURN_SPREAD * random_unit (&f->random))
                * (double)left_ms),
      now_ms);
  return true;
}
