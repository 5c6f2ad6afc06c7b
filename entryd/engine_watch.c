#include "engine_watch.h"

#include "engine_parse.h"

#define TICK_MS 25
#define POLL_TIMEOUT_MS 1000
#define ANSWER_BYTES (4U << 20)
/* Polls of one engine by all nodes together. */
#define FLEET_POLLS_PER_S 8

struct engine_watch
{
  struct entry *entry;
  struct loop_timer *timer;
  GHashTable *engines; /* name -> struct watched */
  uint32_t spread;     /* staggers the first polls */
};

/* One engine. */
struct watched
{
  char name[BERYL_NAME_BYTES];
  int64_t next_ms;
  bool busy;
  uint64_t sequence; /* of the last cache event */
};

/* One poll; its answer is a small JSON document. */
struct poll
{
  struct http_call_handler base;
  struct engine_watch *watch;
  struct watched *engine;
  int64_t sent_ms;
  GString *body;
  /* Take the answer and ask what is next; false if it is malformed. */
  bool (*take) (struct poll *poll);
};

static void start_poll (struct engine_watch *watch, struct watched *engine,
                        const char *path, bool (*take) (struct poll *poll));

static void
poll_free (struct poll *poll)
{
  g_string_free (poll->body, TRUE);
  g_free (poll);
}

static void
poll_data (struct http_call_handler *handler, struct http_call *call,
           const void *bytes, size_t bytes_count)
{
  struct poll *poll = (struct poll *)handler;

  g_string_append_len (poll->body, bytes, (gssize)bytes_count);
}

static void
poll_done (struct http_call_handler *handler, struct http_call *call)
{
  struct poll *poll = (struct poll *)handler;
  struct entry *entry = poll->watch->entry;

  poll->engine->busy = false;
  if (http_call_status (call) == 200 && !entry->closing && !poll->take (poll))
    counters_add (entry->counters, "beryl_engine_answers_malformed_total", "",
                  1);
  poll_free (poll);
}

static void
poll_failed (struct http_call_handler *handler, struct http_call *call,
             bool sent, const char *reason)
{
  struct poll *poll = (struct poll *)handler;

  poll->engine->busy = false;
  counters_add (poll->watch->entry->counters,
                "beryl_engine_polls_failed_total", "", 1);
  poll_free (poll);
}

static const struct http_call_handler_impl poll_impl = {
  .data = poll_data,
  .done = poll_done,
  .failed = poll_failed,
};

static void
start_poll (struct engine_watch *watch, struct watched *engine,
            const char *path, bool (*take) (struct poll *poll))
{
  const struct beryl_endpoint *endpoint
      = entry_endpoint (watch->entry, engine->name);
  struct poll *poll;
  struct http_request request = {
    .method = "GET",
    .path = path,
    .timeout_ms = POLL_TIMEOUT_MS,
    .answer_max_bytes = ANSWER_BYTES,
  };

  if (endpoint == NULL)
    return;
  poll = g_new0 (struct poll, 1);
  poll->base.impl = &poll_impl;
  poll->watch = watch;
  poll->engine = engine;
  poll->take = take;
  poll->sent_ms = loop_now_ms (watch->entry->loop);
  poll->body = g_string_new (NULL);
  engine->busy = true;
  request.address = endpoint->address;
  request.port = endpoint->port;
  http_call_start (watch->entry->http, &request, &poll->base);
  counters_add (watch->entry->counters, "beryl_engine_polls_total", "", 1);
}

static bool
take_blocks (struct poll *poll)
{
  struct entry *entry = poll->watch->entry;
  struct engine_cache cache;

  if (!engine_parse_blocks (poll->body->str, poll->body->len, &cache))
    return false;
  poll->engine->sequence = cache.last;
  beryl_router_cache_resync (entry->router, poll->engine->name, cache.last,
                             cache.blocks, cache.count,
                             loop_now_ms (entry->loop));
  counters_add (entry->counters, "beryl_cache_resyncs_total", "", 1);
  engine_cache_clear (&cache);
  return true;
}

