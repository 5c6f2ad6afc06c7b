#include "private.h"

#include <stdlib.h>

/* Keeps callers to the allotment of their organisation. */

struct beryl_allotments *
beryl_forward_allotments (struct beryl_forward *f)
{
  return f->allotments;
}

void
beryl_forward_set_allotment_slack (struct beryl_forward *f, double slack)
{
  beryl_allotments_set_slack (f->allotments, slack);
}

void
allotment_set_routes (struct beryl_forward *f,
                      const struct beryl_routes *routes)
{
  size_t count = routes->organisation_count;
  struct beryl_allotment_entry *entries = calloc (count + 1, sizeof *entries);

  for (size_t i = 0; i < count; i++)
    {
      entries[i].organisation = routes->organisations[i].id;
      entries[i].allotment = routes->organisations[i].allotment;
    }
  beryl_allotments_set (f->allotments, entries, count);
  free (entries);
}

bool
allotment_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  const struct beryl_route_organisation *organisation = r->organisation;
  uint32_t cost;

  if (organisation == NULL)
    return false;
  cost = beryl_allotment_cost (&organisation->allotment,
                               (uint64_t)r->params.prompt_tokens
                                   + r->params.output_tokens_max);
  if (beryl_allotments_admit (f->allotments, organisation->id, cost, now_ms,
                              &r->allotment))
    {
      r->allotment_cost = r->allotment.limited ? cost : 0;
      return false;
    }
  r->over_allotment = true;
  forward_request_refuse (f, r, 429, BERYL_REFUSAL_ALLOTMENT,
                          r->allotment.retry_after_ms, now_ms);
  return true;
}

void
allotment_count_sent (struct beryl_forward *f, struct request *r,
                      int64_t now_ms)
{
  if (r->allotment_cost == 0)
    return;
  beryl_allotments_use (f->allotments, r->organisation->id, r->allotment_cost,
                        now_ms);
  r->allotment_cost = 0;
}

void
allotment_release (struct beryl_forward *f, struct request *r)
{
  if (r->allotment_cost > 0)
    beryl_allotments_release (f->allotments, r->organisation->id,
                              r->allotment_cost);
  r->allotment_cost = 0;
}
