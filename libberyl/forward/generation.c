#include "private.h"

#include <string.h>

/* A request without a place asks again after so long; much shorter and the
 * engines answer little else, much longer and freed memory stands empty. */
#define ASK_AGAIN_MS 120
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
#define RETRY_AFTER_MS 2000
/* Lease of a reservation if the service states none. */
#define LEASE_MS 2000
/* A prefill that takes so many times its usual time is given up. */
#define KV_HANDLE_MS 500

static void reserve (struct beryl_forward *f, struct request *r,
                     int64_t now_ms);

/* What is asked for at once.  The run grows beyond it as memory is foreseen
 * to be there; the lease only keeps a second node from taking the same room
 * in the moment between. */
static uint32_t
tokens_needed (const struct request *r)
{
  return book_reserved_tokens (r->facts.prompt_tokens, r->expected_tokens);
}

static void
wait_end (struct beryl_forward *f, struct request *r)
{
  if (!r->waiting)
    return;
  r->waiting = false;
  f->waiting_count--;
  TAILQ_REMOVE (&f->waiting, r, waiting_entry);
}

/* When R is refused unless it has found a place. */
static int64_t
give_up_ms (const struct request *r)
{
  int64_t in_time_ms
      = r->facts.arrived_ms + r->route->objective_ms - SERVICE_MS;
  int64_t late_ms = r->waiting_since_ms + LATE_WAIT_MS;

  return in_time_ms > r->waiting_since_ms ? in_time_ms : late_ms;
}

static void
wait_begin (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->waiting)
    return;
  r->phase = PHASE_WAITING;
  r->waiting = true;
  r->waiting_since_ms = now_ms;
  r->refusals = 0;
  r->tried_count = 0;
  r->due_ms = now_ms;
  f->waiting_count++;
  TAILQ_INSERT_TAIL (&f->waiting, r, waiting_entry);
}

void
generation_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  r->expected_tokens
      = length_model_median (&r->service->lengths, r->facts.output_tokens_hint,
                             r->facts.output_tokens_max);
  wait_begin (f, r, now_ms);
  reserve (f, r, now_ms);
}

void
place_clear (struct beryl_forward *f, struct reservation *place)
{
  if (place->live == NULL)
    return;
  f->runs_changed = true;
  place->live->reserved_tokens -= place->tokens;
  beryl_live_close (f->lives, place->live);
  *place = (struct reservation){ 0 };
}

void
kv_clear (struct beryl_forward *f, struct kv_cache *kv)
{
  if (kv->live == NULL)
    return;
  beryl_live_close (f->lives, kv->live);
  *kv = (struct kv_cache){ 0 };
}

static void
unreserve (struct beryl_forward *f, struct beryl_live *live,
           const char *handle, int64_t now_ms)
{
  struct beryl_exchange_start start
      = { .kind = BERYL_EXCHANGE_UNRESERVE, .reservation = handle };

  forward_start (f, NULL, &start, live, now_ms);
}

void
generation_release (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start drop = { .kind = BERYL_EXCHANGE_DROP_KV };

  move_clear (f, r);
  if (r->reservation.live != NULL && r->reservation.handle[0] != '\0'
      && now_ms < r->reservation.until_ms)
    unreserve (f, r->reservation.live, r->reservation.handle, now_ms);
  place_clear (f, &r->reservation);
  if (r->kv.live != NULL && now_ms < r->kv.until_ms)
    {
      drop.kv_handle = r->kv.handle;
      forward_start (f, NULL, &drop, r->kv.live, now_ms);
    }
  kv_clear (f, &r->kv);
}

/* Starts one exchange of R with LIVE. */
static void
engine_start (struct beryl_forward *f, struct request *r,
              struct beryl_exchange_start *start, struct beryl_live *live,
              int64_t now_ms)
{
  start->resumes = r->event_count > 0;
  start->last_event = r->last_event;
  r->first = forward_start (f, r, start, live, now_ms);
}

static void
reserve (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RESERVE };
  struct beryl_live *live;

  start.tokens = tokens_needed (r);
  start.lease_ms = r->terms->engine.reservation_ms > 0
                       ? r->terms->engine.reservation_ms
                       : LEASE_MS;
  live = r->refusals < ASKED_MAX ? engine_choose_decode (f, r, now_ms) : NULL;
  if (live == NULL)
    {
      r->phase = PHASE_WAITING;
      r->phase = PHASE_WAITING;
      r->refusals = 0;
      r->tried_count = 0;
      r->due_ms = now_ms + ASK_AGAIN_MS;
      if (give_up_ms (r) < r->due_ms)
        r->due_ms = give_up_ms (r);
      return;
    }
  request_note_tried (r, live);
  r->phase = PHASE_RESERVING;
  r->due_ms = r->timeout_ms;
  engine_start (f, r, &start, live, now_ms);
}

/* A stream without an event for that long has stalled: its engine is dead, or
 * has stopped the run for want of memory. */
#define STALL_MS 250
/* A stalled stream goes on elsewhere after so long.  An engine that stopped
 * the run needs a few hundred milliseconds to read its prompt again; beyond
 * that it is taken for dead. */
