/** @file
 * State shared by the parts of the engine model.
 */
#ifndef ENGINE_MODEL_PRIVATE_H
#define ENGINE_MODEL_PRIVATE_H

#include <glib.h>

#include "model.h"

#define ENGINE_NEVER_US INT64_MAX

/** A stream at this engine. */
struct live
{
  struct beryl_stream_id stream;
  uint32_t attempt;
  enum engine_phase phase;
  enum beryl_class priority;
  uint64_t order; /**< of arrival */
  struct engine_kv kv;
  uint32_t max_tokens;
  uint32_t cached_tokens;
  uint32_t made; /**< tokens */
  bool in_step;  /**< takes part in the running step */
  bool sending;  /**< the export is being read */
  uint64_t *blocks;
  size_t block_count;
  uint64_t handle;
  int64_t due_us;    /**< end of prefill, expiry or end of transfer */
  int64_t unread_us; /**< when nobody read it any more, or NEVER */
  size_t run;
  void *user;
  void *transfer_user;
};

struct engine_model
{
  struct engine_settings settings;
  struct engine_sink *sink;
  struct engine_cache *cache;
  GPtrArray *streams; /**< of struct live */
  GArray *runs;       /**< of struct engine_run */
  struct engine_totals totals;
  struct live *prefilling;
  uint64_t next_order;
  uint64_t next_handle;
  int64_t now_us;
  int64_t link_free_us;
  double link_factor;
  bool stalled;
  bool frozen;
  int64_t stopped_us; /**< when it was frozen or stalled */
  bool stepping;
  int64_t step_end_us;
};

void engine_emit (struct engine_model *m, const struct live *l,
                  struct engine_output *output, int64_t at_us);
struct engine_run *engine_run_of (struct engine_model *m,
                                  const struct live *l);
size_t engine_run_start (struct engine_model *m, const char *request_id,
                         struct beryl_stream_id stream, uint32_t attempt);
void engine_drop (struct engine_model *m, struct live *l);
uint32_t engine_slots_used (const struct engine_model *m);

/* batch.c */
void engine_step_begin (struct engine_model *m, int64_t at_us);
void engine_step_end (struct engine_model *m);

#endif
