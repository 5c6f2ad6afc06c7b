#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "control_link.h"
#include "wire/link.h"
#include "wire/local.h"

static struct local_message
round_trip (const struct local_message *message)
{
  struct frame_writer *writer = frame_writer_create (LOCAL_HELLO);
  struct local_message read;
  struct frame *frame;
  const void *bytes;
  size_t bytes_count = 0;

  local_put (writer, message);
  bytes = frame_writer_finish (writer, &bytes_count);
  ck_assert_ptr_nonnull (bytes);
  frame = frame_parse (bytes, bytes_count, NULL);
  ck_assert_ptr_nonnull (frame);
  ck_assert (local_read (frame, &read));
  frame_destroy (frame);
  frame_writer_destroy (writer);
  return read;
}

START_TEST (view_round_trip)
{
  struct local_member members[2]
      = { { .node = "a", .incarnation = UINT64_MAX, .address = "127.0.0.1" },
          { .node = "b", .state = LOCAL_MEMBER_LEAVING, .http_port = 65535 } };
  char leaving[1][BERYL_NAME_BYTES] = { "engine-1" };
  struct local_message message = { .type = LOCAL_VIEW };
  struct local_message read;

  message.view.config_version = 77;
  message.view.objects_json = "[]";
  message.view.objects_bytes = 2;
  message.view.members = members;
  message.view.member_count = 2;
  message.view.leaving = leaving;
  message.view.leaving_count = 1;
  message.view.isolated = true;
  read = round_trip (&message);
  ck_assert_uint_eq (read.view.config_version, 77);
  ck_assert_str_eq (read.view.objects_json, "[]");
  ck_assert_uint_eq (read.view.member_count, 2);
  ck_assert_uint_eq (read.view.members[0].incarnation, UINT64_MAX);
  ck_assert_uint_eq (read.view.members[1].http_port, 65535);
  ck_assert_int_eq (read.view.members[1].state, LOCAL_MEMBER_LEAVING);
  ck_assert_str_eq (read.view.leaving[0], "engine-1");
  ck_assert (read.view.isolated);
  local_message_clear (&read);
}
END_TEST

START_TEST (holds_and_loads_round_trip)
{
  struct local_hold hold = { "engine-1", 9, 3, 8 };
  struct local_load load = { "verdict", 1, 2, 3, 4, 5 };
  struct local_message message = { .type = LOCAL_HOLDS };
  struct local_message read;

  message.holds.items = &hold;
  message.holds.count = 1;
  read = round_trip (&message);
  ck_assert_str_eq (read.holds.items[0].endpoint, "engine-1");
  ck_assert_uint_eq (read.holds.items[0].to, 8);
  local_message_clear (&read);
  message.type = LOCAL_LOAD;
  message.loads.items = &load;
  message.loads.count = 1;
  read = round_trip (&message);
  ck_assert_uint_eq (read.loads.items[0].waiting, 2);
  ck_assert_uint_eq (read.loads.items[0].output_tokens, 5);
  local_message_clear (&read);
  message.type = LOCAL_APPLIED;
  message.applied.config_version = 78;
  read = round_trip (&message);
  ck_assert_uint_eq (read.applied.config_version, 78);
  local_message_clear (&read);
}
END_TEST

/* A message with an out-of-range port or of an unknown type must be refused as
 * a whole. */
START_TEST (malformed_is_refused)
{
  struct frame_writer *writer = frame_writer_create (LOCAL_HELLO);
  struct local_message read;
  struct frame *frame;
  const void *bytes;
  size_t bytes_count = 0;

  frame_put_uint (writer, 1, 5);
  frame_put_uint (writer, 2, 70000);
  bytes = frame_writer_finish (writer, &bytes_count);
  frame = frame_parse (bytes, bytes_count, NULL);
  ck_assert (!local_read (frame, &read));
  local_message_clear (&read);
  frame_destroy (frame);
  frame_writer_reset (writer, 99);
  bytes = frame_writer_finish (writer, &bytes_count);
  frame = frame_parse (bytes, bytes_count, NULL);
  ck_assert (!local_read (frame, &read));
  local_message_clear (&read);
  frame_destroy (frame);
  frame_writer_destroy (writer);
}
END_TEST

