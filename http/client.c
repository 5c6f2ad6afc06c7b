#include "http/client.h"

#include <glib.h>
#include <string.h>

#include "h1/answer.h"
#include "h1/connection.h"
#include "private.h"
#include "traffic.h"

/* Of an answer: heads, and framing beside what grows with the body. */
#define HEAD_BYTES_MAX 65536
/* A body that has arrived for longer must bring so much on average. */
#define SLOW_MS 5000
#define SLOWEST_BYTES_PER_S 1000

struct http_call
{
  struct h1_answer_handler base;
  struct http_context *context;
  struct http_call_handler *handler;
  struct lws *wsi;
  struct loop_timer *timer;
  int64_t idle_timeout_ms;
  int64_t begun_ms; /* time of the body's first bytes; 0: none yet */
  int64_t heard_ms; /* and of its last */
  uint32_t refs;    /* the call, and a read of its answer */
  char *address;
  char *host;
  GString *request; /* behind LWS_PRE bytes of room */
  size_t request_sent_bytes;
  struct http_tls *tls; /* NULL: none */
  struct h1_answer *answer;
  const struct h1_head *head; /* NULL until it has arrived */
  bool starting;
  bool sent;
  bool ended; /* no callback may follow */
  bool failed_in_start;
  const char *reason;
};

static void
call_unref (struct http_call *call)
{
  if (--call->refs > 0)
    return;
  h1_answer_destroy (call->answer);
  http_tls_destroy (call->tls);
  g_string_free (call->request, TRUE);
  g_free (call->address);
  g_free (call->host);
  g_free (call);
}

/* The call has ended for its owner. */
static void
call_free (struct http_call *call)
{
  loop_timer_stop (call->timer);
  call->timer = NULL;
  call_unref (call);
}

/* libwebsockets may still call back for a connection whose call has ended;
 * it then finds no call. */
static void
call_detach (struct http_call *call)
{
  call->ended = true;
  if (call->wsi == NULL)
    return;
  http_traffic_add (lws_get_socket_fd (call->wsi),
                    &call->context->traffic.sent_bytes,
                    &call->context->traffic.received_bytes);
  lws_set_opaque_user_data (call->wsi, NULL);
  call->wsi = NULL;
}

static void
call_fail (struct http_call *call, const char *reason)
{
  if (call->ended)
    return;
  if (call->starting)
    {
      call->failed_in_start = true;
      call->reason = reason;
      call_detach (call);
      return;
    }
  call_detach (call);
  call->handler->impl->failed (call->handler, call, call->sent, reason);
  call_free (call);
}

static void
call_finish (struct http_call *call)
{
  if (call->ended)
    return;
  call_detach (call);
  call->handler->impl->done (call->handler, call);
  call_free (call);
}

/* Closing a connection inside its own callback frees memory that
 * libwebsockets still uses; there, the callback's return value closes it. */
static void
kill_connection (struct http_context *context, struct lws *wsi)
{
  if (wsi != NULL && wsi != context->active)
    lws_set_timeout (wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_SYNC);
}

static void
fail_and_close (struct http_call *call, const char *reason)
{
  struct http_context *context = call->context;
  struct lws *wsi = call->wsi;

  call_fail (call, reason);
  kill_connection (context, wsi);
}

static void
timed_out (void *user)
{
  fail_and_close (user, "timeout");
}

/* Returns whether the answer's body arrives more slowly than over any network
 * that is in use. */
static bool
is_too_slow (const struct http_call *call, int64_t now_ms)
{
  int64_t late_ms = now_ms - call->begun_ms - SLOW_MS;

  return late_ms > 0
         && (int64_t)h1_answer_body_bytes (call->answer)
                < late_ms * SLOWEST_BYTES_PER_S / 1000;
}

static void idle_check (void *user);

static void
idle_timer_set (struct http_call *call, int64_t delay_ms)
{
  loop_timer_stop (call->timer);
  call->timer
      = loop_timer_start (call->context->loop, delay_ms, 0, idle_check, call);
}

/* Bytes of the body only move a time, and the timer looks whether it is old
 * enough: moving the timer with each of them would cost more. */
