#include "beryl/quotas.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "../base/random.h"
#include "../decide/quota_ranks.h"
#include "fleet.h"

/* Time until peers know of a node's use: reports are batched and cross the
 * network. */
#define REPORT_DELAY_MS 300
/* A report is due if a node has used this many times its even part of a bucket
 * since the last one. */
#define REPORT_DUE_PARTS 1
/* A node may use this many times its part of a bucket before it has reported
 * what it used. */
#define UNREPORTED_PARTS 4
/* Time over which use and refusals are averaged. */
#define RATE_MS 1000.0
/* Time over which the parts of the ranks in the demand are averaged; requests
 * of one rank may be seconds apart. */
#define RANKS_MS 3000.0
/* Weight of a request in the mean cost of its rank. */
#define COST_WEIGHT 0.05
/* Smallest capacity of a bucket: the refill of this time. */
#define BURST_MIN_MS 250
/* Part of the slack that a bucket may hold on top of the burst.  The rest is
 * for use that is not known everywhere yet. */
#define CREDIT_PART 0.4
/* Part of the slack that a bucket holds when its use is not known yet. */
#define START_PART 0.25
/* Part of the slack that one request may overdraw a bucket by. */
#define DEBT_PART 0.25
/* Part of the refill that is meant for refused callers when they retry; the
 * rest is for new requests. */
#define RETURN_PART 0.5
/* Bounds of the Retry-After of a refused request. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 10000

/* Last counters of one peer. */
struct peer_use
{
  uint32_t used;
  uint32_t refused;
  uint16_t epoch; /* fleet_peer's; 0: none seen */
};

/* Exponentially decaying average of a rate. */
struct rate
{
  double per_s;
  int64_t updated_ms;
};

/* One organisation's bucket. */
struct bucket
{
  uint32_t organisation;
  struct beryl_quota quota;
  double level;        /* below 0 if overdrawn */
  double share;        /* of the fleet, at the last refill */
  int64_t refilled_ms; /* 0: never */
  double peer_ms;      /* fleet's, at the last refill */
  double retained_log; /* the same */
  double reserved;     /* of requests admitted, but not sent yet */
  struct rate use;     /* of all nodes */
  struct rate refusals;
  struct rate own_demand;                   /* use and refusals of this node */
  struct rate asked[BERYL_QUOTA_RANKS];     /* of all nodes, by rank */
  struct rate own_asked[BERYL_QUOTA_RANKS]; /* of this node */
  uint64_t admitted_total[BERYL_QUOTA_RANKS];
  uint64_t refused_total[BERYL_QUOTA_RANKS];
  int64_t next_return_ms[BERYL_QUOTA_RANKS];
  double unreported; /* use of this node since its last report */
  uint32_t used;     /* counters of this node; wrap around */
  uint32_t refused;
  uint32_t used_before[2]; /* USED one and two checkpoints ago */
  int64_t checkpoint_ms;
  int64_t changed_ms;     /* last change of a counter of this node */
  struct peer_use *peers; /* by index of the fleet's peers */
  uint32_t peer_count;
};

struct beryl_quotas
{
  struct bucket *buckets; /* by ascending organisation */
  size_t count;
  size_t next_report;                  /* rotation position */
  double cost_mean[BERYL_QUOTA_RANKS]; /* of this node's requests, in tokens */
  bool any_new;                        /* some buckets were never refilled */
  bool report_due;
  double slack;
  uint64_t random;
  struct fleet fleet;
};

struct beryl_quotas *
beryl_quotas_create (double slack, uint64_t seed)
{
  struct beryl_quotas *q = calloc (1, sizeof *q);

  q->slack = slack;
  q->random = seed;
  q->fleet.nodes = 1;
  return q;
}

static void
buckets_free (struct bucket *buckets, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (buckets[i].peers);
  free (buckets);
}

void
beryl_quotas_destroy (struct beryl_quotas *q)
{
  if (q == NULL)
    return;
  buckets_free (q->buckets, q->count);
  fleet_clear (&q->fleet);
  free (q);
}

void
beryl_quotas_set_slack (struct beryl_quotas *q, double slack)
{
  q->slack = slack;
}

void
beryl_quotas_set_fleet (struct beryl_quotas *q, uint32_t nodes,
                        int64_t report_interval_ms)
{
  q->fleet.nodes = nodes > 0 ? nodes : 1;
  q->fleet.report_interval_ms = report_interval_ms;
}

uint32_t
beryl_quota_cost (const struct beryl_quota *quota, uint64_t tokens)
{
  if (!quota->in_tokens)
    return 1;
  if (tokens == 0)
    return quota->plain_tokens;
  return tokens < UINT32_MAX ? (uint32_t)tokens : UINT32_MAX;
}

