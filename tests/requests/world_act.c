/* A node's actions towards endpoints and its hold keeper. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

static uint32_t
conversation_open (struct node *node, const struct beryl_action *action)
{
  struct world *world = node->world;
  struct conversation *c;
  unsigned int job = 0;
  unsigned int attempt = 0;

  world->conversations
      = realloc (world->conversations, (world->conversation_count + 1)
                                           * sizeof *world->conversations);
  c = &world->conversations[world->conversation_count];
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
  return world->conversation_count++;
}

/* Calls to endpoints are on their way for some time now and then. */
int64_t
world_flight_ms (struct world *world)
{
  if (world_chance (world, 10))
    return 50 + (int64_t)world_random (world, 200);
  return world_delay_ms (world);
}

static void
act_start (struct node *node, const struct beryl_action *action)
{
  struct task task = { .run = endpoint_arrive, .b = action->type };

  task.a = conversation_open (node, action);
  world_after (node->world, world_flight_ms (node->world), &task);
}

static struct conversation *
conversation_of (struct node *node, uint64_t exchange)
{
  struct world *world = node->world;

  for (uint32_t i = world->conversation_count; i-- > 0;)
    if (world->conversations[i].node == node->number
        && world->conversations[i].incarnation == node->incarnation
        && world->conversations[i].exchange == exchange)
      return &world->conversations[i];
  return NULL;
}

static void
act_abort (struct node *node, const struct beryl_action *action)
{
  struct conversation *c = conversation_of (node, action->exchange);

  if (c == NULL)
    return;
  c->open = false;
  if (c->endpoint == ENDPOINTS)
    peer_caller_gone (node->world, c);
}

static void
act_pause (struct node *node, const struct beryl_action *action)
{
  struct conversation *c = conversation_of (node, action->exchange);

  if (c == NULL)
    return;
  c->paused = action->pause.paused;
  if (!c->paused && c->endpoint != ENDPOINTS)
    endpoint_resume_reading (node->world,
                             (uint32_t)(c - node->world->conversations));
}

static void
cancel_arrives (struct world *world, const struct task *task)
{
  struct task reply = { .run = node_event,
                        .node = task->node,
                        .incarnation = task->incarnation };

  if (!world->endpoints[task->a].up)
    return;
  endpoint_cancel (world, task->a, task->event.cancel.stream.incarnation,
                   task->event.cancel.stream.counter,
                   task->event.cancel.stream.counter);
  if (world_chance (world, world->faults.lose_percent))
    return;
  reply.event.type = BERYL_EVENT_CANCEL_CONFIRMED;
  reply.event.cancel.stream = task->event.cancel.stream;
  snprintf (reply.text, sizeof reply.text, "%s",
            world->endpoints[task->a].name);
  world_after (world, world_delay_ms (world), &reply);
}

static void
act_cancel (struct node *node, const struct beryl_action *action)
{
  struct world *world = node->world;
  struct task task = { .run = cancel_arrives,
                       .node = node->number,
                       .incarnation = node->incarnation };

  if (world_chance (world, world->faults.lose_percent))
    return;
  task.a = endpoint_number (action->hold.endpoint);
  task.event.cancel.stream = action->hold.stream;
  world_after (world, world_delay_ms (world), &task);
}

/* The window is in the keeper's socket buffer before the hold is made. */
static void
act_hold (struct node *node, const struct beryl_action *action)
{
  const char *endpoint = action->hold.endpoint;
  uint64_t counter = action->hold.stream.counter;
  uint32_t n = endpoint_number (endpoint);

  if (action->type == BERYL_ACTION_HOLD_ERASE)
    beryl_hold_windows_erase (node->windows, endpoint, counter);
  else if (beryl_hold_windows_record (node->windows, endpoint, counter))
    node->told[n] = *beryl_hold_windows_get (node->windows, endpoint);
}

static void
act_claim (struct node *node, const struct beryl_action *action)
{
  beryl_claims_claim (node->claims, action->request,
                      action->claim.organisation, action->claim.key,
                      action->claim.body_hash, node->world->now_ms);
}

static void
act_decision (struct node *node, const struct beryl_action *action)
{
  struct history_event event = { .type = HISTORY_NODE };
  const struct beryl_plan *plan = action->decision.plan;
  char text[128];

  if (plan->verdict != BERYL_VERDICT_REFUSE)
    return;
  snprintf (text, sizeof text, "%s refuses %s: %s", node->name,
            action->decision.request_id, plan->reason);
  event.text = text;
  world_note (node->world, &event);
}

static void
world_act (struct beryl_requests_owner *owner,
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

const struct beryl_requests_owner_impl world_requests_impl
    = { .act = world_act };
