#include "capacity_private.h"

#include <math.h>
#include <stdlib.h>

/* Keeps what nodes observe of endpoints, and exchanges it. */

/* A prompt or stream whose time differs from the fleet's estimate by this
   factor is reported at once, and not again within the interval. Calls are too
   many and too short for that. */
#define NEWS_TIMES 2.0
#define NEWS_INTERVAL_MS 500
#define GROUPS_MAX 256
#define NODES_MAX 1024
#define NS_PER_MS 1e6

struct beryl_capacity *
beryl_capacity_create (void)
{
  return calloc (1, sizeof (struct beryl_capacity));
}

static void
entry_free (struct entry *e)
{
  free (e->records);
  free (e);
}

void
beryl_capacity_destroy (struct beryl_capacity *capacity)
{
  if (capacity == NULL)
    return;
  for (size_t i = 0; i < capacity->entry_count; i++)
    entry_free (capacity->entries[i]);
  for (size_t i = 0; i < capacity->group_count; i++)
    free (capacity->groups[i]);
  free (capacity->entries);
  free (capacity->groups);
  free (capacity->nodes);
  map_clear (&capacity->by_key);
  map_clear (&capacity->node_slots);
  free (capacity);
}

static struct map_key
entry_key (const struct beryl_capacity_key *key)
{
  return (struct map_key){ (uint64_t)key->service << 32 | key->endpoint,
                           key->work };
}

static struct group *
group_find (const struct beryl_capacity *capacity, uint32_t service,
            enum beryl_work work)
{
  for (size_t i = 0; i < capacity->group_count; i++)
    if (capacity->groups[i]->service == service
        && capacity->groups[i]->work == work)
      return capacity->groups[i];
  return NULL;
}

static struct group *
group_get (struct beryl_capacity *capacity,
           const struct beryl_capacity_key *key)
{
  struct group *g = group_find (capacity, key->service, key->work);

  if (g != NULL || capacity->group_count == GROUPS_MAX)
    return g;
  g = calloc (1, sizeof *g);
  g->service = key->service;
  g->work = key->work;
  capacity->groups = realloc (capacity->groups,
                              (capacity->group_count + 1) * sizeof (void *));
  capacity->groups[capacity->group_count++] = g;
  return g;
}

static struct entry *
entry_find (const struct beryl_capacity *capacity,
            const struct beryl_capacity_key *key)
{
  return map_get (&capacity->by_key, entry_key (key));
}

/* Releases the entries that are not used any more; endpoints restart under new
   keys. */
static void
release_old (struct beryl_capacity *capacity, int64_t now_ms)
{
  for (size_t i = capacity->entry_count; i > 0; i--)
    {
      struct entry *e = capacity->entries[i - 1];

      if (now_ms - e->mentioned_ms < ENTRY_KEEP_MS)
        continue;
      map_remove (&capacity->by_key, entry_key (&e->key));
      capacity->entries[i - 1] = capacity->entries[--capacity->entry_count];
      entry_free (e);
    }
}

/* Returns NULL if there are too many. */
static struct entry *
entry_get (struct beryl_capacity *capacity,
           const struct beryl_capacity_key *key, int64_t now_ms)
{
  struct entry *e = entry_find (capacity, key);

  if (e == NULL)
    {
      release_old (capacity, now_ms);
      if (capacity->entry_count == ENTRIES_MAX
          || group_get (capacity, key) == NULL)
        return NULL;
      e = calloc (1, sizeof *e);
      e->key = *key;
      e->group = group_get (capacity, key);
      e->speed = 1;
      e->knee = KNEE_INITIAL;
      e->own.updated_ms = now_ms;
      e->merged_ms = now_ms - MERGE_MS;
      capacity->entries = realloc (
          capacity->entries, (capacity->entry_count + 1) * sizeof (void *));
      capacity->entries[capacity->entry_count++] = e;
      map_put (&capacity->by_key, entry_key (key), e);
    }
  e->mentioned_ms = now_ms;
  return e;
}

static struct entry *
observe (struct beryl_capacity *capacity, const struct beryl_capacity_key *key,
         int64_t now_ms)
{
  struct entry *e = entry_get (capacity, key, now_ms);

  if (e == NULL)
    return NULL;
  capacity_decay_own (e, now_ms);
  e->changed = true;
  e->newest_ms = now_ms;
  return e;
}