static struct bucket *
bucket_find (const struct beryl_quotas *q, uint32_t organisation)
{
  size_t low = 0, high = q->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (q->buckets[middle].organisation < organisation)
        low = middle + 1;
      else
        high = middle;
    }
  return low < q->count && q->buckets[low].organisation == organisation
             ? &q->buckets[low]
             : NULL;
}

void
beryl_quotas_set (struct beryl_quotas *q,
                  const struct beryl_quota_entry *entries, size_t count)
{
  struct bucket *buckets = calloc (count + 1, sizeof *buckets);

  for (size_t i = 0; i < count; i++)
    {
      struct bucket *old = bucket_find (q, entries[i].organisation);

      if (old != NULL)
        {
          buckets[i] = *old;
          old->peers = NULL;
        }
      else
        q->any_new = true;
      buckets[i].organisation = entries[i].organisation;
      buckets[i].quota = entries[i].quota;
    }
  buckets_free (q->buckets, q->count);
  q->buckets = buckets;
  q->count = count;
}

static bool
is_limited (const struct bucket *b)
{
  return b->quota.per_s > 0;
}

static double
capacity (const struct beryl_quotas *q, const struct bucket *b)
{
  double least = b->quota.per_s * BURST_MIN_MS / 1000;
  double burst = b->quota.burst > least ? b->quota.burst : least;

  return burst + CREDIT_PART * q->slack;
}

/* A node adds its own part of the rate as time passes, and a peer's part when
 * a report shows that the peer was reachable until then.  After a partition
 * each side thus gets only its own parts, before it has detected the
 * partition. */
static void
refill (struct beryl_quotas *q, struct bucket *b, int64_t now_ms)
{
  double share = fleet_share (&q->fleet, now_ms);
  double node_ms = (double)(now_ms - b->refilled_ms);
  double limit = capacity (q, b) * share;

  if (b->refilled_ms == 0)
    {
      node_ms = 0;
      b->peer_ms = q->fleet.peer_ms;
      b->level = START_PART * q->slack * share;
    }
  else if (b->level > 0)
    b->level *= exp (q->fleet.retained_log - b->retained_log);
  b->share = share;
  node_ms += q->fleet.peer_ms - b->peer_ms;
  b->level += b->quota.per_s / fleet_size (&q->fleet) * node_ms / 1000;
  b->refilled_ms = now_ms;
  b->peer_ms = q->fleet.peer_ms;
  b->retained_log = q->fleet.retained_log;
  if (b->level > limit)
    b->level = limit;
}

static void
start_new_buckets (struct beryl_quotas *q, int64_t now_ms)
{
  if (!q->any_new)
    return;
  q->any_new = false;
  for (size_t i = 0; i < q->count; i++)
    refill (q, &q->buckets[i], now_ms);
}

static double
mean_get (const struct rate *rate, double mean_ms, int64_t now_ms)
{
  return rate->per_s * exp (-(double)(now_ms - rate->updated_ms) / mean_ms);
}

static void
mean_add (struct rate *rate, double mean_ms, double amount, int64_t now_ms)
{
  rate->per_s = mean_get (rate, mean_ms, now_ms) + amount * 1000 / mean_ms;
  rate->updated_ms = now_ms;
}

static double
rate_get (const struct rate *rate, int64_t now_ms)
{
  return mean_get (rate, RATE_MS, now_ms);
}

static void
rate_add (struct rate *rate, double amount, int64_t now_ms)
{
  mean_add (rate, RATE_MS, amount, now_ms);
}

static double
demand_per_s (const struct bucket *b, int64_t now_ms)
{
  return rate_get (&b->use, now_ms) + rate_get (&b->refusals, now_ms);
}

/* Divides DEMAND_PER_S by the parts that the ranks had of late; returns the
 * number of ranks. */
static size_t
demand_by_rank (const struct bucket *b, double demand_per_s,
                double asked_per_s[BERYL_QUOTA_RANKS], int64_t now_ms)
{
  double sum = 0;
  size_t count = 0;

  for (uint32_t rank = 0; rank < BERYL_QUOTA_RANKS; rank++)
    {
      asked_per_s[rank] = mean_get (&b->asked[rank], RANKS_MS, now_ms);
      sum += asked_per_s[rank];
      count += asked_per_s[rank] > 0;
    }
  for (uint32_t rank = 0; sum > 0 && rank < BERYL_QUOTA_RANKS; rank++)
    asked_per_s[rank] *= demand_per_s / sum;
  return count;
}

