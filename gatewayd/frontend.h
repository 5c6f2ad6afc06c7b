/** @file
 * The callers' side: their requests go to the forwarder by number, its
 * answers come back here.
 */
#ifndef GATEWAYD_FRONT_H
#define GATEWAYD_FRONT_H

#include "beryl/error.h"
#include "beryl/forward.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "h1/server.h"
#include "settings.h"

struct frontend;

/** Listen for callers; NULL and ERROR on failure. */
struct frontend *frontend_create (struct loop *loop,
                                  const struct gateway_wire *wire,
                                  const struct gateway_address *address,
                                  struct beryl_forward *forward,
                                  struct beryl_error *error);

/** Close all connections and release FRONT; NULL is allowed. */
void frontend_destroy (struct frontend *frontend);

/** Return the server, for its limits, counts and drain. */
struct h1_server *frontend_server (struct frontend *frontend);

/** Return a request's head and body; NULL if its caller has gone. */
const struct h1_head *frontend_request (const struct frontend *frontend,
                                        uint64_t request, const char **body,
                                        size_t *body_bytes);

/** Begin an answer with the head that an endpoint gave.  HAS_LENGTH: its
 * body has LENGTH bytes. */
void frontend_begin_response (struct frontend *frontend, uint64_t request,
                              const struct h1_head *head, bool has_length,
                              uint64_t length);

/** Answers, as in struct beryl_forward_owner_impl. */
void frontend_write (struct frontend *frontend, uint64_t request,
                     const char *bytes, size_t bytes_count);
void frontend_finish (struct frontend *frontend, uint64_t request);
void frontend_truncate (struct frontend *frontend, uint64_t request);
void frontend_refuse (struct frontend *frontend, uint64_t request,
                      const struct beryl_refusal *refusal);

#endif
