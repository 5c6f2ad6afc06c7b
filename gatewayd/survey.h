/** @file
 * After a start, asks the decode engines which prompts they have cached.
 *
 * When nodes lose power, their callers return with the same prompts within
 * seconds, all at once, and the engines still have most of them.  Nodes that
 * kept running know where those prompts ran, a restarted one does not.
 */
#ifndef GATEWAYD_SURVEY_H
#define GATEWAYD_SURVEY_H

#include "beryl/forward.h"
#include "common/loop.h"
#include "gateway/wire.h"

struct survey;

/** Create; all arguments must outlive it. */
struct survey *survey_create (struct loop *loop,
                              const struct gateway_wire *wire,
                              struct beryl_forward *forward,
                              struct beryl_live_set *endpoints);

/** Release; NULL is allowed. */
void survey_destroy (struct survey *survey);

#endif
