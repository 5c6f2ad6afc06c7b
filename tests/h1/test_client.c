#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../suite.h"
#include "answer_heads.h"
#include "h1/answer.h"
#include "h1/client.h"
#include "raw.h"

/* A body that no buffer of the kernel holds, and one that they hold. */
#define LONG_BODY_BYTES (4U << 20)
#define BUFFERED_BODY_BYTES (128U << 10)

/* What a call told. */
struct teller
{
  struct h1_call_handler base;
  struct raw *reset_at_data; /* reset as data is told; NULL: none */
  unsigned int status;
  GString *body;
  bool done;
  bool failed;
  enum h1_failure failure;
  bool sent;
};

static struct loop *loop;
static struct teller teller;
static int listener;
static uint16_t port;

static void
told_head (struct h1_call_handler *handler, struct h1_call *call,
           const struct h1_head *head)
{
  teller.status = head->status;
}

static void
told_data (struct h1_call_handler *handler, struct h1_call *call,
           const char *bytes, size_t bytes_count)
{
  g_string_append_len (teller.body, bytes, (gssize)bytes_count);
  if (teller.reset_at_data != NULL)
    raw_close (teller.reset_at_data, true);
  teller.reset_at_data = NULL;
}

static void
told_done (struct h1_call_handler *handler, struct h1_call *call)
{
  teller.done = true;
}

static void
told_failed (struct h1_call_handler *handler, struct h1_call *call,
             enum h1_failure failure, bool sent)
{
  teller.failed = true;
  teller.failure = failure;
  teller.sent = sent;
}

static const struct h1_call_handler_impl impl = { .head = told_head,
                                                  .data = told_data,
                                                  .done = told_done,
                                                  .failed = told_failed };

static void
setup (void)
{
  loop = loop_create ();
  teller = (struct teller){ .base.impl = &impl };
  teller.body = g_string_new (NULL);
  listener = raw_listen (&port);
}

static void
teardown (void)
{
  close (listener);
  raw_turn (loop, 5);
  g_string_free (teller.body, TRUE);
  loop_destroy (loop);
}

static struct h1_call *
call_start_with (struct h1_answer_limits limits, int64_t hold_ms)
{
  static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 4\r\n\r\n";
  struct h1_request request = { .address = "127.0.0.1",
                                .port = port,
                                .head = head,
                                .head_bytes = sizeof head - 1,
                                .body = "body",
                                .body_bytes = 4,
                                .connect_timeout_ms = 200,
                                .limits = limits,
                                .hold_ms = hold_ms };

  return h1_call_start (loop, &request, &teller.base);
}

static struct h1_call *
call_start (void)
{
  return call_start_with ((struct h1_answer_limits){ 0 }, 0);
}

static void
wait_for_end (void)
{
  for (int i = 0; i < 3000 && !teller.done && !teller.failed; i++)
    raw_turn (loop, 1);
  ck_assert (teller.done || teller.failed);
}

/* Answers a call with TEXT and ends the connection. */
static void
answer (const char *text, bool abrupt)
{
  struct raw *raw;

  call_start ();
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  raw_send (raw, text);
  raw_close (raw, abrupt);
  wait_for_end ();
}

START_TEST (test_whole_by_length)
{
  answer ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcAND MORE", false);
  ck_assert (teller.done);
  ck_assert_uint_eq (teller.status, 200);
  ck_assert_str_eq (teller.body->str, "abc");
}
END_TEST

START_TEST (test_whole_in_chunks)
{
  answer ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
          false);
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "abc");
}
END_TEST

START_TEST (test_whole_by_end)
{
  answer ("HTTP/1.1 200 OK\r\n\r\nabc", false);
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "abc");
}
END_TEST

/* An endpoint that dies in the middle of an answer without a stated length
 * resets the connection.  The event library tells an orderly end, since the
 * poll said "hung up" after a short read; the caller would get half an answer
 * as a whole one. */
START_TEST (test_reset_is_no_end)
{
  answer ("HTTP/1.1 200 OK\r\n\r\nhalf of it", true);
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_RESET);
  ck_assert (teller.sent);
}
END_TEST

START_TEST (test_cut_chunks)
{
  answer ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
          false);
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_CLOSED);
}
END_TEST

