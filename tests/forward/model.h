/** @file
 * A node with the engines of one model service, for tests of generations.
 */
#ifndef TESTS_FORWARD_MODEL_H
#define TESTS_FORWARD_MODEL_H

#include "fixture.h"

/** The node, and the settings that reopen uses. */
extern struct fx fx;
extern struct fx_terms terms;

/** Set up two prefill and three decode engines before each test. */
void model_setup (void);
void model_teardown (void);

/** Open the node again with the changed settings and without engines. */
void reopen (void);
/** List engines p0, p1... and d0, d1... */
void engines (uint32_t prefill, uint32_t decode);

const struct fx_answer *answer (uint64_t request);
/** Return the open exchange of KIND for REQUEST; fails if there is none. */
struct fx_exchange *open_of (uint64_t request, enum beryl_exchange_kind kind);
/** Cause REQUEST to be moved; returns the MOVE exchange. */
struct fx_exchange *move_asked (uint64_t request);
/** Apply a peer's report of COUNT runs at ENGINE and no others. */
void report_runs (const char *engine, uint32_t count);

#endif
