/* The object API as the claim log meets it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum operation
{
  OPERATION_LIST,
  OPERATION_GET,
  OPERATION_CREATE,
  OPERATION_REMOVE,
};

struct objects
{
  struct beryl_object items[512];
  size_t count;
};

static struct node *
node_of_claims (struct beryl_claims_owner *owner)
{
  return (struct node *)((char *)owner - offsetof (struct node, claims_owner));
}

static bool
visit (void *user, const struct store_revision *revision)
{
  struct objects *objects = user;

  objects->items[objects->count++]
      = (struct beryl_object){ .kind = revision->kind,
                               .name = revision->name,
                               .version = revision->version,
                               .value = revision->value,
                               .value_bytes = revision->value_bytes };
  return objects->count < 512;
}

/* The answer reaches the node; a paused one finds it when it wakes up. */
static void
answer_arrives (struct world *world, const struct task *task)
{
  struct node *node = node_of (world, task->node, task->incarnation);
  struct task later = *task;
  struct objects objects = { .count = 0 };
  struct store_revision revision;
  enum beryl_error_code code = (enum beryl_error_code)task->b;
  int64_t at_ms = task->event.data.offset;

  if (node == NULL)
    return;
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &later);
      return;
    }
  if (task->a == OPERATION_CREATE || task->a == OPERATION_REMOVE)
    {
      beryl_claims_write_done (node->claims, task->number, code,
                               world->now_ms);
      node_schedule (node);
      return;
    }
  if (code == BERYL_OK && task->a == OPERATION_LIST)
    store_list (world->store, BERYL_CLAIMS_KIND, task->text, "", at_ms, visit,
                &objects);
  else if (code == BERYL_OK
           && store_get (world->store, BERYL_CLAIMS_KIND, task->text, at_ms,
                         &revision)
                  == STORE_OK)
    visit (&objects, &revision);
  else if (code == BERYL_OK)
    code = BERYL_ERROR_NOT_FOUND;
  beryl_claims_read_done (node->claims, task->number, code, objects.items,
                          objects.count, world->now_ms);
  node_schedule (node);
}

static enum beryl_error_code
write_object (struct world *world, const struct task *task)
{
  uint64_t version = 0;
  enum store_status status;

  if (task->a == OPERATION_REMOVE)
    status = store_delete (world->store, BERYL_CLAIMS_KIND, task->text,
                           STORE_IF_ANY, &version, world->now_ms);
  else
    status = store_put (world->store, BERYL_CLAIMS_KIND, task->text,
                        STORE_IF_ABSENT, &version, task->value,
                        strlen (task->value), world->now_ms);
  switch (status)
    {
    case STORE_OK:
      return BERYL_OK;
    case STORE_ABSENT:
      return BERYL_ERROR_NOT_FOUND;
    case STORE_CONFLICT:
      return BERYL_ERROR_CONFLICT;
    default:
      return BERYL_ERROR_INVALID;
    }
}

static void
note_write (struct world *world, const struct task *task,
            enum beryl_error_code code)
{
  struct history_event event = { .type = HISTORY_NODE };
  char text[160];

  snprintf (text, sizeof text, "n%u %s %s: %s", task->node,
            task->a == OPERATION_CREATE ? "creates" : "deletes", task->text,
            beryl_error_code_name (code));
  event.text = text;
  world_note (world, &event);
}

/* The call reaches the platform, or does not.  A reply that is lost leaves
 * the caller without knowing whether the write took effect. */
