/** @file
 * One call of this node's own to an engine, whose whole answer is read.
 */
#ifndef GATEWAYD_ENGINE_CALL_H
#define GATEWAYD_ENGINE_CALL_H

#include <glib.h>

#include "beryl/live.h"
#include "common/loop.h"
#include "h1/client.h"

struct engine_call;

/** How it ended. */
struct engine_response
{
  const struct h1_head *head; /**< NULL: it failed */
  const char *body;           /**< as much of it as was asked for */
  size_t body_bytes;
  enum h1_failure failure; /**< if it failed */
  bool sent;               /**< a failed one may have arrived */
};

/** The end of a call; the call is invalid after. */
typedef void engine_call_cb (void *user, const struct engine_response *answer);

/** Send HEAD and BODY (NULL: none) to ENGINE; at most BODY_MAX_BYTES of the
 * answer are kept. */
struct engine_call *
engine_call_start (struct loop *loop, const struct beryl_live_info *engine,
                   const GString *head, const GString *body,
                   size_t body_max_bytes, engine_call_cb *cb, void *user);

/** Give it up; no callback follows.  NULL is allowed. */
void engine_call_cancel (struct engine_call *call);

#endif
