#include "beryl/limits.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of endpoints with limits, and of senders tracked per
 * endpoint. */
#define LIMITS_MAX 128
#define SENDERS_MAX 512
/* Lower bound of the rate: an endpoint with a limit near zero still gets a
 * request now and then, since only its answer can raise the limit. */
#define MIN_MILLI_PER_S 100
/* Bucket capacity: the refill of this time, but at least one request. */
#define BUCKET_MS 500
/* A limit is dropped after this time without an answer at any node. */
#define STALE_MS INT64_C (600000)
/* The start or end of a limit is announced for this long, since datagrams may
 * be lost; other changes are announced once, and again in rotation. */
#define ANNOUNCE_MS 3000

/* Last send counter announced by another node. */
struct sender
{
  uint32_t node;
  uint32_t sent;
};

struct limit
{
  uint32_t endpoint;
  struct beryl_rate_limit rate;
  uint32_t answer_kind;   /* kind of answer that carries the limit */
  int64_t state_since_ms; /* when the limit began or ended */
  int64_t confirmed_ms;   /* time of the newest known answer */
  double tokens;          /* below 0 if overdrawn */
  int64_t refilled_ms;
  uint32_t sent; /* requests sent by this node */
  bool changed;  /* changed since it was last put into an update */
  struct sender *senders;
  uint32_t sender_count;
  uint32_t sender_evict; /* next entry to replace when the table is full */
};

struct beryl_limits
{
  struct limit items[LIMITS_MAX];
  uint32_t count;
  uint32_t next_item; /* rotation position of updates with all items */
};

struct beryl_limits *
beryl_limits_create (void)
{
  return calloc (1, sizeof (struct beryl_limits));
}

void
beryl_limits_destroy (struct beryl_limits *limits)
{
  if (limits == NULL)
    return;
  for (uint32_t i = 0; i < limits->count; i++)
    free (limits->items[i].senders);
  free (limits);
}

static struct limit *
limit_find (const struct beryl_limits *limits, uint32_t endpoint)
{
  for (uint32_t i = 0; i < limits->count; i++)
    if (limits->items[i].endpoint == endpoint)
      return (struct limit *)&limits->items[i];
  return NULL;
}

static void
limit_remove (struct beryl_limits *limits, struct limit *limit)
{
  free (limit->senders);
  *limit = limits->items[--limits->count];
}

static void
expire (struct beryl_limits *limits, int64_t now_ms)
{
  for (uint32_t i = limits->count; i > 0; i--)
    {
      struct limit *limit = &limits->items[i - 1];
      int64_t kept_ms = limit->rate.advertised ? STALE_MS : ANNOUNCE_MS;

      if (now_ms - limit->confirmed_ms > kept_ms)
        limit_remove (limits, limit);
    }
}

/* Evicts the limit with the oldest answer if the table is full. */
static struct limit *
limit_add (struct beryl_limits *limits, uint32_t endpoint, int64_t now_ms)
{
  struct limit *limit;

  expire (limits, now_ms);
  if (limits->count == LIMITS_MAX)
    {
      limit = &limits->items[0];
      for (uint32_t i = 1; i < limits->count; i++)
        if (limits->items[i].confirmed_ms < limit->confirmed_ms)
          limit = &limits->items[i];
      limit_remove (limits, limit);
    }
  limit = &limits->items[limits->count++];
  *limit = (struct limit){ .endpoint = endpoint,
                           .state_since_ms = now_ms,
                           .confirmed_ms = now_ms,
                           .refilled_ms = now_ms };
  return limit;
}

static bool
rates_equal (const struct beryl_rate_limit *a,
             const struct beryl_rate_limit *b)
{
  return a->advertised == b->advertised
         && (!a->advertised
             || a->millirequests_per_s == b->millirequests_per_s);
}

/* A new limit starts with an empty bucket: the endpoint advertised it because
 * it had just received too much. */
static bool
limit_set (struct limit *limit, const struct beryl_rate_limit *rate,
           int64_t confirmed_ms, int64_t now_ms)
{
  bool starts = rate->advertised && !limit->rate.advertised;

  limit->confirmed_ms = confirmed_ms;
  if (rates_equal (&limit->rate, rate))
    return false;
  if (starts || !rate->advertised)
    limit->state_since_ms = now_ms;
  if (starts)
    {
      limit->tokens = 0;
      limit->refilled_ms = now_ms;
    }
  limit->rate = *rate;
  return true;
}

