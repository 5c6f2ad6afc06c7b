#include "private.h"

#include <string.h>

/* Reports between nodes of endpoint states that the endpoint list does not
   show yet. Entries of dead endpoints stay listed for seconds, and with many
   nodes each calls an endpoint rarely: without reports every node would lose a
   connection timeout, or one of its few repeats, to each dead endpoint. */

/* How long a replaced endpoint is reported: until one of the datagrams, some
   of which may be lost, has arrived and its entry has lapsed. */
#define REPLACED_TOLD_MS 3000
/* How long an unreachable endpoint is reported; it may be back after that. */
#define UNREACHABLE_TOLD_MS 1000
/* How long an engine that was reported to change its stage is avoided; the
   report is repeated while the change lasts. */
#define CHANGING_MS 2000
/* A peer that cannot reach more than one in this many of all endpoints is cut
   off itself, and its reports of unreachable endpoints are ignored. */
#define UNREACHABLE_PART 3

void
beryl_endpoint_set_add (struct beryl_endpoint_set *set, uint32_t number)
{
  if (set->count < BERYL_ENDPOINT_SET_MAX)
    set->numbers[set->count++] = number;
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
  beryl_live_replaced (live, now_ms);
  crashes_ended (f, live, now_ms);
  f->runs_changed = true;
  learned (f, live, "replaced", "own call");
}

void
news_unreachable (struct beryl_forward *f, struct beryl_live *live,
                  int64_t now_ms)
{
  beryl_live_unreachable (live, now_ms);
  f->runs_changed = true;
}

void
beryl_forward_news (const struct beryl_forward *f,
                    struct beryl_endpoint_news *news, int64_t now_ms)
{
  for (size_t i = 0; i < beryl_lives_count (f->lives); i++)
    {
      const struct beryl_live *live = beryl_lives_get (f->lives, i);
      uint32_t number;

      if (live->replaced_ms == 0 && live->unreachable_ms == 0)
        continue;
      number = beryl_live_number (live);
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
    if (set->numbers[i] == number)
      return true;
  return false;
}

static void
take (struct beryl_forward *f, const char *peer, uint32_t peer_number,
      const struct beryl_endpoint_news *news, struct beryl_live *live,
      int64_t now_ms)
{
  uint32_t number = beryl_live_number (live);

  if (set_has (&news->changing, number))
    live->changing_until_ms = now_ms + CHANGING_MS;
  if (set_has (&news->replaced, number) && live->replaced_ms == 0)
    {
      beryl_live_replaced (live, now_ms);
      crashes_ended (f, live, now_ms);
      learned (f, live, "replaced", peer);
    }
  if (set_has (&news->unreachable, number)
      && beryl_live_doubt (live, peer_number, now_ms))
    learned (f, live, "unreachable", peer);
}

void
beryl_forward_peer_news (struct beryl_forward *f, const char *peer,
                         const struct beryl_endpoint_news *news,
                         int64_t now_ms)
{
  size_t count = beryl_lives_count (f->lives);
  uint32_t peer_number = beryl_engine_number (peer);
  struct beryl_endpoint_news believed = *news;

  if (news->unreachable.count * UNREACHABLE_PART > count)
    believed.unreachable.count = 0;
  if (believed.changing.count + believed.replaced.count
          + believed.unreachable.count
      == 0)
    return;
  for (size_t i = 0; i < count; i++)
    take (f, peer, peer_number, &believed, beryl_lives_get (f->lives, i),
          now_ms);
}
