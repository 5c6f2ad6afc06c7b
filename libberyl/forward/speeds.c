#include "private.h"

/* Tells the fleet's estimates of endpoints what this node observes. */

static struct beryl_capacity_key
capacity_key (const struct service *s,
              const struct beryl_live_endpoint *endpoint, enum beryl_work work)
{
  return (struct beryl_capacity_key){ beryl_name_hash (s->name),
                                      beryl_live_hash (endpoint), work };
}

void
speeds_count_sent (struct beryl_forward *f, const struct service *s,
                   const struct beryl_live_endpoint *endpoint,
                   enum beryl_work work, uint32_t units, int64_t now_ms)
{
  struct beryl_capacity_key key = capacity_key (s, endpoint, work);

  beryl_capacity_sent (f->capacity, &key, units, now_ms);
}

void
speeds_learn (struct beryl_forward *f, const struct service *s,
              const struct beryl_live_endpoint *endpoint, enum beryl_work work,
              uint32_t units, int64_t took_ms, int64_t now_ms)
{
  struct beryl_capacity_key key = capacity_key (s, endpoint, work);

  beryl_capacity_done (f->capacity, &key, units, took_ms, now_ms);
}

void
speeds_learn_overdue (struct beryl_forward *f, const struct service *s,
                      const struct beryl_live_endpoint *endpoint,
                      enum beryl_work work, uint32_t units, int64_t open_ms,
                      int64_t now_ms)
{
  struct beryl_capacity_key key = capacity_key (s, endpoint, work);

  beryl_capacity_overdue (f->capacity, &key, units, open_ms, now_ms);
}

void
speeds_learn_full (struct beryl_forward *f, const struct service *s,
                   const struct beryl_live_endpoint *endpoint,
                   enum beryl_work work, int64_t now_ms)
{
  struct beryl_capacity_key key = capacity_key (s, endpoint, work);

  beryl_capacity_refused (f->capacity, &key, now_ms);
}

struct beryl_capacity_belief
speeds_of (struct beryl_forward *f, const struct service *s,
           const struct beryl_live_endpoint *endpoint, enum beryl_work work,
           int64_t now_ms)
{
  struct beryl_capacity_key key = capacity_key (s, endpoint, work);

  uint32_t slots = work == BERYL_WORK_CALL ? endpoint->info.slots : 0;

  return beryl_capacity_get (f->capacity, &key, slots, now_ms);
}

static enum beryl_work
work_of_stage (enum beryl_stage stage)
{
  switch (stage)
    {
    case BERYL_STAGE_PREFILL:
      return BERYL_WORK_PREFILL;
    case BERYL_STAGE_DECODE:
      return BERYL_WORK_DECODE;
    case BERYL_STAGE_NONE:
      break;
    }
  return BERYL_WORK_CALL;
}

struct beryl_capacity_belief
beryl_forward_belief (struct beryl_forward *f,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms)
{
  return speeds_of (f, forward_service (f, endpoint->info.service), endpoint,
                    work_of_stage (endpoint->info.stage), now_ms);
}
