/* Simulated engines and services, and a record of what they ran. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"

#define EXPORT_MS 900
/* An END is sent after the pieces that were delayed. */
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

/* Sends the event in TASK to the node, if the connection is open. */
void
endpoint_send (struct cluster *cluster, uint32_t connection, struct task *task,
               bool reorder)
{
  const struct connection *c = &cluster->connections[connection];
  int64_t delay_ms = 2;

  if (!c->open)
    return;
  if (reorder && cluster_chance (cluster, cluster->faults.reorder_percent))
    delay_ms += (int64_t)cluster_random (cluster, REORDER_MS);
  task->run = node_deliver_event;
  task->node = c->node;
  task->incarnation = c->incarnation;
  task->event.exchange = c->exchange;
  cluster_schedule (cluster, delay_ms, task);
}

static void
send_failed (struct cluster *cluster, uint32_t connection, bool sent)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_FAILED };

  task.event.failed.sent = sent;
  task.event.failed.reason = "reset";
  endpoint_send (cluster, connection, &task, false);
  cluster->connections[connection].open = false;
}

static void
send_refused (struct cluster *cluster, uint32_t connection)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_REFUSED };

  task.event.refused.retry_after_ms = 100;
  endpoint_send (cluster, connection, &task, false);
  cluster->connections[connection].open = false;
}

static void
send_data (struct cluster *cluster, uint32_t connection, uint64_t offset,
           const char *bytes, size_t count, uint32_t attempt)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_DATA };

  /* A faulty engine loses a piece. */
  if (cluster_chance (cluster, cluster->faults.disconnect_percent)
      && cluster_chance (cluster, 10))
    return;
  task.event.data.offset = offset;
  task.event.data.bytes_count = count;
  task.event.data.tokens = 1;
  task.event.data.attempt = attempt;
  memcpy (task.text, bytes, count);
  endpoint_send (cluster, connection, &task, true);
}

static void
send_end (struct cluster *cluster, uint32_t connection, uint64_t bytes)
{
  struct task task = { .event.type = BERYL_EVENT_EXCHANGE_END };

  task.event.end.answer_bytes = bytes;
  endpoint_send (cluster, connection, &task, false);
  cluster->connections[connection].open = false;
}

/* Records the start of a run, whose answer is unique. */
static void
record_run (struct cluster *cluster, const struct connection *c, char *text)
{
  struct history_event event = {
    .type = HISTORY_RUN,
    .job = c->job,
    .attempt = c->attempt,
    .run = cluster->run_count++,
    .endpoint = c->endpoint,
    .text = text,
  };
  uint64_t bytes = 20 + cluster_random (cluster, 60);
  int n = snprintf (text, TEXT_BYTES, "j%u-r%u:", c->job, event.run);

  for (uint64_t i = (uint64_t)n; i < bytes; i++)
    text[i] = (char)('a' + cluster_random (cluster, 26));
  text[bytes] = '\0';
  cluster_record (cluster, &event);
}

static void
service_answers (struct cluster *cluster, const struct task *task)
{
  struct connection *c = &cluster->connections[task->a];
  struct task head = { .event.type = BERYL_EVENT_EXCHANGE_HEAD };
  size_t bytes = strlen (task->text);

  if (cluster->endpoints[c->endpoint].restarts != task->number)
    return;
  if (cluster_chance (cluster, cluster->faults.disconnect_percent))
    {
      send_failed (cluster, task->a, true);
      return;
    }
  head.event.head.status = 200;
  endpoint_send (cluster, task->a, &head, false);
  send_data (cluster, task->a, 0, task->text, bytes / 2, 0);
  send_data (cluster, task->a, bytes / 2, task->text + bytes / 2,
             bytes - bytes / 2, 0);
  c = &cluster->connections[task->a];
  if (c->open)
    {
      struct task end = { .event.type = BERYL_EVENT_EXCHANGE_END };

      end.event.end.answer_bytes = bytes;
      end.run = node_deliver_event;
      end.node = c->node;
      end.incarnation = c->incarnation;
      end.event.exchange = c->exchange;
      cluster_schedule (cluster, REORDER_MS + 2, &end);
    }
}

static void
service_arrive (struct cluster *cluster, uint32_t connection)
{
  const struct connection *c = &cluster->connections[connection];
  struct task task = { .run = service_answers, .a = connection };

  record_run (cluster, c, task.text);
  task.number = cluster->endpoints[c->endpoint].restarts;
  cluster_schedule (cluster, 2 + (int64_t)cluster_random (cluster, 150),
                    &task);
}

static struct stream *
stream_find (struct cluster *cluster, uint32_t endpoint,
             struct beryl_stream_id id)
{
  struct endpoint *e = &cluster->endpoints[endpoint];

  for (int i = 0; i < STREAMS_MAX; i++)
    if (e->streams[i].used && e->streams[i].id.counter == id.counter
        && e->streams[i].id.incarnation == id.incarnation)
      return &e->streams[i];
  return NULL;
}

