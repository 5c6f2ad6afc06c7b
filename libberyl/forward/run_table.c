#include "run_table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Before any run has ended, outputs are assumed to spread around the estimate
   by a factor of e^0.5, and a token to take a millisecond. */
#define PRIOR_LOG_VARIANCE 0.25
#define PRIOR_MS_PER_TOKEN 1.0
#define PRIOR_TOKENS 4000.0
/* The prior counts as this many runs; beyond WEIGHT_MAX runs the means become
   moving averages. */
#define PRIOR_WEIGHT 10.0
#define WEIGHT_MAX 200.0
#define PACE_WEIGHT 0.1
/* After this many streams, a sample is capped at PACE_CAP_FACTOR times the
   mean: the delay may have been a pause of this process. */
#define PACE_SAMPLES_MIN 4
#define PACE_CAP_FACTOR 2.0
/* Lower bound of the survival probability, so that a run that exceeds its
   estimate by far is still expected to continue. */
#define SURVIVAL_MIN 0.02
/* Part of the expected output that is reserved. A reservation takes memory
   from the running requests, and a full engine preempts one of them. */
#define RESERVED_PART 0.1
/* A prefill that a peer reported has ended after this time, even if its end
   was not reported. */
#define PREFILL_MAX_MS 1000
/* A peer without a report for this many of its intervals may be
   unreachable. */
#define SILENT_INTERVALS 2
/* Report interval that is assumed if none, or a shorter one, is set. */
#define INTERVAL_MIN_MS 500
/* A peer's report is used for at most this long. */
#define REPORT_MAX_AGE_MS 5000

uint32_t
beryl_name_hash (const char *id)
{
  return (uint32_t)XXH3_64bits (id, strlen (id));
}

uint32_t
reservation_tokens (uint32_t prompt_tokens, uint32_t expected_tokens)
{
  return prompt_tokens + (uint32_t)(RESERVED_PART * expected_tokens);
}

void
output_model_init (struct output_model *model)
{
  *model = (struct output_model){
    .log_variance = PRIOR_LOG_VARIANCE,
    .effective_runs = PRIOR_WEIGHT,
    .tokens_mean = PRIOR_TOKENS,
    .ms_per_token = PRIOR_MS_PER_TOKEN,
    .own_ms_per_token = PRIOR_MS_PER_TOKEN,
  };
}

void
output_model_learn_pace (struct output_model *model, uint32_t tokens,
                         int64_t took_ms)
{
  double sample, weight;

  if (tokens == 0 || took_ms <= 0)
    return;
  sample = (double)took_ms / (double)tokens;
  if (model->pace_samples >= PACE_SAMPLES_MIN)
    sample = fmin (sample, PACE_CAP_FACTOR * model->own_ms_per_token);
  model->pace_samples++;
  weight = fmax (PACE_WEIGHT, 1.0 / model->pace_samples);
  model->own_ms_per_token += weight * (sample - model->own_ms_per_token);
  model->ms_per_token = model->own_ms_per_token;
}

void
output_model_learn_length (struct output_model *model, uint32_t hint,
                           uint32_t tokens)
{
  double sample_weight, deviation;

  if (tokens == 0)
    return;
  if (model->effective_runs < WEIGHT_MAX)
    model->effective_runs++;
  sample_weight = 1 / model->effective_runs;
  model->tokens_mean += sample_weight * ((double)tokens - model->tokens_mean);
  if (hint == 0)
    return;
  deviation = log ((double)tokens / (double)hint) - model->log_mean;
  model->log_mean += sample_weight * deviation;
  model->log_variance
      += sample_weight * (deviation * deviation - model->log_variance);
}

uint32_t
output_model_median (const struct output_model *model, uint32_t hint,
                     uint32_t most)
{
  double median = hint > 0 ? hint * exp (model->log_mean) : model->tokens_mean;

  return median < most ? (uint32_t)median : most;
}

