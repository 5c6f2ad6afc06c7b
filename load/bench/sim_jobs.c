#include <stdio.h>
#include <string.h>

#include "sim_private.h"

#define BLOCKED_RETRY_MS 20
#define ALL_FULL_RETRY_MS 20
#define HOT_PART 0.7

/* During a hot preamble most dossiers come with the first one. */
static void
make_blocks (struct sim *sim, struct sim_job *job)
{
  struct arrival a = *job->arrival;
  if (job->blocks)
    return;
  if (sim_fault_active (sim, SIM_FAULT_HOT_PREAMBLE)
      && sim_random (sim) < HOT_PART)
    a.organisation = 0;
  job->blocks = g_new (uint64_t, SIM_BLOCKS_MAX);
  job->block_count = arrival_blocks (&a, sim->scenario->block_tokens,
                                     job->blocks, SIM_BLOCKS_MAX);
}

static void
fill_job (struct sim *sim, struct sim_job *job, struct beryl_job *out)
{
  const struct arrival *a = job->arrival;
  *out = (struct beryl_job){
    .request = a->id,
    .service = sim->config.services[a->type == ARRIVAL_LONG ? 0 : 1].name,
    .organisation = sim->config.organisations[a->organisation].name,
    .call_class
    = a->type == ARRIVAL_URGENT ? BERYL_CLASS_URGENT : BERYL_CLASS_NORMAL,
    .plain = a->type != ARRIVAL_LONG,
    .prompt_tokens = a->prompt_tokens,
    .max_tokens = sim->settings->lengths ? a->output_tokens : a->max_tokens,
    .arrived_ms = a->at_us / 1000,
    .deadline_ms = job->deadline_ms,
    .excluded_count = job->avoid ? 1 : 0,
    .excluded = &job->avoid,
  };
  if (a->type != ARRIVAL_LONG)
    return;
  make_blocks (sim, job);
  out->block_hashes = job->blocks;
  out->block_count = job->block_count;
}

static void
new_stream (struct sim *sim, struct sim_job *job)
{
  job->generation++;
  job->stream = ((uint64_t)sim_job_number (sim, job) << 8) | job->generation;
}

static void
trace (const struct sim *sim, const struct sim_job *job,
       const struct beryl_plan *plan)
{
  static const char *const verdicts[] = { "start", "wait", "refuse" };
  fprintf (
      stderr, "%lld job=%llu node=%u %s reason=%s prefill=%s slack=%lld\n",
      (long long)sim->now_ms, (unsigned long long)job->arrival->id, job->node,
      verdicts[plan->verdict], plan->reason ? plan->reason : "",
      plan->prefill ? plan->prefill : "",
      (long long)(job->deadline_ms - sim->now_ms));
}

void
sim_jobs_plan (struct sim *sim, struct sim_job *job)
{
  struct beryl_job request;
  struct beryl_plan plan;
  uint32_t number = sim_job_number (sim, job);

  fill_job (sim, job, &request);
  beryl_router_plan (sim_router (sim, job), &request, sim->now_ms, &plan);
  sim->result->decisions++;
  if (sim->settings->trace)
    trace (sim, job, &plan);
  if (plan.verdict == BERYL_VERDICT_REFUSE)
    {
      sim_jobs_end (sim, job, SIM_REFUSED);
      return;
    }
  if (plan.verdict == BERYL_VERDICT_WAIT)
    {
      job->state = SIM_WAITING;
      g_array_append_val (sim->nodes[job->node].waiting, number);
      return;
    }
  job->ticket = plan.ticket;
  if (request.plain)
    {
      sim_plain_start (sim, job, plan.decode);
      return;
    }
  new_stream (sim, job);
  job->state = SIM_PREFILL;
  job->refusals = 0;
  job->attempts++;
  job->prefill = sim_engine_number (sim, plan.prefill);
  if (plan.decode)
    job->decode = sim_engine_number (sim, plan.decode);
  sim_send_job (sim, SIM_NET_MS, SIM_TO_PREFILL, job);
}

static void
release_ticket (struct sim *sim, struct sim_job *job, enum beryl_release how,
                const char *failed)
{
  beryl_router_release (sim_router (sim, job), job->ticket, how, failed,
                        sim->now_ms);
  job->ticket = 0;
}

