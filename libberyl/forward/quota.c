#include "private.h"

#include <stdlib.h>

/* Keeps callers to the quota of their organisation. */

struct beryl_quotas *
beryl_forward_quotas (struct beryl_forward *f)
{
  return f->quotas;
}

void
beryl_forward_set_quota_slack (struct beryl_forward *f, double slack)
{
  beryl_quotas_set_slack (f->quotas, slack);
}

void
quota_set_routes (struct beryl_forward *f, const struct beryl_routes *routes)
{
  size_t count = routes->organisation_count;
  struct beryl_quota_entry *entries = calloc (count + 1, sizeof *entries);

  for (size_t i = 0; i < count; i++)
    {
      entries[i].organisation = routes->organisations[i].id;
      entries[i].quota = routes->organisations[i].quota;
    }
  beryl_quotas_set (f->quotas, entries, count);
  free (entries);
}

bool
quota_refuse (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  const struct beryl_route_organisation *organisation = r->organisation;
  struct beryl_quota_request request = { 0 };

  /* The node that the caller asked has counted a request that was handed
     over. */
  if (organisation == NULL || r->handed_over)
    return false;
  request.organisation = organisation->id;
  /* The organisation's rank is the same for all requests of the quota. */
  request.rank = r->route->rank;
  request.cost = beryl_quota_cost (&organisation->quota,
                                   (uint64_t)r->params.prompt_tokens
                                       + r->params.output_tokens_max);
  if (beryl_quotas_admit_ranked (f->quotas, &request, now_ms, &r->quota))
    {
      r->quota_cost = r->quota.limited ? request.cost : 0;
      return false;
    }
  r->over_quota = true;
  forward_request_refuse (f, r, 429, BERYL_REFUSAL_QUOTA,
                          r->quota.retry_after_ms, now_ms);
  return true;
}

void
quota_count_sent (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (r->quota_cost == 0)
    return;
  beryl_quotas_use (f->quotas, r->organisation->id, r->quota_cost, now_ms);
  r->quota_cost = 0;
}

void
quota_release (struct beryl_forward *f, struct request *r)
{
  if (r->quota_cost > 0)
    beryl_quotas_release (f->quotas, r->organisation->id, r->quota_cost);
  r->quota_cost = 0;
}
