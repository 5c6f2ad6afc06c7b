#include "private.h"

#include <stdlib.h>
#include <string.h>

/* A connection attempt that takes longer is aborted and another endpoint
   tried; no byte was sent, so nothing can have run. A round trip within a
   region takes a few milliseconds, an accept by a busy endpoint some tens. */
#define CONNECT_TIMEOUT_MS 150
/* Assumed prompt length before any prompt was seen. */
#define PRIOR_PROMPT_TOKENS 4000.0

const char *
beryl_refusal_name (enum beryl_refusal_reason reason)
{
  static const char *const names[] = { "no_configuration",
                                       "no_route",
                                       "no_endpoint",
                                       "no_room",
                                       "endpoints_full",
                                       "deadline",
                                       "endpoint_failed",
                                       "stopping",
                                       "quarantined",
                                       "limited",
                                       "unauthenticated",
                                       "paused",
                                       "quota",
                                       "unknown_stream",
                                       "version_gone",
                                       "overloaded",
                                       "over_share",
                                       "no_connection",
                                       "runs_break" };

  return names[reason];
}

const char *
beryl_exchange_name (enum beryl_exchange_kind kind)
{
  static const char *const names[]
      = { "run",     "prefill", "reserve", "unreserve",
          "drop_kv", "move",    "dial",    "handoff" };

  return names[kind];
}

struct beryl_forward *
beryl_forward_create (const struct beryl_forward_settings *settings,
                      struct beryl_live_set *endpoints,
                      struct beryl_forward_owner *owner)
{
  struct beryl_forward *f = calloc (1, sizeof *f);

  f->settings = *settings;
  f->endpoints = endpoints;
  f->owner = owner;
  f->nodes = 1;
  f->random = settings->seed;
  f->stop_ms = BERYL_NEVER_MS;
  f->peers = beryl_live_set_create (0);
  TAILQ_INIT (&f->requests);
  TAILQ_INIT (&f->exchanges);
  crashes_init (f);
  stream_records_init (&f->streams);
  f->limits = beryl_limits_create ();
  f->quotas = beryl_quotas_create (settings->quota_slack, settings->seed);
  f->capacity = beryl_capacity_create ();
  f->admission = beryl_admission_create (settings->seed);
  f->run_outcomes = beryl_run_outcomes_create ();
  return f;
}

void
beryl_forward_destroy (struct beryl_forward *f)
{
  struct exchange *x;
  struct request *r;

  if (f == NULL)
    return;
  while ((x = TAILQ_FIRST (&f->exchanges)) != NULL)
    {
      TAILQ_REMOVE (&f->exchanges, x, entry);
      event_splitter_clear (&x->pieces);
      held_events_clear (&x->held);
      free (x);
    }
  while ((r = TAILQ_FIRST (&f->requests)) != NULL)
    forward_request_free (f, r);
  for (size_t i = 0; i < f->service_count; i++)
    {
      profile_clear (&f->services[i]->peer_profiles);
      free (f->services[i]);
    }
  free (f->services);
  map_clear (&f->requests_by_handle);
  map_clear (&f->exchanges_by_id);
  run_table_clear (&f->run_table);
  stream_records_clear (&f->streams);
  beryl_live_set_destroy (f->peers);
  beryl_quarantine_destroy (f->quarantine);
  beryl_limits_destroy (f->limits);
  beryl_quotas_destroy (f->quotas);
  beryl_capacity_destroy (f->capacity);
  beryl_admission_destroy (f->admission);
  beryl_run_outcomes_destroy (f->run_outcomes);
  beryl_routes_unref (f->routes);
  free (f);
}

struct service *
forward_service (struct beryl_forward *f, const char *name)
{
  struct service *s;

  for (size_t i = 0; i < f->service_count; i++)
    if (strcmp (f->services[i]->name, name) == 0)
      return f->services[i];
  s = calloc (1, sizeof *s);
  memcpy (s->name, name, strlen (name) + 1);
  output_model_init (&s->output_model);
  s->prompt_tokens_mean = PRIOR_PROMPT_TOKENS;
  s->output_tokens_mean = s->output_model.tokens_mean;
  pace_init (&s->prefill_pace);
  s->prefill_ms_per_token = s->prefill_pace.ms_per_token;
  f->services
      = realloc (f->services, (f->service_count + 1) * sizeof (void *));
  f->services[f->service_count++] = s;
  return s;
}

