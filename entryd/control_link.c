#include "control_link.h"

#include <stdlib.h>
#include <string.h>

#include "wire/link.h"

/* Between two attempts to connect; the jitter keeps the nodes of a restarted
 * rack from acting in step. */
#define RECONNECT_MS 200
#define RECONNECT_JITTER_MS 200

struct control_link
{
  struct link_handler handler; /* first: link callbacks cast from it */
  struct loop *loop;
  uint16_t port;
  struct local_hello hello;
  uint64_t random;
  struct control_link_owner *owner;
  struct link *link; /* NULL while waiting to reconnect */
  bool up;
  bool leaving;
  uint64_t applied; /* version in use; 0: none yet */
  struct frame_writer *writer;
  struct frame_writer *holds; /* last sent, for the next connection */
  bool has_holds;
  struct loop_timer *timer;
};

static void link_start (void *user);

static int64_t
jitter_ms (struct control_link *link)
{
  link->random = link->random * 6364136223846793005U + 1442695040888963407U;
  return (int64_t)((link->random >> 33) % RECONNECT_JITTER_MS);
}

static void
link_retry (struct control_link *link)
{
  loop_timer_stop (link->timer);
  link->timer = loop_timer_start (link->loop, RECONNECT_MS + jitter_ms (link),
                                  0, link_start, link);
}

static void
link_put (struct control_link *link, const struct local_message *message)
{
  if (!link->up)
    return;
  local_put (link->writer, message);
  link_send (link->link, link->writer);
}

static void
send_applied (struct control_link *link)
{
  struct local_message message = { .type = LOCAL_APPLIED };

  message.applied.config_version = link->applied;
  link_put (link, &message);
}

static void
link_opened (struct link_handler *handler, struct link *connection)
{
  struct control_link *link = (struct control_link *)handler;
  struct local_message message = { .type = LOCAL_HELLO };

  (void)connection;
  link->up = true;
  message.hello = link->hello;
  link_put (link, &message);
  if (link->applied != 0)
    send_applied (link);
  if (link->has_holds)
    link_send (link->link, link->holds);
  if (link->leaving)
    control_link_leave (link);
  if (link->owner->impl->connected != NULL)
    link->owner->impl->connected (link->owner, true);
}

static void
link_frame (struct link_handler *handler, struct link *connection,
            struct frame *frame)
{
  struct control_link *link = (struct control_link *)handler;
  struct local_message message;

  (void)connection;
  if (local_read (frame, &message) && message.type == LOCAL_VIEW)
    link->owner->impl->view (link->owner, &message.view);
  local_message_clear (&message);
}

static void
link_closed (struct link_handler *handler, struct link *connection,
             const char *reason)
{
  struct control_link *link = (struct control_link *)handler;
  bool was_up = link->up;

  (void)connection;
  (void)reason;
  link->link = NULL;
  link->up = false;
  link_retry (link);
  if (was_up && link->owner->impl->connected != NULL)
    link->owner->impl->connected (link->owner, false);
}

static const struct link_handler_impl handler_impl = {
  .opened = link_opened,
  .frame = link_frame,
  .closed = link_closed,
};

static void
link_start (void *user)
{
  struct control_link *link = user;

  loop_timer_stop (link->timer);
  link->timer = NULL;
  link->link = link_connect (link->loop, "127.0.0.1", link->port,
                             &link->handler, NULL);
  if (link->link == NULL)
    link_retry (link);
}

struct control_link *
control_link_create (struct loop *loop, uint16_t port,
                     const struct local_hello *hello, uint64_t seed,
                     struct control_link_owner *owner)
{
  struct control_link *link = calloc (1, sizeof *link);

  if (link == NULL)
    return NULL;
  link->handler.impl = &handler_impl;
  link->loop = loop;
  link->port = port;
  link->hello = *hello;
  link->random = seed;
  link->owner = owner;
  link->writer = frame_writer_create (LOCAL_HELLO);
  link->holds = frame_writer_create (LOCAL_HOLDS);
  link_start (link);
  return link;
}

void
control_link_destroy (struct control_link *link)
{
  if (link == NULL)
    return;
  loop_timer_stop (link->timer);
  if (link->link != NULL)
    link_close (link->link);
  frame_writer_destroy (link->writer);
  frame_writer_destroy (link->holds);
  free (link);
}

void
control_link_holds (struct control_link *link, const struct local_holds *holds)
{
  struct local_message message = { .type = LOCAL_HOLDS, .holds = *holds };

  local_put (link->holds, &message);
  link->has_holds = true;
  if (link->up)
    link_send (link->link, link->holds);
}

void
control_link_loads (struct control_link *link, const struct local_loads *loads)
{
  struct local_message message = { .type = LOCAL_LOAD, .loads = *loads };

  link_put (link, &message);
}

void
control_link_applied (struct control_link *link, uint64_t version)
{
  if (version == link->applied)
    return;
  link->applied = version;
  send_applied (link);
}

void
control_link_leave (struct control_link *link)
{
  struct local_message message = { .type = LOCAL_LEAVE };

  link->leaving = true;
  link_put (link, &message);
}
