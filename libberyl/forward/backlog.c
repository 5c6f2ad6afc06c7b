#include "private.h"

#include <math.h>
#include <sys/param.h>

/* How long generations wait for room, and when those that are refused may
 * come back. */

/* Where no run is known, and so no pace. */
#define NO_RUNS_RETRY_MS 2000
/* Room that is expected sooner is not worth a new connection. */
#define RETRY_LEAST_MS 300
/* A caller that comes back keeps two thirds of its time for its second try. */
#define RETRY_MOST_PART 3
/* And it comes back in the last part of the time that it may be told, at
 * random: it is late in any case, a peak that had no room for it lasts for
 * seconds, and one that is refused again has no further try. */
#define RETRY_LAST_PART 0.5
/* Part of the places that free up which callers who come back may take; the
 * rest is for those who come for the first time. */
#define RETURN_PART 0.5

/* Places that free up in a second at all engines of R's service: a run takes
 * as long as its output is made. */
static double
places_per_s (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  const struct length_model *lengths = &r->service->lengths;
  double run_ms = r->service->output_tokens * lengths->ms_per_token;
  uint32_t runs = engine_runs (f, r, now_ms);

  return run_ms > 0 ? 1000 * runs / run_ms : 0;
}

uint32_t
backlog_waiting (const struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  return r->service->waiting
         + book_waiting (&f->book, beryl_name_hash (r->service->name), now_ms);
}

/* Those that wait ask once a round, and as many come as runs end. */
double
backlog_at_once (struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  return backlog_waiting (f, r, now_ms) * (double)NEWS_MS / ASK_AGAIN_MS
         + places_per_s (f, r, now_ms) * NEWS_MS / 1000;
}

int64_t
backlog_wait_ms (struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  double rate = places_per_s (f, r, now_ms);

  if (rate <= 0)
    return 0;
  return (int64_t)(1000 * backlog_waiting (f, r, now_ms) / rate);
}

static int64_t
drawn_ms (struct beryl_forward *f, int64_t most_ms)
{
  double part = 1 - RETRY_LAST_PART * random_unit (&f->random);

  return (int64_t)(part * (double)most_ms);
}

/* Refused callers come back one after the other, at the pace at which places
 * free up for them.  All told the same time would come back together, meet
 * the same peak again and be refused for good. */
int64_t
backlog_retry_after_ms (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms)
{
  struct service *s = r->service;
  double rate = RETURN_PART * places_per_s (f, r, now_ms) / f->nodes;
  int64_t prefill_ms = engine_prefill_wait_ms (f, r, now_ms);
  int64_t after_ms = backlog_wait_ms (f, r, now_ms);
  int64_t latest_ms = r->timeout_ms;
  int64_t slot_ms;

  if (latest_ms != BERYL_NEVER_MS)
    latest_ms = now_ms + (latest_ms - now_ms) / RETRY_MOST_PART;
  if (after_ms < prefill_ms)
    after_ms = prefill_ms;
  if (rate <= 0)
    return after_ms > NO_RUNS_RETRY_MS ? after_ms : NO_RUNS_RETRY_MS;
  if (after_ms < RETRY_LEAST_MS)
    after_ms = RETRY_LEAST_MS;
  if (latest_ms != BERYL_NEVER_MS)
    after_ms = MAX (after_ms, drawn_ms (f, latest_ms - now_ms));
  slot_ms = now_ms + after_ms;
  if (s->return_ms > slot_ms)
    slot_ms = s->return_ms;
  if (slot_ms > latest_ms)
    slot_ms = latest_ms;
  s->return_ms = slot_ms + (int64_t)(1000 / rate);
  return slot_ms - now_ms;
}
