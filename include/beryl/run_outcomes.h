/** @file
 * Load: engines accept work and break it off while others are sound.  How the
 * runs of engines end, as seen by all nodes: which engines break most
 * of what they are given, although they accept it.
 *
 * A node with one run a second at dozens of engines learns nothing by itself
 * in time.  It reports what it has seen of the engines that break runs; a
 * report replaces what its node reported before, and outcomes lose weight with
 * age.
 *
 * No I/O.  Not thread-safe.  Times are milliseconds of one monotonic clock.
 */
#ifndef BERYL_RUN_OUTCOMES_H
#define BERYL_RUN_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Outcomes of an engine, or of all engines of a service that break runs. */
struct beryl_run_outcome
{
  uint32_t service;     /**< beryl_name_hash of its name */
  uint32_t endpoint;    /**< beryl_live_hash; 0: those that break runs */
  uint32_t good_tenths; /**< tenths of a run or prefill */
  uint32_t broken_tenths;
};

/** Maximum number of entries in one report; those with most weight are told.
 */
#define BERYL_RUN_OUTCOMES_MAX 16

/** A node's report. */
struct beryl_run_outcome_report
{
  struct beryl_run_outcome items[BERYL_RUN_OUTCOMES_MAX];
  size_t count;
};

struct beryl_run_outcomes;

struct beryl_run_outcomes *beryl_run_outcomes_create (void);

/** Release; NULL is allowed. */
void beryl_run_outcomes_destroy (struct beryl_run_outcomes *outcomes);

/** A run or prefill of this node at ENDPOINT has begun to be answered (GOOD),
 * or has broken off. */
void beryl_run_outcomes_add (struct beryl_run_outcomes *outcomes,
                             uint32_t service, uint32_t endpoint, bool good,
                             int64_t now_ms);

/** Return the part of ENDPOINT's runs that is expected to succeed; 1 if none
 * has broken of late, or if the service's engines work again. */
double beryl_run_outcomes_success (struct beryl_run_outcomes *outcomes,
                                   uint32_t service, uint32_t endpoint,
                                   int64_t now_ms);

/** Return whether any run of ENDPOINT has been reported of late. */
bool beryl_run_outcomes_knows (struct beryl_run_outcomes *outcomes,
                               uint32_t service, uint32_t endpoint,
                               int64_t now_ms);

/** Write what this node has seen, for a message to its peers. */
void beryl_run_outcomes_report (struct beryl_run_outcomes *outcomes,
                                struct beryl_run_outcome_report *report,
                                int64_t now_ms);

/** Apply the report of NODE (beryl_name_hash). */
void beryl_run_outcomes_apply (struct beryl_run_outcomes *outcomes,
                               uint32_t node,
                               const struct beryl_run_outcome_report *report,
                               int64_t now_ms);

#endif
