/** @file
 * After a start, asks the engines which prompts they keep.
 *
 * When nodes lose power, their callers come back with the same prompts within
 * seconds, all at once; the engines still have most of them.  Nodes that live
 * on know where those prompts ran, this one does not.
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
                              struct beryl_live_set *lives);

/** Release; NULL is allowed. */
void survey_destroy (struct survey *survey);

#endif
