#include "gateway.h"

#include <string.h>
#include <sys/random.h>

#include "cluster_key.h"
#include "common/counters.h"
#include "directory.h"
#include "fingerprint.h"
#include "front.h"
#include "members.h"
#include "metrics.h"
#include "notices.h"
#include "outbound.h"
#include "planner.h"
#include "quarantine_records.h"
#include "registry.h"
#include "relay.h"
#include "source.h"
#include "store.h"
#include "survey.h"
#include "wire/loads.h"

/* How often a stopping node looks whether all is answered. */
#define STOP_POLL_MS 50
/* What is still open so long before the kill is ended, so that callers hear
 * it from this node. */
#define STOP_MARGIN_MS 700
/* Changes of this node's runs are told together, so often at most.  Others
 * place a request every few tens of milliseconds. */
#define TELL_DELAY_MS 30
/* What was learned of generations changes slowly: it goes to all peers, with
 * one message in so long at most. */
#define PROFILES_MS 500

/* Callers' bodies may take that part of the memory. */
#define BODIES_PART 4
/* Before the first list of nodes this one takes itself for one of many when it
 * pays for repeats. */
#define NODES_UNKNOWN 50
/* Nodes that compete for the planner's lease, and how often they are looked
 * up. */
#define PLANNERS 2
#define STAND_MS 1000

struct gateway
{
  struct beryl_forward_owner base;
  struct source_owner source_base;
  struct directory_owner directory_base;
  struct members_owner members_base;
  struct registry_owner registry_base;
  struct loop *loop;
  const struct gateway_wire *wire;
  struct gateway_settings settings;
  struct counters *counters;
  int64_t profiles_ms; /* when what was learned was told last */
  struct metrics *metrics;
  struct platform_client *store;
  struct beryl_live_set *lives;
  struct beryl_forward *forward;
  struct front *front;
  struct outbound *outbound;
  struct source *source;
  struct directory *directory;
  struct members *members;
  struct cluster_key *key;
  struct registry *registry;
  struct quarantine_records *quarantine_records;
  struct notices *notices;
  struct relay *relay;
  struct planner *planner;
  struct survey *survey;
  struct loop_timer *stand; /* looks who stands for the planner's lease */
  struct loop_timer *tell;  /* runs that changed are told when it fires */
  struct loop_timer *tick;
  int64_t tick_ms;
  uv_prepare_t *prepare;
  struct loop_timer *stop_poll;
  int64_t stop_began_ms; /* 0: not stopping */
};

static struct gateway *
of_forward (struct beryl_forward_owner *owner)
{
  return (struct gateway *)owner;
}

static struct gateway *
of_source (struct source_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, source_base));
}

static struct gateway *
of_directory (struct directory_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, directory_base));
}

static struct gateway *
of_members (struct members_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, members_base));
}

static struct gateway *
of_registry (struct registry_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, registry_base));
}

static void
forward_start_exchange (struct beryl_forward_owner *owner,
                        const struct beryl_exchange_start *start)
{
  struct gateway *g = of_forward (owner);
  const struct h1_head *head = NULL;
  const char *body = NULL;
  size_t body_bytes = 0;

  if (start->request != 0)
    head = front_request (g->front, start->request, &body, &body_bytes);
  outbound_start (g->outbound, start, head, body, body_bytes);
}

static void
forward_abort (struct beryl_forward_owner *owner, uint64_t exchange)
{
  outbound_abort (of_forward (owner)->outbound, exchange);
}

static void
forward_pause (struct beryl_forward_owner *owner, uint64_t exchange,
               bool paused)
{
  outbound_pause (of_forward (owner)->outbound, exchange, paused);
}

static void
forward_begin (struct beryl_forward_owner *owner, uint64_t request,
               uint64_t exchange)
{
  struct gateway *g = of_forward (owner);
  uint64_t length = 0;
  bool has_length = outbound_length (g->outbound, exchange, &length);

  front_begin (g->front, request, outbound_head (g->outbound, exchange),
               has_length, length);
}

static void
forward_data (struct beryl_forward_owner *owner, uint64_t request,
              const char *bytes, size_t bytes_count)
{
  front_data (of_forward (owner)->front, request, bytes, bytes_count);
}