void
beryl_capacity_sent (struct beryl_capacity *capacity,
                     const struct beryl_capacity_key *key, uint32_t units,
                     int64_t now_ms)
{
  struct entry *e = observe (capacity, key, now_ms);

  if (e != NULL)
    e->own.sent += units;
}

static bool
is_news (const struct entry *e, double ms, int64_t now_ms)
{
  return e->key.work != BERYL_WORK_CALL && e->ms > 0
         && now_ms - e->news_ms >= NEWS_INTERVAL_MS
         && (ms > NEWS_TIMES * e->ms || ms < e->ms / NEWS_TIMES);
}

/* Returns NULL if nothing is learned. */
static struct entry *
observe_time (struct beryl_capacity *capacity,
              const struct beryl_capacity_key *key, uint32_t units,
              int64_t took_ms, int64_t now_ms)
{
  struct entry *e;

  if (units == 0 || took_ms < 0)
    return NULL;
  e = observe (capacity, key, now_ms);
  if (e == NULL)
    return NULL;
  e->own.count += 1;
  e->own.units += units;
  /* A clock of milliseconds cannot tell less. */
  e->own.took_ms += fmax ((double)took_ms, 0.5);
  if (is_news (e, (double)took_ms / units, now_ms))
    {
      e->news_ms = now_ms;
      capacity->report_due = true;
    }
  return e;
}

void
beryl_capacity_done (struct beryl_capacity *capacity,
                     const struct beryl_capacity_key *key, uint32_t units,
                     int64_t took_ms, int64_t now_ms)
{
  struct entry *e = observe_time (capacity, key, units, took_ms, now_ms);

  if (e != NULL)
    e->answered = true;
}

void
beryl_capacity_overdue (struct beryl_capacity *capacity,
                        const struct beryl_capacity_key *key, uint32_t units,
                        int64_t open_ms, int64_t now_ms)
{
  observe_time (capacity, key, units, open_ms, now_ms);
}

bool
beryl_capacity_report_due (const struct beryl_capacity *capacity)
{
  return capacity->report_due;
}

void
beryl_capacity_refused (struct beryl_capacity *capacity,
                        const struct beryl_capacity_key *key, int64_t now_ms)
{
  struct entry *e = observe (capacity, key, now_ms);

  if (e != NULL)
    e->own.refused += 1;
}

struct beryl_capacity_belief
beryl_capacity_get (struct beryl_capacity *capacity,
                    const struct beryl_capacity_key *key, uint32_t slots,
                    int64_t now_ms)
{
  struct beryl_capacity_belief belief = { .speed = 1 };
  struct entry *e = entry_find (capacity, key);
  double median_ms;

  if (e == NULL || e->ms <= 0)
    {
      /* A new endpoint is taken to be like the others of its service. */
      median_ms = capacity_median_ms (
          capacity, group_find (capacity, key->service, key->work), now_ms);
      if (e != NULL)
        {
          e->slots = slots;
          capacity_merge (capacity, e, now_ms);
          belief.load_per_s = e->sent_per_s;
          belief.refused_per_s = e->refused_per_s;
        }
      if (median_ms > 0)
        belief.limit_per_s = KNEE_INITIAL * slots * 1000 / median_ms;
      return belief;
    }
  e->slots = slots;
  capacity_merge (capacity, e, now_ms);
  median_ms = capacity_median_ms (capacity, e->group, now_ms);
  belief.speed = capacity_relative_speed (e, median_ms);
  belief.unproven = capacity_is_unproven (e);
  belief.ms_per_unit = e->ms;
  belief.unloaded_ms_per_unit = e->unloaded_ms;
  belief.load_per_s = e->sent_per_s;
  belief.refused_per_s = e->refused_per_s;
  belief.certainty = e->weight / (e->weight + WEIGHT_SURE);
  belief.nodes = e->nodes;
  belief.age_ms = now_ms - e->newest_ms;
  if (slots > 0)
    belief.limit_per_s = e->knee * capacity_full_rate (e, slots, e->ms);
  return belief;
}

static uint32_t
milli (double value)
{
  double scaled = value * 1000;

  return scaled < (double)UINT32_MAX ? (uint32_t)scaled : UINT32_MAX;
}

static void
report_entry (struct entry *e, struct beryl_capacity_report *report,
              int64_t now_ms)
{
  double ns = capacity_unit_ms (&e->own) * NS_PER_MS;
  uint32_t weight;

  capacity_decay_own (e, now_ms);
  weight = ns >= 1 ? milli (e->own.count) : 0;
  e->changed = false;
  report->items[report->count++] = (struct beryl_capacity_sample){
    .key = e->key,
    .weight_milli = weight,
    .ns_per_unit = ns < (double)UINT32_MAX ? (uint32_t)ns : UINT32_MAX,
    .sent_milli_per_s = milli (e->own.sent * 1000 / capacity_window_ms (e)),
    .refused_milli = milli (e->own.refused),
  };
}

