#include "private.h"

/* A stream without an event for that long has stalled: its engine is dead, or
 * has stopped the run for want of memory. */
#define STALL_MS 250
/* A stalled stream goes on elsewhere after so long.  An engine that stopped
 * the run needs a few hundred milliseconds to read its prompt again; beyond
 * that it is taken for dead. */
#define DEAD_MS 1000

int64_t
stream_due_ms (const struct request *r)
{
  int64_t due_ms = r->event_ms + (r->stalled ? DEAD_MS : STALL_MS);

  return due_ms < r->timeout_ms ? due_ms : r->timeout_ms;
}

static void
stalled (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct book_curve curve;

  r->stalled = true;
  engine_curve (f, r->service, r->first->live, now_ms, &curve);
  request_decided (f, r, "stall", r->first->live, "waits",
                   (int64_t)curve.tokens[0], now_ms);
}

static void
given_up (struct beryl_forward *f, struct request *r, int64_t now_ms)
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

static bool
may_go_on_elsewhere (const struct request *r)
{
  return r->route->resumable && r->endpoints_run < r->route->endpoints_max;
}

void
stream_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t silent_ms = now_ms - r->event_ms;

  r->due_ms = r->timeout_ms;
  if (r->first == NULL || r->move_to != NULL || r->caller_slow)
    return;
  if (silent_ms >= STALL_MS && !r->stalled)
    stalled (f, r, now_ms);
  if (silent_ms < DEAD_MS)
    r->due_ms = stream_due_ms (r);
  else if (may_go_on_elsewhere (r))
    given_up (f, r, now_ms);
}

void
stream_learn (struct beryl_forward *f, const struct request *r)
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
