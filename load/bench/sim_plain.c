#include "sim_private.h"

/* Endpoints of the plain service run a few calls at once, first come first
 * served. */

void
sim_plain_start (struct sim *sim, struct sim_job *job, const char *endpoint)
{
  job->state = SIM_PLAIN;
  job->generation++;
  job->decode = sim_engine_number (sim, endpoint);
  sim_send_job (sim, SIM_NET_MS, SIM_TO_PLAIN, job);
}

static void
run (struct sim *sim, struct sim_engine *e, uint32_t number)
{
  struct sim_job *job = &sim->jobs[number];
  int64_t took = job->arrival->type == ARRIVAL_URGENT
                     ? sim->scenario->urgent_ms
                     : sim->scenario->patient_ms;
  struct sim_message m = { .type = SIM_PLAIN_DONE,
                           .job = number,
                           .generation = job->generation,
                           .engine = e->number };
  e->running++;
  sim_send (sim, took + SIM_NET_MS, &m);
}

static void
arrived (struct sim *sim, struct sim_job *job)
{
  struct sim_engine *e = &sim->engines[job->decode];
  uint32_t number = sim_job_number (sim, job);
  if (e->running < sim->scenario->service_concurrent)
    run (sim, e, number);
  else
    g_queue_push_tail (&e->queue, GUINT_TO_POINTER (number));
}

/* A call whose caller gave up still runs to its end at the endpoint. */
static void
done (struct sim *sim, struct sim_job *job, const struct sim_message *m)
{
  struct sim_engine *e = &sim->engines[m->engine];
  e->running--;
  if (!g_queue_is_empty (&e->queue))
    run (sim, e, GPOINTER_TO_UINT (g_queue_pop_head (&e->queue)));
  if (m->generation != job->generation || job->state != SIM_PLAIN)
    return;
  if (job->arrival->type == ARRIVAL_URGENT)
    histogram_record (sim->result->urgent,
                      sim->now_ms * 1000 - job->arrival->at_us);
  sim_jobs_end (sim, job,
                sim->now_ms <= job->deadline_ms ? SIM_MET : SIM_MISSED);
}

void
sim_plain_message (struct sim *sim, struct sim_job *job,
                   const struct sim_message *m)
{
  if (m->type == SIM_PLAIN_DONE)
    done (sim, job, m);
  else
    arrived (sim, job);
}
