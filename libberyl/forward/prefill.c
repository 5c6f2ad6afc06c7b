#include "private.h"

#include <math.h>
#include <string.h>

/* Reading prompts: by a prefill engine, or by the decode engine itself. */

/* How long a prefill's result is kept if the service does not say. */
#define KV_HANDLE_MS 500
/* How much longer a decode engine reads, and how long it is spared after. */
#define ALONE_FACTOR 2.0
#define ALONE_SPACING_MS 1000
/* From the end of the reading to the first event: the KV cache is moved, and
 * one event is made. */
#define FIRST_EVENT_MS 100

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
  return now_ms - live->combined_run_ms < ALONE_SPACING_MS
         || book_prefilling (&f->book, beryl_live_hash (live), now_ms) > 0;
}

/* From the moment at which an engine without a queue is sent R's prompt until
 * its answer is here. */
static double
read_ms (const struct request *r)
{
  return r->facts.prompt_tokens * r->service->prefill_ms_per_token
         + (double)call_times_least_ms (&r->service->calls);
}

static int64_t
alone_ms (const struct request *r, double tokens)
{
  return (int64_t)(ALONE_FACTOR * tokens * r->service->prefill_ms_per_token);
}

/* A decode engine reads a prompt at half the speed of a prefill engine, and
 * its other runs stand nearly still meanwhile.  That is worth it only if the
 * prefill engines' queue makes the request late. */
static bool
reads_alone (struct beryl_forward *f, const struct request *r, int64_t wait_ms,
             int64_t now_ms)
{
  int64_t left_ms = r->facts.arrived_ms + r->route->objective_ms - now_ms;
  int64_t apart_ms = wait_ms + (int64_t)read_ms (r);
  int64_t busy_ms = alone_ms (r, r->facts.prompt_tokens);
  struct beryl_live *live = r->reservation.live;

  if (apart_ms < left_ms || busy_ms >= left_ms
      || engine_reads (f, live, now_ms)
      || stream_pause_ms (r, busy_ms) > r->route->gap_objective_ms)
    return false;
  live->combined_run_ms = now_ms;
  return true;
}

/* The engine that has the prompt still has to read what the caller has of the
 * answer already. */
bool
prefill_is_needless (struct beryl_forward *f, struct request *r,
                     int64_t now_ms)
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
  live->combined_run_ms = now_ms;
  r->reads_alone = true;
  return true;
}

/* Whether a queue of WAIT_MS before the prefill engines makes R late although
 * it could still be in time.  One that is late anyway takes what room a short
 * queue leaves.  Without this limit the queue of an overloaded pool grows
 * until every answer is late, and memory is reserved all the while. */
static bool
is_behind (const struct request *r, int64_t wait_ms, int64_t now_ms)
{
  double spare_ms = (double)(r->facts.arrived_ms + r->route->objective_ms
                             - now_ms - FIRST_EVENT_MS)
                    - read_ms (r);

  return !r->begun && !r->may_have_run && wait_ms > 0
         && (double)wait_ms > fmax (spare_ms, read_ms (r));
}

/* Whether R, which asks for a place, would find that its prompt cannot be read
 * in time, there or by the engine that has the place. */
bool
prefill_is_behind (struct beryl_forward *f, const struct request *r,
                   int64_t now_ms)
{
  int64_t busy_ms = alone_ms (r, r->facts.prompt_tokens);
  int64_t left_ms = r->facts.arrived_ms + r->route->objective_ms - now_ms;
  int64_t wait_ms;

  if (r->kv.live != NULL || r->warm_engine != 0
      || (busy_ms < left_ms
          && stream_pause_ms (r, busy_ms) <= r->route->gap_objective_ms))
    return false;
  wait_ms = engine_prefill_wait_ms (f, r, now_ms);
  return is_behind (r, wait_ms, now_ms);
}

/* Leaves R's place to others: its prompt would be read too late.  It waits on
 * from when it began to. */
static void
put_off (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  place_release (f, &r->reservation, now_ms);
  place_put_off (f, r, now_ms);
}

/* The first accepted prefill is not counted as an arrival, later ones are. */
static void
send (struct beryl_forward *f, struct request *r, struct beryl_live *live,
      int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_PREFILL };

  if (!prefill_allowed (f, r, now_ms))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  rates_sent (f, r->service, live, now_ms);
  r->phase = PHASE_PREFILLING;
  r->due_ms = r->reservation.until_ms;
  start.tokens = r->facts.prompt_tokens;
  generation_exchange (f, r, &start, live, now_ms);
  f->runs_changed = true;
  forward_request_decided (f, r, "prefill", live, "sent", start.tokens,
                           now_ms);
}

void
prefill_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t wait_ms;
  struct beryl_live *live = engine_choose_prefill (f, r, &wait_ms, now_ms);

  kv_clear (f, &r->kv);
  if (live == NULL && engine_may_prefill (f, r, now_ms))
    {
      put_off (f, r, now_ms);
      return;
    }
  r->reads_alone = live == NULL || reads_alone (f, r, wait_ms, now_ms);
  if (r->reads_alone)
    {
      f->runs_changed = true;
      generation_run (f, r, now_ms);
    }
  else if (is_behind (r, wait_ms, now_ms))
    put_off (f, r, now_ms);
  else
    send (f, r, live, now_ms);
}

/* A prefill that took no longer than a call without work tells nothing of the
 * engine. */
static void
learn_pace (struct service *s, uint32_t tokens, int64_t took_ms)
{
  int64_t busy_ms = took_ms - call_times_least_ms (&s->calls);

  if (busy_ms > 0)
    profile_learn_prefill (s, tokens, busy_ms);
}

void
prefill_done (struct beryl_forward *f, struct request *r, struct exchange *x,
              const struct beryl_engine_result *result, int64_t now_ms)
{
  int64_t took_ms = now_ms - x->started_ms;
  int64_t stated_ms = r->terms->engine.kv_handle_ms;

  r->kv.live = x->live;
  r->kv.until_ms = now_ms + (stated_ms > 0 ? stated_ms : KV_HANDLE_MS);
  memcpy (r->kv.handle, result->handle, sizeof r->kv.handle);
  beryl_live_open (x->live);
  forward_request_decided (f, r, "prefill", x->live, "done", took_ms, now_ms);
  beryl_live_record_outcome (x->live, BERYL_LIVE_ANSWERED, took_ms, now_ms);
  if (!r->prefilled)
    learn_pace (r->service, x->tokens, took_ms);
  r->prefilled = true;
  forward_exchange_free (f, x);
  generation_run (f, r, now_ms);
}

void
prefill_refused (struct beryl_forward *f, struct request *r,
                 struct exchange *x, const struct beryl_engine_result *result,
                 int64_t now_ms)
{
  bool allowed = forward_request_take_repeat (f, r, now_ms);

  forward_request_decided (f, r, "prefill", x->live,
                           result->wrong_stage ? "wrong_stage" : "refused",
                           result->status, now_ms);
  generation_rejected (x->live, now_ms);
  if (result->wrong_stage)
    generation_learn_stage (x->live);
  forward_exchange_free (f, x);
  if (allowed)
    generation_start_over (f, r, now_ms);
  else
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
}
