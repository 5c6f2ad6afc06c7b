#include "entries.h"

#include <glib.h>
#include <string.h>

#include "http/client.h"

#define TIMEOUT_MS 2000
/* When to ask another address if one does not answer. */
#define RETRY_MS 500

struct question
{
  struct http_call_handler base;
  struct entries *entries;
  GString *body;
};

struct entries
{
  struct caller_target *seeds;
  size_t seed_count;
  size_t asked; /* questions so far; the seeds take turns */
  struct caller_target targets[ENTRIES_MAX];
  uint32_t weights[ENTRIES_MAX];
  size_t count;
  int64_t ttl_ms;
  struct loop *loop;
  struct http_context *http;
  char bearer[300];
  struct loop_timer *timer;
  struct http_call *call;
  struct question question;
  bool starting; /* entries_start runs the loop */
};

struct entries *
entries_create (const struct caller_target *seeds, size_t count)
{
  struct entries *e = g_new0 (struct entries, 1);

  e->seeds = g_memdup2 (seeds, count * sizeof *seeds);
  e->seed_count = count;
  return e;
}

void
entries_destroy (struct entries *e)
{
  if (e == NULL)
    return;
  g_free (e->seeds);
  g_free (e);
}

static bool
read_target (const json_t *item, struct caller_target *target,
             uint32_t *weight)
{
  const char *address = json_string_value (json_object_get (item, "address"));
  const char *incarnation
      = json_string_value (json_object_get (item, "incarnation"));
  json_int_t port = json_integer_value (json_object_get (item, "port"));
  json_int_t part = json_integer_value (json_object_get (item, "weight"));

  if (address == NULL || incarnation == NULL || port <= 0 || port > UINT16_MAX
      || part < 0 || part > UINT16_MAX)
    return false;
  g_strlcpy (target->address, address, sizeof target->address);
  g_strlcpy (target->incarnation, incarnation, sizeof target->incarnation);
  target->port = (uint16_t)port;
  *weight = (uint32_t)part;
  return true;
}

bool
entries_take (struct entries *e, const json_t *answer)
{
  struct caller_target targets[ENTRIES_MAX] = { 0 };
  uint32_t weights[ENTRIES_MAX];
  size_t count = 0;
  size_t i;
  json_t *item;

  json_array_foreach (json_object_get (answer, "entries"), i, item)
  {
    if (count < ENTRIES_MAX
        && read_target (item, &targets[count], &weights[count]))
      count++;
  }
  if (count == 0)
    return false;
  memcpy (e->targets, targets, sizeof targets);
  memcpy (e->weights, weights, sizeof weights);
  e->count = count;
  e->ttl_ms = json_integer_value (json_object_get (answer, "ttl_ms"));
  return true;
}

int64_t
entries_ttl_ms (const struct entries *e)
{
  return e->ttl_ms;
}

static uint32_t
weight_sum (const struct entries *e)
{
  uint32_t sum = 0;

  for (size_t i = 0; i < e->count; i++)
    sum += e->weights[i];
  return sum;
}

const struct caller_target *
entries_choose (const struct entries *e, double random)
{
  if (e->count == 0)
    return &e->seeds[(size_t)(random * (double)e->seed_count)];
  uint32_t sum = weight_sum (e);
  if (sum == 0)
    return &e->targets[(size_t)(random * (double)e->count)];
  uint32_t at = (uint32_t)(random * sum);
  size_t i = 0;
  while (at >= e->weights[i])
    at -= e->weights[i++];
  return &e->targets[i];
}

static void ask (void *user);

static void
ask_after (struct entries *e, int64_t delay_ms)
{
  loop_timer_stop (e->timer);
  e->timer = loop_timer_start (e->loop, delay_ms, 0, ask, e);
}

/* An answer, or none: the old one is kept then, as callers do. */
static void
answered (struct entries *e, bool ok)
{
  e->call = NULL;
  g_string_free (e->question.body, TRUE);
  e->question.body = NULL;
  if (ok || e->asked >= e->seed_count)
    {
      if (e->starting)
        loop_quit (e->loop);
      e->starting = false;
    }
  ask_after (e, ok && e->ttl_ms > 0 ? e->ttl_ms : RETRY_MS);
}

static void
take_data (struct http_call_handler *h, struct http_call *call,
           const void *bytes, size_t n)
{
  g_string_append_len (((struct question *)h)->body, bytes, (gssize)n);
}

static void
take_done (struct http_call_handler *h, struct http_call *call)
{
  struct question *q = (struct question *)h;
  json_t *json = json_loadb (q->body->str, q->body->len, 0, NULL);
  bool ok = http_call_status (call) == 200 && entries_take (q->entries, json);

  json_decref (json);
  answered (q->entries, ok);
}

static void
take_failed (struct http_call_handler *h, struct http_call *call, bool sent,
             const char *reason)
{
  answered (((struct question *)h)->entries, false);
}

static const struct http_call_handler_impl impl
    = { .data = take_data, .done = take_done, .failed = take_failed };

static void
ask (void *user)
{
  struct entries *e = user;
  const struct caller_target *seed = &e->seeds[e->asked++ % e->seed_count];
  struct http_header header = { "authorization", e->bearer };
  struct http_request request = { .method = "GET",
                                  .address = seed->address,
                                  .port = seed->port,
                                  .path = "/v1/entry",
                                  .headers = &header,
                                  .header_count = 1,
                                  .timeout_ms = TIMEOUT_MS };

  loop_timer_stop (e->timer);
  e->timer = NULL;
  e->question.base.impl = &impl;
  e->question.entries = e;
  e->question.body = g_string_new (NULL);
  e->call = http_call_start (e->http, &request, &e->question.base);
}

bool
entries_start (struct entries *e, struct loop *loop, struct http_context *http,
               const char *token)
{
  e->loop = loop;
  e->http = http;
  e->starting = true;
  g_snprintf (e->bearer, sizeof e->bearer, "Bearer %s", token);
  ask_after (e, 0);
  loop_run (loop);
  return e->count > 0;
}

void
entries_stop (struct entries *e)
{
  loop_timer_stop (e->timer);
  e->timer = NULL;
  if (e->call == NULL)
    return;
  http_call_cancel (e->call);
  e->call = NULL;
  g_string_free (e->question.body, TRUE);
  e->question.body = NULL;
}
