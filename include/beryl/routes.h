/** @file
 * Maps requests by host and path to services and request policies, and
 * callers' keys to organisations.
 *
 * A table is immutable once frozen and reference-counted, so that each request
 * keeps the table it started with while a new one replaces it.
 */
#ifndef BERYL_ROUTES_H
#define BERYL_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/quotas.h"
#include "beryl/ids.h"

/** How often a request may be executed. */
enum beryl_repeat
{
  BERYL_REPEAT_IDEMPOTENT, /**< any number of times */
  BERYL_REPEAT_ONCE,       /**< at most once */
};

/** Weighted target service of a route. */
struct beryl_route_target
{
  size_t service;  /**< index into the table's services */
  uint32_t weight; /**< relative share of the requests */
};

/** Policy for the requests of one host and path prefix. */
struct beryl_route
{
  char name[BERYL_NAME_BYTES];
  char *host;
  char *path_prefix; /**< starts and ends with a slash */
  enum beryl_repeat repeat;
  bool streaming;  /**< the response is an event stream */
  bool resumable;  /**< a stream may be resumed at another endpoint */
  bool generation; /**< model call: prompt and output are counted in tokens */
  bool anonymous;  /**< callers without a key are served too */
  uint32_t endpoints_max; /**< maximum number of endpoints that one request may
                             be sent to; at least 1 */
  int64_t timeout_ms;     /**< request timeout; 0: no limit */
  int64_t
      objective_ms; /**< target time to the response or first event; 0: none */
  int64_t gap_objective_ms; /**< target maximum gap between events; 0: none */
  /** Silence after which callers abandon a stream; 0: unknown. */
  int64_t caller_idle_timeout_ms;
  uint32_t rank; /**< priority rank; 0 is the most urgent */
  struct beryl_route_target *targets;
  size_t target_count;
};

/** Capabilities of a service's engines; zero members are unknown. */
struct beryl_engine_capabilities
{
  uint32_t slots; /**< concurrent requests */
  uint64_t kv_tokens;
  uint64_t kv_bytes_per_token;
  double link_mbps;  /**< link bandwidth, in the unit of the configuration; not
                        used */
  bool can_relocate; /**< a running request's KV cache can be moved to another
                        engine */
  bool can_back_up;  /**< a running request's KV cache can be copied to another
                        engine */
  uint32_t event_tokens;   /**< maximum tokens in one event */
  int64_t kv_handle_ms;    /**< lifetime of a prefill's KV handle */
  int64_t stage_change_ms; /**< stated duration of a stage change; not used */
  int64_t pin_ms;          /**< stated pin time; not used */
  int64_t reservation_ms;  /**< maximum lease on decode memory */
};

/** Organisation whose callers authenticate by keys. */
struct beryl_route_organisation
{
  char name[BERYL_NAME_BYTES];
  uint32_t id;   /**< set by beryl_routes_freeze; unique in the table */
  bool has_rank; /**< RANK goes before that of the route */
  uint32_t rank; /**< 0 is the most urgent */
  struct beryl_quota quota;
};

/** Rank of a request: the organisation's goes before the route's. */
struct beryl_rank_pair
{
  uint32_t organisation; /**< that of the route if it states none */
  uint32_t route;
};

/** Maximum number of ranks that a service tells apart. */
#define BERYL_SERVICE_RANKS_MAX 10

/** Most urgent ranks of a service's requests, ascending. */
struct beryl_rank_set
{
  struct beryl_rank_pair items[BERYL_SERVICE_RANKS_MAX];
  size_t count;
};

/** Service that routes can target. */
struct beryl_route_service
{
  char name[BERYL_NAME_BYTES];
  char *health_path;        /**< health check path; may be "" */
  uint32_t connections_max; /**< connection limit of one endpoint across all
                               nodes; 0: none */
  bool has_engines;
  struct beryl_engine_capabilities engine; /**< valid if has_engines */
  /** Ranks of its requests; set by beryl_routes_freeze if it has engines. */
  struct beryl_rank_set ranks;
  /** The same of its routes alone. */
  struct beryl_rank_set route_ranks;
};

