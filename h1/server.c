#include "h1/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "server_private.h"

#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (4U << 20)
#define DEFAULT_HEADER_TIMEOUT_MS 10000
#define DEFAULT_IDLE_TIMEOUT_MS 60000
#define DEFAULT_ALL_BODIES_BYTES (64ULL << 20)
#define DEFAULT_CONNECTIONS 3000
#define LISTEN_BACKLOG 512
#define READ_BYTES 65536
/* What a caller may send ahead while its request before is answered. */
#define EARLY_BYTES 16384
#define SWEEP_MS 250
/* Of the idle limit, for a connection between two requests. */
#define REST_FACTOR 2
/* How long a caller that is being refused may go on sending. */
#define DISCARD_MS 1000
/* Bytes of the start line and of a field beside their text. */
#define LINE_OVERHEAD_BYTES 4
/* A caller that takes no byte for so long is gone.  It bounds what a
 * partition can hold; callers give up after their own deadline long before. */
#define PEER_SILENT_MS 20000

static void connection_parse (struct connection *connection, const char *bytes,
                              size_t bytes_count);

static int64_t
now_ms (const struct h1_server *server)
{
  return loop_now_ms (server->loop);
}

static void
server_unref (struct h1_server *server)
{
  if (--server->refs > 0)
    return;
  g_ptr_array_free (server->connections, TRUE);
  g_free (server);
}

static void
listener_closed (uv_handle_t *handle)
{
  server_unref (handle->data);
}

static void
connection_closed (uv_handle_t *handle)
{
  struct connection *connection = handle->data;
  struct h1_server *server = connection->server;

  if (connection->early != NULL)
    g_string_free (connection->early, TRUE);
  if (connection->later != NULL)
    g_string_free (connection->later, TRUE);
  g_free (connection);
  server_unref (server);
}

/* Tells the handler that the exchange is over, once. */
static void
exchange_end (struct connection *connection, bool whole)
{
  struct h1_exchange *ex = connection->exchange;
  struct h1_server_handler *handler = connection->server->handler;

  if (ex == NULL)
    return;
  connection->exchange = NULL;
  if (ex->state != EXCHANGE_RECEIVING)
    {
      connection->server->open--;
      handler->impl->closed (handler, ex, whole);
    }
  exchange_free (ex);
}

static void
connection_forget (struct connection *connection)
{
  GPtrArray *all = connection->server->connections;
  struct connection *last = g_ptr_array_index (all, all->len - 1);

  g_ptr_array_remove_index_fast (all, connection->position);
  if (last != connection)
    last->position = connection->position;
}

void
connection_close (struct connection *connection)
{
  if (connection->closing)
    return;
  connection->closing = true;
  connection_forget (connection);
  exchange_end (connection, false);
  uv_close ((uv_handle_t *)&connection->tcp, connection_closed);
}

static void
shutdown_done (uv_shutdown_t *shutdown, int status)
{
  g_free (shutdown);
}

struct write
{
  uv_write_t base;
  struct connection *connection;
  GString *bytes;
};

static void write_done (uv_write_t *base, int status);

/* Takes BYTES over. */
static void
write_start (struct connection *connection, GString *bytes)
{
  struct write *write = g_new0 (struct write, 1);
  uv_buf_t buf = uv_buf_init (bytes->str, (unsigned int)bytes->len);

  write->connection = connection;
  write->bytes = bytes;
  /* A connection that has failed tells so in the callback; closing it here
     would release the exchange under its owner's hands. */
  if (uv_write (&write->base, (uv_stream_t *)&connection->tcp, &buf, 1,
                write_done)
      == 0)
    return;
  g_string_free (write->bytes, TRUE);
  g_free (write);
}

static void
write_later (struct connection *connection)
{
  GString *later = connection->later;

  connection->later = NULL;
  if (later != NULL)
    write_start (connection, later);
}

static void
write_done (uv_write_t *base, int status)
{
  struct write *write = (struct write *)base;
  struct connection *connection = write->connection;

  g_string_free (write->bytes, TRUE);
  g_free (write);
  if (connection->closing)
    return;
  if (status != 0)
    {
      connection_close (connection);
      return;
    }
  connection->heard_ms = now_ms (connection->server);
  write_later (connection);
  exchange_drained (connection);
  if (connection->closing || connection->exchange == NULL)
    return;
  if (connection->exchange->state == EXCHANGE_FINISHED
      && h1_exchange_pending_bytes (connection->exchange) == 0)
    exchange_written (connection);
}

