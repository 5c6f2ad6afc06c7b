#include "slow_link.h"

#include <check.h>
#include <glib.h>
#include <string.h>

#define TICK_MS 10
/* Bytes buffered for one connection; the rest stays in the sender's socket. */
#define BUFFER_MAX_BYTES 16384
#define ROUTES_MAX 4

struct route
{
  struct slow_link *link;
  uv_tcp_t listener;
  uint16_t target_port;
};

struct slow_link
{
  struct loop *loop;
  uint32_t bytes_per_s;
  uint64_t carried_bytes;
  struct loop_timer *timer;
  GPtrArray *connections; /* struct connection */
  struct route *routes[ROUTES_MAX];
  size_t route_count;
};

/* A pair of sockets, closed together; freed when both are closed. */
struct connection
{
  struct slow_link *link;
  uv_tcp_t node;
  uv_tcp_t remote;
  uv_connect_t connect;
  GByteArray *buffer; /* bytes on their way to the node */
  bool reading;       /* from the remote socket */
  bool remote_ended;
  bool frozen;
  bool closing;
  unsigned int open_sockets; /* sockets not closed yet */
};

struct write
{
  uv_write_t request;
  char bytes[];
};

static void
socket_closed (uv_handle_t *handle)
{
  struct connection *c = handle->data;

  if (--c->open_sockets > 0)
    return;
  g_byte_array_free (c->buffer, TRUE);
  g_free (c);
}

static void
connection_close (struct connection *c)
{
  if (c->closing)
    return;
  c->closing = true;
  g_ptr_array_remove_fast (c->link->connections, c);
  uv_close ((uv_handle_t *)&c->node, socket_closed);
  uv_close ((uv_handle_t *)&c->remote, socket_closed);
}

static void
allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char bytes[BUFFER_MAX_BYTES];

  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
write_done (uv_write_t *request, int status)
{
  g_free (request->data);
}

static void
forward (uv_tcp_t *to, const void *bytes, size_t bytes_count)
{
  struct write *write = g_malloc0 (sizeof *write + bytes_count);
  uv_buf_t buf = uv_buf_init (write->bytes, (unsigned int)bytes_count);

  write->request.data = write;
  memcpy (write->bytes, bytes, bytes_count);
  if (uv_write (&write->request, (uv_stream_t *)to, &buf, 1, write_done) < 0)
    g_free (write);
}

static void
node_readable (uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
  struct connection *c = stream->data;

  if (count < 0)
    connection_close (c);
  else if (count > 0)
    forward (&c->remote, buf->base, (size_t)count);
}

static void
remote_readable (uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
  struct connection *c = stream->data;

  if (count < 0)
    c->remote_ended = true;
  else
    g_byte_array_append (c->buffer, (const guint8 *)buf->base, (guint)count);
  if (count >= 0 && c->buffer->len < BUFFER_MAX_BYTES)
    return;
  c->reading = false;
  uv_read_stop (stream);
}

static void
connect_done (uv_connect_t *request, int status)
{
  struct connection *c = request->data;

  if (status < 0)
    {
      connection_close (c);
      return;
    }
  c->reading = true;
  uv_read_start ((uv_stream_t *)&c->remote, allocate, remote_readable);
  uv_read_start ((uv_stream_t *)&c->node, allocate, node_readable);
}

static void
connection_accepted (uv_stream_t *stream, int status)
{
  struct route *route = stream->data;
  struct connection *c = g_new0 (struct connection, 1);
  struct sockaddr_in address;

  ck_assert_int_ge (status, 0);
  c->link = route->link;
  c->open_sockets = 2;
  c->buffer = g_byte_array_new ();
  c->node.data = c->remote.data = c->connect.data = c;
  uv_tcp_init (stream->loop, &c->node);
  uv_tcp_init (stream->loop, &c->remote);
  g_ptr_array_add (c->link->connections, c);
  uv_ip4_addr ("127.0.0.1", route->target_port, &address);
  if (uv_accept (stream, (uv_stream_t *)&c->node) < 0
      || uv_tcp_connect (&c->connect, &c->remote,
                         (const struct sockaddr *)&address, connect_done)
             < 0)
    connection_close (c);
}

