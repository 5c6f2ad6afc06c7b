/* Claims of shards whose home is another node. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

static struct pending_claim *
remote_take (struct remote_claim **at)
{
  struct remote_claim *remote = *at;
  struct pending_claim *pending = remote->pending;

  *at = remote->next;
  free (remote);
  return pending;
}

static struct remote_claim *
remote_detach_all (struct beryl_claims *claims)
{
  struct remote_claim *first = claims->remotes;

  claims->remotes = NULL;
  return first;
}

static void
remote_attach (struct beryl_claims *claims, struct remote_claim *remote)
{
  remote->next = claims->remotes;
  claims->remotes = remote;
}

static void
send_claim_request (struct beryl_claims *claims, struct remote_claim *remote,
                    int64_t now_ms)
{
  const struct pending_claim *pending = remote->pending;
  struct beryl_claim_message request = {
    .type = BERYL_CLAIM_REQUEST,
    .id = remote->id,
    .key_high = pending->key.high,
    .key_low = pending->key.low,
    .call_hash = pending->call_hash,
    .incarnation = pending->incarnation,
  };

  remote->due_ms = now_ms + claims->settings.request_timeout_ms;
  claims->owner->impl->send (claims->owner, remote->home, &request);
}

void
remote_claim_start (struct beryl_claims *claims, struct pending_claim *pending,
                    const char *home, int64_t now_ms)
{
  struct remote_claim *remote = calloc (1, sizeof *remote);

  if (remote == NULL)
    {
      claims_complete (claims, pending, BERYL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  remote->pending = pending;
  remote->id = ++claims->last_remote_id;
  snprintf (remote->home, sizeof remote->home, "%s", home);
  remote_attach (claims, remote);
  send_claim_request (claims, remote, now_ms);
}

/* A home that was suspended may reply after the requesting process has ended.
 * Its successor on the same node numbers requests from 1 again, so the late
 * reply's id may match a request of the successor for a different key.  The
 * reply must not grant that key. */
static bool
reply_matches (const struct beryl_claims *claims,
               const struct remote_claim *remote,
               const struct beryl_claim_message *reply)
{
  return remote->pending->key.high == reply->key_high
         && remote->pending->key.low == reply->key_low
         && (reply->result != BERYL_CLAIM_GRANTED
             || reply->incarnation == claims->settings.incarnation);
}

void
remote_claims_on_reply (struct beryl_claims *claims,
                        const struct beryl_claim_message *message)
{
  struct remote_claim **at = &claims->remotes;
  struct pending_claim *pending;

  while (*at != NULL && (*at)->id != message->id)
    at = &(*at)->next;
  if (*at == NULL
      || !BERYL_GUARD (BERYL_GUARD_CLAIM_REPLY,
                       reply_matches (claims, *at, message)))
    return;
  pending = remote_take (at);
  claims_complete (claims, pending, message->result, message->incarnation);
}

/* Handles the claim on this node: it has become home or is isolated, or the
 * home's process has ended.  Any node can write to any shard without double
 * grants, since a segment is created only if absent.  Homes make conflicts
 * rare and keep the home's index complete (see retry_remote). */
static void
claim_locally (struct beryl_claims *claims, struct remote_claim *remote,
               int64_t now_ms)
{
  struct pending_claim *pending = remote->pending;

  free (remote);
  shard_claim (
      claims_shard (claims, claims_shard_number (claims, pending->key)),
      pending, now_ms);
}

void
beryl_claims_node_down (struct beryl_claims *claims, const char *node,
                        int64_t now_ms)
{
  struct remote_claim *next;

  for (struct remote_claim *r = remote_detach_all (claims); r != NULL;
       r = next)
    {
      next = r->next;
      if (strcmp (r->home, node) != 0)
        {
          remote_attach (claims, r);
          continue;
        }
      r->pending->home_down = true;
      claim_locally (claims, r, now_ms);
    }
}

/* The home does not reply, possibly because of the network only.  Writing to
 * its shard from here would not grant a key twice, but the home would still
 * take its index for complete and, in an outage of the object API, would
 * report "not run" for a key whose call has run.  So the request is repeated
 * until the home replies or the members have another home. */
static void
retry_remote (struct beryl_claims *claims, struct remote_claim *remote,
              int64_t now_ms)
{
  uint32_t number = claims_shard_number (claims, remote->pending->key);

  if (claims_is_home (claims, number))
    {
      claim_locally (claims, remote, now_ms);
      return;
    }
  snprintf (remote->home, sizeof remote->home, "%s",
            beryl_claims_home (claims, number));
  remote_attach (claims, remote);
  send_claim_request (claims, remote, now_ms);
}

void
remote_claims_retry (struct beryl_claims *claims, int64_t now_ms)
{
  struct remote_claim *next;

  for (struct remote_claim *r = remote_detach_all (claims); r != NULL;
       r = next)
    {
      next = r->next;
      if (now_ms >= r->due_ms)
        retry_remote (claims, r, now_ms);
      else
        remote_attach (claims, r);
    }
}

void
remote_claims_clear (struct beryl_claims *claims)
{
  while (claims->remotes != NULL)
    free (remote_take (&claims->remotes));
}
