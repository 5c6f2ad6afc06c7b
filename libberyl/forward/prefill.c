#include "private.h"

#include <math.h>
#include <string.h>

/* Prefills prompts, at a prefill engine or at the decode engine itself. */

/* How long a prefill's KV cache is kept if the service does not state it. */
#define DEFAULT_KV_HANDLE_MS 500
/* How much longer a prefill takes at a decode engine, and the minimum time
   between two of them at one engine. */
#define LOCAL_FACTOR 2.0
#define LOCAL_SPACING_MS 1000
/* A prefill that breaks off within this part of the time that it needs shows
   that its engine was not working. */
#define EARLY_BREAK_PART 0.1
/* A prefill is overdue after this many times the time that it should take, and
   again whenever that has doubled. */
#define OVERDUE_TIMES 2
/* Time from the end of the prefill to the first event, in which the KV cache
   is transferred and one event is produced. */
#define TRANSFER_AND_EVENT_MS 100

/* Returns an upper bound of the time between two events of other streams while
   their engine prefills for BUSY_MS: that time plus twice the time of an
   event. */
static int64_t
stream_pause_ms (const struct request *r, int64_t busy_ms)
{
  return busy_ms
         + (int64_t)(2 * r->config->engine.event_tokens
                     * r->service->output_model.ms_per_token);
}

/* Returns whether ENDPOINT, a decode engine, prefills or has just prefilled a
   prompt for any node: two in a row make its streams pause for too long. */
static bool
engine_is_prefilling (struct beryl_forward *f,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms)
{
  return now_ms - endpoint->last_local_prefill_ms < LOCAL_SPACING_MS
         || run_table_prefill_tokens (&f->run_table,
                                      beryl_live_hash (endpoint), now_ms)
                > 0;
}

/* Returns the time from sending R's prompt to an idle prefill engine until its
   answer has arrived. */
static double
prefill_ms (const struct request *r)
{
  return r->params.prompt_tokens * r->service->prefill_ms_per_token
         + (double)call_overhead_min_ms (&r->service->call_overhead);
}

int64_t
prefill_expected_ms (struct beryl_forward *f, const struct request *r,
                     int64_t now_ms)
{
  return engine_prefill_wait_ms (f, r, now_ms) + (int64_t)prefill_ms (r);
}

static int64_t
local_prefill_ms (const struct request *r, double tokens)
{
  return (int64_t)(LOCAL_FACTOR * tokens * r->service->prefill_ms_per_token);
}

/* Lets the decode engine prefill R's prompt if that is better; returns whether
   it does, and then records the time. It takes twice as long as at a prefill
   engine, and the engine's other runs nearly stop meanwhile. That is worth it
   only if the queue at the prefill engines makes the request late. */
static bool
try_local_prefill (struct beryl_forward *f, const struct request *r,
                   int64_t wait_ms, int64_t now_ms)
{
  int64_t left_ms = r->params.arrived_ms + r->route->objective_ms - now_ms;
  int64_t remote_ms = wait_ms + (int64_t)prefill_ms (r);
  int64_t busy_ms = local_prefill_ms (r, r->params.prompt_tokens);
  struct beryl_live_endpoint *endpoint = r->reservation.endpoint;

  if (remote_ms < left_ms || busy_ms >= left_ms
      || engine_is_prefilling (f, endpoint, now_ms)
      || stream_pause_ms (r, busy_ms) > r->route->gap_objective_ms)
    return false;
  endpoint->last_local_prefill_ms = now_ms;
  return true;
}

/* Returns how many output tokens the answer has that R's caller resumes. The
   id that it names is taken for the number of its events; it may be far larger
   where ids count tokens or the time. */
static double
resumed_output_tokens (const struct request *r)
{
  double tokens
      = (double)r->params.last_event_id * r->config->engine.event_tokens;
  double most = r->params.output_tokens_max;

  return most > 0 && tokens > most ? most : tokens;
}

/* An engine that has the prompt cached still has to prefill the part of the
   answer that the caller already has. */
