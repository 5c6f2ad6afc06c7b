#include "sim_private.h"

static void
count_job (struct sim *sim, const struct sim_job *job)
{
  struct sim_result *r = sim->result;
  bool met = job->state == SIM_MET;
  if (job->arrival->type == ARRIVAL_URGENT)
    {
      r->urgent_offered++;
      r->urgent_met += met;
      return;
    }
  if (job->arrival->type == ARRIVAL_PATIENT)
    {
      r->patient_offered++;
      r->patient_met += met;
      return;
    }
  r->long_offered++;
  r->long_met += met;
  r->long_refused += job->state == SIM_REFUSED;
  r->long_missed += job->state == SIM_MISSED;
  r->wasted_tokens += met ? job->spent_tokens : job->computed_tokens;
}

/* The max-min fair level: what each organisation could have of TOTAL answers
 * if nobody got more than it asked for. */
static double
fair_level (const double *asked, uint32_t count, double total)
{
  double low = 0;
  double high = total;
  for (int i = 0; i < 60; i++)
    {
      double level = (low + high) / 2;
      double sum = 0;
      for (uint32_t k = 0; k < count; k++)
        sum += MIN (asked[k], level);
      if (sum < total)
        low = level;
      else
        high = level;
    }
  return high;
}

static double
least_fair (const struct sim *sim)
{
  uint32_t count = sim->scenario->organisations;
  double *asked = g_new0 (double, count);
  double *met = g_new0 (double, count);
  double total = 0;
  double least = 1e9;
  for (size_t i = 0; i < sim->job_count; i++)
    {
      const struct sim_job *job = &sim->jobs[i];
      if (job->arrival->type != ARRIVAL_LONG)
        continue;
      asked[job->arrival->organisation]++;
      met[job->arrival->organisation] += job->state == SIM_MET;
      total += job->state == SIM_MET;
    }
  double level = fair_level (asked, count, total);
  for (uint32_t k = 0; k < count; k++)
    {
      double fair = MIN (asked[k], level);
      if (fair > 0)
        least = MIN (least, met[k] / fair);
    }
  g_free (asked);
  g_free (met);
  return least;
}

void
sim_result_collect (struct sim *sim)
{
  for (size_t i = 0; i < sim->job_count; i++)
    count_job (sim, &sim->jobs[i]);
  sim->result->least_fair = least_fair (sim);
}
