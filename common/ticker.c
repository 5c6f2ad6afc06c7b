#include "common/ticker.h"

#include <glib.h>

#include "beryl/clock.h"

struct ticker
{
  struct loop *loop;
  loop_timer_cb *cb;
  void *user;
  struct loop_timer *timer;
  int64_t due_ms; /* of the running timer */
};

struct ticker *
ticker_create (struct loop *loop, loop_timer_cb *cb, void *user)
{
  struct ticker *ticker = g_new0 (struct ticker, 1);

  ticker->loop = loop;
  ticker->cb = cb;
  ticker->user = user;
  return ticker;
}

void
ticker_destroy (struct ticker *ticker)
{
  if (ticker == NULL)
    return;
  loop_timer_stop (ticker->timer);
  g_free (ticker);
}

static void
ticker_due (void *user)
{
  struct ticker *ticker = user;

  loop_timer_stop (ticker->timer);
  ticker->timer = NULL;
  ticker->cb (ticker->user);
}

void
ticker_set (struct ticker *ticker, int64_t due_ms)
{
  int64_t delay_ms = due_ms - loop_now_ms (ticker->loop);

  if (due_ms == BERYL_NEVER_MS)
    return;
  if (ticker->timer != NULL && ticker->due_ms <= due_ms)
    return;
  loop_timer_stop (ticker->timer);
  ticker->due_ms = due_ms;
  ticker->timer = loop_timer_start (ticker->loop, delay_ms > 1 ? delay_ms : 1,
                                    0, ticker_due, ticker);
}
