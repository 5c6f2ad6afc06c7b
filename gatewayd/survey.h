/** @file
 * After a start, asks decode engines which prompts they have cached, so that
 * repeated prompts go to the engines that have them.
 *
 * When nodes restart, for instance after a power failure, their callers repeat
 * most prompts within seconds, while the engines still have them cached.  A
 * restarted node does not know where they ran.
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
                              struct counters *counters,
                              struct beryl_forward *forward,
                              struct beryl_live_set *endpoints);

/** Release; NULL is allowed. */
void survey_destroy (struct survey *survey);

#endif
