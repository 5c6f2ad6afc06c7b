#include "private.h"

#include <string.h>

/* Ranks of the requests of a service: those of its routes and of the
 * organisations that may use them. */

static struct beryl_rank_pair
rank_of (const struct beryl_route *route,
         const struct beryl_route_organisation *organisation)
{
  return (struct beryl_rank_pair){
    .organisation = beryl_routes_rank (route, organisation),
    .route = route->rank,
  };
}

static bool
is_before (const struct beryl_rank_pair *a, const struct beryl_rank_pair *b)
{
  if (a->organisation != b->organisation)
    return a->organisation < b->organisation;
  return a->route < b->route;
}

/* Returns the position of the first rank that is not before RANK. */
static size_t
find (const struct beryl_rank_set *set, const struct beryl_rank_pair *rank)
{
  size_t at = 0;

  while (at < set->count && is_before (&set->items[at], rank))
    at++;
  return at;
}

static void
add (struct beryl_rank_set *set, struct beryl_rank_pair rank)
{
  size_t at = find (set, &rank);

  if (at == BERYL_SERVICE_RANKS_MAX
      || (at < set->count && !is_before (&rank, &set->items[at])))
    return;
  if (set->count < BERYL_SERVICE_RANKS_MAX)
    set->count++;
  memmove (&set->items[at + 1], &set->items[at],
           (set->count - at - 1) * sizeof *set->items);
  set->items[at] = rank;
}

static uint32_t
position (const struct beryl_rank_set *set, struct beryl_rank_pair rank)
{
  size_t at = find (set, &rank);

  if (at > 0 && at == set->count)
    at--;
  return (uint32_t)at;
}

static void
add_route (const struct beryl_routes *routes, const struct beryl_route *route,
           struct beryl_route_service *service)
{
  add (&service->route_ranks, rank_of (route, NULL));
  if (!routes->authenticates || route->anonymous)
    add (&service->ranks, rank_of (route, NULL));
  for (size_t i = 0; i < routes->organisation_count; i++)
    add (&service->ranks, rank_of (route, &routes->organisations[i]));
}

void
service_ranks_freeze (struct beryl_routes *routes)
{
  for (size_t i = 0; i < routes->route_count; i++)
    {
      const struct beryl_route *route = &routes->routes[i];

      for (size_t k = 0; k < route->target_count; k++)
        {
          struct beryl_route_service *service
              = &routes->services[route->targets[k].service];

          if (service->has_engines)
            add_route (routes, route, service);
        }
    }
}

uint32_t
beryl_routes_service_rank (const struct beryl_route_service *service,
                           const struct beryl_route *route,
                           const struct beryl_route_organisation *organisation)
{
  return position (&service->ranks, rank_of (route, organisation));
}

uint32_t
beryl_routes_service_route_rank (const struct beryl_route_service *service,
                                 const struct beryl_route *route)
{
  return position (&service->route_ranks, rank_of (route, NULL));
}
