#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_private.h"

static const char *const fault_names[SIM_FAULT_COUNT] = {
  "none",         "engine_dies", "link_halves",
  "reports_stop", "events_lie",  "hot_preamble",
};

const char *
sim_fault_name (enum sim_fault fault)
{
  return fault_names[fault];
}

double
sim_random (struct sim *sim)
{
  uint64_t x = sim->random += UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (double)((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
}

void
sim_send (struct sim *sim, int64_t delay_ms, const struct sim_message *m)
{
  GArray *slot = sim->ring[(sim->now_ms + CLAMP (delay_ms, 0, SIM_RING - 1))
                           % SIM_RING];
  g_array_append_vals (slot, m, 1);
}

uint32_t
sim_job_number (const struct sim *sim, const struct sim_job *job)
{
  return (uint32_t)(job - sim->jobs);
}

void
sim_send_job (struct sim *sim, int64_t delay_ms, enum sim_message_type type,
              const struct sim_job *job)
{
  struct sim_message m = { .type = type,
                           .job = sim_job_number (sim, job),
                           .generation = job->generation,
                           .stream = job->stream };
  sim_send (sim, delay_ms, &m);
}

struct beryl_router *
sim_router (struct sim *sim, const struct sim_job *job)
{
  return sim->nodes[job->node].router;
}

uint32_t
sim_engine_number (const struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (strcmp (sim->engines[i].endpoint->name, name) == 0)
      return i;
  abort (); /* plans name configured endpoints only */
}

bool
sim_fault_active (const struct sim *sim, enum sim_fault fault)
{
  return sim->settings->fault == fault
         && sim->now_ms >= sim->settings->fault_from_ms
         && sim->now_ms < sim->settings->fault_to_ms;
}

static void
take_output (struct engine_sink *sink, const struct engine_output *output)
{
  struct sim_engine *e = (struct sim_engine *)sink;
  struct sim *sim = e->sim;
  struct sim_job *job = &sim->jobs[output->stream.counter >> 8];
  struct sim_message m = { .job = sim_job_number (sim, job),
                           .generation = job->generation,
                           .engine = e->number,
                           .stream = output->stream.counter,
                           .output = *output };
  if (output->stream.counter != job->stream)
    return;
  switch (output->type)
    {
    case ENGINE_OUTPUT_PREFILL_DONE:
      m.type = SIM_PREFILL_DONE;
      break;
    case ENGINE_OUTPUT_TOKENS:
      m.type = SIM_TOKENS;
      break;
    case ENGINE_OUTPUT_DECODE_DONE:
      m.type = SIM_DONE;
      break;
    case ENGINE_OUTPUT_TRANSFER_DONE:
      /* handled after the model's advance: the decode engine is another */
      m.type = SIM_TO_DECODE;
      sim_send (sim, 0, &m);
      return;
    }
  sim_send (sim, SIM_NET_MS, &m);
}

static const struct engine_sink_impl sink_impl = { .output = take_output };

static void
create_engine (struct sim *sim, uint32_t number)
{
  const struct scenario *s = sim->scenario;
  struct sim_engine *e = &sim->engines[number];
  struct engine_settings settings = {
    .slots = s->slots,
    .prefill_queue_max = 256,
    .prefill_base_us = s->prefill_base_us,
    .prefill_token_us = s->prefill_token_us,
    .step_base_us = s->step_base_us,
    .step_stream_us = s->step_stream_us,
    .block_tokens = s->block_tokens,
    .cache_blocks = s->cache_blocks,
    .kv_bytes_per_token = s->kv_bytes_per_token,
    .link_bytes_per_s = s->link_bytes_per_s,
    .kv_ttl_ms = s->kv_ttl_ms,
    .resume_ttl_ms = 1000,
  };
  e->sim = sim;
  e->sink.impl = &sink_impl;
  e->number = number;
  e->endpoint = &sim->config.endpoints[number];
  g_queue_init (&e->queue);
  if (e->endpoint->role != BERYL_ROLE_SERVICE)
    e->model = engine_model_create (&settings, &e->sink);
}

static void
create_nodes (struct sim *sim)
{
  const struct scenario *s = sim->scenario;
  const char **names = g_new0 (const char *, s->entries);
  sim->node_count = sim->settings->exact ? 1 : s->entries;
  sim->nodes = g_new0 (struct sim_node, sim->node_count);
  for (uint32_t i = 0; i < sim->node_count; i++)
    names[i] = g_strdup_printf ("node-%u", i);
  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      char data_centre[32];
      snprintf (data_centre, sizeof data_centre, "dc-%u", i % s->data_centres);
      struct beryl_router *r = beryl_router_create (
          names[i], data_centre, sim->settings->policy, s->seed * 100 + i);
      beryl_router_set_config (r, &sim->config, 0);
      beryl_router_set_members (r, names, sim->node_count, 0);
      beryl_router_set_late_binding (r, !sim->settings->early);
      sim->nodes[i].router = r;
      sim->nodes[i].waiting = g_array_new (FALSE, FALSE, sizeof (uint32_t));
    }
  for (uint32_t i = 0; i < sim->node_count; i++)
    g_free ((char *)names[i]);
  g_free (names);
}

static void
create_jobs (struct sim *sim)
{
  const struct arrivals *a = sim->settings->arrivals;
  sim->job_count = a->count;
  sim->jobs = g_new0 (struct sim_job, a->count + 1);
  for (size_t i = 0; i < a->count; i++)
    {
      struct sim_job *job = &sim->jobs[i];
      int64_t allowed = sim->scenario->deadline_ms;
      job->arrival = &a->items[i];
      if (job->arrival->type == ARRIVAL_URGENT)
        allowed = sim->scenario->urgent_deadline_ms;
      else if (job->arrival->type == ARRIVAL_PATIENT)
        allowed = sim->scenario->patient_deadline_ms;
      job->node = a->items[i].entry % sim->node_count;
      job->deadline_ms = a->items[i].at_us / 1000 + allowed;
    }
}

static void
replan_waiting (struct sim *sim, struct sim_node *node)
{
  int turns = 0;
  while (beryl_router_next_ms (node->router) <= sim->now_ms && turns++ < 4)
    {
      GArray *waiting = node->waiting;
      node->waiting = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      for (guint i = 0; i < waiting->len; i++)
        {
          struct sim_job *job
              = &sim->jobs[g_array_index (waiting, uint32_t, i)];
          if (job->state == SIM_WAITING)
            sim_jobs_plan (sim, job);
        }
      g_array_free (waiting, TRUE);
    }
}

static void
deliver (struct sim *sim, const struct sim_message *m)
{
  struct sim_job *job = &sim->jobs[m->job];
  if (m->type == SIM_TO_PLAIN || m->type == SIM_PLAIN_DONE)
    sim_plain_message (sim, job, m);
  else
    sim_jobs_message (sim, job, m);
}

static void
apply_faults (struct sim *sim)
{
  const struct sim_settings *s = sim->settings;
  uint32_t victim = sim->scenario->prefill_engines; /* a decode engine */
  bool begins = sim->now_ms == s->fault_from_ms;
  if (!begins && sim->now_ms != s->fault_to_ms)
    return;
  if (s->fault == SIM_FAULT_ENGINE_DIES)
    {
      sim->engines[victim].dead = begins;
      if (begins)
        {
          engine_model_clear (sim->engines[victim].model, sim->now_ms);
          sim_jobs_engine_died (sim, victim);
        }
    }
  if (s->fault == SIM_FAULT_LINK_HALVES)
    for (uint32_t i = 0; i < sim->engine_count; i++)
      if (sim->engines[i].model)
        engine_model_set_link_factor (sim->engines[i].model, begins ? 0.5 : 1);
}

static void
advance_engines (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      struct engine_model *m = sim->engines[i].model;
      if (m && engine_model_next_ms (m) <= sim->now_ms)
        engine_model_advance (m, sim->now_ms);
    }
}

