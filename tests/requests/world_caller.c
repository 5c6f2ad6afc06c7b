/* Callers: they ask, read, lose patience, ask again with their key, and fetch
 * the rest of an answer that was cut. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define ASKING_MS 14000
#define PLAIN_DEADLINE_MS 2000
#define MODEL_DEADLINE_MS 9000
/* Nobody comes back in the last part of a run. */
#define QUIET_MS 28000
/* How long after its deadline a caller waits for a final answer. */
#define SLACK_MS 1500

static void begin_try (struct world *world, const struct task *task);

static void
later (struct world *world, int64_t delay_ms, task_run run, uint32_t job,
       uint32_t attempt)
{
  struct task task = { .run = run, .a = job, .b = attempt };

  world_after (world, delay_ms, &task);
}

static void
note (struct world *world, enum history_type type, uint32_t job,
      uint32_t attempt)
{
  struct history_event event
      = { .type = type, .job = job, .attempt = attempt };

  world_note (world, &event);
}

/* The caller's answer so far was not enough: it may come back. */
static void
come_back (struct world *world, uint32_t job, uint32_t percent)
{
  struct job *j = &world->jobs[job];
  bool may = j->facts.keyed || !j->facts.non_idempotent;
  int64_t delay_ms = 50 + (int64_t)world_random (world, 900);

  if (world->now_ms > world->end_ms - QUIET_MS)
    return;
  if (world_chance (world, 15))
    delay_ms += (int64_t)world_random (world, 12000);
  if (j->try_count < TRIES_MAX && may && world_chance (world, percent))
    later (world, delay_ms, begin_try, job, 0);
}

static void
send_gone (struct world *world, const struct try *t)
{
  struct task task
      = { .run = node_event, .node = t->node, .incarnation = t->incarnation };

  task.event.type = BERYL_EVENT_CALLER_GONE;
  task.event.request = t->handle;
  world_after (world, world_delay_ms (world), &task);
}

/* A node that worked all the time has freed what its caller held. */
static void
memory_is_free (struct world *world, const struct task *task)
{
  const struct try *t = &world->jobs[task->a].tries[task->b];
  const struct node *node = node_of (world, t->node, t->incarnation);

  if (node != NULL && node->paused_until_ms + RELEASE_MS < world->now_ms)
    endpoint_note_held_for (world, task->a, task->b);
}

static void
leave (struct world *world, uint32_t job, uint32_t attempt)
{
  struct try *t = &world->jobs[job].tries[attempt];

  t->final = true;
  note (world, HISTORY_LEFT, job, attempt);
  if (t->arrived)
    {
      send_gone (world, t);
      later (world, RELEASE_MS, memory_is_free, job, attempt);
    }
  come_back (world, job, 70);
}

static void
lose_patience (struct world *world, const struct task *task)
{
  if (!world->jobs[task->a].tries[task->b].final)
    leave (world, task->a, task->b);
}

/* Nobody may be left without a final answer by a node that works. */
static void
wait_ends (struct world *world, const struct task *task)
{
  const struct try *t = &world->jobs[task->a].tries[task->b];
  const struct node *node;

  if (t->final)
    return;
  node = node_of (world, t->node, t->incarnation);
  if (node != NULL && t->arrived
      && node->paused_until_ms + SLACK_MS < world->now_ms)
    note (world, HISTORY_LATE, task->a, task->b);
  leave (world, task->a, task->b);
}

static uint32_t
choose_node (struct world *world, uint32_t other_than)
{
  uint32_t chosen = other_than;

  for (int i = 0; i < 20; i++)
    {
      chosen = (uint32_t)world_random (world, NODES);
      if (world->nodes[chosen].up && !world->nodes[chosen].leaving
          && chosen != other_than)
        break;
    }
  return chosen;
}

static void
take_call (struct world *world, struct node *node, uint32_t job,
           uint32_t attempt)
{
  struct job *j = &world->jobs[job];
  struct beryl_event event = { .type = BERYL_EVENT_CALL };
  bool plain = j->service[0] == 's' || j->service[0] == 'l';
  int64_t allowed_ms = plain ? PLAIN_DEADLINE_MS : MODEL_DEADLINE_MS;
  char request_id[32];

  snprintf (request_id, sizeof request_id, "j%ut%u", job, attempt);
  event.call = (struct beryl_call){
    .request = j->tries[attempt].handle,
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
    .deadline_ms = world->now_ms + allowed_ms,
    .stream = j->stream,
    .prompt = j->body,
    .prompt_bytes = strlen (j->body),
    .prompt_tokens = 100,
    .max_tokens = 50,
  };
  later (world, allowed_ms + SLACK_MS, wait_ends, job, attempt);
  beryl_requests_handle_event (node->requests, &event, world->now_ms);
}

