#include "private.h"

#include <string.h>

/* Hands requests over to peers while this node cannot reach endpoints. Callers
   keep the addresses of nodes for seconds, so that it is not enough to leave
   the list of addresses. The peer takes the request as if its caller had sent
   it there, except that its organisation's quota and its arrival were counted
   here, and that it is not handed over again. */

/* Peers that one request is handed over to, one after the other. */
#define HANDOFFS_MAX 3
/* Costs of a peer in another data centre, and of one that has failed recently,
   in open handoffs. */
#define REMOTE_COST 4
#define AVOIDED_COST 1000

void
beryl_forward_set_peer (struct beryl_forward *f,
                        const struct beryl_forward_peer *peer, int64_t now_ms)
{
  struct beryl_live_info info
      = { .port = peer->port, .leaving = !peer->takes_requests };

  memcpy (info.id, peer->name, sizeof info.id);
  memcpy (info.address, peer->address, sizeof info.address);
  memcpy (info.data_centre, peer->data_centre, sizeof info.data_centre);
  beryl_live_set_put (f->peers, &info, now_ms);
}

static double
peer_cost (const struct beryl_forward *f,
           const struct beryl_live_endpoint *peer, int64_t now_ms)
{
  double cost = peer->open_exchanges;

  if (strcmp (peer->info.data_centre, f->settings.data_centre) != 0)
    cost += REMOTE_COST;
  if (beryl_live_avoided (peer, now_ms))
    cost += AVOIDED_COST;
  return cost;
}

static struct beryl_live_endpoint *
choose_peer (struct beryl_forward *f, const struct request *r, int64_t now_ms)
{
  struct beryl_live_endpoint *best = NULL;
  double best_cost = 0;
  size_t count = beryl_live_set_count (f->peers);
  size_t start = count > 0 ? random_next (&f->random) % count : 0;

  for (size_t i = 0; i < count; i++)
    {
      struct beryl_live_endpoint *peer
          = beryl_live_set_get (f->peers, (start + i) % count);
      double cost = peer_cost (f, peer, now_ms);

      if (!beryl_live_accepts_work (peer)
          || forward_request_was_tried (r, peer))
        continue;
      if (best == NULL || cost < best_cost)
        {
          best = peer;
          best_cost = cost;
        }
    }
  return best;
}

static bool
has_open (const struct request *r, enum beryl_exchange_kind kind)
{
  return (r->primary != NULL && r->primary->kind == kind)
         || (r->secondary != NULL && r->secondary->kind == kind);
}

/* Returns whether R may be run once more although it may have run. */
static bool
may_run_again (const struct request *r, bool run_open)
{
  bool repeatable = forward_request_is_generation (r)
                        ? r->route->resumable
                        : forward_request_is_repeatable (r);

  return repeatable
         && r->endpoints_run_count + run_open < r->route->endpoints_max;
}

/* Takes the repeats for what R's peer sends; returns false if R may not run
   again or too few are left. */
static bool
take_repeats (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  bool run_open = has_open (r, BERYL_EXCHANGE_RUN);
  bool runs_again = run_open || r->may_have_run;

  if (runs_again && !may_run_again (r, run_open))
    return false;
  return repeats_take (f, r, repeats_for_prompt_and_run (r), now_ms);
}

static void
end_own_attempt (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  placement_wait_end (f, r);
  relocate_end (f, r);
  if (has_open (r, BERYL_EXCHANGE_RUN))
    forward_request_record_lost_run (f, r, now_ms);
  while (r->primary != NULL)
    forward_exchange_detach (f, r, r->primary);
  generation_release (f, r, now_ms);
  r->buffered.count = 0;
}

bool
handoff_start (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  struct beryl_exchange_start start = { .kind = BERYL_EXCHANGE_HANDOFF };
  struct beryl_live_endpoint *peer;

  if (r->handed_over || r->answer_begun || r->handoffs == HANDOFFS_MAX
      || has_open (r, BERYL_EXCHANGE_HANDOFF)
      || crashes_is_quarantined (f, r, now_ms))
    return false;
  if (!has_open (r, BERYL_EXCHANGE_RUN) && stop_refuse (f, r, now_ms))
    return true;
  peer = choose_peer (f, r, now_ms);
  if (peer == NULL || !take_repeats (f, r, now_ms))
    return false;
  end_own_attempt (f, r, now_ms);
  forward_request_mark_tried (r, peer);
  r->handoffs++;
  r->phase = PHASE_HANDED_OFF;
  r->timer_ms = r->deadline_ms;
  start.handoff.endpoints_run = r->endpoints_run_count;
  start.handoff.configuration_version = r->routes->version;
  if (r->organisation != NULL)
    memcpy (start.handoff.organisation, r->organisation->name,
            sizeof start.handoff.organisation);
  r->primary = forward_exchange_start (f, r, &start, peer, now_ms);
  forward_request_log (f, r, "handoff", peer, "sent", r->handoffs, now_ms);
  return true;
}

bool
handoff_if_lost (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  return f->contact.state == CONTACT_LOST && handoff_start (f, r, now_ms);
}

bool
handoff_if_doubted (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  return f->contact.state != CONTACT_OK && handoff_start (f, r, now_ms);
}

/* Requests that wait for an answer which will not come: those that may not be
   run again are left, since their endpoint may still answer on a connection
   that has outlived the loss. */
void
handoff_all (struct beryl_forward *f, int64_t now_ms)
{
  struct request *r, *next;

  for (r = TAILQ_FIRST (&f->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, entry);
      if (r->primary == NULL || !r->primary->has_head)
        handoff_start (f, r, now_ms);
    }
}

/* The peer of R's handoff did not answer. Another one is tried, or the
   endpoints if they can be reached again. */
static void
try_again (struct beryl_forward *f, struct request *r, int64_t now_ms)
{
  if (handoff_if_doubted (f, r, now_ms))
    return;
  if (r->may_have_run || f->contact.state != CONTACT_OK)
    forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
  else if (resume_look_up (f, r, now_ms))
    return;
  else if (forward_request_is_generation (r))
    placement_start (f, r, now_ms);
  else
    plain_start (f, r, now_ms);
}

void
handoff_answer_head (struct beryl_forward *f, struct exchange *x,
                     int64_t now_ms)
{
  struct request *r = x->request;

  forward_request_log (f, r, "handoff", x->endpoint,
                       x->head.declined ? "declined" : "answered",
                       x->head.status, now_ms);
  if (x->head.declined)
    {
      x->endpoint->info.leaving = true;
      forward_exchange_abort (f, x);
      try_again (f, r, now_ms);
      return;
    }
  beryl_live_record_outcome (x->endpoint, BERYL_LIVE_ANSWERED,
                             now_ms - x->started_ms, now_ms);
  forward_request_record_run (r);
  r->last_event_ms = now_ms;
}

void
handoff_interrupted (struct beryl_forward *f, struct request *r, bool may_run,
                     int64_t now_ms)
{
  if (r->answer_begun)
    {
      forward_request_fail (f, r, BERYL_REFUSAL_ENDPOINT_FAILED, now_ms);
      return;
    }
  if (may_run)
    {
      forward_request_record_run (r);
      repeats_count_handoff (r);
    }
  try_again (f, r, now_ms);
}
