#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/holds.h"

/* Counters a told window reaches ahead of the newest hold: at 13 requests a
 * second a node tells each busy engine's window about every 20 s. */
#define REACH_AHEAD 256

struct window
{
  struct beryl_hold_window told;
  uint64_t *held; /* counters, in no order */
  size_t held_count;
  size_t held_capacity;
};

struct beryl_hold_windows
{
  uint64_t incarnation;
  struct window *items;
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

static struct window *
window_find (const struct beryl_hold_windows *windows, const char *endpoint)
{
  for (size_t i = 0; i < windows->count; i++)
    if (strcmp (windows->items[i].told.endpoint, endpoint) == 0)
      return &windows->items[i];
  return NULL;
}

static struct window *
window_add (struct beryl_hold_windows *windows, const char *endpoint)
{
  struct window *window;

  if (windows->count == windows->capacity)
    {
      size_t capacity = windows->capacity != 0 ? windows->capacity * 2 : 16;
      struct window *items
          = realloc (windows->items, capacity * sizeof *items);

      if (items == NULL)
        return NULL;
      windows->items = items;
      windows->capacity = capacity;
    }
  window = &windows->items[windows->count++];
  *window = (struct window){ 0 };
  snprintf (window->told.endpoint, sizeof window->told.endpoint, "%s",
            endpoint);
  window->told.incarnation = windows->incarnation;
  window->told.from = 1;
  return window;
}

static bool
window_hold (struct window *window, uint64_t counter)
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
  struct window *window = window_find (windows, endpoint);
  struct beryl_hold_window *told;

  if (window == NULL)
    window = window_add (windows, endpoint);
  if (window == NULL || !window_hold (window, counter))
    return true;
  told = &window->told;
  if (told->from <= counter && counter <= told->to)
    return false;
  if (told->to < told->from || counter < told->from)
    told->from = counter;
  if (counter > told->to)
    told->to = counter + REACH_AHEAD;
  return true;
}

void
beryl_hold_windows_erase (struct beryl_hold_windows *windows,
                          const char *endpoint, uint64_t counter)
{
  struct window *window = window_find (windows, endpoint);

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
  const struct window *window = window_find (windows, endpoint);

  return window != NULL ? &window->told : NULL;
}

/* Returns whether what is told changed. */
static bool
window_narrow (struct window *window)
{
  struct beryl_hold_window *told = &window->told;
  uint64_t least = UINT64_MAX;
  bool empty = told->to < told->from;

  for (size_t i = 0; i < window->held_count; i++)
    if (window->held[i] < least)
      least = window->held[i];
  if (window->held_count == 0)
    {
      told->from = 1;
      told->to = 0;
      return !empty;
    }
  if (least == told->from)
    return false;
  told->from = least;
  return true;
}

size_t
beryl_hold_windows_narrow (struct beryl_hold_windows *windows,
                           struct beryl_hold_window *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < windows->count && n < max; i++)
    if (window_narrow (&windows->items[i]))
      out[n++] = windows->items[i].told;
  return n;
}

size_t
beryl_hold_windows_list (const struct beryl_hold_windows *windows,
                         struct beryl_hold_window *out, size_t max)
{
  for (size_t i = 0; i < windows->count && i < max; i++)
    out[i] = windows->items[i].told;
  return windows->count;
}