START_TEST (test_short_of_length)
{
  answer ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false);
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_CLOSED);
}
END_TEST

/* Heads of answers, of which any part may be the last that an endpoint
 * writes. */
static const char *const heads[] = {
  "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e.1\r\nContent-Length: 3\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Response-Seal: 3e.1\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e.1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e.1\r\nConnection: close\r\n\r\n",
  "HTTP/1.1 200\r\nX-Response-Seal: 3e.1\r\n\r\n",
  "HTTP/1.0 200 OK\r\nX-Response-Seal: 3e.1\r\n\r\n",
  "HTTP/1.1 204 No Content\r\nX-Response-Seal: 3e.1\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n"
  "HTTP/1.1 200 OK\r\nX-Response-Seal: 3e.1\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
};

/* Answers a call with the first BYTES_COUNT bytes of HEAD, in two parts if
 * IN_PARTS, and ends the connection in order. */
static void
answer_part (const char *head, size_t bytes_count, bool in_parts)
{
  char *part = g_strndup (head, bytes_count);
  struct raw *raw;

  call_start ();
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  if (in_parts && bytes_count > 1)
    {
      char *first = g_strndup (head, bytes_count / 2);

      raw_send (raw, first);
      raw_turn (loop, 2);
      raw_send (raw, part + bytes_count / 2);
      g_free (first);
    }
  else
    raw_send (raw, part);
  raw_close (raw, false);
  wait_for_end ();
  g_free (part);
}

/* Guards against an answer that passes for a whole one without a body although
 * its endpoint stopped in the middle of the head. */
START_TEST (test_cut_head)
{
  const char *head = heads[_i / 2];

  for (size_t n = 0; n < strlen (head); n++)
    {
      answer_part (head, n, _i % 2 == 1);
      ck_assert_msg (teller.failed && !teller.done && teller.status == 0,
                     "%zu bytes of head %d: status %u, done %d", n, _i / 2,
                     teller.status, teller.done);
      ck_assert_int_eq (teller.failure, H1_FAILURE_CLOSED);
      ck_assert (teller.sent);
      ck_assert_uint_eq (teller.body->len, 0);
      teller.failed = false;
    }
}
END_TEST

START_TEST (test_garbled)
{
  answer ("\x16\x03\x01 not an answer\r\n\r\n", false);
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_GARBLED);
  ck_assert (teller.sent);
}
END_TEST

/* Answers a call with HEAD and a body, in order, at once or in parts. */
static void
answer_head (const char *head, bool in_parts)
{
  char *text = g_strconcat (head, "abc", NULL);

  answer_part (text, strlen (text), in_parts);
  g_free (text);
}

static void
check_garbled (const char *head)
{
  for (int in_parts = 0; in_parts < 2; in_parts++)
    {
      answer_head (head, in_parts == 1);
      ck_assert_msg (teller.failed && !teller.done && teller.status == 0,
                     "'%s': status %u, done %d", head, teller.status,
                     teller.done);
      ck_assert_int_eq (teller.failure, H1_FAILURE_GARBLED);
      ck_assert (teller.sent);
      ck_assert_uint_eq (teller.body->len, 0);
      teller.failed = false;
    }
}

/* Guards against a status that is none reaching a caller. */
START_TEST (test_no_status) { check_garbled (answers_without_status[_i]); }
END_TEST

/* Guards against a line that is no field reaching a caller, or framing the
 * answer. */
START_TEST (test_broken_field)
{
  check_garbled (answers_with_broken_fields[_i]);
}
END_TEST

/* Guards against a body that was framed in another way than it was read. */
START_TEST (test_unknown_framing)
{
  check_garbled (answers_with_unknown_framing[_i]);
}
END_TEST

static void
check_whole (const char *text, bool in_parts)
{
  answer_part (text, strlen (text), in_parts);
  ck_assert_msg (teller.done, "'%s'", text);
  ck_assert_uint_eq (teller.status, 200);
  ck_assert_str_eq (teller.body->str, "abc");
  teller.done = false;
  teller.status = 0;
  g_string_truncate (teller.body, 0);
}

/* Guards against an answer that is lost since its head looks odd. */
START_TEST (test_odd_head)
{
  char *text = g_strconcat (odd_answers[_i], "abc", NULL);

  check_whole (text, false);
  check_whole (text, true);
  g_free (text);
}
END_TEST

