#include "fake.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operation.h"

#define WAIT_POLL_MS 20

enum message_type
{
  MESSAGE_REQUEST,
  MESSAGE_REPLY,
  MESSAGE_TIMEOUT,
};

struct fake_message
{
  struct fake_message *next;
  enum message_type type;
  int64_t at_ms;
  struct fake_client *client;
  uint64_t call;
  struct operation *op;
  int64_t wait_until_ms; /* end of a watch's long poll */
  unsigned int status;
  int64_t retry_after_ms;
  char *body;
};

uint64_t
fake_random (struct fake *f, uint64_t limit)
{
  f->random = f->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (f->random >> 33) % limit;
}

static int64_t
delay_ms (struct fake *f)
{
  int64_t most = f->faults.delay_max_ms > 1 ? f->faults.delay_max_ms : 1;

  return 1 + (int64_t)fake_random (f, (uint64_t)most);
}

static void
message_insert (struct fake *f, struct fake_message *m)
{
  struct fake_message **link = &f->messages;

  while (*link && (*link)->at_ms <= m->at_ms)
    link = &(*link)->next;
  m->next = *link;
  *link = m;
}

static struct fake_message *
message_new (struct fake_client *c, enum message_type type, uint64_t call,
             int64_t at_ms)
{
  struct fake_message *m = calloc (1, sizeof *m);

  m->client = c;
  m->type = type;
  m->call = call;
  m->at_ms = at_ms;
  return m;
}

static void
message_free (struct fake_message *m)
{
  operation_destroy (m->op);
  free (m->body);
  free (m);
}

static void
client_send (struct beryl_platform_handler *handler,
             const struct beryl_platform_call *call)
{
  struct fake_client *c = (struct fake_client *)handler;
  struct fake *f = c->fake;
  struct fake_message *m
      = message_new (c, MESSAGE_REQUEST, call->id, f->now_ms + delay_ms (f));

  c->sent++;
  m->op = operation_create (call->method, call->path, call->if_match,
                            call->if_none_match, call->body, call->body_bytes);
  ck_assert_ptr_nonnull (m->op);
  if (operation_type_writes (m->op->type))
    m->at_ms += f->faults.write_delay_ms;
  m->wait_until_ms = f->now_ms + m->op->wait_ms;
  message_insert (f, message_new (c, MESSAGE_TIMEOUT, call->id,
                                  f->now_ms + call->timeout_ms));
  if (fake_random (f, 100) < f->faults.lose_request_percent)
    message_free (m);
  else
    message_insert (f, m);
}

static void
client_abort (struct beryl_platform_handler *handler, uint64_t call)
{
  /* As with a closed connection, a call in transit may still take effect. */
}

static void
client_result (struct beryl_platform_handler *handler,
               const struct beryl_platform_result *result)
{
  struct fake_client *c = (struct fake_client *)handler;
  struct fake_result *r = &c->results[c->result_count++];

  ck_assert_uint_lt (c->result_count, FAKE_RESULTS_MAX);
  *r = (struct fake_result){ .request = result->request,
                             .code = result->code,
                             .version = result->version,
                             .overwritten = result->overwritten,
                             .object_count = result->object_count,
                             .at_ms = c->fake->now_ms };
  if (result->object_count > 0)
    snprintf (r->value, sizeof r->value, "%s", result->objects[0].value);
  if (c->on_result)
    c->on_result (c, result);
}

static void
client_event (struct beryl_platform_handler *handler,
              const struct beryl_platform_event *event)
{
  struct fake_client *c = (struct fake_client *)handler;
  size_t used = strlen (c->events);

  snprintf (c->events + used, sizeof c->events - used, "%s%s%s",
            used ? " " : "", event->deleted ? "-" : "+", event->object.name);
}

static void
client_synced (struct beryl_platform_handler *handler, uint64_t watch,
               uint64_t revision)
{
  struct fake_client *c = (struct fake_client *)handler;

  ck_assert_uint_ge (revision, c->revision);
  c->revision = revision;
  c->syncs++;
}

static void
client_instances (struct beryl_platform_handler *handler, uint64_t watch,
                  uint64_t revision, const struct beryl_instance *items,
                  size_t count)
{
  ((struct fake_client *)handler)->instances = (uint32_t)count;
}

static const struct beryl_platform_handler_impl client_impl
    = { client_send,  client_abort,  client_result,
        client_event, client_synced, client_instances };

void
fake_init (struct fake *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  f->now_ms = 1000;
  f->random = seed;
  f->store = store_create ();
  f->instances = store_create ();
}

struct fake_client *
fake_add (struct fake *f, const struct beryl_platform_settings *settings)
{
  struct fake_client *c = &f->clients[f->client_count++];

  ck_assert_uint_le (f->client_count, FAKE_CLIENTS_MAX);
  c->base.impl = &client_impl;
  c->fake = f;
  c->core = beryl_platform_create (settings, &c->base, fake_random (f, 1000));
  return c;
}

void
fake_crash (struct fake_client *c)
{
  beryl_platform_destroy (c->core);
  c->core = NULL;
}

