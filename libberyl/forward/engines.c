#include <math.h>
#include <string.h>

#include "private.h"
#include "sample.h"

/* Part of an engine's memory that the forecast may fill, its spread included:
   an engine that runs out of memory preempts its newest run. */
#define FILL_PART 0.97
/* Standard deviations added to the forecast of a new run's engine, and of the
   target engine of a move that is needed. */
#define FILL_DEVIATIONS 2.0
#define TARGET_DEVIATIONS 0.5
/* Cost of an engine in another data centre: it is chosen only if its memory
   would be less full than that of the best local engine by this part of the
   usable memory (decode), or if its queue is shorter by this time (prefill).
   KV caches take longer to transfer there, and traffic between data centres is
   charged. */
#define REMOTE_COST_PART 0.15
#define REMOTE_WAIT_MS 50
/* Time constant by which the estimate of memory used by unreported runs
   decays. */
#define UNREPORTED_DECAY_MS 2000.0

/* Times that the queue counts of a prefill engine that was slow and may have
   recovered: one prompt shows whether it has. */
#define UNPROVEN_TIMES 4
/* Times by which pauses between events exceed the mean one. */
#define PAUSE_SPREAD 3.5

/* Which engines may be chosen. */
enum choice
{
  CHOICE_WITHOUT_SUSPECTS = 1, /* none that runs a suspect */
  CHOICE_WITH_LEAVING = 2,     /* also those that are leaving */
  CHOICE_WITHOUT_SLOW = 4,     /* none that would make pauses */
  CHOICE_SOUND = 8,            /* none that breaks off most runs */
};

static bool
is_in_stage (const struct beryl_live_endpoint *endpoint,
             const struct request *r, enum beryl_stage stage, int64_t now_ms)
{
  return endpoint->info.stage == stage
         && !beryl_live_stage_changing (endpoint, now_ms)
         && !beryl_live_paused (endpoint, now_ms)
         && strcmp (endpoint->info.service, r->service->name) == 0;
}

static bool
serves (const struct beryl_live_endpoint *endpoint, const struct request *r,
        enum beryl_stage stage, int64_t now_ms)
{
  return is_in_stage (endpoint, r, stage, now_ms)
         && beryl_live_accepts_work (endpoint);
}

static uint32_t
produced_tokens (const struct request *r, int64_t now_ms)
{
  uint64_t produced = r->event_count * r->config->engine.event_tokens;

  if (r->phase != PHASE_RUNNING)
    return 0;
  if (r->last_event_ms > 0 && now_ms > r->last_event_ms)
    produced += (uint64_t)fmin ((double)(now_ms - r->last_event_ms)
                                    / r->service->output_model.ms_per_token,
                                r->config->engine.event_tokens);
  return produced < r->params.output_tokens_max ? (uint32_t)produced
                                                : r->params.output_tokens_max;
}

void
engine_describe_run (const struct request *r, int64_t now_ms,
                     struct beryl_engine_run *run)
{
  const struct beryl_live_endpoint *endpoint = r->reservation.endpoint;

  *run = (struct beryl_engine_run){
    .engine = endpoint != NULL ? beryl_live_hash (endpoint) : 0,
    .prompt_tokens = r->params.prompt_tokens,
    .expected_tokens = r->expected_tokens,
    .generated_tokens = produced_tokens (r, now_ms),
    .started = r->phase == PHASE_RUNNING,
    .suspect = crashes_is_suspect (r, now_ms),
  };
  run->prompt_hash = r->params.prompt_hash;
  run->rank = endpoint == NULL
                  ? backlog_rank (r, now_ms)
                  : beryl_routes_service_route_rank (r->config, r->route);
  if (r->organisation != NULL && r->routes->organisation_count > 1)
    run->organisation = r->organisation->id;
  if (endpoint == NULL)
    run->service = beryl_name_hash (r->service->name);
  if (r->local_prefill && r->run_events == 0)
    run->prefill_engine = run->engine;
  if (r->phase == PHASE_PREFILLING && r->primary != NULL)
    run->prefill_engine = beryl_live_hash (r->primary->endpoint);
}

/* Returns the memory that unreported runs are expected to use AHEAD_MS from
   now; it decays as they end. */
