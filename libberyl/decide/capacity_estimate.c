#include "capacity_private.h"

#include <math.h>
#include <stdlib.h>

/* Estimates what an endpoint takes, from the observations of all nodes. */

/* Time constants by which observations lose weight. Prompts are fewer than
   calls and events, and take longer. */
#define WINDOW_MS 700.0
#define PREFILL_WINDOW_MS 2000.0
/* The rate that a node has reported counts in full for this long after its
   last report, and not at all from RATE_END_MS on. */
#define RATE_FULL_MS 1500
#define RATE_END_MS 3000
/* A report is dropped after this many windows. */
#define KEEP_WINDOWS 5
/* Observations of one node that count at most: a single node must not outweigh
   the others. */
#define NODE_WEIGHT_MAX 8.0
/* Times above CAP_FACTOR times the time that this part of the observations
   stays below are cut: a node that was paused, or whose own link is slow, sees
   long times that others do not. */
#define LOW_PART 0.3
#define CAP_FACTOR 2.5
/* An endpoint counts as slower only after this time: shorter spells are left
   to its queue. One that gets faster counts as such at once. Engines are
   chosen by what their callers notice, and the time is shorter for them. */
#define CALL_SLOWER_AFTER_MS 900
#define ENGINE_SLOWER_AFTER_MS 600
/* For how long the highest rate counts that an endpoint has kept up with. */
#define RATE_HOLD_MS 1000
/* Time constants by which the unloaded time follows longer times: while most
   slots are free, long times are not due to the load. */
#define UNLOADED_RISE_MS 20000.0
#define UNLOADED_RISE_FREE_MS 1000.0
#define FREE_PART 0.6
/* Least weight of observations for an estimate. */
#define WEIGHT_MIN 1.0
/* Without observations the last estimate is kept for this long and then
   returns to the unloaded time: an endpoint that got slow must be tried again.
 */
#define KEEP_MS 1000
#define FORGET_MS 300.0
/* Bounds of the part of an endpoint's slots that is used before it slows
   down. */
#define KNEE_MIN 0.3
#define KNEE_MAX 1.5
/* The part falls by this factor, and once in this interval, which is the time
   until the effect of the last change is seen. */
#define KNEE_CUT 0.85
#define KNEE_CUT_MS 1000
/* While the endpoint takes its load well, the part returns to the initial
   value at this rate; above, it rises while the endpoint is used nearly to the
   limit, and falls again with this time constant. */
#define KNEE_RETURN_PER_S 0.5
#define KNEE_RISE_PER_S 0.05
#define KNEE_RETURN_MS 10000.0
#define NEAR_LIMIT 0.7
/* Times by which the time of a unit exceeds the unloaded one if the endpoint
   is overloaded, and if it still takes its load well. */
#define OVERLOADED_TIMES 2.0
#define WELL_TIMES 1.5
/* Occupied part of the slots below which long times have another cause. */
#define OCCUPIED_PART 0.8
/* Requests refused per second, and their part, from which on an endpoint is
   full. */
#define REFUSED_PER_S 0.5
#define REFUSED_PART 0.02
/* A speed is 1 unless it differs from the median by this part, and by more
   than observations of usual spread explain. */
#define SPEED_TOLERANCE 0.25
#define SPEED_NOISE 1.0

/* Of the histogram of times. */
#define BUCKETS 192
#define BUCKETS_PER_OCTAVE 6

double
capacity_window_ms (const struct entry *e)
{
  return e->key.work == BERYL_WORK_PREFILL ? PREFILL_WINDOW_MS : WINDOW_MS;
}

double
capacity_decay (int64_t age_ms, double window_ms)
{
  return age_ms > 0 ? exp (-(double)age_ms / window_ms) : 1;
}

void
capacity_decay_own (struct entry *e, int64_t now_ms)
{
  struct window *w = &e->own;
  double keep
      = capacity_decay (now_ms - w->updated_ms, capacity_window_ms (e));

  w->count *= keep;
  w->units *= keep;
  w->took_ms *= keep;
  w->sent *= keep;
  w->refused *= keep;
  if (now_ms > w->updated_ms)
    w->updated_ms = now_ms;
}

