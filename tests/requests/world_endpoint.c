/* Fake engines and services, with the ground truth of what they ran. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define EXPORT_MS 900
/* An END comes after the pieces that were held up. */
#define REORDER_MS 40

uint32_t
endpoint_number (const char *name)
{
  static const char *const names[ENDPOINTS]
      = { "p1", "p2", "d1", "d2", "p3", "p4",
          "d3", "d4", "s1", "s2", "l1", "l2" };

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  abort ();
}

/* Sends the event in TASK to the node of a conversation that is open. */
void
endpoint_send (struct world *world, uint32_t conversation, struct task *task,
               bool reorder)
{
  const struct conversation *c = &world->conversations[conversation];
  int64_t delay_ms = 2;

  if (!c->open)
    return;
  if (reorder && world_chance (world, world->faults.reorder_percent))
    delay_ms += (int64_t)world_random (world, REORDER_MS);
  task->run = node_event;
  task->node = c->node;
  task->incarnation = c->incarnation;
  task->event.exchange = c->exchange;
  world_after (world, delay_ms, task);
}

static void
send_failed (struct world *world, uint32_t conversation, bool sent)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_FAILED };

  task.event.failed.sent = sent;
  task.event.failed.reason = "reset";
  endpoint_send (world, conversation, &task, false);
  world->conversations[conversation].open = false;
}

static void
send_refused (struct world *world, uint32_t conversation)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_REFUSED };

  task.event.refused.retry_after_ms = 100;
  endpoint_send (world, conversation, &task, false);
  world->conversations[conversation].open = false;
}

static void
send_data (struct world *world, uint32_t conversation, uint64_t offset,
           const char *bytes, size_t count, uint32_t attempt)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_DATA };

  /* A piece is lost on the way from a faulty engine. */
  if (world_chance (world, world->faults.cut_percent)
      && world_chance (world, 10))
    return;
  task.event.data.offset = offset;
  task.event.data.bytes_count = count;
  task.event.data.tokens = 1;
  task.event.data.attempt = attempt;
  memcpy (task.text, bytes, count);
  endpoint_send (world, conversation, &task, true);
}

static void
send_end (struct world *world, uint32_t conversation, uint64_t bytes)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_END };

  task.event.end.answer_bytes = bytes;
  endpoint_send (world, conversation, &task, false);
  world->conversations[conversation].open = false;
}

/* A run begins: its answer is like no other's. */
static void
note_run (struct world *world, const struct conversation *c, char *text)
{
  struct history_event event = {
    .type = HISTORY_RUN,
    .job = c->job,
    .attempt = c->attempt,
    .run = world->run_count++,
    .endpoint = c->endpoint,
    .text = text,
  };
  uint64_t bytes = 20 + world_random (world, 60);
  int n = snprintf (text, TEXT_BYTES, "j%u-r%u:", c->job, event.run);

  for (uint64_t i = (uint64_t)n; i < bytes; i++)
    text[i] = (char)('a' + world_random (world, 26));
  text[bytes] = '\0';
  world_note (world, &event);
}

static void
service_answers (struct world *world, const struct task *task)
{
  struct conversation *c = &world->conversations[task->a];
  struct task head = { .event.type = BERYL_EVENT_EXCHANGE_HEAD };
  size_t bytes = strlen (task->text);

  if (world->endpoints[c->endpoint].life != task->number)
    return;
  if (world_chance (world, world->faults.cut_percent))
    {
      send_failed (world, task->a, true);
      return;
    }
  head.event.head.status = 200;
  endpoint_send (world, task->a, &head, false);
  send_data (world, task->a, 0, task->text, bytes / 2, 0);
  send_data (world, task->a, bytes / 2, task->text + bytes / 2,
             bytes - bytes / 2, 0);
  c = &world->conversations[task->a];
  if (c->open)
    {
      struct task end = { .event.type = BERYL_EVENT_EXCHANGE_END };

      end.event.end.answer_bytes = bytes;
      end.run = node_event;
      end.node = c->node;
      end.incarnation = c->incarnation;
      end.event.exchange = c->exchange;
      world_after (world, REORDER_MS + 2, &end);
    }
}

static void
service_arrive (struct world *world, uint32_t conversation)
{
  const struct conversation *c = &world->conversations[conversation];
  struct task task = { .run = service_answers, .a = conversation };

  note_run (world, c, task.text);
  task.number = world->endpoints[c->endpoint].life;
  world_after (world, 2 + (int64_t)world_random (world, 150), &task);
}