/* Forwards up to BYTES to the node; closes the connection once the remote end
 * has closed and its bytes are forwarded. */
static void
forward_buffered (struct connection *c, size_t bytes)
{
  size_t n = MIN (bytes, c->buffer->len);

  if (c->frozen)
    return;
  if (n > 0)
    {
      forward (&c->node, c->buffer->data, n);
      g_byte_array_remove_range (c->buffer, 0, (guint)n);
      c->link->carried_bytes += n;
    }
  if (c->remote_ended && c->buffer->len == 0)
    connection_close (c);
  else if (!c->reading && !c->remote_ended
           && c->buffer->len < BUFFER_MAX_BYTES)
    {
      c->reading = true;
      uv_read_start ((uv_stream_t *)&c->remote, allocate, remote_readable);
    }
}

static void
tick (void *user)
{
  struct slow_link *link = user;
  size_t bytes = link->bytes_per_s / (1000 / TICK_MS);
  size_t busy = 0;

  for (guint i = 0; i < link->connections->len; i++)
    {
      const struct connection *c = g_ptr_array_index (link->connections, i);

      busy += c->buffer->len > 0 && !c->frozen;
    }
  if (busy > 0)
    bytes /= busy;
  for (guint i = link->connections->len; i > 0; i--)
    forward_buffered (g_ptr_array_index (link->connections, i - 1), bytes);
}

struct slow_link *
slow_link_create (struct loop *loop, uint32_t bytes_per_s)
{
  struct slow_link *link = g_new0 (struct slow_link, 1);

  link->loop = loop;
  link->bytes_per_s = bytes_per_s;
  link->connections = g_ptr_array_new ();
  link->timer = loop_timer_start (loop, TICK_MS, TICK_MS, tick, link);
  return link;
}

uint16_t
slow_link_add_route (struct slow_link *link, uint16_t port)
{
  struct route *route = g_new0 (struct route, 1);
  struct sockaddr_in address;
  int length = sizeof address;

  ck_assert_uint_lt (link->route_count, ROUTES_MAX);
  link->routes[link->route_count++] = route;
  route->link = link;
  route->target_port = port;
  route->listener.data = route;
  uv_tcp_init (loop_uv (link->loop), &route->listener);
  uv_ip4_addr ("127.0.0.1", 0, &address);
  ck_assert_int_eq (
      uv_tcp_bind (&route->listener, (const struct sockaddr *)&address, 0), 0);
  ck_assert_int_eq (
      uv_listen ((uv_stream_t *)&route->listener, 16, connection_accepted), 0);
  ck_assert_int_eq (uv_tcp_getsockname (&route->listener,
                                        (struct sockaddr *)&address, &length),
                    0);
  return ntohs (address.sin_port);
}

void
slow_link_freeze (struct slow_link *link)
{
  for (guint i = 0; i < link->connections->len; i++)
    {
      struct connection *c = g_ptr_array_index (link->connections, i);

      c->frozen = true;
      uv_read_stop ((uv_stream_t *)&c->remote);
    }
}

uint64_t
slow_link_carried_bytes (const struct slow_link *link)
{
  return link->carried_bytes;
}

static void
route_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
slow_link_destroy (struct slow_link *link)
{
  while (link->connections->len > 0)
    connection_close (g_ptr_array_index (link->connections, 0));
  for (size_t i = 0; i < link->route_count; i++)
    uv_close ((uv_handle_t *)&link->routes[i]->listener, route_closed);
  loop_timer_stop (link->timer);
  g_ptr_array_free (link->connections, TRUE);
  g_free (link);
}
