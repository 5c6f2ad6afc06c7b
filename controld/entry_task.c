#include "entry_task.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/holds.h"
#include "cleanup_task.h"
#include "common/ticker.h"
#include "wire/link.h"

/* Changes within this time are sent as one view. */
#define VIEW_DELAY_MS 20
/* A node without contact to peers and platform for this long is reported as
 * isolated and accepts no new calls, as its configuration may be stale. */
#define ISOLATED_MS 60000

struct entry_task
{
  struct link_handler base;
  struct control *control;
  struct link_listener *listener;
  struct link *link; /* this instance's entryd; NULL: not connected */
  struct local_hello hello;
  struct local_holds holds;
  struct frame_writer *writer;
  struct ticker *ticker;
  struct loop_timer *grace_timer; /* runs after a disconnect */
  uint64_t sent_version;          /* configuration version sent to entryd */
  uint64_t applied_version; /* version that entryd reported; 0: none yet */
  uint64_t views_sent;
};

static void
holds_clear (struct entry_task *task)
{
  g_free (task->holds.items);
  task->holds.items = NULL;
  task->holds.count = 0;
}

/* A closed loopback connection proves that entryd is dead once the time has
 * passed within which a live one reconnects. */
static void
entry_died (void *user)
{
  struct entry_task *task = user;

  loop_timer_stop (task->grace_timer);
  task->grace_timer = NULL;
  g_warning ("entryd %016" G_GINT64_MODIFIER "x is dead (%s), cancelling %zu "
             "stream windows",
             task->hello.incarnation,
             beryl_death_proof_name (BERYL_DEATH_LINK_BROKEN),
             task->holds.count);
  cleanup_task_cancel (task->control->cleanup, &task->holds);
  holds_clear (task);
  memset (&task->hello, 0, sizeof task->hello);
  control_applied_changed (task->control);
}

static void
entry_disconnected (struct entry_task *task)
{
  task->link = NULL;
  task->sent_version = 0;
  if (task->grace_timer == NULL && task->hello.incarnation != 0)
    task->grace_timer = loop_timer_start (
        task->control->loop, BERYL_DEATH_LINK_GRACE_MS, 0, entry_died, task);
  beryl_membership_set_entry (task->control->members, 0, 0, 0,
                              control_now_ms (task->control));
  control_entry_changed (task->control);
}

static void
handle_hello (struct entry_task *task, const struct local_hello *hello)
{
  /* A new incarnation proves that the previous one is dead. */
  if (task->hello.incarnation != 0
      && task->hello.incarnation != hello->incarnation)
    entry_died (task);
  loop_timer_stop (task->grace_timer);
  task->grace_timer = NULL;
  task->hello = *hello;
  g_info ("entryd %016" G_GINT64_MODIFIER "x connected, port %u",
          hello->incarnation, hello->http_port);
  beryl_membership_set_entry (task->control->members, hello->incarnation,
                              hello->http_port, hello->peer_port,
                              control_now_ms (task->control));
  control_entry_changed (task->control);
  control_applied_changed (task->control);
  entry_task_wake (task);
}

static void
store_holds (struct entry_task *task, const struct local_holds *holds)
{
  holds_clear (task);
  task->holds.items
      = g_memdup2 (holds->items, holds->count * sizeof *holds->items);
  task->holds.count = holds->count;
}

static void
entry_frame (struct link_handler *handler, struct link *link,
             struct frame *frame)
{
  struct entry_task *task = (struct entry_task *)handler;
  struct local_message message;

  (void)link;
  if (!local_read (frame, &message))
    {
      g_warning ("malformed message from entryd");
      local_message_clear (&message);
      return;
    }
  switch (message.type)
    {
    case LOCAL_HELLO:
      handle_hello (task, &message.hello);
      break;
    case LOCAL_HOLDS:
      store_holds (task, &message.holds);
      break;
    case LOCAL_LOAD:
      control_report_local_loads (task->control, &message.loads);
      break;
    case LOCAL_LEAVE:
      beryl_membership_leave (task->control->members,
                              control_now_ms (task->control));
      control_entry_changed (task->control);
      break;
    case LOCAL_APPLIED:
      task->applied_version = message.applied.config_version;
      control_applied_changed (task->control);
      break;
    case LOCAL_VIEW:
      break;
    }
  local_message_clear (&message);
}

static void
entry_closed (struct link_handler *handler, struct link *link,
              const char *reason)
{
  struct entry_task *task = (struct entry_task *)handler;

  if (link != task->link)
    return;
  g_info ("entryd disconnected: %s", reason);
  entry_disconnected (task);
}

static const struct link_handler_impl handler_impl = {
  .frame = entry_frame,
  .closed = entry_closed,
};

/* A restarted entryd may connect before the old connection is seen to close;
 * the new connection replaces it. */
static struct link_handler *
entry_accept (void *user, struct link *link)
{
  struct entry_task *task = user;

  if (task->link != NULL)
    link_close (task->link);
  task->link = link;
  task->sent_version = 0;
  task->applied_version = 0;
  return &task->base;
}