static void
operation_arrives (struct world *world, const struct task *task)
{
  struct task reply = *task;
  bool away = world->outage || node_cut_off (world, task->node);
  bool writes = task->a == OPERATION_CREATE || task->a == OPERATION_REMOVE;
  int64_t lag_ms = 0;

  reply.run = answer_arrives;
  reply.value = NULL;
  reply.b = away ? BERYL_ERROR_UNAVAILABLE : BERYL_OK;
  if (!away && writes)
    reply.b = write_object (world, task);
  if (writes)
    note_write (world, task, (enum beryl_error_code)reply.b);
  if (writes && world->faults.lost_replies && world_chance (world, 15))
    reply.b = BERYL_ERROR_UNKNOWN;
  if (world->faults.stale_reads)
    lag_ms = (int64_t)world_random (world, world->stale_ms + 1);
  reply.event.data.offset = (uint64_t)(world->now_ms - lag_ms);
  free (task->value);
  world_after (world, world_delay_ms (world), &reply);
}

static void
operation_begin (struct beryl_claims_owner *owner, enum operation operation,
                 uint64_t call, const char *name, const char *value)
{
  struct node *node = node_of_claims (owner);
  struct task task = { .run = operation_arrives,
                       .node = node->number,
                       .incarnation = node->incarnation,
                       .a = operation,
                       .number = call };

  snprintf (task.text, sizeof task.text, "%s", name);
  if (value != NULL)
    task.value = strdup (value);
  world_after (node->world, world_delay_ms (node->world), &task);
}

static void
claims_list (struct beryl_claims_owner *owner, uint64_t call,
             const char *prefix)
{
  operation_begin (owner, OPERATION_LIST, call, prefix, NULL);
}

static void
claims_get (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  operation_begin (owner, OPERATION_GET, call, name, NULL);
}

static void
claims_create (struct beryl_claims_owner *owner, uint64_t call,
               const char *name, const char *value, size_t value_bytes,
               const char *nonce)
{
  operation_begin (owner, OPERATION_CREATE, call, name, value);
}

static void
claims_remove (struct beryl_claims_owner *owner, uint64_t call,
               const char *name)
{
  operation_begin (owner, OPERATION_REMOVE, call, name, NULL);
}

static void
claims_result (struct beryl_claims_owner *owner, uint64_t request,
               enum beryl_claim_result result, uint64_t incarnation)
{
  struct node *node = node_of_claims (owner);
  struct task task = { .run = node_event,
                       .node = node->number,
                       .incarnation = node->incarnation };

  task.event.type = BERYL_EVENT_CLAIM_RESULT;
  task.event.request = request;
  task.event.claim.result = result;
  task.event.claim.incarnation = incarnation;
  world_after (node->world, 0, &task);
}

static void
connection_refused (struct world *world, const struct task *task)
{
  struct node *from = &world->nodes[task->node];

  if (!from->up || from->paused_until_ms > world->now_ms)
    return;
  beryl_claims_node_down (from->claims, world->nodes[task->a].name,
                          world->now_ms);
  node_schedule (from);
}

static void
message_arrives (struct world *world, const struct task *task)
{
  struct node *node = &world->nodes[task->a];
  struct task later = *task;
  char from[BERYL_NAME_BYTES];

  if (node_cut_off (world, task->a) || node_cut_off (world, task->node))
    return;
  if (!node->up)
    {
      connection_refused (world, task);
      return;
    }
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &later);
      return;
    }
  snprintf (from, sizeof from, "n%u", task->node);
  beryl_claims_handle_message (node->claims, from, &task->claim,
                               world->now_ms);
  node_schedule (node);
}

static void
claims_send (struct beryl_claims_owner *owner, const char *to,
             const struct beryl_claim_message *message)
{
  struct node *node = node_of_claims (owner);
  struct world *world = node->world;
  struct task task = { .run = message_arrives,
                       .node = node->number,
                       .a = (uint32_t)(to[1] - '0'),
                       .claim = *message };

  if (world_chance (world, world->faults.lose_percent))
    return;
  world_after (world, world_delay_ms (world), &task);
}

const struct beryl_claims_owner_impl world_claims_impl = {
  .result = claims_result,
  .send = claims_send,
  .list = claims_list,
  .get = claims_get,
  .create = claims_create,
  .remove = claims_remove,
};
