#include "private.h"

#include <string.h>

/* How long a prefill's result is kept if the service does not say. */
#define KV_HANDLE_MS 500
/* An engine that rejects a run for which it has granted a reservation is
 * changing its stage or stopping; it is not asked for so long. */
#define REJECTED_MS 1000
/* A KV cache with less time left is not worth a try. */
#define KV_LEFT_MS 50
/* An engine may be handed one KV cache so often: the second time after the
 * first engine rejected the run, for which the cache may be the reason. */
#define KV_TRIES_MAX 2
/* How much longer a decode engine reads, and how long it is spared after. */
#define ALONE_FACTOR 2.0
#define ALONE_SPACING_MS 1000
/* Weight of the newest request in what is known of all. */
#define MIX_WEIGHT 0.05

void
generation_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct service *s = r->service;

  s->prompt_tokens
      += MIX_WEIGHT * ((double)r->facts.prompt_tokens - s->prompt_tokens);
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
  return r->kv.live != NULL && r->kv.tries < KV_TRIES_MAX
         && now_ms + KV_LEFT_MS < r->kv.until_ms;
}

void
generation_release (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start drop
      = { .kind = BERYL_EXCHANGE_DROP_KV, .kv_handle = r->kv.handle };

  move_clear (f, r);
  place_release (f, &r->reservation, now_ms);
  if (r->kv.live != NULL && now_ms < r->kv.until_ms)
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

/* A prompt is not read unless the run that follows may be sent too. */
static bool
prefill_allowed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  uint32_t needed = (r->prefilled ? 1 : 0) + (r->runs > 0 ? 1 : 0);

  if (forward_request_repeats_left (f, r, now_ms) < needed)
    return false;
  forward_request_take_repeats (f, r, needed, now_ms);
  r->run_paid = r->runs > 0;
  return true;
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
    return !beryl_lives_may_return (f->lives, live, now_ms);
  return !beryl_live_takes_work (live);
}

static void start_over (struct beryl_forward *f, struct request *r,
                        int64_t now_ms);

/* The engine with R's place does not run it. */
static void
place_lost (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  seek_end (f, r);
  if (r->same_run && move_return (f, r, now_ms))
    return;
  move_clear (f, r);
  place_release (f, &r->reservation, now_ms);
  start_over (f, r, now_ms);
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

/* How long other streams pause while an engine does nothing else for BUSY_MS:
 * until their next event, which was half made on the mean. */
static int64_t
stream_pause_ms (const struct request *r, int64_t busy_ms)
{
  return busy_ms
         + (int64_t)(2 * r->terms->engine.event_tokens
                     * r->service->lengths.ms_per_token);
}

/* Whether LIVE reads, or has read a moment ago, for a request of any node: two
 * in a row make its streams pause for too long. */
static bool
engine_reads (struct beryl_forward *f, const struct beryl_live *live,
              int64_t now_ms)
{
  return now_ms - live->alone_ms < ALONE_SPACING_MS
         || book_prefilling (&f->book, beryl_engine_number (live->info.id),
                             now_ms)
                > 0;
}

static int64_t
alone_ms (const struct request *r, double tokens)
{
  return (int64_t)(ALONE_FACTOR * tokens * r->service->prefill.ms_per_token);
}

/* A decode engine reads a prompt at half the speed of a prefill engine, and
 * its other runs stand nearly still meanwhile.  That is worth it only if the
 * prefill engines' queue makes the request late. */
static bool
reads_alone (struct beryl_forward *f, const struct request *r, int64_t wait_ms,
             int64_t now_ms)
{
  double read_ms = r->facts.prompt_tokens * r->service->prefill.ms_per_token;
  int64_t left_ms = r->facts.arrived_ms + r->route->objective_ms - now_ms;
  int64_t apart_ms = wait_ms + (int64_t)read_ms;
  int64_t busy_ms = alone_ms (r, r->facts.prompt_tokens);
  struct beryl_live *live = r->reservation.live;

  if (apart_ms < left_ms || busy_ms >= left_ms
      || engine_reads (f, live, now_ms)
      || stream_pause_ms (r, busy_ms) > r->route->gap_objective_ms)
    return false;
  live->alone_ms = now_ms;
  return true;
}

/* The engine that has the prompt still has to read what the caller has of the
 * answer already. */
static bool
goes_warm (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *live = r->reservation.live;
  double resumed = (double)r->facts.last_event * r->terms->engine.event_tokens;

  if (!engine_is_warm_for (r, live))
    return false;
  if (resumed == 0)
    return true;
  if (engine_reads (f, live, now_ms)
      || stream_pause_ms (r, alone_ms (r, resumed))
             > r->route->gap_objective_ms)
    return false;
  live->alone_ms = now_ms;
  r->reads_alone = true;
  return true;
}

/* The first accepted prefill is not counted as an arrival, later ones are. */
static void
prefill (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_PREFILL };
  int64_t wait_ms;
  struct beryl_live *live = engine_choose_prefill (f, r, &wait_ms, now_ms);

  kv_clear (f, &r->kv);
  r->reads_alone = live == NULL || reads_alone (f, r, wait_ms, now_ms);
  if (r->reads_alone)
    {
      f->runs_changed = true;
      generation_run (f, r, now_ms);
      return;
    }
  if (!prefill_allowed (f, r, now_ms))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  r->phase = PHASE_PREFILLING;
  r->due_ms = r->reservation.until_ms;
  start.tokens = r->facts.prompt_tokens;
  generation_exchange (f, r, &start, live, now_ms);
  f->runs_changed = true;
  forward_request_decided (f, r, "prefill", live, "sent", start.tokens,
                           now_ms);
}

