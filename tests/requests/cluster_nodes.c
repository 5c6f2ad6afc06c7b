#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test_config.h"
#include "cluster.h"

#define DELETE_AFTER_MS 3000
#define TICK_SPACING_MS 2

struct node *
node_find (struct cluster *cluster, uint32_t number, uint64_t incarnation)
{
  struct node *node = &cluster->nodes[number];

  return node->up && node->incarnation == incarnation ? node : NULL;
}

bool
node_is_isolated (const struct cluster *cluster, uint32_t number)
{
  return cluster->isolated == number;
}

static void
node_tick (struct cluster *cluster, const struct task *task)
{
  struct node *node = node_find (cluster, task->node, task->incarnation);
  struct task again = *task;
  struct beryl_event event = { .type = BERYL_EVENT_TICK };

  if (node == NULL)
    return;
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &again);
      return;
    }
  if (node->tick_ms != task->at_ms && node->tick_ms < cluster->now_ms)
    node->tick_ms = 0;
  if (node->tick_ms == task->at_ms)
    node->tick_ms = 0;
  beryl_requests_handle_event (node->requests, &event, cluster->now_ms);
  beryl_claims_tick (node->claims, cluster->now_ms);
  node_schedule (node);
}

void
node_schedule (struct node *node)
{
  struct cluster *cluster = node->cluster;
  int64_t next_ms = beryl_requests_next_ms (node->requests);
  int64_t claims_ms = beryl_claims_next_ms (node->claims);
  struct task task = { .run = node_tick,
                       .node = node->number,
                       .incarnation = node->incarnation };

  if (claims_ms < next_ms)
    next_ms = claims_ms;
  if (next_ms < cluster->now_ms + TICK_SPACING_MS)
    next_ms = cluster->now_ms + TICK_SPACING_MS;
  if (next_ms > cluster->end_ms
      || (node->tick_ms != 0 && node->tick_ms <= next_ms))
    return;
  node->tick_ms = next_ms;
  cluster_schedule (cluster, next_ms - cluster->now_ms, &task);
}

/* Delivers an event to a node; a suspended process receives it when it
 * resumes. */
void
node_deliver_event (struct cluster *cluster, const struct task *task)
{
  struct node *node = node_find (cluster, task->node, task->incarnation);
  struct task deferred = *task;
  struct beryl_event event = task->event;

  if (node == NULL)
    return;
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &deferred);
      return;
    }
  if (event.type == BERYL_EVENT_EXCHANGE_DATA)
    event.data.bytes = task->text;
  else if (event.type == BERYL_EVENT_PREFILL_DONE)
    event.prefill.kv_handle = "kv";
  else if (event.type == BERYL_EVENT_CANCEL_CONFIRMED)
    event.cancel.endpoint = task->text;
  beryl_requests_handle_event (node->requests, &event, cluster->now_ms);
  node_schedule (node);
}

static void
node_configure (struct node *node)
{
  node->config = *test_config ();
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      node->endpoints[i] = test_config ()->endpoints[i];
      node->endpoints[i].leaving = node->cluster->endpoints[i].leaving;
      node->endpoints[i].slots = 20;
    }
  node->config.endpoints = node->endpoints;
}

/* Whether a suspended node has been dropped from the members. */
static bool
suspected (const struct cluster *cluster, uint32_t number)
{
  const struct node *node = &cluster->nodes[number];

  return node->suspended_until_ms > cluster->now_ms
         && cluster->now_ms >= node->suspended_from_ms + SUSPICION_MS;
}

void
node_set_members (struct cluster *cluster)
{
  const char *names[NODES];
  size_t n = 0;

  for (uint32_t i = 0; i < NODES; i++)
    if (cluster->nodes[i].up && !cluster->nodes[i].leaving
        && !(suspected (cluster, i)))
      names[n++] = cluster->nodes[i].name;
  for (uint32_t i = 0; i < NODES; i++)
    if (cluster->nodes[i].up
        && cluster->nodes[i].suspended_until_ms <= cluster->now_ms)
      {
        beryl_claims_set_members (cluster->nodes[i].claims, names,
                                  node_is_isolated (cluster, i) ? 0 : n,
                                  cluster->now_ms);
        if (!node_is_isolated (cluster, i))
          beryl_router_set_members (cluster->nodes[i].router, names, n,
                                    cluster->now_ms);
        node_schedule (&cluster->nodes[i]);
      }
}

void
node_start (struct cluster *cluster, uint32_t number)
{
  struct node *node = &cluster->nodes[number];
  struct beryl_requests_settings settings = {
    .seed = cluster_random (cluster, UINT32_MAX),
    .slow_reader_bytes = 64,
    .slow_reader_ms = 3000,
    .answer_retention_ms = 30000,
    .answer_retention_bytes = 1 << 16,
  };
  struct beryl_claims_settings claims = {
    .seed = cluster_random (cluster, UINT32_MAX),
    .shards = 1,
    .compact_min_segments = 2,
    .commit_interval_ms = 20,
    /* The recorded seeds of the mutants depend on this value. */
    .commits_per_s = 160,
    .retention_ms = 300000,
    .delete_after_ms = DELETE_AFTER_MS,
    .request_timeout_ms = 100,
  };

  node->cluster = cluster;
  node->number = number;
  snprintf (node->name, sizeof node->name, "n%u", number);
  node->incarnation = ++cluster->last_incarnation;
  settings.incarnation = claims.incarnation = node->incarnation;
  claims.node = node->name;
  node->requests_owner.impl = &cluster_requests_impl;
  node->claims_owner.impl = &cluster_claims_impl;
  node->router
      = beryl_router_create (node->name, "", BERYL_POLICY_PLANNED, number);
  node->requests
      = beryl_requests_create (&settings, node->router, &node->requests_owner);
  node->claims = beryl_claims_create (&claims, &node->claims_owner);
  node->windows = beryl_hold_windows_create (node->incarnation);
  node_configure (node);
  beryl_router_set_config (node->router, &node->config, cluster->now_ms);
  beryl_requests_set_config (node->requests, &node->config, cluster->now_ms);
  node->up = true;
  node->leaving = node->drained = false;
  node->suspended_until_ms = 0;
  node->tick_ms = 0;
  memset (node->reported, 0, sizeof node->reported);
  node_set_members (cluster);
}

void
node_free (struct node *node)
{
  beryl_requests_destroy (node->requests);
  beryl_claims_destroy (node->claims);
  beryl_router_destroy (node->router);
  beryl_hold_windows_destroy (node->windows);
  node->requests = NULL;
  node->claims = NULL;
  node->router = NULL;
  node->windows = NULL;
}

/* Ends the process: its connections break; its control daemon takes over. */
void
node_kill (struct cluster *cluster, uint32_t number, bool planned)
{
  struct node *node = &cluster->nodes[number];
  uint64_t incarnation = node->incarnation;

  node->up = false;
  caller_connections_lost (cluster, number, planned);
  peer_connections_lost (cluster, number, incarnation);
  for (uint32_t i = 0; i < cluster->connection_count; i++)
    if (cluster->connections[i].node == number
        && cluster->connections[i].incarnation == incarnation)
      {
        struct connection *c = &cluster->connections[i];

        if (c->open && c->endpoint == ENDPOINTS)
          peer_caller_gone (cluster, c);
        c->open = false;
      }
  node_free (node);
  control_daemon_on_death (cluster, number, incarnation);
}
