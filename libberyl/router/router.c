#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/clock.h"
#include "private.h"
#include "shares.h"

/* Capacity of the prefix index, in blocks. */
#define PREFIX_ENTRIES 32768

/* Upper bound of an endpoint's predicted hit accuracy after a gap in its
 * events. */
#define HIT_ACCURACY_AFTER_GAP 0.7
/* Weight of one observation in the predicted hit accuracy. */
#define HIT_ACCURACY_WEIGHT 0.1

/* Weight of one observation of the time between tokens. */
#define INTERVAL_WEIGHT 0.2

static const struct router_policy *const policies[] = {
  [BERYL_POLICY_PLANNED] = &router_policy_planned,
  [BERYL_POLICY_RANDOM] = &router_policy_random,
  [BERYL_POLICY_ROUND_ROBIN] = &router_policy_round_robin,
  [BERYL_POLICY_LEAST_REPORTED] = &router_policy_least_reported,
  [BERYL_POLICY_TWO_CHOICES] = &router_policy_two_choices,
  /* Exact: the planned policy as the only node, so that its state is complete.
   */
  [BERYL_POLICY_EXACT] = &router_policy_planned,
};

struct beryl_router *
beryl_router_create (const char *node, const char *data_centre,
                     enum beryl_policy policy, uint64_t seed)
{
  struct beryl_router *r = calloc (1, sizeof *r);
  if (!r)
    return NULL;
  snprintf (r->node, sizeof r->node, "%s", node);
  snprintf (r->data_centre, sizeof r->data_centre, "%s", data_centre);
  r->policy = policies[policy];
  r->random = seed;
  r->capacity_freed_ms = BERYL_NEVER_MS;
  r->prefix = prefix_index_create (PREFIX_ENTRIES);
  if (!r->prefix)
    {
      free (r);
      return NULL;
    }
  return r;
}

void
beryl_router_destroy (struct beryl_router *r)
{
  if (!r)
    return;
  fleet_release (r);
  prefix_index_destroy (r->prefix);
  free (r->members);
  free (r->organisations);
  free (r->tickets);
  free (r->free_tickets);
  free (r->waiting);
  free (r);
}

struct router_service *
router_service_find (struct beryl_router *r, const char *name)
{
  for (size_t i = 0; i < r->service_count; i++)
    if (strcmp (r->services[i].name, name) == 0)
      return &r->services[i];
  return NULL;
}

void
router_refuse (struct beryl_plan *plan, const char *reason,
               int64_t retry_after_ms)
{
  plan->verdict = BERYL_VERDICT_REFUSE;
  plan->reason = reason;
  plan->retry_after_ms = retry_after_ms;
}

void
beryl_router_set_config (struct beryl_router *r,
                         const struct beryl_config *config, int64_t now_ms)
{
  /* The previous configuration is still valid here: names are read from it. */
  organisation_build (r, config);
  fleet_build (r, config);
  r->capacity_freed_ms = now_ms;
}

void
beryl_router_set_members (struct beryl_router *r, const char *const *nodes,
                          size_t node_count, int64_t now_ms)
{
  uint64_t *members = calloc (node_count + 1, sizeof *members);
  if (!members)
    return;
  for (size_t i = 0; i < node_count; i++)
    members[i] = shares_hash (nodes[i]);
  free (r->members);
  r->members = members;
  r->member_count = node_count;
  fleet_assign_shares (r);
  r->capacity_freed_ms = now_ms;
}

void
beryl_router_set_late_binding (struct beryl_router *r, bool late)
{
  r->late_binding = late;
}

void
beryl_router_load_report (struct beryl_router *r,
                          const struct beryl_load_report *report,
                          int64_t now_ms)
{
  uint32_t number = fleet_find (r, report->endpoint);
  if (number == ROUTER_NONE)
    return;
  struct router_endpoint *e = &r->endpoints[number];
  if (e->reported && report->measured_ms < e->report.measured_ms)
    return;
  e->report = *report;
  e->report.endpoint = NULL;
  e->reported = true;
}