static bool
is_isolated (const struct control *control)
{
  int64_t now_ms = control_now_ms (control);
  int64_t stale_ms = beryl_membership_config_age_ms (control->members, now_ms);
  int64_t heard_ms = beryl_membership_last_contact_ms (control->members);

  if (stale_ms >= 0 && stale_ms < ISOLATED_MS)
    return false;
  return beryl_membership_count (control->members) > 1
         && now_ms - heard_ms > ISOLATED_MS
         && beryl_platform_is_unreachable (
             platform_client_core (control->platform));
}

static bool
member_is_visible (const struct beryl_member *member)
{
  return member->state != BERYL_MEMBER_DEAD && member->entry_incarnation != 0;
}

static enum local_member_state
member_state (const struct beryl_member *member)
{
  if (member->leaving)
    return LOCAL_MEMBER_LEAVING;
  return member->state == BERYL_MEMBER_SUSPECT ? LOCAL_MEMBER_SUSPECT
                                               : LOCAL_MEMBER_LIVE;
}

static void
view_members (const struct control *control, struct local_view *view)
{
  size_t count = beryl_membership_count (control->members);

  view->members = g_new0 (struct local_member, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct beryl_member *from
          = beryl_membership_get (control->members, i);
      struct local_member *to = &view->members[view->member_count];

      if (!member_is_visible (from))
        continue;
      g_strlcpy (to->node, from->name, sizeof to->node);
      g_strlcpy (to->address, from->address, sizeof to->address);
      g_strlcpy (to->data_centre, from->data_centre, sizeof to->data_centre);
      g_strlcpy (to->region, from->region, sizeof to->region);
      to->incarnation = from->entry_incarnation;
      to->http_port = from->http_port;
      to->peer_port = from->peer_port;
      to->state = member_state (from);
      view->member_count++;
    }
}

static void
view_leaving (const struct control *control, struct local_view *view)
{
  size_t count = beryl_config_log_count (control->config_log);

  view->leaving = g_malloc0_n (count + 1, sizeof *view->leaving);
  for (size_t i = 0; i < count; i++)
    {
      struct beryl_config_log_object object
          = beryl_config_log_get (control->config_log, i);

      if (strcmp (object.kind, BERYL_INSTANCE_KIND) == 0)
        g_strlcpy (view->leaving[view->leaving_count++], object.name,
                   sizeof *view->leaving);
    }
}

static void
view_send (void *user)
{
  struct entry_task *task = user;
  struct control *control = task->control;
  struct local_message message = { .type = LOCAL_VIEW };
  struct local_view *view = &message.view;

  if (task->link == NULL || task->hello.incarnation == 0)
    return;
  view->config_version = beryl_config_log_version (control->config_log);
  if (view->config_version != task->sent_version)
    view->objects_json
        = beryl_config_log_objects (control->config_log, &view->objects_bytes);
  view_members (control, view);
  view_leaving (control, view);
  view->stale_ms = beryl_membership_config_age_ms (control->members,
                                                   control_now_ms (control));
  view->isolated = is_isolated (control);
  local_put (task->writer, &message);
  if (link_send (task->link, task->writer))
    {
      task->sent_version = view->config_version;
      task->views_sent++;
      counters_set (control->counters, "beryl_views_total", "",
                    task->views_sent);
    }
  local_message_clear (&message);
}

struct entry_task *
entry_task_create (struct control *control, struct beryl_error *error)
{
  struct entry_task *task = g_new0 (struct entry_task, 1);

  task->base.impl = &handler_impl;
  task->control = control;
  task->listener
      = link_listen (control->loop, "127.0.0.1", control->settings.local_port,
                     entry_accept, task, error);
  if (task->listener == NULL)
    {
      g_free (task);
      return NULL;
    }
  task->writer = frame_writer_create (LOCAL_VIEW);
  task->ticker = ticker_create (control->loop, view_send, task);
  return task;
}

void
entry_task_destroy (struct entry_task *task)
{
  if (task == NULL)
    return;
  loop_timer_stop (task->grace_timer);
  ticker_destroy (task->ticker);
  if (task->link != NULL)
    link_close (task->link);
  link_listener_close (task->listener);
  frame_writer_destroy (task->writer);
  holds_clear (task);
  g_free (task);
}

uint16_t
entry_task_port (const struct entry_task *task)
{
  return link_listener_port (task->listener);
}

void
entry_task_wake (struct entry_task *task)
{
  ticker_set (task->ticker, control_now_ms (task->control) + VIEW_DELAY_MS);
}

bool
entry_task_connected (const struct entry_task *task)
{
  return task->link != NULL;
}

uint64_t
entry_task_applied (const struct entry_task *task)
{
  /* A disconnected entryd counts as alive until it is declared dead. */
  if (task->hello.incarnation == 0)
    return beryl_config_log_version (task->control->config_log);
  return task->applied_version;
}

const struct local_holds *
entry_task_holds (const struct entry_task *task)
{
  return &task->holds;
}
