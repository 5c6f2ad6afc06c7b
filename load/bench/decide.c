/** @file
 * beryl-bench-decide: time and memory of a routing decision by the number
 * of endpoints and nodes.
 */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../histogram.h"
#include "beryl/router.h"

#define MODELS 3
#define SLOTS 20
#define ORGANISATIONS 2200
#define PREAMBLE_BLOCKS 16
#define BLOCKS 80
#define PREFILL_PART 0.4
#define BUSY_PART 0.9
#define DECISIONS 20000
#define NAMES_MAX 400
#define STEP_MS 10
#define TOKEN_MS 40
#define KV_BYTES 200000000

struct fleet
{
  struct beryl_config config;
  struct beryl_service services[MODELS];
  struct beryl_model models[MODELS];
};

static void
fill_endpoints (struct fleet *f, uint32_t count)
{
  struct beryl_endpoint *all = g_new0 (struct beryl_endpoint, count);
  for (uint32_t i = 0; i < count; i++)
    {
      bool prefill = (i / MODELS) % 10 < PREFILL_PART * 10;
      snprintf (all[i].name, BERYL_NAME_BYTES, "endpoint-%05u", i);
      snprintf (all[i].data_centre, BERYL_NAME_BYTES, "dc-%u", i % 10);
      strcpy (all[i].service, f->services[i % MODELS].name);
      all[i].role = prefill ? BERYL_ROLE_PREFILL : BERYL_ROLE_DECODE;
      all[i].slots = SLOTS;
      all[i].link_bytes_per_s = 3000000000;
    }
  f->config.endpoints = all;
  f->config.endpoint_count = count;
}

static void
fleet_init (struct fleet *f, uint32_t endpoints)
{
  memset (f, 0, sizeof *f);
  for (int i = 0; i < MODELS; i++)
    {
      snprintf (f->services[i].name, BERYL_NAME_BYTES, "service-%d", i);
      snprintf (f->services[i].model, BERYL_NAME_BYTES, "model-%d", i);
      strcpy (f->models[i].name, f->services[i].model);
      f->services[i].call_class = BERYL_CLASS_NORMAL;
      f->services[i].waste_weight = 1;
      f->models[i].block_tokens = 64;
      f->models[i].kv_bytes_per_token = 40000;
    }
  f->config.version = 1;
  f->config.services = f->services;
  f->config.service_count = MODELS;
  f->config.models = f->models;
  f->config.model_count = MODELS;
  f->config.organisations = g_new0 (struct beryl_organisation, ORGANISATIONS);
  f->config.organisation_count = ORGANISATIONS;
  for (int i = 0; i < ORGANISATIONS; i++)
    {
      snprintf (f->config.organisations[i].name, BERYL_NAME_BYTES,
                "organisation-%05d", i);
      f->config.organisations[i].weight = 1;
    }
  fill_endpoints (f, endpoints);
}

static void
fleet_release (struct fleet *f)
{
  g_free (f->config.organisations);
  g_free (f->config.endpoints);
}

static void
report_all (const struct fleet *f, struct beryl_router *r, GRand *rand,
            int64_t now_ms)
{
  for (size_t i = 0; i < f->config.endpoint_count; i++)
    {
      bool decode = f->config.endpoints[i].role == BERYL_ROLE_DECODE;
      struct beryl_load_report report = {
        .endpoint = f->config.endpoints[i].name,
        .measured_ms = now_ms - 500,
        .decoding
        = decode ? (uint32_t)g_rand_int_range (rand, SLOTS / 2, SLOTS) : 0,
        .prefill_queue_tokens
        = decode ? 0 : (uint64_t)g_rand_int_range (rand, 0, 4000),
      };
      beryl_router_load_report (r, &report, now_ms);
    }
}

static void
fill_job (const struct fleet *f, struct beryl_job *job, uint64_t *blocks,
          uint64_t number, GRand *rand, int64_t now_ms)
{
  int organisation = g_rand_int_range (rand, 0, ORGANISATIONS);
  for (uint64_t i = 0; i < BLOCKS; i++)
    blocks[i]
        = (i < PREAMBLE_BLOCKS ? (uint64_t)organisation << 20 : number << 32)
          + i * UINT64_C (0x9e3779b97f4a7c15);
  *job = (struct beryl_job){
    .request = number,
    .service = f->services[number % MODELS].name,
    .organisation = f->config.organisations[organisation].name,
    .call_class = BERYL_CLASS_NORMAL,
    .prompt_tokens = BLOCKS * 64,
    .max_tokens = 400,
    .block_hashes = blocks,
    .block_count = BLOCKS,
    .arrived_ms = now_ms,
    .deadline_ms = now_ms + 60000,
  };
}

struct measure
{
  struct histogram *ns;
  uint64_t total_ns;
  uint64_t decisions;
  uint64_t started;
  size_t state_bytes;
};

static uint64_t
now_ns (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000000000 + (uint64_t)t.tv_nsec;
}

struct open_job
{
  uint64_t ticket;
  int64_t first_token_ms;
};