static void
tick (struct sim *sim, size_t *next)
{
  const struct arrivals *a = sim->settings->arrivals;
  apply_faults (sim);
  advance_engines (sim);
  if (sim->now_ms % SIM_REPORT_EVERY_MS == 0)
    {
      sim_reports_sample (sim);
      sim_reports_send (sim);
    }
  while (*next < a->count && a->items[*next].at_us / 1000 <= sim->now_ms)
    {
      struct sim_job *job = &sim->jobs[(*next)++];
      sim_jobs_plan (sim, job);
    }
  GArray *due = sim->ring[sim->now_ms % SIM_RING];
  for (guint i = 0; i < due->len; i++)
    {
      /* copied: handling may append to this very slot */
      struct sim_message m = g_array_index (due, struct sim_message, i);
      deliver (sim, &m);
    }
  g_array_set_size (due, 0);
  for (uint32_t i = 0; i < sim->node_count; i++)
    replan_waiting (sim, &sim->nodes[i]);
}

/* Jobs are given up at their deadline, by a look every few ms. */
static void
end_late_jobs (struct sim *sim, size_t *first, size_t next)
{
  bool all_ended = true;
  for (size_t i = *first; i < next; i++)
    {
      struct sim_job *job = &sim->jobs[i];
      if (job->state >= SIM_MET)
        {
          if (all_ended)
            *first = i + 1;
          continue;
        }
      all_ended = false;
      if (sim->now_ms > job->deadline_ms)
        sim_jobs_end (sim, job, SIM_MISSED);
    }
}