static void
take_fetch (struct world *world, struct node *node, uint32_t job,
            uint32_t attempt)
{
  struct job *j = &world->jobs[job];
  struct beryl_event event = { .type = BERYL_EVENT_FETCH };

  event.request = j->tries[attempt].handle;
  event.fetch.organisation = j->organisation;
  event.fetch.request_id = j->key;
  if (attempt > 0 && !j->tries[attempt - 1].fetch)
    event.fetch.offset = j->tries[attempt - 1].received;
  j->tries[attempt].received = 0;
  later (world, SLACK_MS, wait_ends, job, attempt);
  beryl_requests_handle_event (node->requests, &event, world->now_ms);
}

static void
refuse_connection (struct world *world, uint32_t job, uint32_t attempt)
{
  world->jobs[job].tries[attempt].final = true;
  come_back (world, job, 90);
}

static void
try_arrives (struct world *world, const struct task *task)
{
  struct job *j = &world->jobs[task->a];
  struct try *t = &j->tries[task->b];
  struct node *node = &world->nodes[t->node];
  struct task again = *task;

  if (t->final)
    return;
  if (!node->up)
    {
      refuse_connection (world, task->a, task->b);
      return;
    }
  if (node->paused_until_ms > world->now_ms)
    {
      world_after (world, node->paused_until_ms - world->now_ms, &again);
      return;
    }
  t->arrived = true;
  t->incarnation = node->incarnation;
  t->handle = ++node->last_handle;
  node->drained = false;
  if (t->fetch)
    take_fetch (world, node, task->a, task->b);
  else
    take_call (world, node, task->a, task->b);
  node_schedule (node);
}

static struct try *
new_try (struct world *world, uint32_t job, uint32_t node)
{
  struct job *j = &world->jobs[job];
  struct try *t = &j->tries[j->try_count++];

  t->node = node;
  note (world, HISTORY_ASKED, job, j->try_count - 1);
  return t;
}

static void
begin_try (struct world *world, const struct task *task)
{
  struct job *j = &world->jobs[task->a];
  uint32_t node;

  if (j->try_count == TRIES_MAX)
    return;
  node = choose_node (world, NODES);
  if (j->try_count > 0 && world_chance (world, 40))
    node = j->tries[0].node;
  if (j->key_kind == BERYL_KEY_BOUND && j->key_incarnation == 0)
    {
      size_t n = strlen (j->key);

      j->key_incarnation = world->nodes[node].incarnation;
      snprintf (j->key + n, sizeof j->key - n, "-%llu",
                (unsigned long long)j->key_incarnation);
    }
  new_try (world, task->a, node);
  /* Some act on a discovery answer that is some time old. */
  later (world,
         world_chance (world, 30)
             ? (int64_t)world_random (world, DISCOVERY_TTL_MS)
             : world_delay_ms (world),
         try_arrives, task->a, j->try_count - 1);
  if (!j->patient)
    later (world, (int64_t)world_random (world, 1200), lose_patience, task->a,
           j->try_count - 1);
}

static void
begin_fetch (struct world *world, uint32_t job, uint32_t node)
{
  struct job *j = &world->jobs[job];

  if (j->try_count == TRIES_MAX)
    return;
  new_try (world, job, node)->fetch = true;
  later (world, world_delay_ms (world), try_arrives, job, j->try_count - 1);
}

