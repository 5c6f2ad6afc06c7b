#include "world.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define RUN_MS 60000

uint64_t
world_random (struct world *world, uint64_t below)
{
  uint64_t z = world->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % below;
}

bool
world_chance (struct world *world, uint32_t percent)
{
  return world_random (world, 100) < percent;
}

/* Most messages take a millisecond or few, some far longer. */
int64_t
world_delay_ms (struct world *world)
{
  if (world_chance (world, 4))
    return 20 + (int64_t)world_random (world, 80);
  return 1 + (int64_t)world_random (world, 3);
}

static bool
before (const struct task *a, const struct task *b)
{
  return a->at_ms < b->at_ms || (a->at_ms == b->at_ms && a->order < b->order);
}

static void
swap (struct task *a, struct task *b)
{
  struct task c = *a;

  *a = *b;
  *b = c;
}

void
world_after (struct world *world, int64_t delay_ms, struct task *task)
{
  size_t i = world->heap_count++;

  if (world->heap_count > world->heap_capacity)
    {
      world->heap_capacity = world->heap_capacity * 2 + 64;
      world->heap
          = realloc (world->heap, world->heap_capacity * sizeof *world->heap);
    }
  task->at_ms = world->now_ms + delay_ms;
  task->order = ++world->last_order;
  world->heap[i] = *task;
  for (; i > 0 && before (&world->heap[i], &world->heap[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap (&world->heap[i], &world->heap[(i - 1) / 2]);
}

static struct task
heap_take (struct world *world)
{
  struct task task = world->heap[0];
  size_t n = --world->heap_count;
  size_t i = 0;

  world->heap[0] = world->heap[n];
  for (;;)
    {
      size_t least = i;

      for (size_t k = 2 * i + 1; k <= 2 * i + 2 && k < n; k++)
        if (before (&world->heap[k], &world->heap[least]))
          least = k;
      if (least == i)
        return task;
      swap (&world->heap[i], &world->heap[least]);
      i = least;
    }
}

void
world_note (struct world *world, const struct history_event *event)
{
  struct history_event copy = *event;

  copy.at_ms = world->now_ms;
  history_add (world->history, &copy);
}

static void
world_begin (struct world *world, uint64_t seed, uint32_t mask)
{
  static const char *const names[ENDPOINTS]
      = { "p1", "p2", "d1", "d2", "p3", "p4",
          "d3", "d4", "s1", "s2", "l1", "l2" };

  world->random = seed;
  world->end_ms = RUN_MS;
  world->now_ms = 1000000;
  world->end_ms += world->now_ms;
  world->cut_off = NODES;
  world->store = store_create ();
  world->history = history_create ();
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      world->endpoints[i].name = names[i];
      world->endpoints[i].up = true;
    }
  faults_choose (world, mask);
  for (uint32_t i = 0; i < NODES; i++)
    {
      world->nodes[i].cleanup = beryl_hold_cleanup_create ();
      node_start (world, i);
    }
  faults_schedule (world);
  caller_begin (world, 8 + (uint32_t)world_random (world, 25)
                           + (world->faults.free_keys ? 20 : 0));
}

static void
world_release (struct world *world)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      node_free (&world->nodes[i]);
      beryl_hold_cleanup_destroy (world->nodes[i].cleanup);
    }
  for (size_t i = 0; i < world->heap_count; i++)
    free (world->heap[i].value);
  store_destroy (world->store);
  free (world->conversations);
  free (world->heap);
  free (world);
}

struct history *
world_run_with (uint64_t seed, uint32_t mask)
{
  struct world *world;
  struct history *history;

  /* Thousands of worlds come and go: their memory is kept. */
  mallopt (M_MMAP_THRESHOLD, 256 << 20);
  mallopt (M_TRIM_THRESHOLD, 256 << 20);
  world = calloc (1, sizeof *world);
  world_begin (world, seed, mask);
  while (world->heap_count > 0 && world->heap[0].at_ms <= world->end_ms)
    {
      struct task task = heap_take (world);

      world->now_ms = task.at_ms;
      world->events++;
      task.run (world, &task);
    }
  world->now_ms = world->end_ms;
  endpoint_note_held (world);
  caller_note_late (world);
  history = world->history;
  world_release (world);
  return history;
}

struct history *
world_run (uint64_t seed)
{
  return world_run_with (seed, UINT32_MAX);
}