/* The mean of a log-normal distribution exceeds its median. */
double
output_model_mean (const struct output_model *model, uint32_t hint,
                   uint32_t most)
{
  double mean = hint > 0
                    ? hint * exp (model->log_mean + model->log_variance / 2)
                    : model->tokens_mean;

  return fmin (mean, most);
}

/* Returns the probability that an output is longer than TOKENS. */
static double
survival (const struct output_model *model, double median, double tokens)
{
  double chance;

  if (tokens < 1)
    return 1;
  chance = 0.5 * erfc (log (tokens / median) / sqrt (2 * model->log_variance));
  return chance > SURVIVAL_MIN ? chance : SURVIVAL_MIN;
}

void
memory_forecast_add (struct memory_forecast *forecast,
                     const struct output_model *model,
                     const struct beryl_engine_run *run, int64_t age_ms,
                     bool reachable)
{
  double median
      = run->expected_tokens > 0 ? run->expected_tokens : model->tokens_mean;
  double reported = run->generated_tokens;
  double produced_now = reported + (double)age_ms / model->ms_per_token;
  /* Ends are reported at once, so a run of a reachable peer is still alive; a
     run of a silent peer is known only to have been alive when it was
     reported. */
  double alive = survival (model, median, reachable ? produced_now : reported);
  /* A run that has started uses its own memory instead of the reservation. */
  double reserved = run->started ? 0
                                 : reservation_tokens (run->prompt_tokens,
                                                       run->expected_tokens);

  for (int i = 0; i < FORECAST_STEPS; i++)
    {
      double produced = produced_now
                        + (double)(i * FORECAST_STEP_MS) / model->ms_per_token;
      double chance = fmin (survival (model, median, produced) / alive, 1);
      double tokens = fmax (run->prompt_tokens + produced, reserved);

      forecast->tokens[i] += chance * tokens;
      forecast->variance[i] += chance * (1 - chance) * tokens * tokens;
      forecast->upper_bound[i] += tokens;
    }
}

double
memory_forecast_peak (const struct memory_forecast *forecast, int64_t until_ms,
                      double deviations)
{
  double peak = 0;

  for (int i = 0; i < FORECAST_STEPS && i * FORECAST_STEP_MS <= until_ms; i++)
    {
      double spread = deviations * sqrt (forecast->variance[i]);

      peak = fmax (
          peak, fmin (forecast->tokens[i] + spread, forecast->upper_bound[i]));
    }
  return peak;
}

int64_t
run_table_peer_timeout_ms (const struct run_table *table)
{
  return SILENT_INTERVALS
         * (table->report_interval_ms > INTERVAL_MIN_MS
                ? table->report_interval_ms
                : INTERVAL_MIN_MS);
}

void
run_table_clear (struct run_table *table)
{
  for (size_t i = 0; i < table->count; i++)
    free (table->peers[i]);
  free (table->peers);
  run_index_clear (&table->by_engine);
  run_index_clear (&table->by_prefill_engine);
  run_index_clear (&table->waiting_by_service);
  *table = (struct run_table){ 0 };
}

/* Returns the index of NAME in the peers, which are sorted by name, or where
   to insert it. */