struct service *
forward_service_by_hash (const struct beryl_forward *f, uint32_t hash)
{
  for (size_t i = 0; i < f->service_count; i++)
    if (beryl_name_hash (f->services[i]->name) == hash)
      return f->services[i];
  return NULL;
}

static void
update_kv_sizes (struct beryl_forward *f, const struct beryl_routes *routes)
{
  for (size_t i = 0; i < routes->service_count; i++)
    if (routes->services[i].has_engines)
      forward_service (f, routes->services[i].name)->kv_tokens
          = routes->services[i].engine.kv_tokens;
}

void
beryl_forward_set_routes (struct beryl_forward *f, struct beryl_routes *routes)
{
  update_kv_sizes (f, routes);
  quota_set_routes (f, routes);
  plain_admission_set_routes (f);
  beryl_routes_ref (routes);
  beryl_routes_unref (f->routes);
  f->routes = routes;
}

const struct beryl_routes *
beryl_forward_routes (const struct beryl_forward *f)
{
  return f->routes;
}

void
beryl_forward_set_repeat_limits (struct beryl_forward *f, double repeat_ratio,
                                 uint32_t repeat_slack,
                                 int64_t repeat_window_ms)
{
  f->settings.repeat_ratio = repeat_ratio;
  f->settings.repeat_slack = repeat_slack;
  f->settings.repeat_window_ms = repeat_window_ms;
}

void
beryl_forward_set_node_count (struct beryl_forward *f, uint32_t nodes)
{
  f->nodes = nodes > 0 ? nodes : 1;
  beryl_admission_set_nodes (f->admission, f->nodes);
  beryl_quarantine_set_fleet (f->quarantine, f->nodes, f->settings.seed);
  beryl_quotas_set_fleet (f->quotas, f->nodes,
                          f->run_table.report_interval_ms);
}

void
beryl_forward_set_report_interval (struct beryl_forward *f,
                                   int64_t interval_ms)
{
  f->run_table.report_interval_ms = interval_ms;
  beryl_quotas_set_fleet (f->quotas, f->nodes, interval_ms);
}

void
beryl_forward_set_reports_incomplete (struct beryl_forward *f, bool incomplete)
{
  f->reports_incomplete = incomplete;
}

bool
beryl_exchange_carries_request (enum beryl_exchange_kind kind)
{
  return kind == BERYL_EXCHANGE_RUN || kind == BERYL_EXCHANGE_PREFILL
         || kind == BERYL_EXCHANGE_HANDOFF;
}

static void
set_request_fields (struct beryl_forward *f, struct request *r,
                    struct beryl_exchange_start *start, int64_t now_ms)
{
  start->remaining_ms
      = r->deadline_ms == BERYL_NEVER_MS ? 0 : r->deadline_ms - now_ms;
  if (!beryl_exchange_carries_request (start->kind))
    return;
  if (start->kind != BERYL_EXCHANGE_HANDOFF)
    start->hold_ms = connections_hold_ms (f, r, start->endpoint, now_ms);
  start->authenticated = r->routes->authenticates;
  start->organisation = r->organisation != NULL ? r->organisation->name : NULL;
  start->has_rank = r->config->route_ranks.count > 1;
  start->rank = beryl_routes_service_route_rank (r->config, r->route);
  quota_count_sent (f, r, now_ms);
}

/* Returns where the events of R's next run begin. Whether an endpoint goes on
   after the event that a caller names is unknown where that is not asked of
   endpoints. */
static struct event_sequence
next_events (const struct request *r)
{
  bool known = !r->params.resumes || r->route->resumable || r->event_count > 0;
  bool goes_on = known && (r->params.resumes || r->event_count > 0);

  return (struct event_sequence){
    .known = known,
    .has_last = goes_on,
    .joins = goes_on,
    .last_id = r->last_event_id,
    .steps = r->event_count > 1 ? (uint32_t)r->event_count - 1 : 0,
    .jumps = r->skipped_ids,
  };
}