static void
idle_check (void *user)
{
  struct http_call *call = user;
  int64_t now_ms = loop_now_ms (call->context->loop);
  int64_t idle_ms = now_ms - call->heard_ms;

  if (idle_ms >= call->idle_timeout_ms)
    {
      timed_out (call);
      return;
    }
  if (is_too_slow (call, now_ms))
    {
      fail_and_close (call, HTTP_ENDLESS_ANSWER);
      return;
    }
  idle_timer_set (call, call->idle_timeout_ms - idle_ms);
}

/* A large answer on a slow link needs longer than any call that the network
 * has lost; from its first byte on only silence shows a loss. */
static void
note_heard (struct http_call *call)
{
  bool first = call->begun_ms == 0;

  if (call->idle_timeout_ms == 0)
    return;
  call->heard_ms = loop_now_ms (call->context->loop);
  if (!first)
    return;
  call->begun_ms = call->heard_ms;
  idle_timer_set (call, call->idle_timeout_ms);
}

static void
answer_head (struct h1_answer_handler *handler, const struct h1_head *head)
{
  struct http_call *call = (struct http_call *)handler;

  call->head = head;
  if (!call->ended && call->handler->impl->head != NULL)
    call->handler->impl->head (call->handler, call, head->status);
}

static void
answer_data (struct h1_answer_handler *handler, const char *bytes,
             size_t bytes_count)
{
  struct http_call *call = (struct http_call *)handler;

  if (call->ended)
    return;
  note_heard (call);
  if (call->handler->impl->data != NULL)
    call->handler->impl->data (call->handler, call, bytes, bytes_count);
}

static const struct h1_answer_handler_impl answer_impl = {
  .head = answer_head,
  .data = answer_data,
};

static void
fail_later (void *user)
{
  struct http_call *call = user;

  call->handler->impl->failed (call->handler, call, call->sent, call->reason);
  call_free (call);
}

/* Returns the next bytes of the request that one write takes. */
static size_t
next_piece (const struct http_call *call, const char **bytes)
{
  *bytes = call->request->str + LWS_PRE + call->request_sent_bytes;
  return MIN (call->request->len - LWS_PRE - call->request_sent_bytes,
              HTTP_WRITE_BYTES);
}

static int
write_plain (struct http_call *call)
{
  const char *bytes;
  size_t n = next_piece (call, &bytes);

  if (n == 0)
    return 0;
  /* From here on bytes may reach the socket. */
  call->sent = true;
  if (lws_write (call->wsi, (unsigned char *)bytes, n, LWS_WRITE_RAW) < 0)
    return -1;
  call->request_sent_bytes += n;
  return 0;
}

static int
write_tls (struct http_call *call)
{
  unsigned char buf[LWS_PRE + HTTP_WRITE_BYTES];
  const char *bytes;
  size_t n = next_piece (call, &bytes);

  if (n > 0 && http_tls_ready (call->tls) && !http_tls_pending (call->tls))
    {
      call->sent = true;
      if (!http_tls_write (call->tls, bytes, n))
        return -1;
      call->request_sent_bytes += n;
    }
  n = http_tls_take (call->tls, buf + LWS_PRE, HTTP_WRITE_BYTES);
  if (n == 0)
    return 0;
  return lws_write (call->wsi, buf + LWS_PRE, n, LWS_WRITE_RAW) < 0 ? -1 : 0;
}

static bool
wants_write (const struct http_call *call)
{
  const char *bytes;

  if (call->tls != NULL && http_tls_pending (call->tls))
    return true;
  return next_piece (call, &bytes) > 0
         && (call->tls == NULL || http_tls_ready (call->tls));
}

static int
write_request (struct http_call *call)
{
  int result = call->tls != NULL ? write_tls (call) : write_plain (call);

  if (result == 0 && wants_write (call))
    lws_callback_on_writable (call->wsi);
  return result;
}

