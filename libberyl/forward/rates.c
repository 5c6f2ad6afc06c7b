#include "private.h"

/* Endpoints that take only so many requests a second. */

void
rates_heard (struct beryl_forward *f, const struct exchange *x,
             const struct beryl_rate_limit *limit, int64_t now_ms)
{
  struct beryl_live *live = x->live;

  if (live->limit.named == limit->named
      && live->limit.milli_per_s == limit->milli_per_s)
    return;
  live->limit = *limit;
  if (f->owner->impl->learned != NULL)
    f->owner->impl->learned (
        f->owner, live, limit->named ? "limited" : "unlimited", "own call");
}