/** Send an answer, which may be lost. */
static void
reply (struct fake *f, struct fake_message *request, unsigned int status,
       const char *body)
{
  struct fake_message *m = message_new (
      request->client, MESSAGE_REPLY, request->call, f->now_ms + delay_ms (f));

  m->status = status;
  m->retry_after_ms
      = status == 429 && !f->faults.limit_without_delay ? 1000 : 0;
  m->body = strdup (body);
  if (fake_random (f, 100) < f->faults.lose_reply_percent)
    message_free (m);
  else
    message_insert (f, m);
}

/** Answer a watch whose long poll ended without events. */
static void
reply_no_events (struct fake *f, struct fake_message *m)
{
  char body[64];

  snprintf (body, sizeof body, "{\"revision\":%llu,\"events\":[]}",
            (unsigned long long)store_revision_at (f->store, f->now_ms));
  reply (f, m, 200, body);
}

/** Answer a long poll of the instance list; by the API the answer has the full
 * list even if nothing changed. */
static void
reply_unchanged_instances (struct fake *f, struct fake_message *m)
{
  struct answer answer = { 0 };

  m->op->wait_ms = 0;
  operation_run (m->op, f->store, f->instances, f->now_ms, f->now_ms,
                 f->now_ms, &answer);
  reply (f, m, answer.status, answer.body);
  free (answer.body);
}

/** Execute a request at the platform; return true if it must keep waiting. */
static bool
request_arrives (struct fake *f, struct fake_message *m)
{
  struct answer answer = { 0 };
  int64_t age_ms
      = f->faults.stale_max_ms > 0
            ? (int64_t)fake_random (f, (uint64_t)f->faults.stale_max_ms + 1)
            : 0;

  if (f->faults.hang)
    return false;
  if (f->faults.outage)
    reply (f, m, 503, "{}");
  else if (f->faults.limit_next > 0)
    {
      f->faults.limit_next--;
      reply (f, m, 429, "{}");
    }
  else if (operation_run (m->op, f->store, f->instances, f->now_ms,
                          f->now_ms - age_ms, f->now_ms, &answer))
    {
      reply (f, m, answer.status, answer.body);
      free (answer.body);
    }
  else if (f->now_ms < m->wait_until_ms)
    return true;
  else if (m->op->type == OPERATION_INSTANCES)
    reply_unchanged_instances (f, m);
  else
    reply_no_events (f, m);
  return false;
}

static void
message_deliver (struct fake *f, struct fake_message *m)
{
  struct beryl_platform *core = m->client->core;

  if (m->type == MESSAGE_REQUEST && request_arrives (f, m))
    {
      m->at_ms = f->now_ms + WAIT_POLL_MS;
      message_insert (f, m);
      return;
    }
  if (core && m->type == MESSAGE_REPLY)
    beryl_platform_answer (core, m->call, m->status, m->retry_after_ms,
                           m->body, strlen (m->body), f->now_ms);
  if (core && m->type == MESSAGE_TIMEOUT)
    beryl_platform_failed (core, m->call, true, f->now_ms);
  message_free (m);
}

/** Return the time of the next event, at most END_MS. */
static int64_t
next_event_ms (const struct fake *f, int64_t end_ms)
{
  int64_t next_ms = end_ms;

  if (f->messages && f->messages->at_ms < next_ms)
    next_ms = f->messages->at_ms;
  for (size_t i = 0; i < f->client_count; i++)
    {
      int64_t at_ms = f->clients[i].core
                          ? beryl_platform_next_ms (f->clients[i].core)
                          : INT64_MAX;

      if (at_ms < next_ms)
        next_ms = at_ms;
    }
  return next_ms > f->now_ms ? next_ms : f->now_ms;
}

/** Handle all that is due; return the number of events handled. */
static uint32_t
step (struct fake *f)
{
  uint32_t done = 0;

  while (f->messages && f->messages->at_ms <= f->now_ms)
    {
      struct fake_message *m = f->messages;

      f->messages = m->next;
      message_deliver (f, m);
      done++;
    }
  for (size_t i = 0; i < f->client_count; i++)
    {
      struct beryl_platform *core = f->clients[i].core;

      if (!core || beryl_platform_next_ms (core) > f->now_ms)
        continue;
      beryl_platform_tick (core, f->now_ms);
      done++;
    }
  return done;
}

void
fake_run (struct fake *f, int64_t end_ms)
{
  uint32_t spins = 0;

  while (f->now_ms < end_ms)
    {
      int64_t next_ms = next_event_ms (f, end_ms);

      /* A client that requests endless ticks at the same time has a bug. */
      spins = next_ms == f->now_ms ? spins + 1 : 0;
      ck_assert_uint_lt (spins, 10000);
      f->now_ms = next_ms;
      step (f);
    }
}

const struct fake_result *
fake_wait (struct fake_client *c, uint64_t request)
{
  int64_t end_ms = c->fake->now_ms + 60000;

  while (c->fake->now_ms < end_ms)
    {
      for (size_t i = 0; i < c->result_count; i++)
        if (c->results[i].request == request)
          return &c->results[i];
      fake_run (c->fake, c->fake->now_ms + 1);
    }
  ck_abort_msg ("request %llu has no result", (unsigned long long)request);
  return NULL;
}

void
fake_destroy (struct fake *f)
{
  for (size_t i = 0; i < f->client_count; i++)
    beryl_platform_destroy (f->clients[i].core);
  while (f->messages)
    {
      struct fake_message *m = f->messages;

      f->messages = m->next;
      message_free (m);
    }
  store_destroy (f->store);
  store_destroy (f->instances);
}
