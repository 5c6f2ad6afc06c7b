#include "private.h"

#include <string.h>

/* What nodes find out about endpoints and tell each other before the list of
 * endpoints shows it.  Entries of dead ones stay listed for seconds, and with
 * many nodes each calls an endpoint seldom: every node for itself lost a
 * connection's time, or one of its few repeats, to each dead endpoint. */

/* A replaced endpoint is told for so long: until the last of the datagrams
 * that may be lost has come, and its entry has lapsed. */
#define REPLACED_TOLD_MS 3000
/* One that could not be reached may be back after that. */
#define UNREACHABLE_TOLD_MS 1000
/* An engine that somebody said is changing is left alone for so long; it is
 * said again while the change goes on. */
#define CHANGING_MS 2000
/* A peer that cannot reach a larger part of all endpoints is cut off itself,
 * and nothing follows for others. */
#define UNREACHABLE_PART 3

void
beryl_endpoint_set_add (struct beryl_endpoint_set *set, uint32_t number)
{
  if (set->count < BERYL_ENDPOINT_SET_MAX)
    set->hashes[set->count++] = number;
}

static void
learned (struct beryl_forward *f, const struct beryl_live *live,
         const char *what, const char *from)
{
  if (f->owner->impl->learned != NULL)
    f->owner->impl->learned (f->owner, live, what, from);
}

void
news_replaced (struct beryl_forward *f, struct beryl_live *live,
               int64_t now_ms)
{
  if (live->replaced_ms != 0)
    return;
  beryl_live_mark_replaced (live, now_ms);
  crashes_ended (f, live, now_ms);
  f->runs_changed = true;
  learned (f, live, "replaced", "own call");
}

void
news_unreachable (struct beryl_forward *f, struct beryl_live *live,
                  int64_t now_ms)
{
  beryl_live_mark_unreachable (live, now_ms);
  f->runs_changed = true;
}

void
beryl_forward_news (const struct beryl_forward *f,
                    struct beryl_endpoint_updates *news, int64_t now_ms)
{
  for (size_t i = 0; i < beryl_live_set_count (f->lives); i++)
    {
      const struct beryl_live *live = beryl_live_set_get (f->lives, i);
      uint32_t number;

      if (live->replaced_ms == 0 && live->unreachable_ms == 0)
        continue;
      number = beryl_live_hash (live);
      if (live->replaced_ms != 0)
        {
          if (now_ms - live->replaced_ms < REPLACED_TOLD_MS)
            beryl_endpoint_set_add (&news->replaced, number);
        }
      else if (now_ms - live->unreachable_ms < UNREACHABLE_TOLD_MS)
        beryl_endpoint_set_add (&news->unreachable, number);
    }
}

static bool
set_has (const struct beryl_endpoint_set *set, uint32_t number)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->hashes[i] == number)
      return true;
  return false;
}

static void
take (struct beryl_forward *f, const char *peer, uint32_t peer_number,
      const struct beryl_endpoint_updates *news, struct beryl_live *live,
      int64_t now_ms)
{
  uint32_t number = beryl_live_hash (live);

  if (set_has (&news->changing, number))
    live->stage_change_until_ms = now_ms + CHANGING_MS;
  if (set_has (&news->replaced, number) && live->replaced_ms == 0)
    {
      beryl_live_mark_replaced (live, now_ms);
      crashes_ended (f, live, now_ms);
      learned (f, live, "replaced", peer);
    }
  if (set_has (&news->unreachable, number)
      && beryl_live_suspect (live, peer_number, now_ms))
    learned (f, live, "unreachable", peer);
}

void
beryl_forward_peer_news (struct beryl_forward *f, const char *peer,
                         const struct beryl_endpoint_updates *news,
                         int64_t now_ms)
{
  size_t count = beryl_live_set_count (f->lives);
  uint32_t peer_number = beryl_name_hash (peer);
  struct beryl_endpoint_updates believed = *news;

  if (news->unreachable.count * UNREACHABLE_PART > count)
    believed.unreachable.count = 0;
  if (believed.changing.count + believed.replaced.count
          + believed.unreachable.count
      == 0)
    return;
  for (size_t i = 0; i < count; i++)
    take (f, peer, peer_number, &believed, beryl_live_set_get (f->lives, i),
          now_ms);
}