static double
unreported_tokens_at (const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms, int64_t ahead_ms)
{
  double age_ms
      = (double)(now_ms - endpoint->unreported_updated_ms + ahead_ms);

  return endpoint->unreported_tokens > 0
             ? endpoint->unreported_tokens
                   * exp (-age_ms / UNREPORTED_DECAY_MS)
             : 0;
}

static void
add_unreported (const struct beryl_live_endpoint *endpoint, int64_t now_ms,
                struct memory_forecast *forecast)
{
  for (int i = 0; i < FORECAST_STEPS; i++)
    {
      double unreported
          = unreported_tokens_at (endpoint, now_ms, i * FORECAST_STEP_MS);

      forecast->tokens[i] += unreported;
      forecast->upper_bound[i] += unreported;
    }
}

/* Returns how runs of S go on at ENDPOINT: a slow engine frees its memory
   later. One that is fast since it has few runs slows down with more. */
static struct output_model
engine_outputs (struct beryl_forward *f, const struct service *s,
                const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct output_model model = s->output_model;

  model.ms_per_token
      /= fmin (speeds_of (f, s, endpoint, BERYL_WORK_DECODE, now_ms).speed, 1);
  return model;
}

bool
engine_makes_pauses (struct beryl_forward *f, const struct request *r,
                     const struct beryl_live_endpoint *endpoint,
                     int64_t now_ms)
{
  struct beryl_capacity_belief belief
      = speeds_of (f, r->service, endpoint, BERYL_WORK_DECODE, now_ms);

  return belief.speed < 1 && r->route->gap_objective_ms > 0
         && PAUSE_SPREAD * belief.ms_per_unit * r->config->engine.event_tokens
                > (double)r->route->gap_objective_ms;
}

void
engine_forecast (struct beryl_forward *f, const struct service *s,
                 const struct beryl_live_endpoint *endpoint, int64_t now_ms,
                 struct memory_forecast *forecast)
{
  struct output_model model = engine_outputs (f, s, endpoint, now_ms);
  const struct request *r = NULL;

  *forecast = (struct memory_forecast){ 0 };
  TAILQ_FOREACH (r, &f->requests, entry)
  {
    struct beryl_engine_run run;

    if (r->reservation.endpoint != endpoint)
      continue;
    engine_describe_run (r, now_ms, &run);
    memory_forecast_add (forecast, &model, &run, 0, true);
  }
  run_table_forecast (&f->run_table, forecast, &model,
                      beryl_live_hash (endpoint), now_ms);
  add_unreported (endpoint, now_ms, forecast);
}

/* Runs that no node reports, such as those of unreachable nodes, use engine
   memory too. It is estimated from what an engine grants or refuses: THRESHOLD
   is the most memory that can be in use if TOKENS were granted, and the least
   if they were refused. */
void
engine_learn_unreported_use (struct beryl_forward *f, const struct request *r,
                             struct beryl_live_endpoint *endpoint,
                             uint32_t tokens, bool granted, int64_t now_ms)
{
  struct memory_forecast forecast;
  double threshold = (double)r->config->engine.kv_tokens - tokens;
  double known;

  endpoint->unreported_tokens = unreported_tokens_at (endpoint, now_ms, 0);
  endpoint->unreported_updated_ms = now_ms;
  engine_forecast (f, r->service, endpoint, now_ms, &forecast);
  known = forecast.tokens[0] - endpoint->unreported_tokens;
  if (granted)
    endpoint->unreported_tokens
        = fmin (endpoint->unreported_tokens, fmax (threshold - known, 0));
  else
    endpoint->unreported_tokens
        = fmax (endpoint->unreported_tokens, fmax (threshold - known, 0));
}

double
engine_peak_with (struct beryl_forward *f, const struct request *r,
                  const struct beryl_live_endpoint *endpoint,
                  double deviations, int64_t now_ms)
{
  struct output_model model = engine_outputs (f, r->service, endpoint, now_ms);
  struct beryl_engine_run run;
  struct memory_forecast forecast;

  engine_forecast (f, r->service, endpoint, now_ms, &forecast);
  engine_describe_run (r, now_ms, &run);
  memory_forecast_add (&forecast, &model, &run, 0, true);
  return memory_forecast_peak (&forecast, FORECAST_STEPS * FORECAST_STEP_MS,
                               deviations);
}

/* An engine that failed recently is avoided except for occasional probes. A
   reservation call may serve as one: if it fails, only the time of a
   connection attempt is lost. */
