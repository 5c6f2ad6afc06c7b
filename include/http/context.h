/** @file
 * The libwebsockets context that servers and clients of one loop share.
 */
#ifndef HTTP_CONTEXT_H
#define HTTP_CONTEXT_H

#include "common/loop.h"

struct http_context;

/** Create a context on LOOP.  CA_FILE (may be NULL) verifies TLS servers
 * that the clients connect to. */
struct http_context *http_context_create (struct loop *loop,
                                          const char *ca_file);

/** Close all servers and calls and release CONTEXT; the handlers' closed
 * and failed callbacks run. */
void http_context_destroy (struct http_context *context);

#endif
