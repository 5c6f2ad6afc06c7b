/** @file
 * Exchanges with endpoints: each is one HTTP call, told to the forwarder by
 * its number.
 */
#ifndef GATEWAYD_OUTBOUND_H
#define GATEWAYD_OUTBOUND_H

#include "beryl/forward.h"
#include "common/loop.h"
#include "gateway/wire.h"

struct outbound;

/** Create; FORWARD must outlive it. */
struct outbound *outbound_create (struct loop *loop,
                                  const struct gateway_wire *wire,
                                  struct beryl_forward *forward);

/** Close all calls and release them; NULL is allowed. */
void outbound_destroy (struct outbound *outbound);

/** Start an exchange.  HEAD and BODY are the caller's request; they are used
 * for RUN and PREFILL only. */
void outbound_start (struct outbound *outbound,
                     const struct beryl_exchange_start *start,
                     const struct h1_head *head, const char *body,
                     size_t body_bytes);

/** Close an exchange's connection. */
void outbound_abort (struct outbound *outbound, uint64_t exchange);

/** Stop or restart reading one. */
void outbound_pause (struct outbound *outbound, uint64_t exchange,
                     bool paused);

/** Return the head of an exchange's answer, valid until its end. */
const struct h1_head *outbound_response_head (const struct outbound *outbound,
                                              uint64_t exchange);

/** Whether its body has a stated length, and the length. */
bool outbound_response_length (const struct outbound *outbound,
                               uint64_t exchange, uint64_t *length);

#endif