static struct stream *
stream_find (struct world *world, uint32_t endpoint, struct beryl_stream_id id)
{
  struct endpoint *e = &world->endpoints[endpoint];

  for (int i = 0; i < STREAMS_MAX; i++)
    if (e->streams[i].used && e->streams[i].id.counter == id.counter
        && e->streams[i].id.incarnation == id.incarnation)
      return &e->streams[i];
  return NULL;
}

/* Engine memory is taken; if the node dies now, its keeper must know. */
static void
check_told (struct world *world, const struct conversation *c)
{
  const struct node *node = node_of (world, c->node, c->incarnation);
  const struct beryl_hold_window *told;
  struct history_event event = { .type = HISTORY_UNTOLD };
  char text[64];

  if (node == NULL)
    return;
  told = &node->told[c->endpoint];
  if (told->from <= c->stream.counter && c->stream.counter <= told->to
      && told->incarnation == c->incarnation)
    return;
  snprintf (text, sizeof text, "stream %" PRIu64 "/%" PRIu64,
            c->stream.incarnation, c->stream.counter);
  event.endpoint = c->endpoint;
  event.text = text;
  world_note (world, &event);
}

static struct stream *
stream_open (struct world *world, uint32_t conversation)
{
  const struct conversation *c = &world->conversations[conversation];
  struct endpoint *e = &world->endpoints[c->endpoint];

  check_told (world, c);
  for (int i = 0; i < STREAMS_MAX; i++)
    {
      struct stream *s = &e->streams[i];

      if (s->used)
        continue;
      memset (s, 0, sizeof *s);
      s->used = true;
      s->id = c->stream;
      s->conversation = conversation;
      s->job = c->job;
      s->attempt = c->attempt;
      s->generation = ++world->generations;
      return s;
    }
  abort ();
}

static struct stream *
stream_of_task (struct world *world, const struct task *task)
{
  struct stream *s = &world->endpoints[task->a].streams[task->b];

  return s->used && s->generation == task->number ? s : NULL;
}

static void
stream_after (struct world *world, uint32_t endpoint, struct stream *s,
              int64_t delay_ms, task_run run)
{
  struct task task = { .run = run,
                       .a = endpoint,
                       .b = (uint32_t)(s - world->endpoints[endpoint].streams),
                       .number = s->generation };

  world_after (world, delay_ms, &task);
}

static void
export_expires (struct world *world, const struct task *task)
{
  struct stream *s = stream_of_task (world, task);

  if (s != NULL && s->phase == STREAM_EXPORTED)
    s->used = false;
}

static void
prefill_done (struct world *world, const struct task *task)
{
  struct stream *s = stream_of_task (world, task);
  struct task done = { .event.type = BERYL_EVENT_PREFILL_DONE };

  if (s == NULL)
    return;
  s->phase = STREAM_EXPORTED;
  stream_after (world, task->a, s, EXPORT_MS, export_expires);
  if (world_chance (world, world->faults.cut_percent))
    send_failed (world, s->conversation, true);
  else
    endpoint_send (world, s->conversation, &done, false);
  world->conversations[s->conversation].open = false;
}

static void
prefill_arrive (struct world *world, uint32_t conversation)
{
  struct conversation *c = &world->conversations[conversation];
  struct stream *s = stream_open (world, conversation);

  s->phase = STREAM_PREFILL;
  note_run (world, c, s->text);
  stream_after (world, c->endpoint, s, 30 + (int64_t)world_random (world, 300),
                prefill_done);
}

static void
decode_step (struct world *world, const struct task *task)
{
  struct stream *s = stream_of_task (world, task);
  struct conversation *c;
  size_t whole, count;

  if (s == NULL)
    return;
  c = &world->conversations[s->conversation];
  /* Nobody reads: the stream stands still and holds its memory. */
  if (!c->open || c->paused)
    return;
  if (world_chance (world, world->faults.cut_percent / 3))
    {
      send_failed (world, s->conversation, true);
      return;
    }
  whole = strlen (s->text);
  count = 3 + world_random (world, 10);
  if (count > whole - s->produced)
    count = whole - s->produced;
  if (count == 0)
    {
      send_end (world, s->conversation, whole);
      s->used = false;
      return;
    }
  send_data (world, s->conversation, s->produced, s->text + s->produced, count,
             c->decode_attempt);
  if (world_chance (world, world->faults.reorder_percent))
    send_data (world, s->conversation, s->produced, s->text + s->produced,
               count, c->decode_attempt);
  s->produced += count;
  stream_after (world, task->a, s,
                s->produced == whole ? REORDER_MS + 5
                : s->slow            ? 1500
                                     : 10 + (int64_t)world_random (world, 100),
                decode_step);
}