static bool
worth_asking (const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  return !beryl_live_avoided (endpoint, now_ms)
         || beryl_live_probe_due (endpoint, now_ms);
}

bool
engine_has_prompt_cached (const struct request *r,
                          const struct beryl_live_endpoint *endpoint)
{
  return r->warm_engine != 0 && beryl_live_hash (endpoint) == r->warm_engine;
}

/* Chooses an engine from SAMPLE for R; engines outside the data centre
   PREFERRED cost REMOTE_COST more. */
static struct beryl_live_endpoint *
choose (struct beryl_forward *f, const struct request *r,
        struct sample *sample, const char *preferred, double remote_cost,
        int64_t now_ms, double *cost)
{
  struct sample_options options = {
    .concurrent_choices = backlog_concurrent_choices (f, r, now_ms),
    .data_centre = preferred,
    .remote_cost = remote_cost,
    .random = &f->random,
  };

  return sample_choose (sample, &options, cost);
}

/* Returns whether ENDPOINT may be asked to run R. */
static bool
may_be_asked (const struct beryl_forward *f, const struct request *r,
              const struct beryl_live_endpoint *endpoint, int choice,
              int64_t now_ms)
{
  bool takes_work
      = (choice & CHOICE_WITH_LEAVING) != 0
            ? beryl_live_set_allows_bound_work (f->endpoints, endpoint, now_ms)
            : beryl_live_accepts_work (endpoint);

  return takes_work && is_in_stage (endpoint, r, BERYL_STAGE_DECODE, now_ms)
         && resume_keeps_version (r, endpoint)
         && now_ms >= endpoint->full_until_ms
         && !forward_request_was_tried (r, endpoint)
         && (r->empty_end_engine == 0
             || beryl_live_hash (endpoint) != r->empty_end_engine)
         && worth_asking (endpoint, now_ms);
}

/* Extrapolates CAPACITY from SAMPLE, whose costs are set, to all engines that
   it was drawn from. */
static void
estimate_capacity (const struct request *r, const struct sample *sample,
                   double usable_tokens, struct engine_capacity *capacity)
{
  double need = r->params.prompt_tokens + r->expected_tokens;
  double least = 0;

  for (size_t i = 0; i < sample_count (sample); i++)
    {
      double cost = sample->items[i].cost;

      if (least == 0 || cost < least)
        least = cost;
      /* An engine of unknown memory size counts as having room for one run. */
      if (cost <= usable_tokens || usable_tokens <= 0)
        capacity->fitting_runs
            += 1 + fmax (usable_tokens - cost, 0) / fmax (need, 1);
    }
  if (sample->offered > SAMPLE_MAX)
    capacity->fitting_runs *= (double)sample->offered / SAMPLE_MAX;
  /* USABLE_TOKENS is FILL_PART of the engine's memory. */
  capacity->min_fill
      = usable_tokens > 0 ? FILL_PART * least / usable_tokens : 0;
}

/* Returns whether R had better run at another engine than ENDPOINT. One that
   was slow and may have recovered gets one run at a time. */
static bool
avoided_by_stream (struct beryl_forward *f, const struct request *r,
                   const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  if (engine_makes_pauses (f, r, endpoint, now_ms))
    return true;
  return speeds_of (f, r->service, endpoint, BERYL_WORK_DECODE, now_ms)
             .unproven
         && (endpoint->open_exchanges > 0
             || run_table_runs (&f->run_table, beryl_live_hash (endpoint),
                                now_ms)
                    > 0);
}

/* CHOICE is a set of flags of enum choice. The forecast is an estimate; the
   engine itself counts exactly and decides. */
static struct beryl_live_endpoint *
choose_decode (struct beryl_forward *f, const struct request *r, int choice,
               struct engine_capacity *capacity, int64_t now_ms)
{
  struct sample sample;
  struct beryl_live_endpoint *best = NULL, *warm = NULL;
  double usable_tokens = FILL_PART * (double)r->config->engine.kv_tokens;
  double cost;

