/* Benchmark of the cost of claims: added latency in ms, writes and bytes per
 * second, by the rate of claims, the commit limit and the number of shards.
 * One node is home of every shard, in virtual time; the object API replies
 * after 3 to 9 ms.  Objects are deleted after one minute and keys after two,
 * so that compaction and deletion run at their steady rate in the last two
 * minutes. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "beryl/claims.h"

#define RUN_MS 360000
#define MEASURE_FROM_MS 240000
#define CALLS_MAX 65536

/* Parameters of one run. */
struct load
{
  uint32_t claims_per_s;
  uint32_t commits_per_s;
  uint32_t shards;
};

struct call
{
  uint64_t id;
  int64_t due_ms;
  bool read;
};

struct bench
{
  struct beryl_claims_owner base;
  struct beryl_claims *claims;
  uint64_t random;
  int64_t now_ms;
  struct call calls[CALLS_MAX]; /* ring buffer, oldest first */
  uint32_t first, last;
  int64_t *sent_ms; /* by request */
  uint32_t *delays_ms;
  size_t delay_count;
  uint64_t creates, removes, bytes;
};

static uint64_t
next_random (struct bench *bench, uint64_t below)
{
  uint64_t z = bench->random += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % below;
}

static bool
measured (const struct bench *bench)
{
  return bench->now_ms >= MEASURE_FROM_MS;
}

static void
on_result (struct beryl_claims_owner *owner, uint64_t request,
           enum beryl_claim_result result, uint64_t incarnation)
{
  struct bench *bench = (struct bench *)owner;

  if (result != BERYL_CLAIM_GRANTED)
    abort ();
  if (measured (bench))
    bench->delays_ms[bench->delay_count++]
        = (uint32_t)(bench->now_ms - bench->sent_ms[request]);
}

static void
on_send (struct beryl_claims_owner *owner, const char *node,
         const struct beryl_claim_message *message)
{
  abort ();
}

static void
begin (struct beryl_claims_owner *owner, uint64_t id, bool read)
{
  struct bench *bench = (struct bench *)owner;
  struct call *call = &bench->calls[bench->last++ % CALLS_MAX];

  call->id = id;
  call->read = read;
  call->due_ms = bench->now_ms + 3 + (int64_t)next_random (bench, 7);
}

static void
on_list (struct beryl_claims_owner *owner, uint64_t call, const char *prefix)
{
  begin (owner, call, true);
}

static void
on_create (struct beryl_claims_owner *owner, uint64_t call, const char *name,
           const char *value, size_t value_bytes, const char *nonce)
{
  struct bench *bench = (struct bench *)owner;

  begin (owner, call, false);
  if (!measured (bench))
    return;
  bench->creates++;
  bench->bytes += value_bytes;
}

static void
on_remove (struct beryl_claims_owner *owner, uint64_t call, const char *name)
{
  struct bench *bench = (struct bench *)owner;

  begin (owner, call, false);
  if (measured (bench))
    bench->removes++;
}

static const struct beryl_claims_owner_impl impl = {
  .result = on_result,
  .send = on_send,
  .list = on_list,
  .get = on_list,
  .create = on_create,
  .remove = on_remove,
};

/* Answers the calls that are due, in order; an answer that is a few ms late
 * does not matter. */
static void
answer (struct bench *bench)
{
  while (bench->first != bench->last)
    {
      struct call call = bench->calls[bench->first % CALLS_MAX];

      if (call.due_ms > bench->now_ms)
        return;
      bench->first++;
      if (call.read)
        beryl_claims_read_done (bench->claims, call.id, BERYL_OK, NULL, 0,
                                bench->now_ms);
      else
        beryl_claims_write_done (bench->claims, call.id, BERYL_OK,
                                 bench->now_ms);
    }
}

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

