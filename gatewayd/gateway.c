#include "gateway.h"

#include <string.h>
#include <sys/random.h>

#include "beryl/revision.h"
#include "cluster_key.h"
#include "common/counters.h"
#include "configuration.h"
#include "directory.h"
#include "fingerprint.h"
#include "frontend.h"
#include "handoff.h"
#include "members.h"
#include "metrics.h"
#include "notices.h"
#include "outbound.h"
#include "planner.h"
#include "quarantine_records.h"
#include "registry.h"
#include "relay.h"
#include "request_log.h"
#include "platform_source.h"
#include "store.h"
#include "streams.h"
#include "survey.h"
#include "wire/loads.h"

/* Interval at which a stopping node checks for open requests. */
#define STOP_POLL_MS 50
/* Requests that are still open this long before the kill are ended, so that
 * their callers get a response from this node. */
#define STOP_MARGIN_MS 700
/* Delay by which changes of this node's runs are batched into one
 * announcement.  Other nodes choose an engine every few tens of milliseconds,
 * by the runs announced so far. */
#define ANNOUNCE_DELAY_MS 30
/* Minimum interval between announcements of generation profiles (token counts
 * and speeds of each service, which the planner uses).  They change slowly and
 * go to all peers. */
#define PROFILE_INTERVAL_MS 500

/* Request bodies may use 1 / BODY_MEMORY_DIVISOR of memory_mb. */
#define BODY_MEMORY_DIVISOR 4
/* Number of nodes that are assumed to share the retry budget until the nodes
 * have been listed. */
#define ASSUMED_NODES 50
/* Number of nodes that compete for the planner's lease. */
#define PLANNER_CANDIDATES 2
/* Interval of check_fleet. */
#define FLEET_CHECK_MS 1000

struct gateway
{
  struct beryl_forward_owner base;
  struct platform_source_owner source_base;
  struct configuration_owner configuration_base;
  struct directory_owner directory_base;
  struct members_owner members_base;
  struct registry_owner registry_base;
  struct loop *loop;
  const struct gateway_wire *wire;
  struct gateway_settings settings;
  struct counters *counters;
  int64_t profiles_sent_ms; /* last announcement of profiles */
  struct metrics *metrics;
  struct platform_client *store;
  struct beryl_live_set *endpoints;
  struct beryl_forward *forward;
  struct frontend *frontend;
  struct outbound *outbound;
  struct platform_source *source;
  struct configuration *configuration;
  struct directory *directory;
  struct members *members;
  struct cluster_key *cluster_key;
  struct registry *registry;
  struct quarantine_records *quarantine_records;
  struct notices *notices;
  struct streams *streams;
  struct relay *relay;
  struct planner *planner;
  struct survey *survey;
  struct loop_timer *fleet_timer;    /* runs check_fleet */
  struct loop_timer *announce_timer; /* pending announcement; NULL if none */
  struct loop_timer *tick_timer;
  int64_t tick_due_ms;
  uv_prepare_t *prepare;
  struct loop_timer *stop_timer;
  int64_t stop_start_ms;       /* 0 if not stopping */
  bool listener_closed;        /* callers can no longer connect */
  char key[CLUSTER_KEY_BYTES]; /* "" until it is known */
};

static struct gateway *
gateway_from_forward (struct beryl_forward_owner *owner)
{
  return (struct gateway *)owner;
}

static struct gateway *
gateway_from_source (struct platform_source_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, source_base));
}

static struct gateway *
gateway_from_configuration (struct configuration_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, configuration_base));
}

static struct gateway *
gateway_from_directory (struct directory_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, directory_base));
}

static struct gateway *
gateway_from_members (struct members_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, members_base));
}

static struct gateway *
gateway_from_registry (struct registry_owner *owner)
{
  return (struct gateway *)((char *)owner
                            - offsetof (struct gateway, registry_base));
}

static void
start_handoff (struct gateway *g, const struct beryl_exchange_start *start,
               const struct h1_head *head, const char *body, size_t body_bytes)
{
  struct beryl_exchange_start with_field = *start;
  GString *field = g_string_new (NULL);

  handoff_append (g->key, head, &start->handoff, field);
  with_field.extra_fields = field->str;
  outbound_start (g->outbound, &with_field, head, body, body_bytes);
  g_string_free (field, TRUE);
}

