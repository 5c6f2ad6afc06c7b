#include "directory.h"

#include <stdlib.h>
#include <string.h>

#include "h1/server.h"

#define METRICS_PATH "/metrics"
#define PORTS_MAX 3

struct directory
{
  struct h1_server_handler base;
  const struct gateway_wire *wire;
  struct directory_owner *owner;
  int64_t address_keep_ms;
  struct h1_server *servers[PORTS_MAX];
  size_t server_count;
};

static void
reply (struct h1_exchange *ex, unsigned int status, const char *type,
       const char *body)
{
  struct h1_field field = { "Content-Type", type };

  h1_exchange_reply (ex, status, &field, 1, body, strlen (body));
}

static void
reply_ready (struct directory *d, struct h1_exchange *ex)
{
  bool ready = d->owner->impl->is_ready (d->owner);

  reply (ex, ready ? 200 : 503, "text/plain",
         ready ? "ready\n" : "not ready\n");
}

static void
reply_addresses (struct directory *d, struct h1_exchange *ex,
                 const struct gateway_location *location)
{
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  GString *body = g_string_new (NULL);

  d->owner->impl->append_addresses (d->owner, location, addresses);
  d->wire->impl->format_addresses (d->wire,
                                   (const char *const *)addresses->pdata,
                                   addresses->len, d->address_keep_ms, body);
  reply (ex, addresses->len > 0 ? 200 : 503, "application/json", body->str);
  g_string_free (body, TRUE);
  g_ptr_array_free (addresses, TRUE);
}

static void
reply_metrics (struct directory *d, struct h1_exchange *ex)
{
  char *text = d->owner->impl->format_metrics (d->owner);

  reply (ex, 200, "text/plain; version=0.0.4", text);
  free (text);
}

static void
handle_request (struct h1_server_handler *handler, struct h1_exchange *ex)
{
  struct directory *d = (struct directory *)handler;
  const struct h1_head *head = h1_exchange_head (ex);
  struct gateway_location location = { 0 };

  switch (d->wire->impl->read_node_request (d->wire, head, &location))
    {
    case GATEWAY_NODE_REQUEST_READY:
      reply_ready (d, ex);
      return;
    case GATEWAY_NODE_REQUEST_ADDRESSES:
      reply_addresses (d, ex, &location);
      return;
    case GATEWAY_NODE_REQUEST_NONE:
      break;
    }
  if (strcmp (head->target, METRICS_PATH) == 0)
    reply_metrics (d, ex);
  else
    reply (ex, 404, "text/plain", "not found\n");
}

static void
handle_closed (struct h1_server_handler *handler, struct h1_exchange *ex,
               bool whole)
{
}

static const struct h1_server_handler_impl handler_impl
    = { .request = handle_request, .closed = handle_closed };

static bool
listen_on (struct directory *d, struct loop *loop, const char *ip,
           uint16_t port, struct beryl_error *error)
{
  struct h1_server *server;

  if (port == 0)
    return true;
  server = h1_server_create (loop, ip, port, &d->base, error);
  if (server == NULL)
    return false;
  d->servers[d->server_count++] = server;
  return true;
}

struct directory *
directory_create (struct loop *loop, const struct gateway_wire *wire,
                  const struct gateway_settings *settings,
                  struct directory_owner *owner, struct beryl_error *error)
{
  struct directory *d = g_new0 (struct directory, 1);

  d->base.impl = &handler_impl;
  d->wire = wire;
  d->owner = owner;
  d->address_keep_ms = settings->address_keep_ms;
  if (listen_on (d, loop, settings->ready.ip, settings->ready.port, error)
      && listen_on (d, loop, settings->directory.ip, settings->directory.port,
                    error)
      && listen_on (d, loop, settings->front.ip, settings->metrics_port,
                    error))
    return d;
  directory_destroy (d);
  return NULL;
}

void
directory_set_address_keep (struct directory *d, int64_t address_keep_ms)
{
  d->address_keep_ms = address_keep_ms;
}

void
directory_destroy (struct directory *d)
{
  if (d == NULL)
    return;
  for (size_t i = 0; i < d->server_count; i++)
    h1_server_destroy (d->servers[i]);
  g_free (d);
}
