/** @file
 * Typed configuration, built from the operators' objects.
 *
 * The objects are JSON documents in the platform's object API; berylctl
 * converts them from YAML.  A configuration is immutable once built.
 */
#ifndef BERYL_CONFIG_H
#define BERYL_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/ids.h"

/** Kinds of objects, as in their "kind" member. */
enum beryl_kind
{
  BERYL_KIND_SERVICE,
  BERYL_KIND_POOL,
  BERYL_KIND_MODEL,
  BERYL_KIND_ORGANISATION,
  BERYL_KIND_URGENCY, /**< call rules, added to those of a service */
  BERYL_KIND_ENDPOINT,
  BERYL_KIND_SYSTEM,
};

/** Priority class of calls, highest first. */
enum beryl_class
{
  BERYL_CLASS_URGENT, /**< small calls with a short deadline */
  BERYL_CLASS_NORMAL,
  BERYL_CLASS_BATCH, /**< refused first when capacity is short */
};

/** Function of an endpoint.  An engine has the bits PREFILL, DECODE or both;
 * a process of a plain service is SERVICE. */
enum beryl_role
{
  BERYL_ROLE_PREFILL = 1,
  BERYL_ROLE_DECODE = 2,
  BERYL_ROLE_BOTH = 3,
  BERYL_ROLE_SERVICE = 4,
};

/** A rule for the calls of a service that match METHOD and PATH. */
struct beryl_call_rule
{
  char method[16]; /**< "" matches every method */
  char path[128];  /**< exact path, or a prefix that ends in "*" */
  bool non_idempotent;
  enum beryl_class call_class;
  int64_t deadline_ms; /**< 0: use the deadline of the service */
};

/** A model service or a plain service. */
struct beryl_service
{
  char name[BERYL_NAME_BYTES];
  char model[BERYL_NAME_BYTES]; /**< "" for a plain service */
  enum beryl_class call_class;
  int64_t deadline_ms;              /**< default for calls without one */
  int64_t first_token_target_ms;    /**< model services only */
  int64_t between_tokens_target_ms; /**< model services only */
  /** Number of met deadlines that one wasted prefill costs: 0 optimises for
   * goodput only, 1 weighs a wasted prefill like a missed deadline, more
   * favours less waste. */
  double waste_weight;
  uint32_t retry_budget_percent; /**< retries per 100 first attempts */
  uint32_t max_concurrent;       /**< per endpoint; 0: no limit */
  bool non_idempotent;           /**< default for calls without a rule */
  struct beryl_call_rule *rules;
  size_t rule_count;
};

/** A pool of engines or of service processes. */
struct beryl_pool
{
  char name[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES]; /**< "": any */
  enum beryl_role role;
  uint32_t min_endpoints;
  uint32_t max_endpoints;
};

/** A model and the version to serve. */
struct beryl_model
{
  char name[BERYL_NAME_BYTES];
  char version[BERYL_NAME_BYTES];
  uint32_t context_tokens;
  uint32_t kv_bytes_per_token;
  uint32_t block_tokens; /**< tokens per prefix-cache block */
  uint64_t weight_bytes;
};

/** A customer organisation. */
struct beryl_organisation
{
  char name[BERYL_NAME_BYTES];
  char (*token_sha256)[65]; /**< hex digests; more than one during token
                               rotation */
  size_t token_count;
  char data_centre[BERYL_NAME_BYTES]; /**< of its callers; "": unknown */
  double weight;                      /**< weight in fair sharing, default 1 */
  uint32_t requests_per_s;            /**< 0: no limit */
  uint32_t max_concurrent;            /**< 0: no limit */
};

/** A back end: one model engine or one process of a plain service. */
struct beryl_endpoint
{
  char name[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  char address[64]; /**< IP address */
  uint16_t port;
  char data_centre[BERYL_NAME_BYTES];
  char region[BERYL_NAME_BYTES];
  enum beryl_role role;
  uint32_t slots; /**< maximum number of concurrent decodes; 0: unknown */
  uint64_t link_bytes_per_s; /**< bandwidth for KV transfers; 0: unknown */
  bool checks_fence; /**< rejects the planner's orders that have an outdated
                        fencing token */
  bool leaving;      /**< receives no new work */
};

/** System-wide settings that can change at run time. */
struct beryl_system
{
  char log_level[16];
  uint32_t claim_shards; /**< number of shards of the claim log, which records
                            the use of idempotency keys; see claims.h */
  int64_t claim_retention_ms;  /**< time that claims are kept */
  int64_t entry_answer_ttl_ms; /**< lifetime of a discovery answer */
};

/** A validated configuration. */
struct beryl_config
{
  uint64_t version;
  struct beryl_service *services;
  size_t service_count;
  struct beryl_pool *pools;
  size_t pool_count;
  struct beryl_model *models;
  size_t model_count;
  struct beryl_organisation *organisations;
  size_t organisation_count;
  struct beryl_endpoint *endpoints;
  size_t endpoint_count;
  struct beryl_system system;
};

/** Build a configuration from a JSON array of objects, each
 * {"api_version":"beryl/v1","kind":K,"name":N,"spec":{...}}.
 * All problems are added to FINDINGS.  The file of a finding in an object
 * is its JSON pointer ("/3/spec/port"), which a caller that knows the source
 * can map to a line.  It is NULL for syntax errors, which have a line and a
 * column, and for problems between objects, such as a missing service.
 * The rules of urgency objects are appended to those of their services.
 * Returns NULL if there is any finding. */
struct beryl_config *beryl_config_parse (const char *json, size_t json_bytes,
                                         uint64_t version,
                                         struct beryl_findings *findings);

/** Validate one object on its own, without its references. */
bool beryl_config_check_object (const char *json, size_t json_bytes,
                                struct beryl_findings *findings);

/** Free CONFIG; NULL is allowed. */
void beryl_config_destroy (struct beryl_config *config);

/** Look up a service by name; NULL if absent. */
const struct beryl_service *
beryl_config_service (const struct beryl_config *config, const char *name);
/** Return the first service of MODEL; NULL if there is none. */
const struct beryl_service *
beryl_config_service_of_model (const struct beryl_config *config,
                               const char *model);
/** Look up a model by name; NULL if absent. */
const struct beryl_model *
beryl_config_model (const struct beryl_config *config, const char *name);

/** Return the organisation that TOKEN belongs to, or NULL.  The SHA-256
 * digests are compared in constant time. */
const struct beryl_organisation *
beryl_config_organisation_of_token (const struct beryl_config *config,
                                    const char *token);

/** Return the first rule of SERVICE that matches a call, or NULL. */
const struct beryl_call_rule *
beryl_service_rule (const struct beryl_service *service, const char *method,
                    const char *path);

/** Return the stable name used in JSON and YAML. */
const char *beryl_kind_name (enum beryl_kind kind);
const char *beryl_class_name (enum beryl_class call_class);
const char *beryl_role_name (enum beryl_role role);

#endif
