/* Windows of the streams that this process holds at engines. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/holds.h"

/* Counters by which a window is extended beyond the newest hold.  More means
 * fewer reports but wider windows to cancel; 256 gives a report per engine
 * about every 20 s at 13 requests per second. */
#define WINDOW_AHEAD_COUNTERS 256

/* The streams held at one engine. */
struct tracked_window
{
  struct beryl_hold_window range; /* what the control daemon must know */
  uint64_t *held;                 /* counters, unordered */
  size_t held_count;
  size_t held_capacity;
};

struct beryl_hold_windows
{
  uint64_t incarnation;
  struct tracked_window *items;
  size_t count;
  size_t capacity;
};

struct beryl_hold_windows *
beryl_hold_windows_create (uint64_t incarnation)
{
  struct beryl_hold_windows *windows = calloc (1, sizeof *windows);

  if (windows != NULL)
    windows->incarnation = incarnation;
  return windows;
}

void
beryl_hold_windows_destroy (struct beryl_hold_windows *windows)
{
  if (windows == NULL)
    return;
  for (size_t i = 0; i < windows->count; i++)
    free (windows->items[i].held);
  free (windows->items);
  free (windows);
}

static struct tracked_window *
window_find (const struct beryl_hold_windows *windows, const char *endpoint)
{
  for (size_t i = 0; i < windows->count; i++)
    if (strcmp (windows->items[i].range.endpoint, endpoint) == 0)
      return &windows->items[i];
  return NULL;
}

static struct tracked_window *
window_add (struct beryl_hold_windows *windows, const char *endpoint)
{
  struct tracked_window *window;

  if (windows->count == windows->capacity)
    {
      size_t capacity = windows->capacity != 0 ? windows->capacity * 2 : 16;
      struct tracked_window *items
          = realloc (windows->items, capacity * sizeof *items);

      if (items == NULL)
        return NULL;
      windows->items = items;
      windows->capacity = capacity;
    }
  window = &windows->items[windows->count++];
  *window = (struct tracked_window){ 0 };
  snprintf (window->range.endpoint, sizeof window->range.endpoint, "%s",
            endpoint);
  window->range.incarnation = windows->incarnation;
  window->range.from = 1;
  return window;
}

static bool
window_add_counter (struct tracked_window *window, uint64_t counter)
{
  if (window->held_count == window->held_capacity)
    {
      size_t capacity
          = window->held_capacity != 0 ? window->held_capacity * 2 : 8;
      uint64_t *held = realloc (window->held, capacity * sizeof *held);

      if (held == NULL)
        return false;
      window->held = held;
      window->held_capacity = capacity;
    }
  window->held[window->held_count++] = counter;
  return true;
}

bool
beryl_hold_windows_record (struct beryl_hold_windows *windows,
                           const char *endpoint, uint64_t counter)
{
  struct tracked_window *window = window_find (windows, endpoint);
  struct beryl_hold_window *range;

  if (window == NULL)
    window = window_add (windows, endpoint);
  if (window == NULL || !window_add_counter (window, counter))
    return true;
  range = &window->range;
  if (range->from <= counter && counter <= range->to)
    return false;
  if (range->to < range->from || counter < range->from)
    range->from = counter;
  if (counter > range->to)
    range->to = counter + WINDOW_AHEAD_COUNTERS;
  return true;
}

void
beryl_hold_windows_erase (struct beryl_hold_windows *windows,
                          const char *endpoint, uint64_t counter)
{
  struct tracked_window *window = window_find (windows, endpoint);

  if (window == NULL)
    return;
  for (size_t i = 0; i < window->held_count; i++)
    if (window->held[i] == counter)
      {
        window->held[i] = window->held[--window->held_count];
        return;
      }
}

const struct beryl_hold_window *
beryl_hold_windows_get (const struct beryl_hold_windows *windows,
                        const char *endpoint)
{
  const struct tracked_window *window = window_find (windows, endpoint);

  return window != NULL ? &window->range : NULL;
}

/* Returns whether the window changed. */
static bool
window_shrink (struct tracked_window *window)
{
  struct beryl_hold_window *range = &window->range;
  uint64_t lowest = UINT64_MAX;
  bool empty = range->to < range->from;

  for (size_t i = 0; i < window->held_count; i++)
    if (window->held[i] < lowest)
      lowest = window->held[i];
  if (window->held_count == 0)
    {
      range->from = 1;
      range->to = 0;
      return !empty;
    }
  if (lowest == range->from)
    return false;
  range->from = lowest;
  return true;
}

size_t
beryl_hold_windows_shrink (struct beryl_hold_windows *windows,
                           struct beryl_hold_window *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < windows->count && n < max; i++)
    if (window_shrink (&windows->items[i]))
      out[n++] = windows->items[i].range;
  return n;
}

size_t
beryl_hold_windows_list (const struct beryl_hold_windows *windows,
                         struct beryl_hold_window *out, size_t max)
{
  for (size_t i = 0; i < windows->count && i < max; i++)
    out[i] = windows->items[i].range;
  return windows->count;
}