static void
forward_start_exchange (struct beryl_forward_owner *owner,
                        const struct beryl_exchange_start *start)
{
  struct gateway *g = gateway_from_forward (owner);
  const struct h1_head *head = NULL;
  const char *body = NULL;
  size_t body_bytes = 0;

  if (start->request != 0)
    head = frontend_request (g->frontend, start->request, &body, &body_bytes);
  if (start->kind == BERYL_EXCHANGE_HANDOFF)
    start_handoff (g, start, head, body, body_bytes);
  else
    outbound_start (g->outbound, start, head, body, body_bytes);
}

static void
forward_abort (struct beryl_forward_owner *owner, uint64_t exchange)
{
  outbound_abort (gateway_from_forward (owner)->outbound, exchange);
}

static bool
forward_sent (struct beryl_forward_owner *owner, uint64_t exchange)
{
  return outbound_sent (gateway_from_forward (owner)->outbound, exchange);
}

static void
forward_pause (struct beryl_forward_owner *owner, uint64_t exchange,
               bool paused)
{
  outbound_pause (gateway_from_forward (owner)->outbound, exchange, paused);
}

static void
forward_begin (struct beryl_forward_owner *owner, uint64_t request,
               uint64_t exchange, bool verbatim)
{
  struct gateway *g = gateway_from_forward (owner);
  uint64_t length = 0;
  bool has_length
      = verbatim && outbound_response_length (g->outbound, exchange, &length);

  frontend_begin_response (g->frontend, request,
                           outbound_response_head (g->outbound, exchange),
                           has_length, length);
}

static void
forward_data (struct beryl_forward_owner *owner, uint64_t request,
              const char *bytes, size_t bytes_count)
{
  frontend_write (gateway_from_forward (owner)->frontend, request, bytes,
                  bytes_count);
}

static void
forward_end (struct beryl_forward_owner *owner, uint64_t request)
{
  frontend_finish (gateway_from_forward (owner)->frontend, request);
}

static void
forward_truncate (struct beryl_forward_owner *owner, uint64_t request)
{
  frontend_truncate (gateway_from_forward (owner)->frontend, request);
}

static void
forward_refuse (struct beryl_forward_owner *owner, uint64_t request,
                const struct beryl_refusal *refusal)
{
  frontend_refuse (gateway_from_forward (owner)->frontend, request, refusal);
}

/* The organisation stands for the caller where there is one: its keys may
 * change, and the fingerprint is logged. */
static uint64_t
forward_fingerprint (struct beryl_forward_owner *owner, uint64_t request,
                     const char *organisation)
{
  struct gateway *g = gateway_from_forward (owner);
  size_t body_bytes = 0;
  const char *body = NULL;
  const struct h1_head *head
      = frontend_request (g->frontend, request, &body, &body_bytes);

  if (head == NULL)
    return 0;
  if (organisation == NULL)
    organisation = g->wire->impl->read_caller (g->wire, head);
  return fingerprint_request (head, organisation, body, body_bytes);
}

/* Logs that a request entered quarantine for REMAINING_MS, or left it (0). */
static void
forward_quarantine_changed (struct beryl_forward_owner *owner,
                            uint64_t fingerprint, int64_t remaining_ms,
                            enum beryl_quarantine_cause cause)
{
  struct gateway *g = gateway_from_forward (owner);

  g_info ("quarantine fingerprint=%016" G_GINT64_MODIFIER
          "x left_ms=%" G_GINT64_FORMAT " cause=%s",
          fingerprint, remaining_ms, beryl_quarantine_cause_name (cause));
  metrics_count_quarantine (g->metrics, beryl_quarantine_cause_name (cause));
  if (cause == BERYL_QUARANTINE_CRASHES)
    quarantine_records_add (g->quarantine_records, fingerprint, remaining_ms);
}

static void
forward_log_step (struct beryl_forward_owner *owner,
                  const struct beryl_request_step *step)
{
  struct gateway *g = gateway_from_forward (owner);
  struct configuration_state state;

  metrics_count_decision (g->metrics, step);
  configuration_state (g->configuration, &state);
  request_log_step (step, &state);
}

static void
forward_log_endpoint_state (struct beryl_forward_owner *owner,
                            const struct beryl_live_endpoint *endpoint,
                            const char *state, const char *source)
{
  request_log_endpoint (endpoint, state, source);
}

static void
forward_endless_answer (struct beryl_forward_owner *owner,
                        enum beryl_exchange_kind kind,
                        const struct beryl_live_endpoint *endpoint)
{
  metrics_count_endless (gateway_from_forward (owner)->counters,
                         beryl_exchange_name (kind), endpoint->info.id);
}