static void
forward_end (struct beryl_forward_owner *owner, uint64_t request)
{
  front_end (of_forward (owner)->front, request);
}

static void
forward_cut (struct beryl_forward_owner *owner, uint64_t request)
{
  front_cut (of_forward (owner)->front, request);
}

static void
forward_refuse (struct beryl_forward_owner *owner, uint64_t request,
                const struct beryl_refusal *refusal)
{
  front_refuse (of_forward (owner)->front, request, refusal);
}

static uint64_t
forward_fingerprint (struct beryl_forward_owner *owner, uint64_t request)
{
  struct gateway *g = of_forward (owner);
  size_t body_bytes = 0;
  const char *body = NULL;
  const struct h1_head *head
      = front_request (g->front, request, &body, &body_bytes);

  if (head == NULL)
    return 0;
  return fingerprint_request (head, g->wire->impl->read_caller (g->wire, head),
                              body, body_bytes);
}

static void
forward_quarantined (struct beryl_forward_owner *owner, uint64_t fingerprint,
                     int64_t left_ms, enum beryl_quarantine_cause cause)
{
  struct gateway *g = of_forward (owner);

  g_info ("quarantine fingerprint=%016" G_GINT64_MODIFIER
          "x left_ms=%" G_GINT64_FORMAT " cause=%s",
          fingerprint, left_ms, beryl_quarantine_cause_name (cause));
  metrics_quarantined (g->metrics, beryl_quarantine_cause_name (cause));
  if (cause == BERYL_QUARANTINE_CRASHES)
    quarantine_records_add (g->quarantine_records, fingerprint, left_ms);
}

/* Only what became of a request after its run broke off has one. */
static const char *
fingerprint_text (uint64_t fingerprint, char *text, size_t room)
{
  if (fingerprint == 0)
    return "-";
  g_snprintf (text, room, "%016" G_GINT64_MODIFIER "x", fingerprint);
  return text;
}

static void
forward_decided (struct beryl_forward_owner *owner,
                 const struct beryl_request_step *d)
{
  char fingerprint[20];

  metrics_decided (of_forward (owner)->metrics, d);
  if (!log_level_enabled (G_LOG_LEVEL_INFO))
    return;
  g_info ("request id=%s route=%s step=%s outcome=%s endpoint=%s age_ms="
          "%" G_GINT64_FORMAT " n=%" G_GINT64_FORMAT
          " first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
          " configuration=%" G_GUINT64_FORMAT " seen=%" G_GUINT64_FORMAT
          " fingerprint=%s",
          d->id, d->route, d->step, d->outcome,
          d->endpoint != NULL ? d->endpoint->info.id : "-", d->age_ms,
          d->value, d->first_event_ms, d->longest_gap_ms, d->config_version,
          d->endpoint_revision,
          fingerprint_text (d->fingerprint, fingerprint, sizeof fingerprint));
}

static void
forward_learned (struct beryl_forward_owner *owner,
                 const struct beryl_live *live, const char *what,
                 const char *from)
{
  g_info ("endpoint id=%s revision=%" G_GUINT64_FORMAT " %s from=%s",
          live->info.id, live->info.revision, what, from);
}

static const struct beryl_forward_owner_impl forward_impl = {
  .start = forward_start_exchange,
  .abort = forward_abort,
  .pause = forward_pause,
  .answer_begin = forward_begin,
  .answer_data = forward_data,
  .answer_end = forward_end,
  .answer_abort = forward_cut,
  .refuse = forward_refuse,
  .fingerprint = forward_fingerprint,
  .quarantine_changed = forward_quarantined,
  .log_step = forward_decided,
  .log_endpoint_state = forward_learned,
};

static void
source_routes (struct source_owner *owner, struct beryl_routes *routes)
{
  struct gateway *g = of_source (owner);
  const struct beryl_caller_limits *from = &routes->limits;
  size_t value_bytes;
  const char *value = source_value (g->source, &value_bytes);
  struct h1_limits limits = {
    .header_bytes = from->header_bytes,
    .body_bytes = from->body_bytes,
    .header_timeout_ms = from->header_timeout_ms,
    .idle_timeout_ms = from->idle_timeout_ms,
    .connections = g->settings.descriptors_max / 2,
    .all_bodies_bytes = ((uint64_t)g->settings.memory_mb << 20) / BODIES_PART,
  };

  beryl_forward_set_routes (g->forward, routes);
  beryl_routes_unref (routes);
  h1_server_set_limits (front_server (g->front), &limits);
  if (g->members != NULL)
    members_set_configuration (g->members, source_revision (g->source), value,
                               value_bytes);
}

