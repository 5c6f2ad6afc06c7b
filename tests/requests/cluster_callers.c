/* Simulated callers: they send calls, read answers, disconnect, retry with
 * their key, and fetch the rest of interrupted answers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

#define START_WINDOW_MS 14000
#define PLAIN_DEADLINE_MS 2000
#define MODEL_DEADLINE_MS 9000
/* No caller retries in the last part of a run. */
#define NO_RETRY_MS 28000
/* How long after its deadline a caller waits for the final answer. */
#define ANSWER_GRACE_MS 1500

static void attempt_begin (struct cluster *cluster, const struct task *task);

static void
schedule (struct cluster *cluster, int64_t delay_ms, task_run run,
          uint32_t job, uint32_t attempt)
{
  struct task task = { .run = run, .a = job, .b = attempt };

  cluster_schedule (cluster, delay_ms, &task);
}

static void
record_event (struct cluster *cluster, enum history_type type, uint32_t job,
              uint32_t attempt)
{
  struct history_event event
      = { .type = type, .job = job, .attempt = attempt };

  cluster_record (cluster, &event);
}

/* The caller has no complete answer and may retry. */
static void
maybe_retry (struct cluster *cluster, uint32_t job, uint32_t percent)
{
  struct job *j = &cluster->jobs[job];
  bool may = j->recorded.keyed || !j->recorded.non_idempotent;
  int64_t delay_ms = 50 + (int64_t)cluster_random (cluster, 900);

  if (cluster->now_ms > cluster->end_ms - NO_RETRY_MS)
    return;
  if (cluster_chance (cluster, 15))
    delay_ms += (int64_t)cluster_random (cluster, 12000);
  if (j->attempt_count < ATTEMPTS_MAX && may
      && cluster_chance (cluster, percent))
    schedule (cluster, delay_ms, attempt_begin, job, 0);
}

static void
send_caller_gone (struct cluster *cluster, const struct call_attempt *t)
{
  struct task task = { .run = node_deliver_event,
                       .node = t->node,
                       .incarnation = t->incarnation };

  task.event.type = BERYL_EVENT_CALLER_GONE;
  task.event.request = t->handle;
  cluster_schedule (cluster, cluster_delay_ms (cluster), &task);
}

/* A node that was not suspended must have freed the memory of a disconnected
 * caller. */
static void
check_memory_freed (struct cluster *cluster, const struct task *task)
{
  const struct call_attempt *t = &cluster->jobs[task->a].attempts[task->b];
  const struct node *node = node_find (cluster, t->node, t->incarnation);

  if (node != NULL
      && node->suspended_until_ms + RELEASE_LIMIT_MS < cluster->now_ms)
    endpoint_record_leaks_for (cluster, task->a, task->b);
}

static void
caller_leaves (struct cluster *cluster, uint32_t job, uint32_t attempt)
{
  struct call_attempt *t = &cluster->jobs[job].attempts[attempt];

  t->final = true;
  record_event (cluster, HISTORY_CALLER_CLOSED, job, attempt);
  if (t->arrived)
    {
      send_caller_gone (cluster, t);
      schedule (cluster, RELEASE_LIMIT_MS, check_memory_freed, job, attempt);
    }
  maybe_retry (cluster, job, 70);
}

static void
leave_early (struct cluster *cluster, const struct task *task)
{
  if (!cluster->jobs[task->a].attempts[task->b].final)
    caller_leaves (cluster, task->a, task->b);
}

/* A node that is running must give every caller a final answer. */
static void
answer_overdue (struct cluster *cluster, const struct task *task)
{
  const struct call_attempt *t = &cluster->jobs[task->a].attempts[task->b];
  const struct node *node;

  if (t->final)
    return;
  node = node_find (cluster, t->node, t->incarnation);
  if (node != NULL && t->arrived
      && node->suspended_until_ms + ANSWER_GRACE_MS < cluster->now_ms)
    record_event (cluster, HISTORY_NO_ANSWER, task->a, task->b);
  caller_leaves (cluster, task->a, task->b);
}

static uint32_t
choose_node (struct cluster *cluster, uint32_t other_than)
{
  uint32_t chosen = other_than;

  for (int i = 0; i < 20; i++)
    {
      chosen = (uint32_t)cluster_random (cluster, NODES);
      if (cluster->nodes[chosen].up && !cluster->nodes[chosen].leaving
          && chosen != other_than)
        break;
    }
  return chosen;
}

