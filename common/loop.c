#include "common/loop.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/resource.h>

#include "beryl/clock.h"

#define DESCRIPTORS_MAX 16384
#define SIGNAL_COUNT 3
/* A turn of the loop, or a delay of its wake-up, from this length on is
   logged: whatever judges silence may be wrong after it. */
#define LONG_TURN_MS 100
#define NS_PER_MS 1000000
/* After a poll in which reading took longer than this, as much may have
   arrived meanwhile: due timers wait for another poll, so many times at most.
 */
#define READING_MS 20
/* The same holds for the callbacks of timers: those that are left when the
   ones before have taken longer than this wait for another poll. */
#define CALLBACKS_MS 20
#define POLLS_MAX 3

TAILQ_HEAD (timer_list, loop_timer);

struct loop
{
  uv_loop_t uv;
  struct beryl_clock *clock;
  uv_signal_t signals[SIGNAL_COUNT];
  uv_prepare_t before_poll;
  uv_check_t after_poll;
  /* Active while timers are due, so that the poll returns at once. */
  uv_idle_t no_wait;
  struct timer_list due;
  unsigned int polls; /* since the first of them has become due */
  int64_t polled_ms;  /* when the last poll began */
  int64_t waited_ms;  /* in all polls, when the last one began */
  int64_t timeout_ms; /* of the last poll; -1: none */
  loop_stop_cb *stop_cb;
  void *stop_user;
  loop_stop_cb *reload_cb;
  void *reload_user;
  bool stopping;
};

struct loop_timer
{
  uv_timer_t handle;
  TAILQ_ENTRY (loop_timer) entry; /* in the loop's list while it is due */
  struct loop *loop;
  loop_timer_cb *cb;
  void *user;
  bool due;
};

static void
signal_received (uv_signal_t *handle, int signum)
{
  struct loop *loop = handle->data;

  if (signum == SIGHUP)
    {
      if (loop->reload_cb != NULL)
        loop->reload_cb (loop->reload_user);
      return;
    }
  if (loop->stopping)
    return;
  loop->stopping = true;
  if (loop->stop_cb != NULL)
    loop->stop_cb (loop->stop_user);
  else
    loop_quit (loop);
}

/* libwebsockets sizes its tables by the descriptor limit, which may be in
 * the millions, and walks one of them for each new socket. */
void
loop_limit_descriptors (uint32_t count)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = MIN (limit.rlim_max, count);
  setrlimit (RLIMIT_NOFILE, &limit);
}

static int64_t
waited_ms (struct loop *loop)
{
  return (int64_t)(uv_metrics_idle_time (&loop->uv) / NS_PER_MS);
}

static void
turn_ended (uv_prepare_t *prepare)
{
  struct loop *loop = prepare->data;
  int64_t now_ms = loop_now_ms (loop);
  int64_t waited = waited_ms (loop);
  int64_t turn_ms = now_ms - loop->polled_ms - (waited - loop->waited_ms);

  if (turn_ms >= LONG_TURN_MS)
    g_info ("loop turn took_ms=%" G_GINT64_FORMAT, turn_ms);
  loop->polled_ms = now_ms;
  loop->waited_ms = waited;
  loop->timeout_ms = uv_backend_timeout (&loop->uv);
}

static void
timer_clear_due (struct loop_timer *timer)
{
  struct loop *loop = timer->loop;

  if (!timer->due)
    return;
  timer->due = false;
  TAILQ_REMOVE (&loop->due, timer, entry);
  if (!TAILQ_EMPTY (&loop->due))
    return;
  loop->polls = 0;
  uv_idle_stop (&loop->no_wait);
}

/* libuv runs timers before it polls.  A timer that judges silence would then
 * judge by the clock what has arrived during a long turn and was not read
 * yet. */
static void
run_due_timers (struct loop *loop)
{
  struct loop_timer *timer;
  int64_t begin_ms = loop_now_ms (loop);

  if (TAILQ_EMPTY (&loop->due)
      || (begin_ms - loop->polled_ms > READING_MS
          && ++loop->polls < POLLS_MAX))
    return;
  loop->polls = 0;
  while ((timer = TAILQ_FIRST (&loop->due)) != NULL
         && loop_now_ms (loop) - begin_ms <= CALLBACKS_MS)
    {
      timer_clear_due (timer);
      timer->cb (timer->user);
    }
}

static void
poll_ended (uv_check_t *check)
{
  struct loop *loop = check->data;
  int64_t late_ms = waited_ms (loop) - loop->waited_ms - loop->timeout_ms;

  if (loop->timeout_ms >= 0 && late_ms >= LONG_TURN_MS)
    g_info ("loop woken late_ms=%" G_GINT64_FORMAT, late_ms);
  run_due_timers (loop);
}

static void
due_timers_wait (uv_idle_t *idle)
{
}