/* Returns what is in the bucket.  Peers without a fresh report may be in
 * another partition and see it too: their part is left out. */
static double
stock (struct beryl_quotas *q, const struct bucket *b, int64_t now_ms)
{
  return b->level > 0 ? b->level * fleet_fresh_share (&q->fleet, now_ms)
                      : b->level;
}

/* Decides what a request of RANK that costs COST leaves to others. */
static struct quota_ranks_verdict
decide_rank (struct beryl_quotas *q, const struct bucket *b, uint32_t rank,
             uint32_t cost, int64_t now_ms)
{
  double demand = demand_per_s (b, now_ms);
  struct quota_ranks_facts facts = {
    .rank = rank,
    .cost = cost,
    .per_s = b->quota.per_s * b->share,
    .capacity = capacity (q, b) * b->share,
    .available = stock (q, b, now_ms) - b->reserved,
  };

  if (demand_by_rank (b, demand, facts.asked_per_s, now_ms) < 2)
    return (struct quota_ranks_verdict){ .chance = 1,
                                         .competing_per_s = demand };
  if (b->quota.in_tokens)
    memcpy (facts.cost_mean, q->cost_mean, sizeof facts.cost_mean);
  return quota_ranks_decide (&facts);
}

/* Returns this node's part of the demand, at least an even one. */
static double
part_of_demand (struct beryl_quotas *q, const struct bucket *b, int64_t now_ms)
{
  double even = 1.0 / q->fleet.reachable;
  double demand = demand_per_s (b, now_ms);
  double own = rate_get (&b->own_demand, now_ms);

  return own > even * demand && demand > 0 ? own / demand : even;
}

/* All nodes see what is left in the bucket at the same time, so each admits a
 * request with the probability with which all of them together use what is
 * left on average, until they learn of each other's use.  The size of a
 * request does not matter as long as anything is left; a bucket that small
 * requests keep nearly empty would otherwise never admit a large one. */
static bool
admits (struct beryl_quotas *q, const struct bucket *b, uint32_t cost,
        const struct quota_ranks_verdict *verdict, int64_t now_ms)
{
  double left = stock (q, b, now_ms);
  double available = left - b->reserved;
  double debt_max = DEBT_PART * q->slack * b->share;
  double unreported = b->unreported + b->reserved;
  double competing = verdict->competing_per_s * REPORT_DELAY_MS / 1000;

  if (available <= 0 || cost > available + debt_max)
    return false;
  if (unreported > 0
      && unreported + cost > UNREPORTED_PARTS * part_of_demand (q, b, now_ms)
                                 * (left + b->unreported))
    return false;
  if (available <= verdict->set_aside)
    return random_unit (&q->random) < verdict->chance;
  return random_unit (&q->random) * competing
         <= available - verdict->set_aside;
}

/* Spreads the retries of refused callers: those of one rank follow each other
 * at the pace at which the bucket refills for them at this node. */
static int64_t
retry_after_ms (struct beryl_quotas *q, struct bucket *b, uint32_t rank,
                uint32_t cost, const struct quota_ranks_verdict *verdict,
                int64_t now_ms)
{
  double per_ms = b->quota.per_s * b->share / 1000;
  double debt = b->reserved - b->level;
  double granted_per_ms
      = verdict->granted_per_s > 0 ? verdict->granted_per_s / 1000 : per_ms;
  double pause_ms = cost * q->fleet.reachable / (RETURN_PART * granted_per_ms);
  int64_t return_ms = now_ms + RETRY_MIN_MS;

  if (debt > 0)
    return_ms += (int64_t)(debt / per_ms);
  if (b->next_return_ms[rank] > return_ms)
    return_ms = b->next_return_ms[rank];
  if (return_ms > now_ms + RETRY_MAX_MS)
    return_ms = now_ms + RETRY_MAX_MS;
  b->next_return_ms[rank]
      = return_ms + (int64_t)(2 * random_unit (&q->random) * pause_ms);
  return return_ms - now_ms;
}

static struct beryl_quota_state
bucket_state (struct beryl_quotas *q, const struct bucket *b, int64_t now_ms)
{
  return (struct beryl_quota_state){
    .limited = true,
    .per_s = b->quota.per_s,
    .available = b->level - b->reserved,
    .used_per_s = rate_get (&b->use, now_ms),
    .refused_per_s = rate_get (&b->refusals, now_ms),
    .share = b->share,
    .report_age_ms = fleet_report_age_ms (&q->fleet, now_ms),
  };
}

