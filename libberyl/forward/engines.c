#include <string.h>

#include "private.h"

static bool
serves (const struct beryl_live *live, const struct request *r,
        enum beryl_stage stage)
{
  return live->info.stage == stage && beryl_live_takes_work (live)
         && strcmp (live->info.service, r->service->name) == 0;
}

/* Two random engines are compared and the one with less of this node's own
 * work is asked: nodes that all asked the emptiest would all ask the same.
 * The engine itself counts exactly and has the last word. */
struct beryl_live *
engine_choose_decode (struct beryl_forward *f, const struct request *r,
                      uint32_t tokens, int64_t now_ms)
{
  struct beryl_live *best = NULL;
  uint64_t best_cost = 0;
  size_t count = beryl_lives_count (f->lives);

  for (size_t i = 0; i < count; i++)
    {
      struct beryl_live *live = beryl_lives_get (f->lives, i);
      uint64_t cost;

      if (!serves (live, r, BERYL_STAGE_DECODE) || now_ms < live->full_until_ms
          || request_tried (r, live))
        continue;
      cost = live->reserved_tokens + forward_random (f) % tokens;
      if (beryl_live_avoided (live, now_ms))
        cost += UINT64_C (1) << 40;
      if (best == NULL || cost < best_cost)
        {
          best = live;
          best_cost = cost;
        }
    }
  return best;
}

struct beryl_live *
engine_choose_prefill (struct beryl_forward *f, const struct request *r,
                       int64_t now_ms)
{
  struct beryl_live *best = NULL;
  uint64_t best_cost = 0;
  size_t count = beryl_lives_count (f->lives);

  for (size_t i = 0; i < count; i++)
    {
      struct beryl_live *live = beryl_lives_get (f->lives, i);
      uint64_t cost;

      if (!serves (live, r, BERYL_STAGE_PREFILL)
          || beryl_live_avoided (live, now_ms))
        continue;
      cost = live->prefill_tokens * 256 + forward_random (f) % 256;
      if (best == NULL || cost < best_cost)
        {
          best = live;
          best_cost = cost;
        }
    }
  return best;
}
