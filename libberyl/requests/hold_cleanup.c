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

struct cleanup_item
{
  struct cleanup_item *next;
  struct beryl_hold_window window;
  int64_t final_from_ms;
  int64_t next_ms;
  int64_t backoff_ms;
};

struct beryl_hold_cleanup
{
  struct cleanup_item *items;
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
  struct cleanup_item *item;

  if (cleanup == NULL)
    return;
  while ((item = cleanup->items) != NULL)
    {
      cleanup->items = item->next;
      free (item);
    }
  free (cleanup);
}

static struct cleanup_item **
item_find (struct beryl_hold_cleanup *cleanup, const char *endpoint,
           uint64_t incarnation)
{
  struct cleanup_item **at = &cleanup->items;

  while (*at != NULL
         && ((*at)->window.incarnation != incarnation
             || strcmp ((*at)->window.endpoint, endpoint) != 0))
    at = &(*at)->next;
  return at;
}

static void
item_remove (struct beryl_hold_cleanup *cleanup, struct cleanup_item **at)
{
  struct cleanup_item *item = *at;

  *at = item->next;
  cleanup->count--;
  free (item);
}

bool
beryl_hold_cleanup_add (struct beryl_hold_cleanup *cleanup,
                        const struct beryl_hold_window *window, int64_t now_ms)
{
  struct cleanup_item *item
      = *item_find (cleanup, window->endpoint, window->incarnation);

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
  for (struct cleanup_item *item = cleanup->items; item != NULL;
       item = item->next)
    {
      if (now_ms < item->next_ms)
        continue;
      item->next_ms = now_ms + item->backoff_ms;
      item->backoff_ms *= 2;
      if (item->backoff_ms > CLEANUP_MAX_BACKOFF_MS)
        item->backoff_ms = CLEANUP_MAX_BACKOFF_MS;
      *out = item->window;
      return true;
    }
  return false;
}

bool
beryl_hold_cleanup_on_reply (struct beryl_hold_cleanup *cleanup,
                             const char *endpoint, uint64_t incarnation,
                             uint64_t held, int64_t now_ms)
{
  struct cleanup_item **at = item_find (cleanup, endpoint, incarnation);

  if (*at == NULL || held > 0)
    return false;
  if (!BERYL_GUARD (BERYL_GUARD_CLEANUP_SETTLE,
                    now_ms >= (*at)->final_from_ms))
    {
      (*at)->next_ms = (*at)->final_from_ms;
      return false;
    }
  item_remove (cleanup, at);
  return true;
}

void
beryl_hold_cleanup_remove_endpoint (struct beryl_hold_cleanup *cleanup,
                                    const char *endpoint)
{
  struct cleanup_item **at = &cleanup->items;

  while (*at != NULL)
    if (strcmp ((*at)->window.endpoint, endpoint) == 0)
      item_remove (cleanup, at);
    else
      at = &(*at)->next;
}

int64_t
beryl_hold_cleanup_next_ms (const struct beryl_hold_cleanup *cleanup)
{
  int64_t next_ms = BERYL_NEVER_MS;

  for (const struct cleanup_item *item = cleanup->items; item != NULL;
       item = item->next)
    if (item->next_ms < next_ms)
      next_ms = item->next_ms;
  return next_ms;
}

size_t
beryl_hold_cleanup_count (const struct beryl_hold_cleanup *cleanup)
{
  return cleanup->count;
}