double
capacity_unit_ms (const struct window *w)
{
  return w->units > 0 ? w->took_ms / w->units : 0;
}

/* Merges what the nodes have seen. */
struct merge
{
  double weights[BUCKETS]; /* by the logarithm of the time */
  double weight;
  double weighted_ms;
  double sent_per_s;
  double refused_per_s;
  uint32_t nodes;
  int64_t newest_ms;
};

static int
time_bucket (double ms)
{
  int bucket = (int)((log2 (ms) + 16) * BUCKETS_PER_OCTAVE);

  if (bucket < 0)
    return 0;
  return bucket < BUCKETS ? bucket : BUCKETS - 1;
}

static double
bucket_top_ms (int bucket)
{
  return exp2 ((double)(bucket + 1) / BUCKETS_PER_OCTAVE - 16);
}

/* Returns the time above which times are cut. */
static double
time_cap_ms (const struct merge *m)
{
  double below = 0;

  for (int i = 0; i < BUCKETS; i++)
    {
      below += m->weights[i];
      if (below >= LOW_PART * m->weight)
        return CAP_FACTOR * bucket_top_ms (i);
    }
  return INFINITY;
}

static double
limited (double weight)
{
  return fmin (weight, NODE_WEIGHT_MAX);
}

static double
record_weight (const struct entry *e, const struct record *record,
               int64_t now_ms)
{
  return limited (record->weight)
         * capacity_decay (now_ms - record->reported_ms,
                           capacity_window_ms (e));
}

static void
merge_count (struct merge *m, double weight, double ms)
{
  if (weight <= 0 || ms <= 0)
    return;
  m->weights[time_bucket (ms)] += weight;
  m->weight += weight;
  m->nodes++;
}

static void
merge_add (struct merge *m, double weight, double ms, double cap_ms)
{
  if (weight > 0 && ms > 0)
    m->weighted_ms += weight * fmin (ms, cap_ms);
}

/* Returns the part of the rate of E in RECORD that counts, reported by NODE.
   It has decayed until the node's last report, which did not mention it again;
   the node's rate is taken to be constant since then. */
static double
rate_part (const struct entry *e, const struct record *record,
           const struct node *node, int64_t now_ms)
{
  int64_t silent_ms = now_ms - node->reported_ms;
  double part = capacity_decay (node->reported_ms - record->reported_ms,
                                capacity_window_ms (e));

  if (silent_ms >= RATE_END_MS)
    return 0;
  if (silent_ms > RATE_FULL_MS)
    part *= (double)(RATE_END_MS - silent_ms) / (RATE_END_MS - RATE_FULL_MS);
  return part;
}

static void
drop_old_records (struct beryl_capacity *capacity, struct entry *e,
                  int64_t now_ms)
{
  for (uint32_t i = e->record_count; i > 0; i--)
    {
      struct record *record = &e->records[i - 1];

      if ((double)(now_ms - record->reported_ms)
              > KEEP_WINDOWS * capacity_window_ms (e)
          || rate_part (e, record, &capacity->nodes[record->node], now_ms)
                 == 0)
        *record = e->records[--e->record_count];
    }
}

static void
merge_records (struct beryl_capacity *capacity, struct entry *e,
               struct merge *m, int64_t now_ms)
{
  double cap_ms;

  capacity_decay_own (e, now_ms);
  drop_old_records (capacity, e, now_ms);
  merge_count (m, limited (e->own.count), capacity_unit_ms (&e->own));
  m->sent_per_s = e->own.sent * 1000 / capacity_window_ms (e);
  m->refused_per_s = e->own.refused * 1000 / capacity_window_ms (e);
  for (uint32_t i = 0; i < e->record_count; i++)
    {
      const struct record *record = &e->records[i];
      double part
          = rate_part (e, record, &capacity->nodes[record->node], now_ms);

      merge_count (m, record_weight (e, record, now_ms), record->ms);
      m->sent_per_s += part * record->sent_per_s;
      m->refused_per_s
          += part * record->refused * 1000 / capacity_window_ms (e);
    }
  cap_ms = time_cap_ms (m);
  merge_add (m, limited (e->own.count), capacity_unit_ms (&e->own), cap_ms);
  for (uint32_t i = 0; i < e->record_count; i++)
    merge_add (m, record_weight (e, &e->records[i], now_ms), e->records[i].ms,
               cap_ms);
}