/* Engine memory is occupied: the control daemon must already know the stream,
 * in case the node dies now. */
static void
check_hold_reported (struct cluster *cluster, const struct connection *c)
{
  const struct node *node = node_find (cluster, c->node, c->incarnation);
  const struct beryl_hold_window *reported;
  struct history_event event = { .type = HISTORY_HOLD_UNREPORTED };
  char text[64];

  if (node == NULL)
    return;
  reported = &node->reported[c->endpoint];
  if (reported->from <= c->stream.counter && c->stream.counter <= reported->to
      && reported->incarnation == c->incarnation)
    return;
  snprintf (text, sizeof text, "stream %" PRIu64 "/%" PRIu64,
            c->stream.incarnation, c->stream.counter);
  event.endpoint = c->endpoint;
  event.text = text;
  cluster_record (cluster, &event);
}

static struct stream *
stream_open (struct cluster *cluster, uint32_t connection)
{
  const struct connection *c = &cluster->connections[connection];
  struct endpoint *e = &cluster->endpoints[c->endpoint];

  check_hold_reported (cluster, c);
  for (int i = 0; i < STREAMS_MAX; i++)
    {
      struct stream *s = &e->streams[i];

      if (s->used)
        continue;
      memset (s, 0, sizeof *s);
      s->used = true;
      s->id = c->stream;
      s->connection = connection;
      s->job = c->job;
      s->attempt = c->attempt;
      s->generation = ++cluster->last_generation;
      return s;
    }
  abort ();
}

static struct stream *
stream_of_task (struct cluster *cluster, const struct task *task)
{
  struct stream *s = &cluster->endpoints[task->a].streams[task->b];

  return s->used && s->generation == task->number ? s : NULL;
}

static void
stream_after (struct cluster *cluster, uint32_t endpoint, struct stream *s,
              int64_t delay_ms, task_run run)
{
  struct task task
      = { .run = run,
          .a = endpoint,
          .b = (uint32_t)(s - cluster->endpoints[endpoint].streams),
          .number = s->generation };

  cluster_schedule (cluster, delay_ms, &task);
}

static void
export_expires (struct cluster *cluster, const struct task *task)
{
  struct stream *s = stream_of_task (cluster, task);

  if (s != NULL && s->phase == STREAM_EXPORTED)
    s->used = false;
}

static void
prefill_done (struct cluster *cluster, const struct task *task)
{
  struct stream *s = stream_of_task (cluster, task);
  struct task done = { .event.type = BERYL_EVENT_PREFILL_DONE };

  if (s == NULL)
    return;
  s->phase = STREAM_EXPORTED;
  stream_after (cluster, task->a, s, EXPORT_MS, export_expires);
  if (cluster_chance (cluster, cluster->faults.disconnect_percent))
    send_failed (cluster, s->connection, true);
  else
    endpoint_send (cluster, s->connection, &done, false);
  cluster->connections[s->connection].open = false;
}

static void
prefill_arrive (struct cluster *cluster, uint32_t connection)
{
  struct connection *c = &cluster->connections[connection];
  struct stream *s = stream_open (cluster, connection);

  s->phase = STREAM_PREFILL;
  record_run (cluster, c, s->text);
  stream_after (cluster, c->endpoint, s,
                30 + (int64_t)cluster_random (cluster, 300), prefill_done);
}

static void
decode_step (struct cluster *cluster, const struct task *task)
{
  struct stream *s = stream_of_task (cluster, task);
  struct connection *c;
  size_t text_bytes, count;

  if (s == NULL)
    return;
  c = &cluster->connections[s->connection];
  /* Nobody reads: the stream stalls and holds its memory. */
  if (!c->open || c->paused)
    return;
  if (cluster_chance (cluster, cluster->faults.disconnect_percent / 3))
    {
      send_failed (cluster, s->connection, true);
      return;
    }
  text_bytes = strlen (s->text);
  count = 3 + cluster_random (cluster, 10);
  if (count > text_bytes - s->produced)
    count = text_bytes - s->produced;
  if (count == 0)
    {
      send_end (cluster, s->connection, text_bytes);
      s->used = false;
      return;
    }
  send_data (cluster, s->connection, s->produced, s->text + s->produced, count,
             c->decode_attempt);
  if (cluster_chance (cluster, cluster->faults.reorder_percent))
    send_data (cluster, s->connection, s->produced, s->text + s->produced,
               count, c->decode_attempt);
  s->produced += count;
  stream_after (cluster, task->a, s,
                s->produced == text_bytes ? REORDER_MS + 5
                : s->slow                 ? 1500
                          : 10 + (int64_t)cluster_random (cluster, 100),
                decode_step);
}

void
endpoint_resume_reading (struct cluster *cluster, uint32_t connection)
{
  struct connection *c = &cluster->connections[connection];
  struct stream *s = stream_find (cluster, c->endpoint, c->stream);

  if (s == NULL || s->connection != connection)
    return;
  s->generation = ++cluster->last_generation;
  stream_after (cluster, c->endpoint, s, 5, decode_step);
}

