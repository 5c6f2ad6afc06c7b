#include "h1/client.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "builder.h"

#define CONNECT_TIMEOUT_MS 1000
#define READ_BYTES 65536
/* Bytes of framing for each byte of the body. */
#define FRAMING_PER_BYTE 64

struct h1_call
{
  uv_tcp_t tcp;
  struct loop_timer *timer; /* of the connection, the hold, then the limits */
  void (*timer_cb) (struct h1_call *call); /* what it is set for */
  uv_connect_t connect;
  uv_write_t write;
  struct h1_call_handler *handler;
  GString *out; /* head and body until they are written */
  http_parser parser;
  struct head_builder builder;
  struct h1_answer_limits limits;
  uint64_t read_bytes; /* of the answer */
  uint64_t body_bytes;
  int64_t sent_ms;
  int64_t head_ms; /* first byte of the head that is being read; 0: none */
  int64_t body_ms; /* first byte after the head; 0: none yet */
  uint32_t refs;   /* the open socket, and holders of the head */
  int64_t hold_ms;
  bool no_answer_body;
  bool connect_only;
  bool sent;
  bool head_told;
  bool over_limit;
  bool whole;
  bool closing;
};

const char *
h1_failure_name (enum h1_failure failure)
{
  static const char *const names[]
      = { "refused", "connect_timeout", "reset", "closed",
          "garbled", "endless",         "silent" };

  return names[failure];
}

static void
call_unref (struct h1_call *call)
{
  if (--call->refs > 0)
    return;
  head_builder_clear (&call->builder);
  if (call->out != NULL)
    g_string_free (call->out, TRUE);
  g_free (call);
}

static void
handle_closed (uv_handle_t *handle)
{
  call_unref (handle->data);
}

/* The memory lives until libuv has reported the socket closed. */
static void
call_close (struct h1_call *call)
{
  if (call->closing)
    return;
  call->closing = true;
  uv_close ((uv_handle_t *)&call->tcp, handle_closed);
  loop_timer_stop (call->timer);
}

static void
call_fail (struct h1_call *call, enum h1_failure failure)
{
  if (call->closing)
    return;
  call_close (call);
  call->handler->impl->failed (call->handler, call, failure, call->sent);
}

static void
timer_due (void *user)
{
  struct h1_call *call = user;

  call->timer_cb (call);
}

static void
call_timer_set (struct h1_call *call, int64_t delay_ms,
                void (*cb) (struct h1_call *call))
{
  call->timer_cb = cb;
  loop_timer_set (call->timer, delay_ms, 0);
}

static int64_t
call_now_ms (const struct h1_call *call)
{
  return (int64_t)uv_now (call->tcp.loop);
}

static int
on_begin (http_parser *parser)
{
  struct h1_call *call = parser->data;

  call->head_ms = call_now_ms (call);
  return 0;
}

static int
on_status (http_parser *parser, const char *at, size_t length)
{
  struct h1_call *call = parser->data;

  head_builder_add (&call->builder, HEAD_START, at, length);
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  struct h1_call *call = parser->data;

  if (!call->head_told)
    head_builder_add (&call->builder, HEAD_NAME, at, length);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  struct h1_call *call = parser->data;

  if (!call->head_told)
    head_builder_add (&call->builder, HEAD_VALUE, at, length);
  return 0;
}

static bool
is_interim (const http_parser *parser)
{
  return parser->status_code / 100 == 1;
}

static int
on_head (http_parser *parser)
{
  struct h1_call *call = parser->data;

  parser->upgrade = 0;
  call->head_ms = 0;
  if (is_interim (parser))
    return 0;
  head_builder_finish (&call->builder, parser);
  call->head_told = true;
  call->handler->impl->head (call->handler, call, &call->builder.head);
  return call->no_answer_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct h1_call *call = parser->data;

  call->body_bytes += length;
  if (call->limits.body_bytes > 0
      && call->body_bytes > call->limits.body_bytes)
    call->over_limit = true;
  else if (!call->closing)
    call->handler->impl->data (call->handler, call, at, length);
  return 0;
}

static int
on_message (http_parser *parser)
{
  struct h1_call *call = parser->data;

  if (is_interim (parser))
    {
      head_builder_reset (&call->builder);
      return 0;
    }
  call->whole = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_status = on_status,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_message,
};

