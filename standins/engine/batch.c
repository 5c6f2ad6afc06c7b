#include "model_private.h"

/* Decoding by continuous batching: every stream in the batch makes one token
 * a step; a stream that comes during a step joins at the next one. */

static struct live *
find_decode (const struct engine_model *m, struct beryl_stream_id stream)
{
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      if (l->phase >= ENGINE_PHASE_TRANSFER
          && l->stream.incarnation == stream.incarnation
          && l->stream.counter == stream.counter)
        return l;
    }
  return NULL;
}

void
engine_step_begin (struct engine_model *m, int64_t at_us)
{
  uint32_t batch = 0;

  if (m->stepping || m->frozen)
    return;
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      l->in_step = l->phase == ENGINE_PHASE_DECODE;
      batch += l->in_step;
    }
  if (batch == 0)
    return;
  m->stepping = true;
  m->step_end_us = at_us + m->settings.step_base_us
                   + (int64_t)batch * m->settings.step_stream_us;
}

static void
make_token (struct engine_model *m, struct live *l)
{
  struct engine_output out
      = { .type = ENGINE_OUTPUT_TOKENS, .user = l->user, .from = l->made };

  l->made++;
  m->totals.decoded_tokens++;
  out.count = 1;
  engine_emit (m, l, &out, m->step_end_us);
  uint32_t limit = MIN (l->max_tokens, l->kv.output_tokens);
  if (l->made < limit)
    return;
  out.type = ENGINE_OUTPUT_DECODE_DONE;
  out.from = l->made;
  out.length_limited = l->max_tokens < l->kv.output_tokens;
  engine_run_of (m, l)->completed = true;
  engine_emit (m, l, &out, m->step_end_us);
  engine_drop (m, l);
}

void
engine_step_end (struct engine_model *m)
{
  m->stepping = false;
  for (guint i = m->streams->len; i > 0; i--)
    {
      struct live *l = m->streams->pdata[i - 1];

      if (l->in_step && l->phase == ENGINE_PHASE_DECODE)
        make_token (m, l);
    }
  engine_step_begin (m, m->step_end_us);
}

enum engine_result
engine_model_reserve (struct engine_model *m, const struct engine_decode *d,
                      int64_t now_ms)
{
  if (engine_slots_used (m) >= m->settings.slots)
    return ENGINE_FULL;
  struct live *l = g_new0 (struct live, 1);

  l->stream = d->stream;
  l->attempt = d->attempt;
  l->phase = ENGINE_PHASE_TRANSFER;
  l->max_tokens = d->max_tokens;
  l->unread_us = ENGINE_NEVER_US;
  l->user = d->user;
  l->run = engine_run_start (m, d->request_id, d->stream, d->attempt);
  engine_run_of (m, l)->decodes = 1;
  g_ptr_array_add (m->streams, l);
  return ENGINE_OK;
}

enum engine_result
engine_model_imported (struct engine_model *m, struct beryl_stream_id stream,
                       const struct engine_kv *kv, uint32_t from,
                       int64_t now_ms)
{
  struct live *l = find_decode (m, stream);

  if (l == NULL || l->phase != ENGINE_PHASE_TRANSFER)
    return ENGINE_GONE;
  l->kv = *kv;
  l->made = from;
  l->phase = ENGINE_PHASE_DECODE;
  engine_run_of (m, l)->prompt_tokens = kv->prompt_tokens;
  engine_step_begin (m, now_ms * 1000);
  return ENGINE_OK;
}

enum engine_result
engine_model_resume (struct engine_model *m, const struct engine_decode *d,
                     uint32_t *made, uint64_t *seed, int64_t now_ms)
{
  struct live *l = find_decode (m, d->stream);

  if (l == NULL || l->phase != ENGINE_PHASE_DECODE || d->attempt <= l->attempt)
    return ENGINE_GONE;
  l->attempt = d->attempt;
  l->user = d->user;
  l->unread_us = ENGINE_NEVER_US;
  *made = l->made;
  *seed = l->kv.seed;
  return ENGINE_OK;
}

void
engine_model_unread (struct engine_model *m, void *user, int64_t now_ms)
{
  for (guint i = 0; i < m->streams->len; i++)
    {
      struct live *l = m->streams->pdata[i];

      if (l->user == user)
        {
          l->user = NULL;
          l->unread_us = now_ms * 1000;
        }
      if (l->transfer_user == user)
        l->transfer_user = NULL;
    }
}
