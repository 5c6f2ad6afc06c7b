#include "book.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Before a run has ended, outputs are taken to spread around the estimate by
 * a factor of e^0.5, and a token to take a millisecond. */
#define PRIOR_LOG_VARIANCE 0.25
#define PRIOR_MS_PER_TOKEN 1.0
#define PRIOR_TOKENS 4000.0
/* The prior counts as so many runs; the past fades after as many. */
#define PRIOR_WEIGHT 10.0
#define WEIGHT_MAX 200.0
#define PACE_WEIGHT 0.1
/* Once so many streams were seen, one counts for no more than this many times
 * the mean: it may have been this process that was paused. */
#define PACES_KNOWN 4
#define PACE_MOST 2.0
/* A run older than this many times its estimate still has some chance. */
#define SURVIVAL_LEAST 0.02
/* Part of the expected output that is reserved.  A reservation takes memory
 * from the runs that are there, and a full engine stops one of them. */
#define RESERVED_PART 0.1
/* A prefill that a peer told of has ended by then; the end may come untold. */
#define PREFILL_MAX_MS 1000
/* A peer that told nothing for so many of its intervals may be cut off. */
#define SILENT_INTERVALS 2
/* Of peers that were not told to be slower. */
#define INTERVAL_MS 500
/* What a peer told is used for so long at most. */
#define TOLD_MAX_MS 5000

uint32_t
beryl_name_hash (const char *id)
{
  return (uint32_t)XXH3_64bits (id, strlen (id));
}

uint32_t
book_reserved_tokens (uint32_t prompt_tokens, uint32_t expected_tokens)
{
  return prompt_tokens + (uint32_t)(RESERVED_PART * expected_tokens);
}

void
length_model_init (struct length_model *model)
{
  *model = (struct length_model){
    .log_variance = PRIOR_LOG_VARIANCE,
    .weight = PRIOR_WEIGHT,
    .tokens_mean = PRIOR_TOKENS,
    .ms_per_token = PRIOR_MS_PER_TOKEN,
    .seen_ms_per_token = PRIOR_MS_PER_TOKEN,
  };
}

void
length_model_learn_pace (struct length_model *model, uint32_t tokens,
                         int64_t took_ms)
{
  double sample, weight;

  if (tokens == 0 || took_ms <= 0)
    return;
  sample = (double)took_ms / (double)tokens;
  if (model->paces >= PACES_KNOWN)
    sample = fmin (sample, PACE_MOST * model->seen_ms_per_token);
  model->paces++;
  weight = fmax (PACE_WEIGHT, 1.0 / model->paces);
  model->seen_ms_per_token += weight * (sample - model->seen_ms_per_token);
  model->ms_per_token = model->seen_ms_per_token;
}

void
length_model_learn (struct length_model *model, uint32_t hint, uint32_t tokens)
{
  double share, off;

  if (tokens == 0)
    return;
  if (model->weight < WEIGHT_MAX)
    model->weight++;
  share = 1 / model->weight;
  model->tokens_mean += share * ((double)tokens - model->tokens_mean);
  if (hint == 0)
    return;
  off = log ((double)tokens / (double)hint) - model->log_mean;
  model->log_mean += share * off;
  model->log_variance += share * (off * off - model->log_variance);
}

uint32_t
length_model_median (const struct length_model *model, uint32_t hint,
                     uint32_t most)
{
  double median = hint > 0 ? hint * exp (model->log_mean) : model->tokens_mean;

  return median < most ? (uint32_t)median : most;
}

/* The spread makes the mean larger than the median. */
double
length_model_mean (const struct length_model *model, uint32_t hint,
                   uint32_t most)
{
  double mean = hint > 0
                    ? hint * exp (model->log_mean + model->log_variance / 2)
                    : model->tokens_mean;

  return fmin (mean, most);
}

/* The chance that an output is longer than TOKENS. */
static double
survival (const struct length_model *model, double median, double tokens)
{
  double chance;

  if (tokens < 1)
    return 1;
  chance = 0.5 * erfc (log (tokens / median) / sqrt (2 * model->log_variance));
  return chance > SURVIVAL_LEAST ? chance : SURVIVAL_LEAST;
}