void
generation_placed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (kv_usable (r, now_ms) || goes_warm (f, r, now_ms))
    generation_run (f, r, now_ms);
  else
    prefill (f, r, now_ms);
}

static void
prefilled (struct beryl_forward *f, struct request *r, struct exchange *x,
           const struct beryl_engine_result *result, int64_t now_ms)
{
  int64_t took_ms = now_ms - x->started_ms;
  int64_t stated_ms = r->terms->engine.kv_handle_ms;

  r->kv.live = x->live;
  r->kv.until_ms = now_ms + (stated_ms > 0 ? stated_ms : KV_HANDLE_MS);
  memcpy (r->kv.handle, result->handle, sizeof r->kv.handle);
  beryl_live_open (x->live);
  forward_request_decided (f, r, "prefill", x->live, "done", took_ms, now_ms);
  beryl_live_learn (x->live, BERYL_LIVE_ANSWERED, took_ms, now_ms);
  if (!r->prefilled)
    pace_learn (&r->service->prefill, x->tokens, took_ms);
  r->prefilled = true;
  forward_exchange_free (f, x);
  generation_run (f, r, now_ms);
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
static void
start_over (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!kv_usable (r, now_ms))
    generation_release (f, r, now_ms);
  if (now_ms >= r->timeout_ms)
    forward_request_fail (f, r, BERYL_REFUSAL_DEADLINE, now_ms);
  else if (!may_run_again (r))
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    place_wait (f, r, now_ms);
}

/* The list of endpoints shows a change of stage late, and a node that is cut
 * off from it not at all; the engine itself knows. */
static void
learn_stage (struct beryl_live *live)
{
  live->info.stage = live->info.stage == BERYL_STAGE_PREFILL
                         ? BERYL_STAGE_DECODE
                         : BERYL_STAGE_PREFILL;
}

static void
prefill_refused (struct beryl_forward *f, struct request *r,
                 struct exchange *x, const struct beryl_engine_result *result,
                 int64_t now_ms)
{
  bool allowed = forward_request_take_repeat (f, r, now_ms);

  forward_request_decided (f, r, "prefill", x->live,
                           result->wrong_stage ? "wrong_stage" : "refused",
                           result->status, now_ms);
  x->live->full_until_ms = now_ms + REJECTED_MS;
  if (result->wrong_stage)
    learn_stage (x->live);
  forward_exchange_free (f, x);
  if (allowed)
    start_over (f, r, now_ms);
  else
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
}

void
generation_result (struct beryl_forward *f, struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

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
    prefilled (f, r, x, result, now_ms);
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
  start_over (f, r, now_ms);
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
      start_over (f, r, now_ms);
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
    engine->full_until_ms = now_ms + REJECTED_MS;
}

void
generation_not_run (struct beryl_forward *f, struct request *r,
                    bool wrong_stage, int64_t now_ms)
{
  if (wrong_stage && r->reservation.live != NULL)
    learn_stage (r->reservation.live);
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
