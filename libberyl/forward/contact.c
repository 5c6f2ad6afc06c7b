#include "private.h"

#include <string.h>

/* Detects that this node has lost the connection to all endpoints, while its
   callers, its peers and the platform may still reach it. Failed connections
   to several endpoints raise a doubt, which dialling others confirms or
   clears: the endpoints that failed may have crashed together. */

/* Endpoints to which connections must fail before others are dialled. */
#define DOUBT_ENDPOINTS 2
/* Endpoints that are dialled to confirm or clear a doubt, and in each round
   while all are lost. */
#define DOUBT_DIALS 8
#define LOST_DIALS 3
/* One of so many is that which answered last. */
#define DIALS_PER_NEWEST 4
/* Longer than the timeout of other connections, so that a slow node does not
   take its own delays for lost endpoints. */
#define DIAL_TIMEOUT_MS 400
#define ROUND_INTERVAL_MS 400
/* How long after a failed connection another one may show that the endpoint
   was the cause. */
#define CONFIRM_MAX_MS 1000

static bool
is_known (const struct beryl_live_endpoint *endpoint)
{
  return !endpoint->gone && endpoint->replaced_ms == 0;
}

/* Returns whether a connection to ENDPOINT has failed since this node last
   reached any endpoint. */
static bool
has_failed (const struct beryl_forward *f,
            const struct beryl_live_endpoint *endpoint)
{
  return endpoint->connect_failed_ms > f->contact.reached_ms;
}

static bool
is_doubtful (const struct beryl_forward *f)
{
  uint32_t known = 0, failed = 0;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (!is_known (endpoint))
        continue;
      known++;
      failed += has_failed (f, endpoint);
    }
  return failed > 0
         && failed >= (known < DOUBT_ENDPOINTS ? known : DOUBT_ENDPOINTS);
}

/* What failed during the loss says nothing about the endpoints. They would be
   avoided for seconds after its end, and generations would find no engine. */
static void
forget_failures (struct beryl_forward *f)
{
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (endpoint->connect_failed_ms != 0)
        beryl_live_forget_failures (endpoint);
    }
}

static void
set_state (struct beryl_forward *f, enum contact_state state, int64_t now_ms)
{
  struct contact *c = &f->contact;
  bool was_lost = c->state == CONTACT_LOST;
  int64_t lasted_ms = now_ms - c->since_ms;

  if (c->state == state)
    return;
  c->state = state;
  c->since_ms = now_ms;
  if (state != CONTACT_LOST && !was_lost)
    return;
  f->report_due = true;
  c->handoff_due = state == CONTACT_LOST;
  if (was_lost)
    forget_failures (f);
  if (f->owner->impl->contact_changed != NULL)
    f->owner->impl->contact_changed (f->owner, state == CONTACT_LOST,
                                     lasted_ms);
}

static void
dial (struct beryl_forward *f, struct beryl_live_endpoint *endpoint,
      int64_t now_ms)
{
  struct beryl_exchange_start start
      = { .kind = BERYL_EXCHANGE_DIAL, .connect_timeout_ms = DIAL_TIMEOUT_MS };

  forward_exchange_start (f, NULL, &start, endpoint, now_ms)->contact_dial
      = true;
  f->contact.dials_open++;
}

static bool
is_chosen (struct beryl_live_endpoint *const *chosen, uint32_t count,
           const struct beryl_live_endpoint *endpoint)
{
  for (uint32_t i = 0; i < count; i++)
    if (chosen[i] == endpoint)
      return true;
  return false;
}

/* Returns the endpoint to dial next, of those that have failed or of the
   others; NULL if all are chosen.  That which answered last tells most, but
   those of a rack, which may have died together, have answered last together:
   most are chosen at random. */
static struct beryl_live_endpoint *
choose_to_dial (struct beryl_forward *f, bool failed,
                struct beryl_live_endpoint *const *chosen, uint32_t count)
{
  bool newest = count % DIALS_PER_NEWEST == 0;
  struct beryl_live_endpoint *best = NULL;
  uint32_t equals = 0;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (!is_known (endpoint) || has_failed (f, endpoint) != failed
          || is_chosen (chosen, count, endpoint))
        continue;
      if (newest && best != NULL && endpoint->answered_ms < best->answered_ms)
        continue;
      if (newest && best != NULL && endpoint->answered_ms > best->answered_ms)
        equals = 0;
      if (random_next (&f->random) % ++equals == 0)
        best = endpoint;
    }
  return best;
}