void
book_add (struct book_curve *curve, const struct length_model *model,
          const struct beryl_engine_run *run, int64_t age_ms, bool heard)
{
  double median
      = run->expected_tokens > 0 ? run->expected_tokens : model->tokens_mean;
  double told = run->generated_tokens;
  double now = told + (double)age_ms / model->ms_per_token;
  /* Ends are told at once, so that a run of a peer that is heard lives; of a
     silent peer's it is known only that it lived when it was told. */
  double alive = survival (model, median, heard ? now : told);
  /* Once the run has begun, its reservation is used up. */
  double reserved = run->started ? 0
                                 : book_reserved_tokens (run->prompt_tokens,
                                                         run->expected_tokens);

  for (int i = 0; i < BOOK_STEPS; i++)
    {
      double made = now + (double)(i * BOOK_STEP_MS) / model->ms_per_token;
      double chance = fmin (survival (model, median, made) / alive, 1);
      double tokens = fmax (run->prompt_tokens + made, reserved);

      curve->tokens[i] += chance * tokens;
      curve->variance[i] += chance * (1 - chance) * tokens * tokens;
      curve->most[i] += tokens;
    }
}

double
book_peak (const struct book_curve *curve, int64_t until_ms, double deviations)
{
  double peak = 0;

  for (int i = 0; i < BOOK_STEPS && i * BOOK_STEP_MS <= until_ms; i++)
    {
      double spread = deviations * sqrt (curve->variance[i]);

      peak = fmax (peak, fmin (curve->tokens[i] + spread, curve->most[i]));
    }
  return peak;
}

int64_t
book_silent_ms (const struct book *book)
{
  return SILENT_INTERVALS
         * (book->interval_ms > INTERVAL_MS ? book->interval_ms : INTERVAL_MS);
}

void
book_clear (struct book *book)
{
  for (size_t i = 0; i < book->count; i++)
    free (book->peers[i]);
  free (book->peers);
  run_index_clear (&book->at_engine);
  run_index_clear (&book->prefilled);
  run_index_clear (&book->waiting);
  *book = (struct book){ 0 };
}

