#include "raw.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 3000

static struct raw *
raw_new (struct loop *loop, int fd)
{
  struct raw *raw = g_new0 (struct raw, 1);

  fcntl (fd, F_SETFL, O_NONBLOCK);
  raw->loop = loop;
  raw->fd = fd;
  raw->got = g_string_new (NULL);
  return raw;
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (port) };

  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return in;
}

struct raw *
raw_connect_address (struct loop *loop, const char *address, uint16_t port)
{
  struct sockaddr_in in = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (inet_pton (AF_INET, address, &in.sin_addr), 1);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  return raw_new (loop, fd);
}

struct raw *
raw_connect (struct loop *loop, uint16_t port)
{
  return raw_connect_address (loop, "127.0.0.1", port);
}

int
raw_listen (uint16_t *port)
{
  struct sockaddr_in in = loopback (0);
  socklen_t length = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&in, sizeof in), 0);
  ck_assert_int_eq (listen (fd, 16), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&in, &length), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  *port = ntohs (in.sin_port);
  return fd;
}

int
raw_listen_full (uint16_t *port)
{
  struct sockaddr_in in = loopback (0);
  socklen_t length = sizeof in;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (bind (listener, (struct sockaddr *)&in, sizeof in), 0);
  ck_assert_int_eq (listen (listener, 0), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&in, &length),
                    0);
  for (int i = 0; i < 2; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

      ck_assert (connect (fd, (struct sockaddr *)&in, sizeof in) == 0
                 || errno == EINPROGRESS);
    }
  *port = ntohs (in.sin_port);
  return listener;
}

static void
turn_once (struct loop *loop)
{
  uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  g_usleep (500);
}

struct raw *
raw_accept (struct loop *loop, int listener)
{
  int64_t end_ms = loop_now_ms (loop) + WAIT_MS;
  int fd;

  while ((fd = accept (listener, NULL, NULL)) < 0)
    {
      ck_assert_msg (loop_now_ms (loop) < end_ms, "nobody connected");
      turn_once (loop);
    }
  return raw_new (loop, fd);
}

void
raw_send (struct raw *raw, const char *text)
{
  ck_assert_int_eq (send (raw->fd, text, strlen (text), MSG_NOSIGNAL),
                    (ssize_t)strlen (text));
}

void
raw_read (struct raw *raw)
{
  char bytes[16384];
  ssize_t count;

  if (raw->end != RAW_OPEN)
    return;
  while ((count = recv (raw->fd, bytes, sizeof bytes, 0)) > 0)
    g_string_append_len (raw->got, bytes, count);
  if (count == 0)
    raw->end = RAW_FIN;
  else if (errno != EAGAIN)
    raw->end = RAW_RESET;
}

void
raw_expect (struct raw *raw, const char *needle)
{
  int64_t end_ms = loop_now_ms (raw->loop) + WAIT_MS;

  while (strstr (raw->got->str, needle) == NULL)
    {
      ck_assert_msg (loop_now_ms (raw->loop) < end_ms,
                     "no '%s' in '%s', end %d", needle, raw->got->str,
                     raw->end);
      turn_once (raw->loop);
      raw_read (raw);
    }
}

void
raw_expect_end (struct raw *raw, enum raw_end end)
{
  int64_t end_ms = loop_now_ms (raw->loop) + WAIT_MS;

  while (raw->end == RAW_OPEN)
    {
      ck_assert_msg (loop_now_ms (raw->loop) < end_ms, "still open: '%s'",
                     raw->got->str);
      turn_once (raw->loop);
      raw_read (raw);
    }
  ck_assert_int_eq (raw->end, end);
}

void
raw_turn (struct loop *loop, int64_t ms)
{
  int64_t end_ms = loop_now_ms (loop) + ms;

  while (loop_now_ms (loop) < end_ms)
    turn_once (loop);
}

void
raw_close (struct raw *raw, bool abrupt)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (abrupt)
    setsockopt (raw->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (raw->fd);
  g_string_free (raw->got, TRUE);
  g_free (raw);
}
