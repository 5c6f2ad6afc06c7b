#include <string.h>

#include "server_private.h"

/* The handler is told to go on below the low mark once the high mark was
 * passed; one piece of a stream has some hundred bytes. */
#define HIGH_WATER_BYTES 65536
#define LOW_WATER_BYTES 16384

struct h1_exchange *
exchange_create (struct connection *connection)
{
  struct h1_exchange *ex = g_new0 (struct h1_exchange, 1);

  ex->connection = connection;
  ex->body = g_string_new (NULL);
  head_builder_init (&ex->builder);
  return ex;
}

void
exchange_free (struct h1_exchange *ex)
{
  ex->connection->server->bodies_bytes -= ex->body->len;
  head_builder_clear (&ex->builder);
  g_string_free (ex->body, TRUE);
  g_free (ex);
}

void
h1_exchange_set_user (struct h1_exchange *ex, void *user)
{
  ex->user = user;
}

void *
h1_exchange_user (const struct h1_exchange *ex)
{
  return ex->user;
}

const struct h1_head *
h1_exchange_head (const struct h1_exchange *ex)
{
  return &ex->builder.head;
}

const char *
h1_exchange_body (const struct h1_exchange *ex, size_t *body_bytes)
{
  *body_bytes = ex->body->len;
  return ex->body->str;
}

int64_t
h1_exchange_begun_ms (const struct h1_exchange *ex)
{
  return ex->begun_ms;
}

size_t
h1_exchange_pending_bytes (const struct h1_exchange *ex)
{
  const struct connection *connection = ex->connection;

  return uv_stream_get_write_queue_size ((const uv_stream_t *)&connection->tcp)
         + (connection->later != NULL ? connection->later->len : 0);
}

static bool
keeps_alive (const struct h1_exchange *ex)
{
  return ex->keep_alive && ex->connection->server->drain_at_ms == 0;
}

static void
format_framing (GString *out, struct h1_exchange *ex, unsigned int status,
                uint64_t length)
{
  if (h1_status_without_body (status))
    return;
  if (ex->framing == H1_FRAMING_LENGTH)
    g_string_append_printf (out, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                            (guint64)length);
  else if (ex->framing == H1_FRAMING_CHUNKED)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
}

void
h1_exchange_begin (struct h1_exchange *ex, unsigned int status,
                   const char *reason, const struct h1_field *fields,
                   size_t field_count, enum h1_framing framing,
                   uint64_t length)
{
  GString *out = g_string_sized_new (512);

  ex->state = EXCHANGE_ANSWERING;
  ex->framing = framing;
  ex->left = h1_status_without_body (status) ? 0 : length;
  if (h1_status_without_body (status))
    ex->framing = H1_FRAMING_LENGTH;
  if (ex->framing == H1_FRAMING_CHUNKED && ex->http_1_0)
    ex->framing = H1_FRAMING_CLOSE;
  if (ex->framing == H1_FRAMING_CLOSE)
    ex->keep_alive = false;
  head_format_answer (out, status, reason, fields, field_count);
  format_framing (out, ex, status, length);
  if (!keeps_alive (ex))
    {
      ex->keep_alive = false;
      g_string_append (out, "Connection: close\r\n");
    }
  g_string_append (out, "\r\n");
  if (ex->head_request)
    ex->left = 0;
  connection_write (ex->connection, out->str, out->len);
  g_string_free (out, TRUE);
}

static void
write_chunk (struct h1_exchange *ex, const char *bytes, size_t bytes_count)
{
  GString *out = g_string_sized_new (bytes_count + 24);

  g_string_append_printf (out, "%zx\r\n", bytes_count);
  g_string_append_len (out, bytes, (gssize)bytes_count);
  g_string_append (out, "\r\n");
  connection_write (ex->connection, out->str, out->len);
  g_string_free (out, TRUE);
}

void
h1_exchange_write (struct h1_exchange *ex, const char *bytes,
                   size_t bytes_count)
{
  if (ex->state != EXCHANGE_ANSWERING || bytes_count == 0 || ex->head_request)
    return;
  if (ex->framing == H1_FRAMING_LENGTH)
    {
      if (bytes_count > ex->left)
        bytes_count = ex->left;
      ex->left -= bytes_count;
      connection_write (ex->connection, bytes, bytes_count);
    }
  else if (ex->framing == H1_FRAMING_CLOSE)
    connection_write (ex->connection, bytes, bytes_count);
  else
    write_chunk (ex, bytes, bytes_count);
  if (h1_exchange_pending_bytes (ex) > HIGH_WATER_BYTES)
    ex->above_water = true;
}

void
h1_exchange_finish (struct h1_exchange *ex)
{
  struct connection *connection = ex->connection;

  if (ex->state != EXCHANGE_ANSWERING)
    return;
  if (ex->left > 0 && ex->framing == H1_FRAMING_LENGTH)
    {
      h1_exchange_cut (ex);
      return;
    }
  if (ex->framing == H1_FRAMING_CHUNKED && !ex->head_request)
    connection_write (connection, "0\r\n\r\n", 5);
  ex->state = EXCHANGE_FINISHED;
  if (h1_exchange_pending_bytes (ex) == 0)
    exchange_written (connection);
}

void
h1_exchange_reply (struct h1_exchange *ex, unsigned int status,
                   const struct h1_field *fields, size_t field_count,
                   const char *body, size_t body_bytes)
{
  h1_exchange_begin (ex, status, NULL, fields, field_count, H1_FRAMING_LENGTH,
                     body_bytes);
  h1_exchange_write (ex, body, body_bytes);
  h1_exchange_finish (ex);
}

void
h1_exchange_cut (struct h1_exchange *ex)
{
  /* A reset, not an orderly end: an answer that is delimited by the end of
     its connection would otherwise look whole. */
  connection_close (ex->connection);
}

void
exchange_drained (struct connection *connection)
{
  struct h1_exchange *ex = connection->exchange;
  struct h1_server_handler *handler = connection->server->handler;

  if (ex == NULL || !ex->above_water
      || h1_exchange_pending_bytes (ex) > LOW_WATER_BYTES)
    return;
  ex->above_water = false;
  if (ex->state == EXCHANGE_ANSWERING && handler->impl->drained != NULL)
    handler->impl->drained (handler, ex);
}
