#include "private.h"

#include <string.h>

/* Finding a place for a generation: room at a decode engine, before its
 * prompt is read. */

/* Engines that are asked for room in one round. */
#define ASKED_MAX 4
/* An engine that had no room is not asked again by this node for so long;
 * a run ends there every few hundred milliseconds. */
#define FULL_MS 60
/* What the way from a reservation to the first event takes at least; a
 * request with less time left to its objective is late already. */
#define SERVICE_MS 300
/* How long a request that cannot be in time any more waits for room. */
#define LATE_WAIT_MS 600
/* How long a caller that reads a stream already is kept waiting until the
 * stream goes on, if its route does not say when such callers leave.  Ended
 * sooner, the stream would be cut off although room may still come. */
#define RESUME_WAIT_MS 2000
/* With a smaller chance of a place in time a request is refused at once. */
#define CHANCE_LEAST 0.4
/* Lease of a reservation if the service states none. */
#define LEASE_MS 2000

static int64_t
lease_ms (const struct request *r)
{
  int64_t stated_ms = r->terms->engine.reservation_ms;

  return stated_ms > 0 ? stated_ms : LEASE_MS;
}

void
place_wait_end (struct beryl_forward *f, struct request *r)
{
  if (!r->waiting)
    return;
  r->waiting = false;
  f->waiting_count--;
  r->service->waiting--;
  f->runs_changed = true;
}

/* When R has to have a place to be in time. */
static int64_t
in_time_ms (const struct request *r)
{
  return r->facts.arrived_ms + r->route->objective_ms - SERVICE_MS;
}

/* When R is given up unless it has found a place. */
static int64_t
give_up_ms (const struct request *r)
{
  if (r->begun)
    return r->event_ms
           + (r->route->caller_idle_timeout_ms > 0
                  ? r->route->caller_idle_timeout_ms
                  : RESUME_WAIT_MS);
  if (in_time_ms (r) > r->waiting_since_ms)
    return in_time_ms (r);
  return r->waiting_since_ms + LATE_WAIT_MS;
}

static void
wait_begin (struct beryl_forward *f, struct request *r)
{
  if (r->waiting)
    return;
  r->waiting = true;
  f->waiting_count++;
  r->service->waiting++;
  f->runs_changed = true;
}

void
place_wait (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!r->waiting)
    {
      r->wait_told = NULL;
      r->waiting_since_ms = now_ms;
    }
  wait_begin (f, r);
  r->phase = PHASE_WAITING;
  r->refusals = 0;
  r->tried_count = 0;
  place_ask (f, r, now_ms);
}

static void
refuse_no_room (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_NO_ROOM,
                          backlog_retry_after_ms (f, r, now_ms), now_ms);
}

/* Whether R would most likely not get a place until it is given up: its caller
 * hears so at once, and when to come back.  Whose turn it is is left to
 * chance, so that the chance is the time left by the time that the backlog
 * takes. */
static bool
cannot_be_in_time (struct beryl_forward *f, const struct request *r,
                   int64_t now_ms)
{
  int64_t left_ms = give_up_ms (r) - now_ms;

  return !r->begun && !r->may_have_run && r->waiting_since_ms == now_ms
         && left_ms < CHANCE_LEAST * (double)backlog_wait_ms (f, r, now_ms);
}

/* Logs WHY with NUMBER there is no place, if that is new. */
static void
tell_why (struct beryl_forward *f, struct request *r, const char *why,
          int64_t number, int64_t now_ms)
{
  if (r->wait_told == NULL || strcmp (r->wait_told, why) != 0)
    forward_request_decided (f, r, "wait", NULL, why, number, now_ms);
  r->wait_told = why;
}

/* Nobody has room: sleep until the next round, or the end. */
static void
wait_round (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t end_ms = give_up_ms (r);

  if (cannot_be_in_time (f, r, now_ms))
    {
      refuse_no_room (f, r, now_ms);
      return;
    }
  r->phase = PHASE_WAITING;
  r->refusals = 0;
  r->tried_count = 0;
  r->due_ms = now_ms + ASK_AGAIN_MS;
  if (end_ms < r->due_ms)
    r->due_ms = end_ms;
}

/* A node that does not hear the others cannot foresee what they will use, and
 * asks for all that the run may need at once. */
static uint32_t
tokens_to_reserve (const struct beryl_forward *f, const struct request *r)
{
  if (f->isolated)
    return r->facts.prompt_tokens + r->expected_tokens;
  return book_reserved_tokens (r->facts.prompt_tokens, r->expected_tokens);
}

/* Requests that wait at many nodes see room at the same moment.  If all asked
 * for it, an engine would grant it several times before any node has heard of
 * the others' choices, and stop running requests for want of memory.  As many
 * ask, on the mean, as there are places. */
