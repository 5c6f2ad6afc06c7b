#include "beryl/run_outcomes.h"

#include <math.h>
#include <stdlib.h>

/* Time constants by which outcomes lose weight: of an engine, which is tried
   again from time to time meanwhile, and of all that break runs, by which
   their recovery is noticed. */
#define ENGINE_DECAY_MS 15000.0
#define SERVICE_DECAY_MS 800.0
/* Most weight of an engine's outcomes at one node, so that they can change. */
#define ENGINE_WEIGHT_MAX 8.0
/* Runs that an engine is assumed to have had, and sound engines that a service
   is assumed to have besides those known. */
#define PRIOR_RUNS 2.0
#define PRIOR_ENGINES 5.0
/* The engines of a service work again if this part of the newest runs at those
   that broke them succeeds, of so many runs at least. */
#define RECOVERED_PART 0.85
#define RECOVERED_RUNS 2.0
#define FORGET_WEIGHT 0.05
#define OWN_MAX 128
/* Sums over all nodes are kept for this time, and for longer the more peers
   report: at most so many of them are added up in a millisecond. */
#define SUMS_MS 50
#define PEERS_PER_MS 4

struct record
{
  uint32_t service;
  uint32_t endpoint; /* 0: the service's engines that break runs */
  double good;
  double broken;
  int64_t updated_ms;
};

/* Sum over all nodes. */
struct sum
{
  struct record total;
  double expected; /* mean success of the service's engines */
  bool recovered;  /* the service's engines that broke runs work again */
};

struct peer
{
  uint32_t node;
  int64_t reported_ms;
  struct beryl_run_outcome_report report;
};

struct beryl_run_outcomes
{
  struct record own[OWN_MAX];
  size_t own_count;
  struct peer *peers; /* that have reported anything of late */
  size_t peer_count;
  struct sum *sums; /* sorted by service and endpoint */
  size_t sum_count;
  size_t sum_room;
  int64_t summed_ms;
  bool changed; /* since then */
};

struct beryl_run_outcomes *
beryl_run_outcomes_create (void)
{
  return calloc (1, sizeof (struct beryl_run_outcomes));
}

void
beryl_run_outcomes_destroy (struct beryl_run_outcomes *outcomes)
{
  if (outcomes == NULL)
    return;
  free (outcomes->peers);
  free (outcomes->sums);
  free (outcomes);
}

static double
decay (uint32_t endpoint, int64_t age_ms)
{
  return exp (-(double)age_ms
              / (endpoint != 0 ? ENGINE_DECAY_MS : SERVICE_DECAY_MS));
}

static double
weight (const struct record *record)
{
  return record->good + record->broken;
}

static void
record_age (struct record *record, int64_t now_ms)
{
  double part = decay (record->endpoint, now_ms - record->updated_ms);

  record->good *= part;
  record->broken *= part;
  record->updated_ms = now_ms;
}

static struct record *
find (struct record *records, size_t count, uint32_t service,
      uint32_t endpoint)
{
  for (size_t i = 0; i < count; i++)
    if (records[i].service == service && records[i].endpoint == endpoint)
      return &records[i];
  return NULL;
}

static void
forget_old (struct beryl_run_outcomes *outcomes, int64_t now_ms)
{
  for (size_t i = outcomes->own_count; i > 0; i--)
    {
      struct record *record = &outcomes->own[i - 1];

      record_age (record, now_ms);
      if (weight (record) < FORGET_WEIGHT)
        *record = outcomes->own[--outcomes->own_count];
    }
}

/* Returns NULL if there are too many. */
static struct record *
own_record (struct beryl_run_outcomes *outcomes, uint32_t service,
            uint32_t endpoint, int64_t now_ms)
{
  struct record *record
      = find (outcomes->own, outcomes->own_count, service, endpoint);

  if (record != NULL)
    {
      record_age (record, now_ms);
      return record;
    }
  if (outcomes->own_count == OWN_MAX)
    forget_old (outcomes, now_ms);
  if (outcomes->own_count == OWN_MAX)
    return NULL;
  record = &outcomes->own[outcomes->own_count++];
  *record = (struct record){ .service = service,
                             .endpoint = endpoint,
                             .updated_ms = now_ms };
  return record;
}

static void
record_add (struct record *record, bool good)
{
  if (record == NULL)
    return;
  if (good)
    record->good++;
  else
    record->broken++;
  if (record->endpoint != 0 && weight (record) > ENGINE_WEIGHT_MAX)
    {
      double part = ENGINE_WEIGHT_MAX / weight (record);

      record->good *= part;
      record->broken *= part;
    }
}