void
sim_jobs_end (struct sim *sim, struct sim_job *job, enum sim_state state)
{
  enum sim_state was = job->state;
  if (was == SIM_WAITING)
    beryl_router_drop_waiting (sim_router (sim, job), job->arrival->id);
  if (was >= SIM_PREFILL && was <= SIM_DECODE && state != SIM_MET)
    sim_send_job (sim, SIM_NET_MS, SIM_CANCEL, job);
  if (was >= SIM_PREFILL && was <= SIM_PLAIN)
    release_ticket (
        sim, job,
        state == SIM_MET ? BERYL_RELEASE_DONE : BERYL_RELEASE_CANCELLED, NULL);
  /* What the deadline cuts before anything ran was not run. */
  if (state == SIM_MISSED && job->attempts == 0 && was == SIM_WAITING)
    state = SIM_REFUSED;
  job->state = state;
  job->generation++;
}

/* Try again from the start, while the retry budget lasts. */
static void
again (struct sim *sim, struct sim_job *job, enum beryl_release how,
       const char *failed)
{
  release_ticket (sim, job, how, failed);
  job->spent_tokens = job->computed_tokens;
  job->generation++;
  job->state = SIM_NEW;
  if (job->attempts >= SIM_ATTEMPTS_MAX)
    {
      sim_jobs_end (sim, job, SIM_MISSED);
      return;
    }
  sim_send_job (sim, 0, SIM_PLAN, job);
}

static void
bind_decode (struct sim *sim, struct sim_job *job, const char *refused_by)
{
  struct beryl_plan plan;

  beryl_router_bind_decode (sim_router (sim, job), job->ticket,
                            job->expires_ms, refused_by, sim->now_ms, &plan);
  sim->result->decisions++;
  if (plan.verdict == BERYL_VERDICT_REFUSE || sim->now_ms >= job->expires_ms)
    {
      sim->result->expired++;
      sim_send_job (sim, SIM_NET_MS, SIM_CANCEL, job);
      again (sim, job, BERYL_RELEASE_REFUSED, NULL);
      return;
    }
  if (plan.verdict == BERYL_VERDICT_WAIT)
    {
      sim_send_job (sim, MAX (1, plan.retry_at_ms - sim->now_ms), SIM_BIND,
                    job);
      return;
    }
  job->state = SIM_DECODE;
  job->decode = sim_engine_number (sim, plan.decode);
  sim_send_job (sim, SIM_NET_MS, SIM_TO_DECODE, job);
}

static void
at_prefill (struct sim *sim, struct sim_job *job)
{
  struct sim_engine *e = &sim->engines[job->prefill];
  struct engine_prefill p = {
    .stream = { 1, job->stream },
    .request_id = "",
    .priority = BERYL_CLASS_NORMAL,
    .prompt_tokens = job->arrival->prompt_tokens,
    .output_tokens = job->arrival->output_tokens,
    .blocks = job->blocks,
    .block_count = job->block_count,
  };

  if (e->dead)
    sim_send_job (sim, SIM_NET_MS, SIM_FAILED, job);
  else if (engine_model_prefill (e->model, &p, sim->now_ms) == ENGINE_FULL)
    sim_send_job (sim, SIM_NET_MS, SIM_PREFILL_FULL, job);
}

static void
after_prefill (struct sim *sim, struct sim_job *job,
               const struct engine_output *o)
{
  job->state = SIM_UNBOUND;
  job->handle = o->handle;
  job->kv = o->kv;
  job->expires_ms = o->expires_ms;
  job->computed_tokens += o->kv.computed_tokens;
  sim->result->prefill_tokens += o->kv.computed_tokens;
  beryl_router_prefill_done (sim_router (sim, job), job->ticket,
                             o->cached_tokens, o->kv.bytes, sim->now_ms);
  if (sim->settings->early)
    {
      job->state = SIM_DECODE;
      sim_send_job (sim, SIM_NET_MS, SIM_TO_DECODE, job);
      return;
    }
  bind_decode (sim, job, NULL);
}

/* A decode request reaches its engine: take a slot, then fetch the KV. */
static void
at_decode (struct sim *sim, struct sim_job *job)
{
  struct sim_engine *e = &sim->engines[job->decode];
  struct engine_decode d = { .stream = { 1, job->stream },
                             .request_id = "",
                             .max_tokens = job->arrival->max_tokens };
  struct beryl_stream_id stream;

  if (e->dead)
    {
      sim_send_job (sim, SIM_NET_MS, SIM_FAILED, job);
      return;
    }
  if (engine_model_reserve (e->model, &d, sim->now_ms) == ENGINE_FULL)
    {
      sim->result->full++;
      sim_send_job (sim, SIM_NET_MS, SIM_DECODE_FULL, job);
      return;
    }
  if (engine_model_export (sim->engines[job->prefill].model, job->handle, NULL,
                           &stream, sim->now_ms)
      == ENGINE_GONE)
    {
      engine_model_cancel (e->model, 1, job->stream, job->stream, sim->now_ms);
      sim_send_job (sim, SIM_NET_MS, SIM_KV_GONE, job);
    }
}

