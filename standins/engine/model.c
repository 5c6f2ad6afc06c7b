#include "model_private.h"

#include <string.h>

#include "beryl/clock.h"

static int64_t
to_us (int64_t ms)
{
  return ms * 1000;
}

static int64_t
to_ms (int64_t us)
{
  return (us + 999) / 1000;
}

struct engine_model *
engine_model_create (const struct engine_settings *settings,
                     struct engine_sink *sink)
{
  struct engine_model *m = g_new0 (struct engine_model, 1);

  m->settings = *settings;
  m->sink = sink;
  m->cache = engine_cache_create (settings->cache_blocks);
  m->streams = g_ptr_array_new ();
  m->runs = g_array_new (FALSE, TRUE, sizeof (struct engine_run));
  m->link_factor = 1;
  m->next_handle = 1;
  return m;
}

static void
live_free (struct live *l)
{
  g_free (l->blocks);
  g_free (l);
}

void
engine_model_destroy (struct engine_model *m)
{
  if (m == NULL)
    return;
  for (guint i = 0; i < m->streams->len; i++)
    live_free (m->streams->pdata[i]);
  g_ptr_array_free (m->streams, TRUE);
  g_array_free (m->runs, TRUE);
  engine_cache_destroy (m->cache);
  g_free (m);
}

void
engine_emit (struct engine_model *m, const struct live *l,
             struct engine_output *output, int64_t at_us)
{
  output->stream = l->stream;
  output->attempt = l->attempt;
  output->at_ms = to_ms (at_us);
  output->kv = l->kv;
  m->sink->impl->output (m->sink, output);
}

struct engine_run *
engine_run_of (struct engine_model *m, const struct live *l)
{
  return &g_array_index (m->runs, struct engine_run, l->run);
}

size_t
engine_run_start (struct engine_model *m, const char *request_id,
                  struct beryl_stream_id stream, uint32_t attempt)
{
  struct engine_run run = { .stream = stream, .attempt = attempt };

  g_strlcpy (run.request_id, request_id, sizeof run.request_id);
  g_array_append_val (m->runs, run);
  return m->runs->len - 1;
}

void
engine_drop (struct engine_model *m, struct live *l)
{
  if (m->prefilling == l)
    m->prefilling = NULL;
  g_ptr_array_remove (m->streams, l);
  live_free (l);
}

static bool
holds_slot (const struct live *l)
{
  return l->phase >= ENGINE_PHASE_TRANSFER;
}

uint32_t
engine_slots_used (const struct engine_model *m)
{
  uint32_t n = 0;

  for (guint i = 0; i < m->streams->len; i++)
    n += holds_slot (m->streams->pdata[i]);
  return n;
}

static uint32_t
queued_prefills (const struct engine_model *m)
{
  uint32_t n = 0;

  for (guint i = 0; i < m->streams->len; i++)
    {
      const struct live *l = m->streams->pdata[i];

      n += l->phase <= ENGINE_PHASE_PREFILL;
    }
  return n;
}

static struct live *
next_queued (const struct engine_model *m)
{
  struct live *best = NULL;

  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      if (l->phase != ENGINE_PHASE_QUEUED)
        continue;
      if (best == NULL || l->priority < best->priority
          || (l->priority == best->priority && l->order < best->order))
        best = l;
    }
  return best;
}

static void
begin_prefill (struct engine_model *m, int64_t at_us)
{
  const struct engine_settings *s = &m->settings;
  struct live *l = m->prefilling == NULL ? next_queued (m) : NULL;

  if (l == NULL)
    return;
  size_t hits = engine_cache_match (m->cache, l->blocks, l->block_count);
  uint64_t cached = (uint64_t)hits * s->block_tokens;

  l->cached_tokens = (uint32_t)MIN (cached, l->kv.prompt_tokens);
  l->kv.computed_tokens = l->kv.prompt_tokens - l->cached_tokens;
  l->phase = ENGINE_PHASE_PREFILL;
  l->due_us = at_us + s->prefill_base_us
              + (int64_t)l->kv.computed_tokens * s->prefill_token_us;
  m->prefilling = l;
  m->totals.prefill_tokens += l->kv.computed_tokens;
  engine_run_of (m, l)->prefills++;
  engine_run_of (m, l)->cached_tokens = l->cached_tokens;
}