/* Answers can overtake each other: one without a limit is ignored if its
 * request was sent before the limit was first advertised. */
bool
beryl_limits_observe (struct beryl_limits *limits, uint32_t endpoint,
                      uint32_t answer_kind,
                      const struct beryl_rate_limit *rate, int64_t sent_ms,
                      int64_t now_ms)
{
  struct limit *limit = limit_find (limits, endpoint);

  if (limit == NULL && !rate->advertised)
    return false;
  if (limit == NULL)
    limit = limit_add (limits, endpoint, now_ms);
  else if (!rate->advertised
           && (answer_kind != limit->answer_kind
               || sent_ms <= limit->state_since_ms))
    return false;
  limit->answer_kind = answer_kind;
  if (!limit_set (limit, rate, now_ms, now_ms))
    return false;
  limit->changed = true;
  return true;
}

static double
tokens_per_ms (const struct limit *limit,
               const struct beryl_limit_cluster *cluster)
{
  uint32_t milli_per_s = limit->rate.millirequests_per_s;

  if (milli_per_s < MIN_MILLI_PER_S)
    milli_per_s = MIN_MILLI_PER_S;
  return cluster->reachable_fraction * milli_per_s / 1e6;
}

static void
refill (struct limit *limit, const struct beryl_limit_cluster *cluster,
        int64_t now_ms)
{
  double per_ms = tokens_per_ms (limit, cluster);
  double capacity = per_ms * BUCKET_MS > 1 ? per_ms * BUCKET_MS : 1;

  limit->tokens += per_ms * (double)(now_ms - limit->refilled_ms);
  limit->refilled_ms = now_ms;
  if (limit->tokens > capacity)
    limit->tokens = capacity;
}

/* All nodes see the same token at the same time.  Of all requests that may
 * compete for it before their nodes learn of each other's sends, on average as
 * many pass as there are tokens. */
bool
beryl_limits_allow (struct beryl_limits *limits, uint32_t endpoint,
                    const struct beryl_limit_cluster *cluster, double chance,
                    int64_t now_ms)
{
  struct limit *limit = limit_find (limits, endpoint);

  if (limit == NULL || !limit->rate.advertised)
    return true;
  refill (limit, cluster, now_ms);
  return limit->tokens >= 1
         && chance * cluster->competing_requests <= limit->tokens;
}

void
beryl_limits_record_send (struct beryl_limits *limits, uint32_t endpoint,
                          const struct beryl_limit_cluster *cluster,
                          int64_t now_ms)
{
  struct limit *limit = limit_find (limits, endpoint);

  if (limit == NULL || !limit->rate.advertised)
    return;
  refill (limit, cluster, now_ms);
  limit->tokens--;
  limit->sent++;
  limit->changed = true;
}

int64_t
beryl_limits_wait_ms (struct beryl_limits *limits, uint32_t endpoint,
                      const struct beryl_limit_cluster *cluster,
                      int64_t now_ms)
{
  struct limit *limit = limit_find (limits, endpoint);

  if (limit == NULL || !limit->rate.advertised)
    return 0;
  refill (limit, cluster, now_ms);
  if (limit->tokens >= 1)
    return 0;
  return 1 + (int64_t)((1 - limit->tokens) / tokens_per_ms (limit, cluster));
}

struct beryl_rate_limit
beryl_limits_get (const struct beryl_limits *limits, uint32_t endpoint)
{
  const struct limit *limit = limit_find (limits, endpoint);

  return limit != NULL ? limit->rate : (struct beryl_rate_limit){ 0 };
}

static bool
must_announce (const struct limit *limit, int64_t now_ms)
{
  return limit->changed || now_ms - limit->state_since_ms < ANNOUNCE_MS;
}

static void
add_item (struct limit *limit, struct beryl_limits_update *update,
          int64_t now_ms)
{
  int64_t age_ms = now_ms - limit->confirmed_ms;

  update->items[update->count++] = (struct beryl_limit_item){
    .endpoint = limit->endpoint,
    .advertised = limit->rate.advertised,
    .answer_kind = limit->answer_kind,
    .millirequests_per_s = limit->rate.millirequests_per_s,
    .age_ms = age_ms > 0 ? (uint32_t)age_ms : 0,
    .sent = limit->sent,
  };
  limit->changed = false;
}

