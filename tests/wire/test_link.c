#include <stdlib.h>
#include <string.h>

#include "wire/link.h"
#include "../suite.h"

/* Two ends on one loop; the test quits it when it has seen enough. */
struct end
{
  struct link_handler base;
  struct loop *loop;
  struct link *link;
  uint64_t last;
  uint32_t opened;
  uint32_t closed;
  uint32_t refused;
  uint64_t stop_at;
  bool echo;
};

static void
end_opened (struct link_handler *handler, struct link *link)
{
  ((struct end *)handler)->opened++;
}

static void
end_frame (struct link_handler *handler, struct link *link,
           struct frame *frame)
{
  struct end *e = (struct end *)handler;
  struct frame_writer *w;

  e->last = frame_need_uint (frame_root (frame), 1);
  if (e->echo)
    {
      w = frame_writer_create (2);
      frame_put_uint (w, 1, e->last);
      ck_assert (link_send (link, w));
      frame_writer_destroy (w);
    }
  if (e->stop_at && e->last == e->stop_at)
    loop_quit (e->loop);
}

static void
end_closed (struct link_handler *handler, struct link *link,
            const char *reason)
{
  struct end *e = (struct end *)handler;

  e->closed++;
  e->refused += link_refused (link);
  e->link = NULL;
  loop_quit (e->loop);
}

static const struct link_handler_impl end_impl
    = { end_opened, end_frame, end_closed };

static struct link_handler *
end_accept (void *user, struct link *link)
{
  struct end *e = user;

  e->link = link;
  return &e->base;
}

static void
end_init (struct end *e, struct loop *loop)
{
  *e = (struct end){ .base = { &end_impl }, .loop = loop };
}

static bool
send_number (struct link *link, uint64_t number, size_t padding)
{
  struct frame_writer *w = frame_writer_create (1);
  char *bytes = calloc (1, padding + 1);
  bool sent;

  frame_put_uint (w, 1, number);
  frame_put_bytes (w, 2, bytes, padding);
  sent = link_send (link, w);
  free (bytes);
  frame_writer_destroy (w);
  return sent;
}

START_TEST (test_frames_both_ways)
{
  struct loop *loop = loop_create ();
  struct end server, client;
  struct link_listener *listener;

  end_init (&server, loop);
  end_init (&client, loop);
  server.echo = true;
  listener = link_listen (loop, "127.0.0.1", 0, end_accept, &server, NULL);
  ck_assert_ptr_nonnull (listener);
  client.link = link_connect (loop, "127.0.0.1", link_listener_port (listener),
                              &client.base, NULL);
  client.stop_at = 200;
  for (uint64_t i = 1; i <= 200; i++)
    ck_assert (send_number (client.link, i, (size_t)i * 50));
  loop_run (loop);
  ck_assert_uint_eq (client.opened, 1);
  ck_assert_uint_eq (client.last, 200);
  ck_assert_uint_eq (link_pending_bytes (client.link), 0);
  link_close (client.link);
  loop_run (loop);
  ck_assert_uint_eq (server.closed, 1);
  ck_assert_uint_eq (server.refused, 0);
  ck_assert_uint_eq (client.closed, 0);
  link_listener_close (listener);
  loop_destroy (loop);
}
END_TEST

START_TEST (test_refused_connection_is_told)
{
  struct loop *loop = loop_create ();
  struct end client;
  struct link_listener *listener
      = link_listen (loop, "127.0.0.1", 0, end_accept, NULL, NULL);
  uint16_t port = link_listener_port (listener);

  link_listener_close (listener);
  loop_run (loop);
  end_init (&client, loop);
  link_connect (loop, "127.0.0.1", port, &client.base, NULL);
  loop_run (loop);
  ck_assert_uint_eq (client.closed, 1);
  ck_assert_uint_eq (client.refused, 1);
  ck_assert_uint_eq (client.opened, 0);
  ck_assert_ptr_null (link_connect (loop, "host", 1, &client.base, NULL));
  loop_destroy (loop);
}
END_TEST

/* A peer stops reading.  What is queued for it is bounded: the owner is
   refused instead of the process growing until it is killed. */
