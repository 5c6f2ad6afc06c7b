#include "private.h"

#include <string.h>

/* Reports between nodes of endpoint states that the endpoint list does not
   show yet. Entries of dead endpoints stay listed for seconds, and with many
   nodes each of them calls an endpoint rarely: without reports every node
   would wait for a connection timeout, or use one of its few repeats, at each
   dead endpoint. */

/* How long a replaced endpoint is reported; long enough for a report to arrive
   although datagrams are lost, and for the endpoint's list entry to expire. */
#define REPLACED_REPORT_MS 3000
/* How long a leaving endpoint is reported; likewise. A node that starts later
   learns it from the list, or from an answer of its own. */
#define LEAVING_REPORT_MS 3000
/* How long an endpoint that resets connections is reported. */
#define RESETTING_REPORT_MS 500
/* How long an unreachable endpoint is reported; it may be back after that. */
#define UNREACHABLE_REPORT_MS 1000
/* How long an engine that was reported to change its stage is avoided; the
   report is repeated while the change lasts. */
#define CHANGING_AVOID_MS 2000
/* A peer that reports more than one in this many endpoints as unreachable is
   assumed to be cut off itself, and its reports of unreachable endpoints are
   ignored. */
#define UNREACHABLE_MAX_DIVISOR 3

void
beryl_endpoint_set_add (struct beryl_endpoint_set *set, uint32_t hash)
{
  if (set->count < BERYL_ENDPOINT_SET_MAX)
    set->hashes[set->count++] = hash;
}

static void
log_state (struct beryl_forward *f, const struct beryl_live_endpoint *endpoint,
           const char *what, const char *from)
{
  if (f->owner->impl->log_endpoint_state != NULL)
    f->owner->impl->log_endpoint_state (f->owner, endpoint, what, from);
}

void
endpoint_report_replaced (struct beryl_forward *f,
                          struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  if (endpoint->replaced_ms != 0)
    return;
  beryl_live_mark_replaced (endpoint, now_ms);
  crashes_endpoint_ended (f, endpoint, now_ms);
  f->report_due = true;
  log_state (f, endpoint, "replaced", "own call");
}

void
endpoint_report_leaving (struct beryl_forward *f,
                         struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  if (!beryl_live_mark_leaving (endpoint, now_ms))
    return;
  f->report_due = true;
  log_state (f, endpoint, "leaving", "own call");
}

void
endpoint_report_unreachable (struct beryl_forward *f, const struct exchange *x,
                             int64_t now_ms)
{
  beryl_live_mark_unreachable (x->endpoint, now_ms);
  x->endpoint->unreachable_begun_ms = x->started_ms;
  f->report_due = true;
}

/* A node that may have lost the connection to all endpoints has nothing to say
   of any: two such nodes would make all others avoid sound endpoints. */
static bool
is_known_unreachable (const struct beryl_forward *f,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms)
{
  return endpoint->unreachable_ms != 0
         && now_ms - endpoint->unreachable_ms < UNREACHABLE_REPORT_MS
         && contact_since (f, endpoint->unreachable_begun_ms);
}

static bool
is_resetting (const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  const struct beryl_connection_share *share = &endpoint->connections;

  return (share->reset_ms != 0
          && now_ms - share->reset_ms < RESETTING_REPORT_MS)
         || (share->doubted_ms != 0
             && now_ms - share->doubted_ms < RESETTING_REPORT_MS);
}

void
beryl_forward_endpoint_reports (const struct beryl_forward *f,
                                struct beryl_endpoint_updates *reports,
                                int64_t now_ms)
{
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      uint32_t hash;

      if (endpoint->replaced_ms == 0 && endpoint->unreachable_ms == 0
          && !endpoint->says_leaving && !is_resetting (endpoint, now_ms))
        continue;
      hash = beryl_live_hash (endpoint);
      if (is_resetting (endpoint, now_ms))
        beryl_endpoint_set_add (&reports->resetting, hash);
      if (endpoint->says_leaving
          && now_ms - endpoint->leaving_since_ms < LEAVING_REPORT_MS)
        beryl_endpoint_set_add (&reports->leaving, hash);
      if (endpoint->replaced_ms != 0)
        {
          if (now_ms - endpoint->replaced_ms < REPLACED_REPORT_MS)
            beryl_endpoint_set_add (&reports->replaced, hash);
        }
      else if (is_known_unreachable (f, endpoint, now_ms))
        beryl_endpoint_set_add (&reports->unreachable, hash);
    }
}

static bool
set_has (const struct beryl_endpoint_set *set, uint32_t hash)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->hashes[i] == hash)
      return true;
  return false;
}

static void
apply_report (struct beryl_forward *f, const char *peer, uint32_t peer_hash,
              const struct beryl_endpoint_updates *reports,
              struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  uint32_t hash = beryl_live_hash (endpoint);

  if (set_has (&reports->changing, hash))
    endpoint->stage_change_until_ms = now_ms + CHANGING_AVOID_MS;
  if (set_has (&reports->replaced, hash) && endpoint->replaced_ms == 0)
    {
      beryl_live_mark_replaced (endpoint, now_ms);
      crashes_endpoint_ended (f, endpoint, now_ms);
      log_state (f, endpoint, "replaced", peer);
    }
  if (set_has (&reports->resetting, hash))
    endpoint->connections.told_ms = now_ms;
  if (set_has (&reports->leaving, hash)
      && beryl_live_mark_leaving (endpoint, now_ms))
    log_state (f, endpoint, "leaving", peer);
  if (set_has (&reports->unreachable, hash)
      && beryl_live_suspect (endpoint, peer_hash, now_ms))
    log_state (f, endpoint, "unreachable", peer);
}

void
beryl_forward_peer_endpoint_reports (
    struct beryl_forward *f, const char *peer,
    const struct beryl_endpoint_updates *reports, int64_t now_ms)
{
  size_t count = beryl_live_set_count (f->endpoints);
  uint32_t peer_hash = beryl_name_hash (peer);
  struct beryl_endpoint_updates accepted = *reports;

  if (reports->unreachable.count * UNREACHABLE_MAX_DIVISOR > count)
    accepted.unreachable.count = 0;
  if (accepted.changing.count + accepted.replaced.count
          + accepted.unreachable.count + accepted.leaving.count
          + accepted.resetting.count
      == 0)
    return;
  for (size_t i = 0; i < count; i++)
    apply_report (f, peer, peer_hash, &accepted,
                  beryl_live_set_get (f->endpoints, i), now_ms);
}
