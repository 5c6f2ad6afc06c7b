/** @file
 * The timing of a model engine, without I/O: a serial prefill queue with a
 * prefix cache, exports that expire, a link of limited rate, and decoding
 * by continuous batching.
 *
 * Calls and the time go in; completions come out through a sink during
 * engine_model_advance.  The same model runs behind standin-engine and in
 * the benches' virtual time.
 */
#ifndef ENGINE_MODEL_H
#define ENGINE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/config.h"
#include "beryl/ids.h"
#include "cache.h"

struct engine_model;

/** Costs and limits. */
struct engine_settings
{
  uint32_t slots;
  uint32_t prefill_queue_max;
  uint32_t prefill_base_us;
  uint32_t prefill_token_us; /**< per uncached token */
  uint32_t step_base_us;     /**< of one decode step */
  uint32_t step_stream_us;   /**< more per stream in the batch */
  uint32_t block_tokens;
  uint32_t cache_blocks;
  uint32_t kv_bytes_per_token;
  uint64_t link_bytes_per_s;
  int64_t kv_ttl_ms;
  int64_t resume_ttl_ms; /**< a stream that nobody reads ends after this */
};

/** Answers to calls. */
enum engine_result
{
  ENGINE_OK,
  ENGINE_FULL,
  ENGINE_GONE, /**< no such KV cache or stream */
};

/** Where a stream is. */
enum engine_phase
{
  ENGINE_PHASE_QUEUED,
  ENGINE_PHASE_PREFILL,
  ENGINE_PHASE_EXPORTED,
  ENGINE_PHASE_TRANSFER, /**< a slot is taken, the KV cache is coming */
  ENGINE_PHASE_DECODE,
};

/** A prefill to queue; everything is copied. */
struct engine_prefill
{
  struct beryl_stream_id stream;
  uint32_t attempt;
  const char *request_id;
  enum beryl_class priority;
  uint32_t prompt_tokens;
  uint32_t output_tokens; /**< tokens that decoding will make */
  uint64_t seed;          /**< of the answer's text */
  const uint64_t *blocks;
  size_t block_count;
  void *user;
};

/** A decode; the KV cache comes with engine_model_imported. */
struct engine_decode
{
  struct beryl_stream_id stream;
  uint32_t attempt;
  const char *request_id;
  uint32_t max_tokens;
  void *user;
};

/** What an exported KV cache carries. */
struct engine_kv
{
  uint64_t bytes;
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  uint32_t computed_tokens; /**< of the prompt, without cached ones */
  uint64_t seed;
};

/** Completions. */
enum engine_output_type
{
  ENGINE_OUTPUT_PREFILL_DONE,  /**< exported under HANDLE */
  ENGINE_OUTPUT_TRANSFER_DONE, /**< an export has been read to its end */
  ENGINE_OUTPUT_TOKENS,        /**< tokens FROM to FROM + COUNT were made */
  ENGINE_OUTPUT_DECODE_DONE,
};

/** One completion. */
struct engine_output
{
  enum engine_output_type type;
  struct beryl_stream_id stream;
  uint32_t attempt;
  void *user;
  int64_t at_ms;
  uint64_t handle;
  struct engine_kv kv;
  uint32_t cached_tokens;
  int64_t expires_ms; /**< absolute */
  uint32_t from;
  uint32_t count;
  bool length_limited; /**< DECODE_DONE: max_tokens was reached */
};

struct engine_sink;

/** Takes completions; must not call back into the model. */
struct engine_sink_impl
{
  void (*output) (struct engine_sink *sink,
                  const struct engine_output *output);
};

/** A sink; the first member selects the implementation. */
struct engine_sink
{
  const struct engine_sink_impl *impl;
};

/** The load as it is now. */
struct engine_load
{
  uint32_t decoding; /**< slots in use */
  uint32_t prefill_queue;
  uint64_t prefill_queue_tokens; /**< uncached, the running one's rest too */
  uint64_t kv_bytes_held;
};

