#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "http/client.h"
#include "http/server.h"
#include "../h1/answer_heads.h"
#include "../suite.h"

#define PART_DELAY_MS 20
#define LONG_BODY_BYTES (4U << 20)
/* Bytes from one cut to the next if the parts before it come slowly. */
#define CUT_STEP 5
/* Turns of the loop after which closed sockets are forgotten. */
#define TURNS_TO_CLOSE 10

/* A peer that answers whatever comes with fixed bytes and closes. */
struct raw_peer
{
  uv_tcp_t listener;
  uv_tcp_t connection;
  uv_write_t write;
  struct loop_timer *timer;
  char **parts; /* written one after the other */
  size_t next;
  bool resets; /* behind the last of them */
};

struct result
{
  struct http_call_handler base;
  struct loop *loop;
  GString *body;
  bool done;
  bool failed;
};

struct fixture
{
  struct loop *loop;
  struct http_context *context;
  struct raw_peer peer;
  struct result result;
};

static struct fixture fx;

static void
result_data (struct http_call_handler *handler, struct http_call *call,
             const void *bytes, size_t n)
{
  g_string_append_len (fx.result.body, bytes, (gssize)n);
}

static void
result_done (struct http_call_handler *handler, struct http_call *call)
{
  fx.result.done = true;
  loop_quit (fx.loop);
}

static void
result_failed (struct http_call_handler *handler, struct http_call *call,
               bool sent, const char *reason)
{
  fx.result.failed = true;
  loop_quit (fx.loop);
}

static const struct http_call_handler_impl result_impl = {
  .data = result_data,
  .done = result_done,
  .failed = result_failed,
};

