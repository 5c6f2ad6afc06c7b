/** @file
 * Records of the software versions at which streams began, kept by a few peers
 * of each stream that any node finds by the stream's digest.
 */
#ifndef GATEWAYD_STREAMS_H
#define GATEWAYD_STREAMS_H

#include "beryl/forward.h"
#include "common/counters.h"
#include "common/loop.h"
#include "members.h"
#include "wire/streams.h"

struct streams;

struct streams *streams_create (struct loop *loop,
                                struct beryl_forward *forward,
                                struct members *members,
                                struct counters *counters);
void streams_destroy (struct streams *streams);

/** Give RECORD to the peers that keep it. */
void streams_tell (struct streams *streams,
                   const struct beryl_stream_record *record);

/** Ask the peers that may have the record; return their number. */
uint32_t streams_ask (struct streams *streams,
                      const struct beryl_stream_question *question);

/** A peer at ADDRESS and PORT sent MESSAGE. */
void streams_receive (struct streams *streams,
                      const struct streams_message *message,
                      const char *address, uint16_t port);

#endif