struct exchange *
forward_exchange_start (struct beryl_forward *f, struct request *r,
                        struct beryl_exchange_start *start,
                        struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct exchange *x = calloc (1, sizeof *x);

  x->id = ++f->last_exchange_id;
  x->request = r;
  x->kind = start->kind;
  x->endpoint = endpoint;
  x->started_ms = now_ms;
  x->version = beryl_live_version (endpoint);
  x->tokens = start->tokens;
  x->pieces.extra_field = f->settings.event_field;
  TAILQ_INSERT_TAIL (&f->exchanges, x, entry);
  map_put (&f->exchanges_by_id, map_key_from_number (x->id), x);
  beryl_live_open (endpoint);
  if (x->kind == BERYL_EXCHANGE_PREFILL)
    {
      endpoint->open_prefills++;
      endpoint->open_prefill_tokens += x->tokens;
    }
  start->exchange = x->id;
  start->request = r != NULL ? r->params.handle : 0;
  start->endpoint = endpoint;
  if (start->connect_timeout_ms == 0)
    start->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (r != NULL)
    {
      x->sequence = next_events (r);
      set_request_fields (f, r, start, now_ms);
    }
  f->owner->impl->start (f->owner, start);
  return x;
}

void
forward_exchange_free (struct beryl_forward *f, struct exchange *x)
{
  struct request *r = x->request;

  if (r != NULL && r->primary == x)
    {
      r->primary = r->secondary;
      r->secondary = NULL;
    }
  else if (r != NULL && r->secondary == x)
    r->secondary = NULL;
  TAILQ_REMOVE (&f->exchanges, x, entry);
  map_remove (&f->exchanges_by_id, map_key_from_number (x->id));
  if (x->kind == BERYL_EXCHANGE_PREFILL)
    {
      x->endpoint->open_prefills--;
      x->endpoint->open_prefill_tokens -= x->tokens;
    }
  beryl_live_close (x->kind == BERYL_EXCHANGE_HANDOFF ? f->peers
                                                      : f->endpoints,
                    x->endpoint);
  event_splitter_clear (&x->pieces);
  held_events_clear (&x->held);
  f->remembered_bytes -= x->remembered_bytes;
  free (x);
}

void
forward_exchange_abort (struct beryl_forward *f, struct exchange *x)
{
  f->owner->impl->abort (f->owner, x->id);
  forward_exchange_free (f, x);
}

void
forward_exchange_detach (struct beryl_forward *f, struct request *r,
                         struct exchange *x)
{
  if (r->primary == x)
    r->primary = r->secondary;
  r->secondary = NULL;
  x->request = NULL;
  if (x->kind != BERYL_EXCHANGE_RESERVE)
    forward_exchange_abort (f, x);
}

/* Refuses a request without storing it. */
static void
refuse_at_once (struct beryl_forward *f,
                const struct beryl_forward_request *params,
                unsigned int status, enum beryl_refusal_reason reason)
{
  struct beryl_refusal refusal = {
    .status = status,
    .reason = reason,
    .not_run = true,
    .declined = params->handoff != NULL && status == 503,
    .retry_after_ms = status == 503 ? RETRY_AFTER_MS : 0,
  };
  struct beryl_request_step step = {
    .step = "refuse",
    .final = true,
    .id = params->id,
    .resumed_id = params->resumed_id,
    .route = "",
    .service = "",
    .organisation = "",
    .outcome = beryl_refusal_name (reason),
    .config_version = f->routes != NULL ? f->routes->version : 0,
  };

  if (f->owner->impl->log_step != NULL)
    f->owner->impl->log_step (f->owner, &step);
  f->owner->impl->refuse (f->owner, params->handle, &refusal);
}

/* Returns whether this node's configuration is as new as that by which a peer
   has routed the request that it hands over. */
static bool
knows_configuration (const struct beryl_forward *f,
                     const struct beryl_handoff *handoff)
{
  return f->routes != NULL
         && (handoff == NULL
             || f->routes->version >= handoff->configuration_version);
}

