#include "hold_keeper.h"

#include <string.h>

#include "entry.h"

/* Windows are told this much ahead of the counters in use, so that not each
 * request needs a message; a window that is too wide only makes a clean-up
 * ask for streams that never were. */
#define AHEAD 256

/* Streams held at one engine. */
struct held
{
  char endpoint[BERYL_NAME_BYTES];
  GHashTable *counters; /* as a set */
  uint64_t told_from;
  uint64_t told_to;
};

struct hold_keeper
{
  struct entry *entry;
  GHashTable *engines; /* name -> struct held */
  uint64_t held_count;
};

static void
held_free (gpointer data)
{
  struct held *held = data;

  g_hash_table_destroy (held->counters);
  g_free (held);
}

struct hold_keeper *
hold_keeper_create (struct entry *entry)
{
  struct hold_keeper *keeper = g_new0 (struct hold_keeper, 1);

  keeper->entry = entry;
  keeper->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_free);
  return keeper;
}

void
hold_keeper_destroy (struct hold_keeper *keeper)
{
  if (keeper == NULL)
    return;
  g_hash_table_destroy (keeper->engines);
  g_free (keeper);
}

static struct held *
held_of (struct hold_keeper *keeper, const char *endpoint)
{
  struct held *held = g_hash_table_lookup (keeper->engines, endpoint);

  if (held != NULL)
    return held;
  held = g_new0 (struct held, 1);
  g_strlcpy (held->endpoint, endpoint, sizeof held->endpoint);
  held->counters
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_insert (keeper->engines, held->endpoint, held);
  return held;
}

static void
tell (struct hold_keeper *keeper)
{
  struct local_holds holds = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (keeper->entry->link == NULL)
    return;
  holds.items
      = g_new0 (struct local_hold, g_hash_table_size (keeper->engines) + 1);
  g_hash_table_iter_init (&iter, keeper->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held *held = value;
      struct local_hold *item = &holds.items[holds.count];

      if (held->told_to == 0)
        continue;
      g_strlcpy (item->endpoint, held->endpoint, sizeof item->endpoint);
      item->incarnation = keeper->entry->incarnation;
      item->from = held->told_from;
      item->to = held->told_to;
      holds.count++;
    }
  control_link_holds (keeper->entry->link, &holds);
  counters_add (keeper->entry->counters, "beryl_hold_reports_total", "", 1);
  g_free (holds.items);
}

void
hold_keeper_record (struct hold_keeper *keeper, const char *endpoint,
                    struct beryl_stream_id stream)
{
  struct held *held = held_of (keeper, endpoint);
  uint64_t *counter = g_new (uint64_t, 1);

  *counter = stream.counter;
  g_hash_table_add (held->counters, counter);
  counters_set (keeper->entry->counters, "beryl_holds", "",
                ++keeper->held_count);
  if (held->told_to != 0 && stream.counter >= held->told_from
      && stream.counter <= held->told_to)
    return;
  /* The message goes out before the call that makes the hold: both leave by
   * this thread, and the window is wide enough for those after it. */
  if (held->told_to == 0)
    held->told_from = stream.counter;
  held->told_from = MIN (held->told_from, stream.counter);
  held->told_to = stream.counter + AHEAD;
  tell (keeper);
}

void
hold_keeper_erase (struct hold_keeper *keeper, const char *endpoint,
                   struct beryl_stream_id stream)
{
  struct held *held = g_hash_table_lookup (keeper->engines, endpoint);

  if (held == NULL || !g_hash_table_remove (held->counters, &stream.counter))
    return;
  counters_set (keeper->entry->counters, "beryl_holds", "",
                --keeper->held_count);
  if (g_hash_table_size (held->counters) > 0)
    return;
  held->told_from = 0;
  held->told_to = 0;
  tell (keeper);
}
