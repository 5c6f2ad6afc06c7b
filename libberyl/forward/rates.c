#include "private.h"

#include <stdio.h>
#include <string.h>

/* Endpoints that take only so many requests a second from all nodes. */

/* Until peers hear of a send: it is told together with others, and takes its
 * way. */
#define TOLD_MS 50
/* How often the peers that can be heard are counted. */
#define COUNT_MS 200
/* When a caller whose service is limited may come back. */
#define RETRY_LEAST_MS 500

static uint32_t
count_heard (const struct beryl_forward *f, int64_t now_ms)
{
  uint32_t count = 1;

  for (size_t i = 0; i < f->book.count; i++)
    count += now_ms - f->book.peers[i]->told_ms < book_silent_ms (&f->book);
  return count;
}

/* Nodes that cannot be heard may be at work, and send as well. */
static double
heard_part (struct beryl_forward *f, int64_t now_ms)
{
  if (now_ms - f->heard_ms >= COUNT_MS)
    {
      f->heard_ms = now_ms;
      f->heard = count_heard (f, now_ms);
    }
  return f->heard < f->nodes ? (double)f->heard / f->nodes : 1;
}

static struct beryl_limit_cluster
terms_of (struct beryl_forward *f, struct service *s, int64_t now_ms)
{
  struct repeat_terms repeats = forward_repeat_terms (f);
  double requests = repeat_budget_requests (&s->budget, &repeats, now_ms);

  return (struct beryl_limit_cluster){
    .reachable_fraction = heard_part (f, now_ms),
    .concurrent = requests * f->nodes * TOLD_MS / (double)repeats.window_ms,
  };
}

static void
log_limit (struct beryl_forward *f, const struct beryl_live *live,
           const char *from)
{
  struct beryl_rate_limit limit
      = beryl_limits_get (f->limits, beryl_live_hash (live));
  char what[40];

  if (f->owner->impl->learned == NULL)
    return;
  if (limit.advertised)
    snprintf (what, sizeof what, "limited milli_per_s=%u", limit.milli_per_s);
  else
    snprintf (what, sizeof what, "unlimited");
  f->owner->impl->learned (f->owner, live, what, from);
}

/* Only an answer to a request that was served shows that there is no limit any
 * more. */
void
rates_heard (struct beryl_forward *f, const struct exchange *x,
             const struct beryl_rate_limit *limit, bool served, int64_t now_ms)
{
  if ((limit->advertised || served)
      && beryl_limits_observe (f->limits, beryl_live_hash (x->live),
                               1 + (uint32_t)x->kind, limit, x->started_ms,
                               now_ms))
    log_limit (f, x->live, "own call");
}

bool
rates_limited (const struct beryl_forward *f, const struct beryl_live *live)
{
  return beryl_limits_count (f->limits) > 0
         && beryl_limits_get (f->limits, beryl_live_hash (live)).advertised;
}

bool
rates_allow (struct beryl_forward *f, struct service *s,
             const struct beryl_live *live, int64_t now_ms)
{
  struct beryl_limit_cluster terms;

  if (!rates_limited (f, live))
    return true;
  terms = terms_of (f, s, now_ms);
  return beryl_limits_allow (f->limits, beryl_live_hash (live), &terms,
                             random_unit (&f->random), now_ms);
}

void
rates_sent (struct beryl_forward *f, struct service *s,
            const struct beryl_live *live, int64_t now_ms)
{
  struct beryl_limit_cluster terms;

  if (!rates_limited (f, live))
    return;
  terms = terms_of (f, s, now_ms);
  beryl_limits_record_send (f->limits, beryl_live_hash (live), &terms, now_ms);
}

/* Callers of all nodes that were refused come back one after the other. */
int64_t
rates_retry_after_ms (struct beryl_forward *f, struct service *s,
                      int64_t now_ms)
{
  struct beryl_limit_cluster terms = terms_of (f, s, now_ms);
  int64_t least_ms = BERYL_NEVER_MS;

  for (size_t i = 0; i < beryl_live_set_count (f->lives); i++)
    {
      const struct beryl_live *live = beryl_live_set_get (f->lives, i);
      int64_t wait_ms;

      if (strcmp (live->info.service, s->name) != 0
          || !beryl_live_accepts_work (live) || !rates_limited (f, live))
        continue;
      wait_ms = beryl_limits_wait_ms (f->limits, beryl_live_hash (live),
                                      &terms, now_ms);
      if (wait_ms < least_ms)
        least_ms = wait_ms;
    }
  if (least_ms == BERYL_NEVER_MS)
    return 0;
  if (least_ms < RETRY_LEAST_MS)
    least_ms = RETRY_LEAST_MS;
  return (int64_t)((1 + random_unit (&f->random)) * (double)least_ms);
}

struct beryl_limits *
beryl_forward_limits (struct beryl_forward *f)
{
  return f->limits;
}

static const struct beryl_live *
live_numbered (const struct beryl_forward *f, uint32_t number)
{
  for (size_t i = 0; i < beryl_live_set_count (f->lives); i++)
    if (beryl_live_hash (beryl_live_set_get (f->lives, i)) == number)
      return beryl_live_set_get (f->lives, i);
  return NULL;
}

static void
take_one (struct beryl_forward *f, uint32_t node,
          const struct beryl_limit_item *item,
          const struct beryl_limit_cluster *terms, int64_t now_ms)
{
  struct beryl_limits_update news
      = { .node = node, .items = { *item }, .count = 1 };
  struct beryl_rate_limit before
      = beryl_limits_get (f->limits, item->endpoint);
  struct beryl_rate_limit after;
  const struct beryl_live *live;

  beryl_limits_apply_update (f->limits, &news, terms, now_ms);
  after = beryl_limits_get (f->limits, item->endpoint);
  if (before.advertised == after.advertised)
    return;
  live = live_numbered (f, item->endpoint);
  if (live != NULL)
    log_limit (f, live, "peer");
}

void
beryl_forward_peer_limits (struct beryl_forward *f,
                           const struct beryl_limits_update *news,
                           int64_t now_ms)
{
  struct beryl_limit_cluster terms
      = { .reachable_fraction = heard_part (f, now_ms) };

  for (size_t i = 0; i < news->count; i++)
    take_one (f, news->node, &news->items[i], &terms, now_ms);
}
