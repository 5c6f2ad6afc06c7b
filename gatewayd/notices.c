#include "notices.h"

/* Changes are told together, so often at most. */
#define TELL_DELAY_MS 20
/* What is new is told again, and older things in turns. */
#define REPEAT_MS 500
/* Peers that hear of what is older. */
#define OLDER_PEERS 2

struct notices
{
  struct loop *loop;
  struct beryl_forward *forward;
  struct members *members;
  struct loop_timer *repeat;
  struct loop_timer *tell;
};

static void
tell_all (struct notices *n)
{
  struct notices_message message = { 0 };

  if (beryl_quarantine_write (beryl_forward_quarantine (n->forward),
                              &message.quarantine, false,
                              loop_now_ms (n->loop)))
    members_tell_notices (n->members, &message, UINT32_MAX);
}

static void
tell_due (void *user)
{
  struct notices *n = user;

  loop_timer_stop (n->tell);
  n->tell = NULL;
  tell_all (n);
}

static void
repeat_due (void *user)
{
  struct notices *n = user;
  struct beryl_quarantine *quarantine = beryl_forward_quarantine (n->forward);
  struct notices_message message = { 0 };

  if (beryl_quarantine_empty (quarantine))
    return;
  beryl_quarantine_expire (quarantine, loop_now_ms (n->loop));
  tell_all (n);
  if (beryl_quarantine_write (quarantine, &message.quarantine, true,
                              loop_now_ms (n->loop)))
    members_tell_notices (n->members, &message, OLDER_PEERS);
}

struct notices *
notices_create (struct loop *loop, struct beryl_forward *forward,
                struct members *members)
{
  struct notices *n = g_new0 (struct notices, 1);

  n->loop = loop;
  n->forward = forward;
  n->members = members;
  n->repeat = loop_timer_start (loop, REPEAT_MS, REPEAT_MS, repeat_due, n);
  return n;
}

void
notices_destroy (struct notices *n)
{
  if (n == NULL)
    return;
  loop_timer_stop (n->repeat);
  loop_timer_stop (n->tell);
  g_free (n);
}

bool
notices_look (struct notices *n)
{
  if (!beryl_quarantine_take_changed (beryl_forward_quarantine (n->forward)))
    return false;
  if (n->tell == NULL)
    n->tell = loop_timer_start (n->loop, TELL_DELAY_MS, 0, tell_due, n);
  return true;
}

void
notices_take (struct notices *n, const struct notices_message *message)
{
  beryl_quarantine_take (beryl_forward_quarantine (n->forward),
                         &message->quarantine, loop_now_ms (n->loop));
}