static bool
stands_back (struct beryl_forward *f, const struct request *r, double places,
             int64_t now_ms)
{
  double at_once
      = (double)backlog_waiting (f, r, now_ms) * NEWS_MS / ASK_AGAIN_MS;
  double chance = random_unit (&f->random);

  return at_once > places && chance * at_once > places;
}

struct exchange *
place_reserve (struct beryl_forward *f, struct request *r,
               struct beryl_live *live, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RESERVE };

  start.tokens = tokens_to_reserve (f, r);
  start.lease_ms = lease_ms (r);
  forward_request_note_tried (r, live);
  return forward_start (f, r, &start, live, now_ms);
}

void
place_ask (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *live = NULL;
  struct engine_outlook outlook = { 0 };

  if (prefill_is_behind (f, r, now_ms))
    {
      place_put_off (f, r, now_ms);
      return;
    }
  if (r->refusals < ASKED_MAX)
    live = engine_choose_decode (f, r, &outlook, now_ms);
  if (live == NULL || stands_back (f, r, outlook.places, now_ms))
    {
      tell_why (f, r,
                r->refusals > 0      ? "engines_refuse"
                : outlook.lowest > 0 ? "engines_full"
                                     : "no_engine",
                (int64_t)(100 * outlook.lowest), now_ms);
      wait_round (f, r, now_ms);
      return;
    }
  r->phase = PHASE_RESERVING;
  r->due_ms = r->timeout_ms;
  r->first = place_reserve (f, r, live, now_ms);
}

/* The queue of the prefill engines is no shorter when its time has passed: a
 * request that could be in time hears at once that it will not be.  One that
 * is late anyway waits for a gap. */
void
place_put_off (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  wait_begin (f, r);
  tell_why (f, r, "prefill_behind", engine_prefill_wait_ms (f, r, now_ms),
            now_ms);
  if (now_ms < in_time_ms (r))
    refuse_no_room (f, r, now_ms);
  else
    wait_round (f, r, now_ms);
}

void
place_look_again (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r = NULL;

  TAILQ_FOREACH (r, &f->requests, entry)
  if (r->waiting && r->phase == PHASE_WAITING && r->due_ms > now_ms)
    r->due_ms = now_ms;
}

void
place_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (now_ms < give_up_ms (r))
    place_ask (f, r, now_ms);
  else if (r->begun || r->may_have_run)
    forward_request_fail (f, r, BERYL_REFUSAL_NO_ROOM, now_ms);
  else
    refuse_no_room (f, r, now_ms);
}

void
place_take (struct beryl_forward *f, struct exchange *x,
            const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct reservation *place = &r->reservation;

  engine_learn_room (f, r, x->live, x->tokens, true, now_ms);
  rates_sent (f, r->service, x->live, now_ms);
  place->live = x->live;
  place->tokens = x->tokens;
  place->until_ms = x->started_ms + lease_ms (r);
  memcpy (place->handle, result->handle, sizeof place->handle);
  beryl_live_open (place->live);
  f->runs_changed = true;
  forward_request_decided (f, r, "reserve", x->live, "granted", x->tokens,
                           now_ms);
  forward_exchange_free (f, x);
}

void
place_granted (struct beryl_forward *f, struct exchange *x,
               const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  if (r->seeks)
    {
      seek_granted (f, x, result, now_ms);
      return;
    }
  place_wait_end (f, r);
  place_take (f, x, result, now_ms);
  generation_placed (f, r, now_ms);
}

void
place_no_answer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->seeks)
    {
      seek_refused (f, r, now_ms);
      return;
    }
  r->refusals++;
  place_ask (f, r, now_ms);
}

void
place_refused (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;

  forward_request_decided (f, r, "reserve", x->live, "full", x->tokens,
                           now_ms);
  x->live->full_until_ms = now_ms + FULL_MS;
  engine_learn_room (f, r, x->live, x->tokens, false, now_ms);
  forward_exchange_free (f, x);
  place_no_answer (f, r, now_ms);
}

void
place_clear (struct beryl_forward *f, struct reservation *place)
{
  if (place->live == NULL)
    return;
  f->runs_changed = true;
  beryl_live_close (f->lives, place->live);
  *place = (struct reservation){ 0 };
}

void
place_release (struct beryl_forward *f, struct reservation *place,
               int64_t now_ms)
{
  if (place->live != NULL && place->handle[0] != '\0'
      && now_ms < place->until_ms)
    place_give_back (f, place->live, place->handle, now_ms);
  place_clear (f, place);
}

void
place_give_back (struct beryl_forward *f, struct beryl_live *live,
                 const char *handle, int64_t now_ms)
{
  struct beryl_exchange_start start
      = { .kind = BERYL_EXCHANGE_UNRESERVE, .reservation = handle };

  /* Its next life may have given the handle to another request. */
  if (live->replaced_ms != 0)
    return;
  forward_start (f, NULL, &start, live, now_ms);
}