void
connection_close_softly (struct connection *connection)
{
  uv_shutdown_t *shutdown;

  if (connection->closing || connection->discard_until_ms != 0)
    return;
  connection->discard_until_ms = now_ms (connection->server) + DISCARD_MS;
  write_later (connection);
  shutdown = g_new0 (uv_shutdown_t, 1);
  if (uv_shutdown (shutdown, (uv_stream_t *)&connection->tcp, shutdown_done)
      == 0)
    return;
  g_free (shutdown);
  connection_close (connection);
}

/* Gives the kernel what it takes at once and keeps a copy of the rest.  What
 * comes while a write is under way is written by one after it: a write of its
 * own takes hundreds of bytes, however small it is. */
void
connection_write (struct connection *connection, const char *bytes,
                  size_t bytes_count)
{
  uv_stream_t *stream = (uv_stream_t *)&connection->tcp;
  uv_buf_t buf = uv_buf_init ((char *)bytes, (unsigned int)bytes_count);
  int taken;

  if (connection->closing || bytes_count == 0)
    return;
  connection->heard_ms = now_ms (connection->server);
  if (connection->later == NULL && uv_stream_get_write_queue_size (stream) > 0)
    connection->later = g_string_new (NULL);
  if (connection->later != NULL)
    {
      g_string_append_len (connection->later, bytes, (gssize)bytes_count);
      return;
    }
  taken = uv_try_write (stream, &buf, 1);
  taken = MAX (taken, 0);
  if (taken < (int)bytes_count)
    write_start (connection, g_string_new_len (bytes + taken,
                                               (gssize)bytes_count - taken));
}

/* An own answer to a request that is not handed on.  What follows it on the
 * connection cannot be told from the rest of the refused request. */
