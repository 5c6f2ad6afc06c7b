#include "private.h"

#include <string.h>

/* Reserves memory for a generation at a decode engine, before its prompt is
   prefilled. */

/* Engines that are asked for a reservation in one round. */
#define ASKS_PER_ROUND 4
/* An engine that refused a reservation is not asked again by this node for
   this long. Runs end there only every few hundred milliseconds, so it is most
   likely still full until then. */
#define FULL_BACKOFF_MS 60
/* Minimum time from a reservation to the first event; a request with less time
   left until it should have had its first event is already late. */
#define FIRST_EVENT_MIN_MS 300
/* How long a request that is late already waits for memory. */
#define LATE_WAIT_MS 600
/* How long an interrupted stream waits for memory if its route states no idle
   timeout of callers (caller_idle_timeout_ms). The stream is cut off after
   that, so the wait is longer than that of a new request. */
#define RESUME_WAIT_MS 2000
/* A request with a smaller chance of getting memory in time is refused at
   once. */
#define CHANCE_MIN 0.4
/* Lease of a reservation if the service does not state one. */
#define DEFAULT_LEASE_MS 2000

static int64_t
lease_ms (const struct request *r)
{
  int64_t stated_ms = r->config->engine.reservation_ms;

  return stated_ms > 0 ? stated_ms : DEFAULT_LEASE_MS;
}

void
placement_wait_end (struct beryl_forward *f, struct request *r)
{
  if (!r->waiting)
    return;
  r->waiting = false;
  f->waiting_count--;
  r->service->waiting--;
  f->report_due = true;
}

/* Returns when R needs a reservation to have its first event in time. */
static int64_t
latest_start_ms (const struct request *r)
{
  return r->params.arrived_ms + r->route->objective_ms - FIRST_EVENT_MIN_MS;
}

int64_t
placement_give_up_ms (const struct request *r)
{
  if (r->answer_begun)
    return r->last_event_ms
           + (r->route->caller_idle_timeout_ms > 0
                  ? r->route->caller_idle_timeout_ms
                  : RESUME_WAIT_MS);
  if (latest_start_ms (r) > r->waiting_since_ms)
    return latest_start_ms (r);
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
  f->report_due = true;
}

void
placement_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!r->waiting)
    {
      r->wait_reason = NULL;
      r->waiting_since_ms = now_ms;
    }
  wait_begin (f, r);
  r->phase = PHASE_WAITING;
  r->failed_asks = 0;
  r->tried_count = 0;
  placement_ask (f, r, now_ms);
}

static void
refuse_no_room (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_NO_ROOM,
                          backlog_retry_after_ms (f, r, now_ms), now_ms);
}

/* Returns whether R, which has just begun to wait, will most likely not get
   memory before it is given up; it is then refused at once, with a
   Retry-After. Requests of one rank and organisation are not served in order,
   so the chance is the part of them whose memory is freed in the time left. */
static bool
is_unlikely_in_time (struct beryl_forward *f, const struct request *r,
                     int64_t now_ms)
{
  int64_t left_ms = placement_give_up_ms (r) - now_ms;
  double wait_ms = (double)backlog_wait_ms (f, r, now_ms);

  if (r->answer_begun || r->may_have_run || r->waiting_since_ms != now_ms)
    return false;
  if (!backlog_is_ordered (r) || wait_ms <= 0)
    return left_ms < CHANCE_MIN * wait_ms;
  return backlog_order_part (f, r, backlog_run_ends (f, r, left_ms, now_ms),
                             now_ms)
         < CHANCE_MIN;
}

/* Logs WHY R waits, with NUMBER, if the reason has changed. */
static void
log_wait (struct beryl_forward *f, struct request *r, const char *why,
          int64_t number, int64_t now_ms)
{
  if (r->wait_reason == NULL || strcmp (r->wait_reason, why) != 0)
    forward_request_log (f, r, "wait", NULL, why, number, now_ms);
  r->wait_reason = why;
}