static size_t
peer_position (const struct run_table *table, const char *name, bool *found)
{
  size_t low = 0;
  size_t high = table->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (table->peers[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < table->count && strcmp (table->peers[low]->name, name) == 0;
  return low;
}

static struct peer_runs *
find_peer (struct run_table *table, const char *name)
{
  bool found;
  size_t position = peer_position (table, name, &found);

  return found ? table->peers[position] : NULL;
}

static struct peer_runs *
add_peer (struct run_table *table, const char *name)
{
  struct peer_runs *peer = calloc (1, sizeof *peer);
  bool found;
  size_t position = peer_position (table, name, &found);

  strncpy (peer->name, name, sizeof peer->name - 1);
  table->peers = realloc (table->peers, (table->count + 1) * sizeof (void *));
  memmove (&table->peers[position + 1], &table->peers[position],
           (table->count - position) * sizeof (void *));
  table->peers[position] = peer;
  table->count++;
  return peer;
}

/* Adds all runs of PEER to the indices or removes them: APPLY is run_index_add
   or run_index_remove. */
static void
index_runs (struct run_table *table, const struct peer_runs *peer,
            void (*apply) (struct run_index *index, uint32_t hash,
                           const struct peer_runs *peer, uint32_t at))
{
  for (uint32_t k = 0; k < peer->count; k++)
    {
      const struct beryl_engine_run *run = &peer->runs[k];

      if (run->engine != 0)
        apply (&table->by_engine, run->engine, peer, k);
      else
        apply (&table->waiting_by_service, run->service, peer, k);
      if (run->prefill_engine != 0)
        apply (&table->by_prefill_engine, run->prefill_engine, peer, k);
    }
}

void
run_table_update (struct run_table *table, const char *name,
                  const struct beryl_engine_run *runs, size_t count,
                  int64_t now_ms)
{
  struct peer_runs *peer = find_peer (table, name);

  if (peer == NULL)
    peer = add_peer (table, name);
  if (count > BERYL_ENGINE_RUNS_MAX)
    count = BERYL_ENGINE_RUNS_MAX;
  index_runs (table, peer, run_index_remove);
  if (count > 0)
    memcpy (peer->runs, runs, count * sizeof *runs);
  for (size_t i = 0; i < count; i++)
    if (runs[i].suspect)
      table->suspect_reported_ms = now_ms;
  peer->count = count;
  peer->reported_ms = now_ms;
  index_runs (table, peer, run_index_add);
}

static void
peer_drop_prompt (struct run_table *table, struct peer_runs *peer,
                  uint32_t prompt_hash)
{
  size_t left = 0;

  for (size_t k = 0; k < peer->count; k++)
    left += peer->runs[k].prompt_hash != prompt_hash;
  if (left == peer->count)
    return;
  index_runs (table, peer, run_index_remove);
  left = 0;
  for (size_t k = 0; k < peer->count; k++)
    if (peer->runs[k].prompt_hash != prompt_hash)
      peer->runs[left++] = peer->runs[k];
  peer->count = left;
  index_runs (table, peer, run_index_add);
}

void
run_table_drop_prompt (struct run_table *table, uint32_t prompt_hash)
{
  for (size_t i = 0; i < table->count; i++)
    peer_drop_prompt (table, table->peers[i], prompt_hash);
}

void
run_table_remove_peer (struct run_table *table, const char *name)
{
  struct peer_runs *peer = find_peer (table, name);

  if (peer == NULL)
    return;
  index_runs (table, peer, run_index_remove);
  peer->count = 0;
}

/* Calls VISIT_ONE for each run in LIST that was reported at most MAX_AGE_MS
   ago. */
static void
visit (const struct run_list *list, int64_t max_age_ms, int64_t now_ms,
       void (*visit_one) (const struct beryl_engine_run *run, int64_t age_ms,
                          void *user),
       void *user)
{
  for (size_t i = 0; list != NULL && i < list->count; i++)
    {
      const struct run_ref *ref = &list->items[i];
      int64_t age_ms = now_ms - ref->peer->reported_ms;

      if (age_ms <= max_age_ms)
        visit_one (&ref->peer->runs[ref->index], age_ms, user);
    }
}

struct forecast_visit
{
  const struct run_table *table;
  struct memory_forecast *forecast;
  const struct output_model *model;
  uint32_t count;
};

static void
forecast_one (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  struct forecast_visit *forecast_visit = user;

  memory_forecast_add (
      forecast_visit->forecast, forecast_visit->model, run, age_ms,
      age_ms < run_table_peer_timeout_ms (forecast_visit->table));
  forecast_visit->count++;
}

uint32_t
run_table_forecast (const struct run_table *table,
                    struct memory_forecast *forecast,
                    const struct output_model *model, uint32_t engine,
                    int64_t now_ms)
{
  struct forecast_visit forecast_visit
      = { .table = table, .forecast = forecast, .model = model };

  visit (run_index_find (&table->by_engine, engine), REPORT_MAX_AGE_MS, now_ms,
         forecast_one, &forecast_visit);
  return forecast_visit.count;
}

bool
engine_run_is_preemptible (const struct beryl_engine_run *run)
{
  return run->started
         && run->prompt_tokens + run->generated_tokens > reservation_tokens (
                run->prompt_tokens, run->expected_tokens);
}

bool
engine_run_is_preempted_before (const struct beryl_engine_run *run,
                                const struct beryl_engine_run *other)
{
  if (run->rank != other->rank)
    return run->rank > other->rank;
  return run->generated_tokens < other->generated_tokens;
}

struct newer
{
  double ms_per_token;
  const struct beryl_engine_run *run;
  bool found;
};

static void
find_newer (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  struct newer *newer = user;
  struct beryl_engine_run now = *run;

  now.generated_tokens += (uint32_t)((double)age_ms / newer->ms_per_token);
  if (engine_run_is_preemptible (&now)
      && engine_run_is_preempted_before (&now, newer->run))
    newer->found = true;
}

bool
run_table_has_newer (const struct run_table *table,
                     const struct output_model *model,
                     const struct beryl_engine_run *run, int64_t now_ms)
{
  struct newer newer = { .ms_per_token = model->ms_per_token, .run = run };

  visit (run_index_find (&table->by_engine, run->engine), REPORT_MAX_AGE_MS,
         now_ms, find_newer, &newer);
  return newer.found;
}

struct class_visit
{
  struct place_classes *classes;
  bool waits;
};

static void
add_class (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  struct class_visit *class_visit = user;

  place_classes_add (class_visit->classes, run->organisation, run->rank,
                     run->prompt_tokens + (double)run->expected_tokens,
                     class_visit->waits);
}

void
run_table_add_waiting (const struct run_table *table, uint32_t service,
                       struct place_classes *classes, int64_t now_ms)
{
  struct class_visit class_visit = { .classes = classes, .waits = true };

  visit (run_index_find (&table->waiting_by_service, service),
         run_table_peer_timeout_ms (table), now_ms, add_class, &class_visit);
}

void
run_table_add_running (const struct run_table *table, uint32_t engine,
                       struct place_classes *classes, int64_t now_ms)
{
  struct class_visit class_visit = { .classes = classes };

  visit (run_index_find (&table->by_engine, engine), REPORT_MAX_AGE_MS, now_ms,
         add_class, &class_visit);
}

static void
sum_prompts (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  uint64_t *tokens = user;

  *tokens += run->prompt_tokens;
}

uint64_t
run_table_prefill_tokens (const struct run_table *table, uint32_t engine,
                          int64_t now_ms)
{
  uint64_t tokens = 0;

  visit (run_index_find (&table->by_prefill_engine, engine), PREFILL_MAX_MS,
         now_ms, sum_prompts, &tokens);
  return tokens;
}

static void
count_one (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  uint32_t *count = user;

  (*count)++;
}

uint32_t
run_table_waiting (const struct run_table *table, uint32_t service,
                   int64_t now_ms)
{
  uint32_t waiting = 0;

  visit (run_index_find (&table->waiting_by_service, service),
         run_table_peer_timeout_ms (table), now_ms, count_one, &waiting);
  return waiting;
}

uint32_t
run_table_runs (const struct run_table *table, uint32_t engine, int64_t now_ms)
{
  uint32_t runs = 0;

  visit (run_index_find (&table->by_engine, engine), REPORT_MAX_AGE_MS, now_ms,
         count_one, &runs);
  return runs;
}

static void
find_suspect (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  bool *found = user;

  *found = *found || run->suspect;
}

bool
run_table_has_suspect (const struct run_table *table, uint32_t engine,
                       int64_t now_ms)
{
  bool found = false;

  visit (run_index_find (&table->by_engine, engine),
         run_table_peer_timeout_ms (table), now_ms, find_suspect, &found);
  return found;
}
