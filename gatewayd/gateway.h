/** @file
 * One node: connects the callers' side, the forwarder, the exchanges with
 * endpoints and the view of the platform.
 */
#ifndef GATEWAYD_GATEWAY_H
#define GATEWAYD_GATEWAY_H

#include "beryl/error.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "http/context.h"
#include "settings.h"

struct gateway;

/** Create and listen; NULL and ERROR on failure. */
struct gateway *gateway_create (struct loop *loop, struct http_context *http,
                                const struct gateway_wire *wire,
                                const struct gateway_settings *settings,
                                struct beryl_error *error);

/** Release; NULL is allowed. */
void gateway_destroy (struct gateway *gateway);

/** Use what SETTINGS may change while the process runs: the terms of repeats,
 * how long addresses are kept, how long a stop may take.  Other differences
 * are told and take effect at the next start. */
void gateway_reload (struct gateway *gateway,
                     const struct gateway_settings *settings);

/** Begin a planned stop: take no new callers, finish what runs, then quit
 * the loop. */
void gateway_stop (struct gateway *gateway);

#endif
