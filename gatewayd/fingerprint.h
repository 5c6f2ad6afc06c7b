/** @file
 * Fingerprint of a request's content: the same for a request that is sent
 * again under another id, at any node.
 */
#ifndef GATEWAYD_FINGERPRINT_H
#define GATEWAYD_FINGERPRINT_H

#include "h1/head.h"

/** Return the fingerprint of a request by CALLER, never 0.  It is a
 * cryptographic hash because callers choose the bodies: none must be able to
 * construct a collision with another caller's request. */
uint64_t fingerprint_request (const struct h1_head *head, const char *caller,
                              const char *body, size_t body_bytes);

#endif