static void
connection_refuse (struct connection *connection, unsigned int status)
{
  struct h1_exchange *ex = connection->exchange;
  GString *out = g_string_new (NULL);

  if (status == 503)
    connection->server->counts.crowded_out++;
  else
    connection->server->counts.malformed++;
  head_format_answer (out, status, NULL, NULL, 0);
  if (status == 503)
    g_string_append (out, "Retry-After: 1\r\n");
  g_string_append (out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
  connection_write (connection, out->str, out->len);
  g_string_free (out, TRUE);
  if (ex != NULL && ex->state == EXCHANGE_RECEIVING)
    exchange_end (connection, false);
  connection_close_softly (connection);
}

static struct h1_exchange *
receiving (http_parser *parser)
{
  struct connection *connection = parser->data;

  return connection->exchange;
}

static int
on_begin (http_parser *parser)
{
  struct connection *connection = parser->data;

  connection->exchange = exchange_create (connection);
  connection->exchange->begun_ms = now_ms (connection->server);
  return 0;
}

/* Returning non-zero stops the parser; the refusal follows from the limits. */
static int
count_head (struct h1_exchange *ex, size_t length)
{
  ex->head_bytes += length + LINE_OVERHEAD_BYTES;
  return ex->head_bytes > ex->connection->server->limits.header_bytes;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  struct h1_exchange *ex = receiving (parser);

  head_builder_add (&ex->builder, HEAD_START, at, length);
  return count_head (ex, length);
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  struct h1_exchange *ex = receiving (parser);

  if (ex->builder.head.fields != NULL) /* a trailer */
    return count_head (ex, length);
  head_builder_add (&ex->builder, HEAD_NAME, at, length);
  return count_head (ex, length);
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  struct h1_exchange *ex = receiving (parser);

  if (ex->builder.head.fields != NULL)
    return count_head (ex, length);
  head_builder_add (&ex->builder, HEAD_VALUE, at, length);
  return count_head (ex, length);
}

/* White space before the colon: some take it as part of the name, others do
 * not, so that the two could disagree about how long the body is. */
static bool
name_has_space (const struct h1_head *head)
{
  for (size_t i = 0; i < head->field_count; i++)
    if (strpbrk (head->fields[i].name, " \t") != NULL)
      return true;
  return false;
}

/* What the parser lets pass but a next hop may read differently. */
static unsigned int
head_problem (const struct h1_exchange *ex)
{
  const struct h1_head *head = &ex->builder.head;
  const char *coding = h1_head_find (head, "transfer-encoding");

  if (coding != NULL
      && (g_ascii_strcasecmp (coding, "chunked") != 0
          || h1_head_count (head, "transfer-encoding") != 1))
    return 501;
  if (h1_head_count (head, "content-length") > 1)
    return 400;
  if (head->target[0] != '/' || name_has_space (head))
    return 400;
  if (h1_head_count (head, "host") != 1 && !ex->http_1_0)
    return 400;
  return 0;
}

static int
on_head (http_parser *parser)
{
  struct h1_exchange *ex = receiving (parser);

  parser->upgrade = 0;
  head_builder_finish (&ex->builder, parser);
  ex->head_request = parser->method == HTTP_HEAD;
  ex->http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
  ex->keep_alive = http_should_keep_alive (parser);
  ex->refusal = head_problem (ex);
  return ex->refusal != 0 ? -1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct h1_exchange *ex = receiving (parser);

  struct h1_server *server = ex->connection->server;

  if (ex->body->len + length > server->limits.body_bytes)
    {
      ex->refusal = 413;
      return 1;
    }
  /* Many bodies at a time, each within its limit, would end the process for
     want of memory, and with it every request. */
  if (server->bodies_bytes + length > server->limits.all_bodies_bytes)
    {
      ex->refusal = 503;
      return 1;
    }
  server->bodies_bytes += length;
  g_string_append_len (ex->body, at, (gssize)length);
  return 0;
}

static int
on_message (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_message,
};

/* The status of a request that the parser stopped at. */
static unsigned int
refusal_of (const struct connection *connection)
{
  if (connection->exchange != NULL && connection->exchange->refusal != 0)
    return connection->exchange->refusal;
  switch (HTTP_PARSER_ERRNO (&connection->parser))
    {
    case HPE_CB_url:
      return 414;
    case HPE_CB_header_field:
    case HPE_CB_header_value:
    case HPE_HEADER_OVERFLOW:
      return 431;
    case HPE_INVALID_TRANSFER_ENCODING:
      return 501;
    default:
      return 400;
    }
}

static void
connection_stop_reading (struct connection *connection)
{
  if (!connection->reading)
    return;
  connection->reading = false;
  uv_read_stop ((uv_stream_t *)&connection->tcp);
}

/* Keeps what came behind a request that is being answered. */
static void
connection_hold (struct connection *connection, const char *bytes,
                 size_t bytes_count)
{
  if (bytes_count == 0)
    return;
  if (connection->early == NULL)
    connection->early = g_string_new (NULL);
  g_string_append_len (connection->early, bytes, (gssize)bytes_count);
  if (connection->early->len >= EARLY_BYTES)
    connection_stop_reading (connection);
}

static void
connection_deliver (struct connection *connection)
{
  struct h1_exchange *ex = connection->exchange;
  struct h1_server *server = connection->server;

  ex->state = EXCHANGE_WAITING;
  server->open++;
  server->counts.requests++;
  server->handler->impl->request (server->handler, ex);
}

static bool
head_announces_body (const struct h1_exchange *ex)
{
  return ex->builder.head.fields != NULL && ex->state == EXCHANGE_RECEIVING;
}

/* Refuses a body that is announced too long before it is sent, and lets a
 * caller that asked first send the others. */
static bool
connection_check_body (struct connection *connection)
{
  struct h1_exchange *ex = connection->exchange;
  const char *expect;

  if (!head_announces_body (ex) || ex->body->len > 0)
    return true;
  if (connection->parser.content_length != UINT64_MAX
      && connection->parser.content_length
             > connection->server->limits.body_bytes)
    {
      connection_refuse (connection, 413);
      return false;
    }
  expect = h1_head_find (&ex->builder.head, "expect");
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    connection_write (connection, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return true;
}

static void
connection_parse (struct connection *connection, const char *bytes,
                  size_t bytes_count)
{
  http_parser *parser = &connection->parser;
  bool had_head = connection->exchange != NULL
                  && connection->exchange->builder.head.fields != NULL;
  size_t taken
      = http_parser_execute (parser, &parser_settings, bytes, bytes_count);

  if (HTTP_PARSER_ERRNO (parser) == HPE_PAUSED)
    {
      http_parser_pause (parser, 0);
      connection_hold (connection, bytes + taken, bytes_count - taken);
      connection_deliver (connection);
      return;
    }
  if (HTTP_PARSER_ERRNO (parser) != HPE_OK)
    connection_refuse (connection, refusal_of (connection));
  else if (connection->exchange != NULL && !had_head)
    connection_check_body (connection);
}

static void
connection_data (struct connection *connection, const char *bytes,
                 size_t bytes_count)
{
  struct h1_exchange *ex = connection->exchange;

  connection->heard_ms = now_ms (connection->server);
  if (connection->discard_until_ms != 0)
    return;
  if (ex != NULL && ex->state != EXCHANGE_RECEIVING)
    connection_hold (connection, bytes, bytes_count);
  else
    connection_parse (connection, bytes, bytes_count);
}

static void
read_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  /* libuv reads and delivers at once, so one buffer serves all. */
  static char bytes[READ_BYTES];

  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
read_done (uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
  struct connection *connection = stream->data;

  if (connection->closing)
    return;
  if (count > 0)
    connection_data (connection, buf->base, (size_t)count);
  else if (count < 0)
    connection_close (connection);
}

static void
connection_read (struct connection *connection)
{
  if (connection->reading || connection->closing)
    return;
  connection->reading = true;
  uv_read_start ((uv_stream_t *)&connection->tcp, read_alloc, read_done);
}

/* Starts on the next request, which may have come already. */
static void
connection_next (struct connection *connection)
{
  GString *early = connection->early;

  connection->early = NULL;
  connection_read (connection);
  if (early == NULL)
    return;
  connection_parse (connection, early->str, early->len);
  g_string_free (early, TRUE);
}

/* The limit of a connection's rest is the one under which it begins: its
 * caller cannot know of a lower one. */
static void
connection_begin_rest (struct connection *connection)
{
  connection->idle_timeout_ms = connection->server->limits.idle_timeout_ms;
}

static int64_t
idle_timeout_ms (const struct connection *connection)
{
  return MAX (connection->idle_timeout_ms,
              connection->server->limits.idle_timeout_ms);
}

/* A request that crosses the close of its connection is lost, and the limit
 * only guards the descriptors: while there are enough, a connection may rest
 * longer. */
static int64_t
rest_timeout_ms (const struct connection *connection)
{
  const struct h1_server *server = connection->server;
  bool is_crowded = server->connections->len > server->limits.connections / 2;

  return idle_timeout_ms (connection) * (is_crowded ? 1 : REST_FACTOR);
}

void
exchange_written (struct connection *connection)
{
  bool keep_alive = connection->exchange->keep_alive;

  exchange_end (connection, true);
  if (connection->closing)
    return;
  connection_begin_rest (connection);
  if (keep_alive)
    connection_next (connection);
  else
    connection_close_softly (connection);
}

static void
accepted (uv_stream_t *listener, int status)
{
  struct h1_server *server = listener->data;
  struct connection *connection;
  unsigned int silent_ms = PEER_SILENT_MS;
  uv_os_fd_t fd;

  if (status != 0 || server->destroyed)
    return;
  connection = g_new0 (struct connection, 1);
  connection->server = server;
  connection->heard_ms = now_ms (server);
  connection_begin_rest (connection);
  uv_tcp_init (loop_uv (server->loop), &connection->tcp);
  connection->tcp.data = connection;
  server->refs++;
  connection->position = server->connections->len;
  g_ptr_array_add (server->connections, connection);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) != 0)
    {
      connection_close (connection);
      return;
    }
  server->counts.accepted++;
  if (server->connections->len > server->limits.connections)
    {
      server->counts.turned_away++;
      g_info ("connection closed why=connections open=%u",
              server->connections->len);
      connection_close (connection);
      return;
    }
  uv_tcp_nodelay (&connection->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&connection->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
                sizeof silent_ms);
  connection_read (connection);
}