START_TEST (test_queue_is_bounded)
{
  struct loop *loop = loop_create ();
  struct end client, server;
  struct link_listener *listener;
  uint32_t sent = 0;

  end_init (&server, loop);
  end_init (&client, loop);
  listener = link_listen (loop, "127.0.0.1", 0, end_accept, &server, NULL);
  client.link = link_connect (loop, "127.0.0.1", link_listener_port (listener),
                              &client.base, NULL);
  while (sent < 100 && send_number (client.link, 1, 1U << 20))
    sent++;
  ck_assert_uint_gt (sent, 5);
  ck_assert_uint_lt (sent, 9);
  ck_assert_uint_le (link_pending_bytes (client.link), LINK_QUEUE_BYTES);
  link_close (client.link);
  link_listener_close (listener);
  loop_destroy (loop);
}
END_TEST

struct inbox
{
  struct loop *loop;
  uint32_t count;
  uint32_t count_when_due; /* when the timer ran; 0: it has not */
  uint16_t port;
};

static void
inbox_frame (void *user, struct frame *frame, const char *address,
             uint16_t port)
{
  struct inbox *inbox = user;

  inbox->count++;
  inbox->port = port;
  ck_assert_str_eq (address, "127.0.0.1");
  loop_quit (inbox->loop);
}

static void
inbox_timeout (void *user)
{
  loop_quit (user);
}

static void
send_datagram (struct datagram *a, struct datagram *b)
{
  struct frame_writer *w = frame_writer_create (3);

  ck_assert (datagram_send (a, "127.0.0.1", datagram_port (b), w));
  frame_writer_destroy (w);
}

/** Send one datagram from A to B and run until it came or 200 ms passed. */
static void
exchange (struct loop *loop, struct datagram *a, struct datagram *b)
{
  struct loop_timer *timer
      = loop_timer_start (loop, 200, 0, inbox_timeout, loop);

  send_datagram (a, b);
  loop_run (loop);
  loop_timer_stop (timer);
}

/* Somebody without the key, or with an old one, sends a datagram; it must
   not reach the membership.  During rotation both keys are accepted. */
START_TEST (test_datagram_keys)
{
  struct loop *loop = loop_create ();
  struct inbox inbox = { .loop = loop };
  struct datagram *a
      = datagram_open (loop, "127.0.0.1", 0, inbox_frame, &inbox, NULL);
  struct datagram *b
      = datagram_open (loop, "127.0.0.1", 0, inbox_frame, &inbox, NULL);

  ck_assert (datagram_add_key (b, "new", 3));
  exchange (loop, a, b);
  ck_assert_uint_eq (inbox.count, 0);
  ck_assert_uint_eq (datagram_refused (b), 1);
  ck_assert (datagram_add_key (a, "old", 3));
  exchange (loop, a, b);
  ck_assert_uint_eq (inbox.count, 0);
  ck_assert (datagram_add_key (b, "old", 3));
  exchange (loop, a, b);
  ck_assert_uint_eq (inbox.count, 1);
  ck_assert_uint_eq (inbox.port, datagram_port (a));
  datagram_clear_keys (a);
  ck_assert (datagram_add_key (a, "new", 3));
  exchange (loop, a, b);
  ck_assert_uint_eq (inbox.count, 2);
  datagram_close (a);
  datagram_close (b);
  loop_destroy (loop);
}
END_TEST

#define BURST 100

static void
note_count (void *user)
{
  struct inbox *inbox = user;

  inbox->count_when_due = inbox->count;
}

/* Guards against a node that passes for silent although what it sent has
   arrived: other datagrams were before it, and a timer ran between them. */
START_TEST (test_timer_after_burst)
{
  struct loop *loop = loop_create ();
  struct inbox inbox = { .loop = loop };
  struct datagram *a
      = datagram_open (loop, "127.0.0.1", 0, inbox_frame, &inbox, NULL);
  struct datagram *b
      = datagram_open (loop, "127.0.0.1", 0, inbox_frame, &inbox, NULL);
  struct loop_timer *timer;

  for (int i = 0; i < BURST; i++)
    send_datagram (a, b);
  timer = loop_timer_start (loop, 0, 0, note_count, &inbox);
  for (int i = 0; i < 10 && inbox.count_when_due == 0; i++)
    uv_run (loop_uv (loop), UV_RUN_NOWAIT);
  ck_assert_uint_eq (inbox.count_when_due, BURST);
  loop_timer_stop (timer);
  datagram_close (a);
  datagram_close (b);
  loop_destroy (loop);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("link");
  TCase *tc = tcase_create ("link");

  tcase_add_test (tc, test_frames_both_ways);
  tcase_add_test (tc, test_refused_connection_is_told);
  tcase_add_test (tc, test_queue_is_bounded);
  tcase_add_test (tc, test_datagram_keys);
  tcase_add_test (tc, test_timer_after_burst);
  suite_add_tcase (suite, tc);
  return suite_run (suite);
}
