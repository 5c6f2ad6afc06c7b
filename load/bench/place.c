/** @file
 * beryl-bench-place: time that one gateway node takes to find a decode engine
 * for a generation, and to take in a peer's message of its runs, by the number
 * of engines and nodes.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "beryl/forward.h"

#define SERVICE "model"
#define HOST "model.example"
#define KV_TOKENS 70000
#define PROMPT_TOKENS 5000
#define EXPECTED_TOKENS 2000
#define PREFILL_PART 0.3
/* Runs at a decode engine that leave room for one more. */
#define RUNS_PER_ENGINE 5
#define ARRIVALS 2000
#define STEP_MS 5

struct owner
{
  struct beryl_forward_owner base;
  uint64_t asked;   /* questions for room */
  uint64_t refused; /* requests that were given no place */
};

static void
owner_start (struct beryl_forward_owner *base,
             const struct beryl_exchange_start *start)
{
  struct owner *owner = (struct owner *)base;

  owner->asked += start->kind == BERYL_EXCHANGE_RESERVE;
}

static void
owner_abort (struct beryl_forward_owner *base, uint64_t exchange)
{
}

static void
owner_refuse (struct beryl_forward_owner *base, uint64_t request,
              const struct beryl_refusal *refusal)
{
  struct owner *owner = (struct owner *)base;

  owner->refused++;
}

static const struct beryl_forward_owner_impl owner_impl
    = { .start = owner_start, .abort = owner_abort, .refuse = owner_refuse };

static void
engine_id (char id[BERYL_NAME_BYTES], uint32_t i)
{
  snprintf (id, BERYL_NAME_BYTES, "engine-%05u", i);
}

static bool
reads_prompts (uint32_t i)
{
  return i % 10 < PREFILL_PART * 10;
}

static void
add_engines (struct beryl_live_set *lives, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct beryl_live_info info
          = { .service = SERVICE, .address = "127.0.0.1", .port = 1 };

      engine_id (info.id, i);
      info.stage
          = reads_prompts (i) ? BERYL_STAGE_PREFILL : BERYL_STAGE_DECODE;
      info.revision = 1;
      beryl_live_set_put (lives, &info, 0);
    }
}

static void
set_routes (struct beryl_forward *forward)
{
  struct beryl_route_service service
      = { .name = SERVICE,
          .has_engines = true,
          .health_path = "",
          .engine = { .slots = 32,
                      .kv_tokens = KV_TOKENS,
                      .event_tokens = 70,
                      .kv_handle_ms = 500,
                      .reservation_ms = 2000 } };
  struct beryl_route_target target = { .weight = 1 };
  struct beryl_route route = { .name = "route",
                               .host = HOST,
                               .path_prefix = "/",
                               .generation = true,
                               .streaming = true,
                               .endpoints_max = 2,
                               .timeout_ms = 14000,
                               .objective_ms = 900,
                               .gap_objective_ms = 300,
                               .targets = &target,
                               .target_count = 1 };
  struct beryl_routes *routes = beryl_routes_create (1);

  target.service = beryl_routes_add_service (routes, &service);
  beryl_routes_add (routes, &route);
  beryl_routes_freeze (routes);
  beryl_forward_set_routes (forward, routes);
  beryl_routes_unref (routes);
}

/* The runs that node NODE of NODES has at ENGINES engines. */
static size_t
node_runs (uint32_t node, uint32_t nodes, uint32_t engines,
           struct beryl_engine_run *runs)
{
  uint32_t all = engines * RUNS_PER_ENGINE;
  size_t count = 0;

  for (uint32_t i = node; i < all && count < BERYL_ENGINE_RUNS_MAX; i += nodes)
    {
      char id[BERYL_NAME_BYTES];

      if (reads_prompts (i % engines))
        continue;
      engine_id (id, i % engines);
      runs[count++] = (struct beryl_engine_run){
        .engine = beryl_name_hash (id),
        .prompt_tokens = PROMPT_TOKENS,
        .expected_tokens = EXPECTED_TOKENS,
        .generated_tokens = i % EXPECTED_TOKENS,
        .started = true,
        .prompt_hash = i + 1,
      };
    }
  return count;
}

