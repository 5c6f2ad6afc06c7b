#include "private.h"

#include <string.h>
#include <xxhash.h>

/* Detects requests that crash the endpoints they run at. Requests that were
   interrupted by the same crash are sent to different endpoints: if they ran
   at one endpoint again, the next crash would again interrupt all of them, and
   not show which one is the cause. */

/* A suspect that has run for this long no longer counts as a risk to the other
   runs at its engine. */
#define SUSPECT_RUN_MS 1000
/* How long a suspect without a deadline is tracked. */
#define SUSPECT_MAX_MS 60000

static void
quarantine_changed (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
                    int64_t left_ms, enum beryl_quarantine_cause cause,
                    int64_t now_ms)
{
  struct beryl_forward *f
      = (struct beryl_forward *)((char *)owner
                                 - offsetof (struct beryl_forward,
                                             quarantine_owner));

  /* This may be called while a request is being processed, so the check of
     open requests is left to the next tick. */
  if (left_ms > 0)
    f->quarantine_check_ms = now_ms;
  if (f->owner->impl->quarantine_changed != NULL)
    f->owner->impl->quarantine_changed (f->owner, fingerprint, left_ms, cause);
}

static const struct beryl_quarantine_owner_impl quarantine_impl
    = { .changed = quarantine_changed };

void
crashes_init (struct beryl_forward *f)
{
  f->quarantine_owner.impl = &quarantine_impl;
  f->quarantine = beryl_quarantine_create (&f->quarantine_owner);
  f->quarantine_check_ms = BERYL_NEVER_MS;
}

struct beryl_quarantine *
beryl_forward_quarantine (struct beryl_forward *f)
{
  return f->quarantine;
}

static bool
is_dialled (const struct beryl_forward *f,
            const struct beryl_live_endpoint *endpoint)
{
  const struct exchange *x = NULL;

  TAILQ_FOREACH (x, &f->exchanges, entry)
  if (x->endpoint == endpoint && x->kind == BERYL_EXCHANGE_DIAL)
    return true;
  return false;
}

void
crashes_mark_suspect (struct beryl_forward *f, struct request *r,
                      int64_t now_ms)
{
  int64_t until_ms = r->deadline_ms;

  if (until_ms == BERYL_NEVER_MS)
    until_ms = now_ms + SUSPECT_MAX_MS;
  r->suspect = true;
  if (until_ms > f->suspects_until_ms)
    f->suspects_until_ms = until_ms;
}

bool
crashes_any_suspect (const struct beryl_forward *f, int64_t now_ms)
{
  return now_ms < f->suspects_until_ms
         || (f->run_table.suspect_reported_ms != 0
             && now_ms - f->run_table.suspect_reported_ms
                    < run_table_peer_timeout_ms (&f->run_table));
}

/* The service and the organisation are part of a fingerprint: one
   organisation's requests must not hold those of another back. */
void
crashes_set_parts (struct request *r)
{
  uint64_t scope = XXH3_64bits (r->service->name, strlen (r->service->name));

  if (r->organisation != NULL)
    scope = XXH3_64bits_withSeed (r->organisation->name,
                                  strlen (r->organisation->name), scope);
  for (uint32_t i = 0; i < r->params.prompt_part_count; i++)
    {
      uint64_t *part = &r->params.prompt_parts[i];

      *part = beryl_quarantine_part (
          XXH3_64bits_withSeed (part, sizeof *part, scope));
    }
}

void
crashes_written (struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  for (uint32_t i = 0; i < r->params.prompt_part_count; i++)
    beryl_quarantine_run_answered (f->quarantine, r->params.prompt_parts[i],
                                   now_ms);
}

static bool
has_suspect_part (const struct beryl_forward *f, const struct request *r)
{
  for (uint32_t i = 0; i < r->params.prompt_part_count; i++)
    if (beryl_quarantine_is_suspect (f->quarantine, r->params.prompt_parts[i]))
      return true;
  return false;
}

void
crashes_arrived (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (beryl_quarantine_empty (f->quarantine))
    return;
  if (beryl_quarantine_is_suspect (f->quarantine,
                                   forward_request_fingerprint (f, r))
      || has_suspect_part (f, r))
    crashes_mark_suspect (f, r, now_ms);
}

/* A broken connection does not prove that the endpoint has crashed, so the
   endpoint is dialled: if it does not accept a connection, also because the
   attempt times out, it is assumed to have ended. The endpoint list shows that
   only seconds later. */