bool
prefill_use_cached (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = r->reservation.endpoint;
  double resumed_tokens = resumed_output_tokens (r);

  if (!engine_has_prompt_cached (r, endpoint))
    return false;
  if (resumed_tokens == 0)
    return true;
  if (engine_is_prefilling (f, endpoint, now_ms)
      || stream_pause_ms (r, local_prefill_ms (r, resumed_tokens))
             > r->route->gap_objective_ms)
    return false;
  endpoint->last_local_prefill_ms = now_ms;
  r->local_prefill = true;
  return true;
}

/* Returns whether a prefill queue of WAIT_MS is too long for R: R would be
   late, and the queue is longer than R's own prefill. A shorter queue is
   always accepted, so that requests that are late anyway still use the
   engines. Without this limit the queue of an overloaded pool would grow until
   every answer is late, while memory stays reserved. */
static bool
makes_late (const struct request *r, int64_t wait_ms, int64_t now_ms)
{
  double spare_ms = (double)(r->params.arrived_ms + r->route->objective_ms
                             - now_ms - TRANSFER_AND_EVENT_MS)
                    - prefill_ms (r);

  return !r->answer_begun && !r->may_have_run && wait_ms > 0
         && (double)wait_ms > fmax (spare_ms, prefill_ms (r));
}

/* Considers both the prefill engines and a prefill by the decode engine. */
bool
prefill_would_be_late (struct beryl_forward *f, const struct request *r,
                       int64_t now_ms)
{
  int64_t busy_ms = local_prefill_ms (r, r->params.prompt_tokens);
  int64_t left_ms = r->params.arrived_ms + r->route->objective_ms - now_ms;
  int64_t wait_ms;

  if (r->kv.endpoint != NULL || r->warm_engine != 0
      || (busy_ms < left_ms
          && stream_pause_ms (r, busy_ms) <= r->route->gap_objective_ms))
    return false;
  wait_ms = engine_prefill_wait_ms (f, r, now_ms);
  return makes_late (r, wait_ms, now_ms);
}

/* Releases R's reservation, since its prompt would be prefilled too late or
   all prefill engines are at their rate limits. R keeps the time since which
   it waits (waiting_since_ms). */
static void
give_up_reservation (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
{
  reservation_release (f, &r->reservation, now_ms);
  placement_refuse_or_defer (f, r, now_ms);
}

/* A prompt is not prefilled unless its run may be sent too. */
static void
send_prefill (struct beryl_forward *f, struct request *r,
              struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_PREFILL };
  double queued_tokens = engine_queued_tokens (f, endpoint, now_ms);

  if (!repeats_take (f, r, repeats_for_prompt_and_run (r), now_ms))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  rates_count_sent (f, r->service, endpoint, now_ms);
  r->phase = PHASE_PREFILLING;
  r->timer_ms = r->reservation.expires_ms;
  start.tokens = r->params.prompt_tokens;
  repeats_count_send (r);
  speeds_count_sent (f, r->service, endpoint, BERYL_WORK_PREFILL, start.tokens,
                     now_ms);
  generation_start_exchange (f, r, &start, endpoint, now_ms);
  r->primary->queued_tokens = queued_tokens;
  f->report_due = true;
  forward_request_log (f, r, "prefill", endpoint, "sent", start.tokens,
                       now_ms);
}

void
prefill_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t wait_ms;
  struct beryl_live_endpoint *endpoint
      = engine_choose_prefill (f, r, &wait_ms, now_ms);

  kv_clear (f, &r->kv);
  /* All prefill engines are at their rate limits. */
  if (endpoint == NULL && engine_has_prefill (f, r, now_ms))
    {
      give_up_reservation (f, r, now_ms);
      return;
    }
  r->local_prefill
      = endpoint == NULL || try_local_prefill (f, r, wait_ms, now_ms);
  if (r->local_prefill)
    {
      f->report_due = true;
      generation_run (f, r, now_ms);
    }
  else if (makes_late (r, wait_ms, now_ms))
    give_up_reservation (f, r, now_ms);
  else
    send_prefill (f, r, endpoint, now_ms);
}

