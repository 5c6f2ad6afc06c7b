/** @file
 * Log lines about the steps of requests and the states of endpoints.
 */
#ifndef GATEWAYD_REQUEST_LOG_H
#define GATEWAYD_REQUEST_LOG_H

#include "beryl/forward.h"
#include "configuration.h"

/** Log one step of a request.  A refusal's line also tells the state of the
 * configuration by which it was decided. */
void request_log_step (const struct beryl_request_step *step,
                       const struct configuration_state *configuration);

/** Log a STATE that the endpoint list does not show yet; SOURCE is the peer
 * that reported it, or this node. */
void request_log_endpoint (const struct beryl_live_endpoint *endpoint,
                           const char *state, const char *source);

#endif
