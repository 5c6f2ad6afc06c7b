#include "store.h"

/* Store calls are short; one that takes longer has met a silent store. */
#define CALL_MS 700
/* A waiting watch is renewed so often: a connection that went silent is
 * noticed by the answer that does not come.  With more nodes each renews less
 * often, since one of them notices as soon and tells the others: the calls of
 * the fleet stay the same. */
#define WATCH_MS 2000
#define WATCH_NODE_MS 500
#define WATCH_MOST_MS 25000
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 400
/* While the store is away the calls of the fleet stay the same too. */
#define BACKOFF_NODE_MS 15
#define BACKOFF_MOST_MS 1300
/* Before the first list of nodes this one takes itself for one of many. */
#define NODES_UNKNOWN 50

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
    .seed = seed,
    .core = {
      .reads_per_s = beryl_platform_node_rate (from->platform_reads_per_s,
                                               NODES_UNKNOWN),
      .writes_per_s = beryl_platform_node_rate (from->platform_writes_per_s,
                                                NODES_UNKNOWN),
      .call_timeout_ms = CALL_MS,
      .watch_wait_ms = WATCH_MS,
      .watch_spacing_ms = STORE_SPACING_MS,
      .backoff_min_ms = BACKOFF_MIN_MS,
      .backoff_max_ms = BACKOFF_MAX_MS,
    },
  };

  return platform_client_create (loop, http, &settings, counters);
}

static int64_t
backoff_max_ms (uint32_t nodes)
{
  return CLAMP ((int64_t)nodes * BACKOFF_NODE_MS, BACKOFF_MAX_MS,
                BACKOFF_MOST_MS);
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
store_set_watch_wait (struct platform_client *client, uint32_t nodes,
                      bool isolated)
{
  int64_t wait_ms = isolated ? 0 : (int64_t)nodes * WATCH_NODE_MS;

  beryl_platform_set_default_watch_wait (
      platform_client_core (client), CLAMP (wait_ms, WATCH_MS, WATCH_MOST_MS));
}
