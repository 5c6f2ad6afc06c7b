/* Benchmark of the cost of keeping keys: CPU time of one complete call of a
 * plain service through beryl_requests, and bytes kept for each bound key
 * after its answer has expired. */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "beryl/requests.h"
#include "fake_router.h"
#include "test_config.h"

#define INCARNATION 7
#define CALLS 200000

struct bench
{
  struct beryl_requests_owner base;
  uint64_t exchange;
  uint64_t ended;
};

static void
bench_act (struct beryl_requests_owner *owner,
           const struct beryl_action *action)
{
  struct bench *bench = (struct bench *)owner;

  if (action->type == BERYL_ACTION_SERVICE)
    bench->exchange = action->exchange;
  else if (action->type == BERYL_ACTION_REPLY_END)
    bench->ended++;
}

static const struct beryl_requests_owner_impl impl = { .act = bench_act };

static void
play_call (struct beryl_requests *requests, struct bench *bench, uint64_t n,
           bool keyed, int64_t now_ms)
{
  static const char body[] = "{\"permit\":\"placed\",\"letter\":\"A-17\"}";
  struct beryl_event event = { .type = BERYL_EVENT_CALL };
  char key[48];

  snprintf (key, sizeof key, "b-0000000000000007-%" PRIu64, n);
  event.call = (struct beryl_call){
    .request = n,
    .request_id = key + 2,
    .organisation = "permits",
    .service = "letters",
    .method = "POST",
    .path = "/letters",
    .body = body,
    .body_bytes = sizeof body - 1,
    .key_kind = keyed ? BERYL_KEY_BOUND : BERYL_KEY_NONE,
    .key = keyed ? key : NULL,
    .key_incarnation = INCARNATION,
  };
  beryl_requests_handle_event (requests, &event, now_ms);
  event = (struct beryl_event){ .type = BERYL_EVENT_EXCHANGE_HEAD,
                                .exchange = bench->exchange };
  event.head.status = 200;
  beryl_requests_handle_event (requests, &event, now_ms);
  event.type = BERYL_EVENT_EXCHANGE_DATA;
  event.data.offset = 0;
  event.data.bytes = body;
  event.data.bytes_count = sizeof body - 1;
  event.data.tokens = 0;
  event.data.attempt = 0;
  beryl_requests_handle_event (requests, &event, now_ms);
  event = (struct beryl_event){ .type = BERYL_EVENT_EXCHANGE_END,
                                .exchange = bench->exchange };
  event.end.answer_bytes = sizeof body - 1;
  beryl_requests_handle_event (requests, &event, now_ms);
  event = (struct beryl_event){ .type = BERYL_EVENT_CALLER_CAUGHT_UP,
                                .request = n };
  beryl_requests_handle_event (requests, &event, now_ms);
}

static void
run (bool keyed, double *ns, double *bytes)
{
  struct beryl_requests_settings settings = {
    .incarnation = INCARNATION,
    .answer_retention_ms = 1000,
    .answer_retention_bytes = 1 << 20,
  };
  struct beryl_router *router
      = beryl_router_create ("n1", "", BERYL_POLICY_PLANNED, 1);
  struct bench bench = { .base.impl = &impl };
  struct beryl_event tick = { .type = BERYL_EVENT_TICK };
  struct beryl_requests *requests
      = beryl_requests_create (&settings, router, &bench.base);
  struct timespec a, b;
  struct mallinfo2 before, after;

  beryl_router_set_config (router, test_config (), 0);
  beryl_requests_set_config (requests, test_config (), 0);
  before = mallinfo2 ();
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &a);
  for (uint64_t n = 1; n <= CALLS; n++)
    play_call (requests, &bench, n, keyed, (int64_t)n / 10);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &b);
  for (uint64_t n = 0; n < CALLS; n++)
    beryl_requests_handle_event (requests, &tick, CALLS + (int64_t)n);
  after = mallinfo2 ();
  if (bench.ended != CALLS)
    abort ();
  *ns = ((double)(b.tv_sec - a.tv_sec) * 1e9 + (double)(b.tv_nsec - a.tv_nsec))
        / CALLS;
  *bytes = (double)(after.uordblks + after.hblkhd - before.uordblks
                    - before.hblkhd)
           / CALLS;
  beryl_requests_destroy (requests);
  beryl_router_destroy (router);
}

int
main (void)
{
  double ns[2];
  double bytes[2];

  printf ("%-12s %14s %22s\n", "calls", "ns each", "bytes kept each");
  for (int keyed = 0; keyed < 2; keyed++)
    {
      run (keyed != 0, &ns[keyed], &bytes[keyed]);
      printf ("%-12s %14.0f %22.1f\n", keyed ? "bound keys" : "no keys",
              ns[keyed], bytes[keyed]);
    }
  printf ("{\"bench\":\"keys\",\"calls\":%d,\"plain_ns\":%.0f,"
          "\"keyed_ns\":%.0f,\"plain_bytes\":%.1f,\"keyed_bytes\":%.1f}\n",
          CALLS, ns[0], ns[1], bytes[0], bytes[1]);
  return 0;
}
