#include "private.h"

/* Requests that crash the endpoints which run them.  Those that broke off with
 * an endpoint go on at different ones: sent on together, they would all look
 * like the cause again, and each crash would take the others along. */

/* A suspect that has run for so long is no danger to what runs beside it. */
#define WATCH_MS 1000
/* One without a deadline is looked for so long. */
#define WATCHED_MOST_MS 60000

static void
quarantine_changed (struct beryl_quarantine_owner *owner, uint64_t fingerprint,
                    int64_t left_ms, enum beryl_quarantine_cause cause,
                    int64_t now_ms)
{
  struct beryl_forward *f
      = (struct beryl_forward *)((char *)owner
                                 - offsetof (struct beryl_forward,
                                             quarantine_owner));

  /* This may come in the middle of a request's step. */
  if (left_ms > 0)
    f->sweep_ms = now_ms;
  if (f->owner->impl->quarantined != NULL)
    f->owner->impl->quarantined (f->owner, fingerprint, left_ms, cause);
}

static const struct beryl_quarantine_owner_impl quarantine_impl
    = { .changed = quarantine_changed };

void
crashes_init (struct beryl_forward *f)
{
  f->quarantine_owner.impl = &quarantine_impl;
  f->quarantine = beryl_quarantine_create (&f->quarantine_owner);
  f->sweep_ms = BERYL_NEVER_MS;
}

struct beryl_quarantine *
beryl_forward_quarantine (struct beryl_forward *f)
{
  return f->quarantine;
}

static bool
is_dialled (const struct beryl_forward *f, const struct beryl_live *live)
{
  const struct exchange *x = NULL;

  TAILQ_FOREACH (x, &f->exchanges, entry)
  if (x->live == live && x->kind == BERYL_EXCHANGE_DIAL)
    return true;
  return false;
}

void
crashes_suspect (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t until_ms = r->timeout_ms;

  if (until_ms == BERYL_NEVER_MS)
    until_ms = now_ms + WATCHED_MOST_MS;
  r->suspect = true;
  if (until_ms > f->watch_ms)
    f->watch_ms = until_ms;
}

bool
crashes_watching (const struct beryl_forward *f, int64_t now_ms)
{
  return now_ms < f->watch_ms
         || (f->book.suspect_ms != 0
             && now_ms - f->book.suspect_ms < book_silent_ms (&f->book));
}

/* A run may also break off by itself.  Only an endpoint that has ended refuses
 * connections, and its entry stays listed for seconds. */
void
crashes_run_broke (struct beryl_forward *f, struct request *r,
                   struct beryl_live *live, int64_t now_ms)
{
  struct beryl_exchange_start dial = { .kind = BERYL_EXCHANGE_DIAL };
  uint64_t fingerprint = forward_request_fingerprint (f, r);

  if (fingerprint == 0)
    return;
  crashes_suspect (f, r, now_ms);
  beryl_quarantine_run_broken (f->quarantine, fingerprint,
                               beryl_live_hash (live), now_ms);
  if (live->replaced_ms != 0)
    crashes_ended (f, live, now_ms);
  else if (!is_dialled (f, live))
    forward_start (f, NULL, &dial, live, now_ms);
}

void
crashes_ended (struct beryl_forward *f, const struct beryl_live *live,
               int64_t now_ms)
{
  if (beryl_quarantine_endpoint_ended (f->quarantine, beryl_live_hash (live),
                                       now_ms)
      && f->owner->impl->learned != NULL)
    f->owner->impl->learned (f->owner, live, "crashed", "own call");
}

void
crashes_answered (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint64_t fingerprint = forward_request_fingerprint (f, r);

  if (fingerprint != 0)
    beryl_quarantine_run_answered (f->quarantine, fingerprint, now_ms);
}

static int64_t
left_ms (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (beryl_quarantine_count (f->quarantine) == 0)
    return 0;
  return beryl_quarantine_remaining_ms (
      f->quarantine, forward_request_fingerprint (f, r), now_ms);
}

bool
crashes_quarantined (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  return left_ms (f, r, now_ms) > 0;
}

bool
crashes_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t after_ms = left_ms (f, r, now_ms);

  if (after_ms == 0)
    return false;
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_QUARANTINED, after_ms,
                          now_ms);
  return true;
}

bool
crashes_watches (const struct request *r, int64_t now_ms)
{
  return r->suspect
         && (r->phase != PHASE_RUNNING || now_ms - r->run_ms < WATCH_MS);
}

bool
crashes_shares (const struct beryl_forward *f, const struct request *r,
                const struct beryl_live *live, int64_t now_ms)
{
  const struct request *other = NULL;

  if (!crashes_watching (f, now_ms))
    return false;
  TAILQ_FOREACH (other, &f->requests, entry)
  {
    bool is_there = other->reservation.live == live
                    || (other->first != NULL && other->first->live == live);

    if (other != r && is_there && crashes_watches (other, now_ms))
      return true;
  }
  return book_has_suspect (&f->book, beryl_live_hash (live), now_ms);
}

static bool
is_at_endpoint (const struct request *r)
{
  return r->phase == PHASE_RUNNING && r->first != NULL;
}

void
crashes_tick (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  beryl_quarantine_expire (f->quarantine, now_ms);
  if (now_ms < f->sweep_ms)
    return;
  f->sweep_ms = BERYL_NEVER_MS;
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (!is_at_endpoint (r))
        crashes_refuse (f, r, now_ms);
    }
}