static void
sums_add (struct beryl_run_outcomes *outcomes, uint32_t service,
          uint32_t endpoint, double good, double broken)
{
  if (outcomes->sum_count == outcomes->sum_room)
    {
      outcomes->sum_room = 2 * outcomes->sum_room + 64;
      outcomes->sums = realloc (outcomes->sums,
                                outcomes->sum_room * sizeof *outcomes->sums);
    }
  outcomes->sums[outcomes->sum_count++]
      = (struct sum){ .total = { .service = service,
                                 .endpoint = endpoint,
                                 .good = good,
                                 .broken = broken } };
}

static int
compare_sums (const void *a, const void *b)
{
  const struct record *left = &((const struct sum *)a)->total;
  const struct record *right = &((const struct sum *)b)->total;

  if (left->service != right->service)
    return left->service < right->service ? -1 : 1;
  return (left->endpoint > right->endpoint)
         - (left->endpoint < right->endpoint);
}

/* Adds up what nodes have seen of the same engine. */
static void
merge (struct beryl_run_outcomes *outcomes)
{
  size_t count = 0;

  qsort (outcomes->sums, outcomes->sum_count, sizeof *outcomes->sums,
         compare_sums);
  for (size_t i = 0; i < outcomes->sum_count; i++)
    {
      const struct sum *sum = &outcomes->sums[i];

      if (count > 0 && compare_sums (&outcomes->sums[count - 1], sum) == 0)
        {
          outcomes->sums[count - 1].total.good += sum->total.good;
          outcomes->sums[count - 1].total.broken += sum->total.broken;
        }
      else
        outcomes->sums[count++] = *sum;
    }
  outcomes->sum_count = count;
}

static double
success (const struct record *sum, double expected)
{
  return (sum->good + PRIOR_RUNS * expected) / (weight (sum) + PRIOR_RUNS);
}

/* Describes the service whose COUNT sums begin at SUMS. If most of its engines
   break runs, one of which nothing is known most likely does so too. What was
   seen of engines that work again would keep requests away for many
   seconds. */
static void
describe_service (struct sum *sums, size_t count)
{
  double good = PRIOR_ENGINES, all = PRIOR_ENGINES;
  bool recovered = false;

  for (size_t i = 0; i < count; i++)
    {
      const struct record *total = &sums[i].total;

      if (total->endpoint == 0)
        {
          recovered = total->good >= RECOVERED_RUNS
                      && total->good >= RECOVERED_PART * weight (total);
          continue;
        }
      good += success (total, 1);
      all++;
    }
  for (size_t i = 0; i < count; i++)
    {
      sums[i].expected = good / all;
      sums[i].recovered = recovered;
    }
}

/* The sums are made anew from all reports: a peer's report replaces its last
   one. */
static void
sum_up (struct beryl_run_outcomes *outcomes, int64_t now_ms)
{
  size_t first = 0;

  outcomes->sum_count = 0;
  outcomes->summed_ms = now_ms;
  outcomes->changed = false;
  for (size_t i = 0; i < outcomes->own_count; i++)
    {
      struct record *own = &outcomes->own[i];

      record_age (own, now_ms);
      sums_add (outcomes, own->service, own->endpoint, own->good, own->broken);
    }
  for (size_t i = 0; i < outcomes->peer_count; i++)
    {
      const struct peer *peer = &outcomes->peers[i];

      for (size_t k = 0; k < peer->report.count; k++)
        {
          const struct beryl_run_outcome *item = &peer->report.items[k];
          double part
              = decay (item->endpoint, now_ms - peer->reported_ms) / 10;

          sums_add (outcomes, item->service, item->endpoint,
                    part * item->good_tenths, part * item->broken_tenths);
        }
    }
  if (outcomes->sum_count == 0)
    return;
  merge (outcomes);
  for (size_t i = 1; i <= outcomes->sum_count; i++)
    if (i == outcomes->sum_count
        || outcomes->sums[i].total.service
               != outcomes->sums[first].total.service)
      {
        describe_service (&outcomes->sums[first], i - first);
        first = i;
      }
}

static void
refresh (struct beryl_run_outcomes *outcomes, int64_t now_ms)
{
  int64_t age_ms = now_ms - outcomes->summed_ms;
  int64_t least_ms = (int64_t)(outcomes->peer_count / PEERS_PER_MS);

  if (age_ms >= least_ms && (outcomes->changed || age_ms >= SUMS_MS))
    sum_up (outcomes, now_ms);
}

/* Returns the first sum of SERVICE that is of ENDPOINT or after it, or
   NULL. */
