/** @file
 * Records what callers, nodes and endpoints saw and checks invariants on it.
 * The events may come from a simulation or from real processes.
 */
#ifndef TESTS_HISTORY_H
#define TESTS_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/outcome.h"
#include "beryl/requests.h"

/** What a caller wants, possibly over several attempts with one key. */
struct history_job
{
  uint32_t id;
  bool non_idempotent;
  bool keyed;     /**< runs at most once over all attempts */
  bool other_key; /**< uses the same key text as a job of another
                       organisation */
};

/** Kinds of events. */
enum history_type
{
  HISTORY_SENT,            /**< caller: an attempt was sent */
  HISTORY_DATA,            /**< caller: received TEXT at OFFSET */
  HISTORY_COMPLETED,       /**< caller: its answer is complete */
  HISTORY_TRUNCATED,       /**< caller: its answer was truncated */
  HISTORY_ERROR,           /**< caller: received PROBLEM with OUTCOME */
  HISTORY_CALLER_CLOSED,   /**< caller: closed its connection */
  HISTORY_CONNECTION_LOST, /**< caller: its connection broke; PLANNED: by a
                                graceful shutdown */
  HISTORY_NO_ANSWER,   /**< caller: no final answer well after the deadline */
  HISTORY_RUN,         /**< endpoint: RUN started for an attempt; TEXT is its
                            answer */
  HISTORY_HOLD_LEAKED, /**< engine: memory is still held after all calls
                            ended */
  HISTORY_HOLD_UNREPORTED,     /**< engine: a stream takes memory that was not
                                    reported to the control daemon */
  HISTORY_ENDPOINT_LEAVING,    /**< endpoint: must receive no new work after 2
                                    s */
  HISTORY_NOTE,                /**< note for the reader of a printed history */
  HISTORY_LIVE_NODE_CANCELLED, /**< control daemon cancelled streams of a live
                                    process */
};

/** One event; fields that do not apply are 0. */
struct history_event
{
  enum history_type type;
  int64_t at_ms;
  uint32_t job;
  uint32_t attempt; /**< attempt of the job, from 0 */
  uint32_t run;     /**< unique */
  uint32_t endpoint;
  uint64_t offset;
  enum beryl_outcome outcome;
  enum beryl_problem problem;
  bool planned;
  const char *text; /**< copied */
};

/** A recorded history. */
struct history;

/** Create an empty history. */
struct history *history_create (void);

/** Release HISTORY; NULL is allowed. */
void history_destroy (struct history *history);

/** Add a job; ids count from 0. */
void history_add_job (struct history *history, const struct history_job *job);

/** Add an event; events must be added in order of time. */
void history_add (struct history *history, const struct history_event *event);

/** Invariants; history.c gives the reason for each. */
enum history_invariant
{
  INVARIANT_AT_MOST_ONCE,
  INVARIANT_NOT_RUN_CORRECT,
  INVARIANT_ANSWERED_ONCE,
  INVARIANT_ANSWER_CORRECT,
  INVARIANT_KEYS_ISOLATED,
  INVARIANT_NO_HOLD_LEAKED,
  INVARIANT_HOLD_REPORTED,
  INVARIANT_GRACEFUL_STOP,
  INVARIANT_LEAVING_IDLE,
  INVARIANT_ALWAYS_ANSWERED,
  INVARIANT_LIVE_NODE_KEPT,
  INVARIANT_COUNT,
};

/** Return the name of INVARIANT. */
const char *history_invariant_name (enum history_invariant invariant);

/** Result of a check. */
struct history_result
{
  uint32_t violations[INVARIANT_COUNT];
  char first_violation[200]; /**< description of the first violation */
};

/** Check HISTORY.  Returns true if all invariants hold. */
bool history_check (const struct history *history,
                    struct history_result *result);

/** Print HISTORY, one event per line. */
void history_print (const struct history *history);

#endif
