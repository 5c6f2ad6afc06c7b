#include "entry.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "calls.h"
#include "claims_link.h"
#include "config_source.h"
#include "decisions.h"
#include "demand.h"
#include "engine_watch.h"
#include "hold_keeper.h"
#include "outbound.h"
#include "peers.h"
#include "reply.h"

/* How often a drain looks whether all answers have gone out. */
#define DRAIN_POLL_MS 20
/* Until this long after the stop began, other nodes may still name this one
 * to callers. */
#define LEAVE_SPREAD_MS 2000

static uint64_t
random_seed (void)
{
  uint64_t seed = 0;

  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    seed = (uint64_t)time (NULL);
  return seed;
}

/* A later start must have a higher number, since that proves the earlier
 * process dead; microseconds of the calendar time grow from start to start
 * without anything kept on a disk. */
static uint64_t
new_incarnation (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

const struct beryl_endpoint *
entry_endpoint (const struct entry *entry, const char *name)
{
  if (entry->endpoints == NULL)
    return NULL;
  return g_hash_table_lookup (entry->endpoints, name);
}

uint64_t
entry_new_handle (struct entry *entry)
{
  return ++entry->next_handle;
}

static void
tick (void *user)
{
  struct entry *entry = user;
  struct beryl_event event = { .type = BERYL_EVENT_TICK };

  loop_timer_stop (entry->tick);
  entry->tick = NULL;
  entry_event (entry, &event);
}

/* Runs once a turn of the loop, before it waits: asking for the next time
 * costs a walk over all open requests, too much to do for each event.  A
 * timer that is early costs one empty tick; moving it each time would cost
 * more. */
static void
schedule_tick (uv_prepare_t *prepare)
{
  struct entry *entry = prepare->data;
  int64_t now_ms = loop_now_ms (entry->loop);
  int64_t next_ms;

  if (!entry->tick_stale)
    return;
  entry->tick_stale = false;
  next_ms = beryl_requests_next_ms (entry->requests);
  if (next_ms == BERYL_NEVER_MS
      || (entry->tick != NULL && entry->tick_ms <= next_ms))
    return;
  loop_timer_stop (entry->tick);
  entry->tick_ms = next_ms;
  entry->tick = loop_timer_start (
      entry->loop, next_ms > now_ms ? next_ms - now_ms : 1, 0, tick, entry);
}

static void
free_prepare (uv_handle_t *handle)
{
  g_free (handle);
}

static void
create_prepare (struct entry *entry)
{
  entry->prepare = g_new0 (uv_prepare_t, 1);
  uv_prepare_init (loop_uv (entry->loop), entry->prepare);
  entry->prepare->data = entry;
  uv_prepare_start (entry->prepare, schedule_tick);
}

void
entry_event (struct entry *entry, const struct beryl_event *event)
{
  beryl_requests_handle_event (entry->requests, event,
                               loop_now_ms (entry->loop));
  entry->tick_stale = true;
}

static void
act (struct beryl_requests_owner *owner, const struct beryl_action *action)
{
  struct entry *entry = (struct entry *)owner;

  switch (action->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
    case BERYL_ACTION_REPLY_DATA:
    case BERYL_ACTION_REPLY_END:
    case BERYL_ACTION_REPLY_ERROR:
    case BERYL_ACTION_REPLY_TRUNCATE:
      reply_act (entry, action);
      return;
    case BERYL_ACTION_HOLD_RECORD:
      hold_keeper_record (entry->holds, action->hold.endpoint,
                          action->hold.stream);
      return;
    case BERYL_ACTION_HOLD_ERASE:
      hold_keeper_erase (entry->holds, action->hold.endpoint,
                         action->hold.stream);
      return;
    case BERYL_ACTION_DECISION:
      decisions_add (entry, action);
      return;
    case BERYL_ACTION_CLAIM:
      claims_link_claim (entry->claims, action);
      return;
    case BERYL_ACTION_DRAINED:
      entry->drained = true;
      return;
    default:
      outbound_act (entry, action);
      return;
    }
}

static const struct beryl_requests_owner_impl owner_impl = { .act = act };

static void
index_endpoints (struct entry *entry)
{
  if (entry->endpoints != NULL)
    g_hash_table_destroy (entry->endpoints);
  entry->endpoints = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < entry->config->endpoint_count; i++)
    g_hash_table_insert (entry->endpoints, entry->config->endpoints[i].name,
                         &entry->config->endpoints[i]);
}

void
entry_use_config (struct entry *entry, struct beryl_config *config)
{
  struct beryl_config *old = entry->config;
  int64_t now_ms = loop_now_ms (entry->loop);

  entry->config = config;
  index_endpoints (entry);
  beryl_router_set_config (entry->router, config, now_ms);
  beryl_requests_set_config (entry->requests, config, now_ms);
  claims_link_config (entry->claims, config);
  beryl_config_destroy (old);
  log_set_level (config->system.log_level);
  counters_set (entry->counters, "beryl_config_version", "", config->version);
  g_info ("configuration %" G_GUINT64_FORMAT " is in force: %zu services, "
          "%zu endpoints",
          config->version, config->service_count, config->endpoint_count);
  entry->tick_stale = true;
}

static struct beryl_requests *
create_requests (struct entry *entry, uint64_t seed)
{
  const struct entry_settings *settings = entry->settings;
  struct beryl_requests_settings s = {
    .incarnation = entry->incarnation,
    .seed = seed,
    .slow_reader_bytes = settings->slow_reader_bytes,
    .slow_reader_ms = settings->slow_reader_ms,
    .answer_retention_ms = settings->answer_retention_ms,
    .answer_retention_bytes = settings->answer_retention_bytes,
  };

  return beryl_requests_create (&s, entry->router, &entry->owner);
}

