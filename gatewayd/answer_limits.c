#include "answer_limits.h"

#include <glib.h>

/* A caller may get a head of this size. */
#define HEAD_BYTES 81920
/* Heads and answers of calls that callers do not see have some hundred
 * bytes. */
#define OWN_HEAD_BYTES 16384
#define OWN_BODY_BYTES 65536
/* A head, or a small body, fits into a few packets, which are sent together;
 * the rest is for lost packets. */
#define PIECE_MS 2000
/* The head of an answer that a caller gets: its endpoint may be silent for a
 * second or so within it. */
#define HEAD_MS 4000
/* Calls that an engine answers without work. */
#define OWN_MS 5000
/* The memory of a run is copied before a move is answered. */
#define MOVE_MS 30000
/* A list of prompts may have thousands of entries. */
#define PROMPTS_BYTES (256U << 10)
#define PROMPTS_MS 10000
/* What the forwarder ends at a request's deadline is left to it. */
#define DEADLINE_GRACE_MS 1000

#define OWN(time_ms)                                                          \
  {                                                                           \
    .head_bytes = OWN_HEAD_BYTES, .body_bytes = OWN_BODY_BYTES,               \
    .head_ms = PIECE_MS, .body_ms = PIECE_MS, .all_ms = (time_ms)             \
  }

/* The body of an answer that is forwarded may take as long as its caller
 * waits, and as many bytes as it reads. */
#define FORWARDED                                                             \
  {                                                                           \
    .head_bytes = HEAD_BYTES, .head_ms = HEAD_MS                              \
  }

static const struct h1_answer_limits exchanges[] = {
  [BERYL_EXCHANGE_RUN] = FORWARDED,
  [BERYL_EXCHANGE_HANDOFF] = FORWARDED,
  [BERYL_EXCHANGE_PREFILL] = OWN (0),
  [BERYL_EXCHANGE_RESERVE] = OWN (OWN_MS),
  [BERYL_EXCHANGE_UNRESERVE] = OWN (OWN_MS),
  [BERYL_EXCHANGE_DROP_KV] = OWN (OWN_MS),
  [BERYL_EXCHANGE_MOVE] = OWN (MOVE_MS),
  [BERYL_EXCHANGE_DIAL] = { 0 },
};

static const struct
{
  const char *name;
  struct h1_answer_limits limits;
} engine_calls[ENGINE_CALL_KINDS] = {
  [ENGINE_CALL_REPORT] = { "report", OWN (OWN_MS) },
  [ENGINE_CALL_PROMPTS] = { "prompts",
                            { .head_bytes = OWN_HEAD_BYTES,
                              .body_bytes = PROMPTS_BYTES,
                              .head_ms = PIECE_MS,
                              .all_ms = PROMPTS_MS } },
  [ENGINE_CALL_ORDER] = { "order", OWN (OWN_MS) },
};

struct h1_answer_limits
answer_limits_exchange (const struct beryl_exchange_start *start)
{
  struct h1_answer_limits limits = exchanges[start->kind];

  if ((start->kind == BERYL_EXCHANGE_PREFILL
       || start->kind == BERYL_EXCHANGE_MOVE)
      && start->remaining_ms > 0)
    limits.all_ms = start->remaining_ms + DEADLINE_GRACE_MS;
  /* A reservation that is told after its lease has expired. */
  if (start->kind == BERYL_EXCHANGE_RESERVE && start->lease_ms > 0)
    limits.all_ms = MAX (limits.all_ms, start->lease_ms);
  return limits;
}

struct h1_answer_limits
answer_limits_engine_call (enum engine_call_kind kind)
{
  return engine_calls[kind].limits;
}

const char *
engine_call_name (enum engine_call_kind kind)
{
  return engine_calls[kind].name;
}