static void
source_endpoints (struct source_owner *owner)
{
  struct gateway *g = of_source (owner);

  if (g->members != NULL)
    members_set_endpoint_revision (g->members,
                                   source_endpoint_revision (g->source));
  beryl_forward_endpoints_changed (g->forward, loop_now_ms (g->loop));
}

static void
source_answered (struct source_owner *owner, uint64_t after, uint64_t revision,
                 const struct entry_change *changes, size_t count,
                 bool complete)
{
  struct gateway *g = of_source (owner);

  if (g->relay != NULL)
    relay_answered (g->relay, after, revision, changes, count, complete);
}

static const struct source_owner_impl source_impl = {
  .routes = source_routes,
  .endpoints = source_endpoints,
  .answered = source_answered,
};

static bool
directory_ready (struct directory_owner *owner)
{
  struct gateway *g = of_directory (owner);

  return g->stop_began_ms == 0 && source_complete (g->source);
}

static void
directory_addresses (struct directory_owner *owner,
                     const struct gateway_place *place, GPtrArray *addresses)
{
  struct gateway *g = of_directory (owner);

  members_addresses (g->members, place->data_centre, addresses);
}

static uint64_t
endpoints_working (const struct gateway *g)
{
  uint64_t count = 0;

  for (size_t i = 0; i < beryl_live_set_count (g->lives); i++)
    count += beryl_live_accepts_work (beryl_live_set_get (g->lives, i));
  return count;
}

static char *
directory_metrics (struct directory_owner *owner)
{
  struct gateway *g = of_directory (owner);
  int64_t now_ms = loop_now_ms (g->loop);
  struct metrics_gauges gauges = {
    .open = beryl_forward_open_count (g->forward),
    .waiting = beryl_forward_waiting_count (g->forward),
    .connections = h1_server_connections (front_server (g->front)),
    .malformed = h1_server_counts (front_server (g->front))->malformed,
    .nodes = members_count (g->members),
    .endpoints = endpoints_working (g),
    .configuration = source_version (g->source),
    .revision = source_revision (g->source),
    .list_age_ms = now_ms - beryl_live_set_synced_ms (g->lives),
    .ready = directory_ready (owner),
    .planner = planner_holds (g->planner),
    .watcher = relay_watches (g->relay),
    .limited = beryl_limits_count (beryl_forward_limits (g->forward)),
    .quarantined
    = beryl_quarantine_count (beryl_forward_quarantine (g->forward)),
    .suspects
    = beryl_quarantine_suspect_count (beryl_forward_quarantine (g->forward)),
  };

  return metrics_format (g->metrics, &gauges);
}

static const struct directory_owner_impl directory_impl = {
  .ready = directory_ready,
  .addresses = directory_addresses,
  .metrics = directory_metrics,
};

static void
members_count_changed (struct members_owner *owner, uint32_t count)
{
  struct gateway *g = of_members (owner);

  beryl_forward_set_node_count (g->forward, count);
  beryl_forward_set_report_interval (g->forward,
                                     members_interval_ms (g->members));
  store_set_nodes (g->store, &g->settings, count);
  store_set_watch_wait (g->store, count, members_isolated (g->members));
}

static void
members_loads (struct members_owner *owner,
               const struct loads_message *message)
{
  struct gateway *g = of_members (owner);
  int64_t now_ms = loop_now_ms (g->loop);

  beryl_forward_peer_runs (g->forward, message->from, message->runs,
                           message->run_count, now_ms);
  source_peer_revision (g->source, message->endpoint_revision);
  beryl_forward_peer_endpoint_reports (g->forward, message->from,
                                       &message->news, now_ms);
  beryl_forward_peer_transfers (g->forward, message->from, &message->asks,
                                &message->loans, now_ms);
  beryl_forward_peer_profiles (g->forward, message->from, &message->profiles);
}

