#include "private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* One request: its terms, what it may still do, and its end. */

void
forward_request_free (struct beryl_forward *f, struct request *r)
{
  TAILQ_REMOVE (&f->requests, r, entry);
  map_remove (&f->requests_by_handle, map_key_from_number (r->facts.request));
  beryl_routes_unref (r->routes);
  buffer_clear (&r->held);
  event_splitter_clear (&r->events);
  free (r);
}

static bool
is_final (const char *step)
{
  static const char *const finals[]
      = { "answer", "refuse", "cut", "caller_gone" };

  for (size_t i = 0; i < sizeof finals / sizeof *finals; i++)
    if (strcmp (finals[i], step) == 0)
      return true;
  return false;
}

uint64_t
forward_request_fingerprint (struct beryl_forward *f, struct request *r)
{
  if (r->fingerprint == 0 && f->owner->impl->fingerprint != NULL)
    r->fingerprint = f->owner->impl->fingerprint (f->owner, r->facts.request);
  return r->fingerprint;
}

void
forward_request_decided (struct beryl_forward *f, const struct request *r,
                         const char *step, const struct beryl_live *live,
                         const char *outcome, int64_t number, int64_t now_ms)
{
  struct beryl_decision decision = {
    .step = step,
    .final = is_final (step),
    .id = r->facts.id,
    .route = r->route->name,
    .service = r->service->name,
    .endpoint = live,
    .outcome = outcome,
    .age_ms = now_ms - r->facts.arrived_ms,
    .first_event_ms
    = r->first_event_ms > 0 ? r->first_event_ms - r->facts.arrived_ms : 0,
    .longest_gap_ms = r->longest_gap_ms,
    .number = number,
    .fingerprint = r->fingerprint,
    .config_version = r->routes->version,
    .endpoint_revision = live != NULL ? live->info.revision : 0,
  };

  if (f->owner->impl->decided != NULL)
    f->owner->impl->decided (f->owner, &decision);
}

void
forward_request_end (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  if (r->reservation.live != NULL && r->event_count > 0)
    prompts_note (&f->prompts, r->facts.prompt_key,
                  beryl_live_hash (r->reservation.live), now_ms);
  while (r->first != NULL)
    forward_exchange_disown (f, r, r->first);
  generation_release (f, r, now_ms);
  f->open--;
  place_wait_end (f, r);
  forward_request_free (f, r);
}

/* A run that is open may have reached its endpoint and may be at work there,
 * whether or not it has answered: "not run" cannot be said any more. */
static bool
may_have_run (const struct request *r)
{
  return r->may_have_run
         || (r->first != NULL && r->first->kind == BERYL_EXCHANGE_RUN)
         || (r->second != NULL && r->second->kind == BERYL_EXCHANGE_RUN);
}

static bool
promises_not_run (unsigned int status)
{
  return status == 503 || status == 429;
}

static void
request_cut (struct beryl_forward *f, struct request *r,
             enum beryl_refusal_reason reason, int64_t now_ms)
{
  uint64_t handle = r->facts.request;

  forward_request_decided (f, r, "cut", NULL, beryl_refusal_name (reason),
                           (int64_t)r->event_count, now_ms);
  forward_request_end (f, r, now_ms);
  f->owner->impl->answer_cut (f->owner, handle);
}

/* Whoever refuses, two things hold: an answer that has begun is only cut,
 * since another head would follow in its body; and "not run" is said only of
 * what cannot have run. */
void
forward_request_refuse (struct beryl_forward *f, struct request *r,
                        unsigned int status, enum beryl_refusal_reason reason,
                        int64_t retry_after_ms, int64_t now_ms)
{
  struct beryl_refusal refusal = { .status = status,
                                   .reason = reason,
                                   .retry_after_ms = retry_after_ms };
  uint64_t handle = r->facts.request;

  if (r->begun)
    {
      request_cut (f, r, reason, now_ms);
      return;
    }
  if (promises_not_run (status) && may_have_run (r))
    {
      refusal.status = 502;
      refusal.retry_after_ms = 0;
    }
  refusal.not_run = promises_not_run (refusal.status);
  forward_request_decided (f, r, "refuse", NULL, beryl_refusal_name (reason),
                           refusal.retry_after_ms, now_ms);
  /* What is open is closed first: "not run" must stay true. */
  forward_request_end (f, r, now_ms);
  f->owner->impl->refuse (f->owner, handle, &refusal);
}