  sample_init (&sample);
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (!may_be_asked (f, r, endpoint, choice, now_ms)
          || !rates_allows (f, r->service, endpoint, now_ms)
          || ((choice & CHOICE_SOUND) != 0
              && prompts_break_at (f, r->service, endpoint, now_ms))
          || ((choice & CHOICE_WITHOUT_SUSPECTS) != 0
              && crashes_suspect_at (f, r, endpoint, now_ms))
          || ((choice & CHOICE_WITHOUT_SLOW) != 0
              && avoided_by_stream (f, r, endpoint, now_ms)))
        continue;
      if (engine_has_prompt_cached (r, endpoint))
        warm = endpoint;
      sample_add (&sample, endpoint, &f->random);
    }
  for (size_t i = 0; i < sample_count (&sample); i++)
    sample.items[i].cost = engine_peak_with (f, r, sample.items[i].endpoint,
                                             FILL_DEVIATIONS, now_ms);
  estimate_capacity (r, &sample, usable_tokens, capacity);
  if (usable_tokens > 0)
    sample_drop_above (&sample, usable_tokens);
  if (warm != NULL
      && (usable_tokens <= 0
          || engine_peak_with (f, r, warm, FILL_DEVIATIONS, now_ms)
                 <= usable_tokens))
    best = warm;
  else
    best = choose (f, r, &sample, f->settings.data_centre,
                   REMOTE_COST_PART * usable_tokens, now_ms, &cost);
  return best;
}

/* Returns an engine of R's stage that it avoids; NULL if there is none. */
static const struct beryl_live_endpoint *
find_avoided_by_stream (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms)
{
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (is_in_stage (endpoint, r, BERYL_STAGE_DECODE, now_ms)
          && avoided_by_stream (f, r, endpoint, now_ms))
        return endpoint;
    }
  return NULL;
}

/* Prefers sound engines, of these the ones that are fast enough, then those
   that run no suspect. A stream whose version has only leaving engines goes on
   at one of these. The choice of an avoided engine counts as a probe of it. */
struct beryl_live_endpoint *
engine_choose_decode (struct beryl_forward *f, const struct request *r,
                      struct engine_capacity *capacity, int64_t now_ms)
{
  int suspects = crashes_any_suspect (f, now_ms) ? CHOICE_WITHOUT_SUSPECTS : 0;
  const struct beryl_live_endpoint *avoided
      = find_avoided_by_stream (f, r, now_ms);
  int slow = avoided != NULL ? CHOICE_WITHOUT_SLOW : 0;
  int preferred[] = { slow | suspects, slow, suspects, 0 };
  struct beryl_live_endpoint *best = NULL;
  int choice = CHOICE_SOUND;

  if (r->version != 0 && resume_places (f, r, now_ms) == RESUME_AT_LEAVING)
    choice = CHOICE_WITH_LEAVING;
  for (int i = 0; i < (slow != 0 ? 4 : 2) && best == NULL; i++)
    {
      if (i > 0 && preferred[i] == preferred[i - 1])
        continue;
      *capacity = (struct engine_capacity){ 0 };
      best = choose_decode (f, r, choice | preferred[i], capacity, now_ms);
    }
  if (best == NULL && !r->held)
    {
      *capacity = (struct engine_capacity){ 0 };
      best = choose_decode (f, r, choice & ~CHOICE_SOUND, capacity, now_ms);
    }
  if (avoided != NULL && best != avoided && !r->waiting)
    forward_request_log (f, r, "pass_over", avoided, "slow",
                         (int64_t)(1000
                                   * speeds_of (f, r->service, avoided,
                                                BERYL_WORK_DECODE, now_ms)
                                         .speed),
                         now_ms);
  if (best != NULL && beryl_live_avoided (best, now_ms))
    best->last_probe_ms = now_ms;
  return best;
}

struct beryl_live_endpoint *
engine_choose_target (struct beryl_forward *f, const struct request *r,
                      bool needed, int64_t now_ms)
{
  double deviations = needed ? TARGET_DEVIATIONS : FILL_DEVIATIONS;
  struct sample sample;
  double usable_tokens = FILL_PART * (double)r->config->engine.kv_tokens;
  double cost;

  /* A move is a call to the run's engine. */
  if (beryl_live_paused (r->reservation.endpoint, now_ms))
    return NULL;
  sample_init (&sample);
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (serves (endpoint, r, BERYL_STAGE_DECODE, now_ms)
          && endpoint != r->reservation.endpoint
          && beryl_live_version (endpoint)
                 == beryl_live_version (r->reservation.endpoint)
          && now_ms >= endpoint->full_until_ms
          && !beryl_live_avoided (endpoint, now_ms)
          && !prompts_break_at (f, r->service, endpoint, now_ms)
          && !rates_is_limited (f, endpoint)
          && !avoided_by_stream (f, r, endpoint, now_ms))
        sample_add (&sample, endpoint, &f->random);
    }
  for (size_t i = 0; i < sample_count (&sample); i++)
    sample.items[i].cost = engine_peak_with (f, r, sample.items[i].endpoint,
                                             deviations, now_ms);
  sample_drop_above (&sample, usable_tokens);
  return choose (f, r, &sample, r->reservation.endpoint->info.data_centre,
                 REMOTE_COST_PART * usable_tokens, now_ms, &cost);
}

