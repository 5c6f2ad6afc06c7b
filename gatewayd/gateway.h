/** @file
 * One gateway node: connects the server for callers, the forwarder, the
 * exchanges with endpoints and the view of the platform.
 */
#ifndef GATEWAYD_GATEWAY_H
#define GATEWAYD_GATEWAY_H

#include "beryl/error.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "http/context.h"
#include "settings.h"

struct gateway;

/** Create a node and listen; return NULL and set ERROR on failure. */
struct gateway *gateway_create (struct loop *loop, struct http_context *http,
                                const struct gateway_wire *wire,
                                const struct gateway_settings *settings,
                                struct beryl_error *error);

/** Release; NULL is allowed. */
void gateway_destroy (struct gateway *gateway);

/** Apply the settings that may change at run time: the retry budget, how long
 * addresses may be cached and how long a stop may take.  Other changes have no
 * effect until the next start; those for which gateway_settings_need_restart
 * is true are logged. */
void gateway_reload (struct gateway *gateway,
                     const struct gateway_settings *settings);

/** Begin a graceful shutdown and quit the loop at its end.  The node is no
 * longer listed to callers, but accepts connections until their cached lists
 * of addresses have expired.  Requests that are still open shortly before the
 * end of stop_ms are ended. */
void gateway_stop (struct gateway *gateway);

#endif