static bool
has_item (const struct beryl_limits_update *update, uint32_t endpoint)
{
  for (size_t i = 0; i < update->count; i++)
    if (update->items[i].endpoint == endpoint)
      return true;
  return false;
}

bool
beryl_limits_build_update (struct beryl_limits *limits,
                           struct beryl_limits_update *update, bool all,
                           int64_t now_ms)
{
  update->count = 0;
  for (uint32_t i = 0;
       i < limits->count && update->count < BERYL_LIMIT_ITEMS_MAX; i++)
    if (must_announce (&limits->items[i], now_ms))
      add_item (&limits->items[i], update, now_ms);
  for (uint32_t i = 0;
       all && i < limits->count && update->count < BERYL_LIMIT_ITEMS_MAX; i++)
    {
      struct limit *limit
          = &limits->items[limits->next_item++ % limits->count];

      if (!has_item (update, limit->endpoint))
        add_item (limit, update, now_ms);
    }
  return update->count > 0;
}

static struct sender *
sender_get (struct limit *limit, uint32_t node)
{
  struct sender *sender;

  for (uint32_t i = 0; i < limit->sender_count; i++)
    if (limit->senders[i].node == node)
      return &limit->senders[i];
  if (limit->sender_count == SENDERS_MAX)
    sender = &limit->senders[limit->sender_evict++ % SENDERS_MAX];
  else
    {
      limit->senders = realloc (limit->senders, (limit->sender_count + 1)
                                                    * sizeof *limit->senders);
      sender = &limit->senders[limit->sender_count++];
    }
  *sender = (struct sender){ .node = node };
  return sender;
}

/* Returns the number of new sends of NODE by its counter SENT.  If no earlier
 * count is known, only the last send counts: the earlier ones are taken to be
 * covered by the bucket of a new limit, which starts empty.  A smaller counter
 * means that the node has restarted. */
static uint32_t
count_new_sends (struct limit *limit, uint32_t node, uint32_t sent)
{
  struct sender *sender = sender_get (limit, node);
  uint32_t before = sender->sent;

  sender->sent = sent;
  if (before == 0)
    return sent > 0 ? 1 : 0;
  return sent >= before ? sent - before : sent;
}

static void
apply_one (struct beryl_limits *limits, uint32_t node,
           const struct beryl_limit_item *item,
           const struct beryl_limit_cluster *cluster, int64_t now_ms)
{
  struct beryl_rate_limit rate
      = { item->advertised, item->millirequests_per_s };
  int64_t confirmed_ms = now_ms - item->age_ms;
  struct limit *limit = limit_find (limits, item->endpoint);

  if (limit == NULL && (!item->advertised || item->age_ms > STALE_MS))
    return;
  if (limit == NULL)
    {
      limit = limit_add (limits, item->endpoint, now_ms);
      /* Earlier than the answer of ITEM, so that ITEM is applied below. */
      limit->confirmed_ms = confirmed_ms - 1;
    }
  if (confirmed_ms > limit->confirmed_ms)
    {
      limit->answer_kind = item->answer_kind;
      limit_set (limit, &rate, confirmed_ms, now_ms);
    }
  refill (limit, cluster, now_ms);
  limit->tokens -= count_new_sends (limit, node, item->sent);
}

void
beryl_limits_apply_update (struct beryl_limits *limits,
                           const struct beryl_limits_update *update,
                           const struct beryl_limit_cluster *cluster,
                           int64_t now_ms)
{
  for (size_t i = 0; i < update->count; i++)
    apply_one (limits, update->node, &update->items[i], cluster, now_ms);
}

bool
beryl_limits_has_changes (const struct beryl_limits *limits)
{
  for (uint32_t i = 0; i < limits->count; i++)
    if (limits->items[i].changed)
      return true;
  return false;
}

uint32_t
beryl_limits_count (const struct beryl_limits *limits)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < limits->count; i++)
    count += limits->items[i].rate.advertised;
  return count;
}
