/** @file
 * Internal state of the router.
 */
#ifndef ROUTER_PRIVATE_H
#define ROUTER_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/router.h"
#include "estimate.h"
#include "prefix.h"

/** No index: services, organisations and endpoints are referred to by their
 * indices in the router's arrays. */
#define ROUTER_NONE UINT32_MAX

/** Slots assumed for endpoints without a configured number. */
#define ROUTER_DEFAULT_SLOTS 16

/** Older reports are not used for free slots or backlogs. */
#define ROUTER_REPORT_MAX_AGE_MS 2000

/** Changes kept per endpoint, to adjust lagged reports. */
#define ROUTER_CHANGES_MAX 16

/** Change that this node made at an endpoint at AT_MS. */
struct router_change
{
  int64_t at_ms;
  double cost_ms;     /**< cost of a started prefill; 0 for a slot change */
  int32_t busy_slots; /**< own busy slots after a slot change; -1 otherwise */
};

/** Endpoint as seen by this node. */
struct router_endpoint
{
  char name[BERYL_NAME_BYTES];
  uint64_t name_hash;
  const struct beryl_endpoint *config;
  uint32_t service;
  uint32_t slots;
  uint32_t share;         /**< slots assigned to this node */
  uint32_t busy;          /**< own open decodes or plain calls */
  uint32_t reserved;      /**< slots reserved for own tickets in prefill */
  uint32_t non_urgent;    /**< plain services: own non-urgent calls */
  uint32_t prefills;      /**< own unfinished prefills */
  double prefills_end_ms; /**< time at which the own prefills are expected to
                             have ended */
  struct router_change changes[ROUTER_CHANGES_MAX];
  uint32_t change_count;
  bool reported;
  struct beryl_load_report report; /**< its endpoint member is NULL */
  bool cache_known;
  bool cache_gap;
  uint64_t cache_sequence;
  double
      predicted_hit_accuracy; /**< moving average of the fraction of predicted
                                 hits that occurred; reduced after a gap in the
                                 cache events, 1 after a resync */
  uint32_t consecutive_failures;
  int64_t ejected_until_ms;
};

/** List of endpoint indices. */
struct router_list
{
  uint32_t *items;
  size_t count;
};

/** Service with its endpoints and estimates. */
struct router_service
{
  char name[BERYL_NAME_BYTES];
  const struct beryl_service *config;
  const struct beryl_model *model; /**< NULL for plain services */
  struct router_list prefill;
  struct router_list decode;
  struct router_list plain;
  struct router_list
      own;            /**< decode endpoints in which this node has a share */
  uint32_t own_slots; /**< sum of this node's decode shares */
  uint32_t non_urgent_slots; /**< plain services: sum of this node's shares */
  uint32_t non_urgent;       /**< plain services: own non-urgent calls */
  uint32_t unbound;          /**< tickets in prefill without a decode engine */
  uint32_t decoding;         /**< own open decodes or plain calls */
  int32_t free_own;          /**< free slots in this node's shares */
  int32_t borrowable;        /**< slots of other nodes that may be used now */
  int64_t slots_counted_ms;
  uint32_t prefill_turn; /**< round-robin position over prefill engines */
  uint32_t decode_turn;
  struct estimate_line prefill_ms;   /**< prefill time by uncached tokens */
  struct estimate_line interval_ms;  /**< time between tokens by batch size */
  struct estimate_line transfer_ms;  /**< transfer time by KV megabytes */
  struct estimate_mean length_ratio; /**< generated tokens / max_tokens */
  struct estimate_mean decode_ms;    /**< duration of a decode */
  /** Delay from the planned first token to the binding of a decode engine. */
  struct estimate_mean bind_delay_ms;
  /** Plain services: response times by class. */
  struct estimate_mean
      answer_ms[BERYL_CLASS_BATCH + 1]; /* BATCH is the last class */
};

/** Usage of an organisation at this node. */
struct router_organisation
{
  const struct beryl_organisation *config;
  uint32_t open; /**< number of waiting jobs and tickets */
  double tokens; /**< tokens in the rate limit's bucket */
  int64_t refilled_ms;
};