static void
imported (struct sim *sim, struct sim_job *job)
{
  struct sim_engine *e = &sim->engines[job->decode];
  if (!e->dead)
    engine_model_imported (e->model,
                           (struct beryl_stream_id){ 1, job->stream },
                           &job->kv, 0, sim->now_ms);
}

static void
take_tokens (struct sim *sim, struct sim_job *job, uint32_t count)
{
  struct beryl_router *r = sim_router (sim, job);
  if (job->first_token_ms == 0)
    {
      job->first_token_ms = sim->now_ms;
      beryl_router_first_token (r, job->ticket, sim->now_ms);
    }
  job->tokens += count;
  beryl_router_tokens_generated (r, job->ticket, count, sim->now_ms);
}

static void
record_met (struct sim *sim, struct sim_job *job)
{
  struct sim_result *r = sim->result;
  int64_t arrived_us = job->arrival->at_us;
  int64_t second = sim->now_ms / 1000;
  histogram_record (r->first_token, job->first_token_ms * 1000 - arrived_us);
  if (job->tokens > 1)
    histogram_record (r->between_tokens, (sim->now_ms - job->first_token_ms)
                                             * 1000 / (job->tokens - 1));
  if (second < r->seconds)
    r->met_in_second[second]++;
  sim_jobs_end (sim, job, SIM_MET);
}

static void
cancel_everywhere (struct sim *sim, uint64_t stream)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].model)
      engine_model_cancel (sim->engines[i].model, 1, stream, stream,
                           sim->now_ms);
}

static void
decode_full (struct sim *sim, struct sim_job *job)
{
  const char *name = sim->engines[job->decode].endpoint->name;
  if (sim->settings->early)
    {
      sim->result->expired++;
      sim_send_job (sim, SIM_NET_MS, SIM_CANCEL, job);
      again (sim, job, BERYL_RELEASE_REFUSED, NULL);
      return;
    }
  job->state = SIM_UNBOUND;
  job->refusals++;
  if (job->refusals % sim->scenario->decode_engines == 0)
    {
      sim_send_job (sim, ALL_FULL_RETRY_MS, SIM_BIND, job);
      return;
    }
  bind_decode (sim, job, name);
}

void
sim_jobs_message (struct sim *sim, struct sim_job *job,
                  const struct sim_message *m)
{
  if (m->type == SIM_CANCEL)
    {
      cancel_everywhere (sim, m->stream);
      return;
    }
  if (m->generation != job->generation || job->state >= SIM_MET)
    return;
  switch (m->type)
    {
    case SIM_PLAN:
      sim_jobs_plan (sim, job);
      break;
    case SIM_BIND:
      bind_decode (sim, job, NULL);
      break;
    case SIM_TO_PREFILL:
      at_prefill (sim, job);
      break;
    case SIM_PREFILL_FULL:
      again (sim, job, BERYL_RELEASE_REFUSED, NULL);
      break;
    case SIM_PREFILL_DONE:
      after_prefill (sim, job, &m->output);
      break;
    case SIM_TO_DECODE:
      if (m->output.type == ENGINE_OUTPUT_TRANSFER_DONE)
        imported (sim, job);
      else
        at_decode (sim, job);
      break;
    case SIM_DECODE_FULL:
      decode_full (sim, job);
      break;
    case SIM_KV_GONE:
      sim->result->expired++;
      again (sim, job, BERYL_RELEASE_REFUSED, NULL);
      break;
    case SIM_TOKENS:
      take_tokens (sim, job, m->output.count);
      break;
    case SIM_DONE:
      if (sim->now_ms <= job->deadline_ms)
        record_met (sim, job);
      else
        sim_jobs_end (sim, job, SIM_MISSED);
      break;
    case SIM_FAILED:
      {
        uint32_t engine
            = job->state == SIM_DECODE ? job->decode : job->prefill;
        job->avoid = sim->engines[engine].endpoint->name;
        again (sim, job, BERYL_RELEASE_FAILED, job->avoid);
        break;
      }
    default:
      break;
    }
}

/* Connections to a dead engine break at once. */
void
sim_jobs_engine_died (struct sim *sim, uint32_t engine)
{
  for (size_t i = 0; i < sim->job_count; i++)
    {
      struct sim_job *job = &sim->jobs[i];
      bool here = (job->state == SIM_DECODE && job->decode == engine)
                  || (job->state == SIM_PREFILL && job->prefill == engine);
      if (here && job->arrival->type == ARRIVAL_LONG)
        sim_send_job (sim, SIM_NET_MS, SIM_FAILED, job);
    }
}
