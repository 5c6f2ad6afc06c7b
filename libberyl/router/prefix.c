#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "beryl/router.h"
#include "prefix.h"

#define WAYS 4

/* Maximum number of new blocks that one prompt adds. */
#define NEW_BLOCKS_MAX 24

struct entry
{
  uint64_t block;
  int64_t used_ms;
  uint32_t holders[PREFIX_HOLDERS];
  uint32_t holder_count; /* 0: free entry */
};

struct prefix_index
{
  size_t sets; /* a power of two */
  struct entry *entries;
};

struct prefix_index *
prefix_index_create (size_t entries)
{
  struct prefix_index *index = calloc (1, sizeof *index);
  if (!index)
    return NULL;
  index->sets = 1;
  while (index->sets * WAYS < entries)
    index->sets *= 2;
  index->entries = calloc (index->sets * WAYS, sizeof *index->entries);
  if (!index->entries)
    {
      free (index);
      return NULL;
    }
  return index;
}

void
prefix_index_destroy (struct prefix_index *index)
{
  if (!index)
    return;
  free (index->entries);
  free (index);
}

static struct entry *
set_of (struct prefix_index *index, uint64_t block)
{
  return index->entries + (block & (index->sets - 1)) * WAYS;
}

static struct entry *
find (struct prefix_index *index, uint64_t block)
{
  struct entry *set = set_of (index, block);
  for (size_t i = 0; i < WAYS; i++)
    if (set[i].holder_count > 0 && set[i].block == block)
      return &set[i];
  return NULL;
}

static struct entry *
find_or_replace (struct prefix_index *index, uint64_t block)
{
  struct entry *e = find (index, block);
  if (e)
    return e;
  struct entry *set = set_of (index, block);
  e = &set[0];
  for (size_t i = 0; i < WAYS && e->holder_count > 0; i++)
    if (set[i].holder_count == 0 || set[i].used_ms < e->used_ms)
      e = &set[i];
  *e = (struct entry){ .block = block };
  return e;
}

void
prefix_index_add (struct prefix_index *index, uint64_t block,
                  uint32_t endpoint, int64_t now_ms)
{
  struct entry *e = find_or_replace (index, block);
  e->used_ms = now_ms;
  for (uint32_t i = 0; i < e->holder_count; i++)
    if (e->holders[i] == endpoint)
      return;
  if (e->holder_count == PREFIX_HOLDERS)
    {
      memmove (e->holders, e->holders + 1,
               (PREFIX_HOLDERS - 1) * sizeof e->holders[0]);
      e->holder_count--;
    }
  e->holders[e->holder_count++] = endpoint;
}

void
prefix_index_add_chain (struct prefix_index *index, const uint64_t *blocks,
                        size_t block_count, uint32_t endpoint, int64_t now_ms)
{
  size_t unseen = 0;
  for (size_t i = 0; i < block_count && unseen < NEW_BLOCKS_MAX; i++)
    {
      if (!find (index, blocks[i]))
        unseen++;
      prefix_index_add (index, blocks[i], endpoint, now_ms);
    }
}

static void
drop_holder (struct entry *e, uint32_t endpoint)
{
  for (uint32_t i = 0; i < e->holder_count; i++)
    if (e->holders[i] == endpoint)
      {
        e->holders[i] = e->holders[--e->holder_count];
        return;
      }
}

void
prefix_index_remove (struct prefix_index *index, uint64_t block,
                     uint32_t endpoint)
{
  struct entry *e = find (index, block);
  if (e)
    drop_holder (e, endpoint);
}

void
prefix_index_remove_endpoint (struct prefix_index *index, uint32_t endpoint)
{
  for (size_t i = 0; i < index->sets * WAYS; i++)
    drop_holder (&index->entries[i], endpoint);
}

static void
renumber (struct entry *e, const uint32_t *numbers, size_t number_count)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < e->holder_count; i++)
    {
      uint32_t old = e->holders[i];
      if (old < number_count && numbers[old] != UINT32_MAX)
        e->holders[kept++] = numbers[old];
    }
  e->holder_count = kept;
}

void
prefix_index_renumber (struct prefix_index *index, const uint32_t *numbers,
                       size_t number_count)
{
  for (size_t i = 0; i < index->sets * WAYS; i++)
    renumber (&index->entries[i], numbers, number_count);
}

static bool
has_holder (const struct entry *e, uint32_t endpoint)
{
  for (uint32_t i = 0; i < e->holder_count; i++)
    if (e->holders[i] == endpoint)
      return true;
  return false;
}

size_t
prefix_index_lookup (struct prefix_index *index, const uint64_t *blocks,
                     size_t block_count, int64_t now_ms,
                     struct prefix_match *matches)
{
  size_t count = 0;
  for (size_t b = 0; b < block_count; b++)
    {
      struct entry *e = find (index, blocks[b]);
      if (!e)
        break;
      e->used_ms = now_ms;
      if (b == 0)
        for (uint32_t i = 0; i < e->holder_count; i++)
          matches[count++] = (struct prefix_match){ e->holders[i], 0 };
      bool any = false;
      for (size_t i = 0; i < count; i++)
        if (matches[i].blocks == b && has_holder (e, matches[i].endpoint))
          {
            matches[i].blocks++;
            any = true;
          }
      if (!any)
        break;
    }
  return count;
}

size_t
beryl_prefix_hash (const char *prompt, size_t prompt_bytes, size_t block_bytes,
                   uint64_t *hashes, size_t max)
{
  uint64_t chain = 0;
  size_t n = 0;
  if (block_bytes == 0)
    return 0;
  while (n < max && (n + 1) * block_bytes <= prompt_bytes)
    {
      chain = XXH3_64bits_withSeed (prompt + n * block_bytes, block_bytes,
                                    chain);
      hashes[n++] = chain;
    }
  return n;
}
