#include "private.h"

#include <math.h>
#include <string.h>

/* An engine that rejects a run for which it has granted a reservation is
 * changing its stage or stopping; it is not asked for so long. */
#define REJECTED_MS 1000
/* A KV cache with less time left is not worth a try. */
#define KV_LEFT_MS 50
/* An engine may be handed one KV cache so often: the second time after the
 * first engine rejected the run, for which the cache may be the reason. */
#define KV_TRIES_MAX 2
/* Weight of the newest request in what is known of all, once so many were seen
 * that it is more than their mean's. */
#define MIX_WEIGHT 0.05

/* What requests ask for is known when they arrive.  Of the runs that have
 * ended in the first seconds, or after a shift to longer ones, the short ones
 * are too many: by them too few engines would be left for decode, and by an
 * assumed length too few for prefill. */
static void
note_mix (struct service *s, const struct request *r)
{
  double output = length_model_mean (&s->lengths, r->facts.output_tokens_hint,
                                     r->facts.output_tokens_max);
  double weight;

  s->seen++;
  weight = fmax (MIX_WEIGHT, 1.0 / s->seen);
  s->prompt_tokens
      += weight * ((double)r->facts.prompt_tokens - s->prompt_tokens);
  s->output_tokens += weight * (output - s->output_tokens);
}

void
generation_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct service *s = r->service;

  note_mix (s, r);
  r->warm_engine = prompts_engine (&f->prompts, r->facts.prompt_key, now_ms);
  /* Its caller is here: the run that a node told of before has ended. */
  if (r->warm_engine != 0)
    book_drop_prompt (&f->book, r->facts.prompt_key);
  r->expected_tokens = length_model_median (
      &s->lengths, r->facts.output_tokens_hint, r->facts.output_tokens_max);
  place_wait (f, r, now_ms);
}

void
kv_clear (struct beryl_forward *f, struct kv_cache *kv)
{
  if (kv->live == NULL)
    return;
  beryl_live_close (f->lives, kv->live);
  *kv = (struct kv_cache){ 0 };
}

static bool
kv_usable (const struct request *r, int64_t now_ms)
{
  return r->kv.live != NULL && r->kv.live->replaced_ms == 0
         && r->kv.tries < KV_TRIES_MAX && now_ms + KV_LEFT_MS < r->kv.until_ms;
}

void
generation_release (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start drop
      = { .kind = BERYL_EXCHANGE_DROP_KV, .kv_handle = r->kv.handle };

  move_clear (f, r);
  place_release (f, &r->reservation, now_ms);
  if (r->kv.live != NULL && r->kv.live->replaced_ms == 0
      && now_ms < r->kv.until_ms)
    forward_start (f, NULL, &drop, r->kv.live, now_ms);
  kv_clear (f, &r->kv);
}

void
generation_exchange (struct beryl_forward *f, struct request *r,
                     struct beryl_exchange_start *start,
                     struct beryl_live *live, int64_t now_ms)
{
  start->resumes = r->event_count > 0;
  start->last_event = r->last_event;
  r->first = forward_start (f, r, start, live, now_ms);
}

/* The first run of a request is its one arrival at the service; a run that
 * was moved is the same run.  All others are repeats. */
static bool
run_allowed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  bool paid = r->run_paid;

  r->run_paid = false;
  return r->runs == 0 || r->same_run || paid
         || forward_request_take_repeat (f, r, now_ms);
}

/* Reading a prompt, or a move, may take longer than an engine that leaves may
 * get work: it would reach an engine that stops any moment.  Only a run that
 * was stopped there may go back in time, since nobody else has its memory. */
static bool
engine_has_left (const struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  const struct beryl_live *live = r->reservation.live;

  if (r->same_run)
    return !beryl_live_set_allows_bound_work (f->lives, live, now_ms);
  return !beryl_live_accepts_work (live);
}

/* The engine with R's place does not run it. */
static void
place_lost (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  seek_end (f, r);
  if (r->same_run && move_return (f, r, now_ms))
    return;
  move_clear (f, r);
  place_release (f, &r->reservation, now_ms);
  generation_start_over (f, r, now_ms);
}

void
generation_run (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN };
  struct beryl_live *live = r->reservation.live;

  if (engine_has_left (f, r, now_ms))
    {
      forward_request_decided (f, r, "decode", live, "left", 0, now_ms);
      place_lost (f, r, now_ms);
      return;
    }
  if (!run_allowed (f, r, now_ms))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  if (r->reservation.handle[0] != '\0')
    start.reservation = r->reservation.handle;
  if (r->kv.live != NULL)
    {
      start.kv_handle = r->kv.handle;
      start.kv_address = r->kv.live->info.address;
      start.kv_port = r->kv.live->info.port;
      r->kv.tries++;
    }
  r->phase = PHASE_RUNNING;
  r->runs++;
  r->event_ms = now_ms;
  r->run_ms = now_ms;
  r->run_events = 0;
  r->stalled = false;
  f->runs_changed = true;
  r->due_ms = stream_due_ms (r);
  generation_exchange (f, r, &start, live, now_ms);
  forward_request_decided (f, r, "decode", live,
                           r->kv.live != NULL             ? "kv_taken"
                           : engine_is_warm_for (r, live) ? "warm"
                                                          : "alone",
                           r->reservation.tokens, now_ms);
  r->warm_engine = 0;
  /* The reserved memory is now the run's. */
  r->reservation.handle[0] = '\0';
}

