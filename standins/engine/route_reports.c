#include "server_private.h"

#include <stdlib.h>

#define EVENTS_MAX 2000
#define EVENTS_WAIT_MAX_MS 30000

/* One event in this many is left out while drop_events is set. */
#define DROP_ONE_IN 3

const struct engine_sample *
engine_sample_of (const struct engine_server *s, int64_t lag_ms)
{
  int64_t wanted_ms = loop_now_ms (s->loop) - lag_ms;
  uint64_t oldest = s->sample_count > ENGINE_SAMPLES
                        ? s->sample_count - ENGINE_SAMPLES
                        : 0;

  for (uint64_t i = s->sample_count; i > oldest; i--)
    {
      const struct engine_sample *sample
          = &s->samples[(i - 1) % ENGINE_SAMPLES];

      if (sample->at_ms <= wanted_ms)
        return sample;
    }
  return &s->samples[oldest % ENGINE_SAMPLES];
}

void
route_load (struct engine_server *s, struct http_exchange *ex)
{
  const struct engine_sample *sample
      = s->faults.reports_stopped
            ? &s->frozen_sample
            : engine_sample_of (s, s->settings.load_lag_ms);

  engine_respond (
      ex, 200,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I}", "decoding",
                 (json_int_t)sample->load.decoding, "slots",
                 (json_int_t)s->settings.engine.slots, "prefill_queue",
                 (json_int_t)sample->load.prefill_queue,
                 "prefill_queue_tokens",
                 (json_int_t)sample->load.prefill_queue_tokens,
                 "kv_bytes_held", (json_int_t)sample->load.kv_bytes_held,
                 "age_ms", (json_int_t)(engine_now_ms (s) - sample->at_ms)));
}

/* Which events are lost depends on their number alone, so that all readers
 * see the same gaps. */
static bool
lost (const struct engine_server *s, uint64_t sequence)
{
  uint64_t mixed = sequence * UINT64_C (0x9e3779b97f4a7c15) >> 33;

  if (s->faults.drop_events && mixed % DROP_ONE_IN == 0)
    return true;
  return mixed % 1000 < s->settings.event_loss_per_mille;
}

static uint64_t
visible_last (const struct engine_server *s)
{
  return engine_sample_of (s, s->settings.event_lag_ms)->cache_last;
}

bool
engine_events_ready (const struct engine_wait *w)
{
  return visible_last (w->server) > w->after
         || loop_now_ms (w->server->loop) >= w->until_ms;
}

static json_t *
event_json (const struct engine_server *s, const struct engine_cache_change *c)
{
  uint64_t block = s->faults.lie_events ? ~c->block : c->block;

  return json_pack ("{s:I,s:b,s:o}", "sequence", (json_int_t)c->sequence,
                    "added", c->added, "block",
                    json_sprintf ("%" G_GUINT64_FORMAT, block));
}

void
engine_events_answer (struct engine_wait *w)
{
  struct engine_server *s = w->server;
  struct http_exchange *ex = w->ex;
  struct engine_cache_change *changes
      = g_new (struct engine_cache_change, EVENTS_MAX);
  uint64_t last = visible_last (s);
  uint64_t told = MIN (w->after, last);
  size_t n = engine_cache_changes (engine_model_cache (s->model), w->after,
                                   changes, EVENTS_MAX);
  json_t *events = json_array ();

  engine_wait_end (w);
  for (size_t i = 0; i < n && changes[i].sequence <= last; i++)
    {
      told = changes[i].sequence;
      if (!lost (s, told))
        json_array_append_new (events, event_json (s, &changes[i]));
    }
  g_free (changes);
  engine_respond (
      ex, 200,
      json_pack ("{s:o,s:I}", "events", events, "last", (json_int_t)told));
}

void
route_events (struct engine_server *s, struct http_exchange *ex)
{
  char text[32] = "0";
  struct engine_wait *w = engine_wait_add (s, ex, ENGINE_WAIT_EVENTS);

  if (http_exchange_argument (ex, "after", text, sizeof text))
    w->after = strtoull (text, NULL, 10);
  g_strlcpy (text, "0", sizeof text);
  http_exchange_argument (ex, "wait_ms", text, sizeof text);
  w->until_ms = engine_now_ms (s)
                + CLAMP (strtol (text, NULL, 10), 0, EVENTS_WAIT_MAX_MS);
  if (engine_events_ready (w))
    engine_events_answer (w);
}

void
route_cache (struct engine_server *s, struct http_exchange *ex)
{
  struct engine_cache *cache = engine_model_cache (s->model);
  size_t max = s->settings.engine.cache_blocks;
  uint64_t *blocks = g_new (uint64_t, max + 1);
  size_t n = engine_cache_blocks (cache, blocks, max);
  json_t *list = json_array ();

  for (size_t i = 0; i < n; i++)
    json_array_append_new (list,
                           json_sprintf ("%" G_GUINT64_FORMAT, blocks[i]));
  g_free (blocks);
  engine_respond (ex, 200,
                  json_pack ("{s:I,s:o}", "last",
                             (json_int_t)engine_cache_last (cache), "blocks",
                             list));
}