/* Returns the organisation of the caller, or NULL. The peer that hands a
   request over has authenticated its caller. */
static const struct beryl_route_organisation *
find_organisation (const struct beryl_forward *f,
                   const struct beryl_forward_request *params)
{
  if (params->handoff != NULL)
    return beryl_routes_find_organisation (f->routes,
                                           params->handoff->organisation);
  return params->key != NULL
             ? beryl_routes_authenticate (f->routes, params->key)
             : NULL;
}

/* Counts a request that its caller has sent to this node. */
static void
count_from_caller (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (!r->handed_over)
    repeats_count_request (f, r->service, now_ms);
  else
    forward_request_log (f, r, "handoff", NULL, "taken",
                         r->endpoints_run_count, now_ms);
}

void
forward_request_place (struct beryl_forward *f, struct request *r,
                       int64_t now_ms)
{
  if (forward_request_is_generation (r))
    generation_start (f, r, now_ms);
  else
    plain_start (f, r, now_ms);
}

void
beryl_forward_submit (struct beryl_forward *f,
                      const struct beryl_forward_request *params,
                      int64_t now_ms)
{
  const struct beryl_route_organisation *organisation;
  const struct beryl_route *route;
  struct request *r;

  if (!knows_configuration (f, params->handoff))
    {
      refuse_at_once (f, params, 503, BERYL_REFUSAL_NO_CONFIGURATION);
      return;
    }
  route = beryl_routes_find (f->routes, params->host, params->path);
  organisation = find_organisation (f, params);
  /* Before the route is known to exist: a caller without a key must not find
     out which routes there are. */
  if (f->routes->authenticates && organisation == NULL
      && (route == NULL || !route->anonymous))
    {
      refuse_at_once (f, params, 401, BERYL_REFUSAL_UNAUTHENTICATED);
      return;
    }
  if (route == NULL || route->target_count == 0)
    {
      refuse_at_once (f, params, 404, BERYL_REFUSAL_NO_ROUTE);
      return;
    }
  r = forward_request_new (f, params, route, organisation);
  crashes_arrived (f, r, now_ms);
  count_from_caller (f, r, now_ms);
  if (r->deadline_ms <= now_ms)
    forward_request_fail (f, r, BERYL_REFUSAL_DEADLINE, now_ms);
  else if (stop_refuse (f, r, now_ms) || crashes_refuse (f, r, now_ms)
           || quota_refuse (f, r, now_ms) || handoff_if_lost (f, r, now_ms))
    return;
  else if (r->handed_over && f->contact.state == CONTACT_LOST)
    forward_request_fail (f, r, BERYL_REFUSAL_NO_ENDPOINT, now_ms);
  else if (!resume_look_up (f, r, now_ms))
    forward_request_place (f, r, now_ms);
}

static struct request *
request_find (struct beryl_forward *f, uint64_t handle)
{
  return map_get (&f->requests_by_handle, map_key_from_number (handle));
}

static struct exchange *
exchange_find (struct beryl_forward *f, uint64_t id)
{
  return map_get (&f->exchanges_by_id, map_key_from_number (id));
}

void
beryl_forward_cancel (struct beryl_forward *f, uint64_t handle, int64_t now_ms)
{
  struct request *r = request_find (f, handle);

  if (r == NULL)
    return;
  forward_request_log (f, r, "caller_gone", NULL, "cancelled",
                       (int64_t)r->event_count, now_ms);
  forward_request_end (f, r, now_ms);
}

void
beryl_forward_set_caller_paused (struct beryl_forward *f, uint64_t handle,
                                 bool paused)
{
  struct request *r = request_find (f, handle);

  if (r == NULL || r->caller_slow == paused)
    return;
  r->caller_slow = paused;
  if (r->primary == NULL || r->primary->paused == paused
      || r->phase == PHASE_CONFIRMING)
    return;
  r->primary->paused = paused;
  f->owner->impl->pause (f->owner, r->primary->id, paused);
}