/* Late events may repeat known ones.  A gap in the sequence means that
 * evictions may have been missed, so predicted hits are discounted until a
 * resync. */
void
beryl_router_cache_event (struct beryl_router *r,
                          const struct beryl_cache_event *event,
                          int64_t now_ms)
{
  uint32_t number = fleet_find (r, event->endpoint);
  if (number == ROUTER_NONE)
    return;
  struct router_endpoint *e = &r->endpoints[number];
  if (e->cache_known && event->sequence <= e->cache_sequence)
    return;
  if (e->cache_known && event->sequence != e->cache_sequence + 1)
    {
      e->cache_gap = true;
      if (e->predicted_hit_accuracy > HIT_ACCURACY_AFTER_GAP)
        e->predicted_hit_accuracy = HIT_ACCURACY_AFTER_GAP;
    }
  e->cache_known = true;
  e->cache_sequence = event->sequence;
  if (event->added)
    prefix_index_add (r->prefix, event->block_hash, number, now_ms);
  else
    prefix_index_remove (r->prefix, event->block_hash, number);
}

void
beryl_router_cache_resync (struct beryl_router *r, const char *endpoint,
                           uint64_t sequence, const uint64_t *blocks,
                           size_t block_count, int64_t now_ms)
{
  uint32_t number = fleet_find (r, endpoint);
  if (number == ROUTER_NONE)
    return;
  struct router_endpoint *e = &r->endpoints[number];
  prefix_index_remove_endpoint (r->prefix, number);
  for (size_t i = 0; i < block_count; i++)
    prefix_index_add (r->prefix, blocks[i], number, now_ms);
  e->cache_known = true;
  e->cache_gap = false;
  e->cache_sequence = sequence;
  e->predicted_hit_accuracy = 1;
}

bool
beryl_router_cache_has_gap (const struct beryl_router *r, const char *endpoint)
{
  uint32_t number = fleet_find (r, endpoint);
  return number != ROUTER_NONE && r->endpoints[number].cache_gap;
}

/* Clears the notice of freed capacity once the first waiting job is planned
 * again: the caller plans the others in the same pass, with the same capacity.
 */
static void
clear_capacity_freed (struct beryl_router *r, uint64_t request, int64_t now_ms)
{
  if (r->capacity_freed_ms <= now_ms
      && (r->waiting_count == 0 || r->waiting[0].request == request))
    r->capacity_freed_ms = BERYL_NEVER_MS;
}

void
beryl_router_plan (struct beryl_router *r, const struct beryl_job *job,
                   int64_t now_ms, struct beryl_plan *plan)
{
  *plan = (struct beryl_plan){ 0 };
  clear_capacity_freed (r, job->request, now_ms);
  if (!router_service_find (r, job->service))
    {
      router_refuse (plan, "no_service", 0);
      return;
    }
  int64_t retry_after_ms = 0;
  const char *refusal = NULL;
  if (waiting_find (r, job->request) == SIZE_MAX)
    refusal = organisation_admit (r, organisation_find (r, job->organisation),
                                  now_ms, &retry_after_ms);
  if (refusal)
    {
      router_refuse (plan, refusal, retry_after_ms);
      return;
    }
  if (job->plain && r->policy == &router_policy_planned)
    plain_plan (r, job, now_ms, plan);
  else
    r->policy->plan (r, job, now_ms, plan);
}

