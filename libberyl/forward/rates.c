#include "private.h"

#include <stdio.h>
#include <string.h>

/* Keeps to the rate limits of endpoints, which apply to the requests of all
   nodes together. */

/* Time until peers know of a send, likewise PROPAGATION_MS: reports are
   batched and cross the network. */
#define REPORT_DELAY_MS 50
/* Interval at which the reachable peers are counted. */
#define COUNT_INTERVAL_MS 200
/* Minimum Retry-After if a service is rate limited. */
#define RETRY_MIN_MS 500

static uint32_t
count_reachable (const struct beryl_forward *f, int64_t now_ms)
{
  uint32_t count = 1;

  for (size_t i = 0; i < f->run_table.count; i++)
    count += now_ms - f->run_table.peers[i]->reported_ms
             < run_table_peer_timeout_ms (&f->run_table);
  return count;
}

/* Returns the share of nodes whose reports arrive. The other nodes may be
   running, and send requests as well. */
static double
reachable_share (struct beryl_forward *f, int64_t now_ms)
{
  if (now_ms - f->reachable_counted_ms >= COUNT_INTERVAL_MS)
    {
      f->reachable_counted_ms = now_ms;
      f->reachable_nodes = count_reachable (f, now_ms);
    }
  return f->reachable_nodes < f->nodes ? (double)f->reachable_nodes / f->nodes
                                       : 1;
}

/* Returns the share of reachable nodes, and how many requests of S all nodes
   are expected to send before they learn of each other's sends. */
static struct beryl_limit_cluster
cluster_state (struct beryl_forward *f, struct service *s, int64_t now_ms)
{
  struct repeat_limits repeats = repeats_limits (f, now_ms);
  double requests = repeat_budget_requests (&s->budget, &repeats, now_ms);

  return (struct beryl_limit_cluster){
    .reachable_fraction = reachable_share (f, now_ms),
    .competing_requests
    = requests * f->nodes * REPORT_DELAY_MS / (double)repeats.window_ms,
  };
}

static void
log_limit (struct beryl_forward *f, const struct beryl_live_endpoint *endpoint,
           const char *from)
{
  struct beryl_rate_limit limit
      = beryl_limits_get (f->limits, beryl_live_hash (endpoint));
  char what[40];

  if (f->owner->impl->log_endpoint_state == NULL)
    return;
  if (limit.advertised)
    snprintf (what, sizeof what, "limited milli_per_s=%u",
              limit.millirequests_per_s);
  else
    snprintf (what, sizeof what, "unlimited");
  f->owner->impl->log_endpoint_state (f->owner, endpoint, what, from);
}

/* Only an answer to a served request shows that there is no limit any more.
   The kind of exchange is passed to beryl_limits_observe plus 1, since 0 is
   not a valid kind there. */
void
rates_learn (struct beryl_forward *f, const struct exchange *x,
             const struct beryl_rate_limit *limit, bool served, int64_t now_ms)
{
  if ((limit->advertised || served)
      && beryl_limits_observe (f->limits, beryl_live_hash (x->endpoint),
                               1 + (uint32_t)x->kind, limit, x->started_ms,
                               now_ms))
    log_limit (f, x->endpoint, "own call");
}

bool
rates_is_limited (const struct beryl_forward *f,
                  const struct beryl_live_endpoint *endpoint)
{
  return beryl_limits_count (f->limits) > 0
         && beryl_limits_get (f->limits, beryl_live_hash (endpoint))
                .advertised;
}

bool
rates_allows (struct beryl_forward *f, struct service *s,
              const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_limit_cluster cluster;

  if (!rates_is_limited (f, endpoint))
    return true;
  cluster = cluster_state (f, s, now_ms);
  return beryl_limits_allow (f->limits, beryl_live_hash (endpoint), &cluster,
                             random_unit (&f->random), now_ms);
}

void
rates_count_sent (struct beryl_forward *f, struct service *s,
                  const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_limit_cluster cluster;

  if (!rates_is_limited (f, endpoint))
    return;
  cluster = cluster_state (f, s, now_ms);
  beryl_limits_record_send (f->limits, beryl_live_hash (endpoint), &cluster,
                            now_ms);
}

/* Spreads the retries of callers that all nodes refuse. */
int64_t
rates_retry_after_ms (struct beryl_forward *f, struct service *s,
                      int64_t now_ms)
{
  struct beryl_limit_cluster cluster = cluster_state (f, s, now_ms);
  int64_t min_wait_ms = BERYL_NEVER_MS;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      int64_t wait_ms;

      if (strcmp (endpoint->info.service, s->name) != 0
          || !beryl_live_accepts_work (endpoint)
          || !rates_is_limited (f, endpoint))
        continue;
      wait_ms = beryl_limits_wait_ms (f->limits, beryl_live_hash (endpoint),
                                      &cluster, now_ms);
      if (wait_ms < min_wait_ms)
        min_wait_ms = wait_ms;
    }
  if (min_wait_ms == BERYL_NEVER_MS)
    return 0;
  if (min_wait_ms < RETRY_MIN_MS)
    min_wait_ms = RETRY_MIN_MS;
  return (int64_t)((1 + random_unit (&f->random)) * (double)min_wait_ms);
}

struct beryl_limits *
beryl_forward_limits (struct beryl_forward *f)
{
  return f->limits;
}

static const struct beryl_live_endpoint *
find_endpoint (const struct beryl_forward *f, uint32_t hash)
{
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    if (beryl_live_hash (beryl_live_set_get (f->endpoints, i)) == hash)
      return beryl_live_set_get (f->endpoints, i);
  return NULL;
}

static void
apply_limit (struct beryl_forward *f, uint32_t node,
             const struct beryl_limit_item *item,
             const struct beryl_limit_cluster *cluster, int64_t now_ms)
{
  struct beryl_limits_update update
      = { .node = node, .items = { *item }, .count = 1 };
  struct beryl_rate_limit before
      = beryl_limits_get (f->limits, item->endpoint);
  struct beryl_rate_limit after;
  const struct beryl_live_endpoint *endpoint;

  beryl_limits_apply_update (f->limits, &update, cluster, now_ms);
  after = beryl_limits_get (f->limits, item->endpoint);
  if (before.advertised == after.advertised)
    return;
  endpoint = find_endpoint (f, item->endpoint);
  if (endpoint != NULL)
    log_limit (f, endpoint, "peer");
}

void
beryl_forward_peer_limits (struct beryl_forward *f,
                           const struct beryl_limits_update *update,
                           int64_t now_ms)
{
  struct beryl_limit_cluster cluster
      = { .reachable_fraction = reachable_share (f, now_ms) };

  for (size_t i = 0; i < update->count; i++)
    apply_limit (f, update->node, &update->items[i], &cluster, now_ms);
}
