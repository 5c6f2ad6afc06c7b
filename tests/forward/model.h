/** @file
 * One node before the engines of one model service, for tests of generations.
 */
#ifndef TESTS_FORWARD_MODEL_H
#define TESTS_FORWARD_MODEL_H

#include "fixture.h"

/** The node, and the terms that reopen uses. */
extern struct fx fx;
extern struct fx_terms terms;

/** Begin each test with two prefill and three decode engines. */
void model_setup (void);
void model_teardown (void);

/** Begin anew with changed terms, and no engines. */
void reopen (void);
/** Show engines p0, p1... and d0, d1... */
void engines (uint32_t prefill, uint32_t decode);

const struct fx_answer *answer (uint64_t request);
/** Return the open exchange of KIND for REQUEST; fails if there is none. */
struct fx_exchange *open_of (uint64_t request, enum beryl_exchange_kind kind);
/** Let REQUEST be moved; returns the question to its engine. */
struct fx_exchange *move_asked (uint64_t request);
/** A peer tells that it has COUNT runs at ENGINE, and no others. */
void tell_runs (const char *engine, uint32_t count);

#endif