static void
watch_turns (struct loop *loop)
{
  TAILQ_INIT (&loop->due);
  loop->polled_ms = loop_now_ms (loop);
  uv_prepare_init (&loop->uv, &loop->before_poll);
  uv_check_init (&loop->uv, &loop->after_poll);
  uv_idle_init (&loop->uv, &loop->no_wait);
  loop->before_poll.data = loop;
  loop->after_poll.data = loop;
  uv_prepare_start (&loop->before_poll, turn_ended);
  uv_check_start (&loop->after_poll, poll_ended);
  uv_unref ((uv_handle_t *)&loop->before_poll);
  uv_unref ((uv_handle_t *)&loop->after_poll);
}

struct loop *
loop_create (void)
{
  static const int signums[SIGNAL_COUNT] = { SIGTERM, SIGINT, SIGHUP };
  struct loop *loop = g_new0 (struct loop, 1);

  loop_limit_descriptors (DESCRIPTORS_MAX);
  uv_loop_init (&loop->uv);
  uv_loop_configure (&loop->uv, UV_METRICS_IDLE_TIME);
  loop->clock = beryl_clock_create_real ();
  watch_turns (loop);
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < G_N_ELEMENTS (signums); i++)
    {
      uv_signal_init (&loop->uv, &loop->signals[i]);
      loop->signals[i].data = loop;
      uv_signal_start (&loop->signals[i], signal_received, signums[i]);
      uv_unref ((uv_handle_t *)&loop->signals[i]);
    }
  return loop;
}

void
loop_destroy (struct loop *loop)
{
  if (loop == NULL)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (loop->signals); i++)
    uv_close ((uv_handle_t *)&loop->signals[i], NULL);
  uv_close ((uv_handle_t *)&loop->before_poll, NULL);
  uv_close ((uv_handle_t *)&loop->after_poll, NULL);
  uv_close ((uv_handle_t *)&loop->no_wait, NULL);
  for (int i = 0; i < 100 && uv_loop_close (&loop->uv) == UV_EBUSY; i++)
    uv_run (&loop->uv, UV_RUN_NOWAIT);
  beryl_clock_destroy (loop->clock);
  g_free (loop);
}

uv_loop_t *
loop_uv (struct loop *loop)
{
  return &loop->uv;
}

int64_t
loop_now_ms (struct loop *loop)
{
  return beryl_clock_now_ms (loop->clock);
}

void
loop_on_stop (struct loop *loop, loop_stop_cb *cb, void *user)
{
  loop->stop_cb = cb;
  loop->stop_user = user;
}

bool
loop_stopping (const struct loop *loop)
{
  return loop->stopping;
}

void
loop_on_reload (struct loop *loop, loop_stop_cb *cb, void *user)
{
  loop->reload_cb = cb;
  loop->reload_user = user;
}

void
loop_run (struct loop *loop)
{
  uv_run (&loop->uv, UV_RUN_DEFAULT);
}

void
loop_quit (struct loop *loop)
{
  uv_stop (&loop->uv);
}

static void
timer_fired (uv_timer_t *handle)
{
  struct loop_timer *timer = handle->data;
  struct loop *loop = timer->loop;

  if (timer->due)
    return;
  timer->due = true;
  TAILQ_INSERT_TAIL (&loop->due, timer, entry);
  uv_idle_start (&loop->no_wait, due_timers_wait);
}

struct loop_timer *
loop_timer_create (struct loop *loop, loop_timer_cb *cb, void *user)
{
  struct loop_timer *timer = g_new0 (struct loop_timer, 1);

  timer->loop = loop;
  timer->cb = cb;
  timer->user = user;
  uv_timer_init (&loop->uv, &timer->handle);
  timer->handle.data = timer;
  return timer;
}

void
loop_timer_set (struct loop_timer *timer, int64_t delay_ms, int64_t repeat_ms)
{
  timer_clear_due (timer);
  /* The delay counts from now, not from the begin of the turn. */
  uv_update_time (&timer->loop->uv);
  uv_timer_start (&timer->handle, timer_fired,
                  (uint64_t)(delay_ms > 0 ? delay_ms : 0),
                  (uint64_t)repeat_ms);
}

void
loop_timer_unset (struct loop_timer *timer)
{
  timer_clear_due (timer);
  uv_timer_stop (&timer->handle);
}

struct loop_timer *
loop_timer_start (struct loop *loop, int64_t delay_ms, int64_t repeat_ms,
                  loop_timer_cb *cb, void *user)
{
  struct loop_timer *timer = loop_timer_create (loop, cb, user);

  loop_timer_set (timer, delay_ms, repeat_ms);
  return timer;
}

static void
timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
loop_timer_stop (struct loop_timer *timer)
{
  if (timer == NULL)
    return;
  timer_clear_due (timer);
  uv_close ((uv_handle_t *)&timer->handle, timer_closed);
}
