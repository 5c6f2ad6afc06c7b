/** @file
 * Which service answers a request, by host and path, and under which terms.
 *
 * A table is immutable once built and counted by references, so that each
 * request keeps the one it began with while newer ones take its place.
 */
#ifndef BERYL_ROUTES_H
#define BERYL_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/ids.h"

/** How often a request may run. */
enum beryl_repeat
{
  BERYL_REPEAT_IDEMPOTENT, /**< any number of times */
  BERYL_REPEAT_ONCE,       /**< at most once */
};

/** A service that a route's requests may go to. */
struct beryl_route_target
{
  size_t service;  /**< index into the table's services */
  uint32_t weight; /**< share of the requests, relative to the others */
};

/** Terms of the requests of one host and path prefix. */
struct beryl_route
{
  char name[BERYL_NAME_BYTES];
  char *host;
  char *path_prefix; /**< begins and ends with a slash */
  enum beryl_repeat repeat;
  bool streaming; /**< the answer is a series of events */
  bool resumable; /**< a stream may go on at another endpoint */
  bool
      generation; /**< a model call: prompt and output are counted in tokens */
  uint32_t endpoints_max;   /**< that one request may run at; at least 1 */
  int64_t timeout_ms;       /**< longest wait of a caller; 0: no limit */
  int64_t objective_ms;     /**< to the answer or the first event; 0: none */
  int64_t gap_objective_ms; /**< longest pause between events; 0: none */
  /** Callers leave a stream that is silent for so long; 0: not known. */
  int64_t caller_idle_timeout_ms;
  uint32_t rank; /**< 0 is the most urgent */
  struct beryl_route_target *targets;
  size_t target_count;
};

/** What the engines of a service can do; zero members are unknown. */
struct beryl_engine_capabilities
{
  uint32_t slots; /**< requests at a time */
  uint64_t kv_tokens;
  uint64_t kv_bytes_per_token;
  double link_mbps;
  bool
      can_relocate; /**< a running request's memory can go to another engine */
  bool can_back_up; /**< it can be copied to another engine while it runs */
  uint32_t event_tokens; /**< most tokens in one event */
  int64_t kv_handle_ms;  /**< how long a prefill's result is kept */
  int64_t role_change_ms;
  int64_t pin_ms;
  int64_t reservation_ms; /**< longest lease on decode memory */
};

/** A service behind the routes. */
struct beryl_route_service
{
  char name[BERYL_NAME_BYTES];
  char *health_path;        /**< may be "" */
  uint32_t connections_max; /**< that one endpoint takes from all; 0: any */
  bool has_engines;
  struct beryl_engine_capabilities engine; /**< if engines */
};

/** What callers may send. */
struct beryl_caller_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
};

/** A configuration of routes. */
struct beryl_routes
{
  uint64_t version;
  struct beryl_route *routes;
  size_t route_count;
  struct beryl_route_service *services;
  size_t service_count;
  struct beryl_caller_limits limits;
  uint32_t references;
  uint32_t *by_host; /**< indices of routes, sorted for lookup */
};

/** Create an empty table with one reference. */
struct beryl_routes *beryl_routes_create (uint64_t version);

/** Add a service; returns its index.  The texts are copied. */
size_t beryl_routes_add_service (struct beryl_routes *routes,
                                 const struct beryl_route_service *service);

/** Add a route; texts and targets are copied. */
void beryl_routes_add (struct beryl_routes *routes,
                       const struct beryl_route *route);

/** Find a service by name; false if there is none. */
bool beryl_routes_service_index (const struct beryl_routes *routes,
                                 const char *name, size_t *index);

/** Sort for lookup; nothing may be added after. */
void beryl_routes_freeze (struct beryl_routes *routes);

struct beryl_routes *beryl_routes_ref (struct beryl_routes *routes);

/** Drop a reference; NULL is allowed. */
void beryl_routes_unref (struct beryl_routes *routes);

/** Return the route of HOST (any case, a port is ignored) whose prefix is
 * the longest that begins PATH, or NULL. */
const struct beryl_route *beryl_routes_find (const struct beryl_routes *routes,
                                             const char *host,
                                             const char *path);

/** Choose a target by weight; POINT is uniform in [0, 1). */
const struct beryl_route_service *
beryl_routes_choose (const struct beryl_routes *routes,
                     const struct beryl_route *route, double point);

#endif
