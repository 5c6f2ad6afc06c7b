#include "private.h"

#include <string.h>

/* Keeps prompts from being read for runs that would break off. */

/* Retry-After of a request that is refused for that, and the part of it by
   which those who return are spread. */
#define RETRY_AFTER_BREAK_MS 500
#define RETURN_SPREAD 1.0

void
prompts_record (struct beryl_forward *f, const struct request *r,
                const struct beryl_live_endpoint *endpoint, bool good,
                int64_t now_ms)
{
  beryl_run_outcomes_add (f->run_outcomes, beryl_name_hash (r->service->name),
                          beryl_live_hash (endpoint), good, now_ms);
  if (!good)
    f->report_due = true;
}

double
prompts_success (struct beryl_forward *f, const struct service *s,
                 const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return beryl_run_outcomes_success (f->run_outcomes,
                                     beryl_name_hash (s->name),
                                     beryl_live_hash (endpoint), now_ms);
}

bool
prompts_known (struct beryl_forward *f, const struct service *s,
               const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return beryl_run_outcomes_knows (f->run_outcomes, beryl_name_hash (s->name),
                                   beryl_live_hash (endpoint), now_ms);
}

bool
prompts_break_at (struct beryl_forward *f, const struct service *s,
                  const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return prompts_success (f, s, endpoint, now_ms) < PROMPT_GATE_SOUND;
}

/* Sets *SUCCESS to the mean success of the engines of R's service that break
   runs; 0 if there are none. Returns whether others are sound. */
static bool
survey (struct beryl_forward *f, const struct request *r, double *success,
        int64_t now_ms)
{
  uint32_t breaking = 0;
  bool any_sound = false;

  *success = 0;
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      double own;

      if (endpoint->info.stage != BERYL_STAGE_DECODE
          || strcmp (endpoint->info.service, r->service->name) != 0
          || !beryl_live_accepts_work (endpoint)
          || beryl_live_avoided (endpoint, now_ms))
        continue;
      own = prompts_success (f, r->service, endpoint, now_ms);
      if (own >= PROMPT_GATE_SOUND)
        any_sound = true;
      else
        *success += (own - *success) / ++breaking;
    }
  return any_sound;
}

void
prompts_gate (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct prompt_gate_facts facts = { .nodes = f->nodes, .now_ms = now_ms };

  if (r->gated || r->answer_begun || r->may_have_run)
    return;
  r->sound_engines = survey (f, r, &facts.success, now_ms);
  if (facts.success == 0)
    return;
  facts.random = random_unit (&f->random);
  r->gated = true;
  r->held = prompt_gate_ask (&r->service->prompt_gate, &facts) == PROMPT_HOLD;
  if (r->held)
    forward_request_log (f, r, "prompt", NULL, "held",
                         (int64_t)(100 * facts.success), now_ms);
}

bool
prompts_refuse_held (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  /* Sound engines that are full will have room. */
  if (!r->held || r->sound_engines || r->answer_begun || r->may_have_run)
    return false;
  forward_request_refuse (
      f, r, 503, BERYL_REFUSAL_RUNS_BREAK,
      (int64_t)(RETRY_AFTER_BREAK_MS
                * (1 + RETURN_SPREAD * random_unit (&f->random))),
      now_ms);
  return true;
}