static const struct sum *
find_sum (const struct beryl_run_outcomes *outcomes, uint32_t service,
          uint32_t endpoint)
{
  struct sum key = { .total = { .service = service, .endpoint = endpoint } };
  size_t low = 0, high = outcomes->sum_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare_sums (&outcomes->sums[middle], &key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low < outcomes->sum_count
                 && outcomes->sums[low].total.service == service
             ? &outcomes->sums[low]
             : NULL;
}

/* Returns the sum of ENDPOINT, or NULL. */
static const struct sum *
exact_sum (const struct beryl_run_outcomes *outcomes, uint32_t service,
           uint32_t endpoint)
{
  const struct sum *sum = find_sum (outcomes, service, endpoint);

  return sum != NULL && sum->total.endpoint == endpoint ? sum : NULL;
}

/* Good runs are of interest only where others break. */
void
beryl_run_outcomes_add (struct beryl_run_outcomes *outcomes, uint32_t service,
                        uint32_t endpoint, bool good, int64_t now_ms)
{
  const struct sum *sum;

  if (good && outcomes->own_count == 0 && outcomes->peer_count == 0)
    return;
  refresh (outcomes, now_ms);
  sum = exact_sum (outcomes, service, endpoint);
  record_add (own_record (outcomes, service, endpoint, now_ms), good);
  if (sum == NULL || sum->total.broken > 0)
    record_add (own_record (outcomes, service, 0, now_ms), good);
  outcomes->changed = true;
}

double
beryl_run_outcomes_success (struct beryl_run_outcomes *outcomes,
                            uint32_t service, uint32_t endpoint,
                            int64_t now_ms)
{
  const struct sum *any, *sum;

  if (outcomes->own_count == 0 && outcomes->peer_count == 0)
    return 1;
  refresh (outcomes, now_ms);
  any = find_sum (outcomes, service, 0);
  if (any == NULL || any->recovered)
    return 1;
  sum = exact_sum (outcomes, service, endpoint);
  return sum != NULL ? success (&sum->total, sum->expected) : any->expected;
}

bool
beryl_run_outcomes_knows (struct beryl_run_outcomes *outcomes,
                          uint32_t service, uint32_t endpoint, int64_t now_ms)
{
  refresh (outcomes, now_ms);
  return exact_sum (outcomes, service, endpoint) != NULL;
}

static int
compare_weights (const void *a, const void *b)
{
  double left = weight (a), right = weight (b);

  return (left < right) - (left > right);
}

void
beryl_run_outcomes_report (struct beryl_run_outcomes *outcomes,
                           struct beryl_run_outcome_report *report,
                           int64_t now_ms)
{
  report->count = 0;
  forget_old (outcomes, now_ms);
  qsort (outcomes->own, outcomes->own_count, sizeof *outcomes->own,
         compare_weights);
  for (size_t i = 0;
       i < outcomes->own_count && report->count < BERYL_RUN_OUTCOMES_MAX; i++)
    report->items[report->count++] = (struct beryl_run_outcome){
      .service = outcomes->own[i].service,
      .endpoint = outcomes->own[i].endpoint,
      .good_tenths = (uint32_t)lround (10 * outcomes->own[i].good),
      .broken_tenths = (uint32_t)lround (10 * outcomes->own[i].broken),
    };
}

static void
peer_remove (struct beryl_run_outcomes *outcomes, size_t i)
{
  outcomes->peers[i] = outcomes->peers[--outcomes->peer_count];
}

/* Drops what has no weight any more, also of peers that have ended. */
static void
remove_silent (struct beryl_run_outcomes *outcomes, int64_t now_ms)
{
  for (size_t i = outcomes->peer_count; i > 0; i--)
    if (outcomes->peers[i - 1].report.count == 0
        || now_ms - outcomes->peers[i - 1].reported_ms > 2 * ENGINE_DECAY_MS)
      peer_remove (outcomes, i - 1);
}

void
beryl_run_outcomes_apply (struct beryl_run_outcomes *outcomes, uint32_t node,
                          const struct beryl_run_outcome_report *report,
                          int64_t now_ms)
{
  size_t i = 0;

  while (i < outcomes->peer_count && outcomes->peers[i].node != node)
    i++;
  if (i == outcomes->peer_count && report->count == 0)
    return;
  if (i == outcomes->peer_count)
    {
      remove_silent (outcomes, now_ms);
      i = outcomes->peer_count++;
      outcomes->peers = realloc (
          outcomes->peers, outcomes->peer_count * sizeof *outcomes->peers);
    }
  outcomes->peers[i] = (struct peer){ .node = node,
                                      .reported_ms = now_ms,
                                      .report = *report };
  if (report->count == 0)
    peer_remove (outcomes, i);
  outcomes->changed = true;
}
