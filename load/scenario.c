#include "scenario.h"

#include <stddef.h>
#include <string.h>

#include "common/settings.h"

/* Answers have from 30% to 100% of max_tokens, evenly. */
#define MEAN_LENGTH 0.65

#define NAME(key)                                                             \
  {                                                                           \
    .key = #key, .type = BERYL_FIELD_NAME,                                    \
    .offset = offsetof (struct scenario, key),                                \
    .bytes = sizeof (((struct scenario *)0)->key)                             \
  }
#define TEXT(key_)                                                            \
  {                                                                           \
    .key = #key_, .type = BERYL_FIELD_TEXT,                                   \
    .offset = offsetof (struct scenario, key_),                               \
    .bytes = sizeof (((struct scenario *)0)->key_)                            \
  }
#define NUMBER(key_, type_, min_, max_)                                       \
  {                                                                           \
    .key = #key_, .type = BERYL_FIELD_##type_,                                \
    .offset = offsetof (struct scenario, key_), .min = min_, .max = max_      \
  }

static const struct beryl_field fields[] = {
  TEXT (arrivals),
  NUMBER (block_tokens, UINT32, 1, 4096),
  NUMBER (bound_key_part, DOUBLE, 0, 1),
  NUMBER (cache_blocks, UINT32, 0, 1e7),
  NUMBER (data_centres, UINT32, 1, 100),
  NUMBER (deadline_ms, INT64, 1, 1e9),
  NUMBER (decode_engines, UINT32, 1, 10000),
  NUMBER (document_spread, DOUBLE, 0, 3),
  NUMBER (document_tokens, UINT32, 1, 1e6),
  NUMBER (document_tokens_max, UINT32, 1, 1e6),
  NUMBER (duration_s, UINT32, 1, 86400),
  NUMBER (entries, UINT32, 1, 1000),
  NUMBER (free_key_part, DOUBLE, 0, 1),
  NUMBER (heavy_part, DOUBLE, 0, 1),
  NUMBER (kv_bytes_per_token, UINT32, 0, 1e8),
  NUMBER (kv_ttl_ms, INT64, 1, 1e6),
  NUMBER (link_bytes_per_s, UINT64, 1, 1e13),
  NUMBER (load, DOUBLE, 0, 100),
  NUMBER (max_tokens, UINT32, 1, 1e6),
  TEXT (model),
  TEXT (name),
  NUMBER (organisations, UINT32, 1, 100000),
  NUMBER (patient_deadline_ms, INT64, 1, 1e9),
  NUMBER (patient_load, DOUBLE, 0, 10),
  NUMBER (patient_ms, INT64, 1, 1e6),
  TEXT (patient_path),
  TEXT (plain_service),
  NUMBER (preamble_tokens, UINT32, 0, 1e6),
  NUMBER (prefill_base_us, UINT32, 0, 1e7),
  NUMBER (prefill_engines, UINT32, 1, 10000),
  NUMBER (prefill_token_us, UINT32, 1, 1e6),
  NUMBER (seed, UINT64, 0, 1e15),
  TEXT (service),
  NUMBER (service_concurrent, UINT32, 1, 10000),
  NUMBER (service_endpoints, UINT32, 1, 10000),
  NUMBER (slots, UINT32, 1, 10000),
  NUMBER (step_base_us, UINT32, 0, 1e7),
  NUMBER (step_stream_us, UINT32, 0, 1e7),
  TEXT (trace),
  NUMBER (urgent_deadline_ms, INT64, 1, 1e6),
  NUMBER (urgent_ms, INT64, 1, 1e6),
  TEXT (urgent_path),
  NUMBER (urgent_per_s, DOUBLE, 0, 1e6),
  NUMBER (waste_weight, DOUBLE, 0, 1000),
};

void
scenario_init (struct scenario *s)
{
  *s = (struct scenario){
    .name = "unnamed",
    .seed = 1,
    .arrivals = "poisson",
    .duration_s = 60,
    .load = 0.5,
    .entries = 6,
    .data_centres = 1,
    .prefill_engines = 4,
    .decode_engines = 6,
    .slots = 20,
    .service_endpoints = 4,
    .service_concurrent = 8,
    .prefill_base_us = 5000,
    .prefill_token_us = 60,
    .step_base_us = 25000,
    .step_stream_us = 750,
    .block_tokens = 64,
    .cache_blocks = 1200,
    .kv_bytes_per_token = 40000,
    .link_bytes_per_s = 3000000000,
    .kv_ttl_ms = 800,
    .model = "model",
    .service = "model",
    .organisations = 20,
    .preamble_tokens = 1500,
    .document_tokens = 3000,
    .document_spread = 0.5,
    .document_tokens_max = 24000,
    .max_tokens = 300,
    .deadline_ms = 30000,
    .waste_weight = 1,
    .plain_service = "status",
    .urgent_path = "/status",
    .patient_path = "/report",
    .urgent_per_s = 20,
    .urgent_deadline_ms = 150,
    .urgent_ms = 5,
    .patient_load = 0.5,
    .patient_ms = 400,
    .patient_deadline_ms = 5000,
    .bound_key_part = 0.5,
    .free_key_part = 0.2,
  };
}

bool
scenario_load (const char *path, struct scenario *s,
               struct beryl_findings *findings)
{
  static const char *const known[] = { "poisson", "bursts", "day", "trace" };

  if (!settings_load (path, fields, sizeof fields / sizeof fields[0], s,
                      findings))
    return false;
  for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
    if (strcmp (known[i], s->arrivals) == 0)
      return true;
  beryl_findings_add (findings, path, 0, 0,
                      "arrivals must be poisson, bursts, day or trace");
  return false;
}

double
scenario_capacity_per_s (const struct scenario *s)
{
  double step_ms
      = (s->step_base_us + (double)s->slots * s->step_stream_us) / 1000;
  double decode_ms = s->max_tokens * MEAN_LENGTH * step_ms;
  return (double)s->decode_engines * s->slots * 1000 / decode_ms;
}
