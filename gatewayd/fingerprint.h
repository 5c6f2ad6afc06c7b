/** @file
 * Fingerprint of a request's content: the same for a request that is sent
 * again under another id, at any node.
 */
#ifndef GATEWAYD_FINGERPRINT_H
#define GATEWAYD_FINGERPRINT_H

#include "h1/head.h"

/** Return the fingerprint of a request by CALLER, never 0: the first 64 bits
 * of a SHA-256 over CALLER, method, host, target and body.  A cryptographic
 * hash prevents callers, who choose the bodies, from constructing one that has
 * the fingerprint of another caller's request. */
uint64_t fingerprint_request (const struct h1_head *head, const char *caller,
                              const char *body, size_t body_bytes);

#endif