/** Limits on what callers may send. */
struct beryl_caller_limits
{
  uint32_t header_bytes;
  uint32_t body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
};

struct beryl_route_key;

/** Routing table. */
struct beryl_routes
{
  uint64_t version;
  bool authenticates; /**< callers need a key, except on anonymous routes */
  struct beryl_route_organisation *organisations; /**< by ascending id */
  size_t organisation_count;
  struct beryl_route_key *keys; /**< digests of the organisations' keys */
  size_t key_count;
  /** Digests keys under a secret, random in each table (EVP_MAC_CTX). */
  struct evp_mac_ctx_st *key_mac;
  struct beryl_route *routes;
  size_t route_count;
  struct beryl_route_service *services;
  size_t service_count;
  struct beryl_caller_limits limits;
  uint32_t references;
  uint32_t *by_host; /**< route indices, sorted for lookup */
};

/** Create an empty table with one reference. */
struct beryl_routes *beryl_routes_create (uint64_t version);

/** Add a service and return its index.  Strings are copied. */
size_t beryl_routes_add_service (struct beryl_routes *routes,
                                 const struct beryl_route_service *service);

/** Add a route; strings and targets are copied. */
void beryl_routes_add (struct beryl_routes *routes,
                       const struct beryl_route *route);

/** Find a service by name.  Returns false if there is none. */
bool beryl_routes_service_index (const struct beryl_routes *routes,
                                 const char *name, size_t *index);

/** Add an organisation and return its index. */
size_t
beryl_routes_add_organisation (struct beryl_routes *routes,
                               const struct beryl_route_organisation *added);

/** Add a key of the organisation with index ORGANISATION.  Only a digest is
 * kept.  A key of two organisations identifies neither; beryl_routes_freeze
 * reports it. */
void beryl_routes_add_key (struct beryl_routes *routes, size_t organisation,
                           const char *key);

/** Sort the table for lookup; nothing may be added afterwards.  Returns false
 * if two organisations have the same name or share a key. */
bool beryl_routes_freeze (struct beryl_routes *routes);

/** Return the organisation that holds KEY, or NULL. */
const struct beryl_route_organisation *
beryl_routes_authenticate (const struct beryl_routes *routes, const char *key);

/** Return the organisation called NAME, or NULL. */
const struct beryl_route_organisation *
beryl_routes_find_organisation (const struct beryl_routes *routes,
                                const char *name);

/** Return the rank of a request on ROUTE of ORGANISATION (NULL: none). */
uint32_t
beryl_routes_rank (const struct beryl_route *route,
                   const struct beryl_route_organisation *organisation);

/** Return the position of a request's rank among those of SERVICE, whose
 * requests differ in rank if its ranks are more than one.  The last position
 * is shared by all ranks that do not fit. */
uint32_t beryl_routes_service_rank (
    const struct beryl_route_service *service, const struct beryl_route *route,
    const struct beryl_route_organisation *organisation);

/** Return the position of ROUTE's rank among those of the routes of
 * SERVICE. */
uint32_t
beryl_routes_service_route_rank (const struct beryl_route_service *service,
                                 const struct beryl_route *route);

struct beryl_routes *beryl_routes_ref (struct beryl_routes *routes);

/** Release a reference; NULL is allowed. */
void beryl_routes_unref (struct beryl_routes *routes);

/** Return the route of HOST (case-insensitive, port ignored) with the longest
 * prefix that matches PATH, or NULL. */
const struct beryl_route *beryl_routes_find (const struct beryl_routes *routes,
                                             const char *host,
                                             const char *path);

/** Choose a target by weight; POINT is uniform in [0, 1). */
const struct beryl_route_service *
beryl_routes_choose (const struct beryl_routes *routes,
                     const struct beryl_route *route, double point);

#endif
