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
/* A run older than this many times its estimate still has some chance. */
#define SURVIVAL_LEAST 0.02
/* Part of the expected output that is reserved.  A reservation takes memory
 * from the runs that are there, and a full engine stops one of them: with a
 * quarter, full engines stopped a twentieth more runs. */
#define RESERVED_PART 0.1
/* A prefill that a peer told of has ended by then; the end may come untold. */
#define PREFILL_MAX_MS 1000
/* A peer that told nothing for so long may be cut off; live ones tell twice a
 * second at least. */
#define SILENT_MS 1000
/* What a peer told is used for so long at most. */
#define TOLD_MAX_MS 5000

uint32_t
beryl_engine_number (const char *id)
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
  };
}

void
length_model_learn (struct length_model *model, uint32_t hint, uint32_t tokens,
                    int64_t took_ms)
{
  double share, off;

  if (tokens == 0)
    return;
  if (took_ms > 0)
    model->ms_per_token
        += PACE_WEIGHT
           * ((double)took_ms / (double)tokens - model->ms_per_token);
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
          const struct beryl_engine_run *run, int64_t age_ms)
{
  double median
      = run->expected_tokens > 0 ? run->expected_tokens : model->tokens_mean;
  double told = run->made_tokens;
  double now = told + (double)age_ms / model->ms_per_token;
  /* Ends are told at once, so that a run of a peer that is heard lives; of a
     silent peer's it is known only that it lived when it was told. */
  double alive = survival (model, median, age_ms < SILENT_MS ? now : told);
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
    }
}

double
book_peak (const struct book_curve *curve, int64_t until_ms, double deviations)
{
  double peak = 0;

  for (int i = 0; i < BOOK_STEPS && i * BOOK_STEP_MS <= until_ms; i++)
    peak = fmax (peak,
                 curve->tokens[i] + deviations * sqrt (curve->variance[i]));
  return peak;
}

void
book_clear (struct book *book)
{
  for (size_t i = 0; i < book->count; i++)
    free (book->peers[i]);
  free (book->peers);
  *book = (struct book){ 0 };
}

static struct book_peer *
book_find (struct book *book, const char *name)
{
  for (size_t i = 0; i < book->count; i++)
    if (strcmp (book->peers[i]->name, name) == 0)
      return book->peers[i];
  return NULL;
}

void
book_told (struct book *book, const char *name,
           const struct beryl_engine_run *runs, size_t count, int64_t now_ms)
{
  struct book_peer *peer = book_find (book, name);

  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      strncpy (peer->name, name, sizeof peer->name - 1);
      book->peers = realloc (book->peers, (book->count + 1) * sizeof (void *));
      book->peers[book->count++] = peer;
    }
  if (count > BERYL_ENGINE_RUNS_MAX)
    count = BERYL_ENGINE_RUNS_MAX;
  if (count > 0)
    memcpy (peer->runs, runs, count * sizeof *runs);
  peer->count = count;
  peer->told_ms = now_ms;
}

void
book_drop_prompt (struct book *book, uint32_t prompt_key)
{
  for (size_t i = 0; i < book->count; i++)
    {
      struct book_peer *peer = book->peers[i];

      for (size_t k = peer->count; k > 0; k--)
        if (peer->runs[k - 1].prompt_key == prompt_key)
          peer->runs[k - 1] = peer->runs[--peer->count];
    }
}

void
book_forget (struct book *book, const char *name)
{
  struct book_peer *peer = book_find (book, name);

  if (peer != NULL)
    peer->count = 0;
}

uint32_t
book_add_peers (const struct book *book, struct book_curve *curve,
                const struct length_model *model, uint32_t engine,
                int64_t now_ms)
{
  uint32_t count = 0;

  for (size_t i = 0; i < book->count; i++)
    {
      const struct book_peer *peer = book->peers[i];
      int64_t age_ms = now_ms - peer->told_ms;

      if (age_ms > TOLD_MAX_MS)
        continue;
      for (size_t k = 0; k < peer->count; k++)
        if (peer->runs[k].engine == engine)
          {
            book_add (curve, model, &peer->runs[k], age_ms);
            count++;
          }
    }
  return count;
}

bool
book_has_newer (const struct book *book, const struct length_model *model,
                uint32_t engine, uint32_t made, int64_t now_ms)
{
  for (size_t i = 0; i < book->count; i++)
    {
      const struct book_peer *peer = book->peers[i];
      double since = (double)(now_ms - peer->told_ms) / model->ms_per_token;

      if (now_ms - peer->told_ms > TOLD_MAX_MS)
        continue;
      for (size_t k = 0; k < peer->count; k++)
        if (peer->runs[k].engine == engine
            && peer->runs[k].made_tokens + since < made)
          return true;
    }
  return false;
}

uint64_t
book_prefilling (const struct book *book, uint32_t engine, int64_t now_ms)
{
  uint64_t tokens = 0;

  for (size_t i = 0; i < book->count; i++)
    {
      const struct book_peer *peer = book->peers[i];

      if (now_ms - peer->told_ms > PREFILL_MAX_MS)
        continue;
      for (size_t k = 0; k < peer->count; k++)
        if (peer->runs[k].prefill_engine == engine)
          tokens += peer->runs[k].prompt_tokens;
    }
  return tokens;
}

uint32_t
book_waiting (const struct book *book, uint32_t service, int64_t now_ms)
{
  uint32_t waiting = 0;

  for (size_t i = 0; i < book->count; i++)
    {
      const struct book_peer *peer = book->peers[i];

      if (now_ms - peer->told_ms > SILENT_MS)
        continue;
      for (size_t k = 0; k < peer->count; k++)
        waiting
            += peer->runs[k].engine == 0 && peer->runs[k].service == service;
    }
  return waiting;
}

uint32_t
book_runs (const struct book *book, uint32_t engine, int64_t now_ms)
{
  uint32_t runs = 0;

  for (size_t i = 0; i < book->count; i++)
    {
      const struct book_peer *peer = book->peers[i];

      if (now_ms - peer->told_ms > TOLD_MAX_MS)
        continue;
      for (size_t k = 0; k < peer->count; k++)
        runs += peer->runs[k].engine == engine;
    }
  return runs;
}
