/* The object API as seen by the claim log. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

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
collect (void *user, const struct store_revision *revision)
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

/* Delivers a reply; a suspended node receives it when it resumes. */
static void
answer_arrives (struct cluster *cluster, const struct task *task)
{
  struct node *node = node_find (cluster, task->node, task->incarnation);
  struct task deferred = *task;
  struct objects objects = { .count = 0 };
  struct store_revision revision;
  enum beryl_error_code code = (enum beryl_error_code)task->b;
  int64_t at_ms = task->event.data.offset;

  if (node == NULL)
    return;
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &deferred);
      return;
    }
  if (task->a == OPERATION_CREATE || task->a == OPERATION_REMOVE)
    {
      beryl_claims_write_done (node->claims, task->number, code,
                               cluster->now_ms);
      node_schedule (node);
      return;
    }
  if (code == BERYL_OK && task->a == OPERATION_LIST)
    store_list (cluster->store, BERYL_CLAIMS_KIND, task->text, "", at_ms,
                collect, &objects);
  else if (code == BERYL_OK
           && store_get (cluster->store, BERYL_CLAIMS_KIND, task->text, at_ms,
                         &revision)
                  == STORE_OK)
    collect (&objects, &revision);
  else if (code == BERYL_OK)
    code = BERYL_ERROR_NOT_FOUND;
  beryl_claims_read_done (node->claims, task->number, code, objects.items,
                          objects.count, cluster->now_ms);
  node_schedule (node);
}

static enum beryl_error_code
write_object (struct cluster *cluster, const struct task *task)
{
  uint64_t version = 0;
  enum store_status status;

  if (task->a == OPERATION_REMOVE)
    status = store_delete (cluster->store, BERYL_CLAIMS_KIND, task->text,
                           STORE_IF_ANY, &version, cluster->now_ms);
  else
    status = store_put (cluster->store, BERYL_CLAIMS_KIND, task->text,
                        STORE_IF_ABSENT, &version, task->value,
                        strlen (task->value), cluster->now_ms);
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
record_write (struct cluster *cluster, const struct task *task,
              enum beryl_error_code code)
{
  struct history_event event = { .type = HISTORY_NOTE };
  char text[160];

  snprintf (text, sizeof text, "n%u %s %s: %s", task->node,
            task->a == OPERATION_CREATE ? "creates" : "deletes", task->text,
            beryl_error_code_name (code));
  event.text = text;
  cluster_record (cluster, &event);
}

/* Delivers a call to the platform, unless it is unreachable.  If the reply is
 * lost, the caller does not know whether the write took effect. */
static void
operation_arrives (struct cluster *cluster, const struct task *task)
{
  struct task reply = *task;
  bool unavailable = cluster->outage || node_is_isolated (cluster, task->node);
  bool writes = task->a == OPERATION_CREATE || task->a == OPERATION_REMOVE;
  int64_t lag_ms = 0;

  reply.run = answer_arrives;
  reply.value = NULL;
  reply.b = unavailable ? BERYL_ERROR_UNAVAILABLE : BERYL_OK;
  if (!unavailable && writes)
    reply.b = write_object (cluster, task);
  if (writes)
    record_write (cluster, task, (enum beryl_error_code)reply.b);
  if (writes && cluster->faults.lost_replies && cluster_chance (cluster, 15))
    reply.b = BERYL_ERROR_UNKNOWN;
  if (cluster->faults.stale_reads)
    lag_ms = (int64_t)cluster_random (cluster, cluster->stale_ms + 1);
  reply.event.data.offset = (uint64_t)(cluster->now_ms - lag_ms);
  free (task->value);
  cluster_schedule (cluster, cluster_delay_ms (cluster), &reply);
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
  cluster_schedule (node->cluster, cluster_delay_ms (node->cluster), &task);
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
  struct task task = { .run = node_deliver_event,
                       .node = node->number,
                       .incarnation = node->incarnation };

  task.event.type = BERYL_EVENT_CLAIM_RESULT;
  task.event.request = request;
  task.event.claim.result = result;
  task.event.claim.incarnation = incarnation;
  cluster_schedule (node->cluster, 0, &task);
}

static void
connection_refused (struct cluster *cluster, const struct task *task)
{
  struct node *from = &cluster->nodes[task->node];

  if (!from->up || from->suspended_until_ms > cluster->now_ms)
    return;
  beryl_claims_node_down (from->claims, cluster->nodes[task->a].name,
                          cluster->now_ms);
  node_schedule (from);
}

static void
message_arrives (struct cluster *cluster, const struct task *task)
{
  struct node *node = &cluster->nodes[task->a];
  struct task deferred = *task;
  char from[BERYL_NAME_BYTES];

  if (node_is_isolated (cluster, task->a)
      || node_is_isolated (cluster, task->node))
    return;
  if (!node->up)
    {
      connection_refused (cluster, task);
      return;
    }
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &deferred);
      return;
    }
  snprintf (from, sizeof from, "n%u", task->node);
  beryl_claims_handle_message (node->claims, from, &task->claim,
                               cluster->now_ms);
  node_schedule (node);
}

static void
claims_send (struct beryl_claims_owner *owner, const char *to,
             const struct beryl_claim_message *message)
{
  struct node *node = node_of_claims (owner);
  struct cluster *cluster = node->cluster;
  struct task task = { .run = message_arrives,
                       .node = node->number,
                       .a = (uint32_t)(to[1] - '0'),
                       .claim = *message };

  if (cluster_chance (cluster, cluster->faults.loss_percent))
    return;
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

const struct beryl_claims_owner_impl cluster_claims_impl = {
  .result = claims_result,
  .send = claims_send,
  .list = claims_list,
  .get = claims_get,
  .create = claims_create,
  .remove = claims_remove,
};
