#include <stdlib.h>
#include <string.h>

#include "demo.h"

#define REFRESH_TIMEOUT_MS 1000

/* A question to one node. */
struct question
{
  struct http_call_handler base;
  struct demo *demo;
  GString *body;
};

static void
take_entry (struct demo *demo, json_t *item, struct target *target)
{
  const char *address = json_string_value (json_object_get (item, "address"));
  const char *incarnation
      = json_string_value (json_object_get (item, "incarnation"));
  const struct target *old;

  memset (target, 0, sizeof *target);
  g_strlcpy (target->place.address, address != NULL ? address : "",
             sizeof target->place.address);
  g_strlcpy (target->incarnation, incarnation != NULL ? incarnation : "",
             sizeof target->incarnation);
  target->place.port
      = (uint16_t)json_integer_value (json_object_get (item, "port"));
  target->weight
      = (uint32_t)json_integer_value (json_object_get (item, "weight"));
  old = targets_find (demo, &target->place);
  if (old != NULL)
    target->avoid_until_ms = old->avoid_until_ms;
}

/* Targets that are no longer named stay in the list without weight, so that
 * their counts are kept. */
static void
take_answer (struct demo *demo, json_t *root)
{
  json_t *entries = json_object_get (root, "entries");
  size_t i;
  json_t *item;

  if (json_array_size (entries) == 0)
    return;
  for (size_t j = 0; j < demo->target_count; j++)
    demo->targets[j].weight = 0;
  json_array_foreach (entries, i, item)
  {
    struct target fresh;
    struct target *target;

    take_entry (demo, item, &fresh);
    target = targets_find (demo, &fresh.place);
    if (target == NULL && demo->target_count < DEMO_PLACES_MAX)
      target = &demo->targets[demo->target_count++];
    if (target == NULL)
      continue;
    fresh.cut = target->cut;
    *target = fresh;
  }
  demo->ttl_ms = json_integer_value (json_object_get (root, "ttl_ms"));
}

static void
question_data (struct http_call_handler *handler, struct http_call *call,
               const void *bytes, size_t bytes_count)
{
  struct question *q = (struct question *)handler;

  g_string_append_len (q->body, bytes, (gssize)bytes_count);
}

static void
question_free (struct question *q)
{
  g_string_free (q->body, TRUE);
  g_free (q);
}

static void
question_done (struct http_call_handler *handler, struct http_call *call)
{
  struct question *q = (struct question *)handler;
  json_t *root = json_loadb (q->body->str, q->body->len, 0, NULL);

  if (http_call_status (call) == 200 && root != NULL)
    take_answer (q->demo, root);
  json_decref (root);
  question_free (q);
}

static void
question_failed (struct http_call_handler *handler, struct http_call *call,
                 bool sent, const char *reason)
{
  question_free ((struct question *)handler);
}

static const struct http_call_handler_impl question_impl = {
  .data = question_data,
  .done = question_done,
  .failed = question_failed,
};

void
targets_refresh (struct demo *demo)
{
  struct question *q = g_new0 (struct question, 1);
  const struct place *seed = &demo->seeds[g_rand_int_range (
      demo->rand, 0, (gint32)demo->seed_count)];
  struct http_header header = { "authorization", demo->bearer };
  struct http_request request = {
    .method = "GET",
    .address = seed->address,
    .port = seed->port,
    .path = "/v1/entry",
    .headers = &header,
    .header_count = 1,
    .timeout_ms = REFRESH_TIMEOUT_MS,
  };

  q->base.impl = &question_impl;
  q->demo = demo;
  q->body = g_string_new (NULL);
  http_call_start (demo->http, &request, &q->base);
}

struct target *
targets_find (struct demo *demo, const struct place *place)
{
  for (size_t i = 0; i < demo->target_count; i++)
    if (demo->targets[i].place.port == place->port
        && strcmp (demo->targets[i].place.address, place->address) == 0)
      return &demo->targets[i];
  return NULL;
}

static uint32_t
weight_of (const struct demo *demo, const struct target *target,
           int64_t now_ms)
{
  return target->avoid_until_ms > now_ms ? 0 : target->weight;
}

/* Nodes that did not answer are left out for a while; without any other, an
 * address of another data centre, which has no weight, is better than none. */
struct target *
targets_choose (struct demo *demo)
{
  int64_t now_ms = loop_now_ms (demo->loop);
  uint32_t sum = 0;
  uint32_t at;

  for (size_t i = 0; i < demo->target_count; i++)
    sum += weight_of (demo, &demo->targets[i], now_ms);
  if (sum == 0)
    {
      for (size_t i = 0; i < demo->target_count; i++)
        if (demo->targets[i].avoid_until_ms <= now_ms)
          return &demo->targets[i];
      return NULL;
    }
  at = (uint32_t)g_rand_int_range (demo->rand, 0, (gint32)sum);
  for (size_t i = 0; i < demo->target_count; i++)
    {
      uint32_t weight = weight_of (demo, &demo->targets[i], now_ms);

      if (at < weight)
        return &demo->targets[i];
      at -= weight;
    }
  return NULL;
}