static void
deliver_call (struct cluster *cluster, struct node *node, uint32_t job,
              uint32_t attempt)
{
  struct job *j = &cluster->jobs[job];
  struct beryl_event event = { .type = BERYL_EVENT_CALL };
  bool plain = j->service[0] == 's' || j->service[0] == 'l';
  int64_t allowed_ms = plain ? PLAIN_DEADLINE_MS : MODEL_DEADLINE_MS;
  char request_id[32];

  snprintf (request_id, sizeof request_id, "j%ut%u", job, attempt);
  event.call = (struct beryl_call){
    .request = j->attempts[attempt].handle,
    .request_id = request_id,
    .organisation = j->organisation,
    .service = j->service,
    .method = "POST",
    .path = "/x",
    .body = j->body,
    .body_bytes = strlen (j->body),
    .key_kind = j->key_kind,
    .key = j->key,
    .key_incarnation = j->key_incarnation,
    .deadline_ms = cluster->now_ms + allowed_ms,
    .stream = j->stream,
    .prompt = j->body,
    .prompt_bytes = strlen (j->body),
    .prompt_tokens = 100,
    .max_tokens = 50,
  };
  schedule (cluster, allowed_ms + ANSWER_GRACE_MS, answer_overdue, job,
            attempt);
  beryl_requests_handle_event (node->requests, &event, cluster->now_ms);
}

static void
deliver_fetch (struct cluster *cluster, struct node *node, uint32_t job,
               uint32_t attempt)
{
  struct job *j = &cluster->jobs[job];
  struct beryl_event event = { .type = BERYL_EVENT_FETCH };

  event.request = j->attempts[attempt].handle;
  event.fetch.organisation = j->organisation;
  event.fetch.id_or_key = j->key;
  if (attempt > 0 && !j->attempts[attempt - 1].fetch)
    event.fetch.offset = j->attempts[attempt - 1].received;
  j->attempts[attempt].received = 0;
  schedule (cluster, ANSWER_GRACE_MS, answer_overdue, job, attempt);
  beryl_requests_handle_event (node->requests, &event, cluster->now_ms);
}

static void
refuse_connection (struct cluster *cluster, uint32_t job, uint32_t attempt)
{
  cluster->jobs[job].attempts[attempt].final = true;
  maybe_retry (cluster, job, 90);
}

static void
attempt_arrives (struct cluster *cluster, const struct task *task)
{
  struct job *j = &cluster->jobs[task->a];
  struct call_attempt *t = &j->attempts[task->b];
  struct node *node = &cluster->nodes[t->node];
  struct task again = *task;

  if (t->final)
    return;
  if (!node->up)
    {
      refuse_connection (cluster, task->a, task->b);
      return;
    }
  if (node->suspended_until_ms > cluster->now_ms)
    {
      cluster_schedule (cluster, node->suspended_until_ms - cluster->now_ms,
                        &again);
      return;
    }
  t->arrived = true;
  t->incarnation = node->incarnation;
  t->handle = ++node->last_handle;
  node->drained = false;
  if (t->fetch)
    deliver_fetch (cluster, node, task->a, task->b);
  else
    deliver_call (cluster, node, task->a, task->b);
  node_schedule (node);
}

static struct call_attempt *
attempt_add (struct cluster *cluster, uint32_t job, uint32_t node)
{
  struct job *j = &cluster->jobs[job];
  struct call_attempt *t = &j->attempts[j->attempt_count++];

  t->node = node;
  record_event (cluster, HISTORY_SENT, job, j->attempt_count - 1);
  return t;
}

static void
attempt_begin (struct cluster *cluster, const struct task *task)
{
  struct job *j = &cluster->jobs[task->a];
  uint32_t node;

  if (j->attempt_count == ATTEMPTS_MAX)
    return;
  node = choose_node (cluster, NODES);
  if (j->attempt_count > 0 && cluster_chance (cluster, 40))
    node = j->attempts[0].node;
  if (j->key_kind == BERYL_KEY_BOUND && j->key_incarnation == 0)
    {
      size_t n = strlen (j->key);

      j->key_incarnation = cluster->nodes[node].incarnation;
      snprintf (j->key + n, sizeof j->key - n, "-%llu",
                (unsigned long long)j->key_incarnation);
    }
  attempt_add (cluster, task->a, node);
  /* Some callers act on a stale discovery answer. */
  schedule (cluster,
            cluster_chance (cluster, 30)
                ? (int64_t)cluster_random (cluster, DISCOVERY_TTL_MS)
                : cluster_delay_ms (cluster),
            attempt_arrives, task->a, j->attempt_count - 1);
  if (!j->never_leaves)
    schedule (cluster, (int64_t)cluster_random (cluster, 1200), leave_early,
              task->a, j->attempt_count - 1);
}

