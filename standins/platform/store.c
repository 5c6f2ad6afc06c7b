#include "store.h"

#include <glib.h>
#include <string.h>

/** How far back reads can look. */
#define HISTORY_MS 60000
#define NAME_MAX_LENGTH 63

/** A write; shared by the object's history and the log of events. */
struct change
{
  gatomicrefcount references;
  char *kind;
  char *name;
  uint64_t version;
  int64_t time_ms;
  bool deleted;
  char *value;
  size_t value_bytes;
};

/** A line in the log of all writes. */
struct write
{
  char *kind;
  char *name;
  uint64_t version;
  int64_t time_ms;
  bool deleted;
};

struct store
{
  GTree *objects;    /* "kind/name" to GPtrArray of changes, oldest first */
  GPtrArray *events; /* the last changes */
  GArray *writes;
  uint64_t revision;
  uint64_t compacted; /* events up to here are gone */
};

static void
change_unref (void *pointer)
{
  struct change *c = pointer;

  if (!g_atomic_ref_count_dec (&c->references))
    return;
  g_free (c->kind);
  g_free (c->name);
  g_free (c->value);
  g_free (c);
}

static void
write_clear (void *pointer)
{
  struct write *w = pointer;

  g_free (w->kind);
  g_free (w->name);
}

static int
compare_keys (const void *a, const void *b, void *user)
{
  return strcmp (a, b);
}

static void
history_free (void *pointer)
{
  g_ptr_array_unref (pointer);
}

struct store *
store_create (void)
{
  struct store *s = g_new0 (struct store, 1);

  s->objects = g_tree_new_full (compare_keys, NULL, g_free, history_free);
  s->events = g_ptr_array_new_with_free_func (change_unref);
  s->writes = g_array_new (FALSE, FALSE, sizeof (struct write));
  g_array_set_clear_func (s->writes, write_clear);
  return s;
}

void
store_destroy (struct store *s)
{
  if (!s)
    return;
  g_tree_unref (s->objects);
  g_ptr_array_unref (s->events);
  g_array_unref (s->writes);
  g_free (s);
}

bool
store_name_valid (const char *name)
{
  size_t length = strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789._-");

  return length > 0 && length <= NAME_MAX_LENGTH && name[length] == '\0';
}

uint64_t
store_revision_at (const struct store *s, int64_t at_ms)
{
  guint low = 0, high = s->writes->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (g_array_index (s->writes, struct write, middle).time_ms <= at_ms)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == 0)
    return 0;
  return g_array_index (s->writes, struct write, low - 1).version;
}

static GPtrArray *
history_find (const struct store *s, const char *kind, const char *name)
{
  char key[2 * NAME_MAX_LENGTH + 2];

  g_snprintf (key, sizeof key, "%s/%s", kind, name);
  return g_tree_lookup (s->objects, key);
}

static struct change *
history_last (const GPtrArray *history)
{
  return history ? g_ptr_array_index (history, history->len - 1) : NULL;
}

/** Return what the object was at AT_MS, or NULL if there was none. */
static struct change *
history_at (const GPtrArray *history, int64_t at_ms)
{
  if (!history)
    return NULL;
  for (guint i = history->len; i-- > 0;)
    {
      struct change *c = g_ptr_array_index (history, i);

      if (c->time_ms <= at_ms)
        return c->deleted ? NULL : c;
    }
  return NULL;
}

/** Drop what no read can ask for any more. */
static void
history_trim (GPtrArray *history, int64_t now_ms)
{
  guint old = 0;

  while (old + 1 < history->len)
    {
      struct change *next = g_ptr_array_index (history, old + 1);

      if (next->time_ms > now_ms - HISTORY_MS)
        break;
      old++;
    }
  if (old > 0)
    g_ptr_array_remove_range (history, 0, old);
}

static void
events_append (struct store *s, struct change *c)
{
  if (s->events->len == STORE_EVENTS_MAX)
    {
      struct change *last
          = g_ptr_array_index (s->events, STORE_EVENTS_MAX / 2 - 1);

      s->compacted = last->version;
      g_ptr_array_remove_range (s->events, 0, STORE_EVENTS_MAX / 2);
    }
  g_atomic_ref_count_inc (&c->references);
  g_ptr_array_add (s->events, c);
}

/** Make a change take effect. */
static uint64_t
change_append (struct store *s, const char *kind, const char *name,
               const char *value, size_t value_bytes, int64_t now_ms)
{
  struct change *c = g_new0 (struct change, 1);
  struct write w;
  GPtrArray *history = history_find (s, kind, name);

  g_atomic_ref_count_init (&c->references);
  c->kind = g_strdup (kind);
  c->name = g_strdup (name);
  c->version = ++s->revision;
  c->time_ms = now_ms;
  c->deleted = value == NULL;
  c->value = value ? g_strndup (value, value_bytes) : NULL;
  c->value_bytes = value_bytes;
  if (!history)
    {
      history = g_ptr_array_new_with_free_func (change_unref);
      g_tree_insert (s->objects, g_strdup_printf ("%s/%s", kind, name),
                     history);
    }
  g_ptr_array_add (history, c);
  history_trim (history, now_ms);
  events_append (s, c);
  w = (struct write){ g_strdup (kind), g_strdup (name), c->version, now_ms,
                      c->deleted };
  g_array_append_val (s->writes, w);
  return c->version;
}