/* Returns the place of NAME among the peers, which are in order of names. */
static size_t
book_place (const struct book *book, const char *name, bool *found)
{
  size_t low = 0;
  size_t high = book->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (book->peers[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < book->count && strcmp (book->peers[low]->name, name) == 0;
  return low;
}

static struct book_peer *
book_find (struct book *book, const char *name)
{
  bool found;
  size_t place = book_place (book, name, &found);

  return found ? book->peers[place] : NULL;
}

static struct book_peer *
book_add_peer (struct book *book, const char *name)
{
  struct book_peer *peer = calloc (1, sizeof *peer);
  bool found;
  size_t place = book_place (book, name, &found);

  strncpy (peer->name, name, sizeof peer->name - 1);
  book->peers = realloc (book->peers, (book->count + 1) * sizeof (void *));
  memmove (&book->peers[place + 1], &book->peers[place],
           (book->count - place) * sizeof (void *));
  book->peers[place] = peer;
  book->count++;
  return peer;
}

/* Puts all runs of PEER into the indices, or takes them out: APPLY is
 * run_index_add or run_index_remove. */
static void
index_runs (struct book *book, const struct book_peer *peer,
            void (*apply) (struct run_index *index, uint32_t number,
                           const struct book_peer *peer, uint32_t at))
{
  for (uint32_t k = 0; k < peer->count; k++)
    {
      const struct beryl_engine_run *run = &peer->runs[k];

      if (run->engine != 0)
        apply (&book->at_engine, run->engine, peer, k);
      else
        apply (&book->waiting, run->service, peer, k);
      if (run->prefill_engine != 0)
        apply (&book->prefilled, run->prefill_engine, peer, k);
    }
}

void
book_told (struct book *book, const char *name,
           const struct beryl_engine_run *runs, size_t count, int64_t now_ms)
{
  struct book_peer *peer = book_find (book, name);

  if (peer == NULL)
    peer = book_add_peer (book, name);
  if (count > BERYL_ENGINE_RUNS_MAX)
    count = BERYL_ENGINE_RUNS_MAX;
  index_runs (book, peer, run_index_remove);
  if (count > 0)
    memcpy (peer->runs, runs, count * sizeof *runs);
  for (size_t i = 0; i < count; i++)
    if (runs[i].suspect)
      book->suspect_ms = now_ms;
  peer->count = count;
  peer->told_ms = now_ms;
  index_runs (book, peer, run_index_add);
}

static void
peer_drop_prompt (struct book *book, struct book_peer *peer,
                  uint32_t prompt_key)
{
  size_t left = 0;

  for (size_t k = 0; k < peer->count; k++)
    left += peer->runs[k].prompt_hash != prompt_key;
  if (left == peer->count)
    return;
  index_runs (book, peer, run_index_remove);
  left = 0;
  for (size_t k = 0; k < peer->count; k++)
    if (peer->runs[k].prompt_hash != prompt_key)
      peer->runs[left++] = peer->runs[k];
  peer->count = left;
  index_runs (book, peer, run_index_add);
}

void
book_drop_prompt (struct book *book, uint32_t prompt_key)
{
  for (size_t i = 0; i < book->count; i++)
    peer_drop_prompt (book, book->peers[i], prompt_key);
}

void
book_forget (struct book *book, const char *name)
{
  struct book_peer *peer = book_find (book, name);

  if (peer == NULL)
    return;
  index_runs (book, peer, run_index_remove);
  peer->count = 0;
}

/* Calls VISIT_ONE for each run in LIST that was told at most MOST_MS ago. */
static void
visit (const struct run_list *list, int64_t most_ms, int64_t now_ms,
       void (*visit_one) (const struct beryl_engine_run *run, int64_t age_ms,
                          void *user),
       void *user)
{
  for (size_t i = 0; list != NULL && i < list->count; i++)
    {
      const struct run_ref *ref = &list->items[i];
      int64_t age_ms = now_ms - ref->peer->told_ms;

      if (age_ms <= most_ms)
        visit_one (&ref->peer->runs[ref->at], age_ms, user);
    }
}

struct adding
{
  const struct book *book;
  struct book_curve *curve;
  const struct length_model *model;
  uint32_t count;
};

static void
add_one (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  struct adding *adding = user;

  book_add (adding->curve, adding->model, run, age_ms,
            age_ms < book_silent_ms (adding->book));
  adding->count++;
}

uint32_t
book_add_peers (const struct book *book, struct book_curve *curve,
                const struct length_model *model, uint32_t engine,
                int64_t now_ms)
{
  struct adding adding = { .book = book, .curve = curve, .model = model };

  visit (run_index_find (&book->at_engine, engine), TOLD_MAX_MS, now_ms,
         add_one, &adding);
  return adding.count;
}

struct newest
{
  double ms_per_token;
  double made; /* least of what runs have made */
};

static void
note_newest (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  struct newest *newest = user;

  newest->made
      = fmin (newest->made,
              run->generated_tokens + (double)age_ms / newest->ms_per_token);
}

bool
book_has_newer (const struct book *book, const struct length_model *model,
                uint32_t engine, uint32_t made, int64_t now_ms)
{
  struct newest newest
      = { .ms_per_token = model->ms_per_token, .made = INFINITY };

  visit (run_index_find (&book->at_engine, engine), TOLD_MAX_MS, now_ms,
         note_newest, &newest);
  return newest.made < made;
}

static void
sum_prompts (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  uint64_t *tokens = user;

  *tokens += run->prompt_tokens;
}

uint64_t
book_prefilling (const struct book *book, uint32_t engine, int64_t now_ms)
{
  uint64_t tokens = 0;

  visit (run_index_find (&book->prefilled, engine), PREFILL_MAX_MS, now_ms,
         sum_prompts, &tokens);
  return tokens;
}

static void
count_one (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  uint32_t *count = user;

  (*count)++;
}

uint32_t
book_waiting (const struct book *book, uint32_t service, int64_t now_ms)
{
  uint32_t waiting = 0;

  visit (run_index_find (&book->waiting, service), book_silent_ms (book),
         now_ms, count_one, &waiting);
  return waiting;
}

uint32_t
book_runs (const struct book *book, uint32_t engine, int64_t now_ms)
{
  uint32_t runs = 0;

  visit (run_index_find (&book->at_engine, engine), TOLD_MAX_MS, now_ms,
         count_one, &runs);
  return runs;
}

static void
note_suspect (const struct beryl_engine_run *run, int64_t age_ms, void *user)
{
  bool *found = user;

  *found = *found || run->suspect;
}

bool
book_has_suspect (const struct book *book, uint32_t engine, int64_t now_ms)
{
  bool found = false;

  visit (run_index_find (&book->at_engine, engine), book_silent_ms (book),
         now_ms, note_suspect, &found);
  return found;
}
