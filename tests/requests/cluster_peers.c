/* Calls that one node forwards to another. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

static void
send_failed (struct cluster *cluster, const struct connection *c, bool sent)
{
  struct task task = { .run = node_deliver_event,
                       .node = c->node,
                       .incarnation = c->incarnation };

  task.event.type = BERYL_EVENT_EXCHANGE_FAILED;
  task.event.exchange = c->exchange;
  task.event.failed.sent = sent;
  task.event.failed.reason = "the node cannot be reached";
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

static bool
reachable (const struct cluster *cluster, const struct connection *c)
{
  return !node_is_isolated (cluster, c->node)
         && !node_is_isolated (cluster, c->peer);
}

static void
forward_arrives (struct cluster *cluster, const struct task *task)
{
  struct connection *c = &cluster->connections[task->a];
  struct node *peer = node_find (cluster, c->peer, c->peer_incarnation);
  struct task deferred = *task;
  struct beryl_event event = { .type = BERYL_EVENT_CALL };
  struct job *job = &cluster->jobs[c->job];
  char request_id[32];

  if (!c->open)
    return;
  if (peer == NULL || !reachable (cluster, c))
    {
      send_failed (cluster, c, false);
      return;
    }
  if (peer->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, peer->suspended_until_ms - cluster->now_ms,
                        &deferred);
      return;
    }
  c->peer_handle = ++peer->last_handle;
  snprintf (request_id, sizeof request_id, "j%ut%u", c->job, c->attempt);
  event.call = (struct beryl_call){
    .request = c->peer_handle,
    .request_id = request_id,
    .organisation = job->organisation,
    .service = job->service,
    .method = "POST",
    .path = "/x",
    .body = job->body,
    .body_bytes = strlen (job->body),
    .key_kind = job->key_kind,
    .key = job->key,
    .key_incarnation = job->key_incarnation,
    .forwarded = true,
    .deadline_ms = (int64_t)task->number,
    .stream = job->stream,
    .prompt = job->body,
    .prompt_bytes = strlen (job->body),
    .prompt_tokens = 100,
    .max_tokens = 50,
  };
  beryl_requests_handle_event (peer->requests, &event, cluster->now_ms);
  node_schedule (peer);
}

void
peer_forward (struct node *node, const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct task task = { .run = forward_arrives };
  struct connection *c;
  unsigned int job = 0;
  unsigned int attempt = 0;

  cluster->connections
      = realloc (cluster->connections, (cluster->connection_count + 1)
                                           * sizeof *cluster->connections);
  c = &cluster->connections[cluster->connection_count];
  memset (c, 0, sizeof *c);
  sscanf (action->forward.call->request_id, "j%ut%u", &job, &attempt);
  c->node = node->number;
  c->incarnation = node->incarnation;
  c->exchange = action->exchange;
  c->endpoint = ENDPOINTS;
  c->job = job;
  c->attempt = attempt;
  c->open = true;
  c->peer = NODES - 1;
  c->peer_incarnation = action->forward.incarnation;
  for (uint32_t i = 0; i < NODES; i++)
    if (cluster->nodes[i].incarnation == action->forward.incarnation)
      c->peer = i;
  task.a = cluster->connection_count++;
  task.number = (uint64_t)action->forward.call->deadline_ms;
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

static struct connection *
forwarded_connection (struct node *node, uint64_t handle)
{
  struct cluster *cluster = node->cluster;

  for (uint32_t i = 0; i < cluster->connection_count; i++)
    {
      struct connection *c = &cluster->connections[i];

      if (c->endpoint == ENDPOINTS && c->peer_handle == handle
          && c->peer == node->number
          && c->peer_incarnation == node->incarnation)
        return c;
    }
  return NULL;
}

static void
fill_reply (struct task *task, const struct beryl_action *action)
{
  struct beryl_event *event = &task->event;

  switch (action->type)
    {
    case BERYL_ACTION_REPLY_HEAD:
      event->type = BERYL_EVENT_EXCHANGE_HEAD;
      event->head.status = action->head.status;
      return;
    case BERYL_ACTION_REPLY_DATA:
      event->type = BERYL_EVENT_EXCHANGE_DATA;
      event->data.offset = action->data.offset;
      event->data.bytes_count = action->data.bytes_count;
      memcpy (task->text, action->data.bytes, action->data.bytes_count);
      return;
    case BERYL_ACTION_REPLY_END:
      event->type = BERYL_EVENT_EXCHANGE_END;
      return;
    case BERYL_ACTION_REPLY_TRUNCATE:
      event->type = BERYL_EVENT_EXCHANGE_FAILED;
      event->failed.sent = true;
      return;
    default:
      event->type = BERYL_EVENT_FORWARD_ERROR;
      event->forward_error.problem = action->error.problem;
      event->forward_error.outcome = action->error.outcome;
      event->forward_error.retry_after_ms = action->error.retry_after_ms;
      event->forward_error.detail = "told by the other node";
      return;
    }
}

static void
drained_arrives (struct cluster *cluster, const struct task *task)
{
  node_deliver_event (cluster, task);
}

/* The complete answer was sent: the node that produced it may drop it once the
 * other node has passed it on. */
static void
send_drained (struct cluster *cluster, const struct connection *c)
{
  struct task task = { .run = drained_arrives,
                       .node = c->peer,
                       .incarnation = c->peer_incarnation };

  task.event.type = BERYL_EVENT_CALLER_CAUGHT_UP;
  task.event.request = c->peer_handle;
  cluster_schedule (cluster, 8, &task);
}

bool
peer_reply (struct node *node, const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct connection *c = forwarded_connection (node, action->request);
  struct task task = { .run = node_deliver_event };

  if (c == NULL)
    return false;
  if (!c->open)
    return true;
  if (!reachable (cluster, c))
    {
      c->open = false;
      send_failed (cluster, c, true);
      peer_caller_gone (cluster, c);
      return true;
    }
  task.node = c->node;
  task.incarnation = c->incarnation;
  fill_reply (&task, action);
  task.event.exchange = c->exchange;
  if (action->type == BERYL_ACTION_REPLY_END)
    {
      for (uint32_t i = 0; i < 1; i++)
        send_drained (cluster, c);
      c->open = false;
    }
  cluster_schedule (cluster, 2, &task);
  return true;
}

void
peer_caller_gone (struct cluster *cluster, struct connection *c)
{
  struct task task = { .run = node_deliver_event,
                       .node = c->peer,
                       .incarnation = c->peer_incarnation };

  if (c->peer_handle == 0)
    return;
  task.event.type = BERYL_EVENT_CALLER_GONE;
  task.event.request = c->peer_handle;
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

void
peer_connections_lost (struct cluster *cluster, uint32_t number,
                       uint64_t incarnation)
{
  for (uint32_t i = 0; i < cluster->connection_count; i++)
    {
      struct connection *c = &cluster->connections[i];

      if (!c->open || c->endpoint != ENDPOINTS || c->peer != number
          || c->peer_incarnation != incarnation || c->peer_handle == 0)
        continue;
      send_failed (cluster, c, true);
      c->open = false;
    }
}