/* No engine has memory: waits until the next round, or gives up. */
static void
wait_round (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t end_ms = placement_give_up_ms (r);

  if (is_unlikely_in_time (f, r, now_ms))
    {
      refuse_no_room (f, r, now_ms);
      return;
    }
  r->phase = PHASE_WAITING;
  r->failed_asks = 0;
  r->tried_count = 0;
  r->timer_ms = now_ms + ASK_INTERVAL_MS;
  if (end_ms < r->timer_ms)
    r->timer_ms = end_ms;
}

/* A node that misses reports cannot forecast the memory that other nodes will
   use, and reserves the whole expected output in advance. */
static uint32_t
tokens_to_reserve (const struct beryl_forward *f, const struct request *r)
{
  if (f->reports_incomplete)
    return r->params.prompt_tokens + r->expected_tokens;
  return reservation_tokens (r->params.prompt_tokens, r->expected_tokens);
}

/* Requests that wait at many nodes see free memory at the same moment. If all
   asked for it, an engine would grant it several times before any node knew of
   the others' choices, and would preempt running requests for lack of memory.
   Returns at random whether R skips this round, such that on average only as
   many ask as would fit, the more urgent ones first. */
static bool
skips_round (struct beryl_forward *f, const struct request *r,
             double fitting_runs, int64_t now_ms)
{
  double concurrent_asks = (double)backlog_waiting (f, r, now_ms)
                           * PROPAGATION_MS / ASK_INTERVAL_MS;
  double chance = random_unit (&f->random);

  if (concurrent_asks > fitting_runs && backlog_is_ordered (r))
    return chance >= backlog_order_part (
               f, r, fitting_runs * ASK_INTERVAL_MS / PROPAGATION_MS, now_ms);
  return concurrent_asks > fitting_runs
         && chance * concurrent_asks > fitting_runs;
}

struct exchange *
placement_reserve (struct beryl_forward *f, struct request *r,
                   struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RESERVE };

  start.tokens = tokens_to_reserve (f, r);
  start.lease_ms = lease_ms (r);
  forward_request_mark_tried (r, endpoint);
  return forward_exchange_start (f, r, &start, endpoint, now_ms);
}

void
placement_ask (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = NULL;
  struct engine_capacity capacity = { 0 };

  if (stop_refuse (f, r, now_ms) || handoff_if_lost (f, r, now_ms)
      || pauses_refuse (f, r, BERYL_STAGE_DECODE,
                        placement_give_up_ms (r) - now_ms, now_ms))
    return;
  if (prefill_would_be_late (f, r, now_ms))
    {
      placement_refuse_or_defer (f, r, now_ms);
      return;
    }
  prompts_gate (f, r, now_ms);
  if (r->failed_asks < ASKS_PER_ROUND)
    endpoint = engine_choose_decode (f, r, &capacity, now_ms);
  if (endpoint == NULL && prompts_refuse_held (f, r, now_ms))
    return;
  if (endpoint == NULL || skips_round (f, r, capacity.fitting_runs, now_ms))
    {
      log_wait (f, r,
                r->failed_asks > 0      ? "engines_refuse"
                : capacity.min_fill > 0 ? "engines_full"
                                        : "no_engine",
                (int64_t)(100 * capacity.min_fill), now_ms);
      wait_round (f, r, now_ms);
      return;
    }
  r->phase = PHASE_RESERVING;
  r->timer_ms = r->deadline_ms;
  r->primary = placement_reserve (f, r, endpoint, now_ms);
}

/* The prefill engines' queue is expected to be no shorter when R asks again,
   so a request that could have been in time is refused at once, with a
   Retry-After. One that is late anyway waits until the queue is shorter. If
   all prefill engines are at their rate limits, the log says "prefill_behind"
   too. */