static void
count_asked (struct beryl_quotas *q, struct bucket *b, uint32_t rank,
             uint32_t cost, int64_t now_ms)
{
  double *mean = &q->cost_mean[rank];

  if (b->quota.in_tokens)
    *mean += (*mean > 0 ? COST_WEIGHT : 1) * (cost - *mean);
  mean_add (&b->asked[rank], RANKS_MS, cost, now_ms);
  mean_add (&b->own_asked[rank], RANKS_MS, cost, now_ms);
}

static void
count_refused (struct bucket *b, uint32_t rank, uint32_t cost, int64_t now_ms)
{
  b->refused += cost;
  b->refused_total[rank] += cost;
  rate_add (&b->own_demand, cost, now_ms);
  b->changed_ms = now_ms;
  rate_add (&b->refusals, cost, now_ms);
}

bool
beryl_quotas_admit_ranked (struct beryl_quotas *q,
                           const struct beryl_quota_request *request,
                           int64_t now_ms, struct beryl_quota_state *state)
{
  struct bucket *b = bucket_find (q, request->organisation);
  uint32_t rank = request->rank < BERYL_QUOTA_RANKS ? request->rank
                                                    : BERYL_QUOTA_RANKS - 1;
  struct quota_ranks_verdict verdict;
  bool admitted;

  if (state != NULL)
    *state = (struct beryl_quota_state){ 0 };
  if (b == NULL || !is_limited (b))
    return true;
  start_new_buckets (q, now_ms);
  refill (q, b, now_ms);
  count_asked (q, b, rank, request->cost, now_ms);
  verdict = decide_rank (q, b, rank, request->cost, now_ms);
  admitted = admits (q, b, request->cost, &verdict, now_ms);
  if (state != NULL)
    {
      *state = bucket_state (q, b, now_ms);
      state->rank = rank;
      state->set_aside = verdict.set_aside;
      state->granted_per_s = verdict.granted_per_s;
    }
  if (admitted)
    {
      b->reserved += request->cost;
      b->admitted_total[rank] += request->cost;
      return true;
    }
  if (state != NULL)
    state->retry_after_ms
        = retry_after_ms (q, b, rank, request->cost, &verdict, now_ms);
  count_refused (b, rank, request->cost, now_ms);
  return false;
}

bool
beryl_quotas_admit (struct beryl_quotas *q, uint32_t organisation,
                    uint32_t cost, int64_t now_ms,
                    struct beryl_quota_state *state)
{
  struct beryl_quota_request request
      = { .organisation = organisation, .cost = cost };

  return beryl_quotas_admit_ranked (q, &request, now_ms, state);
}

static void
unreserve (struct bucket *b, uint32_t cost)
{
  b->reserved -= cost;
  if (b->reserved < 0)
    b->reserved = 0;
}

void
beryl_quotas_use (struct beryl_quotas *q, uint32_t organisation, uint32_t cost,
                  int64_t now_ms)
{
  struct bucket *b = bucket_find (q, organisation);

  if (b == NULL || !is_limited (b))
    return;
  refill (q, b, now_ms);
  unreserve (b, cost);
  b->level -= cost;
  b->used += cost;
  b->unreported += cost;
  if (b->unreported > REPORT_DUE_PARTS * b->level / q->fleet.reachable)
    q->report_due = true;
  rate_add (&b->own_demand, cost, now_ms);
  b->changed_ms = now_ms;
  rate_add (&b->use, cost, now_ms);
}

void
beryl_quotas_release (struct beryl_quotas *q, uint32_t organisation,
                      uint32_t cost)
{
  struct bucket *b = bucket_find (q, organisation);

  if (b != NULL)
    unreserve (b, cost);
}

struct beryl_quota_state
beryl_quotas_state (struct beryl_quotas *q, uint32_t organisation,
                    int64_t now_ms)
{
  struct bucket *b = bucket_find (q, organisation);

  if (b == NULL || !is_limited (b))
    return (struct beryl_quota_state){ 0 };
  refill (q, b, now_ms);
  return bucket_state (q, b, now_ms);
}

size_t
beryl_quotas_ranks (struct beryl_quotas *q, uint32_t organisation,
                    struct beryl_quota_rank_state *ranks, int64_t now_ms)
{
  const struct bucket *b = bucket_find (q, organisation);
  double asked_per_s[BERYL_QUOTA_RANKS];
  size_t count = 0;

  if (b == NULL || !is_limited (b))
    return 0;
  demand_by_rank (b, demand_per_s (b, now_ms), asked_per_s, now_ms);
  for (uint32_t rank = 0; rank < BERYL_QUOTA_RANKS; rank++)
    if (asked_per_s[rank] > 0)
      ranks[count++] = (struct beryl_quota_rank_state){
        .rank = rank,
        .asked_per_s = asked_per_s[rank],
        .admitted_total = b->admitted_total[rank],
        .refused_total = b->refused_total[rank],
      };
  return count;
}

