/* What fails, when, and what the keepers of holds do about the dead. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define FAULTS_MS 16000
#define KEEPER_STEP_MS 50

void
faults_choose (struct world *world, uint32_t mask)
{
  struct faults *f = &world->faults;
  bool *flags[]
      = { &f->crashes, &f->endpoint_crashes, &f->pauses,      &f->partitions,
          &f->outages, &f->lost_replies,     &f->stale_reads, &f->stops,
          &f->leaving };

  f->free_keys = world_chance (world, 25);
  f->lose_percent = (uint32_t)world_random (world, 20);
  f->refuse_percent = (uint32_t)world_random (world, 15);
  f->cut_percent = (uint32_t)world_random (world, 15);
  f->reorder_percent = (uint32_t)world_random (world, 40);
  f->leave_percent = (uint32_t)world_random (world, 60);
  for (size_t i = 0; i < sizeof flags / sizeof flags[0]; i++)
    *flags[i] = world_chance (world, 45) && (mask >> i & 1) != 0;
  world->stale_ms = f->stale_reads ? 400 : 0;
}

static void
tell (struct world *world, uint32_t node, const char *what, int64_t ms)
{
  struct history_event event = { .type = HISTORY_NODE };
  char text[64];

  snprintf (text, sizeof text, "n%u %s %lld", node, what, (long long)ms);
  event.text = text;
  world_note (world, &event);
}

static void
at (struct world *world, int64_t delay_ms, task_run run, uint32_t a,
    uint64_t number)
{
  struct task task = { .run = run, .a = a, .number = number };

  world_after (world, delay_ms, &task);
}

static void
node_returns (struct world *world, const struct task *task)
{
  if (!world->nodes[task->a].up)
    node_start (world, task->a);
}

static void
node_crashes (struct world *world, const struct task *task)
{
  if (!world->nodes[task->a].up)
    return;
  tell (world, task->a, "crashes", 0);
  node_kill (world, task->a, false);
  node_set_members (world);
  at (world, 300 + (int64_t)world_random (world, 3000), node_returns, task->a,
      0);
}

/* Members changed: it was missed, or hears of them again. */
static void
node_wakes (struct world *world, const struct task *task)
{
  node_set_members (world);
}

static void
node_pauses (struct world *world, const struct task *task)
{
  struct node *node = &world->nodes[task->a];

  if (!node->up)
    return;
  tell (world, task->a, "pauses for", (int64_t)task->number);
  if (node->paused_until_ms <= world->now_ms)
    node->paused_from_ms = world->now_ms;
  if (node->paused_until_ms < world->now_ms + (int64_t)task->number)
    node->paused_until_ms = world->now_ms + (int64_t)task->number;
  at (world, SUSPICION_MS, node_wakes, 0, 0);
  at (world, node->paused_until_ms - world->now_ms + 5, node_wakes, 0, 0);
}

static void
partition_heals (struct world *world, const struct task *task)
{
  world->cut_off = NODES;
  node_set_members (world);
}

static void
partition_begins (struct world *world, const struct task *task)
{
  tell (world, task->a, "is cut off for", (int64_t)task->number);
  world->cut_off = task->a;
  node_set_members (world);
  at (world, (int64_t)task->number, partition_heals, 0, 0);
}

static void
outage_changes (struct world *world, const struct task *task)
{
  tell (world, NODES, world->outage ? "platform back" : "platform away", 0);
  world->outage = task->number != 0;
}

static void
endpoint_crashes (struct world *world, const struct task *task)
{
  struct task back = { .run = endpoint_restart, .a = task->a };

  endpoint_crash (world, task->a);
  world_after (world, 200 + (int64_t)world_random (world, 2000), &back);
}

/* The new configuration reaches the nodes one after another. */
static void
config_reaches (struct world *world, const struct task *task)
{
  struct node *node = &world->nodes[task->a];
  struct task again = *task;

  if (!node->up)
    return;
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &again);
      return;
    }
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    node->endpoints[i].leaving = world->endpoints[i].leaving;
  beryl_router_set_config (node->router, &node->config, world->now_ms);
  beryl_requests_set_config (node->requests, &node->config, world->now_ms);
  node_schedule (node);
}

static void
endpoint_leaves (struct world *world, const struct task *task)
{
  struct history_event event
      = { .type = HISTORY_LEAVING, .endpoint = task->a };

  world->endpoints[task->a].leaving = true;
  world_note (world, &event);
  for (uint32_t i = 0; i < NODES; i++)
    at (world, 10 + (int64_t)world_random (world, 1000), config_reaches, i, 0);
}

static void
node_exits (struct world *world, const struct task *task)
{
  struct node *node = node_of (world, task->a, task->number);

  if (node == NULL || !node->leaving)
    return;
  if (!node->drained || node->paused_until_ms > world->now_ms
      || world->now_ms < node->leave_ms + DISCOVERY_TTL_MS + 200)
    {
      at (world, 100, node_exits, task->a, task->number);
      return;
    }
  node_kill (world, task->a, true);
  at (world, 500, node_returns, task->a, 0);
}