static void
forward_contact_changed (struct beryl_forward_owner *owner, bool lost,
                         int64_t lasted_ms)
{
  struct gateway *g = gateway_from_forward (owner);

  if (g->members != NULL)
    members_set_reaches_endpoints (g->members, !lost);
  if (lost)
    g_warning (
        "endpoints lost: none can be reached after_ms=%" G_GINT64_FORMAT,
        lasted_ms);
  else
    g_info ("endpoints reached again after_ms=%" G_GINT64_FORMAT, lasted_ms);
}

static void
forward_stream_begun (struct beryl_forward_owner *owner,
                      const struct beryl_stream_record *record)
{
  struct gateway *g = gateway_from_forward (owner);

  if (g->streams != NULL)
    streams_tell (g->streams, record);
}

static uint32_t
forward_find_stream (struct beryl_forward_owner *owner,
                     const struct beryl_stream_question *question)
{
  struct gateway *g = gateway_from_forward (owner);

  return g->streams != NULL ? streams_ask (g->streams, question) : 0;
}

static void
forward_confirm_list (struct beryl_forward_owner *owner)
{
  platform_source_confirm (gateway_from_forward (owner)->source);
}

static const struct beryl_forward_owner_impl forward_impl = {
  .start = forward_start_exchange,
  .abort = forward_abort,
  .sent = forward_sent,
  .pause = forward_pause,
  .answer_begin = forward_begin,
  .answer_data = forward_data,
  .answer_end = forward_end,
  .answer_abort = forward_truncate,
  .refuse = forward_refuse,
  .fingerprint = forward_fingerprint,
  .quarantine_changed = forward_quarantine_changed,
  .log_step = forward_log_step,
  .log_endpoint_state = forward_log_endpoint_state,
  .endless_answer = forward_endless_answer,
  .stream_begun = forward_stream_begun,
  .find_stream = forward_find_stream,
  .confirm_list = forward_confirm_list,
  .contact_changed = forward_contact_changed,
};

static void
configuration_changed (struct configuration_owner *owner,
                       struct beryl_routes *routes)
{
  struct gateway *g = gateway_from_configuration (owner);
  const struct beryl_caller_limits *caller_limits = &routes->limits;
  size_t value_bytes;
  const char *value = configuration_text (g->configuration, &value_bytes);
  struct h1_limits limits = {
    .header_bytes = caller_limits->header_bytes,
    .body_bytes = caller_limits->body_bytes,
    .header_timeout_ms = caller_limits->header_timeout_ms,
    .idle_timeout_ms = caller_limits->idle_timeout_ms,
    /* The other half is left to connections to endpoints. */
    .connections = g->settings.descriptors_max / 2,
    .all_bodies_bytes
    = ((uint64_t)g->settings.memory_mb << 20) / BODY_MEMORY_DIVISOR,
  };

  beryl_forward_set_routes (g->forward, routes);
  beryl_routes_unref (routes);
  h1_server_set_limits (frontend_server (g->frontend), &limits);
  if (g->members != NULL)
    members_set_configuration (g->members,
                               configuration_revision (g->configuration),
                               value, value_bytes);
}

static bool
configuration_pull (struct configuration_owner *owner)
{
  struct gateway *g = gateway_from_configuration (owner);

  return g->members != NULL && members_pull_configuration (g->members);
}

/* Has what this node has written to the store written again if it is lost. */
static void
configuration_store_restored (struct configuration_owner *owner)
{
  struct gateway *g = gateway_from_configuration (owner);

  if (g->cluster_key != NULL)
    cluster_key_check (g->cluster_key);
  if (g->registry != NULL)
    registry_refresh (g->registry);
}

static const struct configuration_owner_impl configuration_impl
    = { .routes_changed = configuration_changed,
        .pull = configuration_pull,
        .store_restored = configuration_store_restored };

static void
source_endpoints_changed (struct platform_source_owner *owner)
{
  struct gateway *g = gateway_from_source (owner);

  if (g->members != NULL)
    members_set_endpoint_revision (
        g->members, platform_source_endpoint_revision (g->source));
  beryl_forward_endpoints_changed (g->forward, loop_now_ms (g->loop));
}