void
beryl_router_bind_decode (struct beryl_router *r, uint64_t ticket,
                          int64_t kv_expires_ms, const char *refused_by,
                          int64_t now_ms, struct beryl_plan *plan)
{
  *plan = (struct beryl_plan){ 0 };
  struct router_ticket *t = ticket_find (r, ticket);
  if (!t || t->service == ROUTER_NONE || t->phase == ROUTER_PHASE_PLAIN)
    {
      router_refuse (plan, "no_ticket", 0);
      return;
    }
  plan->ticket = ticket;
  uint32_t refused = refused_by ? fleet_find (r, refused_by) : ROUTER_NONE;
  if (refused != ROUTER_NONE)
    {
      /* The refusal serves as a load report of a full engine. */
      struct router_endpoint *e = &r->endpoints[refused];
      e->reported = true;
      e->report.measured_ms = now_ms;
      e->report.decoding = e->slots;
    }
  if (t->phase == ROUTER_PHASE_DECODE)
    {
      ticket_release_slot (r, t, now_ms);
      t->decode = ROUTER_NONE;
      t->phase = ROUTER_PHASE_UNBOUND;
      r->services[t->service].unbound++;
    }
  r->policy->bind (r, t, kv_expires_ms, refused, now_ms, plan);
  if (plan->verdict == BERYL_VERDICT_START)
    {
      t->phase = ROUTER_PHASE_DECODE;
      t->exported_ms = now_ms;
    }
}

void
beryl_router_drop_waiting (struct beryl_router *r, uint64_t request)
{
  size_t at = waiting_find (r, request);
  if (at == SIZE_MAX)
    return;
  organisation_job_closed (r, r->waiting[at].organisation);
  waiting_remove_index (r, at);
}

static void
record_prefill_time (struct router_service *s, const struct router_ticket *t,
                     uint32_t cached_tokens, int64_t now_ms)
{
  if (!t->prefill_unqueued)
    return;
  uint32_t uncached = t->prompt_tokens > cached_tokens
                          ? t->prompt_tokens - cached_tokens
                          : 0;
  double took = (double)(now_ms - t->started_ms);
  double expected = estimate_line_at (&s->prefill_ms, uncached);
  /* More than 30 % and 20 ms longer than expected: another node's unreported
   * prefill was probably queued before it, so it gets a tenth of the weight.
   */
  double weight = took > 1.3 * expected + 20 ? 0.1 : 1;
  estimate_line_add (&s->prefill_ms, uncached, took, weight);
}

static void
record_cache_hits (struct router_endpoint *e, const struct router_ticket *t,
                   uint32_t cached_tokens)
{
  if (t->cached_tokens == 0)
    return;
  double hit_ratio = (double)cached_tokens / t->cached_tokens;
  if (hit_ratio > 1)
    hit_ratio = 1;
  e->predicted_hit_accuracy
      += HIT_ACCURACY_WEIGHT * (hit_ratio - e->predicted_hit_accuracy);
}

void
beryl_router_prefill_done (struct beryl_router *r, uint64_t ticket,
                           uint32_t cached_tokens, uint64_t kv_bytes,
                           int64_t now_ms)
{
  struct router_ticket *t = ticket_find (r, ticket);
  if (!t || t->phase != ROUTER_PHASE_PREFILL)
    return;
  t->kv_bytes = kv_bytes;
  t->exported_ms = now_ms;
  t->phase = ROUTER_PHASE_UNBOUND;
  if (t->prefill != ROUTER_NONE)
    {
      struct router_endpoint *e = &r->endpoints[t->prefill];
      prefill_ended (e, now_ms);
      fleet_record_success (e);
      record_cache_hits (e, t, cached_tokens);
    }
  if (t->service == ROUTER_NONE)
    return;
  record_prefill_time (&r->services[t->service], t, cached_tokens, now_ms);
  if (r->late_binding || t->decode == ROUTER_NONE)
    return;
  uint32_t decode = t->decode;
  ticket_unreserve (r, t);
  ticket_take_slot (r, t, decode, now_ms);
  t->phase = ROUTER_PHASE_DECODE;
}

void
beryl_router_first_token (struct beryl_router *r, uint64_t ticket,
                          int64_t now_ms)
{
  struct router_ticket *t = ticket_find (r, ticket);
  if (!t || t->phase != ROUTER_PHASE_DECODE || t->first_token_ms)
    return;
  t->first_token_ms = now_ms;
  t->last_token_ms = now_ms;
  if (t->decode != ROUTER_NONE)
    fleet_record_success (&r->endpoints[t->decode]);
  if (t->service != ROUTER_NONE)
    estimate_line_add (&r->services[t->service].transfer_ms,
                       (double)t->kv_bytes / 1e6,
                       (double)(now_ms - t->exported_ms), 1);
}