static void
no_head (struct h1_answer_handler *handler, const struct h1_head *head)
{
}

static void
no_data (struct h1_answer_handler *handler, const char *bytes,
         size_t bytes_count)
{
}

/* Returns the state behind TEXT, which is read one byte at a time. */
static enum h1_answer_state
read_byte_by_byte (const char *text)
{
  static const struct h1_answer_handler_impl no_impl
      = { .head = no_head, .data = no_data };
  struct h1_answer_handler handler = { .impl = &no_impl };
  struct h1_answer *answer
      = h1_answer_create (false, (struct h1_answer_bytes){ 0 }, &handler);
  enum h1_answer_state state = H1_ANSWER_READING;

  for (const char *p = text; *p != '\0'; p++)
    state = h1_answer_read (answer, p, 1);
  if (state == H1_ANSWER_READING)
    state = h1_answer_end (answer);
  h1_answer_destroy (answer);
  return state;
}

/* Guards against a head that is judged by how it is split. */
START_TEST (test_byte_by_byte)
{
  for (size_t i = 0; i < G_N_ELEMENTS (answers_without_status); i++)
    ck_assert_int_eq (read_byte_by_byte (answers_without_status[i]),
                      H1_ANSWER_GARBLED);
  for (size_t i = 0; i < G_N_ELEMENTS (answers_with_broken_fields); i++)
    ck_assert_int_eq (read_byte_by_byte (answers_with_broken_fields[i]),
                      H1_ANSWER_GARBLED);
  for (size_t i = 0; i < G_N_ELEMENTS (odd_answers); i++)
    ck_assert_int_eq (read_byte_by_byte (odd_answers[i]), H1_ANSWER_WHOLE);
}
END_TEST

/* Guards against chunks that are read past what breaks their framing. */
START_TEST (test_broken_chunks)
{
  char *text
      = g_strconcat ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     broken_chunks[_i], NULL);

  for (int in_parts = 0; in_parts < 2; in_parts++)
    {
      answer_part (text, strlen (text), in_parts == 1);
      ck_assert_msg (teller.failed && !teller.done, "'%s'", text);
      ck_assert_int_eq (teller.failure, H1_FAILURE_GARBLED);
      teller.failed = false;
    }
  g_free (text);
}
END_TEST

/* Guards against an answer that is lost since its chunks look odd. */
START_TEST (test_odd_chunks)
{
  char *text
      = g_strconcat ("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
                     odd_chunks[_i], NULL);

  check_whole (text, false);
  check_whole (text, true);
  g_free (text);
}
END_TEST

/* Guards against the head of an answer being read as the body of an interim
 * one, which has none whatever its fields say. */
START_TEST (test_interim_with_length)
{
  check_whole ("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
               _i == 1);
}
END_TEST

/* Guards against waiting for a body by the length of an answer that has none
 * by its status. */
START_TEST (test_length_without_body)
{
  answer ("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false);
  ck_assert (teller.done);
  ck_assert_uint_eq (teller.status, 304);
  ck_assert_uint_eq (teller.body->len, 0);
}
END_TEST

START_TEST (test_nobody_listens)
{
  close (listener);
  call_start ();
  wait_for_end ();
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_REFUSED);
  ck_assert (!teller.sent);
  listener = raw_listen (&port);
}
END_TEST

/* Starts a call with a body of BODY_BYTES, of which the endpoint has read
 * nothing. */
static struct raw *
upload_start (size_t body_bytes)
{
  char *body = g_strnfill (body_bytes, 'x');
  char *head = g_strdup_printf ("POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: %zu\r\n\r\n",
                                body_bytes);
  struct h1_request request = { .address = "127.0.0.1",
                                .port = port,
                                .head = head,
                                .head_bytes = strlen (head),
                                .body = body,
                                .body_bytes = body_bytes };
  struct raw *raw;

  h1_call_start (loop, &request, &teller.base);
  raw = raw_accept (loop, listener);
  raw_turn (loop, 5);
  g_free (head);
  g_free (body);
  return raw;
}