/** Phases of a ticket. */
enum router_phase
{
  ROUTER_PHASE_FREE,
  ROUTER_PHASE_PREFILL,
  ROUTER_PHASE_UNBOUND, /**< prefill done, no decode slot yet */
  ROUTER_PHASE_DECODE,
  ROUTER_PHASE_PLAIN,
};

/** Reservation of a started job. */
struct router_ticket
{
  uint64_t id;
  enum router_phase phase;
  uint32_t service;      /**< index, or ROUTER_NONE if deleted */
  uint32_t organisation; /**< index or ROUTER_NONE */
  uint32_t prefill;      /**< endpoint index or ROUTER_NONE */
  uint32_t decode;       /**< endpoint index or ROUTER_NONE */
  enum beryl_class call_class;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t cached_tokens; /**< predicted prefix hits */
  double prefill_cost_ms; /**< estimated duration of the prefill */
  bool prefill_unqueued;  /**< started with an empty prefill queue */
  int64_t deadline_ms;
  int64_t started_ms;
  double planned_ms;   /**< planned delay from the start to the first token */
  int64_t exported_ms; /**< when the KV cache was exported; once a decode
                          engine is bound, when it was bound */
  int64_t first_token_ms;
  int64_t last_token_ms;
  uint64_t kv_bytes;
  uint32_t tokens;
};

/** A job that waits for a slot. */
struct router_waiting
{
  uint64_t request;
  uint32_t service;
  uint32_t organisation;
  enum beryl_class call_class;
  bool over_share; /**< its organisation exceeded its fair share */
  int64_t deadline_ms;
  int64_t retry_at_ms;
};

struct beryl_router;

/** Scheduling policy. */
struct router_policy
{
  void (*plan) (struct beryl_router *r, const struct beryl_job *job,
                int64_t now_ms, struct beryl_plan *plan);
  void (*bind) (struct beryl_router *r, struct router_ticket *t,
                int64_t kv_expires_ms, uint32_t refused_by, int64_t now_ms,
                struct beryl_plan *plan);
};

struct beryl_router
{
  const struct router_policy *policy;
  char node[BERYL_NAME_BYTES];
  char data_centre[BERYL_NAME_BYTES];
  uint64_t random;
  bool late_binding;
  const struct beryl_config *config;
  uint64_t *members;
  size_t member_count;
  struct router_endpoint *endpoints; /**< sorted by name */
  size_t endpoint_count;
  struct router_service *services;
  size_t service_count;
  struct router_organisation *organisations; /**< sorted by name */
  size_t organisation_count;
  double active_weight; /**< total weight of organisations with open jobs */
  struct router_ticket *tickets;
  size_t ticket_count;
  uint32_t *free_tickets;
  size_t free_ticket_count;
  struct router_waiting *waiting; /**< in scheduling order */
  size_t waiting_count;
  size_t waiting_capacity;
  int64_t capacity_freed_ms; /**< when capacity was freed for waiting jobs;
                                BERYL_NEVER_MS: none since the last planning */
  struct prefix_index *prefix;
};

/* router.c */
struct router_service *router_service_find (struct beryl_router *r,
                                            const char *name);
void router_refuse (struct beryl_plan *plan, const char *reason,
                    int64_t retry_after_ms);

/* fleet.c: endpoints, their reports and shares */
bool fleet_build (struct beryl_router *r, const struct beryl_config *config);
void fleet_release (struct beryl_router *r);
void fleet_assign_shares (struct beryl_router *r);
uint32_t fleet_find (const struct beryl_router *r, const char *name);
bool fleet_usable (const struct router_endpoint *e, int64_t now_ms);
bool fleet_excluded (const struct beryl_job *job,
                     const struct router_endpoint *e);
void fleet_record_busy (struct router_endpoint *e, int64_t now_ms);
uint32_t fleet_free_slots (const struct router_endpoint *e, int64_t now_ms);
uint32_t fleet_free_own (const struct router_endpoint *e, int64_t now_ms);
void fleet_refresh (struct beryl_router *r, struct router_service *s,
                    int64_t now_ms);