/* Dials up to COUNT endpoints, of those that have failed or of the others;
   returns how many. */
static uint32_t
dial_some (struct beryl_forward *f, bool failed, uint32_t count,
           int64_t now_ms)
{
  struct beryl_live_endpoint *chosen[DOUBT_DIALS];
  uint32_t dialled = 0;

  while (dialled < count
         && (chosen[dialled] = choose_to_dial (f, failed, chosen, dialled))
                != NULL)
    dialled++;
  for (uint32_t i = 0; i < dialled; i++)
    dial (f, chosen[i], now_ms);
  return dialled;
}

static void
start_round (struct beryl_forward *f, uint32_t dials, int64_t now_ms)
{
  uint32_t dialled;

  f->contact.round_ms = now_ms + ROUND_INTERVAL_MS;
  dialled = dial_some (f, false, dials, now_ms);
  dial_some (f, true, dials - dialled, now_ms);
}

static void
end_dial (struct beryl_forward *f, struct exchange *x)
{
  if (!x->contact_dial)
    return;
  x->contact_dial = false;
  f->contact.dials_open--;
}

bool
contact_since (const struct beryl_forward *f, int64_t begun_ms)
{
  return f->contact.reached_ms >= begun_ms;
}

/* Concludes from the endpoints that were reached which others have ended. What
   failed long before may have been during a short partition. */
static void
confirm_ends (struct beryl_forward *f, int64_t now_ms)
{
  if (!f->contact.ends_unconfirmed)
    return;
  f->contact.ends_unconfirmed = false;
  f->report_due = true;
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (!endpoint->end_unconfirmed)
        continue;
      endpoint->end_unconfirmed
          = !contact_since (f, endpoint->connect_failed_ms);
      if (endpoint->end_unconfirmed)
        f->contact.ends_unconfirmed = true;
      else if (f->contact.reached_ms
               < endpoint->connect_failed_ms + CONFIRM_MAX_MS)
        crashes_endpoint_ended (f, endpoint, now_ms);
    }
}

void
contact_failed (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct contact *c = &f->contact;
  bool may_have_crashed = x->kind == BERYL_EXCHANGE_DIAL && !x->contact_dial;

  end_dial (f, x);
  x->endpoint->connect_failed_ms = x->started_ms;
  x->endpoint->end_unconfirmed = true;
  c->ends_unconfirmed = true;
  confirm_ends (f, now_ms);
  if (c->state == CONTACT_OK && is_doubtful (f))
    {
      set_state (f, CONTACT_DOUBTED, now_ms);
      start_round (f, DOUBT_DIALS, now_ms);
    }
  else if (c->state == CONTACT_DOUBTED && c->dials_open == 0)
    set_state (f, is_doubtful (f) ? CONTACT_LOST : CONTACT_OK, now_ms);
  /* There may be no other exchange soon that would show the cause. */
  if (may_have_crashed && x->endpoint->end_unconfirmed && c->dials_open == 0)
    dial_some (f, false, 1, now_ms);
}

/* A connection that was opened earlier may outlive a partition, so only
   exchanges that began after the loss show its end. */
void
contact_answered (struct beryl_forward *f, struct exchange *x, int64_t now_ms)
{
  struct contact *c = &f->contact;

  end_dial (f, x);
  x->endpoint->connect_failed_ms = 0;
  x->endpoint->end_unconfirmed = false;
  if (x->started_ms > c->reached_ms)
    c->reached_ms = x->started_ms;
  if ((c->state == CONTACT_LOST && x->started_ms >= c->since_ms)
      || (c->state == CONTACT_DOUBTED && !is_doubtful (f)))
    set_state (f, CONTACT_OK, now_ms);
  confirm_ends (f, now_ms);
}

bool
beryl_forward_reaches_endpoints (const struct beryl_forward *f)
{
  return f->contact.state != CONTACT_LOST;
}

void
contact_tick (struct beryl_forward *f, int64_t now_ms)
{
  if (f->contact.handoff_due)
    {
      f->contact.handoff_due = false;
      handoff_all (f, now_ms);
    }
  if (f->contact.state == CONTACT_LOST && now_ms >= f->contact.round_ms)
    start_round (f, LOST_DIALS, now_ms);
}

int64_t
contact_next_ms (const struct beryl_forward *f)
{
  if (f->contact.handoff_due)
    return f->contact.since_ms;
  return f->contact.state == CONTACT_LOST ? f->contact.round_ms
                                          : BERYL_NEVER_MS;
}
