#include "notices.h"

/* Delay by which changes are batched into one message. */
#define SEND_DELAY_MS 20
/* Interval at which new notices are repeated and some of the older ones are
 * sent, in rotation. */
#define REPEAT_MS 500
/* Number of peers that older notices go to. */
#define OLDER_NOTICE_PEERS 2

struct notices
{
  struct loop *loop;
  struct beryl_forward *forward;
  struct members *members;
  uint32_t node; /* numeric id of this node */
  struct loop_timer *repeat_timer;
  struct loop_timer *send_timer;
};

/* Fills MESSAGE with new notices and, if WITH_OLDER, some of the older ones in
 * rotation; returns false if there are none. */
static bool
write_message (struct notices *n, struct notices_message *message,
               bool with_older)
{
  int64_t now_ms = loop_now_ms (n->loop);
  bool quarantine_changed = beryl_quarantine_build_update (
      beryl_forward_quarantine (n->forward), &message->quarantine, with_older,
      now_ms);
  bool limits = beryl_limits_build_update (
      beryl_forward_limits (n->forward), &message->limits, with_older, now_ms);

  message->limits.node = n->node;
  return quarantine_changed || limits;
}

static void
send_recent (struct notices *n)
{
  struct notices_message message = { 0 };

  if (write_message (n, &message, false))
    members_send_notices (n->members, &message, UINT32_MAX);
}

static void
send_due (void *user)
{
  struct notices *n = user;

  loop_timer_stop (n->send_timer);
  n->send_timer = NULL;
  send_recent (n);
}

static void
repeat_due (void *user)
{
  struct notices *n = user;
  struct notices_message message = { 0 };

  beryl_quarantine_expire (beryl_forward_quarantine (n->forward),
                           loop_now_ms (n->loop));
  send_recent (n);
  if (write_message (n, &message, true))
    members_send_notices (n->members, &message, OLDER_NOTICE_PEERS);
}

struct notices *
notices_create (struct loop *loop, const char *node,
                struct beryl_forward *forward, struct members *members)
{
  struct notices *n = g_new0 (struct notices, 1);

  n->loop = loop;
  n->forward = forward;
  n->members = members;
  n->node = beryl_name_hash (node);
  n->repeat_timer
      = loop_timer_start (loop, REPEAT_MS, REPEAT_MS, repeat_due, n);
  return n;
}

void
notices_destroy (struct notices *n)
{
  if (n == NULL)
    return;
  loop_timer_stop (n->repeat_timer);
  loop_timer_stop (n->send_timer);
  g_free (n);
}

bool
notices_schedule (struct notices *n)
{
  bool quarantine_changed
      = beryl_quarantine_take_changed (beryl_forward_quarantine (n->forward));

  if ((quarantine_changed
       || beryl_limits_has_changes (beryl_forward_limits (n->forward)))
      && n->send_timer == NULL)
    n->send_timer = loop_timer_start (n->loop, SEND_DELAY_MS, 0, send_due, n);
  return quarantine_changed;
}

void
notices_receive (struct notices *n, const struct notices_message *message)
{
  int64_t now_ms = loop_now_ms (n->loop);

  beryl_quarantine_apply_update (beryl_forward_quarantine (n->forward),
                                 &message->quarantine, now_ms);
  beryl_forward_peer_limits (n->forward, &message->limits, now_ms);
}
