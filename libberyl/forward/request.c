#include "private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The state of one request: its creation and its end. */

void
forward_request_free (struct beryl_forward *f, struct request *r)
{
  TAILQ_REMOVE (&f->requests, r, entry);
  map_remove (&f->requests_by_handle, map_key_from_number (r->params.handle));
  quota_release (f, r);
  beryl_routes_unref (r->routes);
  buffer_clear (&r->buffered);
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
  const char *organisation = r->routes->authenticates ? "" : NULL;

  if (r->organisation != NULL)
    organisation = r->organisation->name;
  if (r->fingerprint == 0 && f->owner->impl->fingerprint != NULL)
    {
      uint64_t digest = f->owner->impl->fingerprint (
          f->owner, r->params.handle, organisation);

      r->fingerprint = digest != 0 ? beryl_quarantine_request (digest) : 0;
    }
  return r->fingerprint;
}

static void
log_step (struct beryl_forward *f, const struct request *r, const char *step,
          const struct beryl_live_endpoint *endpoint, const char *outcome,
          int64_t number, const struct beryl_event_finding *finding,
          int64_t now_ms)
{
  struct beryl_request_step entry = {
    .step = step,
    .final = is_final (step),
    .id = r->params.id,
    .resumed_id = r->params.resumed_id,
    .route = r->route->name,
    .service = r->service->name,
    .organisation = r->organisation != NULL ? r->organisation->name : "",
    .quota = r->over_quota ? &r->quota : NULL,
    .admission
    = r->admission.reason != BERYL_ADMISSION_ADMITTED ? &r->admission : NULL,
    .event = finding,
    .endpoint = endpoint,
    .outcome = outcome,
    .age_ms = now_ms - r->params.arrived_ms,
    .first_event_ms
    = r->first_event_ms > 0 ? r->first_event_ms - r->params.arrived_ms : 0,
    .longest_gap_ms = r->longest_gap_ms,
    .value = number,
    .sends = r->sends,
    .repeats = r->repeats_taken,
    .fingerprint = r->fingerprint,
    .config_version = r->routes->version,
    .endpoint_revision = endpoint != NULL ? endpoint->info.revision : 0,
  };

  if (f->owner->impl->log_step != NULL)
    f->owner->impl->log_step (f->owner, &entry);
}

void
forward_request_log (struct beryl_forward *f, const struct request *r,
                     const char *step,
                     const struct beryl_live_endpoint *endpoint,
                     const char *outcome, int64_t number, int64_t now_ms)
{
  log_step (f, r, step, endpoint, outcome, number, NULL, now_ms);
}

void
forward_request_log_event (struct beryl_forward *f, const struct request *r,
                           const struct beryl_live_endpoint *endpoint,
                           const struct beryl_event_finding *finding,
                           int64_t now_ms)
{
  log_step (f, r, "event", endpoint, finding->fault, (int64_t)r->event_count,
            finding, now_ms);
}

void
forward_request_end (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  if (r->reservation.endpoint != NULL && r->event_count > 0)
    prompt_locations_record (&f->prompt_locations, r->params.prompt_hash,
                             beryl_live_hash (r->reservation.endpoint),
                             now_ms);
  while (r->primary != NULL)
    forward_exchange_detach (f, r, r->primary);
  generation_release (f, r, now_ms);
  repeats_release (r);
  f->open_count--;
  placement_wait_end (f, r);
  forward_request_free (f, r);
}

static bool
may_run (const struct beryl_forward *f, const struct exchange *x)
{
  return x != NULL
         && (x->kind == BERYL_EXCHANGE_RUN
             || x->kind == BERYL_EXCHANGE_HANDOFF)
         && (f->owner->impl->sent == NULL
             || f->owner->impl->sent (f->owner, x->id));
}

/* An open run of which anything was sent may be in progress at its endpoint,
   whether or not it was answered, so "not run" can no longer be claimed. */
static bool
may_have_run_with_open (const struct beryl_forward *f, const struct request *r)
{
  return r->may_have_run || may_run (f, r->primary)
         || may_run (f, r->secondary);
}

static bool
promises_not_run (unsigned int status)
{
  return status == 503 || status == 429;
}

static void
request_abort (struct beryl_forward *f, struct request *r,
               enum beryl_refusal_reason reason, int64_t now_ms)
{
  uint64_t handle = r->params.handle;

  forward_request_log (f, r, "cut", NULL, beryl_refusal_name (reason),
                       (int64_t)r->event_count, now_ms);
  forward_request_end (f, r, now_ms);
  f->owner->impl->answer_abort (f->owner, handle);
}

/* Two rules hold for all refusals: an answer that has begun is only
   terminated, since another head would become part of its body; and "not run"
   is claimed only for a request that cannot have run. */
