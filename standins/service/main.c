/** @file
 * A plain service for tests: small JSON replies after a set delay, faults on
 * order, and a true count of what ran.
 */
#include <getopt.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/loop.h"
#include "http/server.h"

#define BODY_MAX_BYTES (1U << 20)

struct service
{
  struct http_handler handler;
  struct loop *loop;
  const char *name;
  int64_t delay_ms;
  bool stall;
  bool die_halfway;
  bool refuse;
  uint64_t runs;
  uint64_t open;
  GHashTable *by_request; /* request id -> runs */
  GHashTable *by_key;     /* key -> runs */
};

/* One call whose reply waits for its delay. */
struct reply
{
  struct service *service;
  struct http_exchange *ex;
  struct loop_timer *timer;
};

static void
count (GHashTable *counts, const char *name)
{
  gpointer value;

  if (name == NULL)
    return;
  value = g_hash_table_lookup (counts, name);
  g_hash_table_replace (counts, g_strdup (name),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (value) + 1));
}

static json_t *
counts_json (GHashTable *counts)
{
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &name, &value))
    json_object_set_new (object, name,
                         json_integer (GPOINTER_TO_UINT (value)));
  return object;
}

static void
respond_json (struct http_exchange *ex, unsigned int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  http_exchange_respond (ex, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

static void
truth (struct service *service, struct http_exchange *ex)
{
  respond_json (ex, 200,
                json_pack ("{s:I, s:I, s:o, s:o}", "runs",
                           (json_int_t)service->runs, "open",
                           (json_int_t)service->open, "by_request",
                           counts_json (service->by_request), "by_key",
                           counts_json (service->by_key)));
}

static void
set_flag (json_t *faults, const char *name, bool *flag)
{
  json_t *value = json_object_get (faults, name);

  if (json_is_boolean (value))
    *flag = json_is_true (value);
}

static void
set_faults (struct service *service, struct http_exchange *ex)
{
  size_t n;
  const void *body = http_exchange_body (ex, &n);
  json_t *faults = json_loadb (body, n, 0, NULL);
  json_t *delay = json_object_get (faults, "delay_ms");

  set_flag (faults, "stall", &service->stall);
  set_flag (faults, "die_halfway", &service->die_halfway);
  set_flag (faults, "refuse", &service->refuse);
  if (json_is_integer (delay))
    service->delay_ms = json_integer_value (delay);
  respond_json (ex, faults != NULL ? 200 : 400, json_object ());
  json_decref (faults);
}

static char *
reply_text (const struct service *service, struct http_exchange *ex,
            size_t *text_bytes)
{
  size_t body_bytes;
  json_t *body
      = json_pack ("{s:s, s:s, s:s, s:I}", "service", service->name, "method",
                   http_exchange_method (ex), "path", http_exchange_path (ex),
                   "run", (json_int_t)service->runs);
  const char *id = http_exchange_header (ex, "x-request-id");
  char *text;

  http_exchange_body (ex, &body_bytes);
  json_object_set_new (body, "body_bytes",
                       json_integer ((json_int_t)body_bytes));
  if (id != NULL)
    json_object_set_new (body, "request_id", json_string (id));
  text = json_dumps (body, JSON_COMPACT);
  *text_bytes = strlen (text);
  json_decref (body);
  return text;
}

static void
send_reply (void *user)
{
  struct reply *reply = user;
  struct service *service = reply->service;
  size_t n;
  char *text;

  loop_timer_stop (reply->timer);
  reply->timer = NULL;
  if (service->stall)
    return;
  text = reply_text (service, reply->ex, &n);
  if (service->die_halfway)
    {
      http_exchange_start (reply->ex, 200, "application/json");
      http_exchange_write (reply->ex, text, n / 2);
      http_exchange_abort (reply->ex);
    }
  else
    http_exchange_respond (reply->ex, 200, "application/json", text, n);
  free (text);
}

static void
run_call (struct service *service, struct http_exchange *ex)
{
  struct reply *reply = g_new0 (struct reply, 1);

  service->runs++;
  service->open++;
  count (service->by_request, http_exchange_header (ex, "x-request-id"));
  count (service->by_key, http_exchange_header (ex, "idempotency-key"));
  reply->service = service;
  reply->ex = ex;
  http_exchange_set_user (ex, reply);
  if (service->delay_ms > 0)
    reply->timer = loop_timer_start (service->loop, service->delay_ms, 0,
                                     send_reply, reply);
  else
    send_reply (reply);
}

static void
take_request (struct http_handler *handler, struct http_exchange *ex)
{
  struct service *service = (struct service *)handler;
  const char *path = http_exchange_path (ex);

  if (strcmp (path, "/standin/truth") == 0)
    truth (service, ex);
  else if (strcmp (path, "/standin/faults") == 0)
    set_faults (service, ex);
  else if (service->refuse)
    {
      http_exchange_add_header (ex, "x-not-run", "true");
      respond_json (ex, 503, json_pack ("{s:s}", "error", "not_run"));
    }
  else
    run_call (service, ex);
}

static void
closed (struct http_handler *handler, struct http_exchange *ex, bool whole)
{
  struct service *service = (struct service *)handler;
  struct reply *reply = http_exchange_user (ex);

  if (reply == NULL)
    return;
  service->open--;
  loop_timer_stop (reply->timer);
  g_free (reply);
}

static const struct http_handler_impl handler_impl = {
  .request = take_request,
  .closed = closed,
};

static int
serve (struct service *service, const char *address, uint16_t port)
{
  struct http_server_settings settings
      = { .address = address, .port = port, .max_body_bytes = BODY_MAX_BYTES };
  struct beryl_error error = { 0 };
  struct http_context *context;
  struct http_server *server;

  service->loop = loop_create ();
  context = http_context_create (service->loop, NULL);
  server = http_server_create (context, &settings, &service->handler, &error);
  if (server == NULL)
    {
      fprintf (stderr, "standin-service: %s\n", error.message);
      return EXIT_FAILURE;
    }
  printf ("listening %s %u\n", address, http_server_port (server));
  fflush (stdout);
  loop_run (service->loop);
  http_context_destroy (context);
  loop_destroy (service->loop);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static const struct option options[] = {
    { "address", required_argument, NULL, 'a' },
    { "port", required_argument, NULL, 'p' },
    { "delay-ms", required_argument, NULL, 'd' },
    { "name", required_argument, NULL, 'n' },
    { 0 },
  };
  struct service service
      = { .handler.impl = &handler_impl, .name = "service", .delay_ms = 2 };
  const char *address = "127.0.0.1";
  uint16_t port = 0;
  int option;
  int status;

  while ((option = getopt_long (argc, argv, "a:p:d:n:", options, NULL)) != -1)
    switch (option)
      {
      case 'a':
        address = optarg;
        break;
      case 'p':
        port = (uint16_t)strtoul (optarg, NULL, 10);
        break;
      case 'd':
        service.delay_ms = strtol (optarg, NULL, 10);
        break;
      case 'n':
        service.name = optarg;
        break;
      default:
        return 2;
      }
  log_init ("standin-service", LOG_FORMAT_TEXT, "warning");
  service.by_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  service.by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  status = serve (&service, address, port);
  g_hash_table_destroy (service.by_request);
  g_hash_table_destroy (service.by_key);
  return status;
}