/* The number of generated tokens stands for the age of a run. */
bool
engine_is_newest_run (struct beryl_forward *f, const struct request *r,
                      int64_t now_ms)
{
  const struct request *other = NULL;
  struct beryl_engine_run run, other_run;

  engine_describe_run (r, now_ms, &run);
  if (!engine_run_is_preemptible (&run))
    return false;
  TAILQ_FOREACH (other, &f->requests, entry)
  {
    if (other == r || other->reservation.endpoint != r->reservation.endpoint)
      continue;
    engine_describe_run (other, now_ms, &other_run);
    if (engine_run_is_preemptible (&other_run)
        && engine_run_is_preempted_before (&other_run, &run))
      return false;
  }
  return !run_table_has_newer (&f->run_table, &r->service->output_model, &run,
                               now_ms);
}

static bool
is_usable_prefill (const struct beryl_live_endpoint *endpoint,
                   const struct request *r, int64_t now_ms)
{
  return serves (endpoint, r, BERYL_STAGE_PREFILL, now_ms)
         && now_ms >= endpoint->full_until_ms
         && !beryl_live_avoided (endpoint, now_ms)
         && beryl_live_hash (endpoint) != r->broken_prefill_engine;
}

double
engine_queued_tokens (const struct beryl_forward *f,
                      const struct beryl_live_endpoint *endpoint,
                      int64_t now_ms)
{
  uint32_t hash = beryl_live_hash (endpoint);

  return (double)(endpoint->open_prefill_tokens
                  + run_table_prefill_tokens (&f->run_table, hash, now_ms));
}

/* Returns how many tokens a usual engine would prefill until ENDPOINT begins
   with R's prompt, with the time added or saved by its own speed. */
static double
waiting_tokens (struct beryl_forward *f, const struct request *r,
                const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  struct beryl_capacity_belief belief
      = speeds_of (f, r->service, endpoint, BERYL_WORK_PREFILL, now_ms);
  double queued = engine_queued_tokens (f, endpoint, now_ms);
  double own = r->params.prompt_tokens;

  if (belief.unproven)
    queued *= UNPROVEN_TIMES;
  return (queued + own) / belief.speed - own;
}

/* Returns the tokens of R's prompt that are expected to be read in vain at
   ENDPOINT, which breaks off part of its prompts. A new engine would never be
   asked if it were expected to break like the others. */
static double
repeated_tokens (struct beryl_forward *f, const struct request *r,
                 const struct beryl_live_endpoint *endpoint, int64_t now_ms)
{
  double success = prompts_known (f, r->service, endpoint, now_ms)
                       ? prompts_success (f, r->service, endpoint, now_ms)
                       : 1;

  return r->params.prompt_tokens * (1 / success - 1);
}

struct beryl_live_endpoint *
engine_choose_prefill (struct beryl_forward *f, const struct request *r,
                       int64_t *wait_ms, int64_t now_ms)
{
  struct sample sample;
  struct beryl_live_endpoint *best;
  double cost = 0;

  sample_init (&sample);
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (is_usable_prefill (endpoint, r, now_ms)
          && rates_allows (f, r->service, endpoint, now_ms))
        sample_add (&sample, endpoint, &f->random);
    }
  for (size_t i = 0; i < sample_count (&sample); i++)
    sample.items[i].cost
        = waiting_tokens (f, r, sample.items[i].endpoint, now_ms)
          + repeated_tokens (f, r, sample.items[i].endpoint, now_ms);
  best = choose (f, r, &sample, r->reservation.endpoint->info.data_centre,
                 REMOTE_WAIT_MS / r->service->prefill_ms_per_token, now_ms,
                 &cost);
  if (best != NULL)
    cost -= repeated_tokens (f, r, best, now_ms);
  *wait_ms = (int64_t)(fmax (cost, 0) * r->service->prefill_ms_per_token);
  return best;
}

