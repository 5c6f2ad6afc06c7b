/* Schedules the faults of a run, and simulates the control daemons that clean
 * up the holds of dead processes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

#define FAULTS_MS 16000
#define CONTROL_DAEMON_INTERVAL_MS 50

void
faults_choose (struct cluster *cluster, uint32_t mask)
{
  struct faults *f = &cluster->faults;
  bool *flags[] = { &f->crashes,     &f->endpoint_crashes, &f->suspensions,
                    &f->partitions,  &f->outages,          &f->lost_replies,
                    &f->stale_reads, &f->shutdowns,        &f->leaving };

  f->free_keys = cluster_chance (cluster, 25);
  f->loss_percent = (uint32_t)cluster_random (cluster, 20);
  f->refuse_percent = (uint32_t)cluster_random (cluster, 15);
  f->disconnect_percent = (uint32_t)cluster_random (cluster, 15);
  f->reorder_percent = (uint32_t)cluster_random (cluster, 40);
  f->leave_percent = (uint32_t)cluster_random (cluster, 60);
  for (size_t i = 0; i < sizeof flags / sizeof flags[0]; i++)
    *flags[i] = cluster_chance (cluster, 45) && (mask >> i & 1) != 0;
  cluster->stale_ms = f->stale_reads ? 400 : 0;
}

static void
record_event (struct cluster *cluster, uint32_t node, const char *what,
              int64_t ms)
{
  struct history_event event = { .type = HISTORY_NOTE };
  char text[64];

  snprintf (text, sizeof text, "n%u %s %lld", node, what, (long long)ms);
  event.text = text;
  cluster_record (cluster, &event);
}

static void
schedule (struct cluster *cluster, int64_t delay_ms, task_run run, uint32_t a,
          uint64_t number)
{
  struct task task = { .run = run, .a = a, .number = number };

  cluster_schedule (cluster, delay_ms, &task);
}

static void
node_restarts (struct cluster *cluster, const struct task *task)
{
  if (!cluster->nodes[task->a].up)
    node_start (cluster, task->a);
}

static void
node_crashes (struct cluster *cluster, const struct task *task)
{
  if (!cluster->nodes[task->a].up)
    return;
  record_event (cluster, task->a, "crashes", 0);
  node_kill (cluster, task->a, false);
  node_set_members (cluster);
  schedule (cluster, 300 + (int64_t)cluster_random (cluster, 3000),
            node_restarts, task->a, 0);
}

/* The member list changed: a suspended node was dropped or has returned. */
static void
members_change (struct cluster *cluster, const struct task *task)
{
  node_set_members (cluster);
}

static void
node_suspends (struct cluster *cluster, const struct task *task)
{
  struct node *node = &cluster->nodes[task->a];

  if (!node->up)
    return;
  record_event (cluster, task->a, "is suspended for", (int64_t)task->number);
  if (node->suspended_until_ms <= cluster->now_ms)
    node->suspended_from_ms = cluster->now_ms;
  if (node->suspended_until_ms < cluster->now_ms + (int64_t)task->number)
    node->suspended_until_ms = cluster->now_ms + (int64_t)task->number;
  schedule (cluster, SUSPICION_MS, members_change, 0, 0);
  schedule (cluster, node->suspended_until_ms - cluster->now_ms + 5,
            members_change, 0, 0);
}

static void
partition_heals (struct cluster *cluster, const struct task *task)
{
  cluster->isolated = NODES;
  node_set_members (cluster);
}

static void
partition_begins (struct cluster *cluster, const struct task *task)
{
  record_event (cluster, task->a, "is isolated for", (int64_t)task->number);
  cluster->isolated = task->a;
  node_set_members (cluster);
  schedule (cluster, (int64_t)task->number, partition_heals, 0, 0);
}

static void
outage_changes (struct cluster *cluster, const struct task *task)
{
  record_event (cluster, NODES,
                cluster->outage ? "platform back" : "platform unavailable", 0);
  cluster->outage = task->number != 0;
}