/** Ground truth of one request at this engine. */
struct engine_run
{
  char request_id[BERYL_NAME_BYTES];
  struct beryl_stream_id stream;
  uint32_t attempt;
  uint32_t prompt_tokens;
  uint32_t cached_tokens;
  uint32_t prefills;
  uint32_t decodes;
  bool completed;
  bool cancelled;
};

/** Sums over all runs. */
struct engine_totals
{
  uint64_t prefill_tokens;        /**< computed, without cached ones */
  uint64_t wasted_prefill_tokens; /**< of KV caches nobody imported, and of
                                   * streams that did not end */
  uint64_t decoded_tokens;
};

/** Create; SINK must outlive it. */
struct engine_model *
engine_model_create (const struct engine_settings *settings,
                     struct engine_sink *sink);
void engine_model_destroy (struct engine_model *model);

/** Faults: the link's rate times FACTOR; stalled transfers do not move;
 * frozen engines do nothing. */
void engine_model_set_link_factor (struct engine_model *model, double factor);
void engine_model_stall_transfers (struct engine_model *model, bool stall,
                                   int64_t now_ms);
void engine_model_freeze (struct engine_model *model, bool freeze,
                          int64_t now_ms);

/** Queue a prefill: OK or FULL. */
enum engine_result engine_model_prefill (struct engine_model *model,
                                         const struct engine_prefill *prefill,
                                         int64_t now_ms);

/** Start to send the KV cache HANDLE over the link: OK and its STREAM, then
 * TRANSFER_DONE with USER; or GONE. */
enum engine_result engine_model_export (struct engine_model *model,
                                        uint64_t handle, void *user,
                                        struct beryl_stream_id *stream,
                                        int64_t now_ms);

/** Take a slot for a decode: OK or FULL. */
enum engine_result engine_model_reserve (struct engine_model *model,
                                         const struct engine_decode *decode,
                                         int64_t now_ms);

/** The KV cache of a reserved decode has arrived; decoding goes on from
 * token FROM. */
enum engine_result engine_model_imported (struct engine_model *model,
                                          struct beryl_stream_id stream,
                                          const struct engine_kv *kv,
                                          uint32_t from, int64_t now_ms);

/** Read a stream again with a higher attempt.  On OK *MADE is the number of
 * tokens made so far and *SEED that of the text. */
enum engine_result engine_model_resume (struct engine_model *model,
                                        const struct engine_decode *decode,
                                        uint32_t *made, uint64_t *seed,
                                        int64_t now_ms);

/** Nobody reads USER's stream any more; it goes on for resume_ttl_ms. */
void engine_model_unread (struct engine_model *model, void *user,
                          int64_t now_ms);

/** Drop all streams of a window, both ends included.  Returns how many. */
uint32_t engine_model_cancel (struct engine_model *model, uint64_t incarnation,
                              uint64_t from, uint64_t to, int64_t now_ms);

/** Call SEEN for each stream held of INCARNATION (0: of all). */
void engine_model_holds (const struct engine_model *model,
                         uint64_t incarnation,
                         void (*seen) (struct beryl_stream_id stream,
                                       enum engine_phase phase, void *user),
                         void *user);

/** Drop everything, as when another model is loaded. */
void engine_model_clear (struct engine_model *model, int64_t now_ms);

/** Emit what is complete by NOW_MS, in order. */
void engine_model_advance (struct engine_model *model, int64_t now_ms);

/** Return when the next completion is due, or BERYL_NEVER_MS. */
int64_t engine_model_next_ms (const struct engine_model *model);

void engine_model_load (const struct engine_model *model,
                        struct engine_load *load, int64_t now_ms);
struct engine_cache *engine_model_cache (struct engine_model *model);
const struct engine_totals *
engine_model_totals (const struct engine_model *model);

/** Return the runs, owned by the model. */
const struct engine_run *engine_model_runs (const struct engine_model *model,
                                            size_t *count);

#endif