/* Learns what the endpoint of X states of itself in its answer. */
static void
learn_notices (struct beryl_forward *f, const struct exchange *x, bool leaving,
               int64_t pause_ms, int64_t now_ms)
{
  if (leaving)
    endpoint_report_leaving (f, x->endpoint, now_ms);
  if (pause_ms > 0)
    pauses_learn (f, x->endpoint, pause_ms, now_ms);
}

static enum answer_fault
check_head (const struct exchange *x, const struct beryl_answer_head *head)
{
  /* A peer's own failures may name the request by a printable copy of its id.
   */
  if (x->kind == BERYL_EXCHANGE_HANDOFF && head->status / 100 != 2)
    return ANSWER_OK;
  return answer_check_head (head, x->request->route->streaming);
}

void
beryl_forward_answer_head (struct beryl_forward *f, uint64_t id,
                           const struct beryl_answer_head *head,
                           int64_t now_ms)
{
  struct exchange *x = exchange_find (f, id);
  enum answer_fault fault;

  if (x == NULL || x->request == NULL)
    return;
  fault = check_head (x, head);
  if (fault != ANSWER_OK)
    {
      answer_reject (f, x, fault, head->status, now_ms);
      return;
    }
  x->has_head = true;
  x->head = *head;
  if (x->kind == BERYL_EXCHANGE_HANDOFF)
    {
      handoff_answer_head (f, x, now_ms);
      return;
    }
  contact_answered (f, x, now_ms);
  learn_notices (f, x, head->leaving, head->pause_ms, now_ms);
  answer_head (f, x, now_ms);
}

void
beryl_forward_answer_data (struct beryl_forward *f, uint64_t id,
                           const char *bytes, size_t bytes_count,
                           int64_t now_ms)
{
  struct exchange *x = exchange_find (f, id);

  if (x != NULL && x->request != NULL)
    answer_data (f, x, bytes, bytes_count, now_ms);
}

bool
beryl_forward_answer_done (struct beryl_forward *f, uint64_t id,
                           int64_t now_ms)
{
  struct exchange *x = exchange_find (f, id);

  return x == NULL || answer_done (f, x, now_ms);
}

void
beryl_forward_exchange_result (struct beryl_forward *f, uint64_t id,
                               const struct beryl_engine_result *result,
                               int64_t now_ms)
{
  struct exchange *x = exchange_find (f, id);
  enum answer_fault fault;

  if (x == NULL)
    return;
  fault = answer_check_result (result);
  if (fault != ANSWER_OK && x->request != NULL)
    {
      answer_log_fault (f, x, fault, result->status, now_ms);
      beryl_forward_exchange_failed (f, id, BERYL_FAILURE_MALFORMED, true,
                                     now_ms);
      return;
    }
  contact_answered (f, x, now_ms);
  learn_notices (f, x, result->leaving, result->pause_ms, now_ms);
  if (x->kind == BERYL_EXCHANGE_DIAL && x->request != NULL)
    {
      answer_end_confirmed (f, x, now_ms);
      return;
    }
  generation_exchange_result (f, x, result, now_ms);
}

