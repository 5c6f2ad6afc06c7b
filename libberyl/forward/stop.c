#include "private.h"

#include <math.h>

/* Planned stop: refuses requests that might not be answered before the process
   ends, so that their callers go to another node.  That is decided again
   before each step towards an endpoint, since a wait may have taken longer
   than expected. */

/* Retry-After of a stopping node; the caller can use another node at once. */
#define STOPPING_RETRY_AFTER_MS 50
/* Time that a plain request is expected to need at least. */
#define PLAIN_MIN_MS 1000
/* Expected time from sending a generation to its first event. */
#define FIRST_EVENT_MS 100
/* A stream of fewer events says little about the pace of its engine: a single
   pause for the prefill of another prompt dominates. */
#define OUTPUT_EVENTS_MIN 8

static double
output_ms (const struct request *r, double tokens)
{
  return tokens * r->service->output_model.ms_per_token;
}

static void
learn_generation (struct request *r, int64_t now_ms)
{
  struct service *s = r->service;
  uint64_t after_first = r->event_count > 0 ? r->event_count - 1 : 0;
  double tokens = (double)after_first * r->config->engine.event_tokens;

  if (r->first_event_ms == 0)
    return;
  completion_learn (&s->first_events, FIRST_EVENT_MS,
                    r->first_event_ms - r->first_run_ms);
  if (after_first >= OUTPUT_EVENTS_MIN)
    completion_learn (&s->outputs, output_ms (r, tokens),
                      now_ms - r->first_event_ms);
}

void
stop_learn_run (struct request *r, int64_t now_ms)
{
  struct service *s = r->service;

  if (r->first_run_ms == 0)
    return;
  if (forward_request_is_generation (r))
    learn_generation (r, now_ms);
  else
    completion_learn (&s->answers, s->answer_mean_ms,
                      now_ms - r->first_run_ms);
}

/* Returns the tokens that R may still produce. The id after which its caller
   resumes is taken for a number of events unless ids do not count these. */
static double
tokens_left (const struct request *r)
{
  double events = (double)r->event_count;
  double produced;

  if (!event_numbering_jumps (&r->service->event_numbering))
    events += (double)r->params.last_event_id;
  produced = events * r->config->engine.event_tokens;
  return fmax ((double)r->params.output_tokens_max - produced, 0);
}

/* Returns whether R has an exchange that may run it. */
static bool
is_sent (const struct request *r)
{
  return r->phase == PHASE_RUNNING || r->phase == PHASE_CONFIRMING
         || r->phase == PHASE_HANDED_OFF;
}

/* Returns how long a plain request of S has waited for its answer by now. */
static int64_t
oldest_run_ms (const struct beryl_forward *f, const struct service *s,
               int64_t now_ms)
{
  const struct request *r;

  TAILQ_FOREACH (r, &f->requests, entry)
  if (r->service == s && !forward_request_is_generation (r) && is_sent (r)
      && !r->answer_begun && r->first_run_ms != 0)
    return now_ms - r->first_run_ms;
  return 0;
}

/* Returns the same as run_bound_ms for a plain request.  Another node serves
   one that may not be repeated at once, and nobody can once it is cut off: it
   is taken on better evidence. */
static int64_t
plain_bound_ms (const struct beryl_forward *f, const struct request *r,
                int64_t now_ms)
{
  const struct service *s = r->service;
  int64_t bound_ms = completion_bound_ms (&s->answers, s->answer_mean_ms);
  int64_t open_ms;

  if (bound_ms < PLAIN_MIN_MS)
    bound_ms = PLAIN_MIN_MS;
  if (forward_request_is_repeatable (r))
    return bound_ms;
  if (!completion_is_known (&s->answers))
    return INT64_MAX / 2; /* only its deadline ends it */
  open_ms = completion_open_bound_ms (oldest_run_ms (f, s, now_ms));
  return open_ms > bound_ms ? open_ms : bound_ms;
}

/* Returns an upper bound of the time from sending R to the end of its
   answer. */
static int64_t
run_bound_ms (const struct beryl_forward *f, const struct request *r,
              int64_t now_ms)
{
  const struct service *s = r->service;

  if (!forward_request_is_generation (r))
    return plain_bound_ms (f, r, now_ms);
  if (r->params.output_tokens_max == 0)
    return INT64_MAX / 2; /* only its deadline ends it */
  return completion_bound_ms (&s->first_events, FIRST_EVENT_MS)
         + completion_bound_ms (&s->outputs, output_ms (r, tokens_left (r)));
}

/* Returns the expected time until R can be sent. */
static int64_t
before_run_ms (struct beryl_forward *f, const struct request *r,
               int64_t now_ms)
{
  int64_t expected_ms = 0;

  if (!forward_request_is_generation (r))
    return 0;
  if (r->reservation.endpoint == NULL)
    expected_ms += backlog_wait_ms (f, r, now_ms);
  if (r->kv.endpoint == NULL && r->warm_engine == 0)
    expected_ms += prefill_expected_ms (f, r, now_ms);
  return expected_ms;
}

static bool
refuse_if_late (struct beryl_forward *f, struct request *r, int64_t needed_ms,
                int64_t now_ms)
{
  int64_t left_ms = f->stop_ms - now_ms;

  if (r->deadline_ms <= f->stop_ms || needed_ms <= left_ms)
    return false;
  forward_request_log (f, r, "stop", NULL, "late", needed_ms, now_ms);
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_STOPPING,
                          STOPPING_RETRY_AFTER_MS, now_ms);
  return true;
}

/* Returns whether the stop of the process decides about R.  A stream that has
   begun goes on as long as it can. */
static bool
concerns (const struct beryl_forward *f, const struct request *r)
{
  return f->stop_ms != BERYL_NEVER_MS && !r->answer_begun;
}

bool
stop_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  return concerns (f, r)
         && refuse_if_late (
             f, r, before_run_ms (f, r, now_ms) + run_bound_ms (f, r, now_ms),
             now_ms);
}

bool
stop_refuse_run (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!concerns (f, r))
    return false;
  if (refuse_if_late (f, r, run_bound_ms (f, r, now_ms), now_ms))
    return true;
  forward_request_log (f, r, "stop", NULL, "fits", run_bound_ms (f, r, now_ms),
                       now_ms);
  return false;
}

void
beryl_forward_stop (struct beryl_forward *f, int64_t end_ms, int64_t now_ms)
{
  struct request *r, *next;

  f->stop_ms = end_ms;
  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (r->phase == PHASE_PREFILLING)
        stop_refuse_run (f, r, now_ms);
      else if (!is_sent (r))
        stop_refuse (f, r, now_ms);
    }
}

void
beryl_forward_stop_end (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r;

  while ((r = TAILQ_FIRST (&f->requests)) != NULL)
    {
      forward_request_log (f, r, "stop", NULL, "ended",
                           (int64_t)r->event_count, now_ms);
      forward_request_refuse (f, r, 503, BERYL_REFUSAL_STOPPING,
                              STOPPING_RETRY_AFTER_MS, now_ms);
    }
}