/** Whether the condition holds over the current version. */
static bool
condition_holds (enum store_condition condition, uint64_t wanted,
                 uint64_t current)
{
  switch (condition)
    {
    case STORE_IF_ABSENT:
      return current == 0;
    case STORE_IF_VERSION:
      return current == wanted;
    default:
      return true;
    }
}

static uint64_t
current_version (const struct store *s, const char *kind, const char *name)
{
  struct change *c = history_last (history_find (s, kind, name));

  return c && !c->deleted ? c->version : 0;
}

enum store_status
store_put (struct store *s, const char *kind, const char *name,
           enum store_condition condition, uint64_t *version,
           const char *value, size_t value_bytes, int64_t now_ms)
{
  uint64_t current;

  if (!store_name_valid (kind) || !store_name_valid (name))
    return STORE_INVALID;
  if (value_bytes > STORE_VALUE_MAX_BYTES)
    return STORE_TOO_LARGE;
  current = current_version (s, kind, name);
  if (!condition_holds (condition, *version, current))
    {
      *version = current;
      return STORE_CONFLICT;
    }
  *version = change_append (s, kind, name, value, value_bytes, now_ms);
  return STORE_OK;
}

enum store_status
store_delete (struct store *s, const char *kind, const char *name,
              enum store_condition condition, uint64_t *version,
              int64_t now_ms)
{
  uint64_t current;

  if (!store_name_valid (kind) || !store_name_valid (name))
    return STORE_INVALID;
  current = current_version (s, kind, name);
  if (current == 0)
    return STORE_ABSENT;
  if (!condition_holds (condition, *version, current))
    {
      *version = current;
      return STORE_CONFLICT;
    }
  *version = change_append (s, kind, name, NULL, 0, now_ms);
  return STORE_OK;
}

static struct store_revision
revision_of (const struct change *c)
{
  return (struct store_revision){ c->kind,       c->name,    c->version,
                                  c->time_ms,    c->deleted, c->value,
                                  c->value_bytes };
}

enum store_status
store_get (struct store *s, const char *kind, const char *name, int64_t at_ms,
           struct store_revision *revision)
{
  struct change *c;

  if (!store_name_valid (kind) || !store_name_valid (name))
    return STORE_INVALID;
  c = history_at (history_find (s, kind, name), at_ms);
  if (!c)
    return STORE_ABSENT;
  *revision = revision_of (c);
  return STORE_OK;
}

void
store_list (struct store *s, const char *kind, const char *prefix,
            const char *after, int64_t at_ms, store_visit *visit, void *user)
{
  char *start = g_strdup_printf ("%s/%s", kind,
                                 strcmp (after, prefix) > 0 ? after : prefix);
  char *wanted = g_strdup_printf ("%s/%s", kind, prefix);
  GTreeNode *node = g_tree_lower_bound (s->objects, start);

  for (; node; node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      struct change *c;
      struct store_revision r;

      if (!g_str_has_prefix (key, wanted))
        break;
      c = history_at (g_tree_node_value (node), at_ms);
      if (!c || strcmp (c->name, after) <= 0)
        continue;
      r = revision_of (c);
      if (!visit (user, &r))
        break;
    }
  g_free (start);
  g_free (wanted);
}

enum store_status
store_events (struct store *s, const char *kind, uint64_t after,
              store_visit *visit, void *user)
{
  guint low = 0, high = s->events->len;

  if (after < s->compacted)
    return STORE_COMPACTED;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      struct change *c = g_ptr_array_index (s->events, middle);

      if (c->version <= after)
        low = middle + 1;
      else
        high = middle;
    }
  for (; low < s->events->len; low++)
    {
      struct change *c = g_ptr_array_index (s->events, low);
      struct store_revision r = revision_of (c);

      if (strcmp (c->kind, kind) == 0 && !visit (user, &r))
        break;
    }
  return STORE_OK;
}

void
store_writes (struct store *s, uint64_t after, store_visit *visit, void *user)
{
  for (guint i = 0; i < s->writes->len; i++)
    {
      const struct write *w = &g_array_index (s->writes, struct write, i);
      struct store_revision r
          = { w->kind, w->name, w->version, w->time_ms, w->deleted, NULL, 0 };

      if (w->version > after && !visit (user, &r))
        break;
    }
}

void
store_compact (struct store *s)
{
  g_ptr_array_set_size (s->events, 0);
  s->compacted = s->revision;
}