void
beryl_router_tokens_generated (struct beryl_router *r, uint64_t ticket,
                               uint32_t tokens, int64_t now_ms)
{
  struct router_ticket *t = ticket_find (r, ticket);
  if (!t || t->phase != ROUTER_PHASE_DECODE || tokens == 0)
    return;
  t->tokens += tokens;
  if (t->service == ROUTER_NONE || t->decode == ROUTER_NONE
      || t->first_token_ms == 0 || now_ms <= t->last_token_ms)
    return;
  const struct router_endpoint *e = &r->endpoints[t->decode];
  double batch = e->reported && e->report.decoding > e->busy
                     ? e->report.decoding
                     : e->busy;
  estimate_line_add (&r->services[t->service].interval_ms, batch,
                     (double)(now_ms - t->last_token_ms) / tokens,
                     INTERVAL_WEIGHT);
  t->last_token_ms = now_ms;
}

static void
end_decode (struct beryl_router *r, struct router_ticket *t,
            enum beryl_release how, int64_t now_ms)
{
  ticket_release_slot (r, t, now_ms);
  if (t->service == ROUTER_NONE || t->first_token_ms == 0)
    return;
  struct router_service *s = &r->services[t->service];
  estimate_mean_add (&s->decode_ms, (double)(now_ms - t->exported_ms));
  if (how == BERYL_RELEASE_DONE && t->max_tokens > 0)
    estimate_mean_add (&s->length_ratio, (double)t->tokens / t->max_tokens);
}

static void
end_plain (struct beryl_router *r, struct router_ticket *t,
           enum beryl_release how, int64_t now_ms)
{
  ticket_release_slot (r, t, now_ms);
  if (t->call_class != BERYL_CLASS_URGENT && t->service != ROUTER_NONE
      && r->services[t->service].non_urgent > 0)
    r->services[t->service].non_urgent--;
  if (t->decode == ROUTER_NONE)
    return;
  struct router_endpoint *e = &r->endpoints[t->decode];
  if (t->call_class != BERYL_CLASS_URGENT && e->non_urgent > 0)
    e->non_urgent--;
  if (how != BERYL_RELEASE_DONE)
    return;
  fleet_record_success (e);
  if (t->service != ROUTER_NONE)
    estimate_mean_add (&r->services[t->service].answer_ms[t->call_class],
                       (double)(now_ms - t->started_ms));
}

void
beryl_router_release (struct beryl_router *r, uint64_t ticket,
                      enum beryl_release how, const char *failed_endpoint,
                      int64_t now_ms)
{
  struct router_ticket *t = ticket_find (r, ticket);
  if (!t)
    return;
  uint32_t failed
      = failed_endpoint ? fleet_find (r, failed_endpoint) : ROUTER_NONE;
  if (failed != ROUTER_NONE && how == BERYL_RELEASE_FAILED)
    fleet_record_failure (r, failed, now_ms);
  if (t->phase == ROUTER_PHASE_PREFILL && t->prefill != ROUTER_NONE)
    prefill_ended (&r->endpoints[t->prefill], now_ms);
  if (t->phase == ROUTER_PHASE_PREFILL || t->phase == ROUTER_PHASE_UNBOUND)
    ticket_unreserve (r, t);
  else if (t->phase == ROUTER_PHASE_DECODE)
    end_decode (r, t, how, now_ms);
  else
    end_plain (r, t, how, now_ms);
  r->capacity_freed_ms = now_ms;
  ticket_close (r, t);
}

int64_t
beryl_router_next_ms (const struct beryl_router *r)
{
  if (r->waiting_count == 0)
    return BERYL_NEVER_MS;
  int64_t next = r->capacity_freed_ms;
  for (size_t i = 0; i < r->waiting_count; i++)
    if (r->waiting[i].retry_at_ms < next)
      next = r->waiting[i].retry_at_ms;
  return next;
}