/* Returns -1 if the connection is to be closed. */
static int
take_answer (struct http_call *call, const char *bytes, size_t bytes_count)
{
  enum h1_answer_state state;
  bool ended;

  if (!call->sent)
    {
      call_fail (call, "bytes before the request");
      return -1;
    }
  call->refs++;
  state = h1_answer_read (call->answer, bytes, bytes_count);
  if (state == H1_ANSWER_WHOLE)
    call_finish (call);
  else if (state == H1_ANSWER_GARBLED)
    call_fail (call, "no HTTP answer");
  else if (state == H1_ANSWER_ENDLESS)
    call_fail (call, HTTP_ENDLESS_ANSWER);
  /* The handler may have cancelled the call. */
  ended = call->ended;
  call_unref (call);
  return ended ? -1 : 0;
}

static int
take_tls (struct http_call *call, const char *bytes, size_t bytes_count)
{
  char plain[HTTP_WRITE_BYTES];
  int result = 0;
  int n;

  if (!http_tls_receive (call->tls, bytes, bytes_count))
    {
      call_fail (call, "TLS handshake failed");
      return -1;
    }
  call->refs++;
  while (result == 0
         && (n = http_tls_read (call->tls, plain, sizeof plain)) != 0)
    {
      if (n < 0)
        call_fail (call, "TLS broke");
      result = n < 0 ? -1 : take_answer (call, plain, (size_t)n);
    }
  if (result == 0 && wants_write (call))
    lws_callback_on_writable (call->wsi);
  call_unref (call);
  return result;
}

/* Whether the server has ended the connection in order, and received the whole
 * request. */
static bool
closed_in_order (const struct http_call *call, struct lws *wsi)
{
  int fd = lws_get_socket_fd (wsi);

  return call->request_sent_bytes == call->request->len - LWS_PRE
         && !lws_partial_buffered (wsi) && fd >= 0 && !h1_connection_reset (fd)
         && h1_connection_delivered (fd)
         && (call->tls == NULL || http_tls_closed (call->tls));
}

/* The end of the connection completes an answer without a stated length. */
static void
take_end (struct http_call *call, struct lws *wsi)
{
  if (closed_in_order (call, wsi)
      && h1_answer_end (call->answer) == H1_ANSWER_WHOLE)
    call_finish (call);
  else
    call_fail (call, "connection closed");
}

static int
dispatch_call (struct http_call *call, struct lws *wsi,
               enum lws_callback_reasons reason, void *in, size_t len)
{
  switch (reason)
    {
    case LWS_CALLBACK_RAW_CONNECTED:
      call->wsi = wsi;
      lws_callback_on_writable (wsi);
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return write_request (call);
    case LWS_CALLBACK_RAW_RX:
      return call->tls != NULL ? take_tls (call, in, len)
                               : take_answer (call, in, len);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      call_fail (call, "connection error");
      return 0;
    case LWS_CALLBACK_RAW_CLOSE:
      take_end (call, wsi);
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      call_fail (call, "connection closed");
      return 0;
    default:
      return 0;
    }
}

static int
dispatch (struct lws *wsi, enum lws_callback_reasons reason, void *in,
          size_t len)
{
  struct http_call *call = lws_get_opaque_user_data (wsi);

  if (call == NULL)
    {
      switch (reason)
        {
        case LWS_CALLBACK_RAW_CONNECTED:
        case LWS_CALLBACK_RAW_WRITEABLE:
        case LWS_CALLBACK_RAW_RX:
          return -1;
        default:
          return 0;
        }
    }
  return dispatch_call (call, wsi, reason, in, len);
}

int
http_client_callback (struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
  struct http_context *context = lws_context_user (lws_get_context (wsi));
  struct lws *outer;
  int result;

  if (context == NULL)
    return 0;
  outer = context->active;
  context->active = wsi;
  result = dispatch (wsi, reason, in, len);
  context->active = outer;
  return result;
}

/* A blank or control byte in a path would let its source forge a request. */
static void
append_path (GString *out, const char *path)
{
  for (const char *p = path; *p != '\0'; p++)
    if (g_ascii_isgraph (*p) || (*p & 0x80) != 0)
      g_string_append_c (out, *p);
    else
      g_string_append_printf (out, "%%%02X", (unsigned char)*p);
}

/* A line break in a value would let its source forge headers. */
static void
append_header (GString *out, const char *name, const char *value)
{
  char *clean = g_strdelimit (g_strdup (value), "\r\n", ' ');

  g_string_append_printf (out, "%s: %s\r\n", name, clean);
  g_free (clean);
}