void
beryl_forward_exchange_failed (struct beryl_forward *f, uint64_t id,
                               enum beryl_exchange_failure how, bool sent,
                               int64_t now_ms)
{
  struct exchange *x = exchange_find (f, id);
  struct request *r;
  enum beryl_exchange_kind kind;
  bool not_working, over_limit;

  if (x == NULL)
    return;
  if (how == BERYL_FAILURE_ENDLESS && f->owner->impl->endless_answer != NULL)
    f->owner->impl->endless_answer (f->owner, x->kind, x->endpoint);
  if (x->kind == BERYL_EXCHANGE_HANDOFF)
    {
      beryl_live_record_outcome (x->endpoint, BERYL_LIVE_TIMED_OUT,
                                 now_ms - x->started_ms, now_ms);
      answer_interrupted (f, x, how, sent, now_ms);
      return;
    }
  over_limit = connections_was_over_limit (f, x, how, sent, now_ms);
  not_working = how == BERYL_FAILURE_CONNECT
                || (!over_limit && prefill_broke_early (x, now_ms));
  if (not_working)
    endpoint_report_unreachable (f, x, now_ms);
  if (how == BERYL_FAILURE_CONNECT)
    contact_failed (f, x, now_ms);
  /* A failed connection counts as a time-out, even if it was refused. */
  if (!over_limit)
    beryl_live_record_outcome (
        x->endpoint, not_working ? BERYL_LIVE_TIMED_OUT : BERYL_LIVE_BROKEN,
        now_ms - x->started_ms, now_ms);
  r = x->request;
  kind = x->kind;
  if (r != NULL && !sent)
    repeats_not_sent (r, kind);
  if (r == NULL)
    forward_exchange_free (f, x);
  else if (kind == BERYL_EXCHANGE_RUN)
    answer_interrupted (f, x, how, sent, now_ms);
  else if (kind == BERYL_EXCHANGE_DIAL)
    answer_end_refuted (f, x, now_ms);
  else
    {
      forward_request_log (f, r, beryl_exchange_name (kind), x->endpoint,
                           "broken", (int64_t)how, now_ms);
      if (kind == BERYL_EXCHANGE_PREFILL)
        {
          r->broken_prefill_engine = beryl_live_hash (x->endpoint);
          if (sent)
            prompts_record (f, r, x->endpoint, false, now_ms);
        }
      forward_exchange_free (f, x);
      generation_exchange_failed (f, r, kind, sent, now_ms);
    }
}

void
beryl_forward_endpoints_changed (struct beryl_forward *f, int64_t now_ms)
{
  resume_endpoints_changed (f, now_ms);
  placement_wake_all (f, now_ms);
}

static void
request_tick (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (now_ms >= r->deadline_ms)
    {
      if (r->phase == PHASE_RUNNING && r->primary != NULL
          && !r->primary->has_head)
        beryl_live_record_outcome (r->primary->endpoint, BERYL_LIVE_TIMED_OUT,
                                   now_ms - r->primary->started_ms, now_ms);
      forward_request_fail (f, r, BERYL_REFUSAL_DEADLINE, now_ms);
    }
  else if (r->phase == PHASE_LOOKING_UP)
    resume_timer (f, r, now_ms);
  else if (forward_request_is_generation (r))
    generation_timer (f, r, now_ms);
  else
    plain_timer (f, r, now_ms);
}

void
beryl_forward_tick (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (r->timer_ms <= now_ms)
        request_tick (f, r, now_ms);
    }
  contact_tick (f, now_ms);
  resume_tick (f, now_ms);
  generation_balance (f, now_ms);
  crashes_tick (f, now_ms);
  beryl_admission_tick (f->admission, now_ms);
}

int64_t
beryl_forward_next_tick_ms (const struct beryl_forward *f)
{
  int64_t next_ms = beryl_quarantine_next_ms (f->quarantine);
  const struct request *r = NULL;

  if (f->quarantine_check_ms < next_ms)
    next_ms = f->quarantine_check_ms;
  if (contact_next_ms (f) < next_ms)
    next_ms = contact_next_ms (f);
  if (beryl_admission_next_ms (f->admission) < next_ms)
    next_ms = beryl_admission_next_ms (f->admission);
  TAILQ_FOREACH (r, &f->requests, entry)
  {
    if (r->timer_ms < next_ms)
      next_ms = r->timer_ms;
    if (r->reservation.endpoint != NULL && f->next_balance_ms < next_ms)
      next_ms = f->next_balance_ms;
  }
  return next_ms;
}

struct beryl_capacity *
beryl_forward_capacity (struct beryl_forward *f)
{
  return f->capacity;
}

struct beryl_admission *
beryl_forward_admission (struct beryl_forward *f)
{
  return f->admission;
}

struct beryl_run_outcomes *
beryl_forward_run_outcomes (struct beryl_forward *f)
{
  return f->run_outcomes;
}

uint32_t
beryl_forward_open_count (const struct beryl_forward *f)
{
  return f->open_count;
}

uint32_t
beryl_forward_waiting_count (const struct beryl_forward *f)
{
  return f->waiting_count;
}