static void
release (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      beryl_router_destroy (sim->nodes[i].router);
      g_array_free (sim->nodes[i].waiting, TRUE);
    }
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      engine_model_destroy (sim->engines[i].model);
      g_queue_clear (&sim->engines[i].queue);
    }
  for (size_t i = 0; i < sim->job_count; i++)
    g_free (sim->jobs[i].blocks);
  for (size_t i = 0; i < SIM_RING; i++)
    g_array_free (sim->ring[i], TRUE);
  g_free (sim->nodes);
  g_free (sim->engines);
  g_free (sim->jobs);
  sim_config_release (sim);
}

#define LATE_EVERY_MS 5

void
sim_run (const struct sim_settings *settings, struct sim_result *result)
{
  struct sim sim = { .settings = settings,
                     .scenario = settings->scenario,
                     .result = result,
                     .random = settings->scenario->seed };
  int64_t end_ms = (int64_t)settings->scenario->duration_s * 1000
                   + settings->scenario->deadline_ms + 1000;
  size_t next = 0;
  size_t first = 0;

  *result = (struct sim_result){ 0 };
  result->first_token = histogram_create ();
  result->between_tokens = histogram_create ();
  result->urgent = histogram_create ();
  result->seconds = settings->scenario->duration_s;
  result->met_in_second = g_new0 (uint32_t, result->seconds + 1);
  for (size_t i = 0; i < SIM_RING; i++)
    sim.ring[i] = g_array_new (FALSE, FALSE, sizeof (struct sim_message));
  sim_config_build (&sim);
  sim.engine_count = (uint32_t)sim.config.endpoint_count;
  sim.engines = g_new0 (struct sim_engine, sim.engine_count);
  for (uint32_t i = 0; i < sim.engine_count; i++)
    create_engine (&sim, i);
  create_nodes (&sim);
  create_jobs (&sim);
  for (; sim.now_ms < end_ms; sim.now_ms++)
    {
      tick (&sim, &next);
      if (sim.now_ms % LATE_EVERY_MS == 0)
        end_late_jobs (&sim, &first, next);
    }
  sim_result_collect (&sim);
  release (&sim);
}

void
sim_result_release (struct sim_result *result)
{
  histogram_destroy (result->first_token);
  histogram_destroy (result->between_tokens);
  histogram_destroy (result->urgent);
  g_free (result->met_in_second);
}