static bool
create_server (struct entry *entry, struct beryl_error *error)
{
  const struct entry_settings *settings = entry->settings;
  struct http_server_settings s = {
    .address = settings->address,
    .port = settings->http_port,
    .max_body_bytes = settings->max_body_bytes,
    .header_timeout_s = settings->header_timeout_s,
  };

  if (settings->tls_cert_file[0] != '\0')
    {
      s.tls_cert_file = settings->tls_cert_file;
      s.tls_key_file = settings->tls_key_file;
    }
  calls_handler_init (&entry->handler);
  entry->server = http_server_create (entry->http, &s, &entry->handler, error);
  return entry->server != NULL;
}

/* Looking a cell up formats its name; the cells that each call counts in are
 * looked up once. */
static void
look_up_cells (struct entry *entry)
{
  static const char *const verdicts[] = {
    [BERYL_VERDICT_START] = "verdict=\"start\"",
    [BERYL_VERDICT_WAIT] = "verdict=\"wait\"",
    [BERYL_VERDICT_REFUSE] = "verdict=\"refuse\"",
  };

  entry->requests_total
      = counters_cell (entry->counters, "beryl_http_requests_total", "");
  entry->answered_total = counters_cell (
      entry->counters, "beryl_answers_total", "outcome=\"answered\"");
  for (size_t i = 0; i < G_N_ELEMENTS (verdicts); i++)
    entry->decisions_total[i] = counters_cell (
        entry->counters, "beryl_decisions_total", verdicts[i]);
}

struct entry *
entry_create (const struct entry_settings *settings, struct loop *loop,
              struct http_context *http, struct beryl_error *error)
{
  struct entry *entry = g_new0 (struct entry, 1);
  uint64_t seed = settings->seed != 0 ? settings->seed : random_seed ();

  entry->settings = settings;
  entry->loop = loop;
  entry->owner.impl = &owner_impl;
  entry->incarnation = new_incarnation ();
  entry->counters = counters_create ();
  look_up_cells (entry);
  entry->open = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->exchanges = g_hash_table_new (g_int64_hash, g_int64_equal);
  entry->router = beryl_router_create (settings->node, settings->data_centre,
                                       settings->policy, seed);
  entry->requests = create_requests (entry, seed);
  entry->holds = hold_keeper_create (entry);
  entry->http = http;
  entry->decisions = decisions_create ();
  entry->demand = demand_create (entry);
  create_prepare (entry);
  entry->claims = claims_link_create (entry, seed);
  entry->engine_watch = engine_watch_create (entry);
  entry->peers = peers_create (entry, error);
  if (entry->peers == NULL || !create_server (entry, error)
      || !config_source_start (entry, error))
    {
      entry_destroy (entry);
      return NULL;
    }
  return entry;
}

void
entry_close (struct entry *entry)
{
  entry->closing = true;
  engine_watch_close (entry->engine_watch);
  claims_link_destroy (entry->claims);
  entry->claims = NULL;
}

void
entry_destroy (struct entry *entry)
{
  if (entry == NULL)
    return;
  uv_close ((uv_handle_t *)entry->prepare, free_prepare);
  loop_timer_stop (entry->tick);
  loop_timer_stop (entry->drain_poll);
  config_source_stop (entry);
  peers_destroy (entry->peers);
  engine_watch_destroy (entry->engine_watch);
  claims_link_destroy (entry->claims);
  outbound_drop_all (entry);
  hold_keeper_destroy (entry->holds);
  beryl_requests_destroy (entry->requests);
  beryl_router_destroy (entry->router);
  if (entry->endpoints != NULL)
    g_hash_table_destroy (entry->endpoints);
  beryl_config_destroy (entry->config);
  g_hash_table_destroy (entry->open);
  g_hash_table_destroy (entry->exchanges);
  decisions_destroy (entry->decisions);
  demand_destroy (entry->demand);
  counters_destroy (entry->counters);
  g_free (entry);
}

/* The node goes on accepting while a discovery answer that names it may
 * still be kept by a caller: refusing earlier would fail calls of callers
 * who did all they were told. */
static void
drain_poll (void *user)
{
  struct entry *entry = user;
  int64_t now_ms = loop_now_ms (entry->loop);

  if (now_ms < entry->drain_accept_until_ms || !entry->drained
      || beryl_requests_open_count (entry->requests) > 0
      || http_server_open (entry->server) > 0)
    return;
  g_info ("drained");
  loop_quit (entry->loop);
}

void
entry_drain (struct entry *entry)
{
  struct beryl_event event = { .type = BERYL_EVENT_DRAIN };
  int64_t ttl_ms
      = entry->config != NULL ? entry->config->system.entry_answer_ttl_ms : 0;

  if (entry->draining)
    return;
  if (entry->link != NULL)
    ttl_ms += LEAVE_SPREAD_MS;
  g_info ("planned stop: accepting for %" G_GINT64_FORMAT " ms more", ttl_ms);
  entry->draining = true;
  entry->drain_accept_until_ms = loop_now_ms (entry->loop) + ttl_ms;
  if (entry->link != NULL)
    control_link_leave (entry->link);
  entry_event (entry, &event);
  entry->drain_poll = loop_timer_start (entry->loop, DRAIN_POLL_MS,
                                        DRAIN_POLL_MS, drain_poll, entry);
}
