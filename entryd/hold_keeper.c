#include "hold_keeper.h"

#include "beryl/holds.h"
#include "entry.h"

/* A window that is wider than what is held costs a clean-up one needless
 * cancel; narrowing it at once would cost a message a request. */
#define NARROW_MS 1000
#define NARROWED_MAX 16

struct hold_keeper
{
  struct entry *entry;
  struct beryl_hold_windows *windows;
  struct loop_timer *timer;
  uint64_t held_count;
};

static void
put_window (struct local_holds *holds, const struct beryl_hold_window *window)
{
  struct local_hold *item = &holds->items[holds->count];

  if (window->to < window->from)
    return;
  g_strlcpy (item->endpoint, window->endpoint, sizeof item->endpoint);
  item->incarnation = window->incarnation;
  item->from = window->from;
  item->to = window->to;
  holds->count++;
}

static void
tell (struct hold_keeper *keeper)
{
  struct local_holds holds = { 0 };
  size_t n = beryl_hold_windows_list (keeper->windows, NULL, 0);
  struct beryl_hold_window *windows = g_new0 (struct beryl_hold_window, n + 1);

  holds.items = g_new0 (struct local_hold, n + 1);
  beryl_hold_windows_list (keeper->windows, windows, n);
  for (size_t i = 0; i < n; i++)
    put_window (&holds, &windows[i]);
  control_link_holds (keeper->entry->link, &holds);
  counters_add (keeper->entry->counters, "beryl_hold_reports_total", "", 1);
  g_free (holds.items);
  g_free (windows);
}

static void
narrow (void *user)
{
  struct hold_keeper *keeper = user;
  struct beryl_hold_window narrowed[NARROWED_MAX];
  bool changed = false;

  while (beryl_hold_windows_shrink (keeper->windows, narrowed, NARROWED_MAX)
         > 0)
    changed = true;
  if (changed && keeper->entry->link != NULL)
    tell (keeper);
}

struct hold_keeper *
hold_keeper_create (struct entry *entry)
{
  struct hold_keeper *keeper = g_new0 (struct hold_keeper, 1);

  keeper->entry = entry;
  keeper->windows = beryl_hold_windows_create (entry->incarnation);
  keeper->timer
      = loop_timer_start (entry->loop, NARROW_MS, NARROW_MS, narrow, keeper);
  return keeper;
}

void
hold_keeper_destroy (struct hold_keeper *keeper)
{
  if (keeper == NULL)
    return;
  loop_timer_stop (keeper->timer);
  beryl_hold_windows_destroy (keeper->windows);
  g_free (keeper);
}

void
hold_keeper_record (struct hold_keeper *keeper, const char *endpoint,
                    struct beryl_stream_id stream)
{
  counters_set (keeper->entry->counters, "beryl_holds", "",
                ++keeper->held_count);
  /* The message goes out before the call that makes the hold: both leave by
   * this thread, and the window is wide enough for those after it. */
  if (beryl_hold_windows_record (keeper->windows, endpoint, stream.counter)
      && keeper->entry->link != NULL)
    tell (keeper);
}

void
hold_keeper_erase (struct hold_keeper *keeper, const char *endpoint,
                   struct beryl_stream_id stream)
{
  beryl_hold_windows_erase (keeper->windows, endpoint, stream.counter);
  counters_set (keeper->entry->counters, "beryl_holds", "",
                --keeper->held_count);
}
