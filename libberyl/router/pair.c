#include <stdio.h>
#include <string.h>

#include "../base/random.h"
#include "private.h"

/* Prefill engines sampled in a large pool, in addition to those that hold a
 * prefix. */
#define PREFILL_SAMPLE 16

/* Decode engines sampled in a large pool. */
#define DECODE_SAMPLE 32

/* Cost of a prefill in another data centre: its round trip and the longer path
 * of the KV transfer. */
#define OTHER_DATA_CENTRE_MS 2.0

struct search
{
  struct beryl_router *r;
  struct router_service *s;
  const struct beryl_job *job;
  uint32_t job_service;
  uint32_t decode;
  int64_t now_ms;
  struct pair best;
  bool found;
  struct beryl_plan *plan;
};

static void
record_alternative (struct search *q, const struct pair *p)
{
  struct beryl_plan *plan = q->plan;
  uint32_t at = plan->alternative_count;
  if (at < BERYL_ALTERNATIVES_MAX)
    plan->alternative_count++;
  while (at > 0 && plan->alternatives[at - 1].cost_ms > p->first_token_ms)
    {
      if (at < BERYL_ALTERNATIVES_MAX)
        plan->alternatives[at] = plan->alternatives[at - 1];
      at--;
    }
  if (at >= BERYL_ALTERNATIVES_MAX)
    return;
  struct beryl_alternative *a = &plan->alternatives[at];
  a->cost_ms = p->first_token_ms;
  snprintf (a->prefill, sizeof a->prefill, "%s",
            q->r->endpoints[p->prefill].name);
  snprintf (a->decode, sizeof a->decode, "%s",
            p->decode == ROUTER_NONE ? "" : q->r->endpoints[p->decode].name);
}

static uint32_t
expected_cached_tokens (const struct router_service *s,
                        const struct router_endpoint *e, uint32_t blocks,
                        uint32_t prompt_tokens)
{
  uint32_t block = s->model ? s->model->block_tokens : 0;
  double tokens = (double)blocks * block * e->predicted_hit_accuracy;
  return tokens < prompt_tokens ? (uint32_t)tokens : prompt_tokens;
}

static void
try_prefill (struct search *q, uint32_t number, uint32_t blocks)
{
  const struct router_endpoint *e = &q->r->endpoints[number];
  if (!fleet_usable (e, q->now_ms) || e->service != q->job_service
      || !(e->config->role & BERYL_ROLE_PREFILL) || fleet_excluded (q->job, e))
    return;
  struct pair p = { .prefill = number, .decode = q->decode };
  p.cached_tokens
      = expected_cached_tokens (q->s, e, blocks, q->job->prompt_tokens);
  p.prefill_cost_ms
      = cost_prefill_ms (q->s, q->job->prompt_tokens - p.cached_tokens);
  const struct router_endpoint *d
      = q->decode == ROUTER_NONE ? NULL : &q->r->endpoints[q->decode];
  p.backlog_ms = prefill_backlog_ms (q->s, e, q->now_ms);
  p.first_token_ms = p.backlog_ms + p.prefill_cost_ms
                     + cost_transfer_ms (q->s, e, d, q->job->prompt_tokens);
  if (strcmp (e->config->data_centre, q->r->data_centre) != 0)
    p.first_token_ms += OTHER_DATA_CENTRE_MS;
  record_alternative (q, &p);
  if (q->found && q->best.first_token_ms <= p.first_token_ms)
    return;
  q->best = p;
  q->found = true;
}

static uint32_t
matched_blocks (const struct prefix_match *matches, size_t count,
                uint32_t number)
{
  for (size_t i = 0; i < count; i++)
    if (matches[i].endpoint == number)
      return matches[i].blocks;
  return 0;
}

static void
try_all_prefills (struct search *q)
{
  struct prefix_match matches[PREFIX_MATCHES];
  size_t known = prefix_index_lookup (q->r->prefix, q->job->block_hashes,
                                      q->job->block_count, q->now_ms, matches);
  const struct router_list *list = &q->s->prefill;
  if (list->count <= PREFILL_SAMPLE)
    {
      for (size_t i = 0; i < list->count; i++)
        try_prefill (q, list->items[i],
                     matched_blocks (matches, known, list->items[i]));
      return;
    }
  for (size_t i = 0; i < known; i++)
    try_prefill (q, matches[i].endpoint, matches[i].blocks);
  for (size_t i = 0; i < PREFILL_SAMPLE; i++)
    {
      uint32_t number = list->items[random_next (&q->r->random) % list->count];
      try_prefill (q, number, matched_blocks (matches, known, number));
    }
}

static uint32_t
most_free_own (struct beryl_router *r, const struct router_service *s,
               uint32_t refused_by, int64_t now_ms)
{
  size_t count = s->own.count;
  size_t sample = count < DECODE_SAMPLE ? count : DECODE_SAMPLE;
  size_t at = count ? random_next (&r->random) % count : 0;
  uint32_t best = ROUTER_NONE;
  double best_score = 0;
  for (size_t i = 0; i < count && (i < sample || best == ROUTER_NONE); i++)
    {
      uint32_t number = s->own.items[(at + i) % count];
      const struct router_endpoint *e = &r->endpoints[number];
      if (number == refused_by || !fleet_usable (e, now_ms))
        continue;
      uint32_t own = fleet_free_own (e, now_ms);
      if (own == 0)
        continue;
      /* All free slots break ties between equal numbers of own ones; the own
       * data centre is worth half a slot. */
      double score = own + 0.1 * fleet_free_slots (e, now_ms);
      if (strcmp (e->config->data_centre, r->data_centre) == 0)
        score += 0.5;
      if (score > best_score)
        {
          best_score = score;
          best = number;
        }
    }
  return best;
}

static uint32_t
most_borrowable (struct beryl_router *r, const struct router_service *s,
                 uint32_t refused_by, int64_t now_ms)
{
  const struct router_list *list = &s->decode;
  size_t sample = list->count < DECODE_SAMPLE ? list->count : DECODE_SAMPLE;
  size_t at = list->count ? random_next (&r->random) % list->count : 0;
  uint32_t best = ROUTER_NONE;
  uint32_t best_free = 0;
  for (size_t i = 0; i < sample; i++)
    {
      uint32_t number = list->items[(at + i) % list->count];
      const struct router_endpoint *e = &r->endpoints[number];
      if (number == refused_by || !fleet_usable (e, now_ms) || !e->reported)
        continue;
      uint32_t unused = fleet_free_slots (e, now_ms);
      if (unused > best_free)
        {
          best_free = unused;
          best = number;
        }
    }
  return best;
}

uint32_t
pair_choose_decode (struct beryl_router *r, struct router_service *s,
                    bool may_borrow, uint32_t refused_by, int64_t now_ms)
{
  uint32_t best = most_free_own (r, s, refused_by, now_ms);
  if (best == ROUTER_NONE && may_borrow)
    best = most_borrowable (r, s, refused_by, now_ms);
  return best;
}

bool
pair_choose (struct beryl_router *r, struct router_service *s,
             const struct beryl_job *job, uint32_t decode, int64_t now_ms,
             struct pair *pair, struct beryl_plan *plan)
{
  struct search q = {
    .r = r,
    .s = s,
    .job = job,
    .job_service = (uint32_t)(s - r->services),
    .decode = decode,
    .now_ms = now_ms,
    .plan = plan,
  };
  try_all_prefills (&q);
  *pair = q.best;
  return q.found;
}
