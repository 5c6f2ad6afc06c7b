#include <stdio.h>
#include <string.h>

#include "server_private.h"

#define HIGH_WATER_BYTES 65536
#define HEAD_BYTES 4096
#define CHUNK_OVERHEAD_BYTES 16

static int
append_header_line (struct lws *wsi, const char *name, const char *value,
                    unsigned char **p, unsigned char *end)
{
  return lws_add_http_header_by_name (wsi, (const unsigned char *)name,
                                      (const unsigned char *)value,
                                      (int)strlen (value), p, end);
}

static int
append_extra_headers (struct http_exchange *ex, unsigned char **p,
                      unsigned char *end)
{
  char **lines = g_strsplit (ex->extra_headers->str, "\n", -1);
  int bad = 0;

  for (size_t i = 0; lines[i] != NULL && lines[i + 1] != NULL; i += 2)
    bad |= append_header_line (ex->wsi, lines[i], lines[i + 1], p, end);
  g_strfreev (lines);
  return bad;
}

/* Formats the answer's head into BUF; returns its length or -1. */
static int
format_head (struct http_exchange *ex, unsigned char *buf, size_t buf_bytes)
{
  unsigned char *p = buf;
  unsigned char *end = buf + buf_bytes;
  bool bad;

  bad = lws_add_http_header_status (ex->wsi, ex->status, &p, end) != 0;
  if (ex->content_type != NULL)
    bad |= append_header_line (ex->wsi, "content-type:", ex->content_type, &p,
                               end)
           != 0;
  bad |= append_extra_headers (ex, &p, end) != 0;
  if (!ex->streamed)
    bad |= lws_add_http_header_content_length (ex->wsi, ex->out->len, &p, end)
           != 0;
  else
    bad |= append_header_line (ex->wsi, "transfer-encoding:", "chunked", &p,
                               end)
           != 0;
  bad |= lws_finalize_http_header (ex->wsi, &p, end) != 0;
  return bad ? -1 : (int)(p - buf);
}

/* Formats the next piece of the body behind P; sets *FINAL at the end. */
static size_t
take_body (struct http_exchange *ex, unsigned char *p, size_t room,
           bool *final)
{
  size_t left = ex->out->len - ex->out_taken;
  size_t n = left < room ? left : room;
  bool chunked = ex->streamed;
  unsigned char *start = p;

  *final = ex->finished && n == left;
  if (chunked && n > 0)
    p += sprintf ((char *)p, "%zx\r\n", n);
  if (n > 0)
    memcpy (p, ex->out->data + ex->out_taken, n);
  p += n;
  if (chunked && n > 0)
    p += sprintf ((char *)p, "\r\n");
  if (chunked && *final)
    p += sprintf ((char *)p, "0\r\n\r\n");
  ex->out_taken += n;
  if (ex->out_taken == ex->out->len)
    {
      g_byte_array_set_size (ex->out, 0);
      ex->out_taken = 0;
    }
  return (size_t)(p - start);
}

static void
report_drained (struct http_exchange *ex)
{
  struct http_handler *handler = ex->server->handler;
  size_t pending = http_exchange_pending_bytes (ex);

  /* A caller that keeps up never lets the buffer rise; its owner, which
   * counts what it has queued, must hear of it all the same. */
  if (!(ex->above_water && pending <= HIGH_WATER_BYTES / 2)
      && !(pending == 0 && ex->out_since_drained >= HIGH_WATER_BYTES / 2))
    return;
  ex->above_water = false;
  ex->out_since_drained = 0;
  if (handler->impl->drained != NULL)
    handler->impl->drained (handler, ex);
}

/* While an HTTP/1.1 answer is made, libwebsockets neither reads the socket
 * nor stops polling it, so that a caller which sends its next request early
 * would make the loop spin.  A held connection is not polled for input; nor
 * does it become writable, so that writing ends the hold. */
void
http_answer_hold (struct http_exchange *ex, bool held)
{
  if (ex->held == held)
    return;
  ex->held = held;
  lws_rx_flow_control (ex->wsi, held ? 0 : 1);
}

static void
request_write (struct http_exchange *ex)
{
  http_answer_hold (ex, false);
  lws_callback_on_writable (ex->wsi);
}