void
endpoint_resume_reading (struct world *world, uint32_t conversation)
{
  struct conversation *c = &world->conversations[conversation];
  struct stream *s = stream_find (world, c->endpoint, c->stream);

  if (s == NULL || s->conversation != conversation)
    return;
  s->generation = ++world->generations;
  stream_after (world, c->endpoint, s, 5, decode_step);
}

/* The engine still has the stream.  It flushes a piece of the attempt before
 * on the new connection, as engines do. */
static void
decode_resume (struct world *world, uint32_t conversation, struct stream *s)
{
  struct conversation *c = &world->conversations[conversation];

  s->conversation = conversation;
  s->produced = c->offset;
  s->generation = ++world->generations;
  send_data (world, conversation, c->offset, "####", 4, c->decode_attempt - 1);
  stream_after (world, c->endpoint, s, 10, decode_step);
}

static void
decode_arrive (struct world *world, uint32_t conversation)
{
  struct conversation *c = &world->conversations[conversation];
  struct stream *s = stream_find (world, c->endpoint, c->stream);
  struct stream *exported
      = stream_find (world, endpoint_number (c->kv_endpoint), c->stream);

  if (s != NULL)
    {
      decode_resume (world, conversation, s);
      return;
    }
  if (exported == NULL || exported->phase != STREAM_EXPORTED || c->offset > 0)
    {
      send_refused (world, conversation);
      return;
    }
  s = stream_open (world, conversation);
  s->phase = STREAM_DECODE;
  s->slow = world_chance (world, 10);
  memcpy (s->text, exported->text, sizeof s->text);
  stream_after (world, c->endpoint, s, 5 + (int64_t)world_random (world, 60),
                decode_step);
}

void
endpoint_arrive (struct world *world, const struct task *task)
{
  struct conversation *c = &world->conversations[task->a];

  /* Bytes that were handed to the kernel may arrive after an abort. */
  if (!c->open && world_chance (world, 50))
    return;
  if (!world->endpoints[c->endpoint].up)
    send_failed (world, task->a, false);
  else if (world_chance (world, world->faults.refuse_percent))
    send_refused (world, task->a);
  else if (task->b == BERYL_ACTION_SERVICE)
    service_arrive (world, task->a);
  else if (task->b == BERYL_ACTION_PREFILL)
    prefill_arrive (world, task->a);
  else
    decode_arrive (world, task->a);
}

void
endpoint_crash (struct world *world, uint32_t number)
{
  struct endpoint *e = &world->endpoints[number];

  e->up = false;
  e->life++;
  memset (e->streams, 0, sizeof e->streams);
  for (uint32_t i = 0; i < world->conversation_count; i++)
    if (world->conversations[i].open
        && world->conversations[i].endpoint == number)
      send_failed (world, i, true);
}

void
endpoint_restart (struct world *world, const struct task *task)
{
  world->endpoints[task->a].up = true;
}

void
endpoint_cancel (struct world *world, uint32_t number, uint64_t incarnation,
                 uint64_t from, uint64_t to)
{
  struct endpoint *e = &world->endpoints[number];

  for (int i = 0; i < STREAMS_MAX; i++)
    if (e->streams[i].id.incarnation == incarnation
        && from <= e->streams[i].id.counter && e->streams[i].id.counter <= to)
      e->streams[i].used = false;
}

uint64_t
endpoint_held (const struct world *world, uint32_t number,
               uint64_t incarnation, uint64_t from, uint64_t to)
{
  const struct endpoint *e = &world->endpoints[number];
  uint64_t held = 0;

  for (int i = 0; i < STREAMS_MAX; i++)
    held += e->streams[i].used && e->streams[i].id.incarnation == incarnation
            && from <= e->streams[i].id.counter
            && e->streams[i].id.counter <= to;
  return held;
}

static void
note_held (struct world *world, uint32_t endpoint, const struct stream *s)
{
  struct history_event event = { .type = HISTORY_HELD, .endpoint = endpoint };
  char text[64];

  snprintf (text, sizeof text, "stream %" PRIu64 "/%" PRIu64 " of job %u",
            s->id.incarnation, s->id.counter, s->job);
  event.text = text;
  world_note (world, &event);
}

/* The caller of this try left some time ago. */
void
endpoint_note_held_for (struct world *world, uint32_t job, uint32_t attempt)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    for (int k = 0; k < STREAMS_MAX; k++)
      {
        const struct stream *s = &world->endpoints[i].streams[k];

        if (s->used && s->job == job && s->attempt == attempt)
          note_held (world, i, s);
      }
}

/* Everything has ended long ago; whatever is held is held for nobody. */
void
endpoint_note_held (struct world *world)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    for (int k = 0; k < STREAMS_MAX; k++)
      {
        const struct stream *s = &world->endpoints[i].streams[k];

        if (s->used)
          note_held (world, i, s);
      }
}