void
placement_refuse_or_defer (struct beryl_forward *f, struct request *r,
                           int64_t now_ms)
{
  wait_begin (f, r);
  log_wait (f, r, "prefill_behind", engine_prefill_wait_ms (f, r, now_ms),
            now_ms);
  if (now_ms < latest_start_ms (r))
    refuse_no_room (f, r, now_ms);
  else
    wait_round (f, r, now_ms);
}

void
placement_wake_all (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r = NULL;

  TAILQ_FOREACH (r, &f->requests, entry)
  if (r->waiting && r->phase == PHASE_WAITING && r->timer_ms > now_ms)
    r->timer_ms = now_ms;
}

void
placement_timer (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (now_ms < placement_give_up_ms (r))
    placement_ask (f, r, now_ms);
  else if (handoff_if_doubted (f, r, now_ms))
    return;
  else if (r->answer_begun || r->may_have_run)
    forward_request_fail (f, r, BERYL_REFUSAL_NO_ROOM, now_ms);
  else
    refuse_no_room (f, r, now_ms);
}

void
placement_accept (struct beryl_forward *f, struct exchange *x,
                  const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;
  struct reservation *reservation = &r->reservation;

  engine_learn_unreported_use (f, r, x->endpoint, x->tokens, true, now_ms);
  rates_count_sent (f, r->service, x->endpoint, now_ms);
  reservation->endpoint = x->endpoint;
  reservation->tokens = x->tokens;
  reservation->expires_ms = x->started_ms + lease_ms (r);
  memcpy (reservation->handle, result->handle, sizeof reservation->handle);
  beryl_live_open (reservation->endpoint);
  f->report_due = true;
  forward_request_log (f, r, "reserve", x->endpoint, "granted", x->tokens,
                       now_ms);
  forward_exchange_free (f, x);
}

void
placement_granted (struct beryl_forward *f, struct exchange *x,
                   const struct beryl_engine_result *result, int64_t now_ms)
{
  struct request *r = x->request;

  if (r->relocating)
    {
      relocate_granted (f, x, result, now_ms);
      return;
    }
  placement_wait_end (f, r);
  placement_accept (f, x, result, now_ms);
  generation_reserved (f, r, now_ms);
}

void
placement_ask_failed (struct beryl_forward *f, struct request *r,
                      int64_t now_ms)
{
  if (r->relocating)
    {
      relocate_refused (f, r, now_ms);
      return;
    }
  r->failed_asks++;
  placement_ask (f, r, now_ms);
}

void
placement_refused (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct request *r = x->request;

  forward_request_log (f, r, "reserve", x->endpoint, "full", x->tokens,
                       now_ms);
  x->endpoint->full_until_ms = now_ms + FULL_BACKOFF_MS;
  engine_learn_unreported_use (f, r, x->endpoint, x->tokens, false, now_ms);
  forward_exchange_free (f, x);
  placement_ask_failed (f, r, now_ms);
}

void
reservation_clear (struct beryl_forward *f, struct reservation *reservation)
{
  if (reservation->endpoint == NULL)
    return;
  f->report_due = true;
  beryl_live_close (f->endpoints, reservation->endpoint);
  *reservation = (struct reservation){ 0 };
}

void
reservation_release (struct beryl_forward *f, struct reservation *reservation,
                     int64_t now_ms)
{
  if (reservation->endpoint != NULL && reservation->handle[0] != '\0'
      && now_ms < reservation->expires_ms)
    reservation_cancel (f, reservation->endpoint, reservation->handle, now_ms);
  reservation_clear (f, reservation);
}

void
reservation_cancel (struct beryl_forward *f,
                    struct beryl_live_endpoint *endpoint, const char *handle,
                    int64_t now_ms)
{
  struct beryl_exchange_start start
      = { .kind = BERYL_EXCHANGE_UNRESERVE, .reservation = handle };

  /* The next incarnation may have given the handle to another request. At a
     paused engine the reservation expires by itself. */
  if (endpoint->replaced_ms != 0 || beryl_live_paused (endpoint, now_ms))
    return;
  forward_exchange_start (f, NULL, &start, endpoint, now_ms);
}