static void
endpoint_crashes (struct cluster *cluster, const struct task *task)
{
  struct task back = { .run = endpoint_restart, .a = task->a };

  endpoint_crash (cluster, task->a);
  cluster_schedule (cluster, 200 + (int64_t)cluster_random (cluster, 2000),
                    &back);
}

/* The new configuration reaches the nodes at different times. */
static void
config_arrives (struct cluster *cluster, const struct task *task)
{
  struct node *node = &cluster->nodes[task->a];
  struct task again = *task;

  if (!node->up)
    return;
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &again);
      return;
    }
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    node->endpoints[i].leaving = cluster->endpoints[i].leaving;
  beryl_router_set_config (node->router, &node->config, cluster->now_ms);
  beryl_requests_set_config (node->requests, &node->config, cluster->now_ms);
  node_schedule (node);
}

static void
endpoint_leaves (struct cluster *cluster, const struct task *task)
{
  struct history_event event
      = { .type = HISTORY_ENDPOINT_LEAVING, .endpoint = task->a };

  cluster->endpoints[task->a].leaving = true;
  cluster_record (cluster, &event);
  for (uint32_t i = 0; i < NODES; i++)
    schedule (cluster, 10 + (int64_t)cluster_random (cluster, 1000),
              config_arrives, i, 0);
}

static void
node_exits (struct cluster *cluster, const struct task *task)
{
  struct node *node = node_find (cluster, task->a, task->number);

  if (node == NULL || !node->leaving)
    return;
  if (!node->drained || node->suspended_until_ms > cluster->now_ms
      || cluster->now_ms < node->leave_ms + DISCOVERY_TTL_MS + 200)
    {
      schedule (cluster, 100, node_exits, task->a, task->number);
      return;
    }
  node_kill (cluster, task->a, true);
  schedule (cluster, 500, node_restarts, task->a, 0);
}

/* Graceful shutdown: discovery stops listing the node, which exits once no
 * request is open and no cached discovery answer names it any more. */
static void
node_shuts_down (struct cluster *cluster, const struct task *task)
{
  struct node *node = &cluster->nodes[task->a];
  struct task drain = { .run = node_deliver_event,
                        .node = task->a,
                        .incarnation = node->incarnation };

  if (!node->up || node->leaving)
    return;
  record_event (cluster, task->a, "shuts down", 0);
  node->leaving = true;
  node->leave_ms = cluster->now_ms;
  node_set_members (cluster);
  drain.event.type = BERYL_EVENT_DRAIN;
  cluster_schedule (cluster, 1, &drain);
  schedule (cluster, 100, node_exits, task->a, node->incarnation);
}

static void
control_daemon_cancels (struct cluster *cluster, struct node *node,
                        const struct beryl_hold_window *window)
{
  uint32_t n = endpoint_number (window->endpoint);
  uint64_t held;

  if (!cluster->endpoints[n].up
      || cluster_chance (cluster, cluster->faults.loss_percent))
    return;
  endpoint_cancel (cluster, n, window->incarnation, window->from, window->to);
  held = endpoint_held (cluster, n, window->incarnation, window->from,
                        window->to);
  beryl_hold_cleanup_on_reply (node->cleanup, window->endpoint,
                               window->incarnation, held, cluster->now_ms);
}

static void
control_daemon_run (struct cluster *cluster, const struct task *task)
{
  struct node *node = &cluster->nodes[task->a];
  struct beryl_hold_window due;

  while (beryl_hold_cleanup_take_due (node->cleanup, &due, cluster->now_ms))
    control_daemon_cancels (cluster, node, &due);
  if (beryl_hold_cleanup_count (node->cleanup) > 0)
    schedule (cluster, CONTROL_DAEMON_INTERVAL_MS, control_daemon_run, task->a,
              0);
}

/* The control daemon of the instance has seen the loopback connection
 * break. */
