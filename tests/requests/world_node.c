#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test_config.h"
#include "world.h"

#define DELETE_AFTER_MS 3000
#define TICK_SPACING_MS 2

struct node *
node_of (struct world *world, uint32_t number, uint64_t incarnation)
{
  struct node *node = &world->nodes[number];

  return node->up && node->incarnation == incarnation ? node : NULL;
}

bool
node_cut_off (const struct world *world, uint32_t number)
{
  return world->cut_off == number;
}

static void
node_tick (struct world *world, const struct task *task)
{
  struct node *node = node_of (world, task->node, task->incarnation);
  struct task again = *task;
  struct beryl_event event = { .type = BERYL_EVENT_TICK };

  if (node == NULL)
    return;
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &again);
      return;
    }
  if (node->tick_ms != task->at_ms && node->tick_ms < world->now_ms)
    node->tick_ms = 0;
  if (node->tick_ms == task->at_ms)
    node->tick_ms = 0;
  beryl_requests_handle_event (node->requests, &event, world->now_ms);
  beryl_claims_tick (node->claims, world->now_ms);
  node_schedule (node);
}

void
node_schedule (struct node *node)
{
  struct world *world = node->world;
  int64_t next_ms = beryl_requests_next_ms (node->requests);
  int64_t claims_ms = beryl_claims_next_ms (node->claims);
  struct task task = { .run = node_tick,
                       .node = node->number,
                       .incarnation = node->incarnation };

  if (claims_ms < next_ms)
    next_ms = claims_ms;
  if (next_ms < world->now_ms + TICK_SPACING_MS)
    next_ms = world->now_ms + TICK_SPACING_MS;
  if (next_ms > world->end_ms
      || (node->tick_ms != 0 && node->tick_ms <= next_ms))
    return;
  node->tick_ms = next_ms;
  world_after (world, next_ms - world->now_ms, &task);
}

/* Hands an event to a node.  A paused process finds it when it wakes up. */
void
node_event (struct world *world, const struct task *task)
{
  struct node *node = node_of (world, task->node, task->incarnation);
  struct task later = *task;
  struct beryl_event event = task->event;

  if (node == NULL)
    return;
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &later);
      return;
    }
  if (event.type == BERYL_EVENT_EXCHANGE_DATA)
    event.data.bytes = task->text;
  else if (event.type == BERYL_EVENT_PREFILL_DONE)
    event.prefill.kv_handle = "kv";
  else if (event.type == BERYL_EVENT_CANCEL_CONFIRMED)
    event.cancel.endpoint = task->text;
  beryl_requests_handle_event (node->requests, &event, world->now_ms);
  node_schedule (node);
}

static void
node_configure (struct node *node)
{
  node->config = *test_config ();
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      node->endpoints[i] = test_config ()->endpoints[i];
      node->endpoints[i].leaving = node->world->endpoints[i].leaving;
      node->endpoints[i].slots = 20;
    }
  node->config.endpoints = node->endpoints;
}

/* A node that was stopped is no member any more after a while. */
static bool
silent (const struct world *world, uint32_t number)
{
  const struct node *node = &world->nodes[number];

  return node->paused_until_ms > world->now_ms
         && world->now_ms >= node->paused_from_ms + SUSPICION_MS;
}

void
node_set_members (struct world *world)
{
  const char *names[NODES];
  size_t n = 0;

  for (uint32_t i = 0; i < NODES; i++)
    if (world->nodes[i].up && !world->nodes[i].leaving && !(silent (world, i)))
      names[n++] = world->nodes[i].name;
  for (uint32_t i = 0; i < NODES; i++)
    if (world->nodes[i].up && world->nodes[i].paused_until_ms <= world->now_ms)
      {
        beryl_claims_set_members (world->nodes[i].claims, names,
                                  node_cut_off (world, i) ? 0 : n,
                                  world->now_ms);
        if (!node_cut_off (world, i))
          beryl_router_set_members (world->nodes[i].router, names, n,
                                    world->now_ms);
        node_schedule (&world->nodes[i]);
      }
}

void
node_start (struct world *world, uint32_t number)
{
  struct node *node = &world->nodes[number];
  struct beryl_requests_settings settings = {
    .seed = world_random (world, UINT32_MAX),
    .slow_reader_bytes = 64,
    .slow_reader_ms = 3000,
    .answer_retention_ms = 30000,
    .answer_retention_bytes = 1 << 16,
  };
  struct beryl_claims_settings claims = {
    .seed = world_random (world, UINT32_MAX),
    .shards = 1,
    .compact_min_segments = 2,
    .commit_interval_ms = 20,
    /* As when the recorded seeds were found. */
    .commits_per_s = 160,
    .retention_ms = 300000,
    .delete_after_ms = DELETE_AFTER_MS,
    .request_timeout_ms = 100,
  };

  node->world = world;
  node->number = number;
  snprintf (node->name, sizeof node->name, "n%u", number);
  node->incarnation = ++world->last_incarnation;
  settings.incarnation = claims.incarnation = node->incarnation;
  claims.node = node->name;
  node->requests_owner.impl = &world_requests_impl;
  node->claims_owner.impl = &world_claims_impl;
  node->router
      = beryl_router_create (node->name, "", BERYL_POLICY_PLANNED, number);
  node->requests
      = beryl_requests_create (&settings, node->router, &node->requests_owner);
  node->claims = beryl_claims_create (&claims, &node->claims_owner);
  node->windows = beryl_hold_windows_create (node->incarnation);
  node_configure (node);
  beryl_router_set_config (node->router, &node->config, world->now_ms);
  beryl_requests_set_config (node->requests, &node->config, world->now_ms);
  node->up = true;
  node->leaving = node->drained = false;
  node->paused_until_ms = 0;
  node->tick_ms = 0;
  memset (node->told, 0, sizeof node->told);
  node_set_members (world);
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

/* The process ends: its connections break, its keeper takes over. */
void
node_kill (struct world *world, uint32_t number, bool planned)
{
  struct node *node = &world->nodes[number];
  uint64_t incarnation = node->incarnation;

  node->up = false;
  caller_broken (world, number, planned);
  peer_broken (world, number, incarnation);
  for (uint32_t i = 0; i < world->conversation_count; i++)
    if (world->conversations[i].node == number
        && world->conversations[i].incarnation == incarnation)
      {
        struct conversation *c = &world->conversations[i];

        if (c->open && c->endpoint == ENDPOINTS)
          peer_caller_gone (world, c);
        c->open = false;
      }
  node_free (node);
  keeper_after_death (world, number, incarnation);
}
