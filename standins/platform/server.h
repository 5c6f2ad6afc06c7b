/** @file
 * The platform stand-in's HTTP server.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "beryl/error.h"
#include "common/loop.h"
#include "http/context.h"

struct platform;

/** Listen on ADDRESS and PORT (0: chosen by the kernel). */
struct platform *platform_create (struct loop *loop, struct http_context *http,
                                  const char *address, uint16_t port,
                                  struct beryl_error *error);

/** Return the port in use. */
uint16_t platform_port (const struct platform *platform);

/** Release PLATFORM after its HTTP context; NULL is allowed. */
void platform_destroy (struct platform *platform);

#endif
