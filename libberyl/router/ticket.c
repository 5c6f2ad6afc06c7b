#include <stdlib.h>

#include "private.h"

static bool
grow (struct beryl_router *r)
{
  size_t old = r->ticket_count;
  size_t size = old ? old * 2 : 32;
  struct router_ticket *tickets = realloc (r->tickets, size * sizeof *tickets);
  if (!tickets)
    return false;
  r->tickets = tickets;
  uint32_t *unused = realloc (r->free_tickets, size * sizeof *unused);
  if (!unused)
    return false;
  r->free_tickets = unused;
  for (size_t i = size; i > old; i--)
    {
      r->tickets[i - 1] = (struct router_ticket){ .id = i - 1,
                                                  .prefill = ROUTER_NONE,
                                                  .decode = ROUTER_NONE };
      r->free_tickets[r->free_ticket_count++] = (uint32_t)(i - 1);
    }
  r->ticket_count = size;
  return true;
}

/* A ticket's id holds its index in the low half and a generation count in the
 * high half, so that late events of a closed ticket find nothing. */
struct router_ticket *
ticket_open (struct beryl_router *r, const struct beryl_job *job,
             uint32_t service, int64_t now_ms)
{
  if (r->free_ticket_count == 0 && !grow (r))
    return NULL;
  struct router_ticket *t
      = &r->tickets[r->free_tickets[--r->free_ticket_count]];
  uint64_t id = t->id + (UINT64_C (1) << 32);
  *t = (struct router_ticket){
    .id = id,
    .phase = ROUTER_PHASE_PREFILL,
    .service = service,
    .organisation = organisation_find (r, job->organisation),
    .prefill = ROUTER_NONE,
    .decode = ROUTER_NONE,
    .call_class = job->call_class,
    .prompt_tokens = job->prompt_tokens,
    .max_tokens = job->max_tokens,
    .deadline_ms = job->deadline_ms,
    .started_ms = now_ms,
  };
  organisation_job_opened (r, t->organisation);
  return t;
}

struct router_ticket *
ticket_find (struct beryl_router *r, uint64_t id)
{
  size_t at = (uint32_t)id;
  if (at >= r->ticket_count)
    return NULL;
  struct router_ticket *t = &r->tickets[at];
  return t->id == id && t->phase != ROUTER_PHASE_FREE ? t : NULL;
}

void
ticket_close (struct beryl_router *r, struct router_ticket *t)
{
  organisation_job_closed (r, t->organisation);
  t->phase = ROUTER_PHASE_FREE;
  t->prefill = ROUTER_NONE;
  t->decode = ROUTER_NONE;
  r->free_tickets[r->free_ticket_count++] = (uint32_t)t->id;
}

void
ticket_take_slot (struct beryl_router *r, struct router_ticket *t,
                  uint32_t endpoint, int64_t now_ms)
{
  struct router_endpoint *e = &r->endpoints[endpoint];
  t->decode = endpoint;
  e->busy++;
  fleet_record_busy (e, now_ms);
  if (t->service == ROUTER_NONE)
    return;
  struct router_service *s = &r->services[t->service];
  s->decoding++;
  if (e->busy + e->reserved <= e->share)
    s->free_own--;
  else
    s->borrowable--;
}

void
ticket_release_slot (struct beryl_router *r, struct router_ticket *t,
                     int64_t now_ms)
{
  if (t->service != ROUTER_NONE && r->services[t->service].decoding > 0)
    r->services[t->service].decoding--;
  r->capacity_freed_ms = now_ms;
  if (t->decode == ROUTER_NONE)
    return;
  struct router_endpoint *e = &r->endpoints[t->decode];
  if (e->busy == 0)
    return;
  e->busy--;
  fleet_record_busy (e, now_ms);
  if (t->service != ROUTER_NONE && e->busy + e->reserved < e->share)
    r->services[t->service].free_own++;
}

void
ticket_start_prefill (struct beryl_router *r, struct router_ticket *t,
                      uint32_t prefill, double cost_ms, int64_t now_ms)
{
  struct router_endpoint *e = &r->endpoints[prefill];
  const struct router_service *s = &r->services[t->service];
  t->prefill = prefill;
  t->prefill_cost_ms = cost_ms;
  t->prefill_unqueued = prefill_backlog_ms (s, e, now_ms) < 1;
  prefill_started (e, cost_ms, now_ms);
}

void
ticket_reserve (struct beryl_router *r, struct router_ticket *t,
                uint32_t endpoint)
{
  struct router_service *s = &r->services[t->service];
  if (endpoint == ROUTER_NONE)
    {
      s->unbound++;
      return;
    }
  struct router_endpoint *e = &r->endpoints[endpoint];
  t->decode = endpoint;
  e->reserved++;
  if (e->busy + e->reserved <= e->share)
    s->free_own--;
  else
    s->borrowable--;
}

void
ticket_unreserve (struct beryl_router *r, struct router_ticket *t)
{
  if (t->decode == ROUTER_NONE)
    {
      if (t->service != ROUTER_NONE && r->services[t->service].unbound > 0)
        r->services[t->service].unbound--;
      return;
    }
  struct router_endpoint *e = &r->endpoints[t->decode];
  if (e->reserved == 0)
    return;
  e->reserved--;
  if (t->service != ROUTER_NONE && e->busy + e->reserved < e->share)
    r->services[t->service].free_own++;
}
