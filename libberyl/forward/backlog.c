#include "private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/param.h>

/* Estimates how long generations wait for engine memory, and the Retry-After
   of those that are refused. */

/* Minimum Retry-After while no run, and so no rate of completion, is known. */
#define NO_RUNS_RETRY_MS 2000
/* Minimum Retry-After; a shorter wait is not worth a new connection. */
#define RETRY_MIN_MS 300
/* Retry-After is at most the time left to the deadline divided by this, which
   leaves a retrying caller two thirds of that time for its second attempt. */
#define RETRY_MAX_DIVISOR 3
/* Retry-After of a caller with a deadline is random between (1 - this) times
   the maximum and the maximum. There is time for only one more attempt, which
   is most likely to succeed late, since a load peak lasts for seconds. */
#define RETRY_RANDOM_PART 0.5
/* Share of the ending runs whose memory goes to callers that retry; the rest
   is for new requests. */
#define RETRY_SHARE 0.5

/* Returns how many runs end per second at all engines of R's service, each
   leaving room for another one. A run lasts as long as its output takes to
   produce. */
static double
run_ends_per_s (struct beryl_forward *f, const struct request *r,
                int64_t now_ms)
{
  const struct output_model *outputs = &r->service->output_model;
  double run_ms = r->service->output_tokens_mean * outputs->ms_per_token;
  uint32_t runs = engine_run_count (f, r, now_ms);

  return run_ms > 0 ? 1000 * runs / run_ms : 0;
}

uint32_t
backlog_waiting (const struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  return r->service->waiting
         + run_table_waiting (&f->run_table,
                              beryl_name_hash (r->service->name), now_ms);
}

/* Waiting requests ask once per ASK_INTERVAL_MS. New requests are assumed to
   arrive at the rate at which runs end. */
double
backlog_concurrent_choices (struct beryl_forward *f, const struct request *r,
                            int64_t now_ms)
{
  return backlog_waiting (f, r, now_ms) * (double)PROPAGATION_MS
             / ASK_INTERVAL_MS
         + run_ends_per_s (f, r, now_ms) * PROPAGATION_MS / 1000;
}

int64_t
backlog_wait_ms (struct beryl_forward *f, const struct request *r,
                 int64_t now_ms)
{
  double rate = run_ends_per_s (f, r, now_ms);

  if (rate <= 0)
    return 0;
  return (int64_t)(1000 * backlog_waiting (f, r, now_ms) / rate);
}

double
backlog_run_ends (struct beryl_forward *f, const struct request *r, int64_t ms,
                  int64_t now_ms)
{
  return run_ends_per_s (f, r, now_ms) * (double)ms / 1000;
}

bool
backlog_is_ordered (const struct request *r)
{
  return r->config->ranks.count > 1;
}

uint32_t
backlog_rank (const struct request *r, int64_t now_ms)
{
  return place_order_aged_rank (r->rank, now_ms - r->waiting_since_ms,
                                placement_give_up_ms (r)
                                    - r->waiting_since_ms);
}

static bool
is_running (const struct request *r)
{
  return r->reservation.endpoint != NULL;
}

static int
compare_ids (const void *key, const void *item)
{
  const struct beryl_route_organisation *organisation = item;
  uint32_t id = *(const uint32_t *)key;

  return (id > organisation->id) - (id < organisation->id);
}

/* Returns whether the contracted rates of all organisations are known, in one
   unit. */
static bool
has_comparable_quotas (const struct beryl_routes *routes)
{
  for (size_t i = 0; i < routes->organisation_count; i++)
    if (routes->organisations[i].quota.per_s <= 0
        || routes->organisations[i].quota.in_tokens
               != routes->organisations[0].quota.in_tokens)
      return false;
  return true;
}