static void
source_changes_received (struct platform_source_owner *owner, uint64_t after,
                         uint64_t revision, const struct entry_change *changes,
                         size_t count, bool complete)
{
  struct gateway *g = gateway_from_source (owner);

  if (g->relay != NULL)
    relay_send (g->relay, after, revision, changes, count, complete);
}

static void
source_connection_suspect (struct platform_source_owner *owner)
{
  configuration_ask_store (gateway_from_source (owner)->configuration);
}

static void
source_store_lost (struct platform_source_owner *owner)
{
  const struct gateway *g = gateway_from_source (owner);
  char configuration[BERYL_REVISION_TEXT_BYTES];
  char endpoints[BERYL_REVISION_TEXT_BYTES];

  beryl_revision_text (configuration_revision (g->configuration),
                       configuration);
  beryl_revision_text (platform_source_endpoint_revision (g->source),
                       endpoints);
  g_warning ("store lost, going on with configuration revision=%s endpoints "
             "revision=%s",
             configuration, endpoints);
}

static const struct platform_source_owner_impl source_impl = {
  .endpoints_changed = source_endpoints_changed,
  .changes_received = source_changes_received,
  .connection_suspect = source_connection_suspect,
  .store_lost = source_store_lost,
};

static bool
directory_is_ready (struct directory_owner *owner)
{
  struct gateway *g = gateway_from_directory (owner);

  return g->stop_start_ms == 0 && configuration_is_known (g->configuration)
         && platform_source_is_synced (g->source);
}

static void
directory_append_addresses (struct directory_owner *owner,
                            const struct gateway_location *location,
                            GPtrArray *addresses)
{
  struct gateway *g = gateway_from_directory (owner);

  members_append_addresses (g->members, location->data_centre, addresses);
}

static uint64_t
count_available_endpoints (const struct gateway *g)
{
  uint64_t count = 0;

  for (size_t i = 0; i < beryl_live_set_count (g->endpoints); i++)
    count += beryl_live_accepts_work (beryl_live_set_get (g->endpoints, i));
  return count;
}

static void
sample_quota_ranks (struct gateway *g,
                    const struct beryl_route_organisation *organisation,
                    int64_t now_ms)
{
  struct beryl_quota_rank_state ranks[BERYL_QUOTA_RANKS];
  size_t count = beryl_quotas_ranks (beryl_forward_quotas (g->forward),
                                     organisation->id, ranks, now_ms);

  for (size_t i = 0; i < count; i++)
    metrics_set_quota_rank (g->metrics, organisation->name, &ranks[i]);
}

static void
sample_quotas (struct gateway *g, struct metrics_gauges *gauges,
               int64_t now_ms)
{
  const struct beryl_routes *routes = beryl_forward_routes (g->forward);

  for (size_t i = 0; routes != NULL && i < routes->organisation_count; i++)
    {
      const struct beryl_route_organisation *organisation
          = &routes->organisations[i];
      struct beryl_quota_state state = beryl_quotas_state (
          beryl_forward_quotas (g->forward), organisation->id, now_ms);

      metrics_set_quota (g->metrics, organisation->name, &state);
      if (!state.limited)
        continue;
      sample_quota_ranks (g, organisation, now_ms);
      gauges->quota_share_permille = (uint64_t)(1000 * state.share);
      gauges->quota_report_age_ms = state.report_age_ms;
    }
}

static void
sample_admission (struct gateway *g, int64_t now_ms)
{
  const struct beryl_routes *routes = beryl_forward_routes (g->forward);
  struct beryl_admission_state states[BERYL_ADMISSION_SERVICES_MAX];
  size_t count
      = beryl_admission_services (beryl_forward_admission (g->forward), states,
                                  BERYL_ADMISSION_SERVICES_MAX, now_ms);

  for (size_t i = 0; routes != NULL && i < routes->service_count; i++)
    for (size_t k = 0; k < count; k++)
      if (states[k].service == beryl_name_hash (routes->services[i].name))
        metrics_set_admission (g->metrics, routes->services[i].name,
                               &states[k]);
}

