#include "cleanup_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "beryl/holds.h"
#include "config_task.h"
#include "entry_task.h"
#include "gossip_task.h"
#include "http/client.h"
#include "common/ticker.h"

#define ANSWER_MAX_BYTES 65536
#define CANCEL_TIMEOUT_MS 2000
#define ANSWER_BYTES 4096
/* Number of nodes that store a copy of a node's windows. */
#define REPLICAS 2

struct cleanup_task
{
  struct control *control;
  struct beryl_hold_cleanup *cleanup;
  struct ticker *ticker;
  GHashTable *replicas; /* node name to struct local_holds * */
  GPtrArray *calls;     /* struct cancel * */
  uint64_t sent_hash;   /* hash of the windows and replicas of the last send */
};

/* One cancel call to an engine. */
struct cancel
{
  struct http_call_handler base;
  struct cleanup_task *task;
  struct http_call *call;
  struct beryl_hold_window window;
  char answer[ANSWER_BYTES];
  size_t answer_bytes;
};

static void
cleanup_schedule (struct cleanup_task *task)
{
  ticker_set (task->ticker, beryl_hold_cleanup_next_ms (task->cleanup));
}

static void
cancel_end (struct cancel *c)
{
  g_ptr_array_remove_fast (c->task->calls, c);
  g_free (c);
}

static void
cancel_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t bytes_count)
{
  struct cancel *c = (struct cancel *)handler;
  size_t room = sizeof c->answer - c->answer_bytes;
  size_t n = bytes_count < room ? bytes_count : room;

  (void)call;
  memcpy (c->answer + c->answer_bytes, bytes, n);
  c->answer_bytes += n;
}

static void
cancel_done (struct http_call_handler *handler, struct http_call *call)
{
  struct cancel *c = (struct cancel *)handler;
  struct cleanup_task *task = c->task;
  json_t *json = json_loadb (c->answer, c->answer_bytes, 0, NULL);
  json_t *held = json_object_get (json, "held");

  if (http_call_status (call) == 200 && json_is_integer (held)
      && beryl_hold_cleanup_on_reply (
          task->cleanup, c->window.endpoint, c->window.incarnation,
          (uint64_t)json_integer_value (held), control_now_ms (task->control)))
    g_info ("%s confirmed that it holds no stream of %016" G_GINT64_MODIFIER
            "x between %" G_GUINT64_FORMAT " and %" G_GUINT64_FORMAT,
            c->window.endpoint, c->window.incarnation, c->window.from,
            c->window.to);
  json_decref (json);
  cancel_end (c);
  cleanup_schedule (task);
}

static void
cancel_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  struct cancel *c = (struct cancel *)handler;
  struct cleanup_task *task = c->task;

  (void)call;
  (void)sent;
  g_info ("cancel at %s failed: %s", c->window.endpoint, reason);
  cancel_end (c);
  cleanup_schedule (task);
}

static const struct http_call_handler_impl cancel_impl = {
  .data = cancel_data,
  .done = cancel_done,
  .failed = cancel_failed,
};

static const struct beryl_endpoint *
endpoint_find (struct cleanup_task *task, const char *name)
{
  const struct beryl_config *config
      = config_task_parsed (task->control->config);

  for (size_t i = 0; config != NULL && i < config->endpoint_count; i++)
    if (strcmp (config->endpoints[i].name, name) == 0)
      return &config->endpoints[i];
  return NULL;
}

static void
cancel_start (struct cleanup_task *task,
              const struct beryl_hold_window *window)
{
  const struct beryl_endpoint *endpoint
      = endpoint_find (task, window->endpoint);
  struct http_request request = { .method = "POST", .path = "/v1/cancel" };
  struct http_header header = { "content-type", "application/json" };
  char body[160];
  struct cancel *c;

  if (endpoint == NULL)
    {
      if (task->control->config != NULL
          && config_task_parsed (task->control->config) != NULL)
        beryl_hold_cleanup_remove_endpoint (task->cleanup, window->endpoint);
      return;
    }
  c = g_new0 (struct cancel, 1);
  c->base.impl = &cancel_impl;
  c->task = task;
  c->window = *window;
  request.address = endpoint->address;
  request.port = endpoint->port;
  request.headers = &header;
  request.header_count = 1;
  request.timeout_ms = CANCEL_TIMEOUT_MS;
  request.answer_max_bytes = ANSWER_MAX_BYTES;
  request.body = body;
  request.body_bytes = (size_t)snprintf (
      body, sizeof body,
      "{\"incarnation\":\"%" G_GUINT64_FORMAT "\",\"from\":%" G_GUINT64_FORMAT
      ",\"to\":%" G_GUINT64_FORMAT "}",
      window->incarnation, window->from, window->to);
  g_ptr_array_add (task->calls, c);
  c->call = http_call_start (task->control->http, &request, &c->base);
  counters_add (task->control->counters, "beryl_cleanup_cancels_total", "", 1);
}