/* Keeps the counter's value of at least USE_REPEAT_MS ago. */
static void
take_checkpoint (struct bucket *b, int64_t now_ms)
{
  if (now_ms - b->checkpoint_ms < USE_REPEAT_MS)
    return;
  b->used_before[1] = b->used_before[0];
  b->used_before[0] = b->used;
  b->checkpoint_ms = now_ms;
}

static bool
is_reported (const struct bucket *b, int64_t now_ms)
{
  return b->changed_ms != 0 && now_ms - b->changed_ms <= USE_REPEAT_MS;
}

/* Writes the parts that the ranks had in this node's demand of late. */
static void
report_ranks (const struct bucket *b, struct beryl_quota_use *use,
              int64_t now_ms)
{
  double asked[BERYL_QUOTA_RANKS], sum = 0;

  for (uint32_t rank = 0; rank < BERYL_QUOTA_RANKS; rank++)
    {
      asked[rank] = mean_get (&b->own_asked[rank], RANKS_MS, now_ms);
      sum += asked[rank];
    }
  for (uint32_t rank = 0; sum > 0 && rank < BERYL_QUOTA_RANKS; rank++)
    use->asked_permille[rank] = (uint16_t)(1000 * asked[rank] / sum);
}

bool
beryl_quotas_report_due (const struct beryl_quotas *q)
{
  return q->report_due;
}

void
beryl_quotas_report (struct beryl_quotas *q, struct beryl_quota_report *report,
                     int64_t now_ms)
{
  size_t first = q->count > 0 ? q->next_report % q->count : 0;

  start_new_buckets (q, now_ms);
  report->count = 0;
  q->report_due = false;
  for (size_t i = 0; i < q->count && report->count < BERYL_QUOTA_USES_MAX; i++)
    {
      struct bucket *b = &q->buckets[(first + i) % q->count];

      take_checkpoint (b, now_ms);
      b->unreported = 0;
      q->next_report = first + i + 1;
      if (!is_reported (b, now_ms))
        continue;
      report->items[report->count] = (struct beryl_quota_use){
        .organisation = b->organisation,
        .used = b->used,
        .recent = b->used - b->used_before[1],
        .refused = b->refused,
      };
      report_ranks (b, &report->items[report->count++], now_ms);
    }
}

static struct peer_use *
peer_use_get (struct bucket *b, uint32_t peer)
{
  if (peer >= b->peer_count)
    {
      b->peers = realloc (b->peers, (peer + 1) * sizeof *b->peers);
      memset (b->peers + b->peer_count, 0,
              (peer + 1 - b->peer_count) * sizeof *b->peers);
      b->peer_count = peer + 1;
    }
  return &b->peers[peer];
}

/* Applies a peer's counters.  If they do not continue known ones, only what
 * was used since the epoch began counts. */
static void
apply_use (struct beryl_quotas *q, struct bucket *b, uint32_t peer_index,
           const struct beryl_quota_use *item, int64_t now_ms)
{
  const struct fleet_peer *peer = &q->fleet.peers[peer_index];
  struct peer_use *known = peer_use_get (b, peer_index);
  bool continues = known->epoch == peer->epoch;
  uint32_t used = 0, refused = 0;

  if (continues)
    {
      used = item->used - known->used;
      refused = item->refused - known->refused;
    }
  else if (now_ms - peer->epoch_start_ms >= USE_REPEAT_MS)
    used = item->recent;
  *known = (struct peer_use){ .used = item->used,
                              .refused = item->refused,
                              .epoch = peer->epoch };
  refill (q, b, now_ms);
  b->level -= used;
  rate_add (&b->use, used, now_ms);
  rate_add (&b->refusals, refused, now_ms);
  for (uint32_t rank = 0; rank < BERYL_QUOTA_RANKS; rank++)
    if (item->asked_permille[rank] > 0)
      mean_add (&b->asked[rank], RANKS_MS,
                item->asked_permille[rank] / 1000.0 * (used + (double)refused),
                now_ms);
}

void
beryl_quotas_apply (struct beryl_quotas *q, uint32_t node,
                    uint64_t incarnation,
                    const struct beryl_quota_report *report, int64_t now_ms)
{
  uint32_t peer = fleet_record_report (&q->fleet, node, incarnation, now_ms);

  for (size_t i = 0; i < report->count; i++)
    {
      struct bucket *b = bucket_find (q, report->items[i].organisation);

      if (b != NULL && is_limited (b))
        apply_use (q, b, peer, &report->items[i], now_ms);
    }
}