static void
fetch_begin (struct cluster *cluster, uint32_t job, uint32_t node)
{
  struct job *j = &cluster->jobs[job];

  if (j->attempt_count == ATTEMPTS_MAX)
    return;
  attempt_add (cluster, job, node)->fetch = true;
  schedule (cluster, cluster_delay_ms (cluster), attempt_arrives, job,
            j->attempt_count - 1);
}

static bool
attempt_find (struct node *node, uint64_t handle, uint32_t *job,
              uint32_t *attempt)
{
  struct cluster *cluster = node->cluster;

  for (uint32_t i = 0; i < cluster->job_count; i++)
    for (uint32_t k = 0; k < cluster->jobs[i].attempt_count; k++)
      {
        const struct call_attempt *t = &cluster->jobs[i].attempts[k];

        if (t->node != node->number || t->incarnation != node->incarnation
            || t->handle != handle || !t->arrived)
          continue;
        *job = i;
        *attempt = k;
        return !t->final;
      }
  return false;
}

static void
on_data (struct node *node, uint32_t job, uint32_t attempt,
         const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct call_attempt *t = &cluster->jobs[job].attempts[attempt];
  struct task caught_up = { .run = node_deliver_event,
                            .node = node->number,
                            .incarnation = node->incarnation };
  struct history_event event = { .type = HISTORY_DATA,
                                 .job = job,
                                 .attempt = attempt,
                                 .offset = action->data.offset };
  size_t count = action->data.bytes_count;
  bool broken
      = !cluster->jobs[job].never_leaves && cluster_chance (cluster, 15);
  char text[TEXT_BYTES * 2];

  if (broken)
    count /= 2;
  snprintf (text, sizeof text, "%.*s", (int)count,
            (const char *)action->data.bytes);
  event.text = text;
  cluster_record (cluster, &event);
  t->received += count;
  if (broken)
    {
      caller_leaves (cluster, job, attempt);
      return;
    }
  caught_up.event.type = BERYL_EVENT_CALLER_CAUGHT_UP;
  caught_up.event.request = t->handle;
  cluster_schedule (cluster,
                    cluster->jobs[job].never_leaves
                        ? 4
                        : (int64_t)cluster_random (cluster, 400),
                    &caught_up);
}

static void
on_end (struct node *node, uint32_t job, uint32_t attempt)
{
  struct cluster *cluster = node->cluster;
  struct job *j = &cluster->jobs[job];
  struct task caught_up = { .run = node_deliver_event,
                            .node = node->number,
                            .incarnation = node->incarnation };

  j->attempts[attempt].final = true;
  j->answered = true;
  record_event (cluster, HISTORY_COMPLETED, job, attempt);
  caught_up.event.type = BERYL_EVENT_CALLER_CAUGHT_UP;
  caught_up.event.request = j->attempts[attempt].handle;
  cluster_schedule (cluster, 4, &caught_up);
  if (!j->recorded.keyed)
    return;
  maybe_retry (cluster, job, 15);
  if (cluster_chance (cluster, 15))
    fetch_begin (cluster, job, node->number);
}

static void
on_error (struct node *node, uint32_t job, uint32_t attempt,
          const struct beryl_action *action)
{
  struct cluster *cluster = node->cluster;
  struct history_event event = {
    .type = HISTORY_ERROR,
    .job = job,
    .attempt = attempt,
    .outcome = action->error.outcome,
    .problem = action->error.problem,
  };

  cluster->jobs[job].attempts[attempt].final = true;
  cluster_record (cluster, &event);
  if (action->error.outcome == BERYL_OUTCOME_ANSWERED
      && !cluster->jobs[job].answered
      && !cluster->jobs[job].attempts[attempt].fetch)
    fetch_begin (cluster, job, node->number);
  else if (!cluster->jobs[job].attempts[attempt].fetch)
    maybe_retry (cluster, job, 60);
}

