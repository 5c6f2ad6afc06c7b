#include "private.h"

#include <math.h>
#include <string.h>

/* An engine that rejects a run for which it has granted a reservation is
   changing its stage or stopping; it is not asked for this long. */
#define REJECTED_BACKOFF_MS 1000
/* A KV cache that expires sooner is not used. */
#define KV_MIN_LEFT_MS 50
/* How many runs may fetch one KV cache. After the first engine has rejected
   the run a second one is tried; if it rejects the run too, the cache is the
   reason. */
#define KV_USES_MAX 2
/* A run that breaks off within the time of so many calls without work has not
   begun. */
#define AT_ONCE_CALLS 2
/* Minimum weight of the newest request in the means, which are plain means
   until it is reached and moving ones after that. */
#define MEAN_WEIGHT_MIN 0.05

/* Updates the means, by which the planner divides the engines between the
   stages, when a request arrives. Means over completed runs would be biased
   towards short ones at first and after a shift to longer ones, and too few
   engines would be assigned to decode. */
static void
update_means (struct service *s, const struct request *r)
{
  double output
      = output_model_mean (&s->output_model, r->params.output_tokens_hint,
                           r->params.output_tokens_max);
  double weight;

  s->arrived++;
  weight = fmax (MEAN_WEIGHT_MIN, 1.0 / s->arrived);
  s->prompt_tokens_mean
      += weight * ((double)r->params.prompt_tokens - s->prompt_tokens_mean);
  s->output_tokens_mean += weight * (output - s->output_tokens_mean);
}

void
generation_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct service *s = r->service;

  update_means (s, r);
  r->warm_engine = prompt_locations_find (&f->prompt_locations,
                                          r->params.prompt_hash, now_ms);
  /* The prompt ran recently, so this is most likely its caller's retry. Runs
     of the prompt that peers have reported are assumed to have ended. */
  if (r->warm_engine != 0)
    run_table_drop_prompt (&f->run_table, r->params.prompt_hash);
  r->expected_tokens
      = output_model_median (&s->output_model, r->params.output_tokens_hint,
                             r->params.output_tokens_max);
  placement_start (f, r, now_ms);
}

void
kv_clear (struct beryl_forward *f, struct kv_cache *kv)
{
  if (kv->endpoint == NULL)
    return;
  beryl_live_close (f->endpoints, kv->endpoint);
  *kv = (struct kv_cache){ 0 };
}

static bool
kv_usable (const struct request *r, int64_t now_ms)
{
  return r->kv.endpoint != NULL && r->kv.endpoint->replaced_ms == 0
         && r->kv.uses < KV_USES_MAX
         && now_ms + KV_MIN_LEFT_MS < r->kv.expires_ms;
}

void
generation_release (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start drop
      = { .kind = BERYL_EXCHANGE_DROP_KV, .kv_handle = r->kv.handle };

  move_clear (f, r);
  reservation_release (f, &r->reservation, now_ms);
  if (r->kv.endpoint != NULL && r->kv.endpoint->replaced_ms == 0
      && !beryl_live_paused (r->kv.endpoint, now_ms)
      && now_ms < r->kv.expires_ms)
    forward_exchange_start (f, NULL, &drop, r->kv.endpoint, now_ms);
  kv_clear (f, &r->kv);
}

void
generation_start_exchange (struct beryl_forward *f, struct request *r,
                           struct beryl_exchange_start *start,
                           struct beryl_live_endpoint *endpoint,
                           int64_t now_ms)
{
  start->resumes = r->event_count > 0;
  start->last_event_id = r->last_event_id;
  r->primary = forward_exchange_start (f, r, start, endpoint, now_ms);
}

/* Returns whether R must not be sent to the engine of its reservation any
   more, because it is leaving or gone, or has asked for a pause. It may have
   become so during a prefill or a move, and may stop at any moment. A moved
   run, whose memory no other engine has, may still be sent to a leaving engine
   for a limited time. */