static void
history_add (struct entry *e, double ms, double rate_per_s, int64_t now_ms)
{
  e->history[e->history_next++ % HISTORY]
      = (struct moment){ now_ms, ms, rate_per_s };
}

static bool
is_full (const struct entry *e)
{
  return e->refused_per_s > REFUSED_PER_S
         && e->refused_per_s > REFUSED_PART * e->sent_per_s;
}

/* Sets the time of a unit to the shortest, and the rate to the highest of
   late. A queue that is full is no short spell: the newest ones count. */
static void
use_history (struct entry *e, int64_t now_ms)
{
  int64_t slower_after_ms = e->key.work == BERYL_WORK_CALL
                                ? CALL_SLOWER_AFTER_MS
                                : ENGINE_SLOWER_AFTER_MS;
  int64_t hold_ms = is_full (e) ? 0 : RATE_HOLD_MS;

  if (is_full (e))
    slower_after_ms = 0;
  e->ms = INFINITY;
  e->rate_per_s = 0;
  for (uint32_t i = 0; i < HISTORY; i++)
    {
      const struct moment *moment = &e->history[i];
      int64_t age_ms = now_ms - moment->at_ms;

      if (moment->ms > 0 && age_ms <= slower_after_ms)
        e->ms = fmin (e->ms, moment->ms);
      if (moment->ms > 0 && age_ms <= hold_ms)
        e->rate_per_s = fmax (e->rate_per_s, moment->rate_per_s);
    }
}

/* By Little's law. */
static double
occupied_slots (const struct entry *e)
{
  return (e->sent_per_s - e->refused_per_s) * e->ms / 1000;
}

static void
learn_unloaded (struct entry *e, int64_t passed_ms)
{
  bool free = e->slots > 0 && occupied_slots (e) < FREE_PART * e->slots;
  double rise_ms = free ? UNLOADED_RISE_FREE_MS : UNLOADED_RISE_MS;

  if (e->unloaded_ms == 0 || e->ms < e->unloaded_ms)
    e->unloaded_ms = e->ms;
  else
    e->unloaded_ms
        += (e->ms - e->unloaded_ms) * (1 - exp (-(double)passed_ms / rise_ms));
}

/* Units per second that SLOTS finish that are all occupied, or those that the
   endpoint has been seen to keep up with: once all are occupied, the time of a
   unit includes a queue. */
double
capacity_full_rate (const struct entry *e, uint32_t slots, double ms)
{
  return fmax ((double)slots * 1000 / ms, e->rate_per_s);
}

/* Returns the time of a unit without a queue. */
static double
service_ms (const struct entry *e)
{
  return e->slots > 0 && e->ms > 0
             ? (double)e->slots * 1000
                   / capacity_full_rate (e, e->slots, e->ms)
             : e->ms;
}

/* Long times with free slots are a slow endpoint's: its limit falls with its
   speed. */
static bool
is_overloaded (const struct entry *e)
{
  return is_full (e)
         || (e->ms > OVERLOADED_TIMES * e->unloaded_ms
             && occupied_slots (e) > OCCUPIED_PART * e->slots);
}