/* Ends the call if the answer is whole.  What may follow on the connection
 * belongs to no request and is never read. */
static void
call_check_whole (struct h1_call *call)
{
  if (!call->whole || call->closing)
    return;
  call_close (call);
  call->handler->impl->done (call->handler, call);
}

/* Bytes that are no body grow with it only as far as framing needs them. */
static bool
exceeds_bytes (const struct h1_call *call)
{
  return call->over_limit
         || (call->limits.head_bytes > 0
             && call->read_bytes - call->body_bytes
                    > call->limits.head_bytes
                          + FRAMING_PER_BYTE * call->body_bytes);
}

static int64_t
earlier (int64_t end_ms, int64_t since_ms, int64_t limit_ms)
{
  return since_ms > 0 && limit_ms > 0 ? MIN (end_ms, since_ms + limit_ms)
                                      : end_ms;
}

static void
answer_late (struct h1_call *call)
{
  call_fail (call,
             call->read_bytes > 0 ? H1_FAILURE_ENDLESS : H1_FAILURE_SILENT);
}

static void
call_set_timer (struct h1_call *call)
{
  const struct h1_answer_limits *limits = &call->limits;
  int64_t end_ms = INT64_MAX;

  end_ms = earlier (end_ms, call->sent_ms, limits->all_ms);
  end_ms = earlier (end_ms, call->head_ms, limits->head_ms);
  end_ms = earlier (end_ms, call->body_ms, limits->body_ms);
  if (end_ms == INT64_MAX)
    loop_timer_unset (call->timer);
  else
    call_timer_set (call, end_ms - call_now_ms (call), answer_late);
}

static void
call_parse (struct h1_call *call, const char *bytes, size_t bytes_count)
{
  bool had_head = call->head_told;
  size_t taken = http_parser_execute (&call->parser, &parser_settings, bytes,
                                      bytes_count);
  enum http_errno error = HTTP_PARSER_ERRNO (&call->parser);

  if (call->closing)
    return;
  call->read_bytes += taken;
  if (call->body_ms == 0 && (had_head || call->body_bytes > 0))
    call->body_ms = call_now_ms (call);
  if (exceeds_bytes (call) || error == HPE_HEADER_OVERFLOW)
    call_fail (call, H1_FAILURE_ENDLESS);
  else if (call->whole)
    call_check_whole (call);
  else if (taken != bytes_count || error != HPE_OK)
    call_fail (call, H1_FAILURE_GARBLED);
  else
    call_set_timer (call);
}

/* libuv reports the end of a connection when the poll says "hung up" after a
 * short read, without reading again; a reset would pass for an orderly end,
 * and an answer that is delimited by it for a whole one.  The socket still
 * knows. */
static bool
was_reset (const struct h1_call *call)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((const uv_handle_t *)&call->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == ECONNRESET;
}

/* An orderly end completes an answer without a stated length, and only such
 * an answer; the parser knows. */
static void
call_ended (struct h1_call *call)
{
  if (was_reset (call))
    {
      call_fail (call, H1_FAILURE_RESET);
      return;
    }
  http_parser_execute (&call->parser, &parser_settings, NULL, 0);
  if (call->closing)
    return;
  if (call->whole)
    call_check_whole (call);
  else
    call_fail (call, H1_FAILURE_CLOSED);
}

static void
read_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  /* libuv reads and delivers at once, so one buffer serves all calls. */
  static char bytes[READ_BYTES];

  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
read_done (uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
  struct h1_call *call = stream->data;

  if (call->closing)
    return;
  /* No answer can be due before the request was sent. */
  if (count > 0 && !call->sent)
    call_fail (call, H1_FAILURE_GARBLED);
  else if (count > 0)
    call_parse (call, buf->base, (size_t)count);
  else if (count == UV_EOF)
    call_ended (call);
  else if (count < 0)
    call_fail (call, H1_FAILURE_RESET);
}

static void
write_done (uv_write_t *write, int status)
{
  struct h1_call *call = write->data;

  /* A failed write is left to the reading side: the endpoint may have
     answered before it closed, and that answer counts. */
  g_string_free (call->out, TRUE);
  call->out = NULL;
}

