/** @file
 * Load driver of scripts/bench.d/overhead: one thread of the bare HTTP
 * client, a connection a call, a fixed number of calls in flight.  Not
 * installed.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/loop.h"
#include "http/client.h"

#define MAX_SAMPLES 4000000

struct bench
{
  struct loop *loop;
  struct http_context *http;
  struct http_request request;
  struct http_header headers[2];
  uint32_t connections;
  int64_t end_us;
  uint64_t calls_max;
  uint64_t started;
  uint64_t done;
  uint64_t failed;
  uint64_t bytes;
  uint32_t in_flight;
  GArray *latencies_us;
  GArray *gaps_us; /* between two pieces of one answer */
};

/* One call after the other. */
struct slot
{
  struct http_call_handler base;
  struct bench *bench;
  int64_t started_us;
  int64_t piece_us;
};

static void start_call (struct slot *slot);

static void
note (GArray *samples, int64_t value)
{
  uint32_t us = (uint32_t)value;

  if (samples->len < MAX_SAMPLES)
    g_array_append_val (samples, us);
}

static void
ended (struct slot *slot)
{
  struct bench *bench = slot->bench;

  bench->in_flight--;
  if (g_get_monotonic_time () < bench->end_us
      && bench->started < bench->calls_max)
    start_call (slot);
  else if (bench->in_flight == 0)
    loop_quit (bench->loop);
}

static void
on_data (struct http_call_handler *handler, struct http_call *call,
         const void *bytes, size_t bytes_count)
{
  struct slot *slot = (struct slot *)handler;
  int64_t now_us = g_get_monotonic_time ();

  if (slot->piece_us != 0)
    note (slot->bench->gaps_us, now_us - slot->piece_us);
  slot->piece_us = now_us;
  slot->bench->bytes += bytes_count;
}

static void
on_done (struct http_call_handler *handler, struct http_call *call)
{
  struct slot *slot = (struct slot *)handler;

  if (http_call_status (call) == 200)
    slot->bench->done++;
  else
    slot->bench->failed++;
  note (slot->bench->latencies_us, g_get_monotonic_time () - slot->started_us);
  ended (slot);
}

static void
on_failed (struct http_call_handler *handler, struct http_call *call,
           bool sent, const char *reason)
{
  struct slot *slot = (struct slot *)handler;

  slot->bench->failed++;
  ended (slot);
}

static const struct http_call_handler_impl impl = {
  .data = on_data,
  .done = on_done,
  .failed = on_failed,
};

static void
start_call (struct slot *slot)
{
  struct bench *bench = slot->bench;

  bench->started++;
  bench->in_flight++;
  slot->started_us = g_get_monotonic_time ();
  slot->piece_us = 0;
  http_call_start (bench->http, &bench->request, &slot->base);
}

static int
compare (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

static uint32_t
percentile (GArray *samples, double p)
{
  if (samples->len == 0)
    return 0;
  return g_array_index (samples, uint32_t,
                        (guint)((double)(samples->len - 1) * p));
}

static void
report (struct bench *bench, double seconds)
{
  g_array_sort (bench->latencies_us, compare);
  g_array_sort (bench->gaps_us, compare);
  printf ("{\"connections\":%u,\"calls\":%llu,\"failed\":%llu,"
          "\"seconds\":%.3f,\"calls_per_s\":%.0f,\"pieces_per_s\":%.0f,"
          "\"p50_us\":%u,\"p99_us\":%u,\"gap_p50_us\":%u,"
          "\"gap_p99_us\":%u}\n",
          bench->connections, (unsigned long long)bench->done,
          (unsigned long long)bench->failed, seconds,
          (double)bench->done / seconds, (double)bench->gaps_us->len / seconds,
          percentile (bench->latencies_us, 0.5),
          percentile (bench->latencies_us, 0.99),
          percentile (bench->gaps_us, 0.5), percentile (bench->gaps_us, 0.99));
}

static void
run (struct bench *bench, double seconds)
{
  int64_t begin_us = g_get_monotonic_time ();
  struct slot *slots = g_new0 (struct slot, bench->connections);

  bench->end_us = begin_us + (int64_t)(seconds * 1e6);
  for (uint32_t i = 0; i < bench->connections; i++)
    {
      slots[i].base.impl = &impl;
      slots[i].bench = bench;
      start_call (&slots[i]);
    }
  loop_run (bench->loop);
  report (bench, (double)(g_get_monotonic_time () - begin_us) / 1e6);
  g_free (slots);
}

int
main (int argc, char **argv)
{
  static const struct option options[] = {
    { "port", required_argument, NULL, 'p' },
    { "path", required_argument, NULL, 'u' },
    { "connections", required_argument, NULL, 'c' },
    { "seconds", required_argument, NULL, 's' },
    { "calls", required_argument, NULL, 'n' },
    { "body", required_argument, NULL, 'b' },
    { "token", required_argument, NULL, 't' },
    { 0 },
  };
  struct bench bench = { .connections = 1, .calls_max = UINT64_MAX };
  double seconds = 3;
  char *bearer = NULL;
  int option;

  bench.request = (struct http_request){
    .method = "GET", .address = "127.0.0.1", .path = "/", .timeout_ms = 60000
  };
  while ((option = getopt_long (argc, argv, "p:u:c:s:n:b:t:", options, NULL))
         != -1)
    switch (option)
      {
      case 'p':
        bench.request.port = (uint16_t)strtoul (optarg, NULL, 10);
        break;
      case 'u':
        bench.request.path = optarg;
        break;
      case 'c':
        bench.connections = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 's':
        seconds = strtod (optarg, NULL);
        break;
      case 'n':
        bench.calls_max = strtoull (optarg, NULL, 10);
        break;
      case 'b':
        bench.request.method = "POST";
        bench.request.body = optarg;
        bench.request.body_bytes = strlen (optarg);
        break;
      case 't':
        bearer = g_strconcat ("Bearer ", optarg, NULL);
        break;
      default:
        return 2;
      }
  if (bearer != NULL)
    {
      bench.headers[0] = (struct http_header){ "authorization", bearer };
      bench.request.headers = bench.headers;
      bench.request.header_count = 1;
    }
  log_init ("bench", LOG_FORMAT_TEXT, "error");
  bench.latencies_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  bench.gaps_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  bench.loop = loop_create ();
  bench.http = http_context_create (bench.loop, NULL);
  run (&bench, seconds);
  http_context_destroy (bench.http);
  loop_destroy (bench.loop);
  g_array_free (bench.latencies_us, TRUE);
  g_array_free (bench.gaps_us, TRUE);
  g_free (bearer);
  return 0;
}