void
caller_reply (struct node *node, const struct beryl_action *action)
{
  uint32_t job, attempt;

  if (!attempt_find (node, action->request, &job, &attempt))
    return;
  switch (action->type)
    {
    case BERYL_ACTION_REPLY_DATA:
      on_data (node, job, attempt, action);
      return;
    case BERYL_ACTION_REPLY_END:
      on_end (node, job, attempt);
      return;
    case BERYL_ACTION_REPLY_ERROR:
      on_error (node, job, attempt, action);
      return;
    case BERYL_ACTION_REPLY_TRUNCATE:
      node->cluster->jobs[job].attempts[attempt].final = true;
      record_event (node->cluster, HISTORY_TRUNCATED, job, attempt);
      maybe_retry (node->cluster, job, 70);
      return;
    default:
      return;
    }
}

/* The process of a node ended, which breaks its callers' connections. */
void
caller_connections_lost (struct cluster *cluster, uint32_t number,
                         bool planned)
{
  for (uint32_t i = 0; i < cluster->job_count; i++)
    for (uint32_t k = 0; k < cluster->jobs[i].attempt_count; k++)
      {
        struct call_attempt *t = &cluster->jobs[i].attempts[k];
        struct history_event event = { .type = HISTORY_CONNECTION_LOST,
                                       .job = i,
                                       .attempt = k,
                                       .planned = planned };

        if (t->final || !t->arrived || t->node != number
            || t->incarnation != cluster->nodes[number].incarnation)
          continue;
        t->final = true;
        cluster_record (cluster, &event);
        maybe_retry (cluster, i, 80);
      }
}

static void
job_begin (struct cluster *cluster, uint32_t id)
{
  static const char *const services[]
      = { "advice", "verdict", "status", "letters", "letters" };
  struct job *j = &cluster->jobs[id];
  const char *service = cluster->faults.free_keys
                            ? "letters"
                            : services[cluster_random (cluster, 5)];

  snprintf (j->service, sizeof j->service, "%s", service);
  snprintf (j->organisation, sizeof j->organisation, "permits");
  snprintf (j->key, sizeof j->key, "key%u", id);
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->recorded.id = id;
  j->recorded.non_idempotent = service[0] == 'v' || service[0] == 'l';
  j->stream = cluster_chance (cluster, 60);
  j->never_leaves = !cluster_chance (cluster, cluster->faults.leave_percent);
  j->key_kind = cluster->faults.free_keys
                    ? BERYL_KEY_FREE
                    : (enum beryl_key_kind)cluster_random (cluster, 3);
  j->recorded.keyed
      = j->key_kind == BERYL_KEY_BOUND
        || (j->key_kind == BERYL_KEY_FREE && j->recorded.non_idempotent);
}

/* Another organisation uses the previous job's key. */
static void
job_begin_other_organisation (struct cluster *cluster, uint32_t id)
{
  struct job *j = &cluster->jobs[id];

  cluster->jobs[id - 1].shares_key = true;
  *j = cluster->jobs[id - 1];
  snprintf (j->organisation, sizeof j->organisation, "radio");
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->recorded.id = id;
  j->recorded.other_key = cluster->jobs[id - 1].recorded.other_key = true;
}

/* The same organisation uses the previous job's key for a different
 * request. */
static void
job_begin_key_reuse (struct cluster *cluster, uint32_t id)
{
  struct job *j = &cluster->jobs[id];

  cluster->jobs[id - 1].shares_key = true;
  *j = cluster->jobs[id - 1];
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->recorded.id = id;
}

void
callers_start (struct cluster *cluster, uint32_t job_count)
{
  cluster->job_count = job_count;
  for (uint32_t i = 0; i < job_count; i++)
    {
      bool unpaired = i > 0 && !cluster->jobs[i - 1].shares_key;

      if (unpaired && cluster_chance (cluster, 15))
        job_begin_other_organisation (cluster, i);
      else if (unpaired && cluster_chance (cluster, 10))
        job_begin_key_reuse (cluster, i);
      else
        job_begin (cluster, i);
      schedule (cluster, (int64_t)cluster_random (cluster, START_WINDOW_MS),
                attempt_begin, i, 0);
    }
  for (uint32_t i = 0; i < job_count; i++)
    history_add_job (cluster->history, &cluster->jobs[i].recorded);
}

void
callers_record_unanswered (struct cluster *cluster)
{
  for (uint32_t i = 0; i < cluster->job_count; i++)
    for (uint32_t k = 0; k < cluster->jobs[i].attempt_count; k++)
      if (!cluster->jobs[i].attempts[k].final)
        record_event (cluster, HISTORY_NO_ANSWER, i, k);
}