/* A fake controld and the owner of entryd's side of the connection. */
struct link_fixture
{
  struct link_handler server;
  struct control_link_owner owner;
  struct loop *loop;
  struct link *accepted;
  uint32_t hellos;
  uint32_t holds;
  uint32_t leaves;
  uint32_t applied;
  uint32_t views;
  uint32_t ups;
  uint32_t downs;
};

static struct link_fixture *
fixture_of_owner (struct control_link_owner *owner)
{
  return (struct link_fixture *)((char *)owner
                                 - offsetof (struct link_fixture, owner));
}

static void
server_frame (struct link_handler *handler, struct link *link,
              struct frame *frame)
{
  struct link_fixture *f = (struct link_fixture *)handler;
  struct local_message message;
  struct local_message view = { .type = LOCAL_VIEW };
  struct frame_writer *writer = frame_writer_create (LOCAL_VIEW);

  ck_assert (local_read (frame, &message));
  f->hellos += message.type == LOCAL_HELLO;
  f->holds += message.type == LOCAL_HOLDS;
  f->leaves += message.type == LOCAL_LEAVE;
  f->applied += message.type == LOCAL_APPLIED;
  local_put (writer, &view);
  link_send (link, writer);
  frame_writer_destroy (writer);
  local_message_clear (&message);
}

static void
server_closed (struct link_handler *handler, struct link *link,
               const char *reason)
{
  (void)link;
  (void)reason;
  ((struct link_fixture *)handler)->accepted = NULL;
}

static const struct link_handler_impl server_impl
    = { .frame = server_frame, .closed = server_closed };

static struct link_handler *
server_accept (void *user, struct link *link)
{
  struct link_fixture *f = user;

  f->accepted = link;
  return &f->server;
}

static void
owner_view (struct control_link_owner *owner, const struct local_view *view)
{
  struct link_fixture *f = fixture_of_owner (owner);

  (void)view;
  f->views++;
  if (f->leaves == 1 && f->accepted != NULL)
    {
      link_close (f->accepted);
      f->accepted = NULL;
    }
  if (f->leaves == 2)
    loop_quit (f->loop);
}

static void
owner_connected (struct control_link_owner *owner, bool up)
{
  struct link_fixture *f = fixture_of_owner (owner);

  f->ups += up;
  f->downs += !up;
}

static const struct control_link_owner_impl owner_impl
    = { .view = owner_view, .connected = owner_connected };

static void
fixture_timeout (void *user)
{
  loop_quit (user);
}

/* controld restarts while entryd serves.  entryd must reconnect and resend its
 * hello, holds and leave message; otherwise the new controld would announce a
 * leaving node and never clean up. */
START_TEST (link_resends_state_after_restart)
{
  struct link_fixture f
      = { .server.impl = &server_impl, .owner.impl = &owner_impl };
  struct local_hello hello = { .incarnation = 5 };
  struct local_hold hold = { "engine-1", 5, 1, 2 };
  struct local_holds holds = { &hold, 1 };
  struct link_listener *listener;
  struct control_link *link;
  struct loop_timer *timer;

  f.loop = loop_create ();
  listener = link_listen (f.loop, "127.0.0.1", 0, server_accept, &f, NULL);
  ck_assert_ptr_nonnull (listener);
  link = control_link_create (f.loop, link_listener_port (listener), &hello, 1,
                              &f.owner);
  control_link_holds (link, &holds);
  control_link_applied (link, 7);
  control_link_applied (link, 7);
  control_link_leave (link);
  timer = loop_timer_start (f.loop, 5000, 0, fixture_timeout, f.loop);
  loop_run (f.loop);
  loop_timer_stop (timer);
  ck_assert_uint_eq (f.hellos, 2);
  ck_assert_uint_eq (f.holds, 2);
  ck_assert_uint_eq (f.leaves, 2);
  ck_assert_uint_eq (f.applied, 2);
  ck_assert_uint_eq (f.ups, 2);
  ck_assert_uint_eq (f.downs, 1);
  control_link_destroy (link);
  if (f.accepted != NULL)
    link_close (f.accepted);
  link_listener_close (listener);
  loop_destroy (f.loop);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("local");
  TCase *t = tcase_create ("messages");
  SRunner *r;
  int failed;

  tcase_set_timeout (t, 20);
  tcase_add_test (t, view_round_trip);
  tcase_add_test (t, holds_and_loads_round_trip);
  tcase_add_test (t, malformed_is_refused);
  tcase_add_test (t, link_resends_state_after_restart);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
