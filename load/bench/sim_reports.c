#include "sim_private.h"

#define EVENTS_MAX 4096

/* How often a node reads an engine's whole cache again after a gap. */
#define RESYNC_EVERY_MS 5000

void
sim_reports_sample (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      struct sim_engine *e = &sim->engines[i];
      struct sim_sample *s = &e->samples[e->sample_count++ % SIM_SAMPLES];
      *s = (struct sim_sample){ .at_ms = sim->now_ms };
      if (!e->model)
        {
          s->load.decoding = e->running + g_queue_get_length (&e->queue);
          continue;
        }
      engine_model_load (e->model, &s->load, sim->now_ms);
      s->cache_last = engine_cache_last (engine_model_cache (e->model));
    }
}

static const struct sim_sample *
visible_sample (const struct sim *sim, const struct sim_engine *e)
{
  int64_t lag = sim->settings->exact ? 0 : sim->settings->report_lag_ms;
  uint64_t back = (uint64_t)(lag / SIM_REPORT_EVERY_MS) + 1;
  if (e->sample_count < back)
    return NULL;
  return &e->samples[(e->sample_count - back) % SIM_SAMPLES];
}

static void
send_load (struct sim *sim, const struct sim_engine *e,
           const struct sim_sample *s, struct beryl_router *r)
{
  struct beryl_load_report report = {
    .endpoint = e->endpoint->name,
    .measured_ms = s->at_ms,
    .decoding = s->load.decoding,
    .prefill_queue = s->load.prefill_queue,
    .prefill_queue_tokens = s->load.prefill_queue_tokens,
    .kv_bytes_held = s->load.kv_bytes_held,
  };
  beryl_router_load_report (r, &report, sim->now_ms);
}

static void
send_events (struct sim *sim, const struct sim_engine *e,
             const struct engine_cache_change *changes, size_t count,
             struct beryl_router *r)
{
  double loss = sim->settings->exact ? 0 : sim->settings->event_loss;
  bool lie = sim_fault_active (sim, SIM_FAULT_EVENTS_LIE);
  for (size_t i = 0; i < count; i++)
    {
      struct beryl_cache_event event = {
        .endpoint = e->endpoint->name,
        .sequence = changes[i].sequence,
        .added = lie ? !changes[i].added : changes[i].added,
        .block_hash = changes[i].block,
      };
      if (sim_random (sim) >= loss)
        beryl_router_cache_event (r, &event, sim->now_ms);
    }
}

static void
resync (struct sim *sim, const struct sim_engine *e, struct beryl_router *r)
{
  static uint64_t blocks[EVENTS_MAX];
  struct engine_cache *cache = engine_model_cache (e->model);
  size_t n;
  if (!beryl_router_cache_has_gap (r, e->endpoint->name))
    return;
  n = engine_cache_blocks (cache, blocks, EVENTS_MAX);
  beryl_router_cache_resync (r, e->endpoint->name, engine_cache_last (cache),
                             blocks, n, sim->now_ms);
}

void
sim_reports_send (struct sim *sim)
{
  static struct engine_cache_change changes[EVENTS_MAX];
  if (sim_fault_active (sim, SIM_FAULT_REPORTS_STOP))
    return;
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      struct sim_engine *e = &sim->engines[i];
      const struct sim_sample *s = visible_sample (sim, e);
      size_t count = 0;
      if (!s || e->dead)
        continue;
      if (e->model)
        {
          count = engine_cache_changes (engine_model_cache (e->model), e->told,
                                        changes, EVENTS_MAX);
          while (count > 0 && changes[count - 1].sequence > s->cache_last)
            count--;
          e->told = MAX (e->told, s->cache_last);
        }
      for (uint32_t n = 0; n < sim->node_count; n++)
        {
          struct beryl_router *r = sim->nodes[n].router;
          if (sim_random (sim) >= sim->settings->report_loss)
            send_load (sim, e, s, r);
          send_events (sim, e, changes, count, r);
          if (e->model && sim->now_ms % RESYNC_EVERY_MS == 0)
            resync (sim, e, r);
        }
    }
}
