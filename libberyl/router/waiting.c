#include <stdlib.h>
#include <string.h>

#include "private.h"

size_t
waiting_find (const struct beryl_router *r, uint64_t request)
{
  for (size_t i = 0; i < r->waiting_count; i++)
    if (r->waiting[i].request == request)
      return i;
  return SIZE_MAX;
}

/* Scheduling order: by class, organisations within their share first, then the
 * earliest deadline. */
static bool
precedes (const struct router_waiting *a, const struct router_waiting *b)
{
  if (a->call_class != b->call_class)
    return a->call_class < b->call_class;
  if (a->over_share != b->over_share)
    return !a->over_share;
  if (a->deadline_ms != b->deadline_ms)
    return a->deadline_ms < b->deadline_ms;
  return a->request < b->request;
}

size_t
waiting_ahead (const struct beryl_router *r, const struct router_waiting *w)
{
  size_t ahead = 0;
  for (size_t i = 0; i < r->waiting_count; i++)
    if (r->waiting[i].service == w->service
        && r->waiting[i].request != w->request && precedes (&r->waiting[i], w))
      ahead++;
  return ahead;
}

size_t
waiting_of_service (const struct beryl_router *r, uint32_t service)
{
  size_t n = 0;
  for (size_t i = 0; i < r->waiting_count; i++)
    if (r->waiting[i].service == service)
      n++;
  return n;
}

bool
waiting_insert (struct beryl_router *r, const struct router_waiting *w)
{
  if (r->waiting_count == r->waiting_capacity)
    {
      size_t size = r->waiting_capacity ? r->waiting_capacity * 2 : 16;
      struct router_waiting *waiting
          = realloc (r->waiting, size * sizeof *waiting);
      if (!waiting)
        return false;
      r->waiting = waiting;
      r->waiting_capacity = size;
    }
  size_t at = 0;
  while (at < r->waiting_count && precedes (&r->waiting[at], w))
    at++;
  memmove (r->waiting + at + 1, r->waiting + at,
           (r->waiting_count - at) * sizeof *r->waiting);
  r->waiting[at] = *w;
  r->waiting_count++;
  return true;
}

void
waiting_remove_index (struct beryl_router *r, size_t at)
{
  r->waiting_count--;
  memmove (r->waiting + at, r->waiting + at + 1,
           (r->waiting_count - at) * sizeof *r->waiting);
}

static bool
same_position (const struct router_waiting *a, const struct router_waiting *b)
{
  return a->service == b->service && a->call_class == b->call_class
         && a->over_share == b->over_share && a->deadline_ms == b->deadline_ms;
}

void
waiting_put (struct beryl_router *r, const struct router_waiting *w)
{
  size_t at = waiting_find (r, w->request);
  if (at != SIZE_MAX && same_position (&r->waiting[at], w))
    {
      r->waiting[at].retry_at_ms = w->retry_at_ms;
      return;
    }
  if (at != SIZE_MAX)
    waiting_remove_index (r, at);
  else
    organisation_job_opened (r, w->organisation);
  if (!waiting_insert (r, w))
    organisation_job_closed (r, w->organisation);
}

bool
waiting_remove_request (struct beryl_router *r, uint64_t request)
{
  size_t at = waiting_find (r, request);
  if (at == SIZE_MAX)
    return false;
  waiting_remove_index (r, at);
  return true;
}
