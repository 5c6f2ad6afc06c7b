#include "private.h"

#include <math.h>
#include <string.h>
#include <sys/param.h>

/* Refuses plain requests that the endpoints of their service cannot answer in
   time, as none of them waits at a node. */

/* Retry-After is at most the time left to the deadline divided by this, as for
   generations. */
#define RETRY_MAX_DIVISOR 3
/* Callers who cannot wait until there is room come back within the last part
   of the time that they can. */
#define RETRY_RANDOM_PART 0.5
/* Part of the objective that calls may take on average, which leaves some time
   for the longer ones. */
#define TARGET_PART 0.6
/* The load of the endpoints is not known before this node has seen it for this
   long. */
#define LEARN_MS 2000

void
plain_admission_set_routes (struct beryl_forward *f)
{
  for (size_t i = 0; i < f->service_count; i++)
    f->services[i]->objective_ms = 0;
}

static bool
is_usable (const struct service *s, const struct beryl_live_endpoint *endpoint)
{
  return strcmp (endpoint->info.service, s->name) == 0
         && beryl_live_accepts_work (endpoint);
}

/* Returns how many requests of S ENDPOINT takes well per second; 0 if that is
   not known. */
static double
endpoint_room (struct beryl_forward *f, const struct service *s,
               const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_capacity_belief belief
      = speeds_of (f, s, endpoint, BERYL_WORK_CALL, now_ms);
  struct beryl_admission_endpoint facts = {
    .slots = endpoint->info.slots,
    .ms_per_call = belief.ms_per_unit,
    .load_per_s = fmax (belief.load_per_s - belief.refused_per_s, 0),
    .target_ms = TARGET_PART * (double)s->objective_ms,
  };
  double room_per_s = beryl_admission_room (&facts);

  if (endpoint->info.slots == 0)
    return 0;
  /* A new endpoint is taken to be like the others. */
  return room_per_s > 0 ? room_per_s : belief.limit_per_s;
}

/* Returns how many requests of S its endpoints take well per second; 0 if that
   is not known of all of them. Endpoints that only this node avoids are used
   by the others. */
static double
service_room (struct beryl_forward *f, struct service *s, int64_t now_ms)
{
  double sum_per_s = 0;

  if (s->calls_since_ms == 0)
    s->calls_since_ms = now_ms;
  if (now_ms - s->calls_since_ms < LEARN_MS)
    return 0;
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      double room_per_s;

      if (!is_usable (s, endpoint))
        continue;
      room_per_s = endpoint_room (f, s, endpoint, now_ms);
      if (room_per_s <= 0)
        return 0;
      sum_per_s += room_per_s;
    }
  return sum_per_s;
}

/* The shortest objective of a service's routes counts. */
static void
learn_objective (struct service *s, const struct beryl_route *route)
{
  if (route->objective_ms > 0
      && (s->objective_ms == 0 || route->objective_ms < s->objective_ms))
    s->objective_ms = route->objective_ms;
}

static int64_t
retry_after_ms (struct beryl_forward *f, const struct request *r,
                int64_t now_ms)
{
  int64_t after_ms = r->admission.retry_after_ms;
  int64_t most_ms;

  if (r->deadline_ms == BERYL_NEVER_MS)
    return after_ms;
  most_ms = MAX ((r->deadline_ms - now_ms) / RETRY_MAX_DIVISOR, 1);
  if (after_ms <= most_ms)
    return after_ms;
  return MAX (1, (int64_t)((1 - RETRY_RANDOM_PART * random_unit (&f->random))
                           * (double)most_ms));
}

bool
plain_admission_refuse (struct beryl_forward *f, struct request *r,
                        int64_t now_ms)
{
  struct beryl_admission_class request = {
    .service = beryl_name_hash (r->service->name),
    .organisation = r->organisation != NULL ? r->organisation->id : 0,
    .rank = beryl_routes_rank (r->route, r->organisation),
  };
  enum beryl_refusal_reason reason = BERYL_REFUSAL_OVERLOADED;

  /* Without an objective there is no time after which an answer is late. */
  learn_objective (r->service, r->route);
  if (r->service->objective_ms == 0)
    return false;
  r->admission = beryl_admission_ask (
      f->admission, &request, service_room (f, r->service, now_ms), now_ms);
  /* The node that handed it over may have sent it. */
  if (r->admission.reason == BERYL_ADMISSION_ADMITTED || r->may_have_run
      || r->endpoints_run_count > 0)
    return false;
  if (r->admission.reason == BERYL_ADMISSION_OVER_SHARE)
    reason = BERYL_REFUSAL_OVER_SHARE;
  forward_request_refuse (f, r, 503, reason, retry_after_ms (f, r, now_ms),
                          now_ms);
  return true;
}
