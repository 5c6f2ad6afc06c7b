#include "beryl/revision.h"
#include "private.h"

/* Eras of the platform.  In a new one it has come back from an older copy:
   everything known of it is listed again. */

bool
beryl_platform_set_era (struct beryl_platform *p, uint64_t call, uint64_t era,
                        int64_t now_ms)
{
  struct watch *w, *next_watch;
  struct fetch *f;

  if (era <= p->era)
    return era == p->era;
  p->era = era;
  p->counts.restored++;
  for (w = LIST_FIRST (&p->watches); w; w = next_watch)
    {
      next_watch = LIST_NEXT (w, entry);
      platform_watch_restart (p, w, call, now_ms);
    }
  for (f = LIST_FIRST (&p->fetches); f; f = LIST_NEXT (f, entry))
    platform_fetch_restart (f);
  return true;
}

uint64_t
beryl_platform_era (const struct beryl_platform *p)
{
  return p->era;
}