static bool
engine_is_unavailable (const struct beryl_forward *f, const struct request *r,
                       int64_t now_ms)
{
  const struct beryl_live_endpoint *endpoint = r->reservation.endpoint;

  if (!resume_keeps_version (r, endpoint))
    return true;
  if (r->continues_run)
    return !beryl_live_set_allows_bound_work (f->endpoints, endpoint, now_ms);
  if (r->version != 0 && !beryl_live_accepts_work (endpoint))
    return resume_places (f, r, now_ms) != RESUME_AT_LEAVING
           || !beryl_live_set_allows_bound_work (f->endpoints, endpoint,
                                                 now_ms);
  return !beryl_live_accepts_work (endpoint)
         || beryl_live_paused (endpoint, now_ms);
}

/* Handles that R cannot run at the engine of its reservation, because the
   engine has rejected the run or is leaving. */
static void
reservation_unusable (struct beryl_forward *f, struct request *r,
                      int64_t now_ms)
{
  relocate_end (f, r);
  if (r->continues_run && move_back (f, r, now_ms))
    return;
  move_clear (f, r);
  reservation_release (f, &r->reservation, now_ms);
  generation_restart (f, r, now_ms);
}

void
generation_run (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN };
  struct beryl_live_endpoint *endpoint = r->reservation.endpoint;

  if (engine_is_unavailable (f, r, now_ms))
    {
      forward_request_log (f, r, "decode", endpoint, "left", 0, now_ms);
      reservation_unusable (f, r, now_ms);
      return;
    }
  if (!r->continues_run && stop_refuse_run (f, r, now_ms))
    return;
  /* A moved run that continues is no repeat. */
  if (!r->continues_run)
    {
      if (!repeats_take (f, r, repeats_for_run (r), now_ms))
        {
          forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
          return;
        }
      repeats_count_send (r);
    }
  if (r->reservation.handle[0] != '\0')
    start.reservation = r->reservation.handle;
  if (r->kv.endpoint != NULL)
    {
      start.kv_handle = r->kv.handle;
      start.kv_address = r->kv.endpoint->info.address;
      start.kv_port = r->kv.endpoint->info.port;
      r->kv.uses++;
    }
  r->phase = PHASE_RUNNING;
  r->last_event_ms = now_ms;
  r->run_ms = now_ms;
  if (r->first_run_ms == 0)
    r->first_run_ms = now_ms;
  r->run_events = 0;
  r->stalled = false;
  f->report_due = true;
  r->timer_ms = stream_timer_ms (r);
  generation_start_exchange (f, r, &start, endpoint, now_ms);
  forward_request_log (f, r, "decode", endpoint,
                       r->kv.endpoint != NULL                   ? "kv_taken"
                       : engine_has_prompt_cached (r, endpoint) ? "warm"
                                                                : "alone",
                       r->reservation.tokens, now_ms);
  r->warm_engine = 0;
  /* The reservation is used up: its memory now belongs to the run. */
  r->reservation.handle[0] = '\0';
}

void
generation_reserved (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  if (kv_usable (r, now_ms) || prefill_use_cached (f, r, now_ms))
    generation_run (f, r, now_ms);
  else
    prefill_start (f, r, now_ms);
}

/* Returns whether R may be sent to one more engine, considering its earlier
   runs. */
static bool
may_run_again (const struct request *r)
{
  if (!r->may_have_run)
    return true;
  return r->route->resumable
         && r->endpoints_run_count < r->route->endpoints_max;
}

void
generation_restart (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!kv_usable (r, now_ms))
    generation_release (f, r, now_ms);
  if (now_ms >= r->deadline_ms)
    forward_request_fail (f, r, BERYL_REFUSAL_DEADLINE, now_ms);
  else if (!may_run_again (r))
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else if (!crashes_refuse (f, r, now_ms)
           && !resume_refuse_without_version (f, r, now_ms))
    placement_start (f, r, now_ms);
}

/* The endpoint list shows a change of stage late, and not at all to a node
   that is cut off from it; the engine itself knows its stage. */
void
generation_record_other_stage (struct beryl_live_endpoint *endpoint)
{
  endpoint->info.stage = endpoint->info.stage == BERYL_STAGE_PREFILL
                             ? BERYL_STAGE_DECODE
                             : BERYL_STAGE_PREFILL;
}

void
generation_back_off (struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  endpoint->full_until_ms = now_ms + REJECTED_BACKOFF_MS;
}

