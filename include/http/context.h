/** @file
 * The libwebsockets context that servers and clients of one loop share.
 */
#ifndef HTTP_CONTEXT_H
#define HTTP_CONTEXT_H

#include <stdint.h>

#include "common/loop.h"

struct http_context;

/** Bytes of TCP connections, with heads and TLS, without TCP's own. */
struct http_traffic
{
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

/** Create a context on LOOP.  CA_FILE (may be NULL) verifies TLS servers
 * that the clients connect to. */
struct http_context *http_context_create (struct loop *loop,
                                          const char *ca_file);

/** What the client calls of CONTEXT have moved; a call counts when it has
 * ended. */
struct http_traffic
http_context_client_traffic (const struct http_context *context);

/** Close all servers and calls and release CONTEXT; the handlers' closed
 * and failed callbacks run. */
void http_context_destroy (struct http_context *context);

#endif