/* What belongs to no organisation counts as that of a usual one. */
static void
set_weights (const struct beryl_routes *routes, struct place_classes *classes)
{
  double sum = 0;

  if (routes->organisation_count == 0 || !has_comparable_quotas (routes))
    return;
  for (size_t i = 0; i < routes->organisation_count; i++)
    sum += routes->organisations[i].quota.per_s;
  for (size_t i = 0; i < classes->count; i++)
    {
      struct place_class *class = &classes->items[i];
      const struct beryl_route_organisation *organisation = bsearch (
          &class->organisation, routes->organisations,
          routes->organisation_count, sizeof *organisation, compare_ids);

      class->weight = organisation != NULL
                          ? organisation->quota.per_s
                          : sum / (double)routes->organisation_count;
    }
}

/* Sums up the generations of R's service at all nodes. */
static const struct place_classes *
sum_classes (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct service *s = r->service;
  const struct request *other = NULL;

  if (s->classes.count > 0 && now_ms >= s->classes_ms
      && now_ms - s->classes_ms < PROPAGATION_MS)
    return &s->classes;
  s->classes_ms = now_ms;
  s->classes = (struct place_classes){ 0 };
  TAILQ_FOREACH (other, &f->requests, entry)
  {
    struct beryl_engine_run run;

    if (other->service != s || (!other->waiting && !is_running (other)))
      continue;
    engine_describe_run (other, now_ms, &run);
    place_classes_add (&s->classes, run.organisation, run.rank,
                       run.prompt_tokens + (double)run.expected_tokens,
                       !is_running (other));
  }
  run_table_add_waiting (&f->run_table, beryl_name_hash (s->name), &s->classes,
                         now_ms);
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (endpoint->info.stage == BERYL_STAGE_DECODE
          && strcmp (endpoint->info.service, s->name) == 0)
        run_table_add_running (&f->run_table, beryl_live_hash (endpoint),
                               &s->classes, now_ms);
    }
  set_weights (r->routes, &s->classes);
  return &s->classes;
}

double
backlog_order_part (struct beryl_forward *f, const struct request *r,
                    double runs, int64_t now_ms)
{
  uint32_t waiting = backlog_waiting (f, r, now_ms);
  const struct place_classes *classes;
  struct beryl_engine_run run;

  if (waiting < 2)
    return fmin (runs, 1);
  classes = sum_classes (f, r, now_ms);
  engine_describe_run (r, now_ms, &run);
  return place_order_part (classes, run.organisation, run.rank,
                           runs * place_classes_waiting (classes) / waiting);
}

static int64_t
random_retry_ms (struct beryl_forward *f, int64_t max_ms)
{
  double part = 1 - RETRY_RANDOM_PART * random_unit (&f->random);

  return (int64_t)(part * (double)max_ms);
}

/* Spreads the retries of refused callers: callers with a deadline get a random
   time, and consecutive retries are spaced by the interval at which runs end
   and free memory for them, up to the maximum Retry-After. With one common
   time they would all retry together and be refused again, with no time for a
   third attempt. */
int64_t
backlog_retry_after_ms (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms)
{
  struct service *s = r->service;
  double rate = RETRY_SHARE * run_ends_per_s (f, r, now_ms) / f->nodes;
  int64_t prefill_ms = engine_prefill_wait_ms (f, r, now_ms);
  int64_t after_ms = backlog_wait_ms (f, r, now_ms);
  int64_t latest_ms = r->deadline_ms;
  int64_t retry_ms;

  if (latest_ms != BERYL_NEVER_MS)
    latest_ms = now_ms + (latest_ms - now_ms) / RETRY_MAX_DIVISOR;
  if (after_ms < prefill_ms)
    after_ms = prefill_ms;
  if (rate <= 0)
    return after_ms > NO_RUNS_RETRY_MS ? after_ms : NO_RUNS_RETRY_MS;
  if (after_ms < RETRY_MIN_MS)
    after_ms = RETRY_MIN_MS;
  if (latest_ms != BERYL_NEVER_MS)
    after_ms = MAX (after_ms, random_retry_ms (f, latest_ms - now_ms));
  retry_ms = now_ms + after_ms;
  if (s->earliest_retry_ms > retry_ms)
    retry_ms = s->earliest_retry_ms;
  if (retry_ms > latest_ms)
    retry_ms = latest_ms;
  s->earliest_retry_ms = retry_ms + (int64_t)(1000 / rate);
  return retry_ms - now_ms;
}