static void
sample_capacity (struct gateway *g, int64_t now_ms)
{
  for (size_t i = 0; i < beryl_live_set_count (g->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (g->endpoints, i);
      struct beryl_capacity_belief belief;

      if (!beryl_live_accepts_work (endpoint))
        continue;
      belief = beryl_forward_belief (g->forward, endpoint, now_ms);
      metrics_set_capacity (g->metrics, endpoint, &belief);
    }
}

static char *
directory_format_metrics (struct directory_owner *owner)
{
  struct gateway *g = gateway_from_directory (owner);
  int64_t now_ms = loop_now_ms (g->loop);
  const struct h1_server_counts *callers
      = h1_server_counts (frontend_server (g->frontend));
  struct configuration_state configuration;
  struct metrics_gauges gauges = {
    .open_requests = beryl_forward_open_count (g->forward),
    .waiting_requests = beryl_forward_waiting_count (g->forward),
    .connections = h1_server_connections (frontend_server (g->frontend)),
    .malformed_requests = callers->malformed,
    .kept_unread = callers->kept_unread,
    .turned_away = callers->turned_away,
    .nodes = members_count (g->members),
    .endpoints = count_available_endpoints (g),
    .configuration = &configuration,
    .list_age_ms = now_ms - beryl_live_set_synced_ms (g->endpoints),
    .ready = directory_is_ready (owner),
    .reaches_endpoints = beryl_forward_reaches_endpoints (g->forward),
    .holds_planner_lease = planner_holds_lease (g->planner),
    .is_endpoint_watcher = relay_is_watcher (g->relay),
    .limited_endpoints
    = beryl_limits_count (beryl_forward_limits (g->forward)),
    .quarantined_requests
    = beryl_quarantine_count (beryl_forward_quarantine (g->forward)),
    .suspect_requests
    = beryl_quarantine_suspect_count (beryl_forward_quarantine (g->forward)),
  };

  configuration_state (g->configuration, &configuration);
  sample_quotas (g, &gauges, now_ms);
  sample_admission (g, now_ms);
  sample_capacity (g, now_ms);
  return metrics_format (g->metrics, &gauges);
}

static const struct directory_owner_impl directory_impl = {
  .is_ready = directory_is_ready,
  .append_addresses = directory_append_addresses,
  .format_metrics = directory_format_metrics,
};

static void
set_watch_wait (struct gateway *g)
{
  store_set_watch_wait (g->store, &g->settings, members_count (g->members),
                        members_rank (g->members),
                        members_isolated (g->members));
}

static void
members_count_changed (struct members_owner *owner, uint32_t count)
{
  struct gateway *g = gateway_from_members (owner);

  g_info ("nodes count=%u", count);
  beryl_forward_set_node_count (g->forward, count);
  beryl_forward_set_report_interval (
      g->forward, members_announce_interval_ms (g->members));
  store_set_nodes (g->store, &g->settings, count);
  set_watch_wait (g);
}

static void
update_peer (struct gateway *g, const struct loads_message *message,
             int64_t now_ms)
{
  const struct beryl_member *member = members_find (g->members, message->from);
  struct beryl_forward_peer peer = { 0 };

  if (member == NULL || member->http_port == 0)
    return;
  memcpy (peer.name, member->name, sizeof peer.name);
  g_strlcpy (peer.address, member->address, sizeof peer.address);
  memcpy (peer.data_centre, member->data_centre, sizeof peer.data_centre);
  peer.port = member->http_port;
  peer.takes_requests = message->takes_handoffs && !member->leaving
                        && member->state == BERYL_MEMBER_ALIVE;
  beryl_forward_set_peer (g->forward, &peer, now_ms);
}

static void
members_loads_received (struct members_owner *owner,
                        const struct loads_message *message)
{
  struct gateway *g = gateway_from_members (owner);
  int64_t now_ms = loop_now_ms (g->loop);

  update_peer (g, message, now_ms);
  beryl_forward_peer_runs (g->forward, message->from, message->runs,
                           message->run_count, now_ms);
  platform_source_set_peer_revision (g->source, message->endpoint_revision);
  beryl_forward_peer_endpoint_reports (g->forward, message->from,
                                       &message->news, now_ms);
  beryl_forward_peer_transfers (g->forward, message->from, &message->asks,
                                &message->loans, now_ms);
  beryl_forward_peer_profiles (g->forward, message->from, &message->profiles);
  beryl_quotas_apply (beryl_forward_quotas (g->forward),
                      beryl_name_hash (message->from), message->incarnation,
                      &message->quotas, now_ms);
  beryl_capacity_apply (beryl_forward_capacity (g->forward),
                        beryl_name_hash (message->from), &message->capacity,
                        now_ms);
  beryl_admission_apply (beryl_forward_admission (g->forward),
                         beryl_name_hash (message->from), &message->admission,
                         now_ms);
  beryl_run_outcomes_apply (beryl_forward_run_outcomes (g->forward),
                            beryl_name_hash (message->from),
                            &message->outcomes, now_ms);
}

static void
members_changes_received (struct members_owner *owner,
                          const struct changes_message *message)
{
  struct gateway *g = gateway_from_members (owner);

  if (g->relay != NULL)
    relay_receive (g->relay, message);
}

static void
members_notices_received (struct members_owner *owner,
                          const struct notices_message *message)
{
  notices_receive (gateway_from_members (owner)->notices, message);
}

static void
members_streams_received (struct members_owner *owner,
                          const struct streams_message *message,
                          const char *address, uint16_t port)
{
  streams_receive (gateway_from_members (owner)->streams, message, address,
                   port);
}

static void
members_peer_lost (struct members_owner *owner, const char *peer)
{
  beryl_forward_remove_peer (gateway_from_members (owner)->forward, peer);
}

static void
members_configuration_heard (struct members_owner *owner, uint64_t revision)
{
  configuration_heard (gateway_from_members (owner)->configuration, revision);
}

static void
members_configuration_received (struct members_owner *owner, uint64_t revision,
                                const char *value, size_t value_bytes)
{
  configuration_offer (gateway_from_members (owner)->configuration, revision,
                       value, value_bytes);
}

static void announce (void *user);

static void
members_announce_due (struct members_owner *owner)
{
  announce (gateway_from_members (owner));
}

static const struct members_owner_impl members_impl = {
  .count_changed = members_count_changed,
  .loads_received = members_loads_received,
  .changes_received = members_changes_received,
  .notices_received = members_notices_received,
  .streams_received = members_streams_received,
  .peer_lost = members_peer_lost,
  .announce_due = members_announce_due,
  .configuration_heard = members_configuration_heard,
  .configuration_received = members_configuration_received,
};

static void
registry_registered (struct registry_owner *owner, uint64_t incarnation)
{
  members_join (gateway_from_registry (owner)->members, incarnation);
}

static void
registry_records_listed (struct registry_owner *owner,
                         const struct beryl_listed_instance *items,
                         size_t count)
{
  members_set_records (gateway_from_registry (owner)->members, items, count);
}

static void
registry_objects_listed (struct registry_owner *owner,
                         const struct beryl_object *objects, size_t count)
{
  quarantine_records_update (gateway_from_registry (owner)->quarantine_records,
                             objects, count);
}

/* The planner's node removes the record of a node that has been silent for
 * record_keep_ms.  Until then the others leave the silent node's share of the
 * retry budget unused, because it may be running, partitioned from them. */
static bool
registry_should_remove (struct registry_owner *owner, const char *node)
{
  struct gateway *g = gateway_from_registry (owner);

  return planner_holds_lease (g->planner)
         && members_silent_ms (g->members, node) >= g->settings.record_keep_ms;
}

static const struct registry_owner_impl registry_impl = {
  .registered = registry_registered,
  .records_listed = registry_records_listed,
  .objects_listed = registry_objects_listed,
  .should_remove = registry_should_remove,
};

static void
announce (void *user)
{
  struct gateway *g = user;
  struct loads_message message = { 0 };
  int64_t now_ms = loop_now_ms (g->loop);

  loop_timer_stop (g->announce_timer);
  g->announce_timer = NULL;
  message.endpoints_lost = !beryl_forward_reaches_endpoints (g->forward);
  message.takes_handoffs = !message.endpoints_lost && g->stop_start_ms == 0;
  message.run_count = beryl_forward_runs (g->forward, message.runs,
                                          BERYL_ENGINE_RUNS_MAX, now_ms);
  /* Engines that are ordered to change their stage are added for the peers
     and applied at this node too; the forwarder then adds its own reports. */
  planner_add_pending (g->planner, &message.news.changing);
  beryl_forward_peer_endpoint_reports (g->forward, g->settings.node,
                                       &message.news, now_ms);
  beryl_forward_endpoint_reports (g->forward, &message.news, now_ms);
  beryl_forward_repeat_transfers (g->forward, &message.asks, &message.loans,
                                  now_ms);
  if (now_ms - g->profiles_sent_ms >= PROFILE_INTERVAL_MS
      && members_announces_remote (g->members))
    {
      beryl_forward_profiles (g->forward, &message.profiles);
      g->profiles_sent_ms = now_ms;
    }
  beryl_quotas_report (beryl_forward_quotas (g->forward), &message.quotas,
                       now_ms);
  beryl_capacity_report (beryl_forward_capacity (g->forward),
                         &message.capacity, now_ms);
  beryl_admission_report (beryl_forward_admission (g->forward),
                          &message.admission, now_ms);
  beryl_run_outcomes_report (beryl_forward_run_outcomes (g->forward),
                             &message.outcomes, now_ms);
  members_announce_loads (g->members, &message);
}

/* Announces engines with pending orders, applies whether this node is isolated
 * and determines whether it competes for the planner's lease. */
static void
check_fleet (void *user)
{
  struct gateway *g = user;
  struct beryl_endpoint_set changing = { 0 };
  bool isolated = members_isolated (g->members);

  planner_add_pending (g->planner, &changing);
  if (changing.count > 0 && g->announce_timer == NULL)
    g->announce_timer
        = loop_timer_start (g->loop, ANNOUNCE_DELAY_MS, 0, announce, g);
  beryl_forward_set_reports_incomplete (g->forward, isolated);
  set_watch_wait (g);
  planner_set_candidate (
      g->planner, g->stop_start_ms == 0
                      && members_is_candidate (g->members, "stage-planner",
                                               PLANNER_CANDIDATES));
}

static void
tick (void *user)
{
  struct gateway *g = user;

  loop_timer_stop (g->tick_timer);
  g->tick_timer = NULL;
  beryl_forward_tick (g->forward, loop_now_ms (g->loop));
}

/* Runs once per loop iteration, before it waits: schedules announcements,
 * notices and the forwarder's next tick.  The tick timer is only re-armed for
 * an earlier time: a timer that fires too early costs an empty tick, moving it
 * for each event would cost more. */
static void
schedule_pending_work (uv_prepare_t *prepare)
{
  struct gateway *g = prepare->data;
  int64_t next_ms = beryl_forward_next_tick_ms (g->forward);
  int64_t now_ms;

  if (g->announce_timer == NULL && g->members != NULL
      && beryl_forward_report_due (g->forward))
    g->announce_timer
        = loop_timer_start (g->loop, ANNOUNCE_DELAY_MS, 0, announce, g);
  /* An isolated node may have missed quarantines that the store records. */
  if (g->notices != NULL && notices_schedule (g->notices)
      && g->registry != NULL && members_isolated (g->members))
    registry_refresh (g->registry);

  if (next_ms == BERYL_NEVER_MS
      || (g->tick_timer != NULL && g->tick_due_ms <= next_ms))
    return;
  now_ms = loop_now_ms (g->loop);
  loop_timer_stop (g->tick_timer);
  g->tick_due_ms = next_ms;
  g->tick_timer = loop_timer_start (
      g->loop, next_ms > now_ms ? next_ms - now_ms : 1, 0, tick, g);
}

static void
create_prepare (struct gateway *g)
{
  g->prepare = g_new0 (uv_prepare_t, 1);
  uv_prepare_init (loop_uv (g->loop), g->prepare);
  g->prepare->data = g;
  uv_prepare_start (g->prepare, schedule_pending_work);
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
    .quota_slack = g->settings.quota_slack,
    .started_ms = loop_now_ms (g->loop),
    .event_field = g->wire->impl->event_field,
  };

  memcpy (settings.node, g->settings.node, sizeof settings.node);
  memcpy (settings.data_centre, g->settings.data_centre,
          sizeof settings.data_centre);
  g->endpoints = beryl_live_set_create (g->settings.endpoint_leave_ms);
  g->forward = beryl_forward_create (&settings, g->endpoints, &g->base);
  beryl_forward_set_node_count (g->forward, ASSUMED_NODES);
}

