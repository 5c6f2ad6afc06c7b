/** @file
 * A load scenario: the fleet it is meant for and the calls that come.
 */
#ifndef LOAD_SCENARIO_H
#define LOAD_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "beryl/findings.h"
#include "beryl/ids.h"

/** Settings read from YAML; keys have the names of the members. */
struct scenario
{
  char name[BERYL_NAME_BYTES];
  uint64_t seed;
  char arrivals[16]; /**< poisson, bursts, day or trace */
  char trace[256];   /**< CSV file of a trace */
  uint32_t duration_s;
  double load; /**< of the decode engines' capacity */

  /* the fleet */
  uint32_t entries;
  uint32_t data_centres;
  uint32_t prefill_engines;
  uint32_t decode_engines;
  uint32_t slots;
  uint32_t service_endpoints;
  uint32_t service_concurrent; /**< calls that an endpoint runs at once */

  /* the engines' costs */
  uint32_t prefill_base_us;
  uint32_t prefill_token_us;
  uint32_t step_base_us;
  uint32_t step_stream_us;
  uint32_t block_tokens;
  uint32_t cache_blocks;
  uint32_t kv_bytes_per_token;
  uint64_t link_bytes_per_s;
  int64_t kv_ttl_ms;

  /* the long jobs */
  char model[BERYL_NAME_BYTES];
  char service[BERYL_NAME_BYTES];
  uint32_t organisations;
  double heavy_part; /**< of the jobs that the first organisation sends */
  uint32_t preamble_tokens;
  uint32_t document_tokens; /**< median, after the preamble */
  double document_spread;   /**< of the logarithm */
  uint32_t document_tokens_max;
  uint32_t max_tokens;
  int64_t deadline_ms;
  double waste_weight;

  /* the small calls */
  char plain_service[BERYL_NAME_BYTES];
  char urgent_path[128];  /**< GET */
  char patient_path[128]; /**< POST */
  double urgent_per_s;
  int64_t urgent_deadline_ms;
  int64_t urgent_ms;   /**< work of one */
  double patient_load; /**< long plain calls, of the endpoints' capacity,
                        * at load 1 */
  int64_t patient_ms;
  int64_t patient_deadline_ms;
  double bound_key_part; /**< of the patient calls: bound idempotency keys */
  double free_key_part;  /**< and free ones; the rest have none */
};

/** Set the defaults. */
void scenario_init (struct scenario *scenario);

/** Read the YAML file PATH over the defaults; false if there are findings. */
bool scenario_load (const char *path, struct scenario *scenario,
                    struct beryl_findings *findings);

/** Return the long jobs per second that make LOAD 1: all slots busy. */
double scenario_capacity_per_s (const struct scenario *scenario);

#endif
