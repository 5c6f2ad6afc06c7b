/* Holds of this process at engines, and their cancellation. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private.h"

/* A cancel can overtake the call that it is meant for; the engine then
 * confirms that nothing is held and takes memory afterwards.  Calls in flight
 * arrive within this time, so a later confirmation is final. */
#define CANCEL_SETTLE_MS 300
#define CANCEL_FIRST_BACKOFF_MS 250
#define CANCEL_MAX_BACKOFF_MS 2000
/* A graceful shutdown waits for the confirmation until more cancels than this
 * were sent: the control daemon of this instance cancels this incarnation's
 * window once the process has ended. */
#define CANCELS_BEFORE_STOP 4

static struct hold **
hold_find (struct beryl_requests *requests, const char *endpoint,
           struct beryl_stream_id stream)
{
  struct hold **at = &requests->holds;

  while (*at != NULL
         && ((*at)->stream.counter != stream.counter
             || (*at)->stream.incarnation != stream.incarnation
             || strcmp ((*at)->endpoint, endpoint) != 0))
    at = &(*at)->next;
  return at;
}

static void
hold_emit (struct beryl_requests *requests, enum beryl_action_type type,
           const struct hold *hold)
{
  struct beryl_action action = { .type = type };

  action.hold.endpoint = hold->endpoint;
  action.hold.stream = hold->stream;
  requests_emit (requests, &action);
}

/* A hold is recorded before it is created.  If the process dies in between,
 * its control daemon cancels a stream that does not exist, which is harmless;
 * in the opposite order, engine memory would stay occupied by an unknown
 * stream. */
bool
hold_record (struct beryl_requests *requests, const char *endpoint,
             struct beryl_stream_id stream)
{
  struct hold *hold;

  if (BERYL_GUARD (BERYL_GUARD_HOLD_FIRST,
                   *hold_find (requests, endpoint, stream) != NULL))
    return true;
  hold = calloc (1, sizeof *hold);
  if (hold == NULL)
    return false;
  snprintf (hold->endpoint, sizeof hold->endpoint, "%s", endpoint);
  hold->stream = stream;
  hold->next_ms = BERYL_NEVER_MS;
  hold->next = requests->holds;
  requests->holds = hold;
  hold_emit (requests, BERYL_ACTION_HOLD_RECORD, hold);
  return true;
}

static void
hold_erase (struct beryl_requests *requests, struct hold **at)
{
  struct hold *hold = *at;

  *at = hold->next;
  hold_emit (requests, BERYL_ACTION_HOLD_ERASE, hold);
  free (hold);
}

/* Erases a hold that no longer exists, unless it is being cancelled: then it
 * is kept until the cancel is confirmed or the endpoint is removed. */
void
hold_erase_if_active (struct beryl_requests *requests, const char *endpoint,
                      struct beryl_stream_id stream)
{
  struct hold **at = hold_find (requests, endpoint, stream);

  if (*at != NULL && !(*at)->cancelling)
    hold_erase (requests, at);
}

static void
hold_send_cancel (struct beryl_requests *requests, struct hold *hold,
                  int64_t now_ms)
{
  hold->cancels++;
  hold->next_ms = now_ms + hold->backoff_ms;
  hold->backoff_ms *= 2;
  if (hold->backoff_ms > CANCEL_MAX_BACKOFF_MS)
    hold->backoff_ms = CANCEL_MAX_BACKOFF_MS;
  hold_emit (requests, BERYL_ACTION_CANCEL, hold);
}

void
hold_cancel (struct beryl_requests *requests, const char *endpoint,
             struct beryl_stream_id stream, bool in_flight, int64_t now_ms)
{
  struct hold *hold = *hold_find (requests, endpoint, stream);

  if (hold == NULL || hold->cancelling)
    return;
  hold->cancelling = true;
  hold->final_from_ms = in_flight ? now_ms + CANCEL_SETTLE_MS : now_ms;
  hold->backoff_ms = CANCEL_FIRST_BACKOFF_MS;
  hold_send_cancel (requests, hold, now_ms);
}

void
hold_confirmed (struct beryl_requests *requests, const char *endpoint,
                struct beryl_stream_id stream, int64_t now_ms)
{
  struct hold **at = hold_find (requests, endpoint, stream);

  if (*at == NULL || !(*at)->cancelling)
    return;
  if (BERYL_GUARD (BERYL_GUARD_CANCEL_SETTLE, now_ms >= (*at)->final_from_ms))
    hold_erase (requests, at);
  else
    (*at)->next_ms = (*at)->final_from_ms;
}

void
holds_retry_cancels (struct beryl_requests *requests, int64_t now_ms)
{
  for (struct hold *h = requests->holds; h != NULL; h = h->next)
    {
      /* A cancel or its reply may be lost, and the stream would keep occupying
       * the engine: the cancel is repeated when due, until it is confirmed. */
      if (BERYL_GUARD (BERYL_GUARD_CANCEL_REPEAT, now_ms < h->next_ms))
        continue;
      hold_send_cancel (requests, h, now_ms);
    }
}

static bool
endpoint_listed (const struct beryl_config *config, const char *name)
{
  for (size_t i = 0; i < config->endpoint_count; i++)
    if (strcmp (config->endpoints[i].name, name) == 0)
      return true;
  return false;
}

/* An endpoint that is no longer in the configuration will never confirm. */
void
holds_drop_removed_endpoints (struct beryl_requests *requests)
{
  struct hold **at = &requests->holds;

  while (*at != NULL)
    if ((*at)->cancelling
        && !endpoint_listed (requests->config, (*at)->endpoint))
      hold_erase (requests, at);
    else
      at = &(*at)->next;
}

int64_t
holds_next_ms (const struct beryl_requests *requests)
{
  int64_t next_ms = BERYL_NEVER_MS;

  for (const struct hold *h = requests->holds; h != NULL; h = h->next)
    if (h->next_ms < next_ms)
      next_ms = h->next_ms;
  return next_ms;
}

bool
holds_cancelling (const struct beryl_requests *requests)
{
  for (const struct hold *h = requests->holds; h != NULL; h = h->next)
    if (h->cancelling && h->cancels <= CANCELS_BEFORE_STOP)
      return true;
  return false;
}

void
holds_clear (struct beryl_requests *requests)
{
  struct hold *hold;

  while ((hold = requests->holds) != NULL)
    {
      requests->holds = hold->next;
      free (hold);
    }
}