static void
call_send (struct h1_call *call)
{
  uv_buf_t buf = uv_buf_init (call->out->str, (unsigned int)call->out->len);

  call->write.data = call;
  if (uv_write (&call->write, (uv_stream_t *)&call->tcp, &buf, 1, write_done)
      != 0)
    {
      call_fail (call, H1_FAILURE_RESET);
      return;
    }
  call->sent = true;
  call->sent_ms = call_now_ms (call);
  call_set_timer (call);
  uv_read_start ((uv_stream_t *)&call->tcp, read_alloc, read_done);
}

/* The connection is established, and has been held. */
static void
call_connected (struct h1_call *call)
{
  if (!call->connect_only)
    {
      call_send (call);
      return;
    }
  call_close (call);
  call->handler->impl->done (call->handler, call);
}

/* A reset may have come since the last read. */
static void
hold_over (struct h1_call *call)
{
  if (was_reset (call))
    call_fail (call, H1_FAILURE_RESET);
  else
    call_connected (call);
}

/* Reads meanwhile, so that the end of the connection is noticed. */
static void
call_hold (struct h1_call *call)
{
  uv_read_start ((uv_stream_t *)&call->tcp, read_alloc, read_done);
  call_timer_set (call, call->hold_ms, hold_over);
}

static void
connect_done (uv_connect_t *connect, int status)
{
  struct h1_call *call = connect->data;

  if (call->closing)
    return;
  loop_timer_unset (call->timer);
  if (status != 0)
    {
      call_fail (call, status == UV_ECONNREFUSED ? H1_FAILURE_REFUSED
                                                 : H1_FAILURE_CONNECT);
      return;
    }
  uv_tcp_nodelay (&call->tcp, 1);
  if (call->hold_ms > 0)
    call_hold (call);
  else
    call_connected (call);
}

static void
connect_late (struct h1_call *call)
{
  call_fail (call, H1_FAILURE_CONNECT);
}

static void
connect_failed_early (struct h1_call *call)
{
  call_fail (call, H1_FAILURE_REFUSED);
}

struct h1_call *
h1_call_start (struct loop *loop, const struct h1_request *request,
               struct h1_call_handler *handler)
{
  struct h1_call *call = g_new0 (struct h1_call, 1);
  struct sockaddr_in address;
  int64_t timeout_ms = request->connect_timeout_ms;
  int failed;

  call->handler = handler;
  call->no_answer_body = request->no_answer_body;
  call->connect_only = request->connect_only;
  call->limits = request->limits;
  call->hold_ms = request->hold_ms;
  call->refs = 1;
  call->out = g_string_sized_new (request->head_bytes + request->body_bytes);
  g_string_append_len (call->out, request->head, (gssize)request->head_bytes);
  if (request->body_bytes > 0)
    g_string_append_len (call->out, request->body,
                         (gssize)request->body_bytes);
  head_builder_init (&call->builder);
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  uv_tcp_init (loop_uv (loop), &call->tcp);
  call->timer = loop_timer_create (loop, timer_due, call);
  call->tcp.data = call;
  call->connect.data = call;
  failed = uv_ip4_addr (request->address, request->port, &address);
  if (failed == 0)
    failed = uv_tcp_connect (&call->connect, &call->tcp,
                             (const struct sockaddr *)&address, connect_done);
  if (failed != 0)
    timeout_ms = 0;
  else if (timeout_ms == 0)
    timeout_ms = CONNECT_TIMEOUT_MS;
  call_timer_set (call, timeout_ms,
                  failed != 0 ? connect_failed_early : connect_late);
  return call;
}

void
h1_call_cancel (struct h1_call *call)
{
  call_close (call);
}

void
h1_call_retain (struct h1_call *call)
{
  call->refs++;
}

void
h1_call_release (struct h1_call *call)
{
  call_unref (call);
}

bool
h1_call_sent (const struct h1_call *call)
{
  return call->sent;
}

void
h1_call_pause (struct h1_call *call, bool paused)
{
  if (call->closing || !call->sent)
    return;
  if (paused)
    uv_read_stop ((uv_stream_t *)&call->tcp);
  else
    uv_read_start ((uv_stream_t *)&call->tcp, read_alloc, read_done);
}
