#include "cluster.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define RUN_MS 60000

uint64_t
cluster_random (struct cluster *cluster, uint64_t below)
{
  uint64_t z = cluster->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % below;
}

bool
cluster_chance (struct cluster *cluster, uint32_t percent)
{
  return cluster_random (cluster, 100) < percent;
}

/* Most messages take a few milliseconds, some far longer. */
int64_t
cluster_delay_ms (struct cluster *cluster)
{
  if (cluster_chance (cluster, 4))
    return 20 + (int64_t)cluster_random (cluster, 80);
  return 1 + (int64_t)cluster_random (cluster, 3);
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
cluster_schedule (struct cluster *cluster, int64_t delay_ms, struct task *task)
{
  size_t i = cluster->heap_count++;

  if (cluster->heap_count > cluster->heap_capacity)
    {
      cluster->heap_capacity = cluster->heap_capacity * 2 + 64;
      cluster->heap = realloc (cluster->heap,
                               cluster->heap_capacity * sizeof *cluster->heap);
    }
  task->at_ms = cluster->now_ms + delay_ms;
  task->order = ++cluster->last_order;
  cluster->heap[i] = *task;
  for (; i > 0 && before (&cluster->heap[i], &cluster->heap[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap (&cluster->heap[i], &cluster->heap[(i - 1) / 2]);
}

static struct task
heap_take (struct cluster *cluster)
{
  struct task task = cluster->heap[0];
  size_t n = --cluster->heap_count;
  size_t i = 0;

  cluster->heap[0] = cluster->heap[n];
  for (;;)
    {
      size_t least = i;

      for (size_t k = 2 * i + 1; k <= 2 * i + 2 && k < n; k++)
        if (before (&cluster->heap[k], &cluster->heap[least]))
          least = k;
      if (least == i)
        return task;
      swap (&cluster->heap[i], &cluster->heap[least]);
      i = least;
    }
}

void
cluster_record (struct cluster *cluster, const struct history_event *event)
{
  struct history_event copy = *event;

  copy.at_ms = cluster->now_ms;
  history_add (cluster->history, &copy);
}

static void
cluster_init (struct cluster *cluster, uint64_t seed, uint32_t mask)
{
  static const char *const names[ENDPOINTS]
      = { "p1", "p2", "d1", "d2", "p3", "p4",
          "d3", "d4", "s1", "s2", "l1", "l2" };

  cluster->random = seed;
  cluster->end_ms = RUN_MS;
  cluster->now_ms = 1000000;
  cluster->end_ms += cluster->now_ms;
  cluster->isolated = NODES;
  cluster->store = store_create ();
  cluster->history = history_create ();
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      cluster->endpoints[i].name = names[i];
      cluster->endpoints[i].up = true;
    }
  faults_choose (cluster, mask);
  for (uint32_t i = 0; i < NODES; i++)
    {
      cluster->nodes[i].cleanup = beryl_hold_cleanup_create ();
      node_start (cluster, i);
    }
  faults_schedule (cluster);
  callers_start (cluster, 8 + (uint32_t)cluster_random (cluster, 25)
                              + (cluster->faults.free_keys ? 20 : 0));
}

static void
cluster_free (struct cluster *cluster)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      node_free (&cluster->nodes[i]);
      beryl_hold_cleanup_destroy (cluster->nodes[i].cleanup);
    }
  for (size_t i = 0; i < cluster->heap_count; i++)
    free (cluster->heap[i].value);
  store_destroy (cluster->store);
  free (cluster->connections);
  free (cluster->heap);
  free (cluster);
}

struct history *
cluster_run_with_faults (uint64_t seed, uint32_t mask)
{
  struct cluster *cluster;
  struct history *history;

  /* Thousands of simulations run in one process: keep freed memory instead of
   * returning it to the system. */
  mallopt (M_MMAP_THRESHOLD, 256 << 20);
  mallopt (M_TRIM_THRESHOLD, 256 << 20);
  cluster = calloc (1, sizeof *cluster);
  cluster_init (cluster, seed, mask);
  while (cluster->heap_count > 0 && cluster->heap[0].at_ms <= cluster->end_ms)
    {
      struct task task = heap_take (cluster);

      cluster->now_ms = task.at_ms;
      cluster->events++;
      task.run (cluster, &task);
    }
  cluster->now_ms = cluster->end_ms;
  endpoint_record_leaks (cluster);
  callers_record_unanswered (cluster);
  history = cluster->history;
  cluster_free (cluster);
  return history;
}

struct history *
cluster_run (uint64_t seed)
{
  return cluster_run_with_faults (seed, UINT32_MAX);
}