static int64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static int
compare (const void *a, const void *b)
{
  const int64_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

struct measure
{
  int64_t arrival_ns[ARRIVALS];
  int64_t message_ns;
  uint64_t messages;
};

/* All peers tell their runs twice a second, spread over time. */
static void
tell_some (struct beryl_forward *forward, uint32_t nodes, uint32_t engines,
           uint32_t step, struct measure *m)
{
  uint32_t steps = 500 / STEP_MS;

  for (uint32_t node = step % steps; node < nodes; node += steps)
    {
      struct beryl_engine_run runs[BERYL_ENGINE_RUNS_MAX];
      size_t count = node_runs (node, nodes, engines, runs);
      char name[BERYL_NAME_BYTES];
      int64_t began_ns;

      snprintf (name, sizeof name, "node-%u", node);
      began_ns = now_ns ();
      beryl_forward_peer_runs (forward, name, runs, count,
                               (int64_t)step * STEP_MS);
      m->message_ns += now_ns () - began_ns;
      m->messages++;
    }
}

static void
arrive (struct beryl_forward *forward, uint64_t request, int64_t now_ms,
        int64_t *took_ns)
{
  struct beryl_forward_request facts
      = { .handle = request,
          .host = HOST,
          .path = "/x",
          .arrived_ms = now_ms,
          .deadline_ms = now_ms + 14000,
          .prompt_tokens = PROMPT_TOKENS,
          .output_tokens_hint = EXPECTED_TOKENS,
          .output_tokens_max = 4 * EXPECTED_TOKENS };
  int64_t began_ns = now_ns ();

  beryl_forward_submit (forward, &facts, now_ms);
  *took_ns = now_ns () - began_ns;
  beryl_forward_cancel (forward, request, now_ms);
}

static json_t *
run (uint32_t engines, uint32_t nodes)
{
  struct beryl_forward_settings settings
      = { .data_centre = "dc", .seed = 1, .repeat_window_ms = 10000 };
  struct owner owner = { .base = { .impl = &owner_impl } };
  struct beryl_live_set *lives = beryl_live_set_create (2000);
  struct beryl_forward *forward
      = beryl_forward_create (&settings, lives, &owner.base);
  struct measure *m = g_new0 (struct measure, 1);
  uint32_t warm = 500 / STEP_MS;
  int64_t total_ns = 0;
  const int64_t *p99_ns;
  json_t *row;

  add_engines (lives, engines);
  set_routes (forward);
  beryl_forward_set_node_count (forward, nodes);
  for (uint32_t step = 0; step < warm; step++)
    tell_some (forward, nodes, engines, step, m);
  for (uint32_t i = 0; i < ARRIVALS; i++)
    {
      tell_some (forward, nodes, engines, warm + i, m);
      arrive (forward, i + 1, (int64_t)(warm + i) * STEP_MS,
              &m->arrival_ns[i]);
      total_ns += m->arrival_ns[i];
    }
  p99_ns = &m->arrival_ns[ARRIVALS * 99 / 100];
  qsort (m->arrival_ns, ARRIVALS, sizeof *m->arrival_ns, compare);
  row = json_pack (
      "{s:i, s:i, s:f, s:f, s:f, s:I, s:I}", "engines", (int)engines, "nodes",
      (int)nodes, "arrival_us", (double)total_ns / ARRIVALS / 1000,
      "arrival_p99_us", (double)*p99_ns / 1000, "message_us",
      m->messages > 0 ? (double)m->message_ns / (double)m->messages / 1000
                      : 0.0,
      "asked", (json_int_t)owner.asked, "refused", (json_int_t)owner.refused);
  printf ("%8u %6u %12.1f %12.1f %12.1f %8lu\n", engines, nodes,
          json_real_value (json_object_get (row, "arrival_us")),
          json_real_value (json_object_get (row, "arrival_p99_us")),
          json_real_value (json_object_get (row, "message_us")),
          (unsigned long)owner.asked);
  beryl_forward_destroy (forward);
  beryl_live_set_destroy (lives);
  g_free (m);
  return row;
}

int
main (void)
{
  static const uint32_t sizes[][2]
      = { { 14, 8 }, { 45, 64 }, { 1000, 100 }, { 5900, 400 } };
  json_t *rows = json_array ();
  json_t *all;

  printf ("%8s %6s %12s %12s %12s %8s\n", "engines", "nodes", "arrival us",
          "p99 us", "message us", "asked");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    json_array_append_new (rows, run (sizes[i][0], sizes[i][1]));
  all = json_pack ("{s:s, s:o}", "bench", "place", "rows", rows);
  json_dumpf (all, stdout, JSON_REAL_PRECISION (6));
  putchar ('\n');
  json_decref (all);
  return EXIT_SUCCESS;
}