static void
allocate (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void write_part (void *user);

static void
written (uv_write_t *write, int status)
{
  if (fx.peer.parts[fx.peer.next] == NULL && fx.peer.resets)
    uv_tcp_close_reset (&fx.peer.connection, NULL);
  else if (fx.peer.parts[fx.peer.next] == NULL)
    uv_close ((uv_handle_t *)&fx.peer.connection, NULL);
  else
    fx.peer.timer
        = loop_timer_start (fx.loop, PART_DELAY_MS, 0, write_part, NULL);
}

static void
write_part (void *user)
{
  char *part = fx.peer.parts[fx.peer.next++];
  uv_buf_t bytes = uv_buf_init (part, (unsigned)strlen (part));

  loop_timer_stop (fx.peer.timer);
  fx.peer.timer = NULL;
  uv_write (&fx.peer.write, (uv_stream_t *)&fx.peer.connection, &bytes, 1,
            written);
}

static void
read_request (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  uv_read_stop (stream);
  if (n > 0)
    write_part (NULL);
}

static void
accept_connection (uv_stream_t *listener, int status)
{
  uv_tcp_init (loop_uv (fx.loop), &fx.peer.connection);
  uv_accept (listener, (uv_stream_t *)&fx.peer.connection);
  uv_read_start ((uv_stream_t *)&fx.peer.connection, allocate, read_request);
}

static uint16_t
listen_raw (void)
{
  struct sockaddr_in address;
  int n = sizeof address;

  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (loop_uv (fx.loop), &fx.peer.listener);
  uv_tcp_bind (&fx.peer.listener, (struct sockaddr *)&address, 0);
  uv_listen ((uv_stream_t *)&fx.peer.listener, 4, accept_connection);
  uv_tcp_getsockname (&fx.peer.listener, (struct sockaddr *)&address, &n);
  return ntohs (address.sin_port);
}

static void
set_up (void)
{
  memset (&fx, 0, sizeof fx);
  fx.loop = loop_create ();
  fx.context = http_context_create (fx.loop, NULL);
  fx.result.base.impl = &result_impl;
  fx.result.body = g_string_new (NULL);
}

static void
tear_down (void)
{
  uv_close ((uv_handle_t *)&fx.peer.listener, NULL);
  loop_timer_stop (fx.peer.timer);
  http_context_destroy (fx.context);
  loop_destroy (fx.loop);
  g_string_free (fx.result.body, TRUE);
  g_strfreev (fx.peer.parts);
}

static void
call_raw_with (const char *bytes, const char *body, size_t body_bytes)
{
  struct http_request request = {
    .method = body_bytes > 0 ? "POST" : "GET",
    .address = "127.0.0.1",
    .path = "/",
    .body = body,
    .body_bytes = body_bytes,
    .timeout_ms = 3000,
  };

  fx.peer.parts = g_strsplit (bytes, "|", -1);
  request.port = listen_raw ();
  http_call_start (fx.context, &request, &fx.result.base);
  loop_run (fx.loop);
}

static void
call_raw (const char *bytes)
{
  call_raw_with (bytes, NULL, 0);
}

#define HEAD "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"

/* A caller takes half an advice for the whole.  The engine's process dies in
 * the middle of a chunked answer; its kernel closes the connection properly,
 * and only the missing last chunk tells it from the end. */
START_TEST (cut_chunked)
{
  call_raw (HEAD "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  ck_assert_str_eq (fx.result.body->str, "half");
  ck_assert (fx.result.failed);
  ck_assert (!fx.result.done);
}
END_TEST

/* The same with an announced length. */
START_TEST (cut_length)
{
  call_raw (HEAD "content-length: 8\r\n\r\nhalf");
  ck_assert (fx.result.failed);
  ck_assert (!fx.result.done);
}
END_TEST

/* Ends the connection after the first BYTES_COUNT bytes of HEAD, which are
 * written at once, or one half after the other. */
static void
call_cut (const char *head, size_t bytes_count, bool in_parts)
{
  char *text = g_strndup (head, bytes_count);

  if (in_parts && bytes_count > 1)
    {
      GString *parts = g_string_new (text);

      g_string_insert_c (parts, (gssize)bytes_count / 2, '|');
      g_free (text);
      text = g_string_free (parts, FALSE);
    }
  uv_close ((uv_handle_t *)&fx.peer.listener, NULL);
  for (int i = 0; i < TURNS_TO_CLOSE; i++)
    uv_run (loop_uv (fx.loop), UV_RUN_NOWAIT);
  g_strfreev (fx.peer.parts);
  memset (&fx.peer, 0, sizeof fx.peer);
  fx.result.done = fx.result.failed = false;
  call_raw (text);
  g_free (text);
}

static const char *const heads[] = {
  HEAD "content-length: 5\r\n\r\n",
  HEAD "content-length: 0\r\n\r\n",
  HEAD "transfer-encoding: chunked\r\n\r\n",
  HEAD "connection: close\r\n\r\n",
};

/* Guards against an answer that passes for a whole one without a body although
 * its peer stopped in the middle of the head. */
START_TEST (cut_head)
{
  const char *head = heads[_i / 2];

  size_t step = _i % 2 == 1 ? CUT_STEP : 1;

  call_raw (HEAD);
  for (size_t n = 1; n < strlen (head); n += step)
    {
      call_cut (head, n, _i % 2 == 1);
      ck_assert_msg (fx.result.failed && !fx.result.done, "%zu bytes of '%s'",
                     n, head);
    }
}
END_TEST

/* Answers a call with HEAD and a body. */
static void
call_head (const char *head)
{
  char *text = g_strconcat (head, "abc", NULL);

  for (char *at = text; (at = strchr (at, '|')) != NULL;)
    *at = '~';
  call_raw (text);
  g_free (text);
}

/* Guards against a status that is none passing for an answer. */
START_TEST (no_status)
{
  call_head (answers_without_status[_i]);
  ck_assert_msg (fx.result.failed && !fx.result.done, "'%s'",
                 answers_without_status[_i]);
}
END_TEST

/* Guards against a line that is no field passing for one, or framing the
 * answer. */
START_TEST (broken_field)
{
  call_head (answers_with_broken_fields[_i]);
  ck_assert_msg (fx.result.failed && !fx.result.done, "'%s'",
                 answers_with_broken_fields[_i]);
}
END_TEST

/* Guards against an answer that is lost since its head looks odd. */
START_TEST (odd_head)
{
  call_head (odd_answers[_i]);
  ck_assert_msg (fx.result.done, "'%s'", odd_answers[_i]);
  ck_assert_str_eq (fx.result.body->str, "abc");
}
END_TEST

/* Guards against a body that was framed in another way than it was read. */
START_TEST (unknown_framing)
{
  call_head (answers_with_unknown_framing[_i]);
  ck_assert_msg (fx.result.failed && !fx.result.done, "'%s'",
                 answers_with_unknown_framing[_i]);
}
END_TEST

/* Calls with TEXT behind the head of an answer in chunks. */
static void
call_chunks (const char *text)
{
  char *all
      = g_strconcat (HEAD "transfer-encoding: chunked\r\n\r\n", text, NULL);

  call_raw (all);
  g_free (all);
}

/* Guards against chunks that are read past what breaks their framing. */
START_TEST (broken_chunks_end)
{
  call_chunks (broken_chunks[_i]);
  ck_assert_msg (fx.result.failed && !fx.result.done, "'%s'",
                 broken_chunks[_i]);
}
END_TEST

START_TEST (odd_chunks_are_whole)
{
  call_chunks (odd_chunks[_i]);
  ck_assert_msg (fx.result.done, "'%s'", odd_chunks[_i]);
  ck_assert_str_eq (fx.result.body->str, "abc");
}
END_TEST

START_TEST (whole_chunked)
{
  call_raw (HEAD "transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
                 "5\r\nwhole\r\n0\r\n\r\n");
  ck_assert_str_eq (fx.result.body->str, "whole");
  ck_assert (fx.result.done);
  ck_assert (!fx.result.failed);
}
END_TEST

/* The last chunk comes late and in pieces; it still is the end. */
START_TEST (whole_chunked_in_pieces)
{
  call_raw (HEAD "transfer-encoding: chunked\r\n\r\n"
                 "5\r\nwh|ole\r\n|0|\r\n|\r\n");
  ck_assert_str_eq (fx.result.body->str, "whole");
  ck_assert (fx.result.done);
  ck_assert (!fx.result.failed);
}
END_TEST

/* The connection ends within the last chunk or before it. */
START_TEST (cut_chunked_in_pieces)
{
  call_raw (HEAD "transfer-encoding: chunked\r\n\r\n"
                 "4\r\nha|lf|\r\n|0\r\n");
  ck_assert_str_eq (fx.result.body->str, "half");
  ck_assert (fx.result.failed);
}
END_TEST

START_TEST (whole_length)
{
  call_raw (HEAD "content-length: 5\r\nconnection: close\r\n\r\nwhole");
  ck_assert_str_eq (fx.result.body->str, "whole");
  ck_assert (fx.result.done);
}
END_TEST

/* Guards against a part of an answer without a length passing for the whole
 * although its connection was reset. */
START_TEST (unframed)
{
  fx.peer.resets = _i == 1;
  call_raw (HEAD "\r\nwh|ole");
  ck_assert (fx.result.done == (_i == 0));
  ck_assert (fx.result.failed == (_i == 1));
}
END_TEST

/* Guards against the same where the answer came before the request was read,
 * and the kernel resets the connection for what is unread. */
START_TEST (early_unframed)
{
  char *body = g_strnfill (LONG_BODY_BYTES, 'x');

  fx.peer.resets = _i == 1;
  call_raw_with (HEAD "\r\npart", body, LONG_BODY_BYTES);
  ck_assert (!fx.result.done);
  ck_assert (fx.result.failed);
  g_free (body);
}
END_TEST

START_TEST (whole_empty)
{
  call_raw ("HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n");
  ck_assert (fx.result.done);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("raw");
  TCase *tcase = tcase_create ("raw");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 20);
  tcase_add_test (tcase, cut_chunked);
  tcase_add_test (tcase, cut_length);
  tcase_add_loop_test (tcase, cut_head, 0, 2 * (int)G_N_ELEMENTS (heads));
  tcase_add_loop_test (tcase, no_status, 0,
                       (int)G_N_ELEMENTS (answers_without_status));
  tcase_add_loop_test (tcase, broken_field, 0,
                       (int)G_N_ELEMENTS (answers_with_broken_fields));
  tcase_add_loop_test (tcase, unknown_framing, 0,
                       (int)G_N_ELEMENTS (answers_with_unknown_framing));
  tcase_add_loop_test (tcase, odd_head, 0, (int)G_N_ELEMENTS (odd_answers));
  tcase_add_loop_test (tcase, broken_chunks_end, 0,
                       (int)G_N_ELEMENTS (broken_chunks));
  tcase_add_loop_test (tcase, odd_chunks_are_whole, 0,
                       (int)G_N_ELEMENTS (odd_chunks));
  tcase_add_test (tcase, whole_chunked);
  tcase_add_test (tcase, whole_chunked_in_pieces);
  tcase_add_test (tcase, cut_chunked_in_pieces);
  tcase_add_test (tcase, whole_length);
  tcase_add_loop_test (tcase, unframed, 0, 2);
  tcase_add_loop_test (tcase, early_unframed, 0, 2);
  tcase_add_test (tcase, whole_empty);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
