#include "private.h"

#include <math.h>
#include <string.h>

/* An endpoint of another data centre looks that much busier; the hop costs
 * about a millisecond of some tens. */
#define OTHER_DATA_CENTRE 0.5
/* Weights of the newest time to an answer; those of TCP's retransmission
 * timer, which estimates the same thing. */
#define TIME_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4
/* Before anything is known of a service, and at the least. */
#define LATE_UNKNOWN_MS 200
#define LATE_MIN_MS 30
/* An endpoint that may crash by another request looks that much busier. */
#define SUSPECT_COST 10
/* When a caller whose service is full may come back. */
#define FULL_RETRY_AFTER_MS 500

void
service_learn (struct service *s, int64_t took_ms)
{
  double took = (double)took_ms;

  if (s->answer_ms == 0)
    {
      s->answer_ms = took;
      s->deviation_ms = took / 2;
      return;
    }
  s->deviation_ms
      += DEVIATION_WEIGHT * (fabs (took - s->answer_ms) - s->deviation_ms);
  s->answer_ms += TIME_WEIGHT * (took - s->answer_ms);
}

int64_t
service_late_ms (const struct service *s)
{
  double late_ms = s->answer_ms + DEVIATIONS * s->deviation_ms;

  if (s->answer_ms == 0)
    return LATE_UNKNOWN_MS;
  return late_ms > LATE_MIN_MS ? (int64_t)late_ms : LATE_MIN_MS;
}

/* How many requests of this node wait at LIVE for longer than is usual.  A
 * silent endpoint shows first by these. */
static uint32_t
stalled_at (const struct beryl_forward *f, const struct beryl_live *live,
            int64_t late_ms, int64_t now_ms)
{
  const struct exchange *x;
  uint32_t count = 0;

  if (live->open_exchanges == 0)
    return 0;
  TAILQ_FOREACH (x, &f->exchanges, entry)
  count += x->live == live && x->kind == BERYL_EXCHANGE_RUN && !x->headed
           && now_ms - x->started_ms > late_ms;
  return count;
}

/* Lower is better.  Work in hand counts by itself; a stalled request or a
 * past of failures outweighs any amount of it, but never excludes. */
static double
cost_of (struct beryl_forward *f, const struct request *r,
         struct beryl_live *live, int64_t now_ms)
{
  double cost = live->open_exchanges;

  if (strcmp (live->info.data_centre, f->settings.data_centre) != 0)
    cost += OTHER_DATA_CENTRE;
  cost *= 1 + live->response_time_ms / 100;
  cost += 20 * live->failure_rate;
  if (beryl_live_avoided (live, now_ms))
    cost += 1000;
  if (crashes_shares (f, r, live, now_ms))
    cost += SUSPECT_COST;
  cost += 100 * stalled_at (f, live, service_late_ms (r->service) * 2, now_ms);
  return cost;
}

static struct beryl_live *
plain_choose (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct beryl_live *best = NULL;
  double best_cost = 0;
  size_t count = beryl_live_set_count (f->lives);
  size_t start = count > 0 ? random_next (&f->random) % count : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct beryl_live *live
          = beryl_live_set_get (f->lives, (start + i) % count);
      double cost;

      if (strcmp (live->info.service, r->service->name) != 0
          || !beryl_live_accepts_work (live) || forward_request_tried (r, live)
          || !rates_allow (f, r->service, live, now_ms))
        continue;
      cost = cost_of (f, r, live, now_ms);
      /* Only a request that may be repeated tries a doubtful endpoint. */
      if (forward_request_repeatable (r) && r->sends == 0
          && beryl_live_probe_due (live, now_ms))
        cost = -1;
      if (best == NULL || cost < best_cost)
        {
          best = live;
          best_cost = cost;
        }
    }
  if (best != NULL && beryl_live_probe_due (best, now_ms))
    best->last_probe_ms = now_ms;
  return best;
}

static void
plain_send (struct beryl_forward *f, struct request *r,
            struct beryl_live *live, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_RUN };
  struct exchange *x;

  forward_request_note_tried (r, live);
  rates_sent (f, r->service, live, now_ms);
  r->sends++;
  r->phase = PHASE_RUNNING;
  r->run_ms = now_ms;
  x = forward_start (f, r, &start, live, now_ms);
  if (r->first == NULL)
    r->first = x;
  else
    r->second = x;
  forward_request_decided (f, r, "send", live, "sent", r->sends, now_ms);
  r->due_ms = r->timeout_ms;
  /* An idempotent request does not wait for an answer that is unusually
     late: a second endpoint is asked, and the first whole answer counts.  It
     turns the silence of a dead endpoint into some tens of milliseconds. */
  if (forward_request_repeatable (r) && r->second == NULL
      && r->sends < r->route->endpoints_max)
    {
      int64_t late_ms = now_ms + service_late_ms (r->service);

      if (late_ms < r->due_ms)
        r->due_ms = late_ms;
    }
}

void
plain_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *live = plain_choose (f, r, now_ms);
  int64_t after_ms;

  if (live != NULL)
    {
      plain_send (f, r, live, now_ms);
      return;
    }
  after_ms = rates_retry_after_ms (f, r->service, now_ms);
  if (after_ms > 0)
    forward_request_refuse (f, r, 503, BERYL_REFUSAL_LIMITED, after_ms,
                            now_ms);
  else
    forward_request_fail (f, r, BERYL_REFUSAL_NO_ENDPOINT, now_ms);
}

void
plain_attempt_failed (struct beryl_forward *f, struct request *r,
                      int64_t now_ms)
{
  struct beryl_live *live;

  if (r->first != NULL) /* another one is still under way */
    return;
  if (crashes_refuse (f, r, now_ms))
    return;
  if (r->may_have_run
      && (!forward_request_repeatable (r)
          || r->endpoints_run >= r->route->endpoints_max))
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  live = plain_choose (f, r, now_ms);
  if (live != NULL && forward_request_take_repeat (f, r, now_ms))
    plain_send (f, r, live, now_ms);
  else if (r->may_have_run)
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else
    forward_request_refuse (f, r, 503, BERYL_REFUSAL_ENDPOINTS_FULL,
                            FULL_RETRY_AFTER_MS, now_ms);
}

void
plain_due (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_live *live;

  r->due_ms = r->timeout_ms;
  if (r->first == NULL || r->first->headed || r->second != NULL
      || crashes_quarantined (f, r, now_ms))
    return;
  live = plain_choose (f, r, now_ms);
  if (live == NULL || beryl_live_avoided (live, now_ms)
      || !forward_request_take_repeat (f, r, now_ms))
    return;
  beryl_live_record_outcome (r->first->live, BERYL_LIVE_TIMED_OUT,
                             now_ms - r->first->started_ms, now_ms);
  plain_send (f, r, live, now_ms);
}