static void
end_oldest (struct beryl_router *r, GQueue *open, int64_t now_ms)
{
  struct open_job *oldest = g_queue_pop_head (open);
  if (!oldest)
    return;
  int64_t took_ms = now_ms - oldest->first_token_ms;
  if (took_ms > 0)
    beryl_router_tokens_generated (r, oldest->ticket,
                                   (uint32_t)(took_ms / TOKEN_MS) + 1, now_ms);
  beryl_router_release (r, oldest->ticket, BERYL_RELEASE_DONE, NULL, now_ms);
  g_free (oldest);
}

static void
begin (struct beryl_router *r, GQueue *open, const struct beryl_plan *plan,
       int64_t now_ms)
{
  struct open_job *job = g_new0 (struct open_job, 1);
  job->ticket = plan->ticket;
  job->first_token_ms = now_ms + 300;
  g_queue_push_tail (open, job);
  beryl_router_prefill_done (r, plan->ticket, plan->cached_tokens, KV_BYTES,
                             now_ms + 200);
  beryl_router_first_token (r, plan->ticket, now_ms + 300);
}

/* Each turn one job is planned; when the node's slots are used to BUSY_PART
 * or no slot was found, the oldest ends. */
static void
run_decisions (const struct fleet *f, struct beryl_router *r, uint32_t nodes,
               GRand *rand, struct measure *m)
{
  uint64_t blocks[BLOCKS];
  GQueue open = G_QUEUE_INIT;
  double slots = (double)f->config.endpoint_count * (1 - PREFILL_PART) * SLOTS
                 / nodes * BUSY_PART;
  guint open_max = MAX (1, (guint)slots);
  for (uint64_t n = 1; n <= DECISIONS; n++)
    {
      int64_t now_ms = 1000 + (int64_t)n * STEP_MS;
      struct beryl_job job;
      struct beryl_plan plan;
      if (n % 200 == 0)
        report_all (f, r, rand, now_ms);
      fill_job (f, &job, blocks, n, rand, now_ms);
      uint64_t before = now_ns ();
      beryl_router_plan (r, &job, now_ms, &plan);
      uint64_t took = now_ns () - before;
      histogram_record (m->ns, (int64_t)took);
      m->total_ns += took;
      m->decisions++;
      if (plan.verdict == BERYL_VERDICT_START)
        {
          begin (r, &open, &plan, now_ms);
          m->started++;
        }
      else
        beryl_router_drop_waiting (r, n);
      if (plan.verdict != BERYL_VERDICT_START
          || g_queue_get_length (&open) > open_max)
        end_oldest (r, &open, now_ms);
    }
  g_queue_clear_full (&open, g_free);
}

static void
measure_size (uint32_t endpoints, uint32_t nodes, json_t *rows)
{
  struct fleet f;
  char names[NAMES_MAX][32];
  const char *pointers[NAMES_MAX];
  struct measure m = { .ns = histogram_create () };
  GRand *rand = g_rand_new_with_seed (7);
  fleet_init (&f, endpoints);
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  struct beryl_router *r
      = beryl_router_create ("node-000", "dc-0", BERYL_POLICY_PLANNED, 1);
  for (uint32_t i = 0; i < nodes; i++)
    {
      snprintf (names[i], sizeof names[i], "node-%03u", i);
      pointers[i] = names[i];
    }
  beryl_router_set_config (r, &f.config, 0);
  uint64_t share_ns = now_ns ();
  beryl_router_set_members (r, pointers, nodes, 0);
  share_ns = now_ns () - share_ns;
  report_all (&f, r, rand, 1000);
  run_decisions (&f, r, nodes, rand, &m);
  m.state_bytes = mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before;
  double mean = (double)m.total_ns / (double)m.decisions;
  int64_t p50 = histogram_percentile_us (m.ns, 50);
  int64_t p99 = histogram_percentile_us (m.ns, 99);
  printf ("%9u %6u %9.0f %9lld %9lld %8.1f%% %12zu %10.2f\n", endpoints, nodes,
          mean, (long long)p50, (long long)p99,
          100.0 * (double)m.started / (double)m.decisions, m.state_bytes,
          (double)share_ns / 1e6);
  json_array_append_new (
      rows, json_pack ("{s:i,s:i,s:f,s:I,s:I,s:I,s:f}", "endpoints",
                       (int)endpoints, "nodes", (int)nodes, "mean_ns", mean,
                       "p50_ns", (json_int_t)p50, "p99_ns", (json_int_t)p99,
                       "state_bytes", (json_int_t)m.state_bytes, "share_ms",
                       (double)share_ns / 1e6));
  beryl_router_destroy (r);
  histogram_destroy (m.ns);
  g_rand_free (rand);
  fleet_release (&f);
}

int
main (void)
{
  static const uint32_t sizes[][2]
      = { { 15, 8 },     { 150, 8 },  { 150, 40 },  { 1500, 8 },  { 1500, 40 },
          { 1500, 400 }, { 5900, 8 }, { 5900, 40 }, { 5900, 400 } };
  json_t *rows = json_array ();
  printf ("%9s %6s %9s %9s %9s %9s %12s %10s\n", "endpoints", "nodes",
          "mean ns", "p50 ns", "p99 ns", "started", "state bytes", "share ms");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_size (sizes[i][0], sizes[i][1], rows);
  json_t *all = json_pack ("{s:s,s:o}", "bench", "decide", "rows", rows);
  char *line = json_dumps (all, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (line);
  free (line);
  json_decref (all);
  return EXIT_SUCCESS;
}