static bool
find_try (struct node *node, uint64_t handle, uint32_t *job, uint32_t *attempt)
{
  struct world *world = node->world;

  for (uint32_t i = 0; i < world->job_count; i++)
    for (uint32_t k = 0; k < world->jobs[i].try_count; k++)
      {
        const struct try *t = &world->jobs[i].tries[k];

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
on_bytes (struct node *node, uint32_t job, uint32_t attempt,
          const struct beryl_action *action)
{
  struct world *world = node->world;
  struct try *t = &world->jobs[job].tries[attempt];
  struct task drained = { .run = node_event,
                          .node = node->number,
                          .incarnation = node->incarnation };
  struct history_event event = { .type = HISTORY_BYTES,
                                 .job = job,
                                 .attempt = attempt,
                                 .offset = action->data.offset };
  size_t count = action->data.bytes_count;
  bool broken = !world->jobs[job].patient && world_chance (world, 15);
  char text[TEXT_BYTES * 2];

  if (broken)
    count /= 2;
  snprintf (text, sizeof text, "%.*s", (int)count,
            (const char *)action->data.bytes);
  event.text = text;
  world_note (world, &event);
  t->received += count;
  if (broken)
    {
      leave (world, job, attempt);
      return;
    }
  drained.event.type = BERYL_EVENT_CALLER_DRAINED;
  drained.event.request = t->handle;
  world_after (
      world, world->jobs[job].patient ? 4 : (int64_t)world_random (world, 400),
      &drained);
}

static void
on_whole (struct node *node, uint32_t job, uint32_t attempt)
{
  struct world *world = node->world;
  struct job *j = &world->jobs[job];
  struct task drained = { .run = node_event,
                          .node = node->number,
                          .incarnation = node->incarnation };

  j->tries[attempt].final = true;
  j->whole = true;
  note (world, HISTORY_ENDED, job, attempt);
  drained.event.type = BERYL_EVENT_CALLER_DRAINED;
  drained.event.request = j->tries[attempt].handle;
  world_after (world, 4, &drained);
  if (!j->facts.keyed)
    return;
  come_back (world, job, 15);
  if (world_chance (world, 15))
    begin_fetch (world, job, node->number);
}

static void
on_problem (struct node *node, uint32_t job, uint32_t attempt,
            const struct beryl_action *action)
{
  struct world *world = node->world;
  struct history_event event = {
    .type = HISTORY_TOLD,
    .job = job,
    .attempt = attempt,
    .outcome = action->error.outcome,
    .problem = action->error.problem,
  };

  world->jobs[job].tries[attempt].final = true;
  world_note (world, &event);
  if (action->error.outcome == BERYL_OUTCOME_ANSWERED
      && !world->jobs[job].whole && !world->jobs[job].tries[attempt].fetch)
    begin_fetch (world, job, node->number);
  else if (!world->jobs[job].tries[attempt].fetch)
    come_back (world, job, 60);
}

void
caller_reply (struct node *node, const struct beryl_action *action)
{
  uint32_t job, attempt;

  if (!find_try (node, action->request, &job, &attempt))
    return;
  switch (action->type)
    {
    case BERYL_ACTION_REPLY_DATA:
      on_bytes (node, job, attempt, action);
      return;
    case BERYL_ACTION_REPLY_END:
      on_whole (node, job, attempt);
      return;
    case BERYL_ACTION_REPLY_ERROR:
      on_problem (node, job, attempt, action);
      return;
    case BERYL_ACTION_REPLY_TRUNCATE:
      node->world->jobs[job].tries[attempt].final = true;
      note (node->world, HISTORY_CUT, job, attempt);
      come_back (node->world, job, 70);
      return;
    default:
      return;
    }
}

/* The process of a node ended and its callers' connections broke. */
void
caller_broken (struct world *world, uint32_t number, bool planned)
{
  for (uint32_t i = 0; i < world->job_count; i++)
    for (uint32_t k = 0; k < world->jobs[i].try_count; k++)
      {
        struct try *t = &world->jobs[i].tries[k];
        struct history_event event = {
          .type = HISTORY_BROKEN, .job = i, .attempt = k, .planned = planned
        };

        if (t->final || !t->arrived || t->node != number
            || t->incarnation != world->nodes[number].incarnation)
          continue;
        t->final = true;
        world_note (world, &event);
        come_back (world, i, 80);
      }
}

static void
job_begin (struct world *world, uint32_t id)
{
  static const char *const services[]
      = { "advice", "verdict", "status", "letters", "letters" };
  struct job *j = &world->jobs[id];
  const char *service = world->faults.free_keys
                            ? "letters"
                            : services[world_random (world, 5)];

  snprintf (j->service, sizeof j->service, "%s", service);
  snprintf (j->organisation, sizeof j->organisation, "permits");
  snprintf (j->key, sizeof j->key, "key%u", id);
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->facts.id = id;
  j->facts.non_idempotent = service[0] == 'v' || service[0] == 'l';
  j->stream = world_chance (world, 60);
  j->patient = !world_chance (world, world->faults.leave_percent);
  j->key_kind = world->faults.free_keys
                    ? BERYL_KEY_FREE
                    : (enum beryl_key_kind)world_random (world, 3);
  j->facts.keyed
      = j->key_kind == BERYL_KEY_BOUND
        || (j->key_kind == BERYL_KEY_FREE && j->facts.non_idempotent);
}

/* Another organisation happens to use the key of the job before. */
static void
job_begin_other (struct world *world, uint32_t id)
{
  struct job *j = &world->jobs[id];

  world->jobs[id - 1].paired = true;
  *j = world->jobs[id - 1];
  snprintf (j->organisation, sizeof j->organisation, "radio");
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->facts.id = id;
  j->facts.other_key = world->jobs[id - 1].facts.other_key = true;
}

/* A careless caller uses the key of the job before for another request. */
static void
job_begin_careless (struct world *world, uint32_t id)
{
  struct job *j = &world->jobs[id];

  world->jobs[id - 1].paired = true;
  *j = world->jobs[id - 1];
  snprintf (j->body, sizeof j->body, "body%u", id);
  j->facts.id = id;
}

void
caller_begin (struct world *world, uint32_t job_count)
{
  world->job_count = job_count;
  for (uint32_t i = 0; i < job_count; i++)
    {
      bool alone = i > 0 && !world->jobs[i - 1].paired;

      if (alone && world_chance (world, 15))
        job_begin_other (world, i);
      else if (alone && world_chance (world, 10))
        job_begin_careless (world, i);
      else
        job_begin (world, i);
      later (world, (int64_t)world_random (world, ASKING_MS), begin_try, i, 0);
    }
  for (uint32_t i = 0; i < job_count; i++)
    history_add_job (world->history, &world->jobs[i].facts);
}

void
caller_note_late (struct world *world)
{
  for (uint32_t i = 0; i < world->job_count; i++)
    for (uint32_t k = 0; k < world->jobs[i].try_count; k++)
      if (!world->jobs[i].tries[k].final)
        note (world, HISTORY_LATE, i, k);
}