void
crashes_run_interrupted (struct beryl_forward *f, struct request *r,
                         struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_exchange_start dial = { .kind = BERYL_EXCHANGE_DIAL };
  uint64_t fingerprint = forward_request_fingerprint (f, r);

  if (fingerprint == 0)
    return;
  crashes_mark_suspect (f, r, now_ms);
  r->tries_parts = false;
  beryl_quarantine_run_broken (f->quarantine, fingerprint,
                               beryl_live_hash (endpoint), now_ms);
  /* The parts of a run that has written are sound. */
  for (uint32_t i = 0; i < r->params.prompt_part_count && r->run_events == 0;
       i++)
    beryl_quarantine_run_broken (f->quarantine, r->params.prompt_parts[i],
                                 beryl_live_hash (endpoint), now_ms);
  if (endpoint->replaced_ms != 0)
    crashes_endpoint_ended (f, endpoint, now_ms);
  else if (!is_dialled (f, endpoint))
    forward_exchange_start (f, NULL, &dial, endpoint, now_ms);
}

void
crashes_endpoint_ended (struct beryl_forward *f,
                        const struct beryl_live_endpoint *endpoint,
                        int64_t now_ms)
{
  if (beryl_quarantine_endpoint_ended (f->quarantine,
                                       beryl_live_hash (endpoint), now_ms)
      && f->owner->impl->log_endpoint_state != NULL)
    f->owner->impl->log_endpoint_state (f->owner, endpoint, "crashed",
                                        "own call");
}

void
crashes_answered (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint64_t fingerprint = forward_request_fingerprint (f, r);

  if (fingerprint != 0)
    beryl_quarantine_run_answered (f->quarantine, fingerprint, now_ms);
}

static int64_t
request_left_ms (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!beryl_quarantine_holds_any (f->quarantine))
    return 0;
  return beryl_quarantine_remaining_ms (
      f->quarantine, forward_request_fingerprint (f, r), now_ms);
}

static int64_t
parts_left_ms (const struct beryl_forward *f, const struct request *r,
               int64_t now_ms)
{
  if (r->tries_parts)
    return 0;
  return beryl_quarantine_parts_remaining_ms (
      f->quarantine, r->params.prompt_parts, r->params.prompt_part_count,
      now_ms);
}

bool
crashes_is_quarantined (struct beryl_forward *f, struct request *r,
                        int64_t now_ms)
{
  return request_left_ms (f, r, now_ms) > 0
         || parts_left_ms (f, r, now_ms) > 0;
}

/* Returns whether R, whose parts are held back, is sent all the same to try
   them. One that may have crashed an endpoint itself would show nothing. */
static bool
try_parts (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (beryl_quarantine_is_suspect (f->quarantine,
                                   forward_request_fingerprint (f, r))
      || !beryl_quarantine_try_parts (f->quarantine, r->params.prompt_parts,
                                      r->params.prompt_part_count, now_ms))
    return false;
  r->tries_parts = true;
  forward_request_log (f, r, "quarantine", NULL, "try", 0, now_ms);
  return true;
}

bool
crashes_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t request_ms = request_left_ms (f, r, now_ms);
  int64_t parts_ms = parts_left_ms (f, r, now_ms);

  if (request_ms == 0 && (parts_ms == 0 || try_parts (f, r, now_ms)))
    return false;
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_QUARANTINED,
                          parts_ms > request_ms ? parts_ms : request_ms,
                          now_ms);
  return true;
}

bool
crashes_is_suspect (const struct request *r, int64_t now_ms)
{
  return r->suspect
         && (r->phase != PHASE_RUNNING || now_ms - r->run_ms < SUSPECT_RUN_MS);
}

bool
crashes_suspect_at (const struct beryl_forward *f, const struct request *r,
                    const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  const struct request *other = NULL;

  if (!crashes_any_suspect (f, now_ms))
    return false;
  TAILQ_FOREACH (other, &f->requests, entry)
  {
    bool uses_endpoint
        = other->reservation.endpoint == endpoint
          || (other->primary != NULL && other->primary->endpoint == endpoint);

    if (other != r && uses_endpoint && crashes_is_suspect (other, now_ms))
      return true;
  }
  return run_table_has_suspect (&f->run_table, beryl_live_hash (endpoint),
                                now_ms);
}

static bool
has_open_run (const struct request *r)
{
  return (r->phase == PHASE_RUNNING || r->phase == PHASE_CONFIRMING
          || r->phase == PHASE_HANDED_OFF)
         && r->primary != NULL;
}

void
crashes_tick (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  beryl_quarantine_expire (f->quarantine, now_ms);
  if (now_ms < f->quarantine_check_ms)
    return;
  f->quarantine_check_ms = BERYL_NEVER_MS;
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (!has_open_run (r))
        crashes_refuse (f, r, now_ms);
    }
}
