#include "sim.h"

#include <stdlib.h>

struct entry
{
  int64_t at_ms;
  uint64_t order;
  sim_cb *cb;
  void *user;
  void *data;
};

struct sim
{
  int64_t now_ms;
  uint64_t state;
  uint64_t order;
  struct entry *heap;
  size_t count;
  size_t capacity;
};

struct sim *
sim_create (uint64_t seed)
{
  struct sim *sim = calloc (1, sizeof *sim);

  sim->state = seed * 0x9e3779b97f4a7c15U + 1;
  sim->now_ms = 1000;
  return sim;
}

void
sim_destroy (struct sim *sim)
{
  for (size_t i = 0; i < sim->count; i++)
    free (sim->heap[i].data);
  free (sim->heap);
  free (sim);
}

int64_t
sim_now_ms (const struct sim *sim)
{
  return sim->now_ms;
}

uint64_t
sim_random (struct sim *sim, uint64_t limit)
{
  uint64_t z = (sim->state += 0x9e3779b97f4a7c15U);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return (z ^ (z >> 31)) % limit;
}

bool
sim_chance (struct sim *sim, uint32_t percent)
{
  return sim_random (sim, 100) < percent;
}

static bool
entry_before (const struct entry *a, const struct entry *b)
{
  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms;
  return a->order < b->order;
}

static void
heap_swap (struct sim *sim, size_t i, size_t j)
{
  struct entry e = sim->heap[i];

  sim->heap[i] = sim->heap[j];
  sim->heap[j] = e;
}

void
sim_after (struct sim *sim, int64_t delay_ms, sim_cb *cb, void *user,
           void *data)
{
  size_t i = sim->count;

  if (sim->count == sim->capacity)
    {
      sim->capacity = sim->capacity != 0 ? sim->capacity * 2 : 64;
      sim->heap = realloc (sim->heap, sim->capacity * sizeof *sim->heap);
    }
  sim->heap[sim->count++]
      = (struct entry){ sim->now_ms + delay_ms, sim->order++, cb, user, data };
  while (i > 0 && entry_before (&sim->heap[i], &sim->heap[(i - 1) / 2]))
    {
      heap_swap (sim, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct entry
heap_pop (struct sim *sim)
{
  struct entry top = sim->heap[0];
  size_t i = 0;

  sim->count--;
  sim->heap[0] = sim->heap[sim->count];
  sim->heap[sim->count].data = NULL;
  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= sim->count)
        return top;
      if (child + 1 < sim->count
          && entry_before (&sim->heap[child + 1], &sim->heap[child]))
        child++;
      if (!entry_before (&sim->heap[child], &sim->heap[i]))
        return top;
      heap_swap (sim, i, child);
      i = child;
    }
}

void
sim_run (struct sim *sim, int64_t until_ms)
{
  while (sim->count > 0 && sim->heap[0].at_ms <= until_ms)
    {
      struct entry e = heap_pop (sim);

      sim->now_ms = e.at_ms;
      e.cb (e.user, e.data);
      free (e.data);
    }
  sim->now_ms = until_ms;
}
