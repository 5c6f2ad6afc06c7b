#include "private.h"

/* Finds another engine for a stream whose engine has preempted it or has
   stopped responding, while the run is still open there. An engine that
   preempted a run for lack of memory prefills it again and continues once
   memory is free. If the run were given up before another engine had granted a
   reservation, the stream would have neither and, with all engines full, end
   incomplete although its caller waits. */

/* A reservation call without an answer after this time is abandoned. */
#define ASK_TIMEOUT_MS 500
/* Engines that are asked in one round. */
#define SEEK_ASKED_MAX 4

static struct exchange *
open_question (const struct request *r)
{
  if (r->second != NULL && r->second->kind == BERYL_EXCHANGE_RESERVE)
    return r->second;
  if (r->first != NULL && r->first->kind == BERYL_EXCHANGE_RESERVE)
    return r->first;
  return NULL;
}

void
seek_end (struct beryl_forward *f, struct request *r)
{
  struct exchange *x = open_question (r);

  if (!r->seeks)
    return;
  r->seeks = false;
  r->refusals = 0;
  r->tried_count = 0;
  if (x != NULL)
    forward_exchange_disown (f, r, x);
}

static void
next_round (struct request *r, int64_t now_ms)
{
  r->refusals = 0;
  r->tried_count = 0;
  r->due_ms = now_ms + ASK_AGAIN_MS;
}

static void
ask (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *live = NULL;
  struct engine_outlook outlook = { 0 };

  if (r->tried_count == 0)
    forward_request_note_tried (r, r->reservation.live);
  if (r->refusals < SEEK_ASKED_MAX && stream_may_go_on (f, r, now_ms))
    live = engine_choose_decode (f, r, &outlook, now_ms);
  if (live == NULL)
    {
      next_round (r, now_ms);
      return;
    }
  r->second = place_reserve (f, r, live, now_ms);
  r->due_ms = now_ms + ASK_TIMEOUT_MS;
}

void
seek_start (struct beryl_forward *f, struct request *r, const char *why,
            int64_t now_ms)
{
  if (r->seeks || !r->route->resumable)
    return;
  forward_request_decided (f, r, "stall", r->first->live, why,
                           now_ms - r->event_ms, now_ms);
  r->seeks = true;
  r->refusals = 0;
  r->tried_count = 0;
  ask (f, r, now_ms);
}

void
seek_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct exchange *x = open_question (r);

  if (x != NULL && now_ms - x->started_ms < ASK_TIMEOUT_MS)
    {
      r->due_ms = x->started_ms + ASK_TIMEOUT_MS;
      return;
    }
  if (x != NULL)
    forward_exchange_disown (f, r, x);
  ask (f, r, now_ms);
}

void
seek_refused (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  r->refusals++;
  ask (f, r, now_ms);
}

/* Other streams may have used up the repeats since R asked. If R gave up its
   run now, it could continue neither at the other engine nor at its own, so it
   stays. */
static void
stay (struct beryl_forward *f, struct exchange *x,
      const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  forward_request_decided (f, r, "stall", r->first->live, "no_repeats", 0,
                           now_ms);
  place_give_back (f, x->live, result->handle, now_ms);
  forward_exchange_free (f, x);
  next_round (r, now_ms);
}

/* The old engine's stream is closed before the request continues elsewhere, so
   that it never runs at two engines. */
void
seek_granted (struct beryl_forward *f, struct exchange *x,
              const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct exchange *old = r->first;

  if (!stream_may_go_on (f, r, now_ms))
    {
      stay (f, x, result, now_ms);
      return;
    }
  r->seeks = false;
  if (!old->headed)
    forward_request_count_run (r);
  forward_exchange_abort (f, old);
  event_splitter_reset (&r->events);
  r->same_run = false;
  generation_run_over (f, r);
  kv_clear (f, &r->kv);
  place_take (f, x, result, now_ms);
  generation_placed (f, r, now_ms);
}