/* The engine still has the stream.  It first flushes a piece of the previous
 * attempt on the new connection, as real engines do. */
static void
decode_resume (struct cluster *cluster, uint32_t connection, struct stream *s)
{
  struct connection *c = &cluster->connections[connection];

  s->connection = connection;
  s->produced = c->offset;
  s->generation = ++cluster->last_generation;
  send_data (cluster, connection, c->offset, "####", 4, c->decode_attempt - 1);
  stream_after (cluster, c->endpoint, s, 10, decode_step);
}

static void
decode_arrive (struct cluster *cluster, uint32_t connection)
{
  struct connection *c = &cluster->connections[connection];
  struct stream *s = stream_find (cluster, c->endpoint, c->stream);
  struct stream *exported
      = stream_find (cluster, endpoint_number (c->kv_endpoint), c->stream);

  if (s != NULL)
    {
      decode_resume (cluster, connection, s);
      return;
    }
  if (exported == NULL || exported->phase != STREAM_EXPORTED || c->offset > 0)
    {
      send_refused (cluster, connection);
      return;
    }
  s = stream_open (cluster, connection);
  s->phase = STREAM_DECODE;
  s->slow = cluster_chance (cluster, 10);
  memcpy (s->text, exported->text, sizeof s->text);
  stream_after (cluster, c->endpoint, s,
                5 + (int64_t)cluster_random (cluster, 60), decode_step);
}

void
endpoint_receive (struct cluster *cluster, const struct task *task)
{
  struct connection *c = &cluster->connections[task->a];

  /* Bytes already in the kernel may arrive after an abort. */
  if (!c->open && cluster_chance (cluster, 50))
    return;
  if (!cluster->endpoints[c->endpoint].up)
    send_failed (cluster, task->a, false);
  else if (cluster_chance (cluster, cluster->faults.refuse_percent))
    send_refused (cluster, task->a);
  else if (task->b == BERYL_ACTION_SERVICE)
    service_arrive (cluster, task->a);
  else if (task->b == BERYL_ACTION_PREFILL)
    prefill_arrive (cluster, task->a);
  else
    decode_arrive (cluster, task->a);
}

void
endpoint_crash (struct cluster *cluster, uint32_t number)
{
  struct endpoint *e = &cluster->endpoints[number];

  e->up = false;
  e->restarts++;
  memset (e->streams, 0, sizeof e->streams);
  for (uint32_t i = 0; i < cluster->connection_count; i++)
    if (cluster->connections[i].open
        && cluster->connections[i].endpoint == number)
      send_failed (cluster, i, true);
}

void
endpoint_restart (struct cluster *cluster, const struct task *task)
{
  cluster->endpoints[task->a].up = true;
}

void
endpoint_cancel (struct cluster *cluster, uint32_t number,
                 uint64_t incarnation, uint64_t from, uint64_t to)
{
  struct endpoint *e = &cluster->endpoints[number];

  for (int i = 0; i < STREAMS_MAX; i++)
    if (e->streams[i].id.incarnation == incarnation
        && from <= e->streams[i].id.counter && e->streams[i].id.counter <= to)
      e->streams[i].used = false;
}

uint64_t
endpoint_held (const struct cluster *cluster, uint32_t number,
               uint64_t incarnation, uint64_t from, uint64_t to)
{
  const struct endpoint *e = &cluster->endpoints[number];
  uint64_t held = 0;

  for (int i = 0; i < STREAMS_MAX; i++)
    held += e->streams[i].used && e->streams[i].id.incarnation == incarnation
            && from <= e->streams[i].id.counter
            && e->streams[i].id.counter <= to;
  return held;
}

static void
record_leak (struct cluster *cluster, uint32_t endpoint,
             const struct stream *s)
{
  struct history_event event
      = { .type = HISTORY_HOLD_LEAKED, .endpoint = endpoint };
  char text[64];

  snprintf (text, sizeof text, "stream %" PRIu64 "/%" PRIu64 " of job %u",
            s->id.incarnation, s->id.counter, s->job);
  event.text = text;
  cluster_record (cluster, &event);
}

/* Records memory still held for an attempt whose caller has disconnected. */
void
endpoint_record_leaks_for (struct cluster *cluster, uint32_t job,
                           uint32_t attempt)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    for (int k = 0; k < STREAMS_MAX; k++)
      {
        const struct stream *s = &cluster->endpoints[i].streams[k];

        if (s->used && s->job == job && s->attempt == attempt)
          record_leak (cluster, i, s);
      }
}

/* Records memory that is still held at the end of a run, when all calls have
 * ended. */
void
endpoint_record_leaks (struct cluster *cluster)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    for (int k = 0; k < STREAMS_MAX; k++)
      {
        const struct stream *s = &cluster->endpoints[i].streams[k];

        if (s->used)
          record_leak (cluster, i, s);
      }
}
