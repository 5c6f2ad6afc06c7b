/* Actions of a node on endpoints and its control daemon. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

static uint32_t
connection_open (struct node *node, const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct connection *c;
  unsigned int job = 0;
  unsigned int attempt = 0;

  cluster->connections
      = realloc (cluster->connections, (cluster->connection_count + 1)
                                           * sizeof *cluster->connections);
  c = &cluster->connections[cluster->connection_count];
  memset (c, 0, sizeof *c);
  sscanf (action->start.call->request_id, "j%ut%u", &job, &attempt);
  c->node = node->number;
  c->incarnation = node->incarnation;
  c->exchange = action->exchange;
  c->endpoint = endpoint_number (action->start.endpoint);
  c->job = job;
  c->attempt = attempt;
  c->decode_attempt = action->start.attempt;
  c->stream = action->start.stream;
  c->offset = action->start.offset;
  if (action->type == BERYL_ACTION_DECODE)
    snprintf (c->kv_endpoint, sizeof c->kv_endpoint, "%s",
              action->start.kv_endpoint);
  c->open = true;
  return cluster->connection_count++;
}

/* Some calls to endpoints stay in flight for long. */
int64_t
cluster_call_delay_ms (struct cluster *cluster)
{
  if (cluster_chance (cluster, 10))
    return 50 + (int64_t)cluster_random (cluster, 200);
  return cluster_delay_ms (cluster);
}

static void
act_start (struct node *node, const struct beryl_action *action)
{
  struct task task = { .run = endpoint_receive, .b = action->type };

  task.a = connection_open (node, action);
  cluster_schedule (node->cluster, cluster_call_delay_ms (node->cluster),
                    &task);
}

static struct connection *
connection_find (struct node *node, uint64_t exchange)
{
  struct cluster *cluster = node->cluster;

  for (uint32_t i = cluster->connection_count; i-- > 0;)
    if (cluster->connections[i].node == node->number
        && cluster->connections[i].incarnation == node->incarnation
        && cluster->connections[i].exchange == exchange)
      return &cluster->connections[i];
  return NULL;
}

static void
act_abort (struct node *node, const struct beryl_action *action)
{
  struct connection *c = connection_find (node, action->exchange);

  if (c == NULL)
    return;
  c->open = false;
  if (c->endpoint == ENDPOINTS)
    peer_caller_gone (node->cluster, c);
}

static void
act_pause (struct node *node, const struct beryl_action *action)
{
  struct connection *c = connection_find (node, action->exchange);

  if (c == NULL)
    return;
  c->paused = action->pause.paused;
  if (!c->paused && c->endpoint != ENDPOINTS)
    endpoint_resume_reading (node->cluster,
                             (uint32_t)(c - node->cluster->connections));
}

static void
cancel_arrives (struct cluster *cluster, const struct task *task)
{
  struct task reply = { .run = node_deliver_event,
                        .node = task->node,
                        .incarnation = task->incarnation };

  if (!cluster->endpoints[task->a].up)
    return;
  endpoint_cancel (cluster, task->a, task->event.cancel.stream.incarnation,
                   task->event.cancel.stream.counter,
                   task->event.cancel.stream.counter);
  if (cluster_chance (cluster, cluster->faults.loss_percent))
    return;
  reply.event.type = BERYL_EVENT_CANCEL_CONFIRMED;
  reply.event.cancel.stream = task->event.cancel.stream;
  snprintf (reply.text, sizeof reply.text, "%s",
            cluster->endpoints[task->a].name);
  cluster_schedule (cluster, cluster_delay_ms (cluster), &reply);
}

static void
act_cancel (struct node *node, const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct task task = { .run = cancel_arrives,
                       .node = node->number,
                       .incarnation = node->incarnation };

  if (cluster_chance (cluster, cluster->faults.loss_percent))
    return;
  task.a = endpoint_number (action->hold.endpoint);
  task.event.cancel.stream = action->hold.stream;
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

/* The window reaches the control daemon's socket buffer before the hold is
 * created. */
static void
act_hold (struct node *node, const struct beryl_action *action)
{
  const char *endpoint = action->hold.endpoint;
  uint64_t counter = action->hold.stream.counter;
  uint32_t n = endpoint_number (endpoint);

  if (action->type == BERYL_ACTION_HOLD_ERASE)
    beryl_hold_windows_erase (node->windows, endpoint, counter);
  else if (beryl_hold_windows_record (node->windows, endpoint, counter))
    node->reported[n] = *beryl_hold_windows_get (node->windows, endpoint);
}

static void
act_claim (struct node *node, const struct beryl_action *action)
{
  beryl_claims_claim (node->claims, action->request,
                      action->claim.organisation, action->claim.key,
                      action->claim.call_hash, node->cluster->now_ms);
}

static void
act_decision (struct node *node, const struct beryl_action *action)
{
  struct history_event event = { .type = HISTORY_NOTE };
  const struct beryl_plan *plan = action->decision.plan;
  char text[128];

  if (plan->verdict != BERYL_VERDICT_REFUSE)
    return;
  snprintf (text, sizeof text, "%s refuses %s: %s", node->name,
            action->decision.request_id, plan->reason);
  event.text = text;
  cluster_record (node->cluster, &event);
}

static void
cluster_act (struct beryl_requests_owner *owner,
             const struct beryl_action *action)
{
  struct node *node
      = (struct node *)((char *)owner
                        - offsetof (struct node, requests_owner));

  switch (action->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
    case BERYL_ACTION_REPLY_DATA:
    case BERYL_ACTION_REPLY_END:
    case BERYL_ACTION_REPLY_ERROR:
    case BERYL_ACTION_REPLY_TRUNCATE:
      if (!peer_reply (node, action))
        caller_reply (node, action);
      return;
    case BERYL_ACTION_PREFILL:
    case BERYL_ACTION_DECODE:
    case BERYL_ACTION_SERVICE:
      act_start (node, action);
      return;
    case BERYL_ACTION_ABORT:
      act_abort (node, action);
      return;
    case BERYL_ACTION_PAUSE:
      act_pause (node, action);
      return;
    case BERYL_ACTION_CANCEL:
      act_cancel (node, action);
      return;
    case BERYL_ACTION_HOLD_RECORD:
    case BERYL_ACTION_HOLD_ERASE:
      act_hold (node, action);
      return;
    case BERYL_ACTION_CLAIM:
      act_claim (node, action);
      return;
    case BERYL_ACTION_FORWARD:
      peer_forward (node, action);
      return;
    case BERYL_ACTION_DECISION:
      act_decision (node, action);
      return;
    case BERYL_ACTION_DRAINED:
      node->drained = true;
      return;
    }
}

const struct beryl_requests_owner_impl cluster_requests_impl
    = { .act = cluster_act };
