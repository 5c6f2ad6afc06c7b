#include "cache.h"

#include <glib.h>

/* Changes kept for readers that ask late. */
#define LOG_CHANGES 16384

struct node
{
  uint64_t block;
  GList link; /* in the order of use, oldest first */
};

struct engine_cache
{
  size_t capacity;
  GHashTable *nodes;
  GQueue order;
  struct engine_cache_change *log;
  uint64_t last;
};

struct engine_cache *
engine_cache_create (size_t capacity)
{
  struct engine_cache *c = g_new0 (struct engine_cache, 1);

  c->capacity = capacity;
  c->nodes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&c->order);
  c->log = g_new0 (struct engine_cache_change, LOG_CHANGES);
  return c;
}

void
engine_cache_destroy (struct engine_cache *c)
{
  if (c == NULL)
    return;
  g_hash_table_destroy (c->nodes);
  g_free (c->log);
  g_free (c);
}

static void
note (struct engine_cache *c, bool added, uint64_t block)
{
  c->last++;
  c->log[c->last % LOG_CHANGES]
      = (struct engine_cache_change){ c->last, added, block };
}

static void
touch (struct engine_cache *c, struct node *n)
{
  g_queue_unlink (&c->order, &n->link);
  g_queue_push_tail_link (&c->order, &n->link);
}

size_t
engine_cache_match (struct engine_cache *c, const uint64_t *blocks,
                    size_t count)
{
  size_t hits = 0;

  while (hits < count && g_hash_table_contains (c->nodes, &blocks[hits]))
    hits++;
  for (size_t i = hits; i > 0; i--)
    touch (c, g_hash_table_lookup (c->nodes, &blocks[i - 1]));
  return hits;
}

static void
evict_oldest (struct engine_cache *c)
{
  struct node *oldest = c->order.head->data;

  g_queue_unlink (&c->order, &oldest->link);
  note (c, false, oldest->block);
  g_hash_table_remove (c->nodes, &oldest->block);
}

static void
put (struct engine_cache *c, uint64_t block)
{
  struct node *n = g_hash_table_lookup (c->nodes, &block);

  if (n != NULL)
    {
      touch (c, n);
      return;
    }
  if (g_hash_table_size (c->nodes) >= c->capacity)
    evict_oldest (c);
  n = g_new0 (struct node, 1);
  n->block = block;
  n->link.data = n;
  g_hash_table_insert (c->nodes, &n->block, n);
  g_queue_push_tail_link (&c->order, &n->link);
  note (c, true, block);
}

void
engine_cache_insert (struct engine_cache *c, const uint64_t *blocks,
                     size_t count)
{
  if (count > c->capacity)
    count = c->capacity;
  for (size_t i = count; i > 0; i--)
    put (c, blocks[i - 1]);
}

void
engine_cache_clear (struct engine_cache *c)
{
  while (c->order.head != NULL)
    evict_oldest (c);
}

uint64_t
engine_cache_last (const struct engine_cache *c)
{
  return c->last;
}

size_t
engine_cache_changes (const struct engine_cache *c, uint64_t after,
                      struct engine_cache_change *changes, size_t max)
{
  uint64_t first = after + 1;
  size_t n = 0;

  if (c->last >= LOG_CHANGES && first <= c->last - LOG_CHANGES)
    first = c->last - LOG_CHANGES + 1;
  for (uint64_t s = first; s <= c->last && n < max; s++)
    changes[n++] = c->log[s % LOG_CHANGES];
  return n;
}

size_t
engine_cache_blocks (const struct engine_cache *c, uint64_t *blocks,
                     size_t max)
{
  size_t n = 0;

  for (GList *l = c->order.head; l != NULL && n < max; l = l->next)
    blocks[n++] = ((const struct node *)l->data)->block;
  return n;
}