/* A prefill that took no longer than a call without work says nothing about
   the engine's speed. The queue before it takes the engine's time too. */
static void
learn_pace (struct beryl_forward *f, struct service *s,
            const struct exchange *x, int64_t took_ms, int64_t now_ms)
{
  int64_t busy_ms = took_ms - call_overhead_min_ms (&s->call_overhead);

  if (busy_ms <= 0)
    return;
  profile_learn_prefill (s, x->tokens, busy_ms);
  speeds_learn (f, s, x->endpoint, BERYL_WORK_PREFILL,
                x->tokens + (uint32_t)x->queued_tokens, busy_ms, now_ms);
}

static void
learn_overdue (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct service *s = x->request->service;
  double tokens = x->tokens + x->queued_tokens;
  double due_ms = OVERDUE_TIMES * tokens * s->prefill_ms_per_token
                  + (double)call_overhead_min_ms (&s->call_overhead);
  int64_t open_ms = now_ms - x->started_ms;

  if ((double)open_ms < due_ms * (1U << x->overdue))
    return;
  x->overdue++;
  speeds_learn_overdue (f, s, x->endpoint, BERYL_WORK_PREFILL,
                        (uint32_t)tokens, open_ms, now_ms);
}

/* An engine that has become slow shows it only at the end of a prompt, and
   gets others until then. */
void
prefill_learn_overdue (struct beryl_forward *f, int64_t now_ms)
{
  struct exchange *x;

  TAILQ_FOREACH (x, &f->exchanges, entry)
  if (x->kind == BERYL_EXCHANGE_PREFILL && x->request != NULL
      && x->overdue < 8)
    learn_overdue (f, x, now_ms);
}

void
prefill_done (struct beryl_forward *f, struct request *r, struct exchange *x,
              const struct beryl_engine_result *result, int64_t now_ms)
{
  int64_t took_ms = now_ms - x->started_ms;
  int64_t stated_ms = r->config->engine.kv_handle_ms;

  r->kv.endpoint = x->endpoint;
  r->kv.expires_ms
      = now_ms + (stated_ms > 0 ? stated_ms : DEFAULT_KV_HANDLE_MS);
  memcpy (r->kv.handle, result->handle, sizeof r->kv.handle);
  beryl_live_open (x->endpoint);
  forward_request_log (f, r, "prefill", x->endpoint, "done", took_ms, now_ms);
  beryl_live_record_outcome (x->endpoint, BERYL_LIVE_ANSWERED, took_ms,
                             now_ms);
  prompts_record (f, r, x->endpoint, true, now_ms);
  if (!r->prefilled)
    learn_pace (f, r->service, x, took_ms, now_ms);
  r->prefilled = true;
  r->prompt_accepted = true;
  forward_exchange_free (f, x);
  generation_run (f, r, now_ms);
}

/* An engine that does not work breaks off each prompt at once, and so has the
   shortest queue of all: it would attract the prompts of all nodes until each
   has failed there.  One that loses an answer has read the prompt before. */
bool
prefill_broke_early (const struct exchange *x, int64_t now_ms)
{
  return x->kind == BERYL_EXCHANGE_PREFILL && x->request != NULL
         && (double)(now_ms - x->started_ms)
                < EARLY_BREAK_PART * prefill_ms (x->request);
}

void
prefill_refused (struct beryl_forward *f, struct request *r,
                 struct exchange *x, const struct beryl_engine_result *result,
                 int64_t now_ms)
{
  forward_request_log (f, r, "prefill", x->endpoint,
                       result->wrong_stage ? "wrong_stage" : "refused",
                       result->status, now_ms);
  generation_back_off (x->endpoint, now_ms);
  if (result->wrong_stage)
    generation_record_other_stage (x->endpoint);
  forward_exchange_free (f, x);
  generation_restart (f, r, now_ms);
}