enum engine_result
engine_model_prefill (struct engine_model *m, const struct engine_prefill *p,
                      int64_t now_ms)
{
  if (queued_prefills (m) >= m->settings.prefill_queue_max)
    return ENGINE_FULL;
  struct live *l = g_new0 (struct live, 1);

  l->stream = p->stream;
  l->attempt = p->attempt;
  l->priority = p->priority;
  l->order = m->next_order++;
  l->kv.prompt_tokens = p->prompt_tokens;
  l->kv.output_tokens = p->output_tokens;
  l->kv.seed = p->seed;
  l->kv.bytes = (uint64_t)p->prompt_tokens * m->settings.kv_bytes_per_token;
  l->blocks = g_memdup2 (p->blocks, p->block_count * sizeof *p->blocks);
  l->block_count = p->block_count;
  l->unread_us = ENGINE_NEVER_US;
  l->user = p->user;
  l->run = engine_run_start (m, p->request_id, p->stream, p->attempt);
  engine_run_of (m, l)->prompt_tokens = p->prompt_tokens;
  g_ptr_array_add (m->streams, l);
  if (!m->frozen)
    begin_prefill (m, to_us (now_ms));
  return ENGINE_OK;
}

static void
end_prefill (struct engine_model *m, int64_t at_us)
{
  struct live *l = m->prefilling;
  struct engine_output out = { .type = ENGINE_OUTPUT_PREFILL_DONE };

  if (l == NULL)
    return;
  m->prefilling = NULL;
  engine_cache_insert (m->cache, l->blocks, l->block_count);
  l->phase = ENGINE_PHASE_EXPORTED;
  l->handle = m->next_handle++;
  l->due_us = at_us + to_us (m->settings.kv_ttl_ms);
  out.user = l->user;
  out.handle = l->handle;
  out.cached_tokens = l->cached_tokens;
  out.expires_ms = to_ms (l->due_us);
  engine_emit (m, l, &out, at_us);
  begin_prefill (m, at_us);
}

enum engine_result
engine_model_export (struct engine_model *m, uint64_t handle, void *user,
                     struct beryl_stream_id *stream, int64_t now_ms)
{
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      if (l->phase != ENGINE_PHASE_EXPORTED || l->handle != handle
          || l->sending)
        continue;
      double rate = (double)m->settings.link_bytes_per_s * m->link_factor;
      int64_t took = (int64_t)((double)l->kv.bytes * 1e6 / rate);

      *stream = l->stream;
      l->sending = true;
      l->transfer_user = user;
      l->due_us = MAX (to_us (now_ms), m->link_free_us) + took;
      m->link_free_us = l->due_us;
      return ENGINE_OK;
    }
  return ENGINE_GONE;
}

static void
count_waste (struct engine_model *m, const struct live *l)
{
  m->totals.wasted_prefill_tokens += l->kv.computed_tokens;
}

/* An export was sent to its end, or nobody came for it in time. */
static void
end_export (struct engine_model *m, struct live *l)
{
  struct engine_output out = { .type = ENGINE_OUTPUT_TRANSFER_DONE };

  if (l->sending)
    {
      if (l->transfer_user != NULL)
        engine_run_of (m, l)->completed = true;
      else
        count_waste (m, l);
      out.user = l->transfer_user;
      out.handle = l->handle;
      engine_emit (m, l, &out, l->due_us);
    }
  else
    count_waste (m, l);
  engine_drop (m, l);
}

/* The next thing that happens, and to which stream (NULL: the batch). */
static int64_t
next_due (const struct engine_model *m, struct live **which)
{
  int64_t due = m->stepping ? m->step_end_us : ENGINE_NEVER_US;

  *which = NULL;
  if (m->frozen)
    return ENGINE_NEVER_US;
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];
      int64_t at = ENGINE_NEVER_US;

      if (l->phase == ENGINE_PHASE_PREFILL
          || (l->phase == ENGINE_PHASE_EXPORTED
              && !(l->sending && m->stalled)))
        at = l->due_us;
      else if (holds_slot (l) && l->unread_us != ENGINE_NEVER_US)
        at = l->unread_us + to_us (m->settings.resume_ttl_ms);
      if (at < due)
        {
          due = at;
          *which = l;
        }
    }
  return due;
}

static void
end_unread (struct engine_model *m, struct live *l)
{
  count_waste (m, l);
  engine_run_of (m, l)->cancelled = true;
  engine_drop (m, l);
}