/* The endpoint answers before it has read all of a long body.  The answer
 * counts, and the connection is closed, so that nothing is ever sent where
 * the rest of the body was due. */
START_TEST (test_early_answer)
{
  struct raw *raw = upload_start (LONG_BODY_BYTES);

  raw_send (raw, "HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nabc");
  if (_i > 0)
    raw_close (raw, _i == 1);
  wait_for_end ();
  ck_assert (teller.done);
  ck_assert_uint_eq (teller.status, 400);
  ck_assert_str_eq (teller.body->str, "abc");
  raw_turn (loop, 5);
  if (_i == 0)
    raw_close (raw, false);
}
END_TEST

/* Guards against a part of an early answer passing for the whole: its
 * connection is reset while the request is still written, and the write gets
 * the error of the reset, so that the next read meets an orderly end. */
START_TEST (test_early_unframed_reset_in_write)
{
  struct raw *raw = upload_start (LONG_BODY_BYTES);

  /* What is read makes room, so that one poll tells of both the part and the
     room. */
  raw_read (raw);
  raw_send (raw, "HTTP/1.1 200 OK\r\n\r\npart");
  teller.reset_at_data = raw;
  wait_for_end ();
  ck_assert_ptr_null (teller.reset_at_data);
  ck_assert_str_eq (teller.body->str, "part");
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_RESET);
}
END_TEST

/* Guards against the same where the kernel still holds a part of the request,
 * and the endpoint ends its side of the connection without having read it. */
START_TEST (test_early_unframed_end)
{
  size_t body_bytes = _i == 0 ? BUFFERED_BODY_BYTES : LONG_BODY_BYTES;
  struct raw *raw;

  setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &(int){ 4096 }, sizeof (int));
  raw = upload_start (body_bytes);
  raw_send (raw, "HTTP/1.1 200 OK\r\n\r\npart");
  shutdown (raw->fd, SHUT_WR);
  wait_for_end ();
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_RESET);
  raw_close (raw, false);
}
END_TEST

/* Guards against an answer without a length that is lost though its endpoint
 * has read the whole of a long request. */
START_TEST (test_unframed_after_upload)
{
  struct raw *raw = upload_start (LONG_BODY_BYTES);

  while (raw->got->len < LONG_BODY_BYTES)
    {
      raw_read (raw);
      raw_turn (loop, 1);
    }
  raw_send (raw, "HTTP/1.1 200 OK\r\n\r\nabc");
  raw_close (raw, false);
  wait_for_end ();
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "abc");
}
END_TEST

/* Guards against a whole answer that is lost since its connection is reset
 * behind it. */
START_TEST (test_reset_behind_whole)
{
  answer ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true);
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "abc");
}
END_TEST

START_TEST (test_cancel)
{
  struct h1_call *call = call_start ();
  struct raw *raw = raw_accept (loop, listener);

  raw_expect (raw, "body");
  h1_call_cancel (call);
  raw_expect_end (raw, RAW_FIN);
  ck_assert (!teller.done);
  ck_assert (!teller.failed);
  raw_close (raw, false);
}
END_TEST

