#include "private.h"

#include <string.h>

#include "../decide/connection_shares.h"

/* Keeps to this node's part of the connections that an endpoint accepts from
   all nodes. Engines break connections for other reasons as a rule. */

/* Least Retry-After of a request that gets no connection. */
#define RETRY_MIN_MS 250

/* Returns whether a request of R's kind has been at ENDPOINT for longer than
   half of the time in which its answer is expected. */
static bool
is_overdue (const struct beryl_forward *f, const struct request *r,
            const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  const struct exchange *x = NULL;

  if (endpoint->info.stage != BERYL_STAGE_NONE || endpoint->open_exchanges == 0
      || r->route->objective_ms == 0)
    return false;
  TAILQ_FOREACH (x, &f->exchanges, entry)
  if (x->endpoint == endpoint && x->kind == BERYL_EXCHANGE_RUN && !x->has_head
      && 2 * (now_ms - x->started_ms) > r->route->objective_ms)
    return true;
  return false;
}

static struct connection_facts
facts_of (const struct beryl_forward *f, const struct request *r,
          const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return (struct connection_facts){
    .limit = r->config->connections_max,
    .nodes = f->nodes,
    .open = endpoint->open_exchanges,
    .now_ms = now_ms,
  };
}

bool
connections_allow (const struct beryl_forward *f, const struct request *r,
                   const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct connection_facts facts = facts_of (f, r, endpoint, now_ms);

  return connection_share_ask (&endpoint->connections, &facts)
         != CONNECTION_REFUSED;
}

int64_t
connections_hold_ms (const struct beryl_forward *f, const struct request *r,
                     const struct beryl_live_endpoint *endpoint,
                     int64_t now_ms)
{
  struct connection_facts facts = facts_of (f, r, endpoint, now_ms);

  facts.open--;
  facts.overdue = is_overdue (f, r, endpoint, now_ms);
  return connection_share_ask (&endpoint->connections, &facts)
                 != CONNECTION_OPEN
             ? connection_share_hold_ms (r->route->objective_ms)
             : 0;
}

bool
connections_was_over_limit (struct beryl_forward *f, struct exchange *x,
                            enum beryl_exchange_failure how, bool sent,
                            int64_t now_ms)
{
  struct beryl_live_endpoint *endpoint = x->endpoint;
  struct connection_facts facts;

  if (x->request == NULL || !beryl_exchange_carries_request (x->kind)
      || x->has_head || x->request->config->connections_max == 0
      || (how != BERYL_FAILURE_RESET && (sent || how != BERYL_FAILURE_CLOSED)))
    return false;
  facts = facts_of (f, x->request, endpoint, now_ms);
  f->report_due = true;
  if (sent)
    {
      if (endpoint->info.stage == BERYL_STAGE_NONE)
        connection_share_doubt (&endpoint->connections, &facts);
      return false;
    }
  connection_share_reset (&endpoint->connections, &facts);
  forward_request_log (f, x->request, "connection", endpoint, "over_limit",
                       facts.open, now_ms);
  /* No share holds requests back from engines: one that resets connections
     counts as failing. */
  return endpoint->info.stage == BERYL_STAGE_NONE;
}

void
connections_full (struct beryl_forward *f, const struct exchange *x,
                  int64_t now_ms)
{
  struct connection_facts facts
      = facts_of (f, x->request, x->endpoint, now_ms);

  if (x->endpoint->info.stage == BERYL_STAGE_NONE)
    connection_share_doubt (&x->endpoint->connections, &facts);
}

bool
connections_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  int64_t least_ms = BERYL_NEVER_MS;

  if (r->config->connections_max == 0 || r->may_have_run)
    return false;
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      struct connection_facts facts = facts_of (f, r, endpoint, now_ms);
      int64_t wait_ms;

      if (strcmp (endpoint->info.service, r->service->name) != 0
          || !beryl_live_accepts_work (endpoint))
        continue;
      wait_ms = connection_share_wait_ms (&endpoint->connections, &facts);
      if (wait_ms < least_ms)
        least_ms = wait_ms;
    }
  if (least_ms == BERYL_NEVER_MS || least_ms == 0)
    return false;
  forward_request_refuse (f, r, 503, BERYL_REFUSAL_NO_CONNECTION,
                          least_ms > RETRY_MIN_MS ? least_ms : RETRY_MIN_MS,
                          now_ms);
  return true;
}