static void
members_changes (struct members_owner *owner,
                 const struct changes_message *message)
{
  struct gateway *g = of_members (owner);

  if (g->relay != NULL)
    relay_received (g->relay, message);
}

static void
members_notices (struct members_owner *owner,
                 const struct notices_message *message)
{
  notices_take (of_members (owner)->notices, message);
}

static void
members_peer_gone (struct members_owner *owner, const char *peer)
{
  beryl_forward_remove_peer (of_members (owner)->forward, peer);
}

static bool
members_should_pull (struct members_owner *owner)
{
  return source_should_pull (of_members (owner)->source);
}

static void
members_configuration (struct members_owner *owner, uint64_t revision,
                       const char *value, size_t value_bytes)
{
  source_offer (of_members (owner)->source, revision, value, value_bytes);
}

static void tell (void *user);

static void
members_tell_due (struct members_owner *owner)
{
  tell (of_members (owner));
}

static const struct members_owner_impl members_impl = {
  .count_changed = members_count_changed,
  .loads = members_loads,
  .changes = members_changes,
  .notices = members_notices,
  .peer_gone = members_peer_gone,
  .tell_due = members_tell_due,
  .should_pull = members_should_pull,
  .configuration = members_configuration,
};

static void
registry_registered (struct registry_owner *owner, uint64_t incarnation)
{
  members_join (of_registry (owner)->members, incarnation);
}

static void
registry_listed (struct registry_owner *owner,
                 const struct beryl_listed *items, size_t count)
{
  members_listed (of_registry (owner)->members, items, count);
}

static void
registry_objects (struct registry_owner *owner,
                  const struct beryl_object *objects, size_t count)
{
  quarantine_records_listed (of_registry (owner)->quarantine_records, objects,
                             count);
}

/* One that fell silent is back within seconds, or never.  Until its record is
 * taken back its part of the repeats is not used by others: it may only be cut
 * off from this node, and at work. */
static bool
registry_is_over (struct registry_owner *owner, const char *node)
{
  struct gateway *g = of_registry (owner);

  return planner_holds (g->planner)
         && members_silent_ms (g->members, node) >= g->settings.record_keep_ms;
}

static const struct registry_owner_impl registry_impl = {
  .registered = registry_registered,
  .listed = registry_listed,
  .objects = registry_objects,
  .is_over = registry_is_over,
};

static void
tell (void *user)
{
  struct gateway *g = user;
  struct loads_message message = { 0 };
  int64_t now_ms = loop_now_ms (g->loop);

  loop_timer_stop (g->tell);
  g->tell = NULL;
  message.run_count = beryl_forward_runs (g->forward, message.runs,
                                          BERYL_ENGINE_RUNS_MAX, now_ms);
  planner_changing (g->planner, &message.news.changing);
  beryl_forward_peer_endpoint_reports (g->forward, g->settings.node,
                                       &message.news, now_ms);
  beryl_forward_endpoint_reports (g->forward, &message.news, now_ms);
  beryl_forward_repeat_transfers (g->forward, &message.asks, &message.loans,
                                  now_ms);
  if (now_ms - g->profiles_ms >= PROFILES_MS && members_tells_far (g->members))
    {
      beryl_forward_profiles (g->forward, &message.profiles);
      g->profiles_ms = now_ms;
    }
  members_tell_loads (g->members, &message);
}

static void
stand (void *user)
{
  struct gateway *g = user;
  struct beryl_endpoint_set changing = { 0 };
  bool isolated = members_isolated (g->members);

  planner_changing (g->planner, &changing);
  if (changing.count > 0 && g->tell == NULL)
    g->tell = loop_timer_start (g->loop, TELL_DELAY_MS, 0, tell, g);
  beryl_forward_set_reports_incomplete (g->forward, isolated);
  store_set_watch_wait (g->store, members_count (g->members), isolated);
  planner_stand (g->planner, g->stop_began_ms == 0
                                 && members_stands_for (
                                     g->members, "stage-planner", PLANNERS));
}