START_TEST (test_pause)
{
  struct h1_call *call = call_start ();
  struct raw *raw = raw_accept (loop, listener);

  raw_expect (raw, "body");
  raw_send (raw, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
  raw_turn (loop, 20);
  h1_call_pause (call, true);
  raw_send (raw, "def");
  raw_turn (loop, 30);
  ck_assert_str_eq (teller.body->str, "abc");
  h1_call_pause (call, false);
  wait_for_end ();
  ck_assert_str_eq (teller.body->str, "abcdef");
  raw_close (raw, false);
}
END_TEST

/* Answers a call whose limits are LIMITS with TEXT, PIECE by PIECE after it
 * for as long as the connection is open. */
static void
answer_limited (struct h1_answer_limits limits, const char *text,
                const char *piece)
{
  struct raw *raw;

  call_start_with (limits, 0);
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  raw_send (raw, text);
  for (int i = 0; i < 3000 && !teller.done && !teller.failed; i++)
    {
      raw_send (raw, piece);
      raw_turn (loop, 1);
    }
  ck_assert (teller.done || teller.failed);
  raw_close (raw, false);
}

/* Guards against answers that never end, at each limit. */
START_TEST (test_limits)
{
  static const struct
  {
    struct h1_answer_limits limits;
    const char *text, *piece;
  } rows[] = {
    { { .head_bytes = 500 }, "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
    { { .head_bytes = 500 }, "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { { .body_bytes = 50 }, "HTTP/1.1 200 OK\r\n\r\n", "abc" },
    { { .body_bytes = 50 },
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n",
      "abc" },
    { { .head_ms = 60 }, "HTTP/1.1 200 OK\r\nA: ", "b" },
    { { .body_ms = 60 }, "HTTP/1.1 200 OK\r\n\r\n", "a" },
    { { .all_ms = 60 }, "", "HTTP/1.1 102 Processing\r\n\r\n" },
  };

  answer_limited (rows[_i].limits, rows[_i].text, rows[_i].piece);
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_ENDLESS);
  ck_assert (teller.sent);
}
END_TEST

/* Guards against silence that is told as an answer without an end. */
START_TEST (test_silent)
{
  answer_limited ((struct h1_answer_limits){ .all_ms = 60 }, "", "");
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_SILENT);
}
END_TEST

/* Guards against limits of the head that cut off a long body in small
 * chunks. */
START_TEST (test_long_body_in_chunks)
{
  struct h1_answer_limits limits = { .head_bytes = 100, .head_ms = 60 };
  struct raw *raw;

  call_start_with (limits, 0);
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  raw_send (raw, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 100; i++)
    {
      raw_send (raw, "1;a=b\r\nx\r\n");
      raw_turn (loop, 1);
    }
  raw_send (raw, "0\r\n\r\n");
  wait_for_end ();
  ck_assert (teller.done);
  ck_assert_uint_eq (teller.body->len, 100);
  raw_close (raw, false);
}
END_TEST

/* The endpoint resets or closes a connection at once: nothing of the request
   was sent, so that it has not run. */
START_TEST (test_closed_while_held)
{
  struct raw *raw;

  call_start_with ((struct h1_answer_limits){ 0 }, 200);
  raw = raw_accept (loop, listener);
  raw_turn (loop, 20);
  raw_close (raw, _i == 0);
  wait_for_end ();
  ck_assert (teller.failed);
  ck_assert (!teller.sent);
  ck_assert_int_eq (teller.failure,
                    _i == 0 ? H1_FAILURE_RESET : H1_FAILURE_CLOSED);
}
END_TEST

/* Guards against a dial that succeeds since the kernel has not yet closed the
   listening socket of a process that has crashed. */
START_TEST (test_held_dial)
{
  struct h1_request request = { .address = "127.0.0.1",
                                .port = port,
                                .head = "",
                                .connect_timeout_ms = 200,
                                .connect_only = true,
                                .hold_ms = 60 };

  h1_call_start (loop, &request, &teller.base);
  raw_turn (loop, 10);
  if (_i == 1)
    {
      close (listener);
      listener = raw_listen (&port);
    }
  wait_for_end ();
  ck_assert_int_eq (teller.done, _i == 0);
}
END_TEST

START_TEST (test_sent_after_hold)
{
  struct h1_call *call = call_start_with ((struct h1_answer_limits){ 0 }, 50);
  struct raw *raw = raw_accept (loop, listener);

  raw_turn (loop, 20);
  ck_assert_uint_eq (raw->got->len, 0);
  ck_assert (!h1_call_sent (call));
  raw_expect (raw, "\r\n\r\nbody");
  ck_assert (h1_call_sent (call));
  raw_send (raw, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  wait_for_end ();
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "ok");
  raw_close (raw, false);
}
END_TEST

/* What comes before the request was sent answers nothing. */
START_TEST (test_bytes_while_held)
{
  struct raw *raw;

  call_start_with ((struct h1_answer_limits){ 0 }, 200);
  raw = raw_accept (loop, listener);
  raw_send (raw, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  wait_for_end ();
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_GARBLED);
  ck_assert (!teller.sent);
  ck_assert_uint_eq (teller.status, 0);
  raw_close (raw, false);
}
END_TEST

/* A connection that is established within the time allowed passes for one
 * that is not if the loop stands still meanwhile. */
START_TEST (test_connected_during_long_turn)
{
  struct raw *raw;

  raw_turn (loop, 5);
  call_start ();
  g_usleep (400 * 1000);
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  raw_send (raw, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  wait_for_end ();
  ck_assert (teller.done);
  raw_close (raw, false);
}
END_TEST

/* The time for a connection counts from the call, not from the begin of the
 * turn of the loop in which it is made. */
START_TEST (test_call_late_in_long_turn)
{
  uv_loop_t *uv = loop_uv (loop);
  uint64_t begin_ms;

  close (listener);
  listener = raw_listen_full (&port);
  uv_update_time (uv);
  begin_ms = uv_now (uv);
  g_usleep (400 * 1000);
  call_start ();
  wait_for_end ();
  ck_assert (teller.failed);
  ck_assert_int_eq (teller.failure, H1_FAILURE_CONNECT);
  uv_update_time (uv);
  ck_assert_uint_ge (uv_now (uv) - begin_ms, 400 + 200);
}
END_TEST

/* An answer that came in time is lost if its limits are judged by the clock
 * before it is read. */
START_TEST (test_answer_during_long_turn)
{
  struct raw *raw;

  call_start_with ((struct h1_answer_limits){ .all_ms = 300 }, 0);
  raw = raw_accept (loop, listener);
  raw_expect (raw, "\r\n\r\nbody");
  raw_send (raw, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  g_usleep (500 * 1000);
  wait_for_end ();
  ck_assert (teller.done);
  ck_assert_str_eq (teller.body->str, "ok");
  raw_close (raw, false);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("h1 client");
  TCase *tcase = tcase_create ("client");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_whole_by_length);
  tcase_add_test (tcase, test_whole_in_chunks);
  tcase_add_test (tcase, test_whole_by_end);
  tcase_add_test (tcase, test_reset_is_no_end);
  tcase_add_test (tcase, test_cut_chunks);
  tcase_add_test (tcase, test_short_of_length);
  tcase_add_loop_test (tcase, test_cut_head, 0, 2 * (int)G_N_ELEMENTS (heads));
  tcase_add_test (tcase, test_garbled);
  tcase_add_loop_test (tcase, test_no_status, 0,
                       (int)G_N_ELEMENTS (answers_without_status));
  tcase_add_loop_test (tcase, test_broken_field, 0,
                       (int)G_N_ELEMENTS (answers_with_broken_fields));
  tcase_add_loop_test (tcase, test_unknown_framing, 0,
                       (int)G_N_ELEMENTS (answers_with_unknown_framing));
  tcase_add_loop_test (tcase, test_odd_head, 0,
                       (int)G_N_ELEMENTS (odd_answers));
  tcase_add_test (tcase, test_byte_by_byte);
  tcase_add_loop_test (tcase, test_broken_chunks, 0,
                       (int)G_N_ELEMENTS (broken_chunks));
  tcase_add_loop_test (tcase, test_odd_chunks, 0,
                       (int)G_N_ELEMENTS (odd_chunks));
  tcase_add_loop_test (tcase, test_interim_with_length, 0, 2);
  tcase_add_test (tcase, test_length_without_body);
  tcase_add_test (tcase, test_nobody_listens);
  tcase_add_loop_test (tcase, test_early_answer, 0, 3);
  tcase_add_test (tcase, test_early_unframed_reset_in_write);
  tcase_add_loop_test (tcase, test_early_unframed_end, 0, 2);
  tcase_add_test (tcase, test_unframed_after_upload);
  tcase_add_test (tcase, test_reset_behind_whole);
  tcase_add_test (tcase, test_cancel);
  tcase_add_test (tcase, test_pause);
  tcase_add_loop_test (tcase, test_limits, 0, 7);
  tcase_add_test (tcase, test_silent);
  tcase_add_test (tcase, test_long_body_in_chunks);
  tcase_add_loop_test (tcase, test_closed_while_held, 0, 2);
  tcase_add_loop_test (tcase, test_held_dial, 0, 2);
  tcase_add_test (tcase, test_sent_after_hold);
  tcase_add_test (tcase, test_bytes_while_held);
  tcase_add_test (tcase, test_connected_during_long_turn);
  tcase_add_test (tcase, test_call_late_in_long_turn);
  tcase_add_test (tcase, test_answer_during_long_turn);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
