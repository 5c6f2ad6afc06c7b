/** @file
 * Foresees the memory of decode engines from the runs of all nodes.
 *
 * A run's memory is its prompt and what it has made; it grows by a token at a
 * time at a known pace and falls to nothing when the run ends.  When it ends
 * is only known as a distribution around the caller's estimate, whose spread
 * is learned from the runs that have ended.
 */
#ifndef FORWARD_BOOK_H
#define FORWARD_BOOK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/engine_load.h"
#include "beryl/ids.h"
#include "run_index.h"

/** Points in time that are looked at: now, and as many steps ahead as the
 * longest runs last. */
#define BOOK_STEPS 14
#define BOOK_STEP_MS 300

/** Expected tokens at each point, the variance of that, and what there would
 * be if no run ended. */
struct book_curve
{
  double tokens[BOOK_STEPS];
  double variance[BOOK_STEPS];
  double most[BOOK_STEPS];
};

/** How outputs relate to callers' estimates, and how fast they are made. */
struct length_model
{
  double log_mean; /**< of the logarithm of output by estimate */
  double log_variance;
  double weight;            /**< of what was learned */
  double tokens_mean;       /**< of outputs without an estimate */
  double ms_per_token;      /**< that runs are foreseen by */
  double seen_ms_per_token; /**< mean of the node's own streams */
  uint32_t paces;           /**< streams that it is learned from */
};

/** Return how much is reserved for a run before it begins. */
uint32_t book_reserved_tokens (uint32_t prompt_tokens,
                               uint32_t expected_tokens);

/** Begin with what is assumed before anything ended. */
void length_model_init (struct length_model *model);

/** A run that was estimated at HINT tokens (0: not) has ended after TOKENS. */
void length_model_learn (struct length_model *model, uint32_t hint,
                         uint32_t tokens);

/** A stream made TOKENS in TOOK_MS. */
void length_model_learn_pace (struct length_model *model, uint32_t tokens,
                              int64_t took_ms);

/** Return the mean output of runs estimated at HINT, at most MOST. */
double length_model_mean (const struct length_model *model, uint32_t hint,
                          uint32_t most);

/** Return the median output of a run estimated at HINT, at most MOST. */
uint32_t length_model_median (const struct length_model *model, uint32_t hint,
                              uint32_t most);

/** Add the expected memory of RUN, as told AGE_MS ago, to CURVE.  If its node
 * is not HEARD any more, it is known only that the run lived then. */
void book_add (struct book_curve *curve, const struct length_model *model,
               const struct beryl_engine_run *run, int64_t age_ms, bool heard);

/** Return the highest point of CURVE up to UNTIL_MS, with DEVIATIONS standard
 * deviations added, but no more than there would be if no run ended. */
double book_peak (const struct book_curve *curve, int64_t until_ms,
                  double deviations);

/** Runs of other nodes. */
struct book_peer
{
  char name[BERYL_NAME_BYTES];
  struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX];
  size_t count;
  int64_t told_ms;
};

/** All peers; zero-initialise. */
struct book
{
  struct book_peer **peers;
  size_t count;
  struct run_index at_engine; /**< runs with a place, by its engine */
  struct run_index prefilled; /**< those whose prompts are read, by engine */
  struct run_index waiting;   /**< those without a place, by service */
  int64_t suspect_ms;  /**< when a run of a suspect was told last; 0: never */
  int64_t interval_ms; /**< in which a live peer tells something; 0: usual */
};

/** Return how long a live peer may tell nothing. */
int64_t book_silent_ms (const struct book *book);

void book_clear (struct book *book);

/** PEER has these runs and no others. */
void book_told (struct book *book, const char *peer,
                const struct beryl_engine_run *runs, size_t count,
                int64_t now_ms);

/** The run with PROMPT_KEY has ended, although its peer did not say so. */
void book_drop_prompt (struct book *book, uint32_t prompt_key);

/** PEER has gone. */
void book_forget (struct book *book, const char *peer);

/** Add the runs of all peers at ENGINE to CURVE; returns their number. */
uint32_t book_add_peers (const struct book *book, struct book_curve *curve,
                         const struct length_model *model, uint32_t engine,
                         int64_t now_ms);

/** Whether a peer has a run at ENGINE that has made less than MADE. */
bool book_has_newer (const struct book *book, const struct length_model *model,
                     uint32_t engine, uint32_t made, int64_t now_ms);

/** Return the prompt tokens that peers have at prefill engine ENGINE. */
uint64_t book_prefilling (const struct book *book, uint32_t engine,
                          int64_t now_ms);

/** Return how many runs of peers wait for a place at the service with the
 * number SERVICE. */
uint32_t book_waiting (const struct book *book, uint32_t service,
                       int64_t now_ms);
/** Whether a peer has a run at ENGINE by which that may crash. */
bool book_has_suspect (const struct book *book, uint32_t engine,
                       int64_t now_ms);
/** Return how many runs of peers are at ENGINE. */
uint32_t book_runs (const struct book *book, uint32_t engine, int64_t now_ms);

#endif
