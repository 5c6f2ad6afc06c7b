/* Claims of shards whose home is another node. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim_private.h"

static struct waiting *
asked_take (struct asked **at)
{
  struct asked *asked = *at;
  struct waiting *waiting = asked->waiting;

  *at = asked->next;
  free (asked);
  return waiting;
}

static struct asked *
asked_detach (struct beryl_claims *claims)
{
  struct asked *first = claims->asked;

  claims->asked = NULL;
  return first;
}

static void
asked_attach (struct beryl_claims *claims, struct asked *asked)
{
  asked->next = claims->asked;
  claims->asked = asked;
}

static void
asked_send (struct beryl_claims *claims, struct asked *asked, int64_t now_ms)
{
  const struct waiting *waiting = asked->waiting;
  struct beryl_claim_message ask = {
    .type = BERYL_CLAIM_ASK,
    .id = asked->id,
    .key_high = waiting->key.high,
    .key_low = waiting->key.low,
    .body_hash = waiting->body_hash,
    .incarnation = waiting->incarnation,
  };

  asked->due_ms = now_ms + claims->settings.ask_timeout_ms;
  claims->owner->impl->send (claims->owner, asked->home, &ask);
}

void
ask_home (struct beryl_claims *claims, struct waiting *waiting,
          const char *home, int64_t now_ms)
{
  struct asked *asked = calloc (1, sizeof *asked);

  if (asked == NULL)
    {
      claims_answer (claims, waiting, BERYL_CLAIM_UNAVAILABLE, 0);
      return;
    }
  asked->waiting = waiting;
  asked->id = ++claims->last_ask;
  snprintf (asked->home, sizeof asked->home, "%s", home);
  asked_attach (claims, asked);
  asked_send (claims, asked, now_ms);
}

/* A home that was stopped answers late: to a process that has gone, whose
 * successor at the same node counts its asks from 1 again.  That reply would
 * grant the successor another key. */
static bool
reply_fits (const struct beryl_claims *claims, const struct asked *asked,
            const struct beryl_claim_message *reply)
{
  return asked->waiting->key.high == reply->key_high
         && asked->waiting->key.low == reply->key_low
         && (reply->result != BERYL_CLAIM_GRANTED
             || reply->incarnation == claims->settings.incarnation);
}

void
ask_on_reply (struct beryl_claims *claims,
              const struct beryl_claim_message *message)
{
  struct asked **at = &claims->asked;
  struct waiting *waiting;

  while (*at != NULL && (*at)->id != message->id)
    at = &(*at)->next;
  if (*at == NULL
      || !BERYL_GUARD (BERYL_GUARD_CLAIM_REPLY,
                       reply_fits (claims, *at, message)))
    return;
  waiting = asked_take (at);
  claims_answer (claims, waiting, message->result, message->incarnation);
}

/* The home's process is gone.  Any node may write to any shard: the creation
 * only if absent is the fence, homes only keep the races rare. */
static void
claim_here (struct beryl_claims *claims, struct asked *asked, int64_t now_ms)
{
  struct waiting *waiting = asked->waiting;

  free (asked);
  shard_ask (claims_shard (claims, claims_shard_number (claims, waiting->key)),
             waiting, now_ms);
}

void
beryl_claims_unreachable (struct beryl_claims *claims, const char *node,
                          int64_t now_ms)
{
  struct asked *next;

  for (struct asked *a = asked_detach (claims); a != NULL; a = next)
    {
      next = a->next;
      if (strcmp (a->home, node) != 0)
        {
          asked_attach (claims, a);
          continue;
        }
      a->waiting->forced = true;
      claim_here (claims, a, now_ms);
    }
}

/* The home does not answer, which may be due to the network only.  Writing
 * behind its back would be safe against running a key twice, but the home
 * would go on to believe that it knows every key, and in an outage it would
 * call a key "not run" that has run.  So it is asked again until it answers
 * or until the members have another home. */
static void
ask_again (struct beryl_claims *claims, struct asked *asked, int64_t now_ms)
{
  uint32_t number = claims_shard_number (claims, asked->waiting->key);

  if (claims_is_home (claims, number))
    {
      claim_here (claims, asked, now_ms);
      return;
    }
  snprintf (asked->home, sizeof asked->home, "%s",
            beryl_claims_home (claims, number));
  asked_attach (claims, asked);
  asked_send (claims, asked, now_ms);
}

void
ask_step (struct beryl_claims *claims, int64_t now_ms)
{
  struct asked *next;

  for (struct asked *a = asked_detach (claims); a != NULL; a = next)
    {
      next = a->next;
      if (now_ms >= a->due_ms)
        ask_again (claims, a, now_ms);
      else
        asked_attach (claims, a);
    }
}

void
ask_clear (struct beryl_claims *claims)
{
  while (claims->asked != NULL)
    free (asked_take (&claims->asked));
}
