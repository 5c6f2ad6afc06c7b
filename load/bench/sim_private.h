/** @file
 * State of a run in virtual time.
 */
#ifndef BENCH_SIM_PRIVATE_H
#define BENCH_SIM_PRIVATE_H

#include <glib.h>

#include "beryl/clock.h"
#include "model.h"
#include "sim.h"

#define SIM_NET_MS 1
#define SIM_REPORT_EVERY_MS 50
#define SIM_SAMPLES 64
#define SIM_RING 4096
#define SIM_ATTEMPTS_MAX 3
#define SIM_BLOCKS_MAX 1024

enum sim_state
{
  SIM_NEW,
  SIM_WAITING,
  SIM_PREFILL,
  SIM_UNBOUND,
  SIM_DECODE,
  SIM_PLAIN,
  SIM_MET,
  SIM_MISSED,
  SIM_REFUSED,
};

/** A call on its way. */
struct sim_job
{
  const struct arrival *arrival;
  enum sim_state state;
  uint32_t generation; /**< messages of an older one are dropped */
  uint32_t node;
  uint32_t attempts;
  uint32_t refusals;
  uint64_t ticket;
  uint64_t stream;
  uint32_t prefill;
  uint32_t decode;
  uint64_t handle;
  struct engine_kv kv;
  int64_t expires_ms;
  int64_t deadline_ms;
  uint32_t tokens;
  int64_t first_token_ms;
  uint64_t computed_tokens; /**< by all its prefills */
  uint64_t spent_tokens;    /**< by prefills that came to nothing */
  uint64_t *blocks;
  size_t block_count;
  const char *avoid; /**< an endpoint that failed it */
};

enum sim_message_type
{
  SIM_ARRIVE,
  SIM_PLAN,
  SIM_BIND,
  SIM_TO_PREFILL,
  SIM_PREFILL_FULL,
  SIM_PREFILL_DONE,
  SIM_TO_DECODE,
  SIM_DECODE_FULL,
  SIM_KV_GONE,
  SIM_TOKENS,
  SIM_DONE,
  SIM_FAILED,
  SIM_CANCEL,
  SIM_DEADLINE,
  SIM_TO_PLAIN,
  SIM_PLAIN_DONE,
};

struct sim_message
{
  enum sim_message_type type;
  uint32_t job;
  uint32_t generation;
  uint32_t engine;
  uint64_t stream;
  struct engine_output output;
};

struct sim_sample
{
  int64_t at_ms;
  struct engine_load load;
  uint64_t cache_last;
};

/** An engine or an endpoint of the plain service. */
struct sim_engine
{
  struct engine_sink sink;
  struct sim *sim;
  uint32_t number;
  const struct beryl_endpoint *endpoint;
  struct engine_model *model; /**< NULL for plain ones */
  bool dead;
  struct sim_sample samples[SIM_SAMPLES];
  uint64_t sample_count;
  uint64_t told; /**< last cache event that was sent out */
  /* plain ones */
  uint32_t running;
  GQueue queue;
};

struct sim_node
{
  struct beryl_router *router;
  GArray *waiting; /**< job numbers */
};

struct sim
{
  const struct sim_settings *settings;
  const struct scenario *scenario;
  struct sim_result *result;
  struct beryl_config config;
  int64_t now_ms;
  struct sim_job *jobs;
  size_t job_count;
  struct sim_node *nodes;
  uint32_t node_count;
  struct sim_engine *engines;
  uint32_t engine_count;
  GArray *ring[SIM_RING]; /**< of struct sim_message, by the time due */
  GPtrArray *far;         /**< deadlines beyond the ring */
  uint64_t next_stream;
  uint64_t random;
};

/* sim.c */
double sim_random (struct sim *sim);
void sim_send (struct sim *sim, int64_t delay_ms,
               const struct sim_message *message);
void sim_send_job (struct sim *sim, int64_t delay_ms,
                   enum sim_message_type type, const struct sim_job *job);
uint32_t sim_job_number (const struct sim *sim, const struct sim_job *job);
struct beryl_router *sim_router (struct sim *sim, const struct sim_job *job);
uint32_t sim_engine_number (const struct sim *sim, const char *name);
bool sim_fault_active (const struct sim *sim, enum sim_fault fault);

/* sim_config.c */
void sim_config_build (struct sim *sim);
void sim_config_release (struct sim *sim);

/* sim_jobs.c */
void sim_jobs_plan (struct sim *sim, struct sim_job *job);
void sim_jobs_message (struct sim *sim, struct sim_job *job,
                       const struct sim_message *message);
void sim_jobs_end (struct sim *sim, struct sim_job *job, enum sim_state state);
void sim_jobs_engine_died (struct sim *sim, uint32_t engine);

/* sim_plain.c */
void sim_plain_start (struct sim *sim, struct sim_job *job,
                      const char *endpoint);
void sim_plain_message (struct sim *sim, struct sim_job *job,
                        const struct sim_message *message);

/* sim_reports.c */
void sim_reports_sample (struct sim *sim);
void sim_reports_send (struct sim *sim);

/* sim_result.c */
void sim_result_collect (struct sim *sim);

#endif
