/* Calls that one node passes to another. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

static void
tell_failed (struct world *world, const struct conversation *c, bool sent)
{
  struct task task
      = { .run = node_event, .node = c->node, .incarnation = c->incarnation };

  task.event.type = BERYL_EVENT_EXCHANGE_FAILED;
  task.event.exchange = c->exchange;
  task.event.failed.sent = sent;
  task.event.failed.reason = "the node cannot be reached";
  world_after (world, world_delay_ms (world), &task);
}

static bool
reachable (const struct world *world, const struct conversation *c)
{
  return !node_cut_off (world, c->node) && !node_cut_off (world, c->peer);
}

static void
forward_arrives (struct world *world, const struct task *task)
{
  struct conversation *c = &world->conversations[task->a];
  struct node *peer = node_of (world, c->peer, c->peer_incarnation);
  struct task later = *task;
  struct beryl_event event = { .type = BERYL_EVENT_CALL };
  struct job *job = &world->jobs[c->job];
  char request_id[32];

  if (!c->open)
    return;
  if (peer == NULL || !reachable (world, c))
    {
      tell_failed (world, c, false);
      return;
    }
  if (peer->paused_until_ms > world->now_ms)
    {
      world_after (world, peer->paused_until_ms - world->now_ms, &later);
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
  beryl_requests_handle_event (peer->requests, &event, world->now_ms);
  node_schedule (peer);
}

void
peer_forward (struct node *node, const struct beryl_action *action)
{
  struct world *world = node->world;
  struct task task = { .run = forward_arrives };
  struct conversation *c;
  unsigned int job = 0;
  unsigned int attempt = 0;

  world->conversations
      = realloc (world->conversations, (world->conversation_count + 1)
                                           * sizeof *world->conversations);
  c = &world->conversations[world->conversation_count];
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
    if (world->nodes[i].incarnation == action->forward.incarnation)
      c->peer = i;
  task.a = world->conversation_count++;
  task.number = (uint64_t)action->forward.call->deadline_ms;
  world_after (world, world_delay_ms (world), &task);
}

static struct conversation *
forwarded (struct node *node, uint64_t handle)
{
  struct world *world = node->world;

  for (uint32_t i = 0; i < world->conversation_count; i++)
    {
      struct conversation *c = &world->conversations[i];

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
drained_arrives (struct world *world, const struct task *task)
{
  node_event (world, task);
}

/* The whole answer is on its way: the node that made it may forget it when
 * the other one has passed it on. */
static void
tell_drained (struct world *world, const struct conversation *c)
{
  struct task task = { .run = drained_arrives,
                       .node = c->peer,
                       .incarnation = c->peer_incarnation };

  task.event.type = BERYL_EVENT_CALLER_DRAINED;
  task.event.request = c->peer_handle;
  world_after (world, 8, &task);
}

bool
peer_reply (struct node *node, const struct beryl_action *action)
{
  struct world *world = node->world;
  struct conversation *c = forwarded (node, action->request);
  struct task task = { .run = node_event };

  if (c == NULL)
    return false;
  if (!c->open)
    return true;
  if (!reachable (world, c))
    {
      c->open = false;
      tell_failed (world, c, true);
      peer_caller_gone (world, c);
      return true;
    }
  task.node = c->node;
  task.incarnation = c->incarnation;
  fill_reply (&task, action);
  task.event.exchange = c->exchange;
  if (action->type == BERYL_ACTION_REPLY_END)
    {
      for (uint32_t i = 0; i < 1; i++)
        tell_drained (world, c);
      c->open = false;
    }
  world_after (world, 2, &task);
  return true;
}

void
peer_caller_gone (struct world *world, struct conversation *c)
{
  struct task task = { .run = node_event,
                       .node = c->peer,
                       .incarnation = c->peer_incarnation };

  if (c->peer_handle == 0)
    return;
  task.event.type = BERYL_EVENT_CALLER_GONE;
  task.event.request = c->peer_handle;
  world_after (world, world_delay_ms (world), &task);
}

void
peer_broken (struct world *world, uint32_t number, uint64_t incarnation)
{
  for (uint32_t i = 0; i < world->conversation_count; i++)
    {
      struct conversation *c = &world->conversations[i];

      if (!c->open || c->endpoint != ENDPOINTS || c->peer != number
          || c->peer_incarnation != incarnation || c->peer_handle == 0)
        continue;
      tell_failed (world, c, true);
      c->open = false;
    }
}
