#include "claims_link.h"

/* A claim that is refused for want of a platform. */
struct refusal
{
  struct entry *entry;
  struct loop_timer *timer;
  uint64_t request;
};

static void
refuse (void *user)
{
  struct refusal *refusal = user;
  struct beryl_event event = {
    .type = BERYL_EVENT_CLAIM_RESULT,
    .request = refusal->request,
  };

  event.claim.result = BERYL_CLAIM_UNAVAILABLE;
  loop_timer_stop (refusal->timer);
  entry_event (refusal->entry, &event);
  g_free (refusal);
}

void
claims_link_claim (struct entry *entry, const struct beryl_action *action)
{
  struct refusal *refusal = g_new0 (struct refusal, 1);

  refusal->entry = entry;
  refusal->request = action->request;
  refusal->timer = loop_timer_start (entry->loop, 0, 0, refuse, refusal);
}
