#include "private.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct beryl_routes *
beryl_routes_create (uint64_t version)
{
  struct beryl_routes *routes = calloc (1, sizeof *routes);

  routes->version = version;
  routes->references = 1;
  organisations_init (routes);
  return routes;
}

struct beryl_routes *
beryl_routes_ref (struct beryl_routes *routes)
{
  routes->references++;
  return routes;
}

void
beryl_routes_unref (struct beryl_routes *routes)
{
  if (routes == NULL || --routes->references > 0)
    return;
  for (size_t i = 0; i < routes->route_count; i++)
    {
      free (routes->routes[i].host);
      free (routes->routes[i].path_prefix);
      free (routes->routes[i].targets);
    }
  for (size_t i = 0; i < routes->service_count; i++)
    free (routes->services[i].health_path);
  free (routes->routes);
  free (routes->services);
  free (routes->by_host);
  free (routes->organisations);
  free (routes->keys);
  organisations_clear (routes);
  free (routes);
}

size_t
beryl_routes_add_service (struct beryl_routes *routes,
                          const struct beryl_route_service *service)
{
  struct beryl_route_service *copy;
  size_t index = routes->service_count++;

  routes->services = realloc (
      routes->services, routes->service_count * sizeof *routes->services);
  copy = &routes->services[index];
  *copy = *service;
  copy->health_path
      = strdup (service->health_path != NULL ? service->health_path : "");
  return index;
}

void
beryl_routes_add (struct beryl_routes *routes, const struct beryl_route *route)
{
  struct beryl_route *copy;

  routes->routes = realloc (routes->routes, (routes->route_count + 1)
                                                * sizeof *routes->routes);
  copy = &routes->routes[routes->route_count++];
  *copy = *route;
  copy->host = strdup (route->host);
  copy->path_prefix = strdup (route->path_prefix);
  copy->targets = malloc (route->target_count * sizeof *copy->targets);
  memcpy (copy->targets, route->targets,
          route->target_count * sizeof *copy->targets);
}

bool
beryl_routes_service_index (const struct beryl_routes *routes,
                            const char *name, size_t *index)
{
  for (size_t i = 0; i < routes->service_count; i++)
    if (strcmp (routes->services[i].name, name) == 0)
      {
        *index = i;
        return true;
      }
  return false;
}

/* Orders routes by host, and those of one host by decreasing prefix length, so
 * that the first match is the longest. */
static int
compare_routes (const void *a, const void *b, void *user)
{
  const struct beryl_routes *routes = user;
  const struct beryl_route *left = &routes->routes[*(const uint32_t *)a];
  const struct beryl_route *right = &routes->routes[*(const uint32_t *)b];
  size_t left_bytes = strlen (left->path_prefix);
  size_t right_bytes = strlen (right->path_prefix);
  int order = strcasecmp (left->host, right->host);

  if (order != 0)
    return order;
  return (left_bytes < right_bytes) - (left_bytes > right_bytes);
}

bool
beryl_routes_freeze (struct beryl_routes *routes)
{
  routes->by_host = malloc ((routes->route_count + 1) * sizeof (uint32_t));
  for (size_t i = 0; i < routes->route_count; i++)
    routes->by_host[i] = (uint32_t)i;
  qsort_r (routes->by_host, routes->route_count, sizeof (uint32_t),
           compare_routes, routes);
  service_ranks_freeze (routes);
  return organisations_freeze (routes);
}

/* Compares the first HOST_BYTES bytes of HOST with the whole of NAME. */
static int
compare_host (const char *name, const char *host, size_t host_bytes)
{
  int order = strncasecmp (name, host, host_bytes);

  return order != 0 ? order : name[host_bytes] != '\0';
}

/* Returns the position in by_host of the first route of HOST. */
static size_t
first_route_of_host (const struct beryl_routes *routes, const char *host,
                     size_t host_bytes)
{
  size_t low = 0, high = routes->route_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct beryl_route *route
          = &routes->routes[routes->by_host[middle]];

      if (compare_host (route->host, host, host_bytes) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const struct beryl_route *
beryl_routes_find (const struct beryl_routes *routes, const char *host,
                   const char *path)
{
  size_t host_bytes = strcspn (host, ":");

  for (size_t i = first_route_of_host (routes, host, host_bytes);
       i < routes->route_count; i++)
    {
      const struct beryl_route *route = &routes->routes[routes->by_host[i]];

      if (compare_host (route->host, host, host_bytes) != 0)
        return NULL;
      if (strncmp (path, route->path_prefix, strlen (route->path_prefix)) == 0)
        return route;
    }
  return NULL;
}

const struct beryl_route_service *
beryl_routes_choose (const struct beryl_routes *routes,
                     const struct beryl_route *route, double point)
{
  double total = 0;

  for (size_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  point *= total;
  for (size_t i = 0; i < route->target_count; i++)
    {
      point -= route->targets[i].weight;
      if (point < 0)
        return &routes->services[route->targets[i].service];
    }
  return route->target_count > 0 ? &routes->services[route->targets[0].service]
                                 : NULL;
}