static bool
take_events (struct poll *poll)
{
  struct entry *entry = poll->watch->entry;
  struct engine_cache cache;

  if (!engine_parse_events (poll->body->str, poll->body->len, &cache))
    return false;
  for (size_t i = 0; i < cache.count; i++)
    {
      struct beryl_cache_event event = {
        .endpoint = poll->engine->name,
        .sequence = cache.changes[i].sequence,
        .added = cache.changes[i].added,
        .block_hash = cache.changes[i].block,
      };

      beryl_router_cache_event (entry->router, &event,
                                loop_now_ms (entry->loop));
      poll->engine->sequence = MAX (poll->engine->sequence, event.sequence);
    }
  engine_cache_clear (&cache);
  if (beryl_router_cache_has_gap (entry->router, poll->engine->name))
    start_poll (poll->watch, poll->engine, "/v1/cache", take_blocks);
  return true;
}

static void
ask_events (struct poll *poll)
{
  const struct beryl_endpoint *endpoint
      = entry_endpoint (poll->watch->entry, poll->engine->name);
  char path[80];

  if (endpoint == NULL || (endpoint->role & BERYL_ROLE_PREFILL) == 0)
    return;
  g_snprintf (path, sizeof path,
              "/v1/cache/events?after=%" G_GUINT64_FORMAT "&wait_ms=0",
              poll->engine->sequence);
  start_poll (poll->watch, poll->engine, path, take_events);
}

static bool
take_load (struct poll *poll)
{
  struct entry *entry = poll->watch->entry;
  int64_t now_ms = loop_now_ms (entry->loop);
  struct beryl_load_report report = { .endpoint = poll->engine->name };
  struct beryl_event tick = { .type = BERYL_EVENT_TICK };
  struct engine_load load;

  if (!engine_parse_load (poll->body->str, poll->body->len, &load))
    return false;
  /* The report left the engine between the two ends of the call. */
  report.measured_ms = (poll->sent_ms + now_ms) / 2 - load.age_ms;
  report.decoding = load.decoding;
  report.prefill_queue = load.prefill_queue;
  report.prefill_queue_tokens = load.prefill_queue_tokens;
  report.kv_bytes_held = load.kv_bytes_held;
  beryl_router_load_report (entry->router, &report, now_ms);
  entry_event (entry, &tick);
  ask_events (poll);
  return true;
}

static int64_t
interval_ms (const struct entry *entry)
{
  int64_t nodes = entry->member_count > 0 ? (int64_t)entry->member_count : 1;

  return MAX (entry->settings->load_poll_ms, nodes * 1000 / FLEET_POLLS_PER_S);
}

static struct watched *
watched_of (struct engine_watch *watch, const char *name, int64_t now_ms)
{
  struct watched *engine = g_hash_table_lookup (watch->engines, name);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct watched, 1);
  g_strlcpy (engine->name, name, sizeof engine->name);
  engine->next_ms
      = now_ms + watch->spread++ % 16 * interval_ms (watch->entry) / 16;
  g_hash_table_insert (watch->engines, engine->name, engine);
  return engine;
}

static void
poll_due (void *user)
{
  struct engine_watch *watch = user;
  const struct beryl_config *config = watch->entry->config;
  int64_t now_ms = loop_now_ms (watch->entry->loop);

  if (config == NULL)
    return;
  for (size_t i = 0; i < config->endpoint_count; i++)
    {
      struct watched *engine;

      if (config->endpoints[i].role == BERYL_ROLE_SERVICE)
        continue;
      engine = watched_of (watch, config->endpoints[i].name, now_ms);
      if (engine->busy || now_ms < engine->next_ms)
        continue;
      engine->next_ms = now_ms + interval_ms (watch->entry);
      start_poll (watch, engine, "/v1/load", take_load);
    }
}

struct engine_watch *
engine_watch_create (struct entry *entry)
{
  struct engine_watch *watch = g_new0 (struct engine_watch, 1);

  watch->entry = entry;
  watch->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  watch->timer
      = loop_timer_start (entry->loop, TICK_MS, TICK_MS, poll_due, watch);
  return watch;
}

void
engine_watch_close (struct engine_watch *watch)
{
  loop_timer_stop (watch->timer);
  watch->timer = NULL;
}

void
engine_watch_destroy (struct engine_watch *watch)
{
  if (watch == NULL)
    return;
  loop_timer_stop (watch->timer);
  g_hash_table_destroy (watch->engines);
  g_free (watch);
}