#define DEAD_MS 1000

/* When R's stream is to be looked at again. */
static int64_t
stream_due_ms (const struct request *r)
{
  int64_t due_ms = r->event_ms + (r->stalled ? DEAD_MS : STALL_MS);

  return due_ms < r->timeout_ms ? due_ms : r->timeout_ms;
}

void
generation_run (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN };
  struct beryl_live *live = r->reservation.live;

  if (r->reservation.handle[0] != '\0')
    start.reservation = r->reservation.handle;
  if (r->kv.live != NULL)
    {
      start.kv_handle = r->kv.handle;
      start.kv_address = r->kv.live->info.address;
      start.kv_port = r->kv.live->info.port;
    }
  r->phase = PHASE_RUNNING;
  r->sends++;
  r->event_ms = now_ms;
  r->stalled = false;
  r->due_ms = stream_due_ms (r);
  engine_start (f, r, &start, live, now_ms);
  request_decided (f, r, "decode", live,
                   r->kv.live != NULL ? "kv_taken" : "alone",
                   r->reservation.tokens, now_ms);
  /* The engine takes both; the reserved memory is now the run's. */
  r->reservation.handle[0] = '\0';
  kv_clear (f, &r->kv);
}

static void
prefill (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_PREFILL };
  struct beryl_live *live = engine_choose_prefill (f, r, now_ms);

  if (live == NULL)
    {
      generation_run (f, r, now_ms);
      return;
    }
  r->phase = PHASE_PREFILLING;
  r->due_ms = r->reservation.until_ms;
  start.tokens = r->facts.prompt_tokens;
  engine_start (f, r, &start, live, now_ms);
  request_decided (f, r, "prefill", live, "sent", start.tokens, now_ms);
}

static void
reserved (struct beryl_forward *f, struct request *r, struct exchange *x,
          const struct beryl_engine_result *result, int64_t now_ms)
{
  struct reservation *place = &r->reservation;

  wait_end (f, r);
  place->live = x->live;
  place->tokens = x->tokens;
  place->until_ms = x->started_ms
                    + (r->terms->engine.reservation_ms > 0
                           ? r->terms->engine.reservation_ms
                           : LEASE_MS);
  memcpy (place->handle, result->handle, sizeof place->handle);
  place->live->reserved_tokens += place->tokens;
  f->runs_changed = true;
  beryl_live_open (place->live);
  request_decided (f, r, "reserve", x->live, "granted", x->tokens, now_ms);
  forward_exchange_free (f, x);
  if (r->kv.live != NULL && now_ms < r->kv.until_ms)
    generation_run (f, r, now_ms);
  else
    prefill (f, r, now_ms);
}

static void
not_reserved (struct beryl_forward *f, struct request *r, struct exchange *x,
              int64_t now_ms)
{
  request_decided (f, r, "reserve", x->live, "full", x->tokens, now_ms);
  x->live->full_until_ms = now_ms + FULL_MS;
  forward_exchange_free (f, x);
  r->refusals++;
  reserve (f, r, now_ms);
}

static void
prefilled (struct beryl_forward *f, struct request *r, struct exchange *x,
           const struct beryl_engine_result *result, int64_t now_ms)
{
  int64_t lives_ms = r->terms->engine.kv_handle_ms > 0
                         ? r->terms->engine.kv_handle_ms
                         : KV_HANDLE_MS;

  r->kv.live = x->live;
  r->kv.until_ms = now_ms + lives_ms;
  memcpy (r->kv.handle, result->handle, sizeof r->kv.handle);
  beryl_live_open (x->live);
  request_decided (f, r, "prefill", x->live, "done", now_ms - x->started_ms,
                   now_ms);
  beryl_live_learn (x->live, BERYL_LIVE_ANSWERED, now_ms - x->started_ms,
                    now_ms);
  forward_exchange_free (f, x);
  generation_run (f, r, now_ms);
}

