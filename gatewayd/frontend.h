/** @file
 * Server for callers: passes their requests to the forwarder, which refers to
 * them by number, and sends the responses that the forwarder decides on.
 */
#ifndef GATEWAYD_FRONTEND_H
#define GATEWAYD_FRONTEND_H

#include "beryl/error.h"
#include "beryl/forward.h"
#include "common/loop.h"
#include "gateway/wire.h"
#include "h1/server.h"
#include "settings.h"

struct frontend;

/** Listen for callers at ADDRESS; return NULL and set ERROR on failure. */
struct frontend *frontend_create (struct loop *loop,
                                  const struct gateway_wire *wire,
                                  const struct gateway_address *address,
                                  struct beryl_forward *forward,
                                  struct beryl_error *error);

/** Set the key that authenticates requests that peers hand over; it must stay
 * valid. */
void frontend_set_key (struct frontend *frontend, const char *key);

/** Close all connections and release; NULL is allowed. */
void frontend_destroy (struct frontend *frontend);

/** Return the HTTP server, to set its limits, read its counts or drain it. */
struct h1_server *frontend_server (struct frontend *frontend);

/** Return a request's head and body; NULL if its caller has disconnected. */
const struct h1_head *frontend_request (const struct frontend *frontend,
                                        uint64_t request, const char **body,
                                        size_t *body_bytes);

/** Begin a response with HEAD, taken from an endpoint's response.  If
 * HAS_LENGTH is set, the body has LENGTH bytes, otherwise it is chunked. */
void frontend_begin_response (struct frontend *frontend, uint64_t request,
                              const struct h1_head *head, bool has_length,
                              uint64_t length);

/** Send part of the body of a response that has begun. */
void frontend_write (struct frontend *frontend, uint64_t request,
                     const char *bytes, size_t bytes_count);

/** End a response as complete. */
void frontend_finish (struct frontend *frontend, uint64_t request);

/** End a response that has begun such that the caller sees it is
 * incomplete. */
void frontend_truncate (struct frontend *frontend, uint64_t request);

/** Send a response that refuses a request; no response has begun. */
void frontend_refuse (struct frontend *frontend, uint64_t request,
                      const struct beryl_refusal *refusal);

#endif