void
beryl_capacity_report (struct beryl_capacity *capacity,
                       struct beryl_capacity_report *report, int64_t now_ms)
{
  size_t count = capacity->entry_count;

  capacity->report_due = false;
  report->count = 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t at = (capacity->report_next + i) % count;

      if (!capacity->entries[at]->changed)
        continue;
      if (report->count == BERYL_CAPACITY_SAMPLES_MAX)
        {
          capacity->report_next = at;
          return;
        }
      report_entry (capacity->entries[at], report, now_ms);
    }
}

static void
remove_records (struct beryl_capacity *capacity, uint32_t node)
{
  for (size_t i = 0; i < capacity->entry_count; i++)
    {
      struct entry *e = capacity->entries[i];

      for (uint32_t k = e->record_count; k > 0; k--)
        if (e->records[k - 1].node == node)
          e->records[k - 1] = e->records[--e->record_count];
    }
}

/* Returns an unused index for a node: a new one, or that of a node which has
   been silent for the longest time. */
static uint32_t
node_allocate (struct beryl_capacity *capacity)
{
  uint32_t oldest = 0;

  if (capacity->node_count < NODES_MAX)
    {
      capacity->nodes
          = realloc (capacity->nodes,
                     (capacity->node_count + 1) * sizeof *capacity->nodes);
      return capacity->node_count++;
    }
  for (uint32_t i = 1; i < capacity->node_count; i++)
    if (capacity->nodes[i].reported_ms < capacity->nodes[oldest].reported_ms)
      oldest = i;
  map_remove (&capacity->node_slots,
              map_key_from_number (capacity->nodes[oldest].hash));
  remove_records (capacity, oldest);
  return oldest;
}

/* Returns the index of the node with HASH. */
static uint32_t
node_get (struct beryl_capacity *capacity, uint32_t hash)
{
  struct map_key key = map_key_from_number (hash);
  uintptr_t slot = (uintptr_t)map_get (&capacity->node_slots, key);
  uint32_t index;

  if (slot != 0)
    return (uint32_t)slot - 1;
  index = node_allocate (capacity);
  capacity->nodes[index] = (struct node){ .hash = hash };
  map_put (&capacity->node_slots, key, (void *)(uintptr_t)(index + 1));
  return index;
}

static struct record *
record_get (struct entry *e, uint32_t node)
{
  for (uint32_t i = 0; i < e->record_count; i++)
    if (e->records[i].node == node)
      return &e->records[i];
  if (e->record_count == e->record_capacity)
    {
      e->record_capacity = e->record_capacity > 0 ? 2 * e->record_capacity : 8;
      e->records
          = realloc (e->records, e->record_capacity * sizeof *e->records);
    }
  e->records[e->record_count].node = node;
  return &e->records[e->record_count++];
}

static bool
is_valid (const struct beryl_capacity_sample *sample)
{
  return sample->key.work <= BERYL_WORK_DECODE
         && (sample->weight_milli == 0 || sample->ns_per_unit > 0);
}

void
beryl_capacity_apply (struct beryl_capacity *capacity, uint32_t node,
                      const struct beryl_capacity_report *report,
                      int64_t now_ms)
{
  uint32_t index = node_get (capacity, node);

  capacity->nodes[index].reported_ms = now_ms;
  for (size_t i = 0; i < report->count; i++)
    {
      const struct beryl_capacity_sample *sample = &report->items[i];
      struct entry *e = is_valid (sample)
                            ? entry_get (capacity, &sample->key, now_ms)
                            : NULL;

      if (e == NULL)
        continue;
      e->newest_ms = now_ms;
      /* A report does not tell what is overdue. */
      e->answered = e->answered || sample->weight_milli > 0;
      *record_get (e, index) = (struct record){
        .node = index,
        .weight = (float)sample->weight_milli / 1000,
        .ms = (float)(sample->ns_per_unit / NS_PER_MS),
        .sent_per_s = (float)sample->sent_milli_per_s / 1000,
        .refused = (float)sample->refused_milli / 1000,
        .reported_ms = now_ms,
      };
      capacity_merge (capacity, e, now_ms);
    }
}
