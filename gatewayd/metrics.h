/** @file
 * Counters and latency histograms of a node, from the same decisions that the
 * log tells.
 */
#ifndef GATEWAYD_METRICS_H
#define GATEWAYD_METRICS_H

#include "beryl/forward.h"
#include "common/counters.h"

struct metrics;

/** Create; COUNTERS must outlive it. */
struct metrics *metrics_create (struct counters *counters);

/** Release; NULL is allowed. */
void metrics_destroy (struct metrics *metrics);

/** Count one decision. */
void metrics_decided (struct metrics *metrics,
                      const struct beryl_request_step *decision);

/** A request came into quarantine, or out of it, for CAUSE. */
void metrics_quarantined (struct metrics *metrics, const char *cause);

/** What is looked at when the metrics are asked for. */
struct metrics_gauges
{
  uint64_t open;          /**< requests without a final answer */
  uint64_t waiting;       /**< of these, for room at an engine */
  uint64_t connections;   /**< of callers */
  uint64_t malformed;     /**< requests that were refused as such */
  uint64_t nodes;         /**< that may be running */
  uint64_t endpoints;     /**< that take work */
  uint64_t configuration; /**< its version; 0: none */
  uint64_t revision;      /**< of its object */
  int64_t list_age_ms;    /**< since the list of endpoints was confirmed */
  bool ready;
  bool planner;         /**< this node holds the planner's lease */
  bool watcher;         /**< it passes changes of the list of endpoints on */
  uint64_t limited;     /**< endpoints that name a limit */
  uint64_t quarantined; /**< requests that go to no endpoint */
  uint64_t suspects;    /**< requests under which an endpoint has ended */
};

/** Set the gauges and return all metrics as text; free() it. */
char *metrics_format (struct metrics *metrics,
                      const struct metrics_gauges *gauges);

#endif