void
generation_exchange_result (struct beryl_forward *f, struct exchange *x,
                            const struct beryl_engine_result *result,
                            int64_t now_ms)
{
  struct request *r = x->request;

  if (result->misdirected)
    endpoint_report_replaced (f, x->endpoint, now_ms);
  if (x->kind == BERYL_EXCHANGE_RESERVE && r != NULL)
    call_overhead_learn (&r->service->call_overhead, now_ms - x->started_ms);
  if (x->kind == BERYL_EXCHANGE_PREFILL)
    rates_learn (f, x, &result->limit, result->ok, now_ms);
  if (r == NULL)
    {
      if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
        reservation_cancel (f, x->endpoint, result->handle, now_ms);
      forward_exchange_free (f, x);
    }
  else if (x->kind == BERYL_EXCHANGE_MOVE)
    move_result (f, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE && result->ok)
    placement_granted (f, x, result, now_ms);
  else if (x->kind == BERYL_EXCHANGE_RESERVE)
    placement_refused (f, x, now_ms);
  else if (result->ok)
    prefill_done (f, r, x, result, now_ms);
  else
    prefill_refused (f, r, x, result, now_ms);
}

/* Returns whether R's run broke off too soon for its engine to have fetched
   the KV cache. */
static bool
run_broke_at_once (const struct request *r, int64_t now_ms)
{
  return now_ms - r->run_ms
         < AT_ONCE_CALLS * call_overhead_min_ms (&r->service->call_overhead);
}

static void
run_failed (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  relocate_end (f, r);
  r->continues_run = false;
  repeats_release (r);
  generation_run_ended (f, r);
  if (!run_broke_at_once (r, now_ms))
    kv_clear (f, &r->kv);
  generation_restart (f, r, now_ms);
}

void
generation_exchange_failed (struct beryl_forward *f, struct request *r,
                            enum beryl_exchange_kind kind, bool sent,
                            int64_t now_ms)
{
  switch (kind)
    {
    case BERYL_EXCHANGE_MOVE:
      move_failed (f, r, sent, now_ms);
      return;
    case BERYL_EXCHANGE_RESERVE:
      if (!handoff_if_doubted (f, r, now_ms))
        placement_ask_failed (f, r, now_ms);
      return;
    case BERYL_EXCHANGE_RUN:
      /* The engines that have a moved run's memory still have it. */
      if (!sent && r->continues_run)
        reservation_unusable (f, r, now_ms);
      else
        run_failed (f, r, now_ms);
      return;
    default:
      r->prefilled = r->prefilled || sent;
      generation_restart (f, r, now_ms);
    }
}

/* A run may be rejected because of its decode engine or because the KV cache
   was gone. A second engine that rejects the same cache shows that it is the
   cache. */
static void
back_off_responsible_engine (struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *engine = r->reservation.endpoint;

  if (r->kv.endpoint != NULL && r->kv.uses >= KV_USES_MAX)
    engine = r->kv.endpoint;
  if (engine != NULL)
    generation_back_off (engine, now_ms);
}

void
generation_run_rejected (struct beryl_forward *f, struct request *r,
                         bool wrong_stage, int64_t now_ms)
{
  if (wrong_stage && r->reservation.endpoint != NULL)
    generation_record_other_stage (r->reservation.endpoint);
  back_off_responsible_engine (r, now_ms);
  reservation_unusable (f, r, now_ms);
}

void
generation_run_ended (struct beryl_forward *f, struct request *r)
{
  if (r->reservation.endpoint != NULL)
    r->reservation.endpoint->full_until_ms = 0;
  move_clear (f, r);
  reservation_clear (f, &r->reservation);
}

void
generation_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  switch (r->phase)
    {
    case PHASE_WAITING:
      placement_timer (f, r, now_ms);
      return;
    case PHASE_RUNNING:
      stream_timer (f, r, now_ms);
      return;
    case PHASE_LOOKING_UP:
    case PHASE_CONFIRMING:
    case PHASE_RESERVING:
    case PHASE_PREFILLING:
    case PHASE_HANDED_OFF:
      r->timer_ms = r->deadline_ms;
      return;
    }
}
