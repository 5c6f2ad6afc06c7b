#include <stdlib.h>
#include <string.h>

#include "world.h"
#include "../suite.h"

#define CONNECTIONS_MAX 200
/* The node's header_timeout_s is 1; libwebsockets looks once a second. */
#define CLOSED_WITHIN_MS 4000

/* A caller that speaks no proper HTTP. */
struct raw
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  const char *bytes;
  size_t bytes_count;
  char answer[2048];
  size_t answer_bytes;
  char room[1024];
  bool closed;
};

static struct world *world;
static struct raw raws[CONNECTIONS_MAX];

static void
set_up (void)
{
  world = world_create ();
  memset (raws, 0, sizeof raws);
}

static void
tear_down (void)
{
  world_destroy (world);
}

static void
allocate (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct raw *raw = handle->data;

  *buf = uv_buf_init (raw->room, sizeof raw->room);
}

static void
received (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct raw *raw = stream->data;

  if (n < 0)
    {
      raw->closed = true;
      uv_close ((uv_handle_t *)stream, NULL);
      return;
    }
  if (raw->answer_bytes + (size_t)n < sizeof raw->answer)
    {
      memcpy (raw->answer + raw->answer_bytes, buf->base, (size_t)n);
      raw->answer_bytes += (size_t)n;
    }
}

static void
connected (uv_connect_t *connect, int status)
{
  struct raw *raw = connect->data;
  uv_buf_t bytes
      = uv_buf_init ((char *)raw->bytes, (unsigned)raw->bytes_count);

  ck_assert_int_eq (status, 0);
  uv_read_start ((uv_stream_t *)&raw->tcp, allocate, received);
  if (raw->bytes_count > 0)
    uv_write (&raw->write, (uv_stream_t *)&raw->tcp, &bytes, 1, NULL);
}

static void
open_raw (struct raw *raw, const char *bytes, size_t bytes_count)
{
  struct sockaddr_in address;

  uv_ip4_addr ("127.0.0.1", http_server_port (world->entry->server), &address);
  uv_tcp_init (loop_uv (world->loop), &raw->tcp);
  raw->tcp.data = raw;
  raw->connect.data = raw;
  raw->bytes = bytes;
  raw->bytes_count = bytes_count;
  uv_tcp_connect (&raw->connect, &raw->tcp, (struct sockaddr *)&address,
                  connected);
}

static void
close_raw (struct raw *raw)
{
  if (!raw->closed)
    uv_close ((uv_handle_t *)&raw->tcp, NULL);
  world_run (world, 20);
}

static void
good_call (void)
{
  struct answer answer;

  world_call (world, &answer, "GET", "/v1/services/lookup/", NULL, NULL, NULL);
  ck_assert_uint_eq (answer.status, 200);
  answer_clear (&answer);
}

static void
expect_closed (const char *bytes, size_t bytes_count)
{
  int64_t end_ms = loop_now_ms (world->loop) + CLOSED_WITHIN_MS;

  open_raw (&raws[0], bytes, bytes_count);
  world_run (world, 50);
  good_call ();
  while (!raws[0].closed && loop_now_ms (world->loop) < end_ms)
    world_run (world, 50);
  ck_assert (raws[0].closed);
  ck_assert_uint_eq (beryl_requests_open_count (world->entry->requests), 0);
  good_call ();
}

/* A caller sends half a request line and nothing more.  Without a time limit
 * such connections pile up until no other caller gets one. */
START_TEST (slow_headers)
{
  static const char bytes[] = "GET /v1/services/look";

  expect_closed (bytes, sizeof bytes - 1);
}
END_TEST

/* The same with a body that never comes. */
START_TEST (slow_body)
{
  static const char bytes[]
      = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer secret\r\nContent-Length: 1000\r\n\r\n{\"mod";

  expect_closed (bytes, sizeof bytes - 1);
  ck_assert_uint_eq (world->prefills, 0);
}
END_TEST

/* Headers without end fill the node's memory unless they are bounded. */
START_TEST (oversized_headers)
{
  GString *bytes
      = g_string_new ("GET /healthz HTTP/1.1\r\nHost: x\r\nX-Fill: ");

  for (int i = 0; i < 100000; i++)
    g_string_append_c (bytes, 'a');
  expect_closed (bytes->str, bytes->len);
  ck_assert (strstr (raws[0].answer, "200 OK") == NULL);
  g_string_free (bytes, TRUE);
}
END_TEST

START_TEST (not_http)
{
  static const char bytes[] = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n";

  expect_closed (bytes, sizeof bytes - 1);
}
END_TEST

/* A body of unknown length could go on for ever; it is refused. */
START_TEST (chunked_body)
{
  static const char bytes[]
      = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\n{\"mod\r\n";

  open_raw (&raws[0], bytes, sizeof bytes - 1);
  world_run (world, 200);
  raws[0].answer[raws[0].answer_bytes] = '\0';
  ck_assert_msg (strstr (raws[0].answer, "411") != NULL, "%s", raws[0].answer);
  close_raw (&raws[0]);
  good_call ();
}
END_TEST

/* Hundreds of connections are opened and nothing is sent.  Other callers are
 * answered meanwhile, and the node lets go of all of them. */
START_TEST (half_open)
{
  int64_t end_ms;
  size_t open = CONNECTIONS_MAX;

  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    open_raw (&raws[i], "", 0);
  world_run (world, 100);
  good_call ();
  end_ms = loop_now_ms (world->loop) + CLOSED_WITHIN_MS;
  while (open > 0 && loop_now_ms (world->loop) < end_ms)
    {
      world_run (world, 100);
      open = 0;
      for (size_t i = 0; i < CONNECTIONS_MAX; i++)
        open += !raws[i].closed;
    }
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    if (!raws[i].closed)
      uv_close ((uv_handle_t *)&raws[i].tcp, NULL);
  world_run (world, 20);
  ck_assert_uint_eq (open, 0);
  good_call ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("abuse");
  TCase *tcase = tcase_create ("abuse");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, slow_headers);
  tcase_add_test (tcase, slow_body);
  tcase_add_test (tcase, oversized_headers);
  tcase_add_test (tcase, not_http);
  tcase_add_test (tcase, chunked_body);
  tcase_add_test (tcase, half_open);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