/* SIGTERM: discovery no longer names the node, and it exits when nothing is
 * open and nobody can hold an answer that names it. */
static void
node_stops (struct world *world, const struct task *task)
{
  struct node *node = &world->nodes[task->a];
  struct task drain = { .run = node_event,
                        .node = task->a,
                        .incarnation = node->incarnation };

  if (!node->up || node->leaving)
    return;
  tell (world, task->a, "stops", 0);
  node->leaving = true;
  node->leave_ms = world->now_ms;
  node_set_members (world);
  drain.event.type = BERYL_EVENT_DRAIN;
  world_after (world, 1, &drain);
  at (world, 100, node_exits, task->a, node->incarnation);
}

static void
keeper_cancels (struct world *world, struct node *node,
                const struct beryl_hold_window *window)
{
  uint32_t n = endpoint_number (window->endpoint);
  uint64_t held;

  if (!world->endpoints[n].up
      || world_chance (world, world->faults.lose_percent))
    return;
  endpoint_cancel (world, n, window->incarnation, window->from, window->to);
  held = endpoint_held (world, n, window->incarnation, window->from,
                        window->to);
  beryl_hold_cleanup_on_reply (node->cleanup, window->endpoint,
                               window->incarnation, held, world->now_ms);
}

static void
keeper_step (struct world *world, const struct task *task)
{
  struct node *node = &world->nodes[task->a];
  struct beryl_hold_window due;

  while (beryl_hold_cleanup_take_due (node->cleanup, &due, world->now_ms))
    keeper_cancels (world, node, &due);
  if (beryl_hold_cleanup_count (node->cleanup) > 0)
    at (world, KEEPER_STEP_MS, keeper_step, task->a, 0);
}

/* The control daemon of the instance has seen the connection break. */
void
keeper_after_death (struct world *world, uint32_t number, uint64_t incarnation)
{
  struct node *node = &world->nodes[number];

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (node->told[i].incarnation == incarnation
        && node->told[i].to >= node->told[i].from)
      beryl_hold_cleanup_add (node->cleanup, &node->told[i], world->now_ms);
  /* A newer incarnation is a proof at once. */
  at (world, world_chance (world, 50) ? 1 : BERYL_DEATH_LINK_GRACE_MS,
      keeper_step, number, 0);
}

/* Another node weighs whether this one has died, while it is paused, cut off
 * or missing from a list that flaps; it is alive all the time. */
static void
peer_judges (struct world *world, const struct task *task)
{
  const struct node *node = &world->nodes[task->a];
  bool silent
      = node_cut_off (world, task->a) || node->paused_until_ms > world->now_ms;
  struct beryl_death_evidence evidence = {
    .incarnation = node->incarnation,
    .address_incarnation = node->incarnation,
    .list_current = !world->outage,
    .listed = silent,
    .delisted_ms = world->now_ms - 12000,
    .last_heard_ms = silent ? world->now_ms - 30000 : world->now_ms - 200,
  };
  struct history_event event = { .type = HISTORY_CLEANED };

  if (!node->up
      || beryl_death_evaluate (&evidence, world->now_ms) == BERYL_DEATH_NONE)
    return;
  event.text = "a living node was taken for dead";
  world_note (world, &event);
}

static int64_t
some_time (struct world *world)
{
  return 200 + (int64_t)world_random (world, FAULTS_MS);
}

static uint32_t
some_node (struct world *world)
{
  return (uint32_t)world_random (world, NODES);
}

static void
schedule_nodes (struct world *world)
{
  const struct faults *f = &world->faults;

  for (int i = 0; f->crashes && i < 3; i++)
    at (world, some_time (world), node_crashes, some_node (world), 0);
  for (int i = 0; f->pauses && i < 3; i++)
    at (world, some_time (world), node_pauses, some_node (world),
        100 + world_random (world, 6000));
  for (int i = 0; f->partitions && i < 2; i++)
    at (world, some_time (world), partition_begins, some_node (world),
        200 + world_random (world, 4000));
  for (uint32_t i = 0; f->stops && i < NODES; i++)
    at (world, 1000 + 5000 * (int64_t)i, node_stops, i, 0);
  for (int i = 0; f->partitions && i < 4; i++)
    at (world, some_time (world), peer_judges, some_node (world), 0);
}

void
faults_schedule (struct world *world)
{
  const struct faults *f = &world->faults;

  schedule_nodes (world);
  for (int i = 0; f->endpoint_crashes && i < 4; i++)
    at (world, some_time (world), endpoint_crashes,
        (uint32_t)world_random (world, ENDPOINTS), 0);
  for (int i = 0; f->outages && i < 2; i++)
    {
      int64_t begin_ms = some_time (world);

      at (world, begin_ms, outage_changes, 0, 1);
      at (world, begin_ms + 300 + (int64_t)world_random (world, 3000),
          outage_changes, 0, 0);
    }
  if (f->leaving)
    at (world, some_time (world), endpoint_leaves,
        (uint32_t)world_random (world, ENDPOINTS / 2) * 2, 0);
}
