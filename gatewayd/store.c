#include "store.h"

/* Time limit of one HTTP call: calls are short, so a store that takes longer
 * is not responding.  A platform_client_options.timeout_ms is longer because
 * it covers retries. */
#define CALL_TIMEOUT_MS 700
/* Several calls are open at a time, and all their answers must fit into the
 * memory of a small node. */
#define ANSWER_MAX_BYTES (8U << 20)
/* How long a watch call waits for a change; a dead connection is detected by
 * the missing response.  The time grows with the number of nodes up to
 * WATCH_MAX_MS, so that the call rate of the fleet stays the same up to there:
 * within the shortest time in which a change must be known, so many nodes
 * begin a call, and each of them would tell the others. */
#define CALLS_PER_BOUND 4
#define WATCH_MAX_MS 25000
/* A shorter bound is not met; it would only add calls. */
#define BOUND_MIN_MS 500
#define BACKOFF_MIN_MS 50
/* The maximum backoff grows likewise between these limits, to bound the call
 * rate of the fleet while the store is unreachable. */
#define BACKOFF_MAX_LOW_MS 400
#define BACKOFF_PER_NODE_MS 15
#define BACKOFF_MAX_HIGH_MS 1300
/* Number of nodes that are assumed to share the rates until the nodes have
 * been listed. */
#define ASSUMED_NODES 50

/* Returns the shortest time in which a change must be known. */
static int64_t
change_bound_ms (const struct gateway_settings *settings)
{
  int64_t bound_ms
      = MIN (settings->configuration_delay_ms, settings->endpoint_leave_ms);

  return CLAMP (bound_ms, BOUND_MIN_MS, WATCH_MAX_MS);
}

struct platform_client *
store_create (struct loop *loop, struct http_context *http,
              const struct gateway_wire *wire,
              const struct gateway_settings *from, struct counters *counters,
              uint64_t seed)
{
  struct platform_client_settings settings = {
    .address = from->platform.ip,
    .port = from->platform.port,
    .wire = &wire->store,
    .answer_max_bytes = ANSWER_MAX_BYTES,
    .seed = seed,
    .core = {
      .reads_per_s = beryl_platform_node_rate (from->platform_reads_per_s,
                                               ASSUMED_NODES),
      .writes_per_s = beryl_platform_node_rate (from->platform_writes_per_s,
                                                ASSUMED_NODES),
      .call_timeout_ms = CALL_TIMEOUT_MS,
      .watch_wait_ms = change_bound_ms (from) / 2,
      .watch_spacing_ms = STORE_WATCH_SPACING_MS,
      .backoff_min_ms = BACKOFF_MIN_MS,
      .backoff_max_ms = BACKOFF_MAX_LOW_MS,
    },
  };

  return platform_client_create (loop, http, &settings, counters);
}

static int64_t
backoff_max_ms (uint32_t nodes)
{
  return CLAMP ((int64_t)nodes * BACKOFF_PER_NODE_MS, BACKOFF_MAX_LOW_MS,
                BACKOFF_MAX_HIGH_MS);
}

void
store_set_nodes (struct platform_client *client,
                 const struct gateway_settings *settings, uint32_t nodes)
{
  beryl_platform_set_rates (
      platform_client_core (client),
      beryl_platform_node_rate (settings->platform_reads_per_s, nodes),
      beryl_platform_node_rate (settings->platform_writes_per_s, nodes));
  beryl_platform_set_backoff_max (platform_client_core (client),
                                  backoff_max_ms (nodes));
}

void
store_set_watch_wait (struct platform_client *client,
                      const struct gateway_settings *settings, uint32_t nodes,
                      uint32_t rank, bool isolated)
{
  int64_t bound_ms = change_bound_ms (settings);
  int64_t wait_ms = isolated ? 0 : nodes * bound_ms / CALLS_PER_BOUND;

  wait_ms = CLAMP (wait_ms, bound_ms / 2, WATCH_MAX_MS);
  beryl_platform_set_watch_waits (platform_client_core (client),
                                  beryl_platform_first_wait_ms (wait_ms, rank),
                                  wait_ms);
}