static void
adapt_knee (struct entry *e, int64_t passed_ms, int64_t now_ms)
{
  double passed_s = fmin ((double)passed_ms / 1000, 1);
  double limit = e->knee * capacity_full_rate (e, e->slots, e->ms);

  if (is_overloaded (e))
    {
      if (now_ms - e->knee_cut_ms < KNEE_CUT_MS)
        return;
      e->knee_cut_ms = now_ms;
      e->knee = fmax (e->knee * KNEE_CUT, KNEE_MIN);
    }
  else if (e->ms >= WELL_TIMES * e->unloaded_ms)
    return;
  else if (e->knee < KNEE_INITIAL)
    e->knee
        = fmin (e->knee * (1 + KNEE_RETURN_PER_S * passed_s), KNEE_INITIAL);
  else if (e->sent_per_s > NEAR_LIMIT * limit)
    e->knee = fmin (e->knee * (1 + KNEE_RISE_PER_S * passed_s), KNEE_MAX);
  else
    e->knee += (KNEE_INITIAL - e->knee)
               * (1 - exp (-passed_s * 1000 / KNEE_RETURN_MS));
}

/* Without observations an endpoint is expected to be like the others after a
   while, so that it is tried again. */
static void
forget (struct entry *e, int64_t passed_ms, int64_t now_ms)
{
  double usual_ms
      = e->group->median_ms > 0 ? e->group->median_ms : e->unloaded_ms;

  e->rate_per_s = 0;
  if (usual_ms > 0 && now_ms - e->observed_ms > KEEP_MS)
    e->ms += (usual_ms - e->ms) * (1 - exp (-(double)passed_ms / FORGET_MS));
}

void
capacity_merge (struct beryl_capacity *capacity, struct entry *e,
                int64_t now_ms)
{
  struct merge m = { 0 };
  int64_t passed_ms = now_ms - e->merged_ms;
  double ms;

  if (passed_ms < MERGE_MS)
    return;
  e->merged_ms = now_ms;
  merge_records (capacity, e, &m, now_ms);
  e->weight = m.weight;
  e->nodes = m.nodes;
  e->sent_per_s = m.sent_per_s;
  e->refused_per_s = m.refused_per_s;
  if (m.weight < WEIGHT_MIN)
    {
      forget (e, passed_ms, now_ms);
      return;
    }
  ms = m.weighted_ms / m.weight;
  e->observed_ms = now_ms;
  history_add (e, ms, fmax (m.sent_per_s - m.refused_per_s, 0), now_ms);
  use_history (e, now_ms);
  learn_unloaded (e, passed_ms);
  if (e->slots > 0)
    adapt_knee (e, passed_ms, now_ms);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a, right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Returns the median time of a unit at the endpoints of G that have answered;
   0 if unknown. The others' times are those of work given up: a few of them
   would make a sound endpoint seem many times as fast as usual, and it would
   get everything. */
double
capacity_median_ms (struct beryl_capacity *capacity, struct group *g,
                    int64_t now_ms)
{
  double times[ENTRIES_MAX];
  size_t count = 0;

  if (g == NULL)
    return 0;
  if (g->median_at_ms != 0 && now_ms - g->median_at_ms < MERGE_MS)
    return g->median_ms;
  for (size_t i = 0; i < capacity->entry_count; i++)
    {
      const struct entry *e = capacity->entries[i];

      if (e->group == g && e->answered && e->ms > 0
          && now_ms - e->newest_ms < ENTRY_KEEP_MS / 2)
        times[count++] = service_ms (e);
    }
  qsort (times, count, sizeof *times, compare_doubles);
  g->median_at_ms = now_ms;
  g->median_ms = count > 0 ? times[(count - 1) / 2] : 0;
  return g->median_ms;
}

bool
capacity_is_unproven (const struct entry *e)
{
  return e->weight < WEIGHT_MIN && e->speed < 1;
}

/* An endpoint that was slow when it was last observed counts as slow until the
   estimate is forgotten. */
double
capacity_relative_speed (struct entry *e, double median_ms)
{
  double speed, tolerance;

  if (e->ms <= 0 || median_ms <= 0)
    return 1;
  speed = median_ms / service_ms (e);
  if (capacity_is_unproven (e))
    return fmin (speed, 1);
  tolerance = 1 + SPEED_TOLERANCE
              + SPEED_NOISE / sqrt (fmax (e->weight, WEIGHT_MIN));
  if (speed < tolerance && speed > 1 / tolerance)
    speed = 1;
  if (e->weight >= WEIGHT_MIN)
    e->speed = speed;
  return speed;
}