void
engine_model_advance (struct engine_model *m, int64_t now_ms)
{
  struct live *l;
  int64_t due = next_due (m, &l);

  while (due <= to_us (now_ms))
    {
      if (l == NULL)
        engine_step_end (m);
      else if (l->phase == ENGINE_PHASE_PREFILL)
        end_prefill (m, due);
      else if (l->phase == ENGINE_PHASE_EXPORTED)
        end_export (m, l);
      else
        end_unread (m, l);
      due = next_due (m, &l);
    }
}

int64_t
engine_model_next_ms (const struct engine_model *m)
{
  struct live *l;
  int64_t due = next_due (m, &l);

  return due == ENGINE_NEVER_US ? BERYL_NEVER_MS : to_ms (due);
}

uint32_t
engine_model_cancel (struct engine_model *m, uint64_t incarnation,
                     uint64_t from, uint64_t to, int64_t now_ms)
{
  uint32_t n = 0;

  for (guint i = m->streams->len; i > 0; i--)
    {
      struct live *l = m->streams->pdata[i - 1];

      if (l->stream.incarnation != incarnation || l->stream.counter < from
          || l->stream.counter > to)
        continue;
      count_waste (m, l);
      engine_run_of (m, l)->cancelled = true;
      engine_drop (m, l);
      n++;
    }
  if (!m->frozen)
    begin_prefill (m, to_us (now_ms));
  return n;
}

void
engine_model_clear (struct engine_model *m, int64_t now_ms)
{
  while (m->streams->len > 0)
    {
      struct live *l = m->streams->pdata[m->streams->len - 1];

      count_waste (m, l);
      engine_run_of (m, l)->cancelled = true;
      engine_drop (m, l);
    }
  m->stepping = false;
  engine_cache_clear (m->cache);
}

void
engine_model_holds (const struct engine_model *m, uint64_t incarnation,
                    void (*seen) (struct beryl_stream_id stream,
                                  enum engine_phase phase, void *user),
                    void *user)
{
  for (guint i = 0; i < m->streams->len; i++)
    {
      const struct live *l = m->streams->pdata[i];

      if (incarnation == 0 || l->stream.incarnation == incarnation)
        seen (l->stream, l->phase, user);
    }
}

void
engine_model_set_link_factor (struct engine_model *m, double factor)
{
  m->link_factor = factor;
}

/* Shift what was due by the time that the engine stood still. */
static void
shift (struct engine_model *m, int64_t by_us, bool transfers_only)
{
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      if (l->sending || (!transfers_only && l->phase == ENGINE_PHASE_PREFILL))
        l->due_us += by_us;
    }
  m->link_free_us += by_us;
  if (!transfers_only)
    m->step_end_us += by_us;
}

void
engine_model_stall_transfers (struct engine_model *m, bool stall,
                              int64_t now_ms)
{
  if (stall == m->stalled)
    return;
  if (stall)
    m->stopped_us = to_us (now_ms);
  else
    shift (m, to_us (now_ms) - m->stopped_us, true);
  m->stalled = stall;
}

void
engine_model_freeze (struct engine_model *m, bool freeze, int64_t now_ms)
{
  if (freeze == m->frozen)
    return;
  if (freeze)
    m->stopped_us = to_us (now_ms);
  else
    shift (m, to_us (now_ms) - m->stopped_us, false);
  m->frozen = freeze;
  if (!freeze)
    begin_prefill (m, to_us (now_ms));
}

void
engine_model_load (const struct engine_model *m, struct engine_load *load,
                   int64_t now_ms)
{
  *load = (struct engine_load){ 0 };
  for (guint i = 0; i < m->streams->len; i++)
    {
      const struct live *l = m->streams->pdata[i];

      load->decoding += holds_slot (l);
      if (l->phase == ENGINE_PHASE_QUEUED)
        load->prefill_queue_tokens += l->kv.prompt_tokens;
      if (l->phase == ENGINE_PHASE_PREFILL && m->settings.prefill_token_us)
        load->prefill_queue_tokens
            += (uint64_t)(MAX (0, l->due_us - to_us (now_ms))
                          / m->settings.prefill_token_us);
      load->prefill_queue += l->phase <= ENGINE_PHASE_PREFILL;
      if (l->phase >= ENGINE_PHASE_EXPORTED)
        load->kv_bytes_held += l->kv.bytes;
    }
}

struct engine_cache *
engine_model_cache (struct engine_model *m)
{
  return m->cache;
}

const struct engine_totals *
engine_model_totals (const struct engine_model *m)
{
  return &m->totals;
}

const struct engine_run *
engine_model_runs (const struct engine_model *m, size_t *count)
{
  *count = m->runs->len;
  return (const struct engine_run *)(void *)m->runs->data;
}