/* Begins anew after something did not work out. */
static void
start_over (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  generation_release (f, r, now_ms);
  if (now_ms >= r->timeout_ms || !request_take_repeat (f, r, now_ms))
    {
      request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  wait_begin (f, r, now_ms);
  reserve (f, r, now_ms);
}

void
generation_result (struct beryl_forward *f, struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  if (r == NULL)
    {
      if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
        unreserve (f, x->live, result->handle, now_ms);
      forward_exchange_free (f, x);
      return;
    }
  if (x->kind == BERYL_EXCHANGE_MOVE)
    move_result (f, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
    reserved (f, r, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE)
    not_reserved (f, r, x, now_ms);
  else if (result->ok)
    prefilled (f, r, x, result, now_ms);
  else
    {
      request_decided (f, r, "prefill", x->live, "refused", 0, now_ms);
      forward_exchange_free (f, x);
      start_over (f, r, now_ms);
    }
}

void
generation_broken (struct beryl_forward *f, struct request *r,
                   enum beryl_exchange_kind kind, bool sent, int64_t now_ms)
{
  if (kind == BERYL_EXCHANGE_MOVE)
    {
      move_broken (f, r, now_ms);
      return;
    }
  if (kind == BERYL_EXCHANGE_RESERVE)
    {
      r->refusals++;
      reserve (f, r, now_ms);
      return;
    }
  if (kind == BERYL_EXCHANGE_RUN)
    generation_run_over (f, r);
  if (kind == BERYL_EXCHANGE_RUN && sent
      && (!r->route->resumable || r->endpoints_run >= r->route->endpoints_max))
    request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    start_over (f, r, now_ms);
}

void
generation_not_run (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  generation_run_over (f, r);
  start_over (f, r, now_ms);
}

void
generation_run_over (struct beryl_forward *f, struct request *r)
{
  if (r->reservation.live != NULL)
    r->reservation.live->full_until_ms = 0;
  move_clear (f, r);
  place_clear (f, &r->reservation);
}

void
generation_learn (struct beryl_forward *f, const struct request *r,
                  int64_t now_ms)
{
  uint32_t event_tokens = r->terms->engine.event_tokens;
  uint32_t tokens = (uint32_t)r->event_count * event_tokens;
  int64_t took_ms = r->event_ms - r->first_event_ms;

  if (r->event_count < 2 || event_tokens == 0)
    return;
  /* The pace is that of the events after the first. */
  length_model_learn (
      &r->service->lengths, r->facts.output_tokens_hint, tokens,
      took_ms * (int64_t)r->event_count / (int64_t)(r->event_count - 1));
}

static void
stream_stalled (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct book_curve curve;

  r->stalled = true;
  engine_curve (f, r->service, r->first->live, now_ms, &curve);
  request_decided (f, r, "stall", r->first->live, "waits",
                   (int64_t)curve.tokens[0], now_ms);
}

static void
stream_dead (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  request_decided (f, r, "stall", r->first->live, "given_up",
                   now_ms - r->event_ms, now_ms);
  beryl_live_learn (r->first->live, BERYL_LIVE_SILENT, now_ms - r->event_ms,
                    now_ms);
  forward_exchange_abort (f, r->first);
  r->may_have_run = true;
  event_splitter_reset (&r->events);
  generation_broken (f, r, BERYL_EXCHANGE_RUN, true, now_ms);
}

static void
stream_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  r->due_ms = r->timeout_ms;
  if (r->first == NULL || r->move_to != NULL || r->caller_slow)
    return;
  if (now_ms - r->event_ms >= STALL_MS && !r->stalled)
    stream_stalled (f, r, now_ms);
  if (now_ms - r->event_ms >= DEAD_MS && r->route->resumable
      && r->endpoints_run < r->route->endpoints_max)
    {
      stream_dead (f, r, now_ms);
      return;
    }
  if (now_ms - r->event_ms < DEAD_MS)
    r->due_ms = stream_due_ms (r);
}

void
generation_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->phase == PHASE_RUNNING)
    {
      stream_due (f, r, now_ms);
      return;
    }
  if (r->phase != PHASE_WAITING)
    {
      r->due_ms = r->timeout_ms;
      return;
    }
  if (now_ms >= give_up_ms (r))
    request_refuse (f, r, 503, BERYL_REFUSAL_NO_ROOM, RETRY_AFTER_MS, now_ms);
  else
    reserve (f, r, now_ms);
}

/* Memory is looked at so often; in the time two looks and a move take, an
 * engine's runs grow by some hundredths of its memory. */
#define BALANCE_MS 100
/* How far ahead an engine must have room. */
#define AHEAD_MS BOOK_STEP_MS
/* Part of an engine's memory that counts as run out: what is foreseen lags
 * behind what the other nodes just began. */
#define FULL_PART 0.96

/* Whether R's run may be moved at all. */
static bool
may_move (const struct request *r)
{
  return r->phase == PHASE_RUNNING && r->reservation.live != NULL
         && r->move_to == NULL && r->event_count > 0 && r->first != NULL
         && r->first->headed && r->terms->engine.moves;
}

static void
balance_one (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct book_curve curve;
  struct beryl_live *target;
  double peak;

  engine_curve (f, r->service, r->reservation.live, now_ms, &curve);
  peak = book_peak (&curve, AHEAD_MS);
  if (peak < FULL_PART * (double)r->terms->engine.kv_tokens
      || !engine_newest (f, r, now_ms))
    return;
  target = engine_choose_target (f, r, now_ms);
  if (target != NULL)
    move_start (f, r, target, now_ms);
  else
    request_decided (f, r, "move", r->reservation.live, "no_target",
                     (int64_t)peak, now_ms);
}

/* An engine that runs out of memory stops its newest run in the middle of its
 * stream and reads everything again later: hundreds of milliseconds of engine
 * time and a pause that makes the answer late.  Moving that run to an engine
 * with room takes about ten, since links carry gigabytes in milliseconds.
 * Each node looks only at its own runs and moves one if it is the newest
 * there; nodes need not agree. */
void
generation_balance (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  if (now_ms < f->balance_ms)
    return;
  f->balance_ms = now_ms + BALANCE_MS;
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (may_move (r))
        balance_one (f, r, now_ms);
    }
}

void
generation_pump (struct beryl_forward *f, int64_t now_ms)
{
}
