#include "h1/client.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "h1/answer.h"
#include "h1/connection.h"

#define CONNECT_TIMEOUT_MS 1000
#define READ_BYTES 65536

struct h1_call
{
  struct h1_answer_handler base;
  uv_tcp_t tcp;
  struct loop_timer *timer; /* of the connection, the hold, then the limits */
  void (*timer_cb) (struct h1_call *call); /* what it is set for */
  uv_connect_t connect;
  uv_write_t write;
  struct h1_call_handler *handler;
  GString *out; /* head and body until they are written */
  struct h1_answer *answer;
  struct h1_answer_limits limits;
  int64_t sent_ms;
  int64_t head_ms; /* first byte of the head that is being read; 0: none */
  int64_t body_ms; /* first byte after the head; 0: none yet */
  uint32_t refs;   /* the open socket, and holders of the head */
  int64_t hold_ms;
  bool connect_only;
  bool sent;    /* a byte of the request at least */
  bool written; /* all of it */
  bool has_head;
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
  h1_answer_destroy (call->answer);
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

static void
answer_begin (struct h1_answer_handler *handler)
{
  struct h1_call *call = (struct h1_call *)handler;

  call->head_ms = call_now_ms (call);
}

static void
answer_head (struct h1_answer_handler *handler, const struct h1_head *head)
{
  struct h1_call *call = (struct h1_call *)handler;

  call->has_head = true;
  if (!call->closing)
    call->handler->impl->head (call->handler, call, head);
}

static void
answer_data (struct h1_answer_handler *handler, const char *bytes,
             size_t bytes_count)
{
  struct h1_call *call = (struct h1_call *)handler;

  if (!call->closing)
    call->handler->impl->data (call->handler, call, bytes, bytes_count);
}

static const struct h1_answer_handler_impl answer_impl = {
  .begin = answer_begin,
  .head = answer_head,
  .data = answer_data,
};

static void
call_finish (struct h1_call *call)
{
  if (call->closing)
    return;
  call_close (call);
  call->handler->impl->done (call->handler, call);
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
  call_fail (call, h1_answer_read_bytes (call->answer) > 0
                       ? H1_FAILURE_ENDLESS
                       : H1_FAILURE_SILENT);
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
call_read (struct h1_call *call, const char *bytes, size_t bytes_count)
{
  bool had_head = call->has_head;
  enum h1_answer_state state
      = h1_answer_read (call->answer, bytes, bytes_count);

  if (call->closing)
    return;
  if (!h1_answer_in_head (call->answer))
    call->head_ms = 0;
  if (call->body_ms == 0
      && (had_head || h1_answer_body_bytes (call->answer) > 0))
    call->body_ms = call_now_ms (call);
  switch (state)
    {
    case H1_ANSWER_READING:
      call_set_timer (call);
      break;
    case H1_ANSWER_WHOLE:
      call_finish (call);
      break;
    case H1_ANSWER_GARBLED:
      call_fail (call, H1_FAILURE_GARBLED);
      break;
    case H1_ANSWER_ENDLESS:
      call_fail (call, H1_FAILURE_ENDLESS);
      break;
    }
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

  if (uv_fileno ((const uv_handle_t *)&call->tcp, &fd) != 0)
    return false;
  return (recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
          && errno == ECONNRESET)
         || h1_connection_reset (fd);
}

/* Whether the endpoint has received the whole request. */
static bool
request_delivered (const struct h1_call *call)
{
  uv_os_fd_t fd;

  return call->written
         && (uv_fileno ((const uv_handle_t *)&call->tcp, &fd) != 0
             || h1_connection_delivered (fd));
}

/* An orderly end completes an answer without a stated length, and only such
 * an answer.  If it came before the request was delivered, nothing shows that
 * it is one: the write may have met the error of a reset, which is told
 * once. */
static void
call_ended (struct h1_call *call)
{
  if (was_reset (call))
    call_fail (call, H1_FAILURE_RESET);
  else if (h1_answer_end (call->answer) != H1_ANSWER_WHOLE)
    call_fail (call, H1_FAILURE_CLOSED);
  else if (!request_delivered (call))
    call_fail (call, H1_FAILURE_RESET);
  else
    call_finish (call);
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
    call_read (call, buf->base, (size_t)count);
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
  call->written = status == 0;
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
  call_finish (call);
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

  call->base.impl = &answer_impl;
  call->handler = handler;
  call->connect_only = request->connect_only;
  call->limits = request->limits;
  call->hold_ms = request->hold_ms;
  call->refs = 1;
  call->out = g_string_sized_new (request->head_bytes + request->body_bytes);
  g_string_append_len (call->out, request->head, (gssize)request->head_bytes);
  if (request->body_bytes > 0)
    g_string_append_len (call->out, request->body,
                         (gssize)request->body_bytes);
  call->answer = h1_answer_create (
      request->no_answer_body,
      (struct h1_answer_bytes){ .head_bytes = request->limits.head_bytes,
                                .body_bytes = request->limits.body_bytes },
      &call->base);
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