void
control_daemon_on_death (struct cluster *cluster, uint32_t number,
                         uint64_t incarnation)
{
  struct node *node = &cluster->nodes[number];

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (node->reported[i].incarnation == incarnation
        && node->reported[i].to >= node->reported[i].from)
      beryl_hold_cleanup_add (node->cleanup, &node->reported[i],
                              cluster->now_ms);
  /* A newer incarnation proves the death at once. */
  schedule (cluster,
            cluster_chance (cluster, 50) ? 1 : BERYL_DEATH_LINK_GRACE_MS,
            control_daemon_run, number, 0);
}

/* Another node evaluates whether this live node has died, while it is
 * suspended, isolated or missing from a flapping list. */
static void
peer_checks_death (struct cluster *cluster, const struct task *task)
{
  const struct node *node = &cluster->nodes[task->a];
  bool silent = node_is_isolated (cluster, task->a)
                || node->suspended_until_ms > cluster->now_ms;
  struct beryl_death_evidence evidence = {
    .incarnation = node->incarnation,
    .address_incarnation = node->incarnation,
    .list_current = !cluster->outage,
    .listed = silent,
    .delisted_ms = cluster->now_ms - 12000,
    .last_heard_ms = silent ? cluster->now_ms - 30000 : cluster->now_ms - 200,
  };
  struct history_event event = { .type = HISTORY_LIVE_NODE_CANCELLED };

  if (!node->up
      || beryl_death_evaluate (&evidence, cluster->now_ms) == BERYL_DEATH_NONE)
    return;
  event.text = "a live node was considered dead";
  cluster_record (cluster, &event);
}

static int64_t
random_time_ms (struct cluster *cluster)
{
  return 200 + (int64_t)cluster_random (cluster, FAULTS_MS);
}

/* Schedules RUN at a random node for LEAST_MS, and up to RANGE_MS more; the
   numbers are drawn in an order that is the same with all compilers. */
static void
schedule_at_node (struct cluster *cluster, task_run run, uint64_t least_ms,
                  uint32_t range_ms)
{
  uint64_t lasts_ms
      = least_ms + (range_ms > 0 ? cluster_random (cluster, range_ms) : 0);
  uint32_t node = (uint32_t)cluster_random (cluster, NODES);

  schedule (cluster, random_time_ms (cluster), run, node, lasts_ms);
}

static void
schedule_nodes (struct cluster *cluster)
{
  const struct faults *f = &cluster->faults;

  for (int i = 0; f->crashes && i < 3; i++)
    schedule_at_node (cluster, node_crashes, 0, 0);
  for (int i = 0; f->suspensions && i < 3; i++)
    schedule_at_node (cluster, node_suspends, 100, 6000);
  for (int i = 0; f->partitions && i < 2; i++)
    schedule_at_node (cluster, partition_begins, 200, 4000);
  for (uint32_t i = 0; f->shutdowns && i < NODES; i++)
    schedule (cluster, 1000 + 5000 * (int64_t)i, node_shuts_down, i, 0);
  for (int i = 0; f->partitions && i < 4; i++)
    schedule_at_node (cluster, peer_checks_death, 0, 0);
}

/* The same at a random endpoint, of the first COUNT and each STEP-th. */
static void
schedule_at_endpoint (struct cluster *cluster, task_run run, uint32_t count,
                      uint32_t step)
{
  uint32_t endpoint = (uint32_t)cluster_random (cluster, count) * step;

  schedule (cluster, random_time_ms (cluster), run, endpoint, 0);
}

void
faults_schedule (struct cluster *cluster)
{
  const struct faults *f = &cluster->faults;

  schedule_nodes (cluster);
  for (int i = 0; f->endpoint_crashes && i < 4; i++)
    schedule_at_endpoint (cluster, endpoint_crashes, ENDPOINTS, 1);
  for (int i = 0; f->outages && i < 2; i++)
    {
      int64_t begin_ms = random_time_ms (cluster);

      schedule (cluster, begin_ms, outage_changes, 0, 1);
      schedule (cluster,
                begin_ms + 300 + (int64_t)cluster_random (cluster, 3000),
                outage_changes, 0, 0);
    }
  if (f->leaving)
    schedule_at_endpoint (cluster, endpoint_leaves, ENDPOINTS / 2, 2);
}
