/** @file
 * Limits of endpoints' answers: the bytes and the time that an answer to each
 * kind of call may need.  One that exceeds them has no end.
 */
#ifndef GATEWAYD_ANSWER_LIMITS_H
#define GATEWAYD_ANSWER_LIMITS_H

#include "beryl/forward.h"
#include "h1/client.h"

/** Kinds of calls to engines that are no exchanges of the forwarder. */
enum engine_call_kind
{
  ENGINE_CALL_REPORT,
  ENGINE_CALL_PROMPTS, /**< the list of prompts that it has cached */
  ENGINE_CALL_ORDER,
  ENGINE_CALL_KINDS
};

/** Return the limits of the answer to an exchange. */
struct h1_answer_limits
answer_limits_exchange (const struct beryl_exchange_start *start);

/** Return the limits of the answer to a call of KIND. */
struct h1_answer_limits answer_limits_engine_call (enum engine_call_kind kind);

/** Return the stable name of KIND. */
const char *engine_call_name (enum engine_call_kind kind);

#endif
