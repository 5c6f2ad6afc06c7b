/* Cancels the windows of dead processes, with retries until confirmed. */
#include <stdlib.h>
#include <string.h>

#include "../base/guard.h"
#include "beryl/clock.h"
#include "beryl/holds.h"

/* The last calls of a dead process may still be in flight to the engine: a
 * confirmation before this time is not final. */
#define CLEANUP_SETTLE_MS 300
#define CLEANUP_FIRST_BACKOFF_MS 200
#define CLEANUP_MAX_BACKOFF_MS 2000

struct cleanup
{
  struct cleanup *next;
  struct beryl_hold_window window;
  int64_t final_from_ms;
  int64_t next_ms;
  int64_t backoff_ms;
};

struct beryl_hold_cleanup
{
  struct cleanup *items;
  size_t count;
};

struct beryl_hold_cleanup *
beryl_hold_cleanup_create (void)
{
  return calloc (1, sizeof (struct beryl_hold_cleanup));
}

void
beryl_hold_cleanup_destroy (struct beryl_hold_cleanup *cleanup)
{
  struct cleanup *item;

  if (cleanup == NULL)
    return;
  while ((item = cleanup->items) != NULL)
    {
      cleanup->items = item->next;
      free (item);
    }
  free (cleanup);
}

static struct cleanup **
cleanup_find (struct beryl_hold_cleanup *cleanup, const char *endpoint,
              uint64_t incarnation)
{
  struct cleanup **at = &cleanup->items;

  while (*at != NULL
         && ((*at)->window.incarnation != incarnation
             || strcmp ((*at)->window.endpoint, endpoint) != 0))
    at = &(*at)->next;
  return at;
}

static void
cleanup_remove (struct beryl_hold_cleanup *cleanup, struct cleanup **at)
{
  struct cleanup *item = *at;

  *at = item->next;
  cleanup->count--;
  free (item);
}

bool
beryl_hold_cleanup_add (struct beryl_hold_cleanup *cleanup,
                        const struct beryl_hold_window *window, int64_t now_ms)
{
  struct cleanup *item
      = *cleanup_find (cleanup, window->endpoint, window->incarnation);

  if (window->to < window->from)
    return true;
  if (item == NULL)
    {
      item = calloc (1, sizeof *item);
      if (item == NULL)
        return false;
      item->window = *window;
      item->next = cleanup->items;
      cleanup->items = item;
      cleanup->count++;
    }
  if (window->from < item->window.from)
    item->window.from = window->from;
  if (window->to > item->window.to)
    item->window.to = window->to;
  item->final_from_ms = now_ms + CLEANUP_SETTLE_MS;
  item->next_ms = now_ms;
  item->backoff_ms = CLEANUP_FIRST_BACKOFF_MS;
  return true;
}

bool
beryl_hold_cleanup_take_due (struct beryl_hold_cleanup *cleanup,
                             struct beryl_hold_window *out, int64_t now_ms)
{
  for (struct cleanup *c = cleanup->items; c != NULL; c = c->next)
    {
      if (now_ms < c->next_ms)
        continue;
      c->next_ms = now_ms + c->backoff_ms;
      c->backoff_ms *= 2;
      if (c->backoff_ms > CLEANUP_MAX_BACKOFF_MS)
        c->backoff_ms = CLEANUP_MAX_BACKOFF_MS;
      *out = c->window;
      return true;
    }
  return false;
}

bool
beryl_hold_cleanup_on_reply (struct beryl_hold_cleanup *cleanup,
                             const char *endpoint, uint64_t incarnation,
                             uint64_t held, int64_t now_ms)
{
  struct cleanup **at = cleanup_find (cleanup, endpoint, incarnation);

  if (*at == NULL || held > 0)
    return false;
  if (!BERYL_GUARD (BERYL_GUARD_CLEANUP_SETTLE,
                    now_ms >= (*at)->final_from_ms))
    {
      (*at)->next_ms = (*at)->final_from_ms;
      return false;
    }
  cleanup_remove (cleanup, at);
  return true;
}

void
beryl_hold_cleanup_remove_endpoint (struct beryl_hold_cleanup *cleanup,
                                    const char *endpoint)
{
  struct cleanup **at = &cleanup->items;

  while (*at != NULL)
    if (strcmp ((*at)->window.endpoint, endpoint) == 0)
      cleanup_remove (cleanup, at);
    else
      at = &(*at)->next;
}

int64_t
beryl_hold_cleanup_next_ms (const struct beryl_hold_cleanup *cleanup)
{
  int64_t next_ms = BERYL_NEVER_MS;

  for (const struct cleanup *c = cleanup->items; c != NULL; c = c->next)
    if (c->next_ms < next_ms)
      next_ms = c->next_ms;
  return next_ms;
}

size_t
beryl_hold_cleanup_count (const struct beryl_hold_cleanup *cleanup)
{
  return cleanup->count;
}