void fleet_record_failure (struct beryl_router *r, uint32_t endpoint,
                           int64_t now_ms);
void fleet_record_success (struct router_endpoint *e);

/* prefill.c: prefill backlogs */
double prefill_backlog_ms (const struct router_service *s,
                           const struct router_endpoint *e, int64_t now_ms);
void prefill_started (struct router_endpoint *e, double cost_ms,
                      int64_t now_ms);
void prefill_ended (struct router_endpoint *e, int64_t now_ms);

/* ticket.c */
struct router_ticket *ticket_open (struct beryl_router *r,
                                   const struct beryl_job *job,
                                   uint32_t service, int64_t now_ms);
struct router_ticket *ticket_find (struct beryl_router *r, uint64_t id);
void ticket_close (struct beryl_router *r, struct router_ticket *t);
void ticket_take_slot (struct beryl_router *r, struct router_ticket *t,
                       uint32_t endpoint, int64_t now_ms);
void ticket_release_slot (struct beryl_router *r, struct router_ticket *t,
                          int64_t now_ms);
void ticket_reserve (struct beryl_router *r, struct router_ticket *t,
                     uint32_t endpoint);
void ticket_unreserve (struct beryl_router *r, struct router_ticket *t);
void ticket_start_prefill (struct beryl_router *r, struct router_ticket *t,
                           uint32_t prefill, double cost_ms, int64_t now_ms);

/* organisation.c */
bool organisation_build (struct beryl_router *r,
                         const struct beryl_config *config);
uint32_t organisation_find (const struct beryl_router *r, const char *name);
/* A job counts as open from its entry into the queue or its start. */
void organisation_job_opened (struct beryl_router *r, uint32_t organisation);
void organisation_job_closed (struct beryl_router *r, uint32_t organisation);
const char *organisation_admit (struct beryl_router *r, uint32_t organisation,
                                int64_t now_ms, int64_t *retry_after_ms);
double organisation_fair_share (const struct beryl_router *r,
                                uint32_t organisation);

/* waiting.c: only waiting_put updates the count of open jobs; callers that
 * remove or insert a job do so themselves. */
size_t waiting_find (const struct beryl_router *r, uint64_t request);
size_t waiting_ahead (const struct beryl_router *r,
                      const struct router_waiting *w);
size_t waiting_of_service (const struct beryl_router *r, uint32_t service);
bool waiting_insert (struct beryl_router *r, const struct router_waiting *w);
void waiting_remove_index (struct beryl_router *r, size_t at);
void waiting_put (struct beryl_router *r, const struct router_waiting *w);
bool waiting_remove_request (struct beryl_router *r, uint64_t request);

/* cost.c: cost estimates of a job; Z is the number of standard deviations
 * added to the mean length of an answer. */
double cost_prefill_ms (const struct router_service *s,
                        uint32_t uncached_tokens);
double cost_transfer_ms (const struct router_service *s,
                         const struct router_endpoint *from,
                         const struct router_endpoint *to,
                         uint32_t prompt_tokens);
double cost_decode_ms (const struct router_service *s, uint32_t max_tokens,
                       double z);

/* pair.c */
struct pair
{
  uint32_t prefill;
  uint32_t decode; /**< ROUTER_NONE with late binding */
  uint32_t cached_tokens;
  double backlog_ms; /**< wait before the prefill starts */
  double prefill_cost_ms;
  double first_token_ms;
};
bool pair_choose (struct beryl_router *r, struct router_service *s,
                  const struct beryl_job *job, uint32_t decode, int64_t now_ms,
                  struct pair *pair, struct beryl_plan *plan);
uint32_t pair_choose_decode (struct beryl_router *r, struct router_service *s,
                             bool may_borrow, uint32_t refused_by,
                             int64_t now_ms);

extern const struct router_policy router_policy_planned;
extern const struct router_policy router_policy_random;
extern const struct router_policy router_policy_round_robin;
extern const struct router_policy router_policy_least_reported;
extern const struct router_policy router_policy_two_choices;

void plain_plan (struct beryl_router *r, const struct beryl_job *job,
                 int64_t now_ms, struct beryl_plan *plan);

#endif