bool
engine_has_prefill (struct beryl_forward *f, const struct request *r,
                    int64_t now_ms)
{
  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    if (is_usable_prefill (beryl_live_set_get (f->endpoints, i), r, now_ms))
      return true;
  return false;
}

int64_t
engine_prefill_wait_ms (struct beryl_forward *f, const struct request *r,
                        int64_t now_ms)
{
  double least_tokens = -1;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);
      double tokens;

      if (!is_usable_prefill (endpoint, r, now_ms))
        continue;
      tokens = fmax (waiting_tokens (f, r, endpoint, now_ms), 0);
      if (least_tokens < 0 || tokens < least_tokens)
        least_tokens = tokens;
    }
  return (int64_t)(fmax (least_tokens, 0) * r->service->prefill_ms_per_token);
}

uint32_t
engine_run_count (struct beryl_forward *f, const struct request *r,
                  int64_t now_ms)
{
  const struct request *other = NULL;
  uint32_t runs = 0;

  for (size_t i = 0; i < beryl_live_set_count (f->endpoints); i++)
    {
      const struct beryl_live_endpoint *endpoint
          = beryl_live_set_get (f->endpoints, i);

      if (endpoint->info.stage == BERYL_STAGE_DECODE
          && strcmp (endpoint->info.service, r->service->name) == 0)
        runs += run_table_runs (&f->run_table, beryl_live_hash (endpoint),
                                now_ms);
    }
  TAILQ_FOREACH (other, &f->requests, entry)
  runs += other->service == r->service && other->reservation.endpoint != NULL;
  return runs;
}

void
beryl_forward_peer_runs (struct beryl_forward *f, const char *peer,
                         const struct beryl_engine_run *runs, size_t count,
                         int64_t now_ms)
{
  run_table_update (&f->run_table, peer, runs, count, now_ms);
  for (size_t i = 0; i < count; i++)
    if (runs[i].started)
      prompt_locations_record (&f->prompt_locations, runs[i].prompt_hash,
                               runs[i].engine, now_ms);
}

void
beryl_forward_prompt_cached (struct beryl_forward *f, uint32_t prompt_hash,
                             uint32_t engine, int64_t now_ms)
{
  prompt_locations_record (&f->prompt_locations, prompt_hash, engine, now_ms);
}

void
beryl_forward_remove_peer (struct beryl_forward *f, const char *peer)
{
  run_table_remove_peer (&f->run_table, peer);
  profile_remove_peer (f, peer);
  beryl_live_set_remove (f->peers, peer, 0);
}

static size_t
describe_runs (struct beryl_forward *f, bool placed,
               struct beryl_engine_run *runs, size_t count, size_t most,
               int64_t now_ms)
{
  const struct request *r = NULL;

  TAILQ_FOREACH_REVERSE (r, &f->requests, request_list, entry)
  if (count < most
      && (placed ? r->reservation.endpoint != NULL
                 : r->waiting && r->reservation.endpoint == NULL))
    engine_describe_run (r, now_ms, &runs[count++]);
  return count;
}

/* Runs with a reservation come before waiting ones: otherwise a peak of
   waiting requests would push them out of the report, and other nodes would
   assume that their memory is free. */
size_t
beryl_forward_runs (struct beryl_forward *f, struct beryl_engine_run *runs,
                    size_t most, int64_t now_ms)
{
  size_t count = describe_runs (f, true, runs, 0, most, now_ms);

  f->report_due = false;
  return describe_runs (f, false, runs, count, most, now_ms);
}

uint64_t
beryl_forward_engine_used_tokens (struct beryl_forward *f, const char *service,
                                  const struct beryl_live_endpoint *engine,
                                  int64_t now_ms)
{
  struct memory_forecast forecast;

  engine_forecast (f, forward_service (f, service), engine, now_ms, &forecast);
  return (uint64_t)forecast.tokens[0];
}

bool
beryl_forward_report_due (const struct beryl_forward *f)
{
  return f->report_due || beryl_quotas_report_due (f->quotas)
         || beryl_admission_report_due (f->admission)
         || beryl_capacity_report_due (f->capacity);
}