void
forward_request_refuse (struct beryl_forward *f, struct request *r,
                        unsigned int status, enum beryl_refusal_reason reason,
                        int64_t retry_after_ms, int64_t now_ms)
{
  struct beryl_refusal refusal = { .status = status,
                                   .reason = reason,
                                   .retry_after_ms = retry_after_ms };
  uint64_t handle = r->params.handle;

  if (r->answer_begun)
    {
      request_abort (f, r, reason, now_ms);
      return;
    }
  if (promises_not_run (status) && may_have_run_with_open (f, r))
    {
      refusal.status = 502;
      refusal.retry_after_ms = 0;
    }
  refusal.not_run = promises_not_run (refusal.status);
  refusal.declined = r->handed_over && refusal.not_run
                     && (reason == BERYL_REFUSAL_STOPPING
                         || reason == BERYL_REFUSAL_NO_ENDPOINT);
  forward_request_log (f, r, "refuse", NULL, beryl_refusal_name (reason),
                       refusal.retry_after_ms, now_ms);
  /* Open exchanges are closed first, so that "not run" stays true. */
  forward_request_end (f, r, now_ms);
  f->owner->impl->refuse (f->owner, handle, &refusal);
}

void
forward_request_fail (struct beryl_forward *f, struct request *r,
                      enum beryl_refusal_reason reason, int64_t now_ms)
{
  if (!may_have_run_with_open (f, r))
    forward_request_refuse (f, r, 503, reason, RETRY_AFTER_MS, now_ms);
  else
    forward_request_refuse (f, r, reason == BERYL_REFUSAL_DEADLINE ? 504 : 502,
                            reason, 0, now_ms);
}

bool
forward_request_is_generation (const struct request *r)
{
  return r->route->generation && r->config->has_engines;
}

bool
forward_request_is_movable (const struct request *r)
{
  return r->config->engine.can_relocate && r->params.id_exact;
}

bool
forward_request_is_repeatable (const struct request *r)
{
  return r->route->repeat == BERYL_REPEAT_IDEMPOTENT;
}

void
forward_request_record_run (struct request *r)
{
  r->may_have_run = true;
  /* A moved run continues; it is no new run. */
  if (!r->continues_run)
    r->endpoints_run_count++;
  r->continues_run = false;
  repeats_release (r);
}

static uint64_t
id_hash (const struct beryl_live_endpoint *endpoint)
{
  return XXH3_64bits (endpoint->info.id, strlen (endpoint->info.id));
}

void
forward_request_mark_tried (struct request *r,
                            const struct beryl_live_endpoint *endpoint)
{
  r->tried[r->tried_count % TRIED_MAX] = id_hash (endpoint);
  r->tried_count++;
}

bool
forward_request_was_tried (const struct request *r,
                           const struct beryl_live_endpoint *endpoint)
{
  uint32_t count = r->tried_count < TRIED_MAX ? r->tried_count : TRIED_MAX;
  uint64_t hash = id_hash (endpoint);

  for (uint32_t i = 0; i < count; i++)
    if (r->tried[i] == hash)
      return true;
  return false;
}

void
forward_request_record_lost_run (struct beryl_forward *f, struct request *r,
                                 int64_t now_ms)
{
  repeats_count_lost_move (f, r, now_ms);
  forward_request_record_run (r);
}

struct request *
forward_request_new (struct beryl_forward *f,
                     const struct beryl_forward_request *params,
                     const struct beryl_route *route,
                     const struct beryl_route_organisation *organisation)
{
  struct request *r = calloc (1, sizeof *r);
  double random_value = random_unit (&f->random);

  r->params = *params;
  r->params.host = NULL;
  r->params.path = NULL;
  r->params.key = NULL;
  r->routes = beryl_routes_ref (f->routes);
  r->route = route;
  r->organisation = organisation;
  if (params->handoff != NULL)
    {
      r->handed_over = true;
      r->endpoints_run_count = params->handoff->endpoints_run;
    }
  r->params.handoff = NULL;
  r->config = beryl_routes_choose (f->routes, route, random_value);
  r->service = forward_service (f, r->config->name);
  r->rank = beryl_routes_service_rank (r->config, route, organisation);
  crashes_set_parts (r);
  r->deadline_ms = params->deadline_ms;
  if (route->timeout_ms > 0
      && params->arrived_ms + route->timeout_ms < r->deadline_ms)
    r->deadline_ms = params->arrived_ms + route->timeout_ms;
  r->timer_ms = r->deadline_ms;
  r->last_event_id = params->last_event_id;
  TAILQ_INSERT_TAIL (&f->requests, r, entry);
  map_put (&f->requests_by_handle, map_key_from_number (params->handle), r);
  f->open_count++;
  return r;
}
