/** @file
 * What a request asks, as a number: a request that comes again under another
 * id, at any node, has the same one.
 */
#ifndef GATEWAYD_FINGERPRINT_H
#define GATEWAYD_FINGERPRINT_H

#include "h1/head.h"

/** Return the fingerprint of a request of CALLER, never 0.  Callers choose
 * bodies, so that it is cryptographic: none can be made to meet another
 * caller's request. */
uint64_t fingerprint_request (const struct h1_head *head, const char *caller,
                              const char *body, size_t body_bytes);

#endif
