#include "private.h"

/* Finds another engine for a stream whose engine has preempted it or has
   stopped responding, while the run is still open there. An engine that
   preempted a run for lack of memory prefills it again and continues once
   memory is free. If the run were given up before another engine has granted a
   reservation, and all others were full, the stream would have no engine left
   and would end incomplete. */

/* A reservation call without an answer after this time is abandoned. */
#define RESERVE_TIMEOUT_MS 500
/* Engines that are asked in one round. */
#define ASKS_PER_ROUND 4

/* Returns R's open reservation call, or NULL. It is the primary exchange if
   the run's exchange has just ended. */
static struct exchange *
pending_reservation (const struct request *r)
{
  if (r->secondary != NULL && r->secondary->kind == BERYL_EXCHANGE_RESERVE)
    return r->secondary;
  if (r->primary != NULL && r->primary->kind == BERYL_EXCHANGE_RESERVE)
    return r->primary;
  return NULL;
}

void
relocate_end (struct beryl_forward *f, struct request *r)
{
  struct exchange *x = pending_reservation (r);

  if (!r->relocating)
    return;
  r->relocating = false;
  r->failed_asks = 0;
  r->tried_count = 0;
  if (x != NULL)
    forward_exchange_detach (f, r, x);
}

static void
next_round (struct request *r, int64_t now_ms)
{
  r->failed_asks = 0;
  r->tried_count = 0;
  r->timer_ms = now_ms + ASK_INTERVAL_MS;
}

static void
ask (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = NULL;
  struct engine_capacity capacity = { 0 };

  if (r->tried_count == 0)
    forward_request_mark_tried (r, r->reservation.endpoint);
  if (r->failed_asks < ASKS_PER_ROUND && stream_may_relocate (f, r, now_ms))
    endpoint = engine_choose_decode (f, r, &capacity, now_ms);
  if (endpoint == NULL)
    {
      next_round (r, now_ms);
      return;
    }
  r->secondary = placement_reserve (f, r, endpoint, now_ms);
  r->timer_ms = now_ms + RESERVE_TIMEOUT_MS;
}

void
relocate_start (struct beryl_forward *f, struct request *r, const char *why,
                int64_t now_ms)
{
  if (r->relocating || !r->route->resumable)
    return;
  forward_request_log (f, r, "stall", r->primary->endpoint, why,
                       now_ms - r->last_event_ms, now_ms);
  r->relocating = true;
  r->failed_asks = 0;
  r->tried_count = 0;
  ask (f, r, now_ms);
}

void
relocate_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct exchange *x = pending_reservation (r);

  if (x != NULL && now_ms - x->started_ms < RESERVE_TIMEOUT_MS)
    {
      r->timer_ms = x->started_ms + RESERVE_TIMEOUT_MS;
      return;
    }
  if (x != NULL)
    forward_exchange_detach (f, r, x);
  ask (f, r, now_ms);
}

void
relocate_refused (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  r->failed_asks++;
  ask (f, r, now_ms);
}

/* R may no longer be sent again (stream_may_relocate): most often other
   streams have used up the repeats since R asked. The log always says
   "no_repeats", also if R has been quarantined or has run at as many endpoints
   as its route allows. If R gave up its run now, it could continue neither at
   the other engine nor at its own, so it stays. */
static void
decline (struct beryl_forward *f, struct exchange *x,
         const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  forward_request_log (f, r, "stall", r->primary->endpoint, "no_repeats", 0,
                       now_ms);
  reservation_cancel (f, x->endpoint, result->handle, now_ms);
  forward_exchange_free (f, x);
  next_round (r, now_ms);
}

/* The old engine's stream is closed before the request continues elsewhere, so
   that it never runs at two engines. */
void
relocate_granted (struct beryl_forward *f, struct exchange *x,
                  const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct exchange *old = r->primary;

  if (!stream_may_relocate (f, r, now_ms))
    {
      decline (f, x, result, now_ms);
      return;
    }
  r->relocating = false;
  if (!old->has_head)
    forward_request_record_lost_run (f, r, now_ms);
  forward_exchange_abort (f, old);
  r->continues_run = false;
  generation_run_ended (f, r);
  kv_clear (f, &r->kv);
  placement_accept (f, x, result, now_ms);
  generation_reserved (f, r, now_ms);
}