static bool
has_unread (const struct connection *connection)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((const uv_handle_t *)&connection->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* The next poll reads a request that is waiting. */
static void
connection_close_idle (struct connection *connection, const char *why,
                       int64_t now)
{
  int64_t idle_ms = now - connection->heard_ms;
  int64_t limit_ms = rest_timeout_ms (connection);

  if (has_unread (connection))
    {
      connection->server->counts.kept_unread++;
      g_info ("connection kept with unread bytes why=%s "
              "idle_ms=%" G_GINT64_FORMAT " idle_timeout_ms=%" G_GINT64_FORMAT,
              why, idle_ms, limit_ms);
      return;
    }
  g_debug ("connection closed why=%s idle_ms=%" G_GINT64_FORMAT
           " idle_timeout_ms=%" G_GINT64_FORMAT,
           why, idle_ms, limit_ms);
  connection_close (connection);
}

/* Ends connections on which nothing happens.  An exchange that is being
 * answered has its own deadline with the handler. */
static void
connection_sweep (struct connection *connection, int64_t now)
{
  const struct h1_limits *limits = &connection->server->limits;
  struct h1_exchange *ex = connection->exchange;
  int64_t drain_ms = connection->server->drain_at_ms;

  if (connection->discard_until_ms != 0)
    {
      if (now >= connection->discard_until_ms)
        connection_close (connection);
    }
  else if (ex == NULL)
    {
      if (now - connection->heard_ms >= rest_timeout_ms (connection))
        connection_close_idle (connection, "idle", now);
      else if (drain_ms != 0 && now >= drain_ms)
        connection_close_idle (connection, "draining", now);
    }
  else if (ex->state == EXCHANGE_RECEIVING)
    {
      bool slow_head = ex->builder.head.fields == NULL
                       && now - ex->begun_ms >= limits->header_timeout_ms;

      if (slow_head
          || now - connection->heard_ms >= idle_timeout_ms (connection))
        connection_refuse (connection, 408);
    }
}

static void
sweep (void *user)
{
  struct h1_server *server = user;
  int64_t now = now_ms (server);

  for (guint i = server->connections->len; i > 0; i--)
    if (i <= server->connections->len)
      connection_sweep (g_ptr_array_index (server->connections, i - 1), now);
}

static void
limits_complete (struct h1_limits *limits)
{
  if (limits->header_bytes == 0)
    limits->header_bytes = DEFAULT_HEADER_BYTES;
  if (limits->body_bytes == 0)
    limits->body_bytes = DEFAULT_BODY_BYTES;
  if (limits->header_timeout_ms == 0)
    limits->header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS;
  if (limits->idle_timeout_ms == 0)
    limits->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  if (limits->connections == 0)
    limits->connections = DEFAULT_CONNECTIONS;
  if (limits->all_bodies_bytes == 0)
    limits->all_bodies_bytes = DEFAULT_ALL_BODIES_BYTES;
}

static uint32_t
count_idle (const struct h1_server *server, int64_t idle_ms)
{
  int64_t now = now_ms (server);
  uint32_t count = 0;

  for (guint i = 0; i < server->connections->len; i++)
    {
      const struct connection *connection
          = g_ptr_array_index (server->connections, i);

      if (connection->exchange == NULL
          && now - connection->heard_ms >= idle_ms)
        count++;
    }
  return count;
}

void
h1_server_set_limits (struct h1_server *server, const struct h1_limits *limits)
{
  int64_t before_ms = server->limits.idle_timeout_ms;

  server->limits = *limits;
  limits_complete (&server->limits);
  if (server->limits.idle_timeout_ms != before_ms)
    g_info ("limits idle_timeout_ms=%" G_GINT64_FORMAT
            " before_ms=%" G_GINT64_FORMAT " connections=%u idle_longer=%u",
            server->limits.idle_timeout_ms, before_ms,
            server->connections->len,
            count_idle (server, server->limits.idle_timeout_ms));
}

struct h1_server *
h1_server_create (struct loop *loop, const char *address, uint16_t port,
                  struct h1_server_handler *handler, struct beryl_error *error)
{
  struct h1_server *server = g_new0 (struct h1_server, 1);
  struct sockaddr_in in;
  int failed = uv_ip4_addr (address, port, &in);

  server->loop = loop;
  server->handler = handler;
  server->connections = g_ptr_array_new ();
  server->refs = 2;
  limits_complete (&server->limits);
  uv_tcp_init (loop_uv (loop), &server->listener);
  server->listener.data = server;
  if (failed == 0)
    failed = uv_tcp_bind (&server->listener, (const struct sockaddr *)&in, 0);
  if (failed == 0)
    failed = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                        accepted);
  if (failed != 0)
    {
      beryl_error_set (error, BERYL_ERROR_UNAVAILABLE,
                       "cannot listen on %s:%u: %s", address, port,
                       uv_strerror (failed));
      h1_server_destroy (server);
      return NULL;
    }
  server->sweep = loop_timer_start (loop, SWEEP_MS, SWEEP_MS, sweep, server);
  return server;
}

void
h1_server_destroy (struct h1_server *server)
{
  if (server == NULL || server->destroyed)
    return;
  server->destroyed = true;
  while (server->connections->len > 0)
    connection_close (g_ptr_array_index (server->connections, 0));
  h1_server_close_listener (server);
  loop_timer_stop (server->sweep);
  server_unref (server);
}

void
h1_server_close_listener (struct h1_server *server)
{
  if (!uv_is_closing ((uv_handle_t *)&server->listener))
    uv_close ((uv_handle_t *)&server->listener, listener_closed);
}

void
h1_server_drain (struct h1_server *server, int64_t idle_ms)
{
  if (server->drain_at_ms == 0)
    server->drain_at_ms = now_ms (server) + idle_ms;
}

uint16_t
h1_server_port (const struct h1_server *server)
{
  struct sockaddr_in in = { 0 };
  int length = sizeof in;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&in, &length);
  return ntohs (in.sin_port);
}

uint32_t
h1_server_connections (const struct h1_server *server)
{
  return server->connections->len;
}

uint32_t
h1_server_open (const struct h1_server *server)
{
  return server->open;
}

const struct h1_server_counts *
h1_server_counts (const struct h1_server *server)
{
  return &server->counts;
}
