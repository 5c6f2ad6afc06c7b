/** @file
 * Counters and latency histograms of a node, taken from the same steps of
 * requests (struct beryl_request_step) as the lines of the log.
 */
#ifndef GATEWAYD_METRICS_H
#define GATEWAYD_METRICS_H

#include "beryl/forward.h"
#include "common/counters.h"
#include "configuration.h"

struct metrics;

/** Create; COUNTERS must outlive it. */
struct metrics *metrics_create (struct counters *counters);

/** Release; NULL is allowed. */
void metrics_destroy (struct metrics *metrics);

/** Count one decision. */
void metrics_count_decision (struct metrics *metrics,
                             const struct beryl_request_step *decision);

/** Count and log an answer of ENDPOINT to a call of KIND that had no end. */
void metrics_count_endless (struct counters *counters, const char *kind,
                            const char *endpoint);

/** Count a request that entered or left quarantine for CAUSE. */
void metrics_count_quarantine (struct metrics *metrics, const char *cause);

/** Set the gauges of what is believed of an endpoint; does nothing for those
 * beyond the number of endpoints that have metrics of their own. */
void metrics_set_capacity (struct metrics *metrics,
                           const struct beryl_live_endpoint *endpoint,
                           const struct beryl_capacity_belief *belief);

/** Set the gauges of an organisation's quota; does nothing for those
 * beyond the number of organisations that have metrics of their own. */
void metrics_set_quota (struct metrics *metrics, const char *organisation,
                        const struct beryl_quota_state *state);

/** Set the gauges of a plain service's admission control. */
void metrics_set_admission (struct metrics *metrics, const char *service,
                            const struct beryl_admission_state *state);

/** Set what an organisation asked for at one rank; as metrics_set_quota. */
void metrics_set_quota_rank (struct metrics *metrics, const char *organisation,
                             const struct beryl_quota_rank_state *state);

/** Values sampled when the metrics are read. */
struct metrics_gauges
{
  uint64_t open_requests;      /**< without a final response */
  uint64_t waiting_requests;   /**< open, waiting for room at an engine */
  uint64_t connections;        /**< of callers */
  uint64_t malformed_requests; /**< rejected as malformed */
  uint64_t kept_unread;        /**< idle connections with unread bytes */
  uint64_t turned_away;        /**< connections closed at the limit */
  uint64_t nodes;              /**< that are not dead */
  uint64_t endpoints;          /**< that accept work */
  const struct configuration_state *configuration;
  int64_t list_age_ms; /**< time since the endpoint list was confirmed */
  bool ready;
  bool reaches_endpoints;        /**< it can connect to any of them */
  bool holds_planner_lease;      /**< this node's planner is the active one */
  bool is_endpoint_watcher;      /**< it relays changes of the endpoint list */
  uint64_t limited_endpoints;    /**< endpoints that announce a rate limit */
  uint64_t quarantined_requests; /**< not sent to any endpoint */
  uint64_t suspect_requests;     /**< whose endpoint ended while it ran them */
  uint64_t quota_share_permille; /**< part of each quota that this node
                                        counts on; 0 if there are none */
  int64_t quota_report_age_ms;   /**< of the oldest report of use */
};

/** Set the gauges and return all metrics as text, to be freed with free(). */
char *metrics_format (struct metrics *metrics,
                      const struct metrics_gauges *gauges);

#endif