/* Head and body are one raw write. */
static enum answer_result
write_piece (struct http_exchange *ex, unsigned char *buf)
{
  int head_bytes = 0;
  size_t n;
  bool final = false;

  if (!ex->head_sent)
    head_bytes = format_head (ex, buf, HEAD_BYTES);
  if (head_bytes < 0)
    return ANSWER_FAILED;
  ex->head_sent = true;
  n = (size_t)head_bytes;
  n += take_body (ex, buf + n, HTTP_WRITE_BYTES, &final);
  if (n == 0 && !final)
    return ANSWER_CONTINUES;
  if (lws_write (ex->wsi, buf, n,
                 final ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      < 0)
    return ANSWER_FAILED;
  return final ? ANSWER_WHOLE : ANSWER_CONTINUES;
}

enum answer_result
http_answer_write (struct http_exchange *ex)
{
  unsigned char
      buf[LWS_PRE + HEAD_BYTES + HTTP_WRITE_BYTES + CHUNK_OVERHEAD_BYTES * 2];
  enum answer_result result;

  if (ex->aborted)
    return ANSWER_FAILED;
  if (ex->state != EXCHANGE_STARTED)
    return ANSWER_CONTINUES;
  result = write_piece (ex, buf + LWS_PRE);
  if (result != ANSWER_CONTINUES)
    return result;
  if (http_exchange_pending_bytes (ex) > 0 || ex->finished)
    lws_callback_on_writable (ex->wsi);
  else if (ex->had_input)
    http_answer_hold (ex, true);
  report_drained (ex);
  return ANSWER_CONTINUES;
}

void
http_exchange_add_header (struct http_exchange *ex, const char *name,
                          const char *value)
{
  /* A line break in a value would let its source forge headers. */
  char *clean = g_strdelimit (g_strdup (value), "\r\n", ' ');

  g_string_append_printf (ex->extra_headers, "%s:\n%s\n", name, clean);
  g_free (clean);
}

void
http_exchange_respond (struct http_exchange *ex, unsigned int status,
                       const char *content_type, const void *body,
                       size_t body_bytes)
{
  if (ex->state != EXCHANGE_WAITING)
    return;
  ex->state = EXCHANGE_STARTED;
  ex->status = status;
  ex->content_type = g_strdup (content_type);
  if (body_bytes > 0)
    g_byte_array_append (ex->out, body, (guint)body_bytes);
  ex->finished = true;
  request_write (ex);
}

void
http_exchange_start (struct http_exchange *ex, unsigned int status,
                     const char *content_type)
{
  if (ex->state != EXCHANGE_WAITING)
    return;
  ex->state = EXCHANGE_STARTED;
  ex->status = status;
  ex->content_type = g_strdup (content_type);
  ex->streamed = true;
  request_write (ex);
}

void
http_exchange_write (struct http_exchange *ex, const void *bytes,
                     size_t bytes_count)
{
  if (ex->finished || bytes_count == 0)
    return;
  if (ex->out_taken > HIGH_WATER_BYTES)
    {
      g_byte_array_remove_range (ex->out, 0, (guint)ex->out_taken);
      ex->out_taken = 0;
    }
  g_byte_array_append (ex->out, bytes, (guint)bytes_count);
  ex->out_since_drained += bytes_count;
  if (http_exchange_pending_bytes (ex) > HIGH_WATER_BYTES)
    ex->above_water = true;
  request_write (ex);
}

void
http_exchange_finish (struct http_exchange *ex)
{
  if (ex->finished)
    return;
  ex->finished = true;
  request_write (ex);
}

static void
abort_now (void *user)
{
  struct http_exchange *ex = user;

  lws_set_timeout (ex->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                   LWS_TO_KILL_SYNC);
}

/* A connection must not be closed inside its own callback, and a caller that
 * reads nothing never makes its socket writable: hence the timer. */
void
http_exchange_abort (struct http_exchange *ex)
{
  if (ex->aborted)
    return;
  ex->aborted = true;
  ex->abort_timer
      = loop_timer_start (ex->server->context->loop, 0, 0, abort_now, ex);
}

size_t
http_exchange_pending_bytes (const struct http_exchange *ex)
{
  return ex->out->len - ex->out_taken;
}
