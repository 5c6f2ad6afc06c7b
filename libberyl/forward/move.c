#include "private.h"

#include <string.h>

/* How long a stopped run's memory is kept if the service does not state it. */
#define DEFAULT_KV_HANDLE_MS 500
/* How long a target engine that had no memory for a moved run is not asked. */
#define TARGET_BACKOFF_MS 500

void
move_clear (struct beryl_forward *f, struct request *r)
{
  if (r->move_target != NULL)
    beryl_live_close (f->endpoints, r->move_target);
  r->move_target = NULL;
  r->move_stopped = false;
  r->stream_ended = false;
}

void
move_start (struct beryl_forward *f, struct request *r,
            struct beryl_live_endpoint *target, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_MOVE };

  r->move_target = target;
  r->primary->may_be_stopped = true;
  beryl_live_open (target);
  start.run_id = r->params.id;
  start.target = target;
  r->secondary
      = forward_exchange_start (f, r, &start, r->reservation.endpoint, now_ms);
  forward_request_log (f, r, "move", target, "asked", (int64_t)r->event_count,
                       now_ms);
}

/* Continues at the target engine once the source engine has both stopped the
   run and ended its stream: all events that the run produced have arrived by
   then. */
static void
move_continue (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *target = r->move_target;

  if (!r->move_stopped || !r->stream_ended)
    return;
  reservation_clear (f, &r->reservation);
  r->reservation.endpoint = target;
  r->reservation.expires_ms = r->kv.expires_ms;
  beryl_live_open (target);
  move_clear (f, r);
  f->report_due = true;
  r->continues_run = true;
  generation_run (f, r, now_ms);
}

static void
keep_kv_cache (struct beryl_forward *f, struct request *r,
               struct beryl_live_endpoint *endpoint, const char *handle,
               int64_t now_ms)
{
  int64_t stated_ms = r->config->engine.kv_handle_ms;

  kv_clear (f, &r->kv);
  r->kv.endpoint = endpoint;
  r->kv.expires_ms
      = now_ms + (stated_ms > 0 ? stated_ms : DEFAULT_KV_HANDLE_MS);
  memcpy (r->kv.handle, handle, sizeof r->kv.handle);
  beryl_live_open (endpoint);
}

/* Handles a move that did not stop the run. If its stream has ended meanwhile,
   the run has failed. If WHY is given, the engine no longer runs it or is
   dead; a stalled stream is then continued at another engine. WHY is NULL if
   nothing is known. */
static void
move_abandon (struct beryl_forward *f, struct request *r, const char *why,
              int64_t now_ms)
{
  if (r->stream_ended)
    {
      generation_exchange_failed (f, r, BERYL_EXCHANGE_RUN, true, now_ms);
      return;
    }
  move_clear (f, r);
  repeats_release (r);
  r->timer_ms = stream_timer_ms (r);
  if (r->stalled && why != NULL)
    relocate_start (f, r, why, now_ms);
}

void
move_result (struct beryl_forward *f, struct exchange *x,
             const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct beryl_live_endpoint *source = x->endpoint;
  bool stopped = result->handle[0] != '\0';

  forward_request_log (f, r, "move", r->move_target,
                       result->ok ? "done"
                       : stopped  ? "no_room"
                                  : "not_moved",
                       result->status, now_ms);
  if (stopped)
    keep_kv_cache (f, r, source, result->handle, now_ms);
  if (stopped && !result->ok)
    {
      /* The target engine had no memory: the run continues at the source, and
         the target is not asked for a while. */
      r->move_target->full_until_ms = now_ms + TARGET_BACKOFF_MS;
      beryl_live_close (f->endpoints, r->move_target);
      r->move_target = source;
      beryl_live_open (source);
    }
  r->move_stopped = stopped;
  if (result->refused && r->primary != NULL)
    r->primary->may_be_stopped = false;
  forward_exchange_free (f, x);
  if (stopped)
    move_continue (f, r, now_ms);
  else
    move_abandon (f, r, result->not_found ? "preempted" : NULL, now_ms);
}

void
move_failed (struct beryl_forward *f, struct request *r, bool sent,
             int64_t now_ms)
{
  move_abandon (f, r, sent ? NULL : "engine_dead", now_ms);
}

bool
move_stream_ended (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->move_target == NULL)
    return false;
  r->stream_ended = true;
  move_continue (f, r, now_ms);
  return true;
}

/* Returns whether a repeat is set aside for the case that SOURCE does not take
   R's run back, or none is needed. */
static bool
may_go_back (struct beryl_forward *f, struct request *r,
             const struct beryl_live_endpoint *source, int64_t now_ms)
{
  return beryl_live_accepts_work (source)
             ? repeats_hold (f, r, now_ms)
             : repeats_hold_to_leave (f, r, now_ms);
}

/* A moved run's memory can be used only at the engine that has the copy and at
   the one that stopped it; anywhere else the request would run a second
   time. */
bool
move_back (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *source = r->kv.endpoint;

  if (source == NULL || source == r->reservation.endpoint
      || now_ms >= r->kv.expires_ms || !may_go_back (f, r, source, now_ms))
    {
      r->continues_run = false;
      repeats_release (r);
      kv_clear (f, &r->kv);
      return false;
    }
  reservation_clear (f, &r->reservation);
  r->reservation.endpoint = source;
  r->reservation.expires_ms = r->kv.expires_ms;
  beryl_live_open (source);
  generation_run (f, r, now_ms);
  return true;
}