/* Joins the fleet only now, because messages from peers are not accepted
 * without the key. */
static void
cluster_key_ready (void *user, const char *key)
{
  struct gateway *g = user;

  g_strlcpy (g->key, key, sizeof g->key);
  members_set_key (g->members, g->key);
  frontend_set_key (g->frontend, g->key);
  if (g->registry == NULL)
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
  g->configuration_base.impl = &configuration_impl;
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
  g->frontend
      = frontend_create (loop, wire, &g->settings.front, g->forward, error);
  if (g->frontend != NULL)
    {
      g->configuration = configuration_create (
          loop, wire, g->store, g->settings.configuration_delay_ms,
          &g->configuration_base);
      g->source = platform_source_create (loop, wire, g->store, g->endpoints,
                                          g->counters, &g->source_base);
    }
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
      g->streams = streams_create (loop, g->forward, g->members, g->counters);
      g->cluster_key
          = cluster_key_create (loop, g->store, cluster_key_ready, g);
      g->planner = planner_create (loop, wire, &g->settings, g->store,
                                   g->counters, g->forward, g->endpoints);
      g->survey
          = survey_create (loop, wire, g->counters, g->forward, g->endpoints);
      g->fleet_timer = loop_timer_start (loop, FLEET_CHECK_MS, FLEET_CHECK_MS,
                                         check_fleet, g);
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
  loop_timer_stop (g->tick_timer);
  loop_timer_stop (g->announce_timer);
  loop_timer_stop (g->stop_timer);
  loop_timer_stop (g->fleet_timer);
  survey_destroy (g->survey);
  planner_destroy (g->planner);
  cluster_key_destroy (g->cluster_key);
  registry_destroy (g->registry);
  notices_destroy (g->notices);
  streams_destroy (g->streams);
  quarantine_records_destroy (g->quarantine_records);
  relay_destroy (g->relay);
  members_destroy (g->members);
  uv_close ((uv_handle_t *)g->prepare, free_handle);
  directory_destroy (g->directory);
  frontend_destroy (g->frontend);
  platform_source_destroy (g->source);
  configuration_destroy (g->configuration);
  outbound_destroy (g->outbound);
  beryl_forward_destroy (g->forward);
  beryl_live_set_destroy (g->endpoints);
  platform_client_destroy (g->store);
  metrics_destroy (g->metrics);
  counters_destroy (g->counters);
  g_free (g);
}

