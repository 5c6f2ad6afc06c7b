/** @file
 * A single HTTP call to an engine, made by this node itself; the callback runs
 * when the whole response has been read.
 */
#ifndef GATEWAYD_ENGINE_CALL_H
#define GATEWAYD_ENGINE_CALL_H

#include <glib.h>

#include "beryl/live.h"
#include "common/counters.h"
#include "common/loop.h"
#include "answer_limits.h"

struct engine_call;

/** Outcome of a call. */
struct engine_response
{
  const struct h1_head *head; /**< response head; NULL if the call failed */
  const char *body;           /**< response body */
  size_t body_bytes;
  enum h1_failure failure; /**< reason, if the call failed */
  bool sent;               /**< a failed call may have reached the engine */
};

/** Called when a call ends; the call is invalid afterwards. */
typedef void engine_call_cb (void *user,
                             const struct engine_response *response);

/** Send HEAD and BODY (may be NULL) to ENGINE.  A response that exceeds the
 * limits of KIND fails the call; COUNTERS count those without an end. */
struct engine_call *
engine_call_start (struct loop *loop, const struct beryl_live_info *engine,
                   const GString *head, const GString *body,
                   enum engine_call_kind kind, struct counters *counters,
                   engine_call_cb *cb, void *user);

/** Cancel a call; its callback is not run.  NULL is allowed. */
void engine_call_cancel (struct engine_call *call);

#endif
