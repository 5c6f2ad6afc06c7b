#include "private.h"

#include <string.h>

/* How long a stopped run's memory is kept if the service does not state it. */
#define KEPT_MS 500

void
move_clear (struct beryl_forward *f, struct request *r)
{
  if (r->move_to != NULL)
    beryl_live_close (f->lives, r->move_to);
  r->move_to = NULL;
  r->moved = false;
  r->stream_over = false;
}

void
move_start (struct beryl_forward *f, struct request *r,
            struct beryl_live *target, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_MOVE };

  r->move_to = target;
  beryl_live_open (target);
  start.run_id = r->facts.id;
  start.target = target;
  r->second = forward_start (f, r, &start, r->reservation.live, now_ms);
  forward_request_decided (f, r, "move", target, "asked",
                           (int64_t)r->event_count, now_ms);
}

/* Continues at the target engine once the source engine has both stopped the
   run and ended its stream: all events that the run produced have arrived by
   then. */
static void
move_go_on (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *target = r->move_to;

  if (!r->moved || !r->stream_over)
    return;
  place_clear (f, &r->reservation);
  r->reservation.live = target;
  r->reservation.until_ms = r->kv.until_ms;
  beryl_live_open (target);
  move_clear (f, r);
  f->runs_changed = true;
  r->same_run = true;
  generation_run (f, r, now_ms);
}

static void
keep_memory (struct beryl_forward *f, struct request *r,
             struct beryl_live *live, const char *handle, int64_t now_ms)
{
  int64_t kept_ms = r->terms->engine.kv_handle_ms;

  kv_clear (f, &r->kv);
  r->kv.live = live;
  r->kv.until_ms = now_ms + (kept_ms > 0 ? kept_ms : KEPT_MS);
  memcpy (r->kv.handle, handle, sizeof r->kv.handle);
  beryl_live_open (live);
}

/* Handles a move that did not stop the run. Its stream may have ended by
   itself, or may belong to a run that no longer exists: then WHY says what is
   known of its engine. */
static void
move_off (struct beryl_forward *f, struct request *r, const char *why,
          int64_t now_ms)
{
  if (r->stream_over)
    {
      generation_broken (f, r, BERYL_EXCHANGE_RUN, true, now_ms);
      return;
    }
  move_clear (f, r);
  r->due_ms = stream_due_ms (r);
  if (r->stalled && why != NULL)
    seek_start (f, r, why, now_ms);
}

void
move_result (struct beryl_forward *f, struct exchange *x,
             const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct beryl_live *source = x->live;
  bool stopped = result->handle[0] != '\0';

  forward_request_decided (f, r, "move", r->move_to,
                           result->ok ? "done"
                           : stopped  ? "no_room"
                                      : "not_moved",
                           result->status, now_ms);
  if (stopped)
    keep_memory (f, r, source, result->handle, now_ms);
  if (stopped && !result->ok)
    {
      /* The target engine had no memory: the run continues at the source. */
      r->move_to->full_until_ms = now_ms + KEPT_MS;
      beryl_live_close (f->lives, r->move_to);
      r->move_to = source;
      beryl_live_open (source);
    }
  r->moved = stopped;
  forward_exchange_free (f, x);
  if (stopped)
    move_go_on (f, r, now_ms);
  else
    move_off (f, r, result->not_found ? "preempted" : NULL, now_ms);
}

void
move_broken (struct beryl_forward *f, struct request *r, bool sent,
             int64_t now_ms)
{
  move_off (f, r, sent ? NULL : "engine_dead", now_ms);
}

bool
move_takes_end (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->move_to == NULL)
    return false;
  r->stream_over = true;
  move_go_on (f, r, now_ms);
  return true;
}

/* A moved run's memory can be used only at the engine that has the copy and at
   the one that stopped it; anywhere else the request would run a second
   time. */
bool
move_return (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *source = r->kv.live;

  if (source == NULL || source == r->reservation.live
      || now_ms >= r->kv.until_ms)
    {
      r->same_run = false;
      kv_clear (f, &r->kv);
      return false;
    }
  place_clear (f, &r->reservation);
  r->reservation.live = source;
  r->reservation.until_ms = r->kv.until_ms;
  beryl_live_open (source);
  generation_run (f, r, now_ms);
  return true;
}