void
forward_request_fail (struct beryl_forward *f, struct request *r,
                      enum beryl_refusal_reason reason, int64_t now_ms)
{
  if (!may_have_run (r))
    forward_request_refuse (f, r, 503, reason, RETRY_AFTER_MS, now_ms);
  else
    forward_request_refuse (f, r, reason == BERYL_REFUSAL_DEADLINE ? 504 : 502,
                            reason, 0, now_ms);
}

bool
forward_request_is_generation (const struct request *r)
{
  return r->route->generation && r->terms->has_engines;
}

bool
forward_request_movable (const struct request *r)
{
  return r->terms->engine.can_relocate && r->facts.id_exact;
}

bool
forward_request_repeatable (const struct request *r)
{
  return r->route->repeat == BERYL_REPEAT_IDEMPOTENT;
}

void
forward_request_count_run (struct request *r)
{
  r->may_have_run = true;
  /* A moved run goes on, it does not begin. */
  if (!r->same_run)
    r->endpoints_run++;
  r->same_run = false;
}

struct repeat_terms
forward_repeat_terms (const struct beryl_forward *f)
{
  return (struct repeat_terms){
    .ratio = f->settings.repeat_ratio,
    .slack = f->settings.repeat_slack,
    .window_ms = f->settings.repeat_window_ms,
    .nodes = f->nodes,
  };
}

uint32_t
forward_request_repeats_left (struct beryl_forward *f, const struct request *r,
                              int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);

  return repeat_budget_left (&r->service->budget, &terms, now_ms);
}

void
forward_request_take_repeats (struct beryl_forward *f, struct request *r,
                              uint32_t count, int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);

  for (uint32_t i = 0; i < count; i++)
    repeat_budget_spend (&r->service->budget, &terms, now_ms);
  if (count > 0)
    loans_check (f, r->service, now_ms);
}

bool
forward_request_take_repeat (struct beryl_forward *f, struct request *r,
                             int64_t now_ms)
{
  if (forward_request_repeats_left (f, r, now_ms) == 0)
    {
      loans_check (f, r->service, now_ms);
      return false;
    }
  forward_request_take_repeats (f, r, 1, now_ms);
  return true;
}

void
forward_request_count (struct beryl_forward *f, struct service *s,
                       int64_t now_ms)
{
  struct repeat_terms terms = forward_repeat_terms (f);

  repeat_budget_request (&s->budget, &terms, now_ms);
}

static uint64_t
id_hash (const struct beryl_live *live)
{
  return XXH3_64bits (live->info.id, strlen (live->info.id));
}

void
forward_request_note_tried (struct request *r, const struct beryl_live *live)
{
  r->tried[r->tried_count % TRIED_MAX] = id_hash (live);
  r->tried_count++;
}

bool
forward_request_tried (const struct request *r, const struct beryl_live *live)
{
  uint32_t count = r->tried_count < TRIED_MAX ? r->tried_count : TRIED_MAX;
  uint64_t hash = id_hash (live);

  for (uint32_t i = 0; i < count; i++)
    if (r->tried[i] == hash)
      return true;
  return false;
}

struct request *
forward_request_new (struct beryl_forward *f,
                     const struct beryl_forward_request *facts,
                     const struct beryl_route *route)
{
  struct request *r = calloc (1, sizeof *r);
  double point = random_unit (&f->random);

  r->facts = *facts;
  r->facts.host = NULL;
  r->facts.path = NULL;
  r->routes = beryl_routes_ref (f->routes);
  r->route = route;
  r->terms = beryl_routes_choose (f->routes, route, point);
  r->service = forward_service (f, r->terms->name);
  r->timeout_ms = facts->deadline_ms;
  if (route->timeout_ms > 0
      && facts->arrived_ms + route->timeout_ms < r->timeout_ms)
    r->timeout_ms = facts->arrived_ms + route->timeout_ms;
  r->due_ms = r->timeout_ms;
  r->last_event = facts->last_event;
  TAILQ_INSERT_TAIL (&f->requests, r, entry);
  map_put (&f->requests_by_handle, map_key_from_number (facts->request), r);
  f->open++;
  return r;
}