static void
tick (void *user)
{
  struct gateway *g = user;

  loop_timer_stop (g->tick);
  g->tick = NULL;
  beryl_forward_tick (g->forward, loop_now_ms (g->loop));
}

/* Runs once a turn of the loop, before it waits; a timer that is early costs
 * an empty tick, moving it for each event would cost more. */
static void
schedule_tick (uv_prepare_t *prepare)
{
  struct gateway *g = prepare->data;
  int64_t next_ms = beryl_forward_next_tick_ms (g->forward);
  int64_t now_ms;

  if (g->tell == NULL && g->members != NULL
      && beryl_forward_report_due (g->forward))
    g->tell = loop_timer_start (g->loop, TELL_DELAY_MS, 0, tell, g);
  /* A node that hears no other may not have heard what is on record. */
  if (g->notices != NULL && notices_look (g->notices) && g->registry != NULL
      && members_isolated (g->members))
    registry_look (g->registry);

  if (next_ms == BERYL_NEVER_MS || (g->tick != NULL && g->tick_ms <= next_ms))
    return;
  now_ms = loop_now_ms (g->loop);
  loop_timer_stop (g->tick);
  g->tick_ms = next_ms;
  g->tick = loop_timer_start (g->loop, next_ms > now_ms ? next_ms - now_ms : 1,
                              0, tick, g);
}

static void
create_prepare (struct gateway *g)
{
  g->prepare = g_new0 (uv_prepare_t, 1);
  uv_prepare_init (loop_uv (g->loop), g->prepare);
  g->prepare->data = g;
  uv_prepare_start (g->prepare, schedule_tick);
}

static void
free_handle (uv_handle_t *handle)
{
  g_free (handle);
}

static uint64_t
random_number (void)
{
  uint64_t number = 0;

  if (getrandom (&number, sizeof number, 0) != (ssize_t)sizeof number)
    number = uv_hrtime ();
  return number;
}

static void
create_forward (struct gateway *g)
{
  struct beryl_forward_settings settings = {
    .seed = random_number (),
    .repeat_ratio = g->settings.repeat_ratio,
    .repeat_slack = g->settings.repeat_slack,
    .repeat_window_ms = g->settings.repeat_window_ms,
  };

  memcpy (settings.node, g->settings.node, sizeof settings.node);
  memcpy (settings.data_centre, g->settings.data_centre,
          sizeof settings.data_centre);
  g->lives = beryl_live_set_create (g->settings.endpoint_leave_ms);
  g->forward = beryl_forward_create (&settings, g->lives, &g->base);
  beryl_forward_set_node_count (g->forward, NODES_UNKNOWN);
}

/* Without the key nothing of the peers is believed, so that this node joins
 * them only now. */
static void
key_known (void *user, const char *key)
{
  struct gateway *g = user;

  members_set_key (g->members, key);
  g->registry
      = registry_create (g->loop, g->store, &g->settings, &g->registry_base);
}

struct gateway *
gateway_create (struct loop *loop, struct http_context *http,
                const struct gateway_wire *wire,
                const struct gateway_settings *settings,
                struct beryl_error *error)
{
  struct gateway *g = g_new0 (struct gateway, 1);

  g->base.impl = &forward_impl;
  g->source_base.impl = &source_impl;
  g->directory_base.impl = &directory_impl;
  g->members_base.impl = &members_impl;
  g->registry_base.impl = &registry_impl;
  g->loop = loop;
  g->wire = wire;
  g->settings = *settings;
  g->counters = counters_create ();
  g->metrics = metrics_create (g->counters);
  create_forward (g);
  g->outbound = outbound_create (loop, wire, g->forward);
  g->store = store_create (loop, http, wire, &g->settings, g->counters,
                           random_number ());
  create_prepare (g);
  g->front = front_create (loop, wire, &g->settings.front, g->forward, error);
  if (g->front != NULL)
    g->source = source_create (loop, wire, g->store, g->lives, g->counters,
                               &g->source_base);
  if (g->source != NULL)
    g->directory = directory_create (loop, wire, &g->settings,
                                     &g->directory_base, error);
  if (g->directory != NULL)
    g->members = members_create (loop, &g->settings, &g->members_base,
                                 g->counters, error);
  if (g->members != NULL)
    {
      g->relay = relay_create (loop, &g->settings, g->source, g->members,
                               g->counters);
      g->quarantine_records = quarantine_records_create (
          loop, g->store, &g->settings, beryl_forward_quarantine (g->forward));
      g->notices
          = notices_create (loop, g->settings.node, g->forward, g->members);
      g->key = cluster_key_create (loop, g->store, key_known, g);
      g->planner = planner_create (loop, wire, &g->settings, g->store,
                                   g->forward, g->lives);
      g->survey = survey_create (loop, wire, g->forward, g->lives);
      g->stand = loop_timer_start (loop, STAND_MS, STAND_MS, stand, g);
      return g;
    }
  gateway_destroy (g);
  return NULL;
}

