/** @file
 * What callers, nodes and endpoints saw, and the check of what must always
 * hold.  The events come from a run in virtual time or from real processes.
 */
#ifndef TESTS_HISTORY_H
#define TESTS_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "beryl/outcome.h"
#include "beryl/requests.h"

/** A caller's wish, which may take several tries with one key. */
struct history_job
{
  uint32_t id;
  bool non_idempotent;
  bool keyed;     /**< at-most-once over all tries */
  bool other_key; /**< shares its key's text with another organisation's */
};

/** Kinds of events. */
enum history_type
{
  HISTORY_ASKED,   /**< caller: a try was sent */
  HISTORY_BYTES,   /**< caller: received TEXT at OFFSET */
  HISTORY_ENDED,   /**< caller: its answer is whole */
  HISTORY_CUT,     /**< caller: its answer was ended as incomplete */
  HISTORY_TOLD,    /**< caller: a problem with OUTCOME */
  HISTORY_LEFT,    /**< caller: it closed the connection */
  HISTORY_BROKEN,  /**< caller: its connection broke; PLANNED: by a stop */
  HISTORY_LATE,    /**< caller: no final answer long after the deadline */
  HISTORY_RUN,     /**< endpoint: RUN began for a try; TEXT is its answer */
  HISTORY_HELD,    /**< engine: memory is held after everything ended */
  HISTORY_UNTOLD,  /**< engine: it makes a hold that no keeper knows */
  HISTORY_LEAVING, /**< endpoint: receives no new work from 2 s later */
  HISTORY_NODE,    /**< a fate, for a person who reads the history */
  HISTORY_CLEANED, /**< keeper: cancelled a living process's streams */
};

/** One event; fields that do not apply are 0. */
struct history_event
{
  enum history_type type;
  int64_t at_ms;
  uint32_t job;
  uint32_t attempt; /**< the job's try, from 0 */
  uint32_t run;     /**< unique */
  uint32_t endpoint;
  uint64_t offset;
  enum beryl_outcome outcome;
  enum beryl_problem problem;
  bool planned;
  const char *text; /**< copied */
};

/** A recorded run. */
struct history;

/** Create an empty history. */
struct history *history_create (void);

/** Release HISTORY; NULL is allowed. */
void history_destroy (struct history *history);

/** Add a job; ids count from 0. */
void history_add_job (struct history *history, const struct history_job *job);

/** Add an event; events come in the order of time. */
void history_add (struct history *history, const struct history_event *event);

/** Invariants; each has its reason in history.c. */
enum history_invariant
{
  INVARIANT_RUNS_ONCE,
  INVARIANT_NOT_RUN_IS_TRUE,
  INVARIANT_ANSWERED_ONCE,
  INVARIANT_WHOLE_AND_OWN,
  INVARIANT_KEYS_APART,
  INVARIANT_NOTHING_HELD,
  INVARIANT_HOLD_TOLD,
  INVARIANT_STOP_CUTS_NOBODY,
  INVARIANT_LEAVING_RESTS,
  INVARIANT_EVERYONE_HEARS,
  INVARIANT_LIVING_KEPT,
  INVARIANT_COUNT,
};

/** Return the name of INVARIANT. */
const char *history_invariant_name (enum history_invariant invariant);

/** What a check found. */
struct history_verdict
{
  uint32_t broken[INVARIANT_COUNT];
  char first[200]; /**< the first finding, for a person */
};

/** Check HISTORY; true if all invariants hold. */
bool history_check (const struct history *history,
                    struct history_verdict *verdict);

/** Print HISTORY, one event a line. */
void history_print (const struct history *history);

#endif
