#include "../base/guard.h"
#include "beryl/holds.h"

static bool
link_proves_death (const struct beryl_death_evidence *evidence, int64_t now_ms)
{
  return evidence->link_broken
         && now_ms - evidence->link_broken_ms >= BERYL_DEATH_LINK_GRACE_MS;
}

/* The platform's list lags and flaps: a live instance may be missing from it
 * for a while.  An instance counts as dead only if it is missing for long and
 * nobody has heard of it in that time.  A node that others still hear, or a
 * list that cannot be read, proves nothing; cancelling the streams of a live
 * node would cut off its callers. */
static bool
list_proves_death (const struct beryl_death_evidence *evidence, int64_t now_ms)
{
  return evidence->list_current && !evidence->listed
         && now_ms - evidence->delisted_ms >= BERYL_DEATH_DELISTED_MS
         && BERYL_GUARD (BERYL_GUARD_DEATH_CONTACT,
                         now_ms - evidence->last_heard_ms
                             >= BERYL_DEATH_DELISTED_MS);
}

enum beryl_death_proof
beryl_death_evaluate (const struct beryl_death_evidence *evidence,
                      int64_t now_ms)
{
  if (evidence->address_incarnation > evidence->incarnation)
    return BERYL_DEATH_NEWER_INCARNATION;
  if (link_proves_death (evidence, now_ms))
    return BERYL_DEATH_LINK_BROKEN;
  if (list_proves_death (evidence, now_ms))
    return BERYL_DEATH_DELISTED;
  return BERYL_DEATH_NONE;
}

const char *
beryl_death_proof_name (enum beryl_death_proof proof)
{
  switch (proof)
    {
    case BERYL_DEATH_NONE:
      return "none";
    case BERYL_DEATH_LINK_BROKEN:
      return "link_broken";
    case BERYL_DEATH_NEWER_INCARNATION:
      return "newer_incarnation";
    case BERYL_DEATH_DELISTED:
      return "delisted";
    }
  return "none";
}