static void
cleanup_tick (void *user)
{
  struct cleanup_task *task = user;
  struct beryl_hold_window window;

  while (beryl_hold_cleanup_take_due (task->cleanup, &window,
                                      control_now_ms (task->control)))
    cancel_start (task, &window);
  counters_set (task->control->counters, "beryl_cleanup_windows", "",
                beryl_hold_cleanup_count (task->cleanup));
  cleanup_schedule (task);
}

static void
window_add (struct cleanup_task *task, const struct local_hold *hold)
{
  struct beryl_hold_window window = { .incarnation = hold->incarnation,
                                      .from = hold->from,
                                      .to = hold->to };

  g_strlcpy (window.endpoint, hold->endpoint, sizeof window.endpoint);
  beryl_hold_cleanup_add (task->cleanup, &window,
                          control_now_ms (task->control));
}

void
cleanup_task_cancel (struct cleanup_task *task,
                     const struct local_holds *holds)
{
  for (size_t i = 0; i < holds->count; i++)
    window_add (task, &holds->items[i]);
  cleanup_schedule (task);
}

static void
replica_free (void *data)
{
  struct local_holds *holds = data;

  g_free (holds->items);
  g_free (holds);
}

void
cleanup_task_replicate (struct cleanup_task *task, const char *node,
                        const struct local_holds *holds)
{
  struct local_holds *copy = g_new0 (struct local_holds, 1);

  copy->items = g_memdup2 (holds->items, holds->count * sizeof *copy->items);
  copy->count = holds->count;
  g_hash_table_replace (task->replicas, g_strdup (node), copy);
}

void
cleanup_task_cancel_node (struct cleanup_task *task, const char *node,
                          uint64_t live)
{
  struct local_holds *holds = g_hash_table_lookup (task->replicas, node);

  if (holds == NULL)
    return;
  for (size_t i = 0; i < holds->count; i++)
    if (holds->items[i].incarnation != live)
      window_add (task, &holds->items[i]);
  if (live == 0)
    g_hash_table_remove (task->replicas, node);
  cleanup_schedule (task);
}

static uint64_t
replica_score (const char *node, const char *replica)
{
  return XXH3_64bits_withSeed (replica, strlen (replica),
                               XXH3_64bits (node, strlen (node)));
}

/* Returns the live member with the highest score below BELOW. */
static const struct beryl_member *
replica_next (const struct control *control, uint64_t below, uint64_t *score)
{
  const char *self = control->settings.node;
  const struct beryl_member *best = NULL;

  *score = 0;
  for (size_t i = 0; i < beryl_membership_count (control->members); i++)
    {
      const struct beryl_member *m
          = beryl_membership_get (control->members, i);
      uint64_t s = replica_score (self, m->name);

      if (m->state != BERYL_MEMBER_ALIVE || m->leaving
          || strcmp (m->name, self) == 0 || s >= below || s < *score)
        continue;
      best = m;
      *score = s;
    }
  return best;
}

static size_t
replicas_find (const struct control *control,
               const struct beryl_member *replicas[REPLICAS])
{
  uint64_t below = UINT64_MAX;
  size_t n = 0;

  while (n < REPLICAS)
    {
      replicas[n] = replica_next (control, below, &below);
      if (replicas[n] == NULL)
        break;
      n++;
    }
  return n;
}

/* The hash covers the replicas as well as the windows, because the windows of
 * long streams stay the same for hours.  Otherwise, windows that were sent
 * once would be lost when the replicas die before the node, and its streams
 * would keep the engines' memory. */
void
cleanup_task_tick (struct cleanup_task *task)
{
  const struct local_holds *holds = entry_task_holds (task->control->entry);
  uint64_t hash
      = XXH3_64bits (holds->items, holds->count * sizeof *holds->items);
  const struct beryl_member *replicas[REPLICAS];
  size_t n;

  if (holds->count == 0)
    return;
  n = replicas_find (task->control, replicas);
  for (size_t i = 0; i < n; i++)
    hash = XXH3_64bits_withSeed (&replicas[i]->incarnation,
                                 sizeof replicas[i]->incarnation,
                                 hash ^ replica_score ("", replicas[i]->name));
  if (hash == task->sent_hash)
    return;
  task->sent_hash = hash;
  for (size_t i = 0; i < n; i++)
    gossip_task_send_holds (task->control->gossip, replicas[i], holds);
}

struct cleanup_task *
cleanup_task_create (struct control *control)
{
  struct cleanup_task *task = g_new0 (struct cleanup_task, 1);

  task->control = control;
  task->cleanup = beryl_hold_cleanup_create ();
  task->ticker = ticker_create (control->loop, cleanup_tick, task);
  task->replicas
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, replica_free);
  task->calls = g_ptr_array_new ();
  return task;
}

void
cleanup_task_destroy (struct cleanup_task *task)
{
  if (task == NULL)
    return;
  for (guint i = 0; i < task->calls->len; i++)
    {
      struct cancel *c = g_ptr_array_index (task->calls, i);

      http_call_cancel (c->call);
      g_free (c);
    }
  g_ptr_array_unref (task->calls);
  ticker_destroy (task->ticker);
  beryl_hold_cleanup_destroy (task->cleanup);
  g_hash_table_destroy (task->replicas);
  g_free (task);
}