void
gateway_destroy (struct gateway *g)
{
  if (g == NULL)
    return;
  loop_timer_stop (g->tick);
  loop_timer_stop (g->tell);
  loop_timer_stop (g->stop_poll);
  loop_timer_stop (g->stand);
  survey_destroy (g->survey);
  planner_destroy (g->planner);
  cluster_key_destroy (g->key);
  registry_destroy (g->registry);
  notices_destroy (g->notices);
  quarantine_records_destroy (g->quarantine_records);
  relay_destroy (g->relay);
  members_destroy (g->members);
  uv_close ((uv_handle_t *)g->prepare, free_handle);
  directory_destroy (g->directory);
  front_destroy (g->front);
  source_destroy (g->source);
  outbound_destroy (g->outbound);
  beryl_forward_destroy (g->forward);
  beryl_live_set_destroy (g->lives);
  platform_client_destroy (g->store);
  metrics_destroy (g->metrics);
  counters_destroy (g->counters);
  g_free (g);
}

static void
stop_poll (void *user)
{
  struct gateway *g = user;
  int64_t stopping_ms = loop_now_ms (g->loop) - g->stop_began_ms;
  bool idle = beryl_forward_open_count (g->forward) == 0
              && h1_server_open (front_server (g->front)) == 0;

  /* Callers may use the address for as long as they keep an answer; after
     that a refused connection sends the rest to another node at once. */
  if (stopping_ms >= g->settings.address_keep_ms)
    h1_server_close_listener (front_server (g->front));
  if ((idle && stopping_ms >= g->settings.address_keep_ms)
      || stopping_ms >= g->settings.stop_ms - STOP_MARGIN_MS)
    {
      g_info ("stopped after_ms=%" G_GINT64_FORMAT " open=%u", stopping_ms,
              beryl_forward_open_count (g->forward));
      loop_quit (g->loop);
    }
}

void
gateway_stop (struct gateway *g)
{
  int64_t now_ms = loop_now_ms (g->loop);

  g_info ("stop asked open=%u", beryl_forward_open_count (g->forward));
  g->stop_began_ms = now_ms;
  members_leave (g->members);
  if (g->registry != NULL)
    registry_withdraw (g->registry);
  beryl_forward_stop (g->forward,
                      now_ms + g->settings.stop_ms - STOP_MARGIN_MS, now_ms);
  h1_server_drain (front_server (g->front), g->settings.address_keep_ms);
  g->stop_poll
      = loop_timer_start (g->loop, STOP_POLL_MS, STOP_POLL_MS, stop_poll, g);
}

void
gateway_reload (struct gateway *g, const struct gateway_settings *settings)
{
  struct gateway_settings *mine = &g->settings;
  bool restart = gateway_settings_need_restart (mine, settings);

  mine->repeat_ratio = settings->repeat_ratio;
  mine->repeat_slack = settings->repeat_slack;
  mine->repeat_window_ms = settings->repeat_window_ms;
  mine->stop_ms = settings->stop_ms;
  beryl_forward_set_repeat_limits (g->forward, mine->repeat_ratio,
                                   mine->repeat_slack, mine->repeat_window_ms);
  if (mine->address_keep_ms != settings->address_keep_ms)
    {
      mine->address_keep_ms = settings->address_keep_ms;
      directory_set_keep (g->directory, mine->address_keep_ms);
    }
  g_info ("reload done%s",
          restart ? ", some settings wait for a restart" : "");
}