static void
report (struct bench *bench, FILE *json, const struct load *load,
        double cpu_us_per_claim, size_t memory_bytes, bool last)
{
  double seconds = (RUN_MS - MEASURE_FROM_MS) / 1000.0;
  size_t n = bench->delay_count;
  const uint32_t *d = bench->delays_ms;
  uint64_t keys = beryl_claims_counts (bench->claims)->keys;
  double creates_per_s = (double)bench->creates / seconds;
  double deletes_per_s = (double)bench->removes / seconds;
  double kbytes_per_s = (double)bench->bytes / seconds / 1000;
  double bytes_per_key = (double)memory_bytes / (double)keys;

  qsort (bench->delays_ms, n, sizeof *d, compare);
  printf ("%8u %6u %7u %7u %7u %7u %9.1f %9.1f %7.1f %8" PRIu64
          " %9.0f %8.2f\n",
          load->claims_per_s, load->shards, load->commits_per_s, d[n / 2],
          d[n * 95 / 100], d[n * 99 / 100], creates_per_s, deletes_per_s,
          kbytes_per_s, keys, bytes_per_key, cpu_us_per_claim);
  fprintf (json,
           "{\"claims_per_s\":%u,\"shards\":%u,\"commits_per_s\":%u"
           ",\"p50_ms\":%u,\"p95_ms\":%u,\"p99_ms\":%u,\"creates_per_s\":%.1f,"
           "\"deletes_per_s\":%.1f,\"kbytes_per_s\":%.1f,"
           "\"bytes_per_key\":%.0f,\"cpu_us_per_claim\":%.2f}%s",
           load->claims_per_s, load->shards, load->commits_per_s, d[n / 2],
           d[n * 95 / 100], d[n * 99 / 100], creates_per_s, deletes_per_s,
           kbytes_per_s, bytes_per_key, cpu_us_per_claim, last ? "" : ",");
}

/* Allocated bytes, including separately mapped blocks. */
static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Simulates one millisecond. */
static void
step (struct bench *bench, uint32_t claims_per_s, uint64_t *requests)
{
  answer (bench);
  for (uint32_t i = 0; i < 4; i++)
    if (next_random (bench, 4000) < claims_per_s)
      {
        char key[32];

        bench->sent_ms[++*requests] = bench->now_ms;
        snprintf (key, sizeof key, "key-%" PRIu64, *requests);
        beryl_claims_claim (bench->claims, *requests, "o", key, 1,
                            bench->now_ms);
      }
  if (beryl_claims_next_ms (bench->claims) <= bench->now_ms)
    beryl_claims_tick (bench->claims, bench->now_ms);
}

static void
run (FILE *json, const struct load *load, bool last)
{
  struct bench *bench = calloc (1, sizeof *bench);
  const char *self = "n1";
  struct beryl_claims_settings settings = {
    .node = self,
    .incarnation = 1,
    .seed = 1,
    .shards = load->shards,
    .commits_per_s = load->commits_per_s,
    .retention_ms = 120000,
    .delete_after_ms = 60000,
  };
  size_t request_limit = (size_t)load->claims_per_s * RUN_MS / 1000 * 2 + 1000;
  uint64_t requests = 0;
  clock_t cpu;
  size_t heap_bytes;

  bench->base.impl = &impl;
  bench->random = 7;
  bench->sent_ms = calloc (request_limit, sizeof *bench->sent_ms);
  bench->delays_ms = calloc (request_limit, sizeof *bench->delays_ms);
  heap_bytes = allocated_bytes ();
  bench->claims = beryl_claims_create (&settings, &bench->base);
  beryl_claims_set_members (bench->claims, &self, 1, 0);
  cpu = clock ();
  for (bench->now_ms = 1; bench->now_ms < RUN_MS; bench->now_ms++)
    step (bench, load->claims_per_s, &requests);
  cpu = clock () - cpu;
  report (bench, json, load,
          (double)cpu * 1e6 / CLOCKS_PER_SEC / (double)requests,
          allocated_bytes () - heap_bytes, last);
  beryl_claims_destroy (bench->claims);
  free (bench->sent_ms);
  free (bench->delays_ms);
  free (bench);
}

int
main (void)
{
  char *text = NULL;
  size_t text_bytes = 0;
  FILE *json = open_memstream (&text, &text_bytes);
  static const struct load loads[]
      = { { 5, 120, 16 },   { 50, 80, 16 },   { 50, 120, 16 },
          { 50, 160, 16 },  { 510, 80, 16 },  { 510, 120, 16 },
          { 510, 140, 16 }, { 510, 160, 16 }, { 510, 120, 8 },
          { 510, 120, 32 }, { 1020, 80, 16 }, { 1020, 120, 16 },
          { 1020, 160, 16 } };
  static const size_t count = sizeof loads / sizeof loads[0];

  printf ("%8s %6s %7s %7s %7s %7s %9s %9s %7s %8s %9s %8s\n", "claims/s",
          "shards", "limit", "p50 ms", "p95 ms", "p99 ms", "creates/s",
          "deletes/s", "kB/s", "keys", "bytes/key", "us/claim");
  fprintf (json, "{\"bench\":\"claims\",\"rows\":[");
  for (size_t i = 0; i < count; i++)
    run (json, &loads[i], i + 1 == count);
  fprintf (json, "]}");
  fclose (json);
  printf ("%s\n", text);
  free (text);
  return 0;
}
