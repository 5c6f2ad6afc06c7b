/** @file
 * Exchanges with endpoints: each is one HTTP call (DIAL only connects), whose
 * events are reported to the forwarder by exchange number.
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

/** Cancel all calls and release; NULL is allowed. */
void outbound_destroy (struct outbound *outbound);

/** Start an exchange.  HEAD and BODY are the caller's request, which RUN,
 * PREFILL and HANDOFF use. */
void outbound_start (struct outbound *outbound,
                     const struct beryl_exchange_start *start,
                     const struct h1_head *head, const char *body,
                     size_t body_bytes);

/** Close an exchange's connection; no event follows. */
void outbound_abort (struct outbound *outbound, uint64_t exchange);

/** Return whether any byte of an exchange may have been handed over. */
bool outbound_sent (const struct outbound *outbound, uint64_t exchange);

/** Pause or resume reading an exchange's response. */
void outbound_pause (struct outbound *outbound, uint64_t exchange,
                     bool paused);

/** Return the head of an exchange's response, valid until its end; NULL if it
 * has not arrived. */
const struct h1_head *outbound_response_head (const struct outbound *outbound,
                                              uint64_t exchange);

/** Return whether the response has a Content-Length, and set LENGTH to it. */
bool outbound_response_length (const struct outbound *outbound,
                               uint64_t exchange, uint64_t *length);

#endif