void
generation_placed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (kv_usable (r, now_ms) || prefill_is_needless (f, r, now_ms))
    generation_run (f, r, now_ms);
  else
    prefill_start (f, r, now_ms);
}

/* Whether R may be sent to one more engine, by what has happened to it. */
static bool
may_run_again (const struct request *r)
{
  if (!r->may_have_run)
    return true;
  return r->route->resumable && r->endpoints_run < r->route->endpoints_max;
}

/* Begins anew after something did not work out; what KV cache there is may
 * still serve. */
void
generation_start_over (struct beryl_forward *f, struct request *r,
                       int64_t now_ms)
{
  if (!kv_usable (r, now_ms))
    generation_release (f, r, now_ms);
  if (now_ms >= r->timeout_ms)
    forward_request_fail (f, r, BERYL_REFUSAL_DEADLINE, now_ms);
  else if (!may_run_again (r))
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else if (!crashes_refuse (f, r, now_ms))
    place_wait (f, r, now_ms);
}

/* The list of endpoints shows a change of stage late, and a node that is cut
 * off from it not at all; the engine itself knows. */
void
generation_learn_stage (struct beryl_live *live)
{
  live->info.stage = live->info.stage == BERYL_STAGE_PREFILL
                         ? BERYL_STAGE_DECODE
                         : BERYL_STAGE_PREFILL;
}

void
generation_rejected (struct beryl_live *live, int64_t now_ms)
{
  live->full_until_ms = now_ms + REJECTED_MS;
}

void
generation_result (struct beryl_forward *f, struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  if (result->misdirected)
    news_replaced (f, x->live, now_ms);
  if (x->kind == BERYL_EXCHANGE_RESERVE && r != NULL)
    call_times_learn (&r->service->calls, now_ms - x->started_ms);
  if (x->kind == BERYL_EXCHANGE_PREFILL)
    rates_heard (f, x, &result->limit, result->ok, now_ms);
  if (r == NULL)
    {
      if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
        place_give_back (f, x->live, result->handle, now_ms);
      forward_exchange_free (f, x);
    }
  else if (x->kind == BERYL_EXCHANGE_MOVE)
    move_result (f, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
    place_granted (f, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE)
    place_refused (f, x, now_ms);
  else if (result->ok)
    prefill_done (f, r, x, result, now_ms);
  else
    prefill_refused (f, r, x, result, now_ms);
}

static void
run_broken (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  seek_end (f, r);
  r->same_run = false;
  generation_run_over (f, r);
  kv_clear (f, &r->kv);
  generation_start_over (f, r, now_ms);
}

void
generation_broken (struct beryl_forward *f, struct request *r,
                   enum beryl_exchange_kind kind, bool sent, int64_t now_ms)
{
  switch (kind)
    {
    case BERYL_EXCHANGE_MOVE:
      move_broken (f, r, sent, now_ms);
      return;
    case BERYL_EXCHANGE_RESERVE:
      place_no_answer (f, r, now_ms);
      return;
    case BERYL_EXCHANGE_RUN:
      run_broken (f, r, now_ms);
      return;
    default:
      /* A prefill whose answer is lost may have been accepted; the next one
         counts as a repeat then. */
      r->prefilled = r->prefilled || sent;
      generation_start_over (f, r, now_ms);
    }
}

/* A rejected run may be its decode engine's doing or that of the KV cache,
 * which was gone.  A second engine that rejects the same cache decides it. */
static void
blame (struct request *r, int64_t now_ms)
{
  struct beryl_live *engine = r->reservation.live;

  if (r->kv.live != NULL && r->kv.tries >= KV_TRIES_MAX)
    engine = r->kv.live;
  if (engine != NULL)
    generation_rejected (engine, now_ms);
}

void
generation_not_run (struct beryl_forward *f, struct request *r,
                    bool wrong_stage, int64_t now_ms)
{
  if (wrong_stage && r->reservation.live != NULL)
    generation_learn_stage (r->reservation.live);
  blame (r, now_ms);
  place_lost (f, r, now_ms);
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
generation_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  switch (r->phase)
    {
    case PHASE_WAITING:
      place_due (f, r, now_ms);
      return;
    case PHASE_RUNNING:
      stream_due (f, r, now_ms);
      return;
    case PHASE_RESERVING:
    case PHASE_PREFILLING:
      r->due_ms = r->timeout_ms;
      return;
    }
}