static void
stop_poll (void *user)
{
  struct gateway *g = user;
  int64_t stopping_ms = loop_now_ms (g->loop) - g->stop_start_ms;
  bool idle = beryl_forward_open_count (g->forward) == 0
              && h1_server_open (frontend_server (g->frontend)) == 0;

  /* Callers may use this node's address until their cached list expires.
     After that, a refused connection sends the remaining ones to another node
     at once. */
  if (stopping_ms >= g->settings.address_keep_ms && !g->listener_closed)
    {
      h1_server_close_listener (frontend_server (g->frontend));
      g->listener_closed = true;
      /* Connections that were accepted last are yet to be read. */
      idle = false;
    }
  if ((idle && stopping_ms >= g->settings.address_keep_ms)
      || stopping_ms >= g->settings.stop_ms - STOP_MARGIN_MS)
    {
      g_info ("stopped after_ms=%" G_GINT64_FORMAT " open=%u", stopping_ms,
              beryl_forward_open_count (g->forward));
      beryl_forward_stop_end (g->forward, loop_now_ms (g->loop));
      loop_quit (g->loop);
    }
}

void
gateway_stop (struct gateway *g)
{
  int64_t now_ms = loop_now_ms (g->loop);

  g_info ("stop asked open=%u", beryl_forward_open_count (g->forward));
  g->stop_start_ms = now_ms;
  members_leave (g->members);
  if (g->registry != NULL)
    registry_withdraw (g->registry);
  beryl_forward_stop (g->forward,
                      now_ms + g->settings.stop_ms - STOP_MARGIN_MS, now_ms);
  h1_server_drain (frontend_server (g->frontend), g->settings.address_keep_ms);
  g->stop_timer
      = loop_timer_start (g->loop, STOP_POLL_MS, STOP_POLL_MS, stop_poll, g);
}

void
gateway_reload (struct gateway *g, const struct gateway_settings *settings)
{
  struct gateway_settings *current = &g->settings;
  bool needs_restart = gateway_settings_need_restart (current, settings);

  current->repeat_ratio = settings->repeat_ratio;
  current->repeat_slack = settings->repeat_slack;
  current->repeat_window_ms = settings->repeat_window_ms;
  current->stop_ms = settings->stop_ms;
  beryl_forward_set_repeat_limits (g->forward, current->repeat_ratio,
                                   current->repeat_slack,
                                   current->repeat_window_ms);
  current->quota_slack = settings->quota_slack;
  beryl_forward_set_quota_slack (g->forward, current->quota_slack);
  if (current->address_keep_ms != settings->address_keep_ms)
    {
      current->address_keep_ms = settings->address_keep_ms;
      directory_set_address_keep (g->directory, current->address_keep_ms);
    }
  g_info ("reload done%s",
          needs_restart ? ", some changes take effect after a restart" : "");
}