static GString *
format_request (const struct http_request *request, const char *host)
{
  GString *out = g_string_sized_new (LWS_PRE + 512 + request->body_bytes);

  g_string_set_size (out, LWS_PRE);
  g_string_append_printf (out, "%s ", request->method);
  append_path (out, request->path);
  g_string_append (out, " HTTP/1.1\r\nPragma: no-cache\r\n"
                        "Cache-Control: no-cache\r\n");
  append_header (out, "Host", host);
  for (size_t i = 0; i < request->header_count; i++)
    append_header (out, request->headers[i].name, request->headers[i].value);
  if (request->body_bytes > 0 || strcmp (request->method, "GET") != 0)
    g_string_append_printf (out, "content-length: %zu\r\n",
                            request->body_bytes);
  g_string_append (out, "connection: close\r\n\r\n");
  if (request->body_bytes > 0)
    g_string_append_len (out, request->body, (gssize)request->body_bytes);
  return out;
}

static char *
format_host (const struct http_request *request)
{
  if (request->tls_host != NULL)
    return g_strdup (request->tls_host);
  return g_strdup_printf ("%s:%u", request->address, request->port);
}

static struct http_tls *
tls_start (struct http_context *context, const struct http_request *request)
{
  SSL_CTX *shared = http_context_client_tls (context);

  return shared == NULL ? NULL
                        : http_tls_create (shared, request->tls_host != NULL
                                                       ? request->tls_host
                                                       : request->address);
}

struct http_call *
http_call_start (struct http_context *context,
                 const struct http_request *request,
                 struct http_call_handler *handler)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  struct lws_client_connect_info info = { 0 };
  struct lws *wsi;

  call->base.impl = &answer_impl;
  call->context = context;
  call->handler = handler;
  call->refs = 1;
  call->address = g_strdup (request->address);
  call->host = format_host (request);
  call->request = format_request (request, call->host);
  call->answer = h1_answer_create (
      strcmp (request->method, "HEAD") == 0,
      (struct h1_answer_bytes){ .head_bytes = HEAD_BYTES_MAX,
                                .body_bytes = request->answer_max_bytes },
      &call->base);
  info.context = context->lws;
  info.vhost = context->client_vhost;
  info.address = call->address;
  info.port = request->port;
  info.path = "/";
  info.host = call->host;
  /* The library only moves the bytes: it takes heads that are none, and an
   * interim one for the answer's. */
  info.method = "RAW";
  info.protocol = "http";
  info.local_protocol_name = "http";
  info.opaque_user_data = call;
  info.pwsi = &call->wsi;
  if (request->tls)
    call->tls = tls_start (context, request);
  call->starting = true;
  wsi = request->tls && call->tls == NULL
            ? NULL
            : lws_client_connect_via_info (&info);
  call->starting = false;
  if (wsi == NULL || call->failed_in_start)
    {
      call->wsi = NULL;
      call->ended = true;
      if (call->reason == NULL)
        call->reason = "connection error";
      call->timer = loop_timer_start (context->loop, 0, 0, fail_later, call);
      return call;
    }
  call->idle_timeout_ms = request->idle_timeout_ms;
  if (request->timeout_ms > 0)
    call->timer = loop_timer_start (context->loop, request->timeout_ms, 0,
                                    timed_out, call);
  return call;
}

void
http_call_cancel (struct http_call *call)
{
  struct lws *wsi = call->wsi;

  call_detach (call);
  kill_connection (call->context, wsi);
  call_free (call);
}

void
http_call_pause (struct http_call *call, bool paused)
{
  if (call->wsi != NULL)
    lws_rx_flow_control (call->wsi, paused ? 0 : 1);
}

const char *
http_call_header (struct http_call *call, const char *name)
{
  return call->head != NULL ? h1_head_find (call->head, name) : NULL;
}

unsigned int
http_call_status (const struct http_call *call)
{
  return call->head != NULL ? call->head->status : 0;
}

bool
http_call_sent (const struct http_call *call)
{
  return call->sent;
}
